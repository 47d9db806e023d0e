// Tests the decision to replace silent connections: never for a slow backend server, always if
// only new connections work.
#include "proxy/silent_detector.h"

#include <cppunit/extensions/HelperMacros.h>

namespace {

using namespace clementine;
using namespace clementine::proxy;
using actions = std::vector<silent_action>;

constexpr connection_view waiting{
    .opened_at = 0, .waiting_since = 100, .received_at = 90, .in_use = true};
constexpr connection_view idle{
    .opened_at = 0, .waiting_since = 0, .received_at = 50, .in_use = false};

class silent_detector_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(silent_detector_test);
    CPPUNIT_TEST(replaces_old_connections_when_only_a_new_one_answers);
    CPPUNIT_TEST(slow_server_clears_the_suspicion);
    CPPUNIT_TEST(without_idle_connection_waits_for_one_probe_time);
    CPPUNIT_TEST(byte_on_an_old_connection_clears_the_suspicion);
    CPPUNIT_TEST(connections_of_a_dead_server_stay_suspect);
    CPPUNIT_TEST(failed_routine_probe_starts_the_check);
    CPPUNIT_TEST(closed_idle_connection_raises_no_suspicion);
    CPPUNIT_TEST_SUITE_END();

  public:
    void replaces_old_connections_when_only_a_new_one_answers() {
        silent_detector detector({});
        const std::vector<connection_view> connections{waiting, idle};
        CPPUNIT_ASSERT(detector.observe(1'000, connections) == actions{silent_action::probe_idle});
        detector.probe_ended(1'001, probe_target::idle_connection, probe_result::answered,
                             connections);
        CPPUNIT_ASSERT(detector.observe(1'599, connections).empty());
        CPPUNIT_ASSERT((detector.observe(1'600, connections) ==
                        actions{silent_action::probe_new, silent_action::probe_idle}));
        CPPUNIT_ASSERT(detector.suspect_since() == time_ms{1'600});
        CPPUNIT_ASSERT(detector
                           .probe_ended(1'610, probe_target::new_connection, probe_result::answered,
                                        connections)
                           .empty());
        CPPUNIT_ASSERT(detector.probe_ended(2'100, probe_target::idle_connection,
                                            probe_result::failed,
                                            connections) == actions{silent_action::replace_old});
        CPPUNIT_ASSERT(!detector.suspect_since());
        CPPUNIT_ASSERT_EQUAL(time_ms{1'600}, detector.replaced_before());
    }

    void slow_server_clears_the_suspicion() {
        silent_detector detector({});
        const std::vector<connection_view> connections{waiting, idle};
        detector.observe(1'700, connections);
        CPPUNIT_ASSERT(detector.probe_ended(1'710, probe_target::idle_connection,
                                            probe_result::answered,
                                            connections) == actions{silent_action::clear});
        // The same slow request must not start another check at once.
        CPPUNIT_ASSERT(detector.observe(1'800, connections).empty());
    }

    void without_idle_connection_waits_for_one_probe_time() {
        silent_detector detector({});
        const std::vector<connection_view> connections{waiting};
        CPPUNIT_ASSERT(detector.observe(1'600, connections) == actions{silent_action::probe_new});
        detector.probe_ended(1'610, probe_target::new_connection, probe_result::answered,
                             connections);
        CPPUNIT_ASSERT(detector.observe(2'099, connections).empty());
        CPPUNIT_ASSERT(detector.observe(2'100, connections) == actions{silent_action::replace_old});
    }

    void byte_on_an_old_connection_clears_the_suspicion() {
        silent_detector detector({});
        detector.observe(1'600, {waiting});
        auto moving = waiting;
        moving.received_at = 1'650;
        CPPUNIT_ASSERT(detector.probe_ended(1'700, probe_target::new_connection,
                                            probe_result::answered,
                                            {moving}) == actions{silent_action::clear});
    }

    void connections_of_a_dead_server_stay_suspect() {
        silent_detector detector({});
        const std::vector<connection_view> connections{waiting};
        detector.observe(1'600, connections);
        detector.probe_ended(1'610, probe_target::new_connection, probe_result::failed,
                             connections);
        CPPUNIT_ASSERT(detector.suspect_since().has_value());
        CPPUNIT_ASSERT(detector.observe(2'100, connections) == actions{silent_action::probe_new});
        CPPUNIT_ASSERT(detector.suspect_since().has_value());
    }

    void failed_routine_probe_starts_the_check() {
        silent_detector detector({});
        const std::vector<connection_view> connections{idle};
        CPPUNIT_ASSERT(detector.observe(1'000, connections) == actions{silent_action::probe_idle});
        CPPUNIT_ASSERT(detector.probe_ended(1'500, probe_target::idle_connection,
                                            probe_result::failed,
                                            connections) == actions{silent_action::probe_new});
        CPPUNIT_ASSERT(detector.probe_ended(1'510, probe_target::new_connection,
                                            probe_result::answered,
                                            connections) == actions{silent_action::replace_old});
    }

    void closed_idle_connection_raises_no_suspicion() {
        silent_detector detector({});
        const std::vector<connection_view> connections{idle};
        detector.observe(1'000, connections);
        CPPUNIT_ASSERT(detector
                           .probe_ended(1'001, probe_target::idle_connection,
                                        probe_result::unavailable, connections)
                           .empty());
        CPPUNIT_ASSERT(!detector.suspect_since());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(silent_detector_test);

} // namespace
