// Guards against invalid manifests that are accepted and faults reported without line and key.
#include "manifest/manifest.h"

#include <cppunit/extensions/HelperMacros.h>

namespace {

using namespace clementine;
using manifest::parse_manifest;

const std::string base_manifest = R"([fleet]
availability-zones = az-1, az-2
vms = 20
[pool web]
size = 8
[pool spare]
size = 12
spare = yes
max-lent = 6
[service shop]
hosts = Shop.example
pool = web
min-available = 6
)";

// True if the list has a fault at this line and key whose reason contains `reason_part`.
bool has_fault(const std::vector<ini_fault>& faults, std::size_t line, const std::string& key,
               const std::string& reason_part) {
    for (const auto& fault : faults) {
        if (fault.line == line && fault.key == key &&
            fault.reason.find(reason_part) != std::string::npos)
            return true;
    }
    return false;
}

std::string replace_once(std::string text, const std::string& from, const std::string& to) {
    const auto at = text.find(from);
    CPPUNIT_ASSERT(at != std::string::npos);
    return text.replace(at, from.size(), to);
}

class parse_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(parse_test);
    CPPUNIT_TEST(examples_are_valid);
    CPPUNIT_TEST(values_and_defaults_are_read);
    CPPUNIT_TEST(all_faults_are_reported_at_once);
    CPPUNIT_TEST(invalid_section_headers_are_faults);
    CPPUNIT_TEST(unknown_references_are_faults);
    CPPUNIT_TEST(host_of_two_services_is_a_fault);
    CPPUNIT_TEST(budget_must_fit_its_pool);
    CPPUNIT_TEST(pools_and_quotas_above_the_fleet_are_faults);
    CPPUNIT_TEST(exactly_one_spare_pool_is_required);
    CPPUNIT_TEST(job_bigger_than_worker_is_a_warning);
    CPPUNIT_TEST(profile_sets_weights);
    CPPUNIT_TEST_SUITE_END();

  public:
    void examples_are_valid() {
        for (const std::string name : {"small", "deployment-a", "deployment-b"}) {
            const auto text = read_file(std::string(EXAMPLES_DIR) + "/" + name + ".ini");
            CPPUNIT_ASSERT(text.has_value());
            const auto result = parse_manifest(*text);
            for (const auto& fault : result.faults)
                CPPUNIT_FAIL(format_fault(name, fault));
            CPPUNIT_ASSERT_EQUAL(std::int64_t{50}, result.value.vms);
            CPPUNIT_ASSERT(result.warnings.empty());
        }
    }

    void values_and_defaults_are_read() {
        const auto result = parse_manifest(base_manifest + "timeout-ms = 500\n");
        CPPUNIT_ASSERT(result.ok());
        const auto* service = result.value.find_service_by_host("shop.example");
        CPPUNIT_ASSERT(service != nullptr);
        CPPUNIT_ASSERT_EQUAL(time_ms{500}, service->timeout);
        CPPUNIT_ASSERT_EQUAL(std::int64_t{256}, service->queue_length);
        CPPUNIT_ASSERT_EQUAL(std::int64_t{6}, result.value.find_pool("spare")->max_lent);
    }

    void all_faults_are_reported_at_once() {
        const auto result =
            parse_manifest(base_manifest + "timeout = 5\nqueue-length = x\nretry-budget = 3\n");
        CPPUNIT_ASSERT(has_fault(result.faults, 14, "timeout", "unknown key"));
        CPPUNIT_ASSERT(
            has_fault(result.faults, 15, "queue-length", "allowed values: 0 to 1000000"));
        CPPUNIT_ASSERT(has_fault(result.faults, 16, "retry-budget", "allowed values: 0 to 1"));
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, result.faults.size());
    }

    void invalid_section_headers_are_faults() {
        const auto result =
            parse_manifest(base_manifest + "[server x]\n[pool]\n[fleet b]\nvms = 1\n");
        CPPUNIT_ASSERT(has_fault(result.faults, 14, "server", "allowed values: fleet, service"));
        CPPUNIT_ASSERT(has_fault(result.faults, 15, "pool", "needs a name"));
        CPPUNIT_ASSERT(has_fault(result.faults, 16, "fleet", "takes no name"));
        CPPUNIT_ASSERT(has_fault(parse_manifest("").faults, 0, "fleet", "missing section"));
    }

    void unknown_references_are_faults() {
        const auto result = parse_manifest(replace_once(base_manifest, "pool = web", "pool = wbe") +
                                           "[job j]\nteam = t\npool = web\nkind = once\n");
        CPPUNIT_ASSERT(has_fault(result.faults, 12, "pool", "allowed values: web, spare"));
        CPPUNIT_ASSERT(has_fault(result.faults, 15, "team", "unknown team \"t\""));
        CPPUNIT_ASSERT(
            has_fault(result.faults, 17, "kind", "allowed values: idempotent, at-most-once"));
    }

    void host_of_two_services_is_a_fault() {
        const auto result = parse_manifest(
            base_manifest + "[service b]\npool = web\nhosts = b.example, SHOP.example\n");
        CPPUNIT_ASSERT(
            has_fault(result.faults, 16, "hosts", "already belongs to service \"shop\""));
    }

    void budget_must_fit_its_pool() {
        const auto none =
            parse_manifest(replace_once(base_manifest, "available = 6", "available = 0"));
        CPPUNIT_ASSERT(has_fault(none.faults, 13, "min-available", "allowed values: 1 to"));
        const auto over =
            parse_manifest(replace_once(base_manifest, "available = 6", "available = 9"));
        CPPUNIT_ASSERT(has_fault(over.faults, 13, "min-available", "allowed values: 1 to 8"));
        const auto tight =
            parse_manifest(replace_once(base_manifest, "available = 6", "available = 7"));
        CPPUNIT_ASSERT(tight.ok());
        CPPUNIT_ASSERT(has_fault(tight.warnings, 13, "min-available", "maintenance"));
    }

    void pools_and_quotas_above_the_fleet_are_faults() {
        const auto pools = parse_manifest(replace_once(base_manifest, "size = 12", "size = 13"));
        CPPUNIT_ASSERT(has_fault(pools.faults, 7, "size", "allowed values: 0 to 12"));
        const auto quotas = parse_manifest(
            base_manifest + "[team a]\nquota-cores = 300\n[team b]\nquota-cores = 21\n");
        CPPUNIT_ASSERT(has_fault(quotas.faults, 17, "quota-cores", "allowed values: 0 to 20"));
    }

    void exactly_one_spare_pool_is_required() {
        const auto none = parse_manifest(replace_once(base_manifest, "spare = yes", "spare = no"));
        CPPUNIT_ASSERT(has_fault(none.faults, 0, "spare", "no spare pool"));
        const auto two =
            parse_manifest(replace_once(base_manifest, "size = 8", "size = 8\nspare = yes"));
        CPPUNIT_ASSERT(has_fault(two.faults, 9, "spare", "second spare pool"));
        const auto lent =
            parse_manifest(replace_once(base_manifest, "max-lent = 6", "max-lent = 13"));
        CPPUNIT_ASSERT(has_fault(lent.faults, 9, "max-lent", "allowed values: 0 to 12"));
    }

    void job_bigger_than_worker_is_a_warning() {
        const auto result = parse_manifest(
            base_manifest +
            "[team t]\nquota-cores = 4\n[job j]\nteam = t\npool = web\ncores = 17\n");
        CPPUNIT_ASSERT(result.ok());
        CPPUNIT_ASSERT(has_fault(result.warnings, 19, "cores", "cannot run"));
    }

    void profile_sets_weights() {
        const auto result =
            parse_manifest(base_manifest + "[objective]\nprofile = few-moves\nmoves = 9\n");
        CPPUNIT_ASSERT(result.ok());
        CPPUNIT_ASSERT_EQUAL(9.0, result.value.weights.moves);
        CPPUNIT_ASSERT_EQUAL(1.0, result.value.weights.buffer_cost);
        const auto wrong = parse_manifest(base_manifest + "[objective]\nprofile = fast\n");
        CPPUNIT_ASSERT(has_fault(wrong.faults, 15, "profile", "custom, lean-buffer, few-moves"));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(parse_test);

} // namespace
