#include "scheduler/maintenance.h"

#include <algorithm>
#include <limits>

namespace clementine::scheduler {

namespace {

constexpr std::uint32_t no_rack = std::numeric_limits<std::uint32_t>::max();
constexpr time_ms ms_per_day{24 * 3'600'000};
// Bounds the duration of a round in large fleets.
constexpr std::size_t racks_per_round = 64;
// Maintenance of the fleet halts at the larger of this many overdue VMs and this share of all VMs.
constexpr std::uint32_t fleet_halt_vms = 3;
constexpr double fleet_halt_share = 0.001;
// A surge or an at-most-once job defers the maintenance of a VM by at most the maintenance period
// divided by this.
constexpr time_ms deferral_divisor{10};

time_ms due_at(const state& s, vm_id vm) {
    const auto last = s.vms[vm].maintained_at;
    return last == 0 ? 0 : last + s.maintenance_settings.period_days * ms_per_day;
}

bool in_window(const manifest::maintenance& settings, int hour) {
    const auto hours_since_start = (hour - settings.window_start_hour + 24) % 24;
    return hours_since_start < settings.window_hours;
}

bool runs_at_most_once(const state& s, vm_id vm) {
    const auto& tasks = s.tasks[vm];
    return std::ranges::any_of(
        tasks, [&](job_id id) { return s.jobs.at(id).request.kind == job_kind::at_most_once; });
}

} // namespace

// Inputs and intermediate results of one planning round.
struct maintenance_planner::round {
    const state& s;
    const fleet_view& view;
    const maintenance_input& input;
    time_ms now;
    std::vector<std::uint32_t> active_racks; // by pool: the rack in maintenance
    std::int64_t concurrent = 0;
    const observations* observed = nullptr;
    fleet_view* mutable_view = nullptr;
    std::vector<decision>* out = nullptr;

    round(const state& s_in, const fleet_view& view_in, const maintenance_input& input_in,
          time_ms now_in)
        : s(s_in), view(view_in), input(input_in), now(now_in),
          active_racks(s_in.pools.size(), no_rack) {
        for (const auto id : view.in_maintenance()) {
            const auto& vm = s.vms[id];
            // Once an operator has resumed the pool, an overdue VM counts as an ordinary failure.
            if (vm.activity == vm_activity::overdue && !s.pools[vm.pool].halted)
                continue;
            active_racks[vm.pool] = vm.rack;
            ++concurrent;
        }
    }

    void add(action what, std::string reason) const {
        out->push_back({what, std::move(reason), now});
    }
};

maintenance_planner::maintenance_planner(const state& s) : accepted_overdue_(s.pools.size()) {
    for (vm_id id = 0; id < s.vms.size(); ++id) {
        const auto rack = s.vms[id].rack;
        if (rack >= racks_.size())
            racks_.resize(rack + 1);
        racks_[rack].push_back(id);
    }
}

void maintenance_planner::decide(const state& s, fleet_view& view, const observations& observed,
                                 const maintenance_input& input, time_ms now,
                                 std::vector<decision>& out) {
    round r(s, view, input, now);
    r.observed = &observed;
    r.mutable_view = &view;
    r.out = &out;
    advance_vms(r);
    update_halts(r);
    if (s.maintenance_settings.enabled && !s.halted &&
        in_window(s.maintenance_settings, input.hour))
        start_wave(r);
}

// Advances the VMs in maintenance by one step where their reports permit it.
void maintenance_planner::advance_vms(round& r) {
    for (const auto id : r.view.in_maintenance()) {
        const auto& vm = r.s.vms[id];
        const auto& report = r.observed->report(id);
        const bool up = r.view.up(id);
        if (vm.activity == vm_activity::maintenance_draining) {
            const bool drained = up && report.drain == vm.activity_index;
            if (drained && report.requests == 0 && report.tasks.empty() && r.s.tasks[id].empty())
                r.add(reboot_vm{id}, "drained");
            continue;
        }
        if (up && report.restart == vm.activity_index)
            r.add(finish_maintenance{id}, "back after its restart");
        else if (vm.activity == vm_activity::rebooting &&
                 r.now - vm.activity_since >= r.s.maintenance_settings.return_timeout)
            r.add(mark_overdue{id}, "not back after " +
                                        std::to_string(r.s.maintenance_settings.return_timeout) +
                                        " ms");
    }
}

// Halts maintenance of a pool when one of its VMs is overdue, and of the fleet when several are.
// Resumes when all are back. An operator may resume earlier; then only additional losses halt it
// again.
void maintenance_planner::update_halts(round& r) {
    std::vector<std::uint32_t> overdue(r.s.pools.size());
    std::uint32_t total = 0;
    for (const auto id : r.view.in_maintenance()) {
        if (r.s.vms[id].activity != vm_activity::overdue)
            continue;
        ++overdue[r.s.vms[id].pool];
        ++total;
    }
    const auto check = [&](pool_id pool, bool halted, std::uint32_t count, std::uint32_t limit,
                           std::uint32_t& accepted) {
        accepted = std::min(accepted, count);
        if (halted && count == 0)
            r.add(resume_maintenance{pool}, "all VMs are back");
        else if (!halted && count >= limit && count > accepted)
            r.add(halt_maintenance{pool},
                  std::to_string(count) + " VMs did not come back from maintenance");
        // A resume by an operator accepts the losses counted up to then.
        if (halted)
            accepted = count;
    };
    for (std::size_t i = 0; i < overdue.size(); ++i)
        check(static_cast<pool_id>(i), r.s.pools[i].halted, overdue[i], 1, accepted_overdue_[i]);
    const auto share =
        static_cast<std::uint32_t>(fleet_halt_share * static_cast<double>(r.s.vms.size()));
    check(no_pool, r.s.halted, total, std::max(fleet_halt_vms, share), accepted_overdue_total_);
}

void maintenance_planner::start_wave(round& r) {
    const auto limit = std::min(racks_per_round, racks_.size());
    for (std::size_t i = 0; i < limit && r.concurrent < r.s.maintenance_settings.max_concurrent;
         ++i) {
        const auto rack = (next_rack_ + i) % racks_.size();
        if (start_rack(r, static_cast<std::uint32_t>(rack)))
            next_rack_ = rack;
    }
    // No VM of these racks could start, so the next round tries the following ones.
    if (r.concurrent == 0)
        next_rack_ = (next_rack_ + limit) % racks_.size();
}

bool maintenance_planner::start_rack(round& r, std::uint32_t rack) {
    bool started = false;
    for (const auto id : racks_[rack]) {
        if (r.concurrent >= r.s.maintenance_settings.max_concurrent)
            break;
        if (!blocking_reason(r, id).empty())
            continue;
        r.mutable_view->withdraw(id);
        r.active_racks[r.s.vms[id].pool] = rack;
        ++r.concurrent;
        started = true;
        r.add(begin_maintenance{id}, "due, in the wave of rack " + std::to_string(rack));
    }
    return started;
}

// Describes the first rule that blocks the maintenance of a VM now; empty if there is none.
std::string maintenance_planner::blocking_reason(const round& r, vm_id id) const {
    const auto& vm = r.s.vms[id];
    const auto& pool = r.s.pools[vm.pool];
    const auto due = due_at(r.s, id);
    if (r.now < due)
        return "not due yet";
    if (vm.activity != vm_activity::none || r.view.withdrawn(id))
        return "it is moving";
    if (!r.view.up(id))
        return "it is down";
    if (!vm.open && !r.view.serving(id))
        return "it is starting";
    if (r.s.halted)
        return "maintenance of the fleet is halted";
    if (pool.halted)
        return "maintenance of pool " + pool.name + " is halted until its VMs are back";
    const auto active = r.active_racks[vm.pool];
    if (active != no_rack && active != vm.rack)
        return "rack " + std::to_string(active) + " of pool " + pool.name +
               " is in maintenance; two failure domains of a service never are at once";
    if (!vm.open && !r.view.may_withdraw(id)) {
        const auto members = pool.members.size();
        const bool unsatisfiable = members <= pool.min_available + 1;
        return "pool " + pool.name + " has " + std::to_string(r.view.pool(vm.pool).serving) +
               " VMs available; its budget of " + std::to_string(pool.min_available) +
               " and one expected loss, of up to a whole availability zone, leave none" +
               (unsatisfiable
                    ? "; this budget cannot be met with " + std::to_string(members) + " VMs"
                    : "");
    }
    const bool past_deferral =
        r.now >= due + r.s.maintenance_settings.period_days * ms_per_day / deferral_divisor &&
        vm.maintained_at != 0;
    if (!past_deferral && !vm.open && r.input.needs_capacity && r.input.needs_capacity(vm.pool))
        return "pool " + pool.name + " is in a surge or expects one";
    if (!past_deferral && runs_at_most_once(r.s, id))
        return "it runs a job that cannot be checkpointed";
    return {};
}

std::string maintenance_planner::explain(const state& s, const fleet_view& view,
                                         const maintenance_input& input, vm_id id,
                                         time_ms now) const {
    const auto& vm = s.vms[id];
    if (vm.activity == vm_activity::maintenance_draining || vm.activity == vm_activity::rebooting ||
        vm.activity == vm_activity::overdue)
        return std::string(to_name(vm.activity)) + ": " + vm.reason;
    if (!s.maintenance_settings.enabled)
        return "maintenance is not enabled";
    if (!in_window(s.maintenance_settings, input.hour))
        return "outside the maintenance window";
    const round r(s, view, input, now);
    const auto reason = blocking_reason(r, id);
    if (!reason.empty())
        return "waits: " + reason;
    return r.concurrent >= s.maintenance_settings.max_concurrent
               ? "waits: " + std::to_string(r.concurrent) + " VMs are in maintenance already"
               : "next in its wave";
}

} // namespace clementine::scheduler
