// Tests that a Prometheus scraper can read the metrics, that log values are quoted and that the
// CRC-32C is right.
#include "base/hash.h"
#include "base/log.h"
#include "base/metrics.h"

#include <cppunit/extensions/HelperMacros.h>

namespace {

using namespace clementine;

class metrics_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(metrics_test);
    CPPUNIT_TEST(renders_counters_and_histograms);
    CPPUNIT_TEST(quantile_is_a_bucket_upper_bound);
    CPPUNIT_TEST(crc32c_matches_the_published_check_value);
    CPPUNIT_TEST(log_values_cannot_inject_fields);
    CPPUNIT_TEST_SUITE_END();

  public:
    void renders_counters_and_histograms() {
        metrics registry;
        registry.add("requests", {{"workspace", "a\"b"}}, 2);
        registry.observe_ms("latency_ms", {}, 5);
        const auto text = registry.render();
        CPPUNIT_ASSERT(text.find("requests{workspace=\"a\\\"b\"} 2\n") != std::string::npos);
        CPPUNIT_ASSERT(text.find("latency_ms_bucket{le=\"+Inf\"} 1\n") != std::string::npos);
        CPPUNIT_ASSERT(text.find("latency_ms_sum{} 5\n") != std::string::npos);
    }

    void quantile_is_a_bucket_upper_bound() {
        metrics registry;
        for (int i = 0; i < 99; ++i)
            registry.observe_ms("m", {}, 1);
        registry.observe_ms("m", {}, 5000);
        CPPUNIT_ASSERT(registry.quantile_ms("m", {}, 0.5) >= 1);
        CPPUNIT_ASSERT(registry.quantile_ms("m", {}, 0.5) < 2);
        CPPUNIT_ASSERT(registry.quantile_ms("m", {}, 0.999) >= 5000);
    }

    void crc32c_matches_the_published_check_value() {
        // Check value of CRC-32C for the digits 1 to 9.
        CPPUNIT_ASSERT_EQUAL(std::uint32_t{0xE3069283}, crc32c("123456789"));
    }

    void log_values_cannot_inject_fields() {
        CPPUNIT_ASSERT_EQUAL(std::string("\"a event=x\\x0a\""), format_log_value("a event=x\n"));
        CPPUNIT_ASSERT_EQUAL(std::string("plain"), format_log_value("plain"));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(metrics_test);

} // namespace
