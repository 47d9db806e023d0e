// Tests which VMs of a wave go down and which tasks leave due VMs, in single situations.
#include "base/random.h"
#include "workload/wave_plan.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>

namespace {

using namespace clementine;
using namespace clementine::workload;

constexpr resources task_need{2'000, 500, 0};
constexpr resources vm_capacity{16'000, 32'000, 0};

step_key step_of(int number) {
    return {"job" + std::to_string(number), 0, 0};
}

due_vm vm_with(const std::vector<int>& steps, bool short_runs = false) {
    due_vm out;
    out.pool = "a";
    out.runs = steps.size() + (short_runs ? 1 : 0);
    out.has_short_runs = short_runs;
    for (const auto step : steps)
        out.limited.push_back({step_of(step), task_need, true, false});
    return out;
}

// Steps of which one task may be unavailable, and one empty VM that is not due.
wave_situation situation_of(std::vector<due_vm> due) {
    wave_situation out;
    out.due = std::move(due);
    for (const auto& vm : out.due) {
        for (const auto& run : vm.limited)
            out.steps.try_emplace(run.step, limited_step{});
    }
    out.targets.push_back({"a", "kind", "r1", vm_capacity, vm_capacity, {}});
    out.max_down = 10;
    out.time_left = 20'000;
    out.time_per_vm = 3'000;
    return out;
}

class wave_plan_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(wave_plan_test);
    CPPUNIT_TEST(longest_chain_leaves_first);
    CPPUNIT_TEST(tasks_without_room_elsewhere_stay);
    CPPUNIT_TEST(tasks_of_a_label_go_down_with_their_vm);
    CPPUNIT_TEST(busy_vms_are_spared_while_time_is_left);
    CPPUNIT_TEST(late_wave_uses_all_that_is_allowed);
    CPPUNIT_TEST(vms_that_may_go_down_are_not_held_up_by_others);
    CPPUNIT_TEST(gangs_end_as_a_whole);
    CPPUNIT_TEST(surplus_that_no_other_worker_may_run_stays);
    CPPUNIT_TEST(reservation_in_vain_is_given_up);
    CPPUNIT_TEST(reservation_waits_only_for_short_runs_that_end_soon);
    CPPUNIT_TEST(random_situations_keep_all_limits);
    CPPUNIT_TEST_SUITE_END();

    static std::vector<std::size_t> vms_of(const std::vector<evacuation>& evacuations) {
        std::vector<std::size_t> out;
        for (const auto& one : evacuations)
            out.push_back(one.vm);
        return out;
    }

  public:
    // Step 1 needs three turns and step 2 one. If the VM with step 2 alone were served first, the
    // chain of step 1 would begin later.
    void longest_chain_leaves_first() {
        auto in = situation_of({vm_with({2}), vm_with({1, 2}), vm_with({1}), vm_with({1})});
        const auto chains = chain_times(in);
        CPPUNIT_ASSERT(chains.at(step_of(1)) > chains.at(step_of(2)));
        const std::vector<std::size_t> expected{2, 1};
        CPPUNIT_ASSERT(expected == vms_of(plan_wave(in).evacuations));
    }

    // A task without room elsewhere would start on a VM that is due and leave again. Room that is
    // taken by short tasks counts only if the chain needs most of the time left.
    void tasks_without_room_elsewhere_stay() {
        auto in = situation_of({vm_with({1}, true)});
        in.targets[0].free = {};
        CPPUNIT_ASSERT(plan_wave(in).evacuations.empty());
        in.time_left = 2'000;
        const auto late = plan_wave(in);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, late.evacuations.size());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, late.claims.size());
        auto leaving = in;
        auto& run = leaving.due[0].limited[0];
        run.available = false;
        run.leaving = true;
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, plan_wave(leaving).claims.size());
        run.has_room = true;
        CPPUNIT_ASSERT(plan_wave(leaving).claims.empty());
        in.targets[0].steps.insert(step_of(1));
        CPPUNIT_ASSERT(plan_wave(in).evacuations.empty());
    }

    // Only the due VMs of a rack may hold its tasks: waiting for other room would never end.
    void tasks_of_a_label_go_down_with_their_vm() {
        auto in = situation_of({vm_with({1}), vm_with({1})});
        in.steps.at(step_of(1)).required_label = "r2";
        const auto actions = plan_wave(in);
        CPPUNIT_ASSERT(actions.evacuations.empty());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, actions.go_down.size());
    }

    // In a surge, VMs go down no faster than the time left requires, and VMs that wait for a limit
    // stay in use.
    void busy_vms_are_spared_while_time_is_left() {
        auto in =
            situation_of({vm_with({}, true), vm_with({}), vm_with({}), vm_with({1}), vm_with({1})});
        in.shortage = true;
        in.steps.at(step_of(1)).unavailable = 1;
        const auto actions = plan_wave(in); // 5 VMs of 3 s in 20 s: one at a time
        CPPUNIT_ASSERT(std::vector<std::size_t>{1} == actions.go_down);
        CPPUNIT_ASSERT(actions.reserve.empty());
        in.shortage = false;
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, plan_wave(in).go_down.size());
    }

    void late_wave_uses_all_that_is_allowed() {
        auto in = situation_of({vm_with({}, true), vm_with({}), vm_with({1}), vm_with({1})});
        in.time_left = -1'000;
        in.max_down = 3;
        const auto actions = plan_wave(in);
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, actions.go_down.size() + actions.reserve.size());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, actions.evacuations.size());
    }

    // VMs whose tasks may not go down, or with short runs, took all places of a late wave.
    void vms_that_may_go_down_are_not_held_up_by_others() {
        auto in = situation_of({vm_with({1}), vm_with({}, true), vm_with({2, 3})});
        in.targets.clear();
        in.steps.at(step_of(1)).unavailable = 1;
        in.time_left = 0;
        in.max_down = 1;
        CPPUNIT_ASSERT(std::vector<std::size_t>{2} == plan_wave(in).go_down);
        in.max_down = 2;
        CPPUNIT_ASSERT(std::vector<std::size_t>{1} == plan_wave(in).reserve);
        in.max_down = 3;
        CPPUNIT_ASSERT((std::vector<std::size_t>{1, 0} == plan_wave(in).reserve));
    }

    // Only the members on the VM were counted, and single members were stopped, each of which ends
    // the whole gang.
    void gangs_end_as_a_whole() {
        auto in = situation_of({vm_with({1, 1}), vm_with({2, 2})});
        for (auto& [key, step] : in.steps)
            step = {0, 2, "", true, key == step_of(1) ? 4U : 2U};
        CPPUNIT_ASSERT(std::vector<std::size_t>{1} == plan_wave(in).go_down);
        in.steps.at(step_of(1)).max_unavailable = 1;
        auto actions = plan_wave(in);
        CPPUNIT_ASSERT(actions.evacuations.empty() && actions.reserve.empty());
        in.time_left = 0; // the wave would not end if it did not go now
        actions = plan_wave(in);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, actions.go_down.size());
        CPPUNIT_ASSERT(actions.evacuations.empty());
    }

    // A task was stopped that could only start again on the VM that was then reserved for good.
    void surplus_that_no_other_worker_may_run_stays() {
        auto in = situation_of({vm_with({1, 1}), vm_with({})});
        in.max_down = 1;
        in.due.back().room = vm_capacity;
        in.due.back().kind = "fast";
        auto& step = in.steps.at(step_of(1));
        const auto stops_surplus = [&] {
            auto late = in;
            late.time_left = 0;
            late.due[1].runs = 1; // so that the other VM is planned for
            late.due[1].answers = false;
            const auto actions = plan_wave(late);
            CPPUNIT_ASSERT_EQUAL(actions.evacuations.size(), actions.reserve.size());
            return !actions.reserve.empty();
        };
        step.required_label = "r2";
        CPPUNIT_ASSERT(!stops_surplus());
        step.required_label = "fast";
        CPPUNIT_ASSERT(stops_surplus());
        in.due.back().room = {};
        CPPUNIT_ASSERT(!stops_surplus());
        step.required_label = "kind";
        in.targets[0].steps.insert(step_of(1)); // so that the task does not leave by itself
        CPPUNIT_ASSERT(stops_surplus());
        step.max_per_worker = 1;
        CPPUNIT_ASSERT(!stops_surplus());
    }

    // A VM was kept free for an upkeep that the limit of a step never allowed.
    void reservation_in_vain_is_given_up() {
        auto in = situation_of({vm_with({1})});
        in.targets.clear();
        in.steps.at(step_of(1)).unavailable = 1;
        in.time_left = 0;
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, plan_wave(in).reserve.size());
        in.due[0].reserved_for = max_blocked_reservation;
        const auto actions = plan_wave(in);
        CPPUNIT_ASSERT(actions.reserve.empty());
        CPPUNIT_ASSERT(std::vector<std::size_t>{0} == actions.give_up);
        in.due[0].reserved_for = 0;
        in.due[0].reservable = false;
        CPPUNIT_ASSERT(plan_wave(in).reserve.empty());
    }

    // A VM whose short runs last for minutes would be withheld from all others until they end.
    void reservation_waits_only_for_short_runs_that_end_soon() {
        auto in = situation_of({vm_with({}, true)});
        in.time_left = 0;
        in.due[0].short_runs_left = max_short_run_reservation;
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, plan_wave(in).reserve.size());
        in.due[0].reserved_for = max_short_run_reservation;
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, plan_wave(in).give_up.size());
        in.due[0].reserved_for = 0;
        in.due[0].short_runs_left = max_short_run_reservation + 1;
        CPPUNIT_ASSERT(plan_wave(in).reserve.empty());
    }

    // Each plan alone must keep the limits of all steps, max_down, and the room of the targets.
    void random_situations_keep_all_limits() {
        for (std::uint64_t seed = 1; seed <= 500; ++seed) {
            random_source random(seed);
            std::vector<due_vm> due;
            for (int i = 0; i < 30; ++i) {
                std::vector<int> steps;
                for (auto count = random.below(6); count > 0; --count)
                    steps.push_back(static_cast<int>(random.below(8)));
                due.push_back(vm_with(steps, random.chance(0.3)));
            }
            auto in = situation_of(std::move(due));
            for (auto& [key, step] : in.steps) {
                step.max_unavailable = 1 + static_cast<std::uint32_t>(random.below(3));
                step.unavailable = static_cast<std::uint32_t>(random.below(3));
            }
            in.shortage = random.chance(0.5);
            in.time_left = random.between(1, 30'000);
            const auto actions = plan_wave(in);
            CPPUNIT_ASSERT(actions.go_down.size() + actions.reserve.size() <= in.max_down);
            CPPUNIT_ASSERT(in.targets[0].free_of_short.can_fit(
                task_need * static_cast<std::int64_t>(actions.claims.size())));
            CPPUNIT_ASSERT(actions.claims.size() >= actions.evacuations.size() ||
                           !actions.reserve.empty());
            std::set<std::pair<std::size_t, std::size_t>> ending;
            for (const auto& one : actions.evacuations)
                ending.emplace(one.vm, one.run);
            for (const auto vm : actions.go_down) {
                CPPUNIT_ASSERT(!in.due[vm].has_short_runs);
                for (std::size_t k = 0; k < in.due[vm].limited.size(); ++k)
                    ending.emplace(vm, k);
            }
            for (const auto& [vm, run] : ending) {
                auto& step = in.steps.at(in.due[vm].limited[run].step);
                CPPUNIT_ASSERT(++step.unavailable <= step.max_unavailable);
            }
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(wave_plan_test);

} // namespace
