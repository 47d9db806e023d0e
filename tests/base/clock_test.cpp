// Tests that the clock counts while the machine is suspended; otherwise a lease held before the
// suspension would look valid after it.
#include "base/clock.h"

#include <cppunit/extensions/HelperMacros.h>

#include <ctime>

namespace {

class clock_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(clock_test);
    CPPUNIT_TEST(counts_suspended_time);
    CPPUNIT_TEST_SUITE_END();

  public:
    void counts_suspended_time() {
        timespec boot{};
        clock_gettime(CLOCK_BOOTTIME, &boot);
        const auto expected = boot.tv_sec * 1'000 + boot.tv_nsec / 1'000'000;
        const auto seen = clementine::steady_clock().now();
        CPPUNIT_ASSERT(seen >= expected && seen < expected + 1'000);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(clock_test);

} // namespace
