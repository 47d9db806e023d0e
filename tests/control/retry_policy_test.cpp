// Guards a leader that cannot serve or answers late against retries without pause and a queue
// without a limit.
#include "control/retry_policy.h"

#include <cppunit/extensions/HelperMacros.h>

#include <limits>

namespace {

using namespace clementine;
using namespace clementine::control;

class retry_policy_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(retry_policy_test);
    CPPUNIT_TEST(pauses_do_not_grow);
    CPPUNIT_TEST(nodes_retry_in_step);
    CPPUNIT_TEST(request_is_sent_too_late_for_an_answer);
    CPPUNIT_TEST(late_leader_gets_every_call);
    CPPUNIT_TEST_SUITE_END();

    static constexpr double no_deviation = 0.5;

  public:
    void pauses_do_not_grow() {
        const time_ms expected[] = {25, 50, 100, 200, 200};
        unsigned declined = 0;
        for (const auto pause : expected)
            CPPUNIT_ASSERT_EQUAL(pause, retry_pause(++declined, no_deviation));
        CPPUNIT_ASSERT_EQUAL(max_retry_pause,
                             retry_pause(std::numeric_limits<unsigned>::max(), no_deviation));
    }

    // Nodes that were turned away together would come back together.
    void nodes_retry_in_step() {
        CPPUNIT_ASSERT_EQUAL(time_ms{50}, retry_pause(3, 0.0));
        CPPUNIT_ASSERT_EQUAL(time_ms{149}, retry_pause(3, 0.999));
    }

    void request_is_sent_too_late_for_an_answer() {
        CPPUNIT_ASSERT(leaves_time_for_an_answer(1'000, 1'000 + min_answer_time));
        CPPUNIT_ASSERT(!leaves_time_for_an_answer(1'001, 1'000 + min_answer_time));
        CPPUNIT_ASSERT(!leaves_time_for_an_answer(2'000, 1'000));
    }

    void late_leader_gets_every_call() {
        CPPUNIT_ASSERT(admit_call(late_leader_calls - 1, max_held_calls) == call_admission::send);
        CPPUNIT_ASSERT(admit_call(late_leader_calls, 0) == call_admission::hold);
        CPPUNIT_ASSERT(admit_call(late_leader_calls, max_held_calls - 1) == call_admission::hold);
        CPPUNIT_ASSERT(admit_call(late_leader_calls, max_held_calls) == call_admission::refuse);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(retry_policy_test);

} // namespace
