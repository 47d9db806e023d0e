// Tests that faults in the settings are reported, and that a reload refuses changes that need a
// restart.
#include "proxy/request_plan.h"
#include "proxy/settings.h"

#include <cppunit/extensions/HelperMacros.h>

namespace {

using namespace clementine;
using namespace clementine::proxy;
using std::string;

const string valid = "[node]\nid = e1\navailability-zone = az-1\n"
                     "[listen]\ncallers = 127.0.0.1:1\nbackends = 127.0.0.1:2\n"
                     "admin = 127.0.0.1:3\ncontrol = 127.0.0.1:4\n"
                     "[manifest]\nfile = m.ini\n[peers]\ne2 = 127.0.0.1:5\n";

class settings_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(settings_test);
    CPPUNIT_TEST(reads_a_valid_file);
    CPPUNIT_TEST(reports_every_fault_with_its_line);
    CPPUNIT_TEST(requires_a_manifest_source);
    CPPUNIT_TEST(reload_refuses_a_new_identity_or_address);
    CPPUNIT_TEST(connection_field_is_matched_by_item);
    CPPUNIT_TEST_SUITE_END();

  public:
    void reads_a_valid_file() {
        const auto result = parse_settings("f", valid + "[timeouts]\nidle-ms = 7\n");
        CPPUNIT_ASSERT(result.ok());
        CPPUNIT_ASSERT_EQUAL(time_ms{7}, result.value.timeouts.idle);
        CPPUNIT_ASSERT_EQUAL(time_ms{5'000}, result.value.timeouts.drain);
        CPPUNIT_ASSERT_EQUAL(string("e2"), result.value.peers.at(0).name);
    }

    void reports_every_fault_with_its_line() {
        const auto result = parse_settings("f", valid + "e3 = nonsense\n[timeouts]\nidle-ms = no\n"
                                                        "typo = 1\n[log]\nlevel = loud\n[extra]\n");
        std::vector<string> faults;
        for (const auto& fault : result.faults)
            faults.push_back(format_fault("f", fault));
        const std::vector<string> expected{
            "f:13: e3: not an address; expected IP:port",
            "f:15: idle-ms: not a whole number in range; allowed values: 1 to 3600000",
            "f:16: typo: unknown key",
            "f:18: level: unknown level; allowed values: debug, info, warning, error",
        };
        CPPUNIT_ASSERT_EQUAL(std::size_t{5}, faults.size());
        for (std::size_t i = 0; i < expected.size(); ++i)
            CPPUNIT_ASSERT_EQUAL(expected[i], faults[i]);
        CPPUNIT_ASSERT(faults[4].starts_with("f:19: [extra]: unknown section"));
    }

    void requires_a_manifest_source() {
        auto text = valid;
        text.erase(text.find("file = m.ini\n"), 13);
        CPPUNIT_ASSERT(!parse_settings("f", text).ok());
        CPPUNIT_ASSERT(parse_settings("f", text + "[control]\nc1 = 127.0.0.1:9\n").ok());
    }

    void reload_refuses_a_new_identity_or_address() {
        const auto before = parse_settings("f", valid).value;
        auto after = before;
        after.timeouts.idle = 9;
        CPPUNIT_ASSERT(check_reload(before, after).empty());
        after.node = "e9";
        after.callers.port = 99;
        const auto faults = check_reload(before, after);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, faults.size());
        CPPUNIT_ASSERT_EQUAL(
            string("f:2: [node] id: needs a restart to change; allowed values: e1"),
            format_fault("f", faults[0]));
    }

    void connection_field_is_matched_by_item() {
        CPPUNIT_ASSERT(list_has("keep-alive, Close", "close"));
        CPPUNIT_ASSERT(!list_has("closed", "close"));
        CPPUNIT_ASSERT(is_hop_by_hop_field("X-A", "x-b ,x-a"));
        CPPUNIT_ASSERT(!is_hop_by_hop_field("Host", "host"));
        CPPUNIT_ASSERT(!is_hop_by_hop_field("Clementine-Workspace", "clementine-workspace"));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(settings_test);

} // namespace
