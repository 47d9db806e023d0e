// Guards against metrics that a Prometheus scraper would refuse or misread, and wrong checksums.
#include "base/hash.h"
#include "base/log.h"
#include "base/metrics.h"

#include <cppunit/extensions/HelperMacros.h>

namespace {

using namespace clementine;

class metrics_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(metrics_test);
    CPPUNIT_TEST(renders_counters_and_histograms);
    CPPUNIT_TEST(quantile_is_an_upper_edge);
    CPPUNIT_TEST(checksum_has_the_published_value);
    CPPUNIT_TEST(log_values_cannot_forge_fields);
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

    void quantile_is_an_upper_edge() {
        metrics registry;
        for (int i = 0; i < 99; ++i)
            registry.observe_ms("m", {}, 1);
        registry.observe_ms("m", {}, 5000);
        CPPUNIT_ASSERT(registry.quantile_ms("m", {}, 0.5) >= 1);
        CPPUNIT_ASSERT(registry.quantile_ms("m", {}, 0.5) < 2);
        CPPUNIT_ASSERT(registry.quantile_ms("m", {}, 0.999) >= 5000);
    }

    void checksum_has_the_published_value() {
        // Check value of CRC-32C for the digits 1 to 9.
        CPPUNIT_ASSERT_EQUAL(std::uint32_t{0xE3069283}, crc32c("123456789"));
    }

    void log_values_cannot_forge_fields() {
        CPPUNIT_ASSERT_EQUAL(std::string("\"a event=x\\x0a\""), log_value("a event=x\n"));
        CPPUNIT_ASSERT_EQUAL(std::string("plain"), log_value("plain"));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(metrics_test);

} // namespace
