// Guards the decisions of a leading control node against lost and doubled work, and against
// VM orders that end too many tasks, under the load and faults of a day.
#include "workload/fake_fleet.h"

#include <cppunit/extensions/HelperMacros.h>

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
    CPPUNIT_TEST(serves_jobs_of_several_steps);
    CPPUNIT_TEST(lasting_tasks_bring_vms_back_from_rest);
    CPPUNIT_TEST(lasting_tasks_get_room_in_a_full_pool);
    CPPUNIT_TEST(upkeep_counts_tasks_on_silent_workers_as_away);
    CPPUNIT_TEST(wave_is_done_in_time);
    CPPUNIT_TEST(wave_is_not_done_while_vms_are_not_listed);
    CPPUNIT_TEST(wave_does_not_wait_for_a_vm_that_was_taken_away);
    CPPUNIT_TEST(vms_follow_a_surge);
    CPPUNIT_TEST(tasks_of_a_vm_without_power_start_again_before_its_lease_ends);
    CPPUNIT_TEST(worker_that_leaves_a_start_unanswered_gets_no_more);
    CPPUNIT_TEST(vms_of_another_holder_are_left_alone_for_its_turn);
    CPPUNIT_TEST(late_orders_never_double_a_task);
    CPPUNIT_TEST(new_leader_neither_loses_nor_doubles_work);
    CPPUNIT_TEST(advised_steps_run_only_where_they_may);
    CPPUNIT_TEST(random_days_keep_all_promises);
    CPPUNIT_TEST_SUITE_END();

    static void assert_clean(const fake_fleet& fleet) {
        CPPUNIT_ASSERT_EQUAL_MESSAGE(fleet.violations().empty() ? std::string()
                                                                : fleet.violations().front(),
                                     std::size_t{0}, fleet.violations().size());
    }

  public:
    void serves_jobs_of_several_steps() {
        fake_fleet fleet({});
        fleet.run_for(2'500);
        for (int i = 0; i < 4; ++i)
            CPPUNIT_ASSERT(fleet.submit("qa", id_of(i), two_steps(make_step(4, 1'000, 800))));
        fleet.run_for(2'500);
        for (int i = 0; i < 4; ++i)
            CPPUNIT_ASSERT(job_state::completed == fleet.table().find_job(id_of(i))->state);
        assert_clean(fleet);
    }

    // All VMs but one of a pool rest when lasting work comes that needs four.
    void lasting_tasks_bring_vms_back_from_rest() {
        fake_fleet fleet({});
        fleet.run_for(6'000);
        CPPUNIT_ASSERT(fleet.submit("qa", id_of(1), one_step(make_lasting_step(4, 9'000, 1))));
        fleet.run_for(4'000);
        const auto& step = fleet.table().find_job(id_of(1))->occurrences[0].steps[0];
        CPPUNIT_ASSERT_EQUAL(0U, step.waiting);
        assert_clean(fleet);
    }

    // Short tasks take each bit of room that becomes free, so that none is ever large enough.
    void lasting_tasks_get_room_in_a_full_pool() {
        fleet_options options;
        options.vm_orders = false;
        fake_fleet fleet(options);
        fleet.run_for(2'500);
        bool submitted = false;
        for (int i = 0; i < 400; ++i) {
            fleet.submit("qa", id_of(i), one_step(make_step(6, 900, 700 + i % 7 * 60)));
            if (i == 150)
                submitted =
                    fleet.submit("qa", id_of(9'999), one_step(make_lasting_step(2, 9'000, 1)));
            fleet.run_for(25);
        }
        CPPUNIT_ASSERT(submitted);
        CPPUNIT_ASSERT_EQUAL(0U,
                             fleet.table().find_job(id_of(9'999))->occurrences[0].steps[0].waiting);
        assert_clean(fleet);
    }

    // A rack goes dark: its tasks are away, although the last list named them as at work. Ending
    // another task of the step then makes two away where one may be.
    void upkeep_counts_tasks_on_silent_workers_as_away() {
        fake_fleet fleet({});
        fleet.run_for(2'500);
        CPPUNIT_ASSERT(fleet.submit("qa", id_of(1), one_step(make_lasting_step(4, 9'000, 1))));
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
        fleet.set_dark(holder, true);
        fleet.run_for(4'600);
        fleet.order_wave(order);
        fleet.run_for(15'000);
        assert_clean(fleet);
    }

    void wave_is_done_in_time() {
        fake_fleet fleet({});
        fleet.run_for(2'500);
        CPPUNIT_ASSERT(fleet.submit("qa", id_of(1), one_step(make_lasting_step(4, 2'000, 1))));
        CPPUNIT_ASSERT(fleet.submit("qb", id_of(2), one_step(make_lasting_step(3, 2'000, 1))));
        fleet.run_for(2'000);
        wave_order order{1, {}, 20'000, 2};
        for (const auto& [name, item] : fleet.vms())
            order.vms.push_back(name);
        fleet.order_wave(order);
        fleet.run_for(20'000);
        CPPUNIT_ASSERT(fleet.table().waves().at(1).completed());
        CPPUNIT_ASSERT(fleet.upkeeps() >= 10);
        assert_clean(fleet);
    }

    // A VM that the platform does not list any more needs no upkeep; without any list nothing
    // is known about it.
    void wave_is_not_done_while_vms_are_not_listed() {
        fake_fleet fleet({});
        fleet.run_for(3'000);
        fleet.lists_fail = true;
        fleet.order_wave({1, {"m100", "m101"}, 20'000, 1});
        fleet.run_for(8'000);
        const auto& wave = fleet.table().waves().at(1);
        CPPUNIT_ASSERT(!wave.completed() || fleet.upkeeps() == 2);
    }

    // A VM that was emptied and taken away in a wave was waited for like a crashed one, past the
    // end of the wave, and asked to go down ten times a second meanwhile.
    void wave_does_not_wait_for_a_vm_that_was_taken_away() {
        fake_fleet fleet({});
        fleet.run_for(2'500);
        CPPUNIT_ASSERT(fleet.submit("qa", id_of(1), one_step(make_lasting_step(4, 2'000, 1))));
        fleet.run_for(2'000);
        wave_order order{1, {}, 14'000, 2};
        std::string leaving;
        for (const auto& [id, item] : fleet.workers()) {
            order.vms.push_back(item.vm);
            leaving = id;
        }
        fleet.take_away(leaving, 4'000);
        fleet.order_wave(order);
        fleet.run_for(14'000);
        CPPUNIT_ASSERT(fleet.table().waves().at(1).completed());
        CPPUNIT_ASSERT(fleet.declined() <= 8);
        assert_clean(fleet);
    }

    static int served_in_surge(bool vm_orders, fake_fleet& fleet) {
        fleet.run_for(8'000); // the VMs rest
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
        assert_clean(fleet);
        return served;
    }

    // One queue asks for about twice what its pool holds while the other pool is idle. Pools that
    // begin at rest must still serve more than fixed ones.
    void vms_follow_a_surge() {
        fleet_options fixed;
        fixed.vm_orders = false;
        fake_fleet static_pools(fixed);
        fake_fleet moving_pools({});
        const auto baseline = served_in_surge(false, static_pools);
        const auto served = served_in_surge(true, moving_pools);
        CPPUNIT_ASSERT_MESSAGE(std::to_string(served) + " against " + std::to_string(baseline),
                               served > baseline);
    }

    // A rack lost power in a surge: its tasks waited 6 s for leases of workers that were gone, and
    // the jobs were late by then.
    void tasks_of_a_vm_without_power_start_again_before_its_lease_ends() {
        fake_fleet fleet({});
        fleet.run_for(2'500);
        CPPUNIT_ASSERT(fleet.submit("qa", id_of(1), one_step(make_lasting_step(4, 2'000, 1))));
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
        assert_clean(fleet);
    }

    // Between its last answer and the end of the hold under way, a dark worker was given one task
    // after the other.
    void worker_that_leaves_a_start_unanswered_gets_no_more() {
        auto item = worker();
        item.reported = item.contacted = true;
        CPPUNIT_ASSERT(accepts_runs(item, 1'000));
        item.unanswered_start_at = 900;
        CPPUNIT_ASSERT(!accepts_runs(item, 1'000));
    }

    // After a change of the leader, VMs that the old one had ordered stayed unused for 5.6 s,
    // because their time was taken from wall clocks that may jump.
    void vms_of_another_holder_are_left_alone_for_its_turn() {
        fake_fleet fleet({});
        fleet.run_for(6'000); // the VMs rest
        for (const auto& [name, item] : fleet.vms())
            fleet.announce_elsewhere(name, "n2");
        fleet.control().start_leading(2, fleet.now(), fleet.now());
        CPPUNIT_ASSERT(fleet.submit("qa", id_of(1), one_step(make_lasting_step(4, 9'000, 1))));
        const auto before = fleet.moves();
        fleet.run_for(2'900);
        CPPUNIT_ASSERT_EQUAL(before, fleet.moves());
        fleet.run_for(900);
        CPPUNIT_ASSERT(fleet.moves() > before);
    }

    // A start that goes unanswered may be carried out seconds later, when the task has long been
    // started elsewhere.
    void late_orders_never_double_a_task() {
        fleet_options options;
        options.late_orders = 0.2;
        fake_fleet fleet(options);
        fleet.run_for(3'000);
        for (int i = 0; i < 40; ++i) {
            fleet.submit("qa", id_of(i), two_steps(make_step(3, 1'500, 600)));
            fleet.run_for(250);
        }
        fleet.run_for(20'000);
        assert_clean(fleet);
    }

    void new_leader_neither_loses_nor_doubles_work() {
        fleet_options options;
        options.commit_loss = 0.5;
        fake_fleet fleet(options);
        fleet.run_for(2'500);
        CPPUNIT_ASSERT(fleet.submit("qb", id_of(999), one_step(make_lasting_step(3, 2'000, 1))));
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
        assert_clean(fleet);
    }

    // Only some workers may run a step, and only the advice service knows which.
    void advised_steps_run_only_where_they_may() {
        fleet_options options;
        options.advice = true;
        options.vm_orders = false;
        fake_fleet fleet(options);
        fleet.run_for(2'500);
        for (int i = 0; i < 5; ++i)
            CPPUNIT_ASSERT(fleet.submit("qa", id_of(i), two_steps(make_step(4, 1'000, 500))));
        fleet.run_for(300);
        for (const auto& [id, item] : fleet.workers())
            CPPUNIT_ASSERT(item.runs.empty() || fake_fleet::may_run(id));
        fleet.run_for(5'000);
        for (int i = 0; i < 5; ++i)
            CPPUNIT_ASSERT(job_state::completed == fleet.table().find_job(id_of(i))->state);
        CPPUNIT_ASSERT(fleet.advice_calls() >= 10 && fleet.advice_calls() <= 30);
        assert_clean(fleet);
    }

    // Faults, waves and changes of the leader at random times, from fixed seeds.
    void random_days_keep_all_promises() {
        for (std::uint64_t seed = 1; seed <= 40; ++seed) {
            fleet_options options;
            options.seed = seed;
            options.late_orders = seed % 3 == 0 ? 0.05 : 0;
            options.commit_loss = 0.3;
            fake_fleet fleet(options);
            random_source random(seed * 7919);
            fleet.run_for(2'500);
            fleet.submit("qa", id_of(1'001), one_step(make_lasting_step(4, 1'500, 1)));
            fleet.submit("qb", id_of(1'002), one_step(make_lasting_step(3, 2'500, 1)));
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
                    auto at = fleet.workers().begin();
                    std::advance(at, random.below(fleet.workers().size()));
                    if (random.chance(0.5))
                        fleet.set_dark(at->first, !at->second.dark);
                    else
                        fleet.crash(at->first);
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
};

CPPUNIT_TEST_SUITE_REGISTRATION(fleet_test);

} // namespace
