// Guards the order in which a leader short of processor time executes its work.
#include "control/work_queue.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <vector>

namespace {

using namespace clementine;
using namespace clementine::control;

class work_queue_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(work_queue_test);
    CPPUNIT_TEST(submissions_delay_worker_traffic);
    CPPUNIT_TEST(surge_of_orders_starves_callers);
    CPPUNIT_TEST(age_is_that_of_the_oldest_item);
    CPPUNIT_TEST(cleared_work_is_not_executed);
    CPPUNIT_TEST_SUITE_END();

    work_queue queue_;

  public:
    // 1,000 requests a second arrive at a leader that executes 500 items a second: orders for
    // accepted work wait for one request each at most.
    void submissions_delay_worker_traffic() {
        time_ms longest_order_wait = 0;
        for (time_ms now = 0; now < 2'000; ++now) {
            queue_.push(work_class::caller_request, now, [](time_ms) {});
            if (now % 5 == 0)
                queue_.push(work_class::worker_traffic, now, [&](time_ms waited) {
                    longest_order_wait = std::max(longest_order_wait, waited);
                });
            if (now % 2 == 0)
                CPPUNIT_ASSERT(queue_.run_one(now));
        }
        CPPUNIT_ASSERT(longest_order_wait <= 4);
    }

    // A surge commits 5,000 starts at once. Callers are answered meanwhile.
    void surge_of_orders_starves_callers() {
        for (int i = 0; i < 5'000; ++i)
            queue_.push(work_class::worker_traffic, 0, [](time_ms) {});
        time_ms longest_request_wait = 0;
        int answered = 0;
        for (time_ms now = 0; now < 1'000; ++now) {
            if (now % 10 == 0)
                queue_.push(work_class::caller_request, now, [&](time_ms waited) {
                    longest_request_wait = std::max(longest_request_wait, waited);
                    ++answered;
                });
            CPPUNIT_ASSERT(queue_.run_one(now));
        }
        CPPUNIT_ASSERT_EQUAL(100, answered);
        CPPUNIT_ASSERT(longest_request_wait <= 5);
    }

    void age_is_that_of_the_oldest_item() {
        CPPUNIT_ASSERT_EQUAL(time_ms{0}, queue_.oldest_age(work_class::worker_traffic, 50));
        queue_.push(work_class::worker_traffic, 10, [](time_ms) {});
        queue_.push(work_class::worker_traffic, 30, [](time_ms) {});
        CPPUNIT_ASSERT_EQUAL(time_ms{40}, queue_.oldest_age(work_class::worker_traffic, 50));
        CPPUNIT_ASSERT_EQUAL(time_ms{0}, queue_.oldest_age(work_class::caller_request, 50));
        queue_.run_one(50);
        CPPUNIT_ASSERT_EQUAL(time_ms{20}, queue_.oldest_age(work_class::worker_traffic, 50));
    }

    // Orders of a leader that lost its leadership would be sent by the next one's follower.
    void cleared_work_is_not_executed() {
        bool executed = false;
        queue_.push(work_class::worker_traffic, 0, [&](time_ms) { executed = true; });
        queue_.clear();
        CPPUNIT_ASSERT(queue_.empty());
        CPPUNIT_ASSERT(!queue_.run_one(1));
        CPPUNIT_ASSERT(!executed);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(work_queue_test);

} // namespace
