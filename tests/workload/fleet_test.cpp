// Tests that the decisions of a leading control node lose and duplicate no work, and that VM orders
// do not end too many tasks, under load and faults.
#include "workload/fake_fleet.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>

namespace {

using namespace clementine;
using namespace clementine::workload;

job_spec one_step(step_spec step) {
    job_spec out;
    out.steps.push_back(std::move(step));
    return out;
}

job_spec two_steps(const step_spec& step) {
    job_spec out;
    out.steps = {step, step};
    out.steps[1].depends_on = {0};
    return out;
}

std::string id_of(int number) {
    auto digits = std::to_string(number);
    return std::string(16 - digits.size(), '0') + digits;
}

class fleet_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(fleet_test);
    CPPUNIT_TEST(completes_multi_step_jobs);
    CPPUNIT_TEST(long_running_tasks_recall_standby_vms);
    CPPUNIT_TEST(long_running_tasks_are_placed_in_full_pool);
    CPPUNIT_TEST(upkeep_counts_tasks_on_silent_workers_as_unavailable);
    CPPUNIT_TEST(wave_completes_in_time);
    CPPUNIT_TEST(upkeep_spares_tasks_beside_a_draining_worker);
    CPPUNIT_TEST(wave_waits_while_vms_are_not_listed);
    CPPUNIT_TEST(wave_skips_decommissioned_vm);
    CPPUNIT_TEST(wave_includes_vms_that_are_not_listed_yet);
    CPPUNIT_TEST(vm_of_a_restarted_worker_is_not_removed_early);
    CPPUNIT_TEST(vm_removed_during_its_upkeep_blocks_no_other);
    CPPUNIT_TEST(vms_held_by_the_former_leader_count_as_down);
    CPPUNIT_TEST(upkeep_is_repeated_for_its_own_wave_only);
    CPPUNIT_TEST(vms_move_to_surging_pool);
    CPPUNIT_TEST(jobs_are_refused_while_later_steps_wait);
    CPPUNIT_TEST(tasks_restart_before_lease_ends_after_vm_power_loss);
    CPPUNIT_TEST(worker_with_unanswered_start_gets_no_runs);
    CPPUNIT_TEST(no_vm_orders_until_pause_after_other_holder_ends);
    CPPUNIT_TEST(late_orders_never_duplicate_tasks);
    CPPUNIT_TEST(start_for_former_life_runs_beside_its_repeat);
    CPPUNIT_TEST(late_start_of_a_dropped_worker_runs_in_its_next_life);
    CPPUNIT_TEST(order_for_former_life_is_sent);
    CPPUNIT_TEST(next_life_is_stopped_at_its_former_address);
    CPPUNIT_TEST(next_life_keeps_the_lease_of_an_order_for_the_former_one);
    CPPUNIT_TEST(next_leader_allows_for_leases_of_orders_for_former_lives);
    CPPUNIT_TEST(unlisted_run_may_outlast_the_lease_of_the_known_life);
    CPPUNIT_TEST(longest_lease_depends_on_the_deployment);
    CPPUNIT_TEST(next_life_forgets_ends_that_were_acknowledged_to_the_former_one);
    CPPUNIT_TEST(late_acknowledgement_reaches_the_next_life);
    CPPUNIT_TEST(announcement_of_another_writer_ends_a_worker);
    CPPUNIT_TEST(tasks_wait_for_lease_after_address_is_reused);
    CPPUNIT_TEST(worker_at_a_former_address_of_another_ends_the_process);
    CPPUNIT_TEST(late_notice_of_leaving_stops_the_next_life);
    CPPUNIT_TEST(tasks_wait_for_lease_after_unannounced_shutdown);
    CPPUNIT_TEST(hanging_connections_end_no_leaving_worker);
    CPPUNIT_TEST(new_leader_neither_loses_nor_duplicates_work);
    CPPUNIT_TEST(repeated_upkeep_is_not_taken_for_the_end_of_a_worker);
    CPPUNIT_TEST(declined_repeat_of_upkeep_says_nothing_about_the_first);
    CPPUNIT_TEST(unanswered_vm_orders_violate_no_invariant);
    CPPUNIT_TEST(declined_vm_orders_violate_no_invariant);
    CPPUNIT_TEST(advised_steps_run_only_on_allowed_workers);
    CPPUNIT_TEST(random_faults_violate_no_invariant);
    CPPUNIT_TEST(full_pool_is_not_searched_for_each_waiting_step);
    CPPUNIT_TEST(long_running_totals_match_recount_on_random_days);
    CPPUNIT_TEST_SUITE_END();

    static void assert_no_violations(const fake_fleet& fleet) {
        CPPUNIT_ASSERT_EQUAL_MESSAGE(fleet.violations().empty() ? std::string()
                                                                : fleet.violations().front(),
                                     std::size_t{0}, fleet.violations().size());
    }

  public:
    void completes_multi_step_jobs() {
        fake_fleet fleet({});
        fleet.run_for(2'500);
        for (int i = 0; i < 4; ++i)
            CPPUNIT_ASSERT(fleet.submit("qa", id_of(i), two_steps(make_step(4, 1'000, 800))));
        fleet.run_for(2'500);
        for (int i = 0; i < 4; ++i)
            CPPUNIT_ASSERT(job_state::completed == fleet.table().find_job(id_of(i))->state);
        assert_no_violations(fleet);
    }

    // Long-running work that needs four VMs arrives while all VMs of its pool but one are in
    // standby.
    void long_running_tasks_recall_standby_vms() {
        fake_fleet fleet({});
        fleet.run_for(6'000);
        CPPUNIT_ASSERT(fleet.submit("qa", id_of(1), one_step(make_long_running_step(4, 9'000, 1))));
        fleet.run_for(4'000);
        const auto& step = fleet.table().find_job(id_of(1))->occurrences[0].steps[0];
        CPPUNIT_ASSERT_EQUAL(0U, step.waiting);
        assert_no_violations(fleet);
    }

    // Short tasks take any capacity as soon as it is free, so no worker would ever have enough for
    // a long-running task.
    void long_running_tasks_are_placed_in_full_pool() {
        fleet_options options;
        options.vm_orders = false;
        fake_fleet fleet(options);
        fleet.run_for(2'500);
        bool submitted = false;
        for (int i = 0; i < 400; ++i) {
            fleet.submit("qa", id_of(i), one_step(make_step(6, 900, 700 + i % 7 * 60)));
            if (i == 150)
                submitted =
                    fleet.submit("qa", id_of(9'999), one_step(make_long_running_step(2, 9'000, 1)));
            fleet.run_for(25);
        }
        CPPUNIT_ASSERT(submitted);
        CPPUNIT_ASSERT_EQUAL(0U,
                             fleet.table().find_job(id_of(9'999))->occurrences[0].steps[0].waiting);
        assert_no_violations(fleet);
    }

    // When a rack stops responding, its tasks count as unavailable although the last list had them
    // running. Ending another task of the step would make two unavailable where one is allowed.
    void upkeep_counts_tasks_on_silent_workers_as_unavailable() {
        fake_fleet fleet({});
        fleet.run_for(2'500);
        CPPUNIT_ASSERT(fleet.submit("qa", id_of(1), one_step(make_long_running_step(4, 9'000, 1))));
        fleet.run_for(4'500);
        std::string holder;
        wave_order order{1, {}, 20'000, 2};
        for (const auto& [id, item] : fleet.workers()) {
            if (item.runs.empty())
                continue;
            if (holder.empty())
                holder = id;
            else
                order.vms.push_back(item.vm);
        }
        fleet.set_unresponsive(holder, true);
        fleet.run_for(4'600);
        fleet.order_wave(order);
        fleet.run_for(15'000);
        assert_no_violations(fleet);
    }

    void wave_completes_in_time() {
        fake_fleet fleet({});
        fleet.run_for(2'500);
        CPPUNIT_ASSERT(fleet.submit("qa", id_of(1), one_step(make_long_running_step(4, 2'000, 1))));
        CPPUNIT_ASSERT(fleet.submit("qb", id_of(2), one_step(make_long_running_step(3, 2'000, 1))));
        fleet.run_for(2'000);
        wave_order order{1, {}, 20'000, 2};
        for (const auto& [name, item] : fleet.vms())
            order.vms.push_back(name);
        fleet.order_wave(order);
        fleet.run_for(20'000);
        CPPUNIT_ASSERT(fleet.table().waves().at(1).completed());
        CPPUNIT_ASSERT(fleet.upkeeps() >= 10);
        assert_no_violations(fleet);
    }

    // A worker announced that it drains while the VM of another task of the step was ordered down,
    // so that both were away at once where one may be.
    void upkeep_spares_tasks_beside_a_draining_worker() {
        for (time_ms delay = 0; delay < 400; delay += 10) {
            fleet_options options;
            options.vm_order_time = 150;
            fake_fleet fleet(options);
            fleet.run_for(2'500);
            CPPUNIT_ASSERT(
                fleet.submit("qa", id_of(1), one_step(make_long_running_step(4, 9'000, 1))));
            fleet.run_for(4'500);
            std::string leaving;
            wave_order order{1, {}, 6'000, 2};
            for (const auto& [id, item] : fleet.workers()) {
                if (item.runs.empty())
                    continue;
                if (leaving.empty())
                    leaving = id;
                else
                    order.vms.push_back(item.vm);
            }
            fleet.order_wave(order);
            fleet.run_for(delay);
            fleet.decommission(leaving, 5'000);
            fleet.announce_now(leaving);
            fleet.run_for(8'000);
            assert_no_violations(fleet);
        }
    }

    // A VM that the platform no longer lists needs no maintenance, but while no list can be read
    // its state is unknown.
    void wave_waits_while_vms_are_not_listed() {
        fake_fleet fleet({});
        fleet.run_for(3'000);
        fleet.vm_lists_fail = true;
        fleet.order_wave({1, {"m100", "m101"}, 20'000, 1});
        fleet.run_for(8'000);
        const auto& wave = fleet.table().waves().at(1);
        CPPUNIT_ASSERT(!wave.completed() || fleet.upkeeps() == 2);
    }

    // A VM that was drained and removed during a wave was waited for like a crashed one, past the
    // end of the wave, and ordered down ten times a second meanwhile.
    void wave_skips_decommissioned_vm() {
        fake_fleet fleet({});
        fleet.run_for(2'500);
        CPPUNIT_ASSERT(fleet.submit("qa", id_of(1), one_step(make_long_running_step(4, 2'000, 1))));
        fleet.run_for(2'000);
        wave_order order{1, {}, 14'000, 2};
        std::string leaving;
        for (const auto& [id, item] : fleet.workers()) {
            order.vms.push_back(item.vm);
            leaving = id;
        }
        fleet.decommission(leaving, 4'000);
        fleet.order_wave(order);
        fleet.run_for(14'000);
        CPPUNIT_ASSERT(fleet.table().waves().at(1).completed());
        CPPUNIT_ASSERT(fleet.declined_orders() <= 8);
        assert_no_violations(fleet);
    }

    // A wave named VMs that had just joined, or were away for a moment. A leader that had read
    // lists for 15 s took them for removed before it read the next one, and the wave ended without
    // them.
    void wave_includes_vms_that_are_not_listed_yet() {
        fleet_options options;
        options.vm_orders = true;
        fake_fleet fleet(options);
        fleet.run_for(20'000);
        const auto known = fleet.vms().begin()->first;
        const auto away = fleet.vms().at(known);
        fleet.vms().erase(known);
        fleet.run_for(17'000);
        fleet.order_wave({1, {known, "m900", "m901"}, 20'000, 1});
        fleet.run_for(1'000);
        for (const std::string name : {"m900", "m901"}) {
            auto joined = away;
            joined.name = name;
            joined.worker.clear();
            joined.state = vm_state::down;
            joined.back_at = fleet.now() + 100;
            fleet.vms()[name] = joined;
        }
        fleet.vms()[known] = away;
        for (int i = 0; i < 200 && !fleet.table().waves().at(1).completed(); ++i)
            fleet.run_for(100);
        CPPUNIT_ASSERT(fleet.table().waves().at(1).completed());
        for (const auto& name : {known, std::string("m900"), std::string("m901")})
            CPPUNIT_ASSERT_MESSAGE(name, fleet.vms().at(name).upkept_waves.contains(1));
        assert_no_violations(fleet);
    }

    // An upkeep that the former leader had announced counted neither for max_down nor for the
    // limits of the tasks on its VM, so a second VM went down beside it.
    void vms_held_by_the_former_leader_count_as_down() {
        fake_fleet fleet({});
        fleet.run_for(2'500);
        CPPUNIT_ASSERT(fleet.submit("qa", id_of(1), one_step(make_long_running_step(4, 9'000, 1))));
        fleet.run_for(4'500);
        std::vector<std::string> busy;
        wave_order order{1, {}, 20'000, 1};
        for (const auto& [id, item] : fleet.workers()) {
            if (!item.runs.empty())
                busy.push_back(id);
            else if (order.vms.empty())
                order.vms.push_back(item.vm);
        }
        order.vms.push_back(fleet.workers().at(busy[0]).vm);
        order.vms.push_back(fleet.workers().at(busy[1]).vm);
        const auto held = order.vms[1];
        fleet.announce_from_other_node(held, "n2");
        fleet.order_wave(order);
        fleet.run_for(1'000);
        CPPUNIT_ASSERT_EQUAL(0, fleet.upkeeps());
        CPPUNIT_ASSERT(!fleet.workers().at(busy[1]).runs.empty());
        fleet.take_down_for_upkeep(held, 1);
        fleet.run_for(19'000);
        CPPUNIT_ASSERT(fleet.table().waves().at(1).completed());
        assert_no_violations(fleet);
    }

    // While a VM was down for one wave, the order was repeated for the other one. If it came when
    // the VM was just up again, it went down at once and unplanned.
    void upkeep_is_repeated_for_its_own_wave_only() {
        fake_fleet fleet({});
        fleet.run_for(2'500);
        const auto vm = fleet.workers().begin()->second.vm;
        fleet.order_wave({1, {vm}, 20'000, 1});
        fleet.order_wave({2, {vm}, 20'000, 1});
        for (int i = 0; i < 2'000 && fleet.upkeeps() < 2; ++i) {
            const bool down = fleet.vms().at(vm).state == vm_state::upkeep;
            const auto ordered_at = down ? fleet.table().vm_holders().at(vm).announced_at : 0;
            fleet.run_for(10);
            if (down && fleet.vms().at(vm).state == vm_state::upkeep)
                CPPUNIT_ASSERT_EQUAL(ordered_at, fleet.table().vm_holders().at(vm).announced_at);
        }
        fleet.run_for(4'000);
        CPPUNIT_ASSERT(fleet.table().waves().at(1).completed());
        CPPUNIT_ASSERT(fleet.table().waves().at(2).completed());
        CPPUNIT_ASSERT_EQUAL(2, fleet.upkeeps());
        assert_no_violations(fleet);
    }

    // A worker announced its shutdown and came back under its id. When its VM was not listed for
    // some seconds later, it was taken for removed, and the wave ended without it.
    void vm_of_a_restarted_worker_is_not_removed_early() {
        fake_fleet fleet({});
        fleet.run_for(2'500);
        const auto worker = fleet.workers().begin()->first;
        const auto vm = fleet.workers().begin()->second.vm;
        fleet.control().observe_leaving(worker, fleet.now());
        fleet.restart_after(worker, 3'000);
        fleet.run_for(6'000);
        const auto away = fleet.vms().at(vm);
        CPPUNIT_ASSERT_EQUAL(worker, away.worker);
        fleet.vms().erase(vm);
        fleet.order_wave({1, {vm}, 30'000, 1});
        fleet.run_for(8'000);
        CPPUNIT_ASSERT(!fleet.table().waves().at(1).completed());
        fleet.vms()[vm] = away;
        fleet.run_for(10'000);
        CPPUNIT_ASSERT(fleet.vms().at(vm).upkept_waves.contains(1));
        assert_no_violations(fleet);
    }

    // A VM was removed after an upkeep without an answer. It counted as down for the rest of the
    // wave, which allowed one at a time, so that the last VM never had its turn.
    void vm_removed_during_its_upkeep_blocks_no_other() {
        fake_fleet fleet({});
        fleet.run_for(2'500);
        wave_order order{1, {}, 20'000, 1};
        for (const auto& [name, item] : fleet.vms()) {
            if (order.vms.size() < 3)
                order.vms.push_back(name);
        }
        fleet.vm_answers_lost = true;
        fleet.order_wave(order);
        while (fleet.upkeeps() == 0)
            fleet.run_for(10);
        std::erase_if(fleet.vms(),
                      [](const auto& item) { return item.second.upkept_waves.contains(1); });
        fleet.run_for(600);
        fleet.vm_answers_lost = false;
        fleet.run_for(30'000);
        CPPUNIT_ASSERT(fleet.table().waves().at(1).completed());
        CPPUNIT_ASSERT_EQUAL(3, fleet.upkeeps());
        assert_no_violations(fleet);
    }

    static int served_in_surge(bool vm_orders, fake_fleet& fleet) {
        fleet.run_for(8'000); // the VMs move to standby
        for (int i = 0; i < 200; ++i) {
            fleet.submit("qa", id_of(i), one_step(make_step(6, 1'000, 800)));
            fleet.run_for(40);
        }
        fleet.run_for(4'000);
        int served = 0;
        for (int i = 0; i < 200; ++i) {
            const auto* item = fleet.table().find_job(id_of(i));
            served += item && item->state == job_state::completed ? 1 : 0;
        }
        CPPUNIT_ASSERT(vm_orders == (fleet.moves() > 0));
        assert_no_violations(fleet);
        return served;
    }

    // One queue needs about twice what its pool holds while the other pool is idle. Movable VMs
    // that begin in standby must still serve more jobs than fixed pools.
    // Load: a burst of jobs whose first step is narrow and whose second one fills the pool for a
    // second each. The second steps waited, the pool was idle, and callers were refused.
    void jobs_are_refused_while_later_steps_wait() {
        fleet_options options;
        options.vm_orders = false;
        fake_fleet fleet(options);
        fleet.run_for(2'000);
        job_spec spec;
        spec.steps = {make_step(1, 1'000, 4'000), make_step(8, 4'000, 2'000)};
        spec.steps[1].depends_on = {0};
        constexpr int jobs = 6;
        for (int i = 0; i < jobs; ++i) {
            CPPUNIT_ASSERT(fleet.submit("qa", id_of(i), spec));
            fleet.run_for(500);
        }
        fleet.run_for(12'000);
        for (int i = 0; i < jobs; ++i)
            CPPUNIT_ASSERT(job_state::completed == fleet.table().find_job(id_of(i))->state);
        CPPUNIT_ASSERT(fleet.violations().empty());
    }

    void vms_move_to_surging_pool() {
        fleet_options fixed;
        fixed.vm_orders = false;
        fake_fleet static_pools(fixed);
        fake_fleet moving_pools({});
        const auto baseline = served_in_surge(false, static_pools);
        const auto served = served_in_surge(true, moving_pools);
        CPPUNIT_ASSERT_MESSAGE(std::to_string(served) + " against " + std::to_string(baseline),
                               served > baseline);
    }

    // After a rack lost power in a surge, its tasks waited 6 s for the leases of workers that were
    // gone, so their jobs were late.
    void tasks_restart_before_lease_ends_after_vm_power_loss() {
        fake_fleet fleet({});
        fleet.run_for(2'500);
        CPPUNIT_ASSERT(fleet.submit("qa", id_of(1), one_step(make_long_running_step(4, 2'000, 1))));
        fleet.run_for(2'500);
        std::string holder;
        for (const auto& [id, item] : fleet.workers()) {
            if (!item.runs.empty())
                holder = id;
        }
        fleet.lose_power(holder, 8'000);
        fleet.run_for(2'000);
        std::size_t running = 0;
        for (const auto& [id, item] : fleet.workers())
            running += item.runs.size();
        CPPUNIT_ASSERT_EQUAL(std::size_t{4}, running);
        fleet.run_for(10'000);
        assert_no_violations(fleet);
    }

    // Between its last answer and the end of the pending hold, an unresponsive worker was given one
    // task after another.
    void worker_with_unanswered_start_gets_no_runs() {
        auto item = worker();
        item.reported = item.contacted = true;
        CPPUNIT_ASSERT(accepts_runs(item, 1'000));
        item.unanswered_start_at = 900;
        CPPUNIT_ASSERT(!accepts_runs(item, 1'000));
    }

    // After a leader change, VMs ordered by the old leader stayed unused for 5.6 s, because the
    // time of the orders was taken from wall clocks, which may jump.
    void no_vm_orders_until_pause_after_other_holder_ends() {
        fake_fleet fleet({});
        fleet.run_for(6'000); // the VMs move to standby
        for (const auto& [name, item] : fleet.vms())
            fleet.announce_from_other_node(name, "n2");
        fleet.control().start_leading(2, fleet.now(), fleet.now());
        CPPUNIT_ASSERT(fleet.submit("qa", id_of(1), one_step(make_long_running_step(4, 9'000, 1))));
        const auto before = fleet.moves();
        fleet.run_for(2'900);
        CPPUNIT_ASSERT_EQUAL(before, fleet.moves());
        fleet.run_for(900);
        CPPUNIT_ASSERT(fleet.moves() > before);
    }

    // An unanswered start may be carried out seconds later, after the task was started elsewhere.
    void late_orders_never_duplicate_tasks() {
        fleet_options options;
        options.late_order_share = 0.2;
        fake_fleet fleet(options);
        fleet.run_for(3'000);
        for (int i = 0; i < 40; ++i) {
            fleet.submit("qa", id_of(i), two_steps(make_step(3, 1'500, 600)));
            fleet.run_for(250);
        }
        fleet.run_for(20'000);
        assert_no_violations(fleet);
    }

    // A worker started again under its id. Starts for its former life were carried out by the new
    // one, beside the next run of the same tasks elsewhere.
    void start_for_former_life_runs_beside_its_repeat() {
        for (std::uint64_t seed = 1; seed <= 40; ++seed) {
            fleet_options options;
            options.seed = seed;
            options.vm_orders = false;
            options.late_order_share = 0.1;
            options.life_in_answers = seed % 2 == 0 ? 0.5 : 0;
            options.commit_loss = 0.3;
            fake_fleet fleet(options);
            random_source random(seed * 3'571);
            fleet.run_for(3'000);
            int accepted = 0;
            for (int i = 0; i < 40; ++i) {
                if (fleet.control().leading() &&
                    fleet.submit("qa", id_of(i), one_step(make_step(3, 1'500, 600))))
                    ++accepted;
                fleet.run_for(random.between(50, 250));
                if (random.chance(0.3)) {
                    auto it = fleet.workers().begin();
                    std::advance(it, random.below(fleet.workers().size()));
                    fleet.restart(it->first);
                }
                if (seed % 4 == 0 && random.chance(0.03) && fleet.control().leading())
                    fleet.replace_leader(random.between(0, 1'000));
            }
            fleet.run_for(30'000);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(
                "seed " + std::to_string(seed) + ": " +
                    (fleet.violations().empty() ? std::string() : fleet.violations().front()),
                std::size_t{0}, fleet.violations().size());
            int done = 0;
            for (int i = 0; i < 40; ++i) {
                const auto* item = fleet.table().find_job(id_of(i));
                done += item && item->state == job_state::completed ? 1 : 0;
            }
            CPPUNIT_ASSERT_EQUAL_MESSAGE("seed " + std::to_string(seed), accepted, done);
        }
    }

    // A worker crashed, its VM was listed as down, and its address refused calls, so that the
    // leader dropped it with its unanswered starts. Its next life carried one out beside the repeat
    // elsewhere.
    void late_start_of_a_dropped_worker_runs_in_its_next_life() {
        int dropped = 0;
        for (std::uint64_t seed = 1; seed <= 30; ++seed) {
            fleet_options options;
            options.seed = seed;
            options.late_order_share = 0.15;
            fake_fleet fleet(options);
            random_source random(seed * 2'311);
            fleet.run_for(3'000);
            int accepted = 0;
            for (int i = 0; i < 30; ++i) {
                accepted +=
                    fleet.submit("qa", id_of(i), one_step(make_step(3, 1'500, 900))) ? 1 : 0;
                fleet.run_for(random.between(50, 250));
                if (!random.chance(0.15))
                    continue;
                auto it = fleet.workers().begin();
                std::advance(it, random.below(fleet.workers().size()));
                const auto worker = it->first;
                fleet.restart_after(worker, random.between(1'500, 4'000));
                fleet.run_for(1'400);
                dropped += fleet.control().workers().contains(worker) ? 0 : 1;
            }
            fleet.run_for(40'000);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(
                "seed " + std::to_string(seed) + ": " +
                    (fleet.violations().empty() ? std::string() : fleet.violations().front()),
                std::size_t{0}, fleet.violations().size());
            int done = 0;
            for (int i = 0; i < 30; ++i) {
                const auto* item = fleet.table().find_job(id_of(i));
                done += item && item->state == job_state::completed ? 1 : 0;
            }
            CPPUNIT_ASSERT_EQUAL_MESSAGE("seed " + std::to_string(seed), accepted, done);
        }
        CPPUNIT_ASSERT(dropped > 0);
    }

    // Starts waited for a connection to a worker that was cut off, and were sent to its next life.
    void order_for_former_life_is_sent() {
        fake_fleet fleet({});
        fleet.run_for(3'000);
        const auto& known = fleet.control().workers().begin()->second;
        hold_order hold;
        hold.worker = known.ref;
        hold.address = known.address;
        hold.fence = fleet.control().fence();
        CPPUNIT_ASSERT(fleet.control().is_wanted(hold));
        auto of_former_leader = hold;
        --of_former_leader.fence;
        CPPUNIT_ASSERT(!fleet.control().is_wanted(of_former_leader));
        fleet.restart(known.ref.id);
        fleet.announce_now(known.ref.id);
        CPPUNIT_ASSERT(!fleet.control().is_wanted(hold));
        hold.worker = fleet.workers().at(hold.worker.id).ref;
        CPPUNIT_ASSERT(fleet.control().is_wanted(hold));
        start_order start;
        start.worker = hold.worker;
        start.fence = hold.fence;
        CPPUNIT_ASSERT(!fleet.control().is_wanted(start)); // there is no such run
    }

    static std::size_t count_runs(fake_fleet& fleet) {
        std::size_t out = 0;
        for (const auto& [id, item] : fleet.workers())
            out += item.runs.size();
        return out;
    }

    static std::string busiest_worker(fake_fleet& fleet) {
        const auto it = std::ranges::max_element(
            fleet.workers(), {}, [](const auto& item) { return item.second.runs.size(); });
        CPPUNIT_ASSERT(!it->second.runs.empty());
        return it->first;
    }

    // A worker started again under its id at another address. Stops for it went to the former one,
    // and the refusal by the next worker there was taken for the end of the new life.
    void next_life_is_stopped_at_its_former_address() {
        fleet_options options;
        options.vm_orders = false;
        fake_fleet fleet(options);
        fleet.run_for(3'000);
        const auto worker = fleet.workers().begin()->first;
        fleet.set_unresponsive(worker, true);
        CPPUNIT_ASSERT(fleet.submit("qa", id_of(1), one_step(make_step(4, 9'000, 5'000))));
        fleet.run_for(60);
        CPPUNIT_ASSERT(
            !fleet.control().workers().at(worker).runs.empty()); // the start is on the way
        auto& item = fleet.workers().at(worker);
        const auto former_address = item.address;
        const auto other = fleet.workers().rbegin()->first;
        fleet.restart(worker);
        item.unresponsive = false;
        item.address = "10.0.1.1:80";
        fleet.replace_at_address(other);
        fleet.workers().rbegin()->second.address = former_address;
        fleet.announce_now(worker);
        fleet.run_for(1'000);
        CPPUNIT_ASSERT(fleet.control().workers().contains(worker));
        CPPUNIT_ASSERT(accepts_runs(fleet.control().workers().at(worker), fleet.now()));
        assert_no_violations(fleet);
        fleet.run_for(8'000);
        CPPUNIT_ASSERT(job_state::completed == fleet.table().find_job(id_of(1))->state);
        assert_no_violations(fleet);
    }

    // Restarts two of four workers under their ids, has tasks of 9.5 s started on all of them and
    // cuts the two off.
    static void restart_and_cut_off(fake_fleet& fleet, time_ms restart_at, time_ms cut_after) {
        fleet.run_for(restart_at);
        std::vector<std::string> restarted;
        for (const auto& [id, item] : fleet.workers()) {
            if (item.pool == "a" && restarted.size() < 2)
                restarted.push_back(id);
        }
        for (const auto& id : restarted)
            fleet.restart(id);
        fleet.run_for(100);
        for (int i = 0; i < 4; ++i)
            CPPUNIT_ASSERT(fleet.submit("qa", id_of(i), one_step(make_step(4, 2'000, 9'500))));
        fleet.run_for(cut_after);
        for (const auto& id : restarted) {
            CPPUNIT_ASSERT(!fleet.workers().at(id).runs.empty());
            fleet.set_unresponsive(id, true);
        }
    }

    // A worker started again under its id, and its new life carried out a hold for the former one.
    // The end of the lease in it lay far ahead on the clock of the new life, which took the longest
    // lease that there is. It was cut off, and its tasks were started elsewhere 4 s too early.
    void next_life_keeps_the_lease_of_an_order_for_the_former_one() {
        for (time_ms delay = 0; delay < 1'500; delay += 105) {
            fleet_options options;
            options.vm_orders = false;
            fake_fleet fleet(options);
            restart_and_cut_off(fleet, 6'000 + delay, 200 + delay);
            fleet.run_for(40'000);
            assert_no_violations(fleet);
            for (int i = 0; i < 4; ++i)
                CPPUNIT_ASSERT(job_state::completed == fleet.table().find_job(id_of(i))->state);
        }
    }

    // As above, with a new leader, which knows the worker from the log only.
    void next_leader_allows_for_leases_of_orders_for_former_lives() {
        for (time_ms delay = 0; delay < 1'500; delay += 105) {
            fleet_options options;
            options.vm_orders = false;
            fake_fleet fleet(options);
            restart_and_cut_off(fleet, 6'000 + delay, 200 + delay);
            fleet.replace_leader(0);
            fleet.run_for(45'000);
            assert_no_violations(fleet);
            for (int i = 0; i < 4; ++i)
                CPPUNIT_ASSERT(job_state::completed == fleet.table().find_job(id_of(i))->state);
        }
    }

    // The next life of a worker carried out a start for the former one, and was cut off before the
    // leader learnt of it. Its tasks were started elsewhere when the lease of the former life
    // ended.
    void unlisted_run_may_outlast_the_lease_of_the_known_life() { lose_sight_of_next_life(10'000); }

    // As above, where workers grant leases of up to 20 s.
    void longest_lease_depends_on_the_deployment() { lose_sight_of_next_life(20'000); }

    static void lose_sight_of_next_life(time_ms max_lease) {
        fleet_options options;
        options.vm_orders = false;
        options.max_lease = max_lease;
        fake_fleet fleet(options);
        fleet.run_for(max_lease);
        const auto worker = fleet.workers().begin()->first;
        fleet.restart(worker);
        fleet.workers().at(worker).answers_starts_only = true;
        for (int i = 0; i < 2; ++i)
            CPPUNIT_ASSERT(
                fleet.submit("qa", id_of(i), one_step(make_step(4, 2'000, max_lease - 500))));
        fleet.run_for(100);
        CPPUNIT_ASSERT(!fleet.workers().at(worker).runs.empty());
        fleet.set_unresponsive(worker, true);
        fleet.run_for(3 * max_lease);
        assert_no_violations(fleet);
        for (int i = 0; i < 2; ++i)
            CPPUNIT_ASSERT(job_state::completed == fleet.table().find_job(id_of(i))->state);
    }

    // Goes on with short tasks while workers start again under their ids. Until `unknown_time` has
    // passed the leader does not learn of the next life, which carries out starts for the former
    // one.
    static void restart_among_short_tasks(fleet_options options, time_ms unknown_time) {
        options.vm_orders = false;
        fake_fleet fleet(options);
        random_source random(options.seed * 4'507);
        fleet.run_for(3'000);
        constexpr int jobs = 60;
        int accepted = 0;
        std::string unknown; // restarted worker that the leader has not learned of
        time_ms unknown_since = 0;
        for (int i = 0; i < jobs; ++i) {
            if (!unknown.empty() && fleet.now() - unknown_since >= unknown_time) {
                fleet.workers().at(unknown).answers_starts_only = false;
                unknown.clear();
            }
            accepted += fleet.submit("qa", id_of(i), one_step(make_step(4, 1'000, 300))) ? 1 : 0;
            fleet.run_for(random.between(20, 120));
            if (i < 20 || i % 8 != 0 || !unknown.empty())
                continue;
            auto it = fleet.workers().begin();
            std::advance(it, random.below(fleet.workers().size()));
            unknown = it->first;
            unknown_since = fleet.now();
            fleet.restart(unknown);
            fleet.workers().at(unknown).answers_starts_only = unknown_time > 0;
        }
        if (!unknown.empty())
            fleet.workers().at(unknown).answers_starts_only = false;
        fleet.run_for(45'000);
        const auto seed = "seed " + std::to_string(options.seed);
        CPPUNIT_ASSERT_EQUAL_MESSAGE(
            seed + ": " + (fleet.violations().empty() ? "" : fleet.violations().front()),
            std::size_t{0}, fleet.violations().size());
        int done = 0;
        for (int i = 0; i < jobs; ++i) {
            const auto* item = fleet.table().find_job(id_of(i));
            done += item && item->state == job_state::completed ? 1 : 0;
        }
        CPPUNIT_ASSERT_EQUAL_MESSAGE(seed, accepted, done);
    }

    // A worker started again under its id, and its next life ran tasks that were meant for the
    // former one. Then a hold for the former life acknowledged ends by their numbers there: the
    // next life forgot its own ends with these numbers, and its tasks ran again elsewhere.
    void next_life_forgets_ends_that_were_acknowledged_to_the_former_one() {
        for (std::uint64_t seed = 1; seed <= 20; ++seed) {
            fleet_options options;
            options.seed = seed;
            restart_among_short_tasks(options, 900);
        }
    }

    // As above, by holds that go unanswered and are carried out seconds later.
    void late_acknowledgement_reaches_the_next_life() {
        for (std::uint64_t seed = 1; seed <= 20; ++seed) {
            fleet_options options;
            options.seed = seed;
            options.late_order_share = 0.1;
            restart_among_short_tasks(options, 0);
        }
    }

    // An announcement with the address of a sound worker, but of a pool that does not exist or
    // under an id that nobody has, had the worker's tasks started elsewhere while they ran on.
    void announcement_of_another_writer_ends_a_worker() {
        for (const std::string pool : {"none", "a"}) {
            fleet_options options;
            options.vm_orders = false;
            fake_fleet fleet(options);
            fleet.run_for(3'000);
            CPPUNIT_ASSERT(fleet.submit("qa", id_of(1), one_step(make_step(6, 1'000, 3'000))));
            fleet.run_for(700);
            const auto victim = busiest_worker(fleet);
            auto report = fleet.report_of(victim);
            report.worker = {"x-1", fleet.now()};
            report.pool = pool;
            fleet.control().observe(report, fleet.now());
            // The next one names the worker itself.
            report = fleet.report_of(victim);
            report.pool = "none";
            report.sequence += 1'000;
            CPPUNIT_ASSERT(!fleet.control().observe(report, fleet.now()));
            report.worker.started_at = fleet.now();
            CPPUNIT_ASSERT(!fleet.control().observe(report, fleet.now()));
            fleet.run_for(1'000);
            assert_no_violations(fleet);
            CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, fleet.control().counters().lost_runs);
            CPPUNIT_ASSERT(accepts_runs(fleet.control().workers().at(victim), fleet.now()));
            CPPUNIT_ASSERT(!fleet.control().workers().contains("x-1"));
            fleet.run_for(4'000);
            CPPUNIT_ASSERT(job_state::completed == fleet.table().find_job(id_of(1))->state);
            assert_no_violations(fleet);
        }
    }

    // The answer of a new worker at the address of another one shows that the other has ended. Its
    // tasks must not wait until the end of the lease.
    void tasks_wait_for_lease_after_address_is_reused() {
        fleet_options options;
        options.vm_orders = false;
        fake_fleet fleet(options);
        fleet.run_for(3'000);
        CPPUNIT_ASSERT(fleet.submit("qa", id_of(1), one_step(make_long_running_step(4, 3'000, 1))));
        fleet.run_for(2'000);
        fleet.replace_at_address(busiest_worker(fleet));
        fleet.run_for(1'000);
        CPPUNIT_ASSERT_EQUAL(std::size_t{4}, count_runs(fleet));
        assert_no_violations(fleet);
    }

    // A worker announced another address and was forgotten. The next worker at its first address
    // was taken for its successor there, and the leader aborted.
    void worker_at_a_former_address_of_another_ends_the_process() {
        fleet_options options;
        options.vm_orders = false;
        fake_fleet fleet(options);
        fleet.run_for(3'000);
        const auto mover = fleet.workers().begin()->first;
        const auto first_address = fleet.workers().at(mover).address;
        fleet.workers().at(mover).address = "10.0.1.1:80";
        fleet.announce_now(mover);
        fleet.run_for(100);
        fleet.shut_down(mover);
        fleet.control().observe_leaving(mover, fleet.now());
        fleet.run_for(1'000);
        CPPUNIT_ASSERT(!fleet.control().workers().contains(mover));
        const auto next = fleet.workers().begin()->first;
        fleet.replace_at_address(next);
        auto& successor = fleet.workers().rbegin()->second;
        successor.address = first_address;
        fleet.announce_now(successor.ref.id);
        fleet.run_for(200);
        CPPUNIT_ASSERT(accepts_runs(fleet.control().workers().at(successor.ref.id), fleet.now()));
    }

    // Another node was frozen while two workers left and started again under their ids, and passed
    // their notices on when it woke. The tasks of the new lives were stopped, and none started on
    // them any more.
    void late_notice_of_leaving_stops_the_next_life() {
        fleet_options options;
        options.vm_orders = false;
        options.pools = {{"a", 2}};
        fake_fleet fleet(options);
        fleet.run_for(3'000);
        std::vector<std::string> ids;
        for (const auto& [id, item] : fleet.workers())
            ids.push_back(id);
        for (const auto& id : ids)
            fleet.restart(id);
        fleet.run_for(2'000);
        auto step = make_long_running_step(2, 1'000, 1);
        step.max_per_worker = 1;
        CPPUNIT_ASSERT(fleet.submit("qa", id_of(1), one_step(step)));
        fleet.run_for(3'000);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, count_runs(fleet));
        const auto starts = fleet.control().counters().starts;
        for (const auto& id : ids)
            fleet.control().observe_leaving(id, fleet.now());
        for (const auto& id : ids)
            CPPUNIT_ASSERT(!accepts_runs(fleet.control().workers().at(id), fleet.now()));
        fleet.run_for(3'000);
        assert_no_violations(fleet);
        CPPUNIT_ASSERT_EQUAL(starts, fleet.control().counters().starts);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, count_runs(fleet));
        for (const auto& id : ids)
            CPPUNIT_ASSERT(accepts_runs(fleet.control().workers().at(id), fleet.now()));
    }

    // A new leader may learn of a shutdown only from its notice. The tasks of a worker that has
    // ended must not wait until the end of the lease.
    void tasks_wait_for_lease_after_unannounced_shutdown() {
        fleet_options options;
        options.vm_orders = false;
        fake_fleet fleet(options);
        fleet.run_for(3'000);
        CPPUNIT_ASSERT(fleet.submit("qa", id_of(1), one_step(make_long_running_step(4, 3'000, 1))));
        fleet.run_for(2'000);
        const auto worker = busiest_worker(fleet);
        fleet.control().observe_leaving(worker, fleet.now());
        fleet.run_for(20);
        fleet.shut_down(worker);
        fleet.run_for(1'500);
        CPPUNIT_ASSERT_EQUAL(std::size_t{4}, count_runs(fleet));
        assert_no_violations(fleet);
    }

    // Connections to a worker that shut down hung because it was cut off one way. Two of them were
    // taken for the end of the worker, and its task was started elsewhere before its lease ended.
    void hanging_connections_end_no_leaving_worker() {
        fleet_options options;
        options.vm_orders = false;
        fake_fleet fleet(options);
        fleet.run_for(3'000);
        CPPUNIT_ASSERT(fleet.submit("qa", id_of(1), one_step(make_step(1, 1'000, 9'000))));
        fleet.run_for(1'000);
        const auto worker = busiest_worker(fleet);
        fleet.workers().at(worker).draining = true;
        fleet.announce_now(worker);
        fleet.run_for(1'000);
        fleet.workers().at(worker).unreachable = true;
        fleet.control().observe_leaving(worker, fleet.now());
        fleet.run_for(20'000);
        assert_no_violations(fleet);
        CPPUNIT_ASSERT(job_state::completed == fleet.table().find_job(id_of(1))->state);
    }

    void new_leader_neither_loses_nor_duplicates_work() {
        fleet_options options;
        options.commit_loss = 0.5;
        fake_fleet fleet(options);
        fleet.run_for(2'500);
        CPPUNIT_ASSERT(
            fleet.submit("qb", id_of(999), one_step(make_long_running_step(3, 2'000, 1))));
        int accepted = 0;
        for (int i = 0; i < 30; ++i) {
            accepted += fleet.submit("qa", id_of(i), two_steps(make_step(3, 1'500, 600))) ? 1 : 0;
            fleet.run_for(200);
            if (i % 10 == 9) {
                fleet.replace_leader(300);
                fleet.run_for(2'500);
            }
        }
        fleet.run_for(15'000);
        int done = 0;
        for (int i = 0; i < 30; ++i) {
            const auto* item = fleet.table().find_job(id_of(i));
            done += item && item->state == job_state::completed ? 1 : 0;
        }
        CPPUNIT_ASSERT_EQUAL(accepted, done);
        assert_no_violations(fleet);
    }

    // A leader that was cut off right after an upkeep leaves its outcome unknown. The next one
    // repeated the order, took the platform's success for the end of the worker that had started on
    // the VM since then, started its task a second time and never used the worker again.
    void repeated_upkeep_is_not_taken_for_the_end_of_a_worker() {
        fake_fleet fleet({});
        fleet.run_for(2'500);
        CPPUNIT_ASSERT(fleet.submit("qa", id_of(1), one_step(make_long_running_step(4, 4'000, 1))));
        fleet.run_for(4'500);
        std::string vm;
        for (const auto& [id, item] : fleet.workers()) {
            if (!item.runs.empty())
                vm = item.vm;
        }
        fleet.order_wave({1, {vm}, 20'000, 1});
        fleet.announce_from_other_node(vm, "n2");
        fleet.take_down_for_upkeep(vm, 1);
        fleet.run_for(2'300);
        CPPUNIT_ASSERT(fleet.submit("qa", id_of(2), one_step(make_long_running_step(4, 4'000, 1))));
        fleet.run_for(600);
        const auto worker = fleet.vms().at(vm).worker;
        CPPUNIT_ASSERT(!fleet.workers().at(worker).runs.empty());
        fleet.run_for(4'000);
        assert_no_violations(fleet);
        CPPUNIT_ASSERT(fleet.table().waves().at(1).completed());
        CPPUNIT_ASSERT_EQUAL(worker, fleet.vms().at(vm).worker);
        CPPUNIT_ASSERT(accepts_runs(fleet.control().workers().at(worker), fleet.now()));
        std::size_t running = 0;
        for (const auto& [id, item] : fleet.workers())
            running += item.runs.size();
        CPPUNIT_ASSERT_EQUAL(std::size_t{8}, running);
    }

    // The platform answered an upkeep late and then declined its repetition, which was taken for an
    // answer to both. The next success ended the worker that had started on the VM since then: its
    // task was started a second time, and the worker was not used again.
    void declined_repeat_of_upkeep_says_nothing_about_the_first() {
        fake_fleet fleet({});
        fleet.run_for(2'500);
        const auto vm = fleet.workers().begin()->second.vm;
        fleet.vm_answers_lost = true;
        fleet.order_wave({1, {vm}, 20'000, 1});
        fleet.run_for(600);
        fleet.vm_answers_lost = false;
        fleet.platform_busy = true;
        CPPUNIT_ASSERT_EQUAL(1, fleet.upkeeps());
        fleet.run_for(2'000);
        CPPUNIT_ASSERT(fleet.submit("qa", id_of(1), one_step(make_long_running_step(4, 9'000, 1))));
        fleet.run_for(700);
        fleet.platform_busy = false;
        fleet.run_for(5'000);
        assert_no_violations(fleet);
        CPPUNIT_ASSERT_EQUAL(1, fleet.upkeeps());
        CPPUNIT_ASSERT(fleet.table().waves().at(1).completed());
        CPPUNIT_ASSERT(
            accepts_runs(fleet.control().workers().at(fleet.vms().at(vm).worker), fleet.now()));
        CPPUNIT_ASSERT_EQUAL(std::size_t{4}, count_runs(fleet));
    }

    // An order about a VM that goes unanswered is repeated, and may be carried out by either.
    void unanswered_vm_orders_violate_no_invariant() {
        for (std::uint64_t seed = 1; seed <= 20; ++seed) {
            fleet_options options;
            options.seed = seed;
            options.vm_answer_loss = 0.3;
            options.commit_loss = 0.3;
            fake_fleet fleet(options);
            random_source random(seed * 6'007);
            fleet.run_for(2'500);
            fleet.submit("qa", id_of(1'001), one_step(make_long_running_step(4, 1'500, 1)));
            fleet.submit("qb", id_of(1'002), one_step(make_long_running_step(3, 2'500, 1)));
            wave_order order{1, {}, 20'000, 2};
            for (const auto& [name, item] : fleet.vms())
                order.vms.push_back(name);
            fleet.order_wave(order);
            for (int i = 0; i < 60; ++i) {
                if (fleet.control().leading())
                    fleet.submit(random.chance(0.5) ? "qa" : "qb", id_of(i),
                                 two_steps(make_step(1 + random.below(6), 1'000, 500)));
                fleet.run_for(random.between(50, 600));
                if (random.chance(0.08) && fleet.control().leading())
                    fleet.replace_leader(random.between(0, 1'000));
            }
            fleet.run_for(20'000);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(
                "seed " + std::to_string(seed) + ": " +
                    (fleet.violations().empty() ? std::string() : fleet.violations().front()),
                std::size_t{0}, fleet.violations().size());
            CPPUNIT_ASSERT(fleet.table().waves().at(1).completed());
        }
    }

    // An order that the platform declines after an unanswered one may have been carried out before,
    // and its VM still be down.
    void declined_vm_orders_violate_no_invariant() {
        for (std::uint64_t seed = 1; seed <= 20; ++seed) {
            fleet_options options;
            options.seed = seed;
            options.vm_answer_loss = 0.3;
            options.vm_decline_share = 0.3;
            options.commit_loss = 0.3;
            fake_fleet fleet(options);
            random_source random(seed * 8'009);
            fleet.run_for(2'500);
            fleet.submit("qa", id_of(1'001), one_step(make_long_running_step(4, 1'500, 1)));
            fleet.submit("qb", id_of(1'002), one_step(make_long_running_step(3, 2'500, 1)));
            wave_order order{1, {}, 20'000, 2};
            for (const auto& [name, item] : fleet.vms())
                order.vms.push_back(name);
            fleet.order_wave(order);
            for (int i = 0; i < 60; ++i) {
                if (fleet.control().leading())
                    fleet.submit(random.chance(0.5) ? "qa" : "qb", id_of(i),
                                 two_steps(make_step(1 + random.below(6), 1'000, 500)));
                fleet.run_for(random.between(50, 600));
                if (random.chance(0.08) && fleet.control().leading())
                    fleet.replace_leader(random.between(0, 1'000));
            }
            fleet.run_for(20'000);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(
                "seed " + std::to_string(seed) + ": " +
                    (fleet.violations().empty() ? std::string() : fleet.violations().front()),
                std::size_t{0}, fleet.violations().size());
            CPPUNIT_ASSERT(fleet.table().waves().at(1).completed());
        }
    }

    // Only some workers may run a step, and only the advice service knows which.
    void advised_steps_run_only_on_allowed_workers() {
        fleet_options options;
        options.advice = true;
        options.vm_orders = false;
        fake_fleet fleet(options);
        fleet.run_for(2'500);
        for (int i = 0; i < 5; ++i)
            CPPUNIT_ASSERT(fleet.submit("qa", id_of(i), two_steps(make_step(4, 1'000, 500))));
        fleet.run_for(300);
        for (const auto& [id, item] : fleet.workers())
            CPPUNIT_ASSERT(item.runs.empty() || fake_fleet::is_allowed(id));
        fleet.run_for(5'000);
        for (int i = 0; i < 5; ++i)
            CPPUNIT_ASSERT(job_state::completed == fleet.table().find_job(id_of(i))->state);
        CPPUNIT_ASSERT(fleet.advice_calls() >= 10 && fleet.advice_calls() <= 30);
        assert_no_violations(fleet);
    }

    // Random faults, waves and leader changes, from fixed seeds.
    void random_faults_violate_no_invariant() {
        for (std::uint64_t seed = 1; seed <= 40; ++seed) {
            fleet_options options;
            options.seed = seed;
            options.late_order_share = seed % 3 == 0 ? 0.05 : 0;
            options.commit_loss = 0.3;
            fake_fleet fleet(options);
            random_source random(seed * 7919);
            fleet.run_for(2'500);
            fleet.submit("qa", id_of(1'001), one_step(make_long_running_step(4, 1'500, 1)));
            fleet.submit("qb", id_of(1'002), one_step(make_long_running_step(3, 2'500, 1)));
            fleet.run_for(1'500);
            wave_order order{1, {}, 20'000, 2};
            for (const auto& [name, item] : fleet.vms()) {
                if (random.chance(0.5))
                    order.vms.push_back(name);
            }
            fleet.order_wave(order);
            for (int i = 0; i < 60; ++i) {
                if (fleet.control().leading())
                    fleet.submit(random.chance(0.5) ? "qa" : "qb", id_of(i),
                                 two_steps(make_step(1 + random.below(6), 1'000, 500)));
                fleet.run_for(random.between(50, 400));
                if (random.chance(0.05) && fleet.control().leading())
                    fleet.replace_leader(random.between(0, 3'000));
                if (random.chance(0.08) && !fleet.workers().empty()) {
                    auto it = fleet.workers().begin();
                    std::advance(it, random.below(fleet.workers().size()));
                    if (random.chance(0.5))
                        fleet.set_unresponsive(it->first, !it->second.unresponsive);
                    else
                        fleet.crash(it->first);
                }
                if (random.chance(0.03))
                    fleet.cancel(id_of(static_cast<int>(random.below(60))));
            }
            fleet.run_for(20'000);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(
                "seed " + std::to_string(seed) + ": " +
                    (fleet.violations().empty() ? std::string() : fleet.violations().front()),
                std::size_t{0}, fleet.violations().size());
        }
    }

    // In a surge hundreds of steps wait, and each round searched the full pool for every one.
    void full_pool_is_not_searched_for_each_waiting_step() {
        constexpr int jobs = 50;
        constexpr time_ms submit_interval{20};
        constexpr time_ms round_interval{5};
        fleet_options options;
        options.vm_orders = false;
        fake_fleet fleet(options);
        fleet.run_for(2'500);
        const auto before = fleet.control().counters();
        for (int i = 0; i < jobs; ++i) {
            fleet.submit("qa", id_of(i), one_step(make_step(1, 5'000, 800)));
            fleet.run_for(submit_interval);
        }
        CPPUNIT_ASSERT(fleet.control().pending_jobs("qa") >= 4);
        const auto& after = fleet.control().counters();
        const auto starts = after.starts - before.starts;
        const auto searches = after.placement_searches - before.placement_searches;
        CPPUNIT_ASSERT(starts >= 12 && searches >= starts);
        CPPUNIT_ASSERT(searches - starts <= std::uint64_t{jobs * submit_interval / round_interval});
        assert_no_violations(fleet);
    }

    // A total that drifts from the runs of its worker would misstate the capacity of a pool.
    void long_running_totals_match_recount_on_random_days() {
        for (std::uint64_t seed = 1; seed <= 12; ++seed) {
            fleet_options options;
            options.seed = seed;
            options.late_order_share = 0.05;
            options.commit_loss = 0.3;
            fake_fleet fleet(options);
            random_source random(seed * 104'729);
            fleet.run_for(2'500);
            bool counted_any = false;
            for (int i = 0; i < 60; ++i) {
                if (fleet.control().leading())
                    fleet.submit("qa", id_of(i),
                                 one_step(random.chance(0.2)
                                              ? make_long_running_step(2, 1'500, 1)
                                              : make_step(1 + random.below(6), 1'000, 500)));
                fleet.run_for(random.between(50, 400));
                if (random.chance(0.1))
                    fleet.cancel(id_of(static_cast<int>(random.below(60))));
                if (random.chance(0.08) && !fleet.workers().empty())
                    fleet.crash(fleet.workers().begin()->first);
                if (random.chance(0.04) && fleet.control().leading())
                    fleet.replace_leader(random.between(0, 2'000));
                for (const auto& [id, item] : fleet.control().workers()) {
                    std::uint32_t runs = 0;
                    std::int64_t cpu = 0;
                    for (const auto& [key, run] : item.runs) {
                        runs += run.long_running ? 1U : 0U;
                        cpu += run.long_running ? run.need.cpu : 0;
                    }
                    const auto where = "seed " + std::to_string(seed) + " worker " + id;
                    CPPUNIT_ASSERT_EQUAL_MESSAGE(where, runs, item.long_running_runs);
                    CPPUNIT_ASSERT_EQUAL_MESSAGE(where, cpu, item.long_running_cpu);
                    counted_any = counted_any || runs > 0;
                }
            }
            CPPUNIT_ASSERT(counted_any);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(fleet_test);

} // namespace
