// Tests that each fault in a settings file is reported with its line number.
#include "base/ini.h"

#include <cppunit/extensions/HelperMacros.h>

namespace {

using namespace clementine;

class ini_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(ini_test);
    CPPUNIT_TEST(reads_sections_and_values);
    CPPUNIT_TEST(reports_malformed_and_repeated_lines);
    CPPUNIT_TEST(reader_reports_unknown_missing_and_out_of_range);
    CPPUNIT_TEST(endpoint_requires_ip_address_and_port);
    CPPUNIT_TEST_SUITE_END();

  public:
    void reads_sections_and_values() {
        const auto document = parse_ini("# c\n[service tickets]\nhosts = a, b\n");
        CPPUNIT_ASSERT(document.faults.empty());
        const auto* section = document.find("service");
        CPPUNIT_ASSERT(section != nullptr);
        CPPUNIT_ASSERT_EQUAL(std::string("tickets"), section->name);
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, section->find("hosts")->line);
    }

    void reports_malformed_and_repeated_lines() {
        const auto document = parse_ini("x = 1\n[a]\nk = 1\nk = 2\nnonsense\n[a]\n[broken\n");
        CPPUNIT_ASSERT_EQUAL(std::size_t{5}, document.faults.size());
        CPPUNIT_ASSERT_EQUAL(std::size_t{4}, document.faults[1].line);
        CPPUNIT_ASSERT_EQUAL(std::string("f:4: k: repeated key"),
                             format_fault("f", document.faults[1]));
    }

    void reader_reports_unknown_missing_and_out_of_range() {
        const auto document = parse_ini("[a]\nport = 70000\nextra = 1\nempty =\n");
        std::vector<ini_fault> faults;
        ini_reader reader(*document.find("a"), faults);
        reader.number("port", 1, 65535);
        reader.text("empty");
        reader.text("name");
        reader.finish();
        CPPUNIT_ASSERT_EQUAL(std::size_t{4}, faults.size());
        CPPUNIT_ASSERT_EQUAL(std::string("missing key"), faults[2].reason);
        CPPUNIT_ASSERT_EQUAL(std::string("unknown key"), faults[3].reason);
    }

    void endpoint_requires_ip_address_and_port() {
        CPPUNIT_ASSERT(parse_endpoint("127.0.0.1:80").has_value());
        CPPUNIT_ASSERT(parse_endpoint("[::1]:80").has_value());
        CPPUNIT_ASSERT(!parse_endpoint("localhost:80").has_value());
        CPPUNIT_ASSERT(!parse_endpoint("127.0.0.1").has_value());
        CPPUNIT_ASSERT(!parse_endpoint("127.0.0.1:99999").has_value());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ini_test);

} // namespace
