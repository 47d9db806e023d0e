// Tests that each state which keeps a worker from runs ends in bounded time. The table in
// docs/design/withheld-workers.md lists these states.
#include "workload/fake_fleet.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>

namespace {

using namespace clementine;
using namespace clementine::workload;

// The users' bound: a job that could run has nothing running for this long.
constexpr time_ms longest_wait{3'000};
// Longest quarantine of a worker.
constexpr time_ms max_quarantine{8'000};
// Only one worker of pool a is on this rack, so that jobs with the label have no other choice.
constexpr const char* single_rack = "r1";
constexpr const char* single_vm = "m104";

job_spec one_step(step_spec step) {
    job_spec out;
    out.steps.push_back(std::move(step));
    return out;
}

step_spec labeled(step_spec step) {
    step.required_label = single_rack;
    return step;
}

fleet_options one_pool(bool vm_orders) {
    fleet_options out;
    out.pools = {{"a", 5}};
    out.standby_vms = 0;
    out.vm_orders = vm_orders;
    return out;
}

fake_worker& single_worker(fake_fleet& fleet) {
    return fleet.workers().at(fleet.vms().at(single_vm).worker);
}

std::uint32_t waiting_tasks(const fake_fleet& fleet, const std::string& id) {
    return fleet.table().find_job(id)->occurrences[0].steps[0].waiting;
}

class withheld_worker_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(withheld_worker_test);
    CPPUNIT_TEST(wave_that_cannot_go_on_withholds_no_worker);
    CPPUNIT_TEST(wave_beside_a_task_without_worker_withholds_none);
    CPPUNIT_TEST(waiting_step_withholds_no_worker_that_it_may_not_use);
    CPPUNIT_TEST(waiting_step_leaves_room_beside_its_own);
    CPPUNIT_TEST(room_that_does_not_appear_is_held_no_longer);
    CPPUNIT_TEST(probation_ends_beside_a_long_running_task);
    CPPUNIT_TEST(long_running_tasks_start_on_a_worker_on_probation);
    CPPUNIT_TEST(worker_on_probation_gets_runs_one_by_one);
    CPPUNIT_TEST(paused_runs_are_not_stalled);
    CPPUNIT_TEST(runs_paused_by_the_former_leader_go_on);
    CPPUNIT_TEST(unpaced_runs_are_not_slowed_by_the_next_leader);
    CPPUNIT_TEST(unanswered_pause_is_no_stall);
    CPPUNIT_TEST(paced_runs_that_stand_still_are_stalled);
    CPPUNIT_TEST(worker_that_answers_again_gets_runs);
    CPPUNIT_TEST(worker_that_stays_after_a_notice_gets_runs);
    CPPUNIT_TEST(worker_whose_upkeep_is_declined_gets_runs);
    CPPUNIT_TEST(room_kept_for_a_canceled_task_is_released);
    CPPUNIT_TEST(quarantine_and_forgotten_ends_expire);
    CPPUNIT_TEST_SUITE_END();

    static void assert_no_violations(const fake_fleet& fleet) {
        CPPUNIT_ASSERT_EQUAL_MESSAGE(fleet.violations().empty() ? std::string()
                                                                : fleet.violations().front(),
                                     std::size_t{0}, fleet.violations().size());
    }

    static bool starts_in_time(fake_fleet& fleet, const std::string& id, const step_spec& step) {
        fleet.accept("qa", id, one_step(step));
        fleet.run_for(longest_wait);
        return fleet.first_start({id, 0, 0, 0}) != 0;
    }

  public:
    // Case review/11: both tasks of a step are on a VM of a wave, one may be away and no other
    // worker may run them. One was stopped, and the worker got no run any more.
    void wave_that_cannot_go_on_withholds_no_worker() {
        fake_fleet fleet(one_pool(true));
        fleet.run_for(2'500);
        fleet.accept("qa", "lasting", one_step(labeled(make_long_running_step(2, 3'000, 1))));
        fleet.run_for(2'000);
        fleet.order_wave({1, {"m100", "m101", single_vm}, 20'000, 1});
        fleet.run_for(22'000);
        CPPUNIT_ASSERT_EQUAL(2, fleet.upkeeps());
        CPPUNIT_ASSERT_EQUAL(0U, waiting_tasks(fleet, "lasting"));
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, single_worker(fleet).runs.size());
        CPPUNIT_ASSERT(starts_in_time(fleet, "short", labeled(make_step(1, 1'000, 500))));
        assert_no_violations(fleet);
    }

    // As above with one task on the VM, and one whose worker was lost for good: it may start again
    // only on the VM that its absence keeps from going down.
    void wave_beside_a_task_without_worker_withholds_none() {
        auto options = one_pool(true);
        options.pools = {{"a", 6}};
        fake_fleet fleet(options);
        fleet.run_for(500); // no VM is in standby yet
        auto step = labeled(make_long_running_step(2, 6'000, 1));
        step.need.memory = 14'000;
        fleet.accept("qa", "lasting", one_step(step));
        fleet.run_for(2'000);
        const auto other = fleet.vms().at("m105").worker;
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fleet.workers().at(other).runs.size());
        fleet.lose_power(other, 600'000);
        fleet.run_for(500); // the worker is silent, and its task is not assigned again yet
        fleet.order_wave({1, {single_vm}, 3'000, 1});
        fleet.run_for(9'000);
        CPPUNIT_ASSERT_EQUAL(0U, waiting_tasks(fleet, "lasting"));
        CPPUNIT_ASSERT(starts_in_time(fleet, "short", labeled(make_step(1, 1'000, 500))));
        assert_no_violations(fleet);
    }

    // Case review/12: long-running steps wait for the only worker of a kind, which was lost. Each
    // of them took another worker out of the pool, until all that were at work were out.
    void waiting_step_withholds_no_worker_that_it_may_not_use() {
        for (const bool by_label : {true, false}) {
            fake_fleet fleet(one_pool(false));
            fleet.run_for(2'500);
            if (by_label)
                fleet.lose_power(single_worker(fleet).ref.id, 600'000);
            auto waiting = make_long_running_step(1, 1'000, 0);
            waiting.need.memory = 30'000;
            if (by_label)
                waiting.required_label = single_rack;
            else
                waiting.max_per_worker = 1;
            // Beside it, no worker has enough memory left for the waiting tasks.
            auto long_step = make_step(5, 2'000, 60'000);
            long_step.need.memory = 4'000;
            long_step.max_per_worker = 1;
            fleet.accept("qa", "long", one_step(long_step));
            fleet.run_for(1'000);
            for (int i = 0; i < 6; ++i)
                fleet.accept("qa", "waiting" + std::to_string(i), one_step(waiting));
            fleet.run_for(1'000);
            CPPUNIT_ASSERT(starts_in_time(fleet, "short", make_step(1, 1'000, 500)));
            CPPUNIT_ASSERT(starts_in_time(fleet, "small", make_long_running_step(1, 1'000, 0)));
            assert_no_violations(fleet);
        }
    }

    // The worker on which a long-running step waits for room was closed to tasks that fit beside
    // it, or that end before the room appears.
    void waiting_step_leaves_room_beside_its_own() {
        fake_fleet fleet(one_pool(false));
        fleet.run_for(2'500);
        auto running = labeled(make_step(1, 8'000, 6'000));
        running.need.memory = 10'000;
        fleet.accept("qa", "running", one_step(running));
        fleet.run_for(1'000);
        fleet.accept("qa", "waiting", one_step(labeled(make_long_running_step(1, 10'000, 0))));
        fleet.run_for(500);
        CPPUNIT_ASSERT(starts_in_time(fleet, "beside", labeled(make_step(1, 4'000, 20'000))));
        CPPUNIT_ASSERT(starts_in_time(fleet, "brief", labeled(make_step(1, 4'000, 200))));
        fleet.run_for(6'000);
        CPPUNIT_ASSERT(fleet.first_start({"waiting", 0, 0, 0}) != 0);
        assert_no_violations(fleet);
    }

    // Guards against a long-running step that holds a worker for as long as a run outlasts its
    // estimate.
    void room_that_does_not_appear_is_held_no_longer() {
        constexpr time_ms estimate{3'000};
        fake_fleet fleet(one_pool(false));
        fleet.run_for(2'500);
        fleet.accept("qa", "running", one_step(labeled(make_step(1, 8'000, estimate))));
        fleet.run_for(1'000);
        single_worker(fleet).runs.at(0).work = 60'000;
        fleet.accept("qa", "waiting", one_step(labeled(make_long_running_step(1, 10'000, 0))));
        fleet.run_for(500);
        fleet.accept("qa", "short", one_step(labeled(make_step(1, 7'000, 30'000))));
        fleet.run_for(estimate - 1'500);
        CPPUNIT_ASSERT_EQUAL(time_ms{0}, fleet.first_start({"short", 0, 0, 0}));
        fleet.run_for(2'500); // the hold ends 2 s after the expected time
        CPPUNIT_ASSERT(fleet.first_start({"short", 0, 0, 0}) != 0);
        assert_no_violations(fleet);
    }

    // Lets jobs that only the worker may run fail on it until it is quarantined.
    static void quarantine(fake_fleet& fleet) {
        single_worker(fleet).fails_all = true;
        for (int i = 0; i < 4; ++i)
            fleet.accept("qa", "failing" + std::to_string(i),
                         one_step(labeled(make_step(1, 1'000, 300))));
        fleet.run_for(2'000);
        CPPUNIT_ASSERT(fleet.control().counters().quarantined_workers > 0);
        for (int i = 0; i < 4; ++i)
            fleet.cancel("failing" + std::to_string(i));
        single_worker(fleet).fails_all = false;
        fleet.run_for(max_quarantine);
    }

    // Case review/13: a worker on probation gets one run at a time. A long-running task took that
    // place and never ends as done, so that no run could end the probation.
    void probation_ends_beside_a_long_running_task() {
        fake_fleet fleet(one_pool(false));
        fleet.run_for(2'500);
        fleet.accept("qa", "lasting", one_step(labeled(make_long_running_step(1, 3'000, 0))));
        fleet.run_for(1'000);
        quarantine(fleet);
        CPPUNIT_ASSERT(starts_in_time(fleet, "short", labeled(make_step(1, 1'000, 500))));
        // The success has ended the probation.
        fleet.accept("qa", "wide", one_step(labeled(make_step(6, 1'000, 2'000))));
        fleet.run_for(500);
        CPPUNIT_ASSERT_EQUAL(0U, waiting_tasks(fleet, "wide"));
        assert_no_violations(fleet);
    }

    // Without short jobs no run ends as done, so that the second task never started.
    void long_running_tasks_start_on_a_worker_on_probation() {
        fake_fleet fleet(one_pool(false));
        fleet.run_for(2'500);
        quarantine(fleet);
        fleet.accept("qa", "lasting", one_step(labeled(make_long_running_step(3, 3'000, 0))));
        fleet.run_for(longest_wait);
        CPPUNIT_ASSERT_EQUAL(0U, waiting_tasks(fleet, "lasting"));
        assert_no_violations(fleet);
    }

    // All runs at once would fail on a worker that is still faulty, and a run of minutes must not
    // keep the others away until it ends.
    void worker_on_probation_gets_runs_one_by_one() {
        fake_fleet fleet(one_pool(false));
        fleet.run_for(2'500);
        quarantine(fleet);
        fleet.accept("qa", "long", one_step(labeled(make_step(4, 1'000, 60'000))));
        fleet.run_for(probation_interval - 500);
        CPPUNIT_ASSERT_EQUAL(3U, waiting_tasks(fleet, "long"));
        fleet.run_for(3 * probation_interval + 500);
        CPPUNIT_ASSERT_EQUAL(0U, waiting_tasks(fleet, "long"));
        assert_no_violations(fleet);
    }

    // Starts a task that serves users, and four best-effort tasks of 12 s beside it.
    static void start_best_effort_tasks(fake_fleet& fleet) {
        fleet.run_for(2'500);
        auto serving = labeled(make_long_running_step(1, 3'000, 0));
        serving.target_tail_latency = 200;
        fleet.accept("qa", "serving", one_step(serving));
        fleet.run_for(1'000);
        auto filling = labeled(make_step(1, 2'000, 12'000));
        filling.best_effort = true;
        for (int i = 0; i < 4; ++i)
            fleet.accept("qa", "filling" + std::to_string(i), one_step(filling));
        fleet.run_for(1'000);
        CPPUNIT_ASSERT_EQUAL(std::size_t{5}, single_worker(fleet).runs.size());
    }

    static int lowest_pace(fake_fleet& fleet) {
        int out = 100;
        for (const auto& run : single_worker(fleet).runs)
            out = std::min(out, run.pace);
        return out;
    }

    static void assert_best_effort_tasks_end(fake_fleet& fleet) {
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, fleet.control().counters().stalled_runs);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, fleet.control().counters().quarantined_workers);
        const auto& ends = fleet.control().counters().ends;
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, ends.at(static_cast<std::size_t>(run_end::stopped)));
        for (int i = 0; i < 4; ++i)
            CPPUNIT_ASSERT(fleet.table().find_job("filling" + std::to_string(i))->state ==
                           job_state::completed);
        assert_no_violations(fleet);
    }

    // Case review/14: best-effort runs that were paused beside a high tail latency made no
    // progress, so they were stopped, and their worker was quarantined.
    void paused_runs_are_not_stalled() {
        fake_fleet fleet(one_pool(false));
        start_best_effort_tasks(fleet);
        single_worker(fleet).tail = 300;
        fleet.run_for(4'000);
        CPPUNIT_ASSERT_EQUAL(0, lowest_pace(fleet));
        single_worker(fleet).tail = 50;
        CPPUNIT_ASSERT(starts_in_time(fleet, "short", labeled(make_step(1, 1'000, 500))));
        fleet.run_for(17'000);
        assert_best_effort_tasks_end(fleet);
    }

    // The next leader took the runs for unpaced ones: it did not let them go on, and found them
    // stalled.
    void runs_paused_by_the_former_leader_go_on() {
        fake_fleet fleet(one_pool(false));
        start_best_effort_tasks(fleet);
        single_worker(fleet).tail = 300;
        fleet.run_for(1'000);
        CPPUNIT_ASSERT_EQUAL(0, lowest_pace(fleet));
        fleet.replace_leader(0);
        single_worker(fleet).tail = 50;
        fleet.run_for(20'000);
        assert_best_effort_tasks_end(fleet);
    }

    // Guards against a next leader that takes all best-effort runs for paused ones, and raises
    // their share only step by step.
    void unpaced_runs_are_not_slowed_by_the_next_leader() {
        fake_fleet fleet(one_pool(false));
        fleet.run_for(2'500);
        auto filling = labeled(make_step(4, 2'000, 12'000));
        filling.best_effort = true;
        fleet.accept("qa", "filling", one_step(filling));
        fleet.run_for(1'000);
        fleet.replace_leader(0);
        for (int i = 0; i < 1'000; ++i) {
            fleet.run_for(5);
            CPPUNIT_ASSERT_EQUAL(100, lowest_pace(fleet));
        }
        assert_no_violations(fleet);
    }

    // A pause that is carried out without an answer holds a run back as well.
    void unanswered_pause_is_no_stall() {
        fake_fleet fleet(one_pool(false));
        start_best_effort_tasks(fleet);
        single_worker(fleet).pace_answers_lost = true;
        single_worker(fleet).tail = 300;
        fleet.run_for(500);
        single_worker(fleet).tail = 150; // neither paused further nor raised
        fleet.run_for(6'000);
        single_worker(fleet).pace_answers_lost = false;
        single_worker(fleet).tail = 50;
        fleet.run_for(20'000);
        assert_best_effort_tasks_end(fleet);
    }

    // The allowance for pacing must not hide a worker on which nothing goes on.
    void paced_runs_that_stand_still_are_stalled() {
        fake_fleet fleet(one_pool(false));
        start_best_effort_tasks(fleet);
        single_worker(fleet).tail = 180;
        while (lowest_pace(fleet) == 100)
            fleet.run_for(5);
        single_worker(fleet).tail = 150; // neither paused further nor raised
        single_worker(fleet).stalls_all = true;
        fleet.run_for(30'000);
        CPPUNIT_ASSERT(fleet.control().counters().stalled_runs > 0);
        assert_no_violations(fleet);
    }

    // Guards against workers that stay silent for the leader after they have answered.
    void worker_that_answers_again_gets_runs() {
        fake_fleet fleet(one_pool(false));
        fleet.run_for(2'500);
        fleet.accept("qa", "unanswered", one_step(labeled(make_step(1, 1'000, 60'000))));
        fleet.set_unresponsive(single_worker(fleet).ref.id, true);
        fleet.run_for(8'000);
        fleet.set_unresponsive(single_worker(fleet).ref.id, false);
        CPPUNIT_ASSERT(starts_in_time(fleet, "short", labeled(make_step(1, 1'000, 500))));
        assert_no_violations(fleet);
    }

    // Guards against a notice for a former life that closes the worker for good.
    void worker_that_stays_after_a_notice_gets_runs() {
        fake_fleet fleet(one_pool(false));
        fleet.run_for(2'500);
        fleet.control().observe_leaving(single_worker(fleet).ref.id, fleet.now());
        CPPUNIT_ASSERT(starts_in_time(fleet, "short", labeled(make_step(1, 1'000, 500))));
        assert_no_violations(fleet);
    }

    // Guards against a worker that stays reserved while the platform carries out no order.
    void worker_whose_upkeep_is_declined_gets_runs() {
        fake_fleet fleet(one_pool(true));
        fleet.run_for(500); // no VM is in standby yet
        fleet.platform_busy = true;
        fleet.order_wave({1, {single_vm}, 3'000, 1});
        fleet.run_for(5'000);
        CPPUNIT_ASSERT(starts_in_time(fleet, "short", labeled(make_step(1, 1'000, 500))));
        assert_no_violations(fleet);
    }

    // Guards against room that is kept for a task which leaves a VM and never arrives.
    void room_kept_for_a_canceled_task_is_released() {
        fake_fleet fleet(one_pool(true));
        fleet.run_for(500); // no VM is in standby yet
        fleet.accept("qa", "leaving", one_step(make_long_running_step(1, 15'000, 1)));
        fleet.run_for(1'500);
        wave_order order{1, {}, 10'000, 1};
        for (const auto& [name, item] : fleet.vms()) {
            if (name != single_vm)
                order.vms.push_back(name);
        }
        CPPUNIT_ASSERT(single_worker(fleet).runs.empty());
        fleet.order_wave(order);
        const auto keeps_room = [&] {
            return fleet.control().workers().at(single_worker(fleet).ref.id).kept_room !=
                   resources{};
        };
        for (int i = 0; i < 100 && !keeps_room(); ++i)
            fleet.run_for(5);
        CPPUNIT_ASSERT(keeps_room());
        fleet.cancel("leaving");
        CPPUNIT_ASSERT(starts_in_time(fleet, "short", labeled(make_step(1, 2'000, 500))));
        assert_no_violations(fleet);
    }

    // These states end with the time alone.
    void quarantine_and_forgotten_ends_expire() {
        constexpr time_ms now{100'000};
        worker item;
        item.capacity = {16'000, 32'000, 0};
        item.reported = item.contacted = true;
        item.health.quarantined_until = now + max_quarantine;
        item.former_acknowledgement_at = now;
        const auto step = make_step(1, 1'000, 500);
        placement_request request;
        request.step = &step;
        CPPUNIT_ASSERT(exclusion::quarantined == find_exclusion(item, request, now));
        CPPUNIT_ASSERT(exclusion::forgets_ends ==
                       find_exclusion(item, request, now + max_quarantine));
        CPPUNIT_ASSERT(exclusion::none == find_exclusion(item, request, now + max_order_delay));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(withheld_worker_test);

} // namespace
