// Guards against moves that lose VMs or count them twice, and against lending that ignores the
// demand or the weights of the manifest.
#include "scheduler/support.h"

#include <cppunit/extensions/HelperMacros.h>

namespace {

using namespace clementine;
using namespace clementine::scheduler;

class pools_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(pools_test);
    CPPUNIT_TEST(vm_stays_in_old_pool_until_reassigned);
    CPPUNIT_TEST(lean_buffer_learns_the_surge_order);
    CPPUNIT_TEST(few_moves_keeps_vms_in_place);
    CPPUNIT_TEST(move_completes_after_leader_crash_at_any_step);
    CPPUNIT_TEST_SUITE_END();

  public:
    void vm_stays_in_old_pool_until_reassigned() {
        auto s = make_state(small_fleet());
        const auto vm = s.pools[0].members[0];
        const auto apply_action = [&](action what) { return apply(s, {what, "", 1}, 7); };
        CPPUNIT_ASSERT(!apply_action(confirm_empty{vm}));
        CPPUNIT_ASSERT(
            !apply_action(begin_move{vm, 0, 1, false})); // only VMs of the spare pool can be open
        CPPUNIT_ASSERT(apply_action(begin_move{vm, 0, 1, true}));
        CPPUNIT_ASSERT(!apply_action(begin_move{vm, 0, 2, true}));
        CPPUNIT_ASSERT(!apply_action(begin_maintenance{vm}));
        CPPUNIT_ASSERT(!apply_action(reassign_vm{vm, 0, 1}));
        CPPUNIT_ASSERT_EQUAL(pool_id{0}, s.vms[vm].pool);
        CPPUNIT_ASSERT(apply_action(confirm_empty{vm}));
        CPPUNIT_ASSERT(!apply_action(cancel_move{vm}));
        CPPUNIT_ASSERT_EQUAL(pool_id{0}, s.vms[vm].pool);
        CPPUNIT_ASSERT(apply_action(reassign_vm{vm, 0, 1}));
        CPPUNIT_ASSERT_EQUAL(pool_id{1}, s.vms[vm].pool);
        CPPUNIT_ASSERT_EQUAL(std::size_t{9}, s.pools[0].members.size());
        CPPUNIT_ASSERT_EQUAL(std::size_t{11}, s.pools[1].members.size());
        CPPUNIT_ASSERT_EQUAL(1U, s.pools[0].lent);
    }

    // Once the order of surges is known, a pool must get its VMs before its surge starts.
    void lean_buffer_learns_the_surge_order() {
        scheduler_run run(example_manifest("deployment-a"), 1);
        const rotating_surges surges;
        run.demand = [&](time_ms now) { return report_demand(run, surges, now); };
        run.run_until(400'000);
        int rounds_short_of_slots = 0;
        for (int i = 0; i < 200; ++i) {
            run.step();
            const auto surging_pool =
                static_cast<std::size_t>(run.now() / surges.length) % surges.pools;
            if (run.serving(static_cast<pool_id>(surging_pool)) * slots_per_vm <
                static_cast<std::uint32_t>(surges.demand_at(surging_pool, run.now())))
                ++rounds_short_of_slots;
        }
        CPPUNIT_ASSERT_EQUAL(0, rounds_short_of_slots);
        CPPUNIT_ASSERT_EQUAL(0, run.platform().violations().total());
    }

    void few_moves_keeps_vms_in_place() {
        scheduler_run run(example_manifest("deployment-b"), 1);
        const rotating_surges surges;
        run.demand = [&](time_ms now) { return report_demand(run, surges, now); };
        run.run_until(400'000);
        CPPUNIT_ASSERT_EQUAL(0, run.count("begin-move"));
    }

    // A new leader must complete the moves of its predecessor, whichever step was committed last.
    void move_completes_after_leader_crash_at_any_step() {
        for (const std::string step : {"begin-move", "confirm-empty", "reassign-vm"}) {
            for (std::size_t after = 0; after < 6; ++after) {
                scheduler_run run(example_manifest("deployment-a"), 2);
                const rotating_surges surges;
                run.demand = [&](time_ms now) { return report_demand(run, surges, now); };
                run.run_until(300'000);
                run.crash_leader({after, step, 2'000});
                run.run_until(500'000);
                CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, run.elections());
                CPPUNIT_ASSERT_EQUAL(0, run.platform().violations().total());
                for (const auto& vm : run.current().vms) {
                    // On the fake platform a restart takes up to 40 s and a move at most 12 s.
                    const bool moving = vm.activity == vm_activity::draining ||
                                        vm.activity == vm_activity::empty_confirmed;
                    const time_ms limit = moving ? 30'000 : 60'000;
                    const bool stuck =
                        vm.activity != vm_activity::none && run.now() - vm.activity_since > limit;
                    CPPUNIT_ASSERT(!stuck);
                }
            }
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(pools_test);

} // namespace
