#include "workload/wave_plan.h"

#include <algorithm>
#include <utility>

namespace clementine::workload {

namespace {

// Time in which a stopped task is at work elsewhere: 1 to 2 s in the logs of waves.
constexpr time_ms task_turn{1'500};
// A step whose chain takes more than this part of the time left does not wait for free room.
constexpr double relaxed_chain_part = 0.5;

// `Vm`: wave_target or due_vm.
template <class Vm>
bool has_label(const Vm& vm, const std::string& label) {
    return label.empty() || vm.kind == label || vm.rack == label;
}

class planner {
  public:
    explicit planner(wave_situation& in) : in_(in), chains_(chain_times(in)) {}

    wave_actions plan() {
        claim_room_of_leaving_runs();
        evacuate();
        take_down();
        return std::move(out_);
    }

  private:
    time_ms longest_chain(const due_vm& vm) const {
        time_ms out{0};
        for (const auto& run : vm.limited)
            out = std::max(out, chains_.at(run.step));
        return out;
    }

    void claim_room_of_leaving_runs() {
        for (std::size_t i = 0; i < in_.due.size(); ++i) {
            const auto& vm = in_.due[i];
            for (std::size_t k = 0; k < vm.limited.size(); ++k) {
                const auto& run = vm.limited[k];
                if (!run.leaving || run.has_room)
                    continue;
                auto* target = find_target(vm.pool, run, &wave_target::free);
                if (!target)
                    target = find_target(vm.pool, run, &wave_target::free_of_short);
                if (target)
                    claim(*target, i, k);
            }
        }
    }

    void claim(wave_target& target, std::size_t vm, std::size_t index) {
        const auto& run = in_.due[vm].limited[index];
        target.free -= run.need;
        target.free_of_short -= run.need;
        target.steps.insert(run.step);
        out_.claims.push_back({vm, index, static_cast<std::size_t>(&target - in_.targets.data())});
    }

    // Stops runs of due VMs as far as the limits of their steps and the room elsewhere allow. The
    // VMs with the longest chains come first, and of those the ones that are empty soonest.
    void evacuate() {
        std::vector<std::tuple<time_ms, std::size_t, std::size_t>> order;
        for (std::size_t i = 0; i < in_.due.size(); ++i) {
            const auto& vm = in_.due[i];
            if (!vm.limited.empty() && vm.answers)
                order.emplace_back(-longest_chain(vm), vm.limited.size(), i);
        }
        std::ranges::sort(order);
        for (const auto& [chain, size, i] : order) {
            for (std::size_t k = 0; k < in_.due[i].limited.size(); ++k)
                evacuate(i, k);
        }
    }

    void evacuate(std::size_t vm, std::size_t index) {
        const auto& run = in_.due[vm].limited[index];
        const auto& step = in_.steps.at(run.step);
        if (!run.available || step.gang || step.unavailable >= step.max_unavailable)
            return;
        const auto& pool = in_.due[vm].pool;
        auto* target = find_target(pool, run, &wave_target::free);
        if (!target && step.required_label.empty())
            out_.lacking_cpu[pool] += run.need.cpu;
        if (!target && is_late(run.step))
            target = find_target(pool, run, &wave_target::free_of_short);
        if (!target)
            return;
        claim(*target, vm, index);
        stop(vm, index);
    }

    bool is_late(const step_key& step) const {
        return static_cast<double>(chains_.at(step)) >
               relaxed_chain_part * static_cast<double>(in_.time_left);
    }

    // True if a run that is not late may find room elsewhere later, so that it would leave a VM
    // that is due only once.
    bool may_leave_later(const std::string& pool, const limited_run& run) const {
        const auto& step = in_.steps.at(run.step);
        return run.available && !step.gang && !is_late(run.step) &&
               std::ranges::any_of(in_.targets, [&](const wave_target& target) {
                   return target.pool == pool && has_label(target, step.required_label) &&
                          !target.steps.contains(run.step);
               });
    }

    bool waits_for_room(const due_vm& vm) const {
        return std::ranges::any_of(
            vm.limited, [&](const limited_run& run) { return may_leave_later(vm.pool, run); });
    }

    void stop(std::size_t vm, std::size_t index) {
        auto& run = in_.due[vm].limited[index];
        run.available = false;
        ++in_.steps.at(run.step).unavailable;
        out_.evacuations.push_back({vm, index});
    }

    // A run that finds no such worker would start on a VM that is due, and leave twice.
    wave_target* find_target(const std::string& pool, const limited_run& run,
                             resources wave_target::*room) {
        // Within a plan, targets only fill up. Load pattern: a full fleet, where each run of a step
        // would search all targets in vain.
        const auto& need = run.need;
        auto key = std::make_tuple(room == &wave_target::free, pool, run.step, need.cpu,
                                   need.memory, need.accelerators);
        if (no_target_.contains(key))
            return nullptr;
        const auto& label = in_.steps.at(run.step).required_label;
        const auto it = std::ranges::find_if(in_.targets, [&](const wave_target& target) {
            return target.pool == pool && (target.*room).can_fit(run.need) &&
                   has_label(target, label) && !target.steps.contains(run.step);
        });
        if (it != in_.targets.end())
            return &*it;
        no_target_.insert(std::move(key));
        return nullptr;
    }

    // VMs that may go down now do so first, then places are reserved: for VMs whose short runs have
    // to end, and last for those that wait for a limit. In each part, idle VMs come first. VMs with
    // runs follow as far as the time left requires it, those with limited runs last, because these
    // are leaving.
    void take_down() {
        const auto needed = static_cast<std::size_t>(
            (static_cast<time_ms>(in_.due.size()) * in_.time_per_vm + in_.time_left - 1) /
            in_.time_left);
        std::vector<std::tuple<bool, std::size_t, std::size_t>> order;
        for (std::size_t i = 0; i < in_.due.size(); ++i)
            order.emplace_back(has_available_run(in_.due[i]), in_.due[i].runs, i);
        std::ranges::sort(order);
        const bool all_needed = needed >= in_.due.size();
        std::vector<bool> taken(in_.due.size());
        for (const auto part : {readiness::now, readiness::after_short_runs, readiness::blocked}) {
            for (const auto& [limited, runs, i] : order) {
                if (in_.down >= in_.max_down)
                    return;
                // Idle VMs go down ahead of time only while no pool needs them.
                if ((runs > 0 || in_.shortage) && in_.down >= needed)
                    break;
                if (taken[i] || readiness_of(i, all_needed) != part)
                    continue;
                if (part != readiness::now && !may_reserve(i, part))
                    continue;
                taken[i] = true;
                ++in_.down;
                if (part == readiness::now) {
                    go_down(i);
                    continue;
                }
                out_.reserve.push_back(i);
                if (check_limits(i) == allowance_state::never)
                    stop_surplus(i);
            }
        }
    }

    // `waits`: its capacity is of use until later. `blocked`: it is needed now, but limits do not
    // allow it yet.
    enum class readiness { now, after_short_runs, blocked, waits };

    readiness readiness_of(std::size_t vm, bool all_needed) const {
        const auto& item = in_.due[vm];
        if (item.runs > 0 && !item.answers)
            return readiness::waits;
        const auto allowance = check_limits(vm);
        if (allowance == allowance_state::never)
            return may_surplus_leave(vm) ? readiness::blocked : readiness::waits;
        if (!all_needed && (allowance == allowance_state::later || waits_for_room(item)))
            return readiness::waits;
        if (allowance == allowance_state::later)
            return readiness::blocked;
        return item.has_short_runs ? readiness::after_short_runs : readiness::now;
    }

    // Also gives up a reservation that has lasted too long.
    bool may_reserve(std::size_t vm, readiness part) {
        auto& item = in_.due[vm];
        if (!item.reservable)
            return false;
        const bool blocked = part == readiness::blocked;
        const auto limit = blocked ? max_blocked_reservation : max_short_run_reservation;
        if (item.reserved_for >= limit) {
            out_.give_up.push_back(vm);
            item.reservable = false;
            return false;
        }
        return blocked || item.short_runs_left <= max_short_run_reservation;
    }

    // True if another worker may run a task of a VM, at the latest when its short runs have ended.
    bool may_restart_elsewhere(std::size_t vm, const limited_run& run) const {
        const auto& step = in_.steps.at(run.step);
        const auto& pool = in_.due[vm].pool;
        const auto may_run = [&](const auto& other, const resources& room, bool holds_step) {
            return other.pool == pool && has_label(other, step.required_label) &&
                   room.can_fit(run.need) && !(step.max_per_worker != 0 && holds_step);
        };
        const auto holds_step = [&](const due_vm& other) {
            return std::ranges::find(other.limited, run.step, &limited_run::step) !=
                   other.limited.end();
        };
        for (std::size_t i = 0; i < in_.due.size(); ++i) {
            const auto& other = in_.due[i];
            if (i != vm && may_run(other, other.room, holds_step(other)))
                return true;
        }
        return std::ranges::any_of(in_.targets, [&](const wave_target& target) {
            return may_run(target, target.free_of_short, target.steps.contains(run.step));
        });
    }

    // True if each step with more runs on a VM than may be unavailable can spare one to another
    // worker. Otherwise the VM cannot go down before a worker joins, and a stopped run would have
    // to start on it again.
    bool may_surplus_leave(std::size_t vm) const {
        const auto& item = in_.due[vm];
        const auto counts = count_available_runs(item);
        return std::ranges::all_of(item.limited, [&](const limited_run& run) {
            const auto& step = in_.steps.at(run.step);
            return step.gang || counts.at(run.step) <= step.max_unavailable ||
                   may_restart_elsewhere(vm, run);
        });
    }

    static bool has_available_run(const due_vm& vm) {
        return std::ranges::any_of(vm.limited, &limited_run::available);
    }

    void go_down(std::size_t vm) {
        for (auto& run : in_.due[vm].limited) {
            auto& step = in_.steps.at(run.step);
            if (std::exchange(run.available, false))
                step.unavailable = step.gang ? step.count : step.unavailable + 1;
        }
        out_.go_down.push_back(vm);
    }

    // True if the due VMs need all the time that is left. Then a gang that is larger than its limit
    // goes down too: it would never be allowed to.
    bool is_wave_late() const {
        const auto turns = (in_.due.size() + in_.max_down - 1) / std::max(1U, in_.max_down);
        return in_.time_left <= static_cast<time_ms>(turns) * in_.time_per_vm;
    }

    // Whether a VM may take all its runs down with it. `never`: it holds more runs of a step than
    // may be unavailable.
    enum class allowance_state { now, later, never };

    // Available runs of each step with runs on a VM; 0 if none is available.
    std::map<step_key, std::uint32_t> count_available_runs(const due_vm& vm) const {
        std::map<step_key, std::uint32_t> out;
        for (const auto& run : vm.limited)
            out[run.step] += run.available ? 1U : 0U;
        return out;
    }

    // A gang ends as a whole, wherever its other members are.
    // Runs that are not available count too: a step may lack more tasks than its limit after
    // faults, and a run that seems unavailable may be at work when the order arrives.
    allowance_state check_limits(std::size_t vm) const {
        auto out = allowance_state::now;
        for (const auto& [key, count] : count_available_runs(in_.due[vm])) {
            const auto& step = in_.steps.at(key);
            if (step.gang) {
                if (step.count > step.max_unavailable && !is_wave_late())
                    out = allowance_state::later;
                continue;
            }
            if (count > step.max_unavailable)
                return allowance_state::never;
            if (step.unavailable + count > step.max_unavailable)
                out = allowance_state::later;
        }
        return out;
    }

    // Stops one run of each step that has too many on a VM, one after the other.
    void stop_surplus(std::size_t vm) {
        const auto counts = count_available_runs(in_.due[vm]);
        auto& runs = in_.due[vm].limited;
        for (std::size_t k = 0; k < runs.size(); ++k) {
            const auto& step = in_.steps.at(runs[k].step);
            if (runs[k].available && !step.gang && step.unavailable == 0 &&
                counts.at(runs[k].step) > step.max_unavailable)
                stop(vm, k);
        }
    }

    wave_situation& in_;
    std::map<step_key, time_ms> chains_;
    wave_actions out_;
    // Whether free room was searched, pool, step and need of runs that have no target.
    std::set<std::tuple<bool, std::string, step_key, std::int64_t, std::int64_t, std::int64_t>>
        no_target_;
};

} // namespace

std::map<step_key, time_ms> chain_times(const wave_situation& in) {
    std::map<step_key, std::uint32_t> counts;
    for (const auto& vm : in.due) {
        for (const auto& run : vm.limited)
            ++counts[run.step];
    }
    std::map<step_key, time_ms> out;
    for (const auto& [key, count] : counts) {
        const auto at_a_time = std::max(1U, in.steps.at(key).max_unavailable);
        out[key] = (count + at_a_time - 1) / at_a_time * task_turn;
    }
    return out;
}

wave_actions plan_wave(wave_situation in) {
    in.time_left = std::max<time_ms>(1, in.time_left);
    return planner(in).plan();
}

} // namespace clementine::workload
