#include "scheduler/maintenance.h"

#include <algorithm>
#include <limits>

namespace clementine::scheduler {

namespace {

constexpr std::uint32_t no_rack = std::numeric_limits<std::uint32_t>::max();
constexpr time_ms day{24 * 3'600'000};
// Racks that one round looks at; bounds the round at a large fleet.
constexpr std::size_t racks_per_round = 64;
// The fleet halts at this many VMs that did not come back, or at this share of all VMs.
constexpr std::uint32_t fleet_halt_vms = 3;
constexpr double fleet_halt_share = 0.001;
// VMs that a surge or an at-most-once job holds back are taken anyway after this share of the
// period beyond it.
constexpr time_ms grace_divisor{10};

time_ms due_at(const state& s, vm_id vm) {
    const auto last = s.vms[vm].maintained_at;
    return last == 0 ? 0 : last + s.maintenance_settings.period_days * day;
}

bool in_window(const manifest::maintenance& settings, int hour) {
    const auto passed = (hour - settings.window_start_hour + 24) % 24;
    return passed < settings.window_hours;
}

bool runs_at_most_once(const state& s, vm_id vm) {
    const auto& tasks = s.tasks[vm];
    return std::ranges::any_of(
        tasks, [&](job_id id) { return s.jobs.at(id).request.kind == job_kind::at_most_once; });
}

} // namespace

// What one call works on.
struct maintenance_planner::round {
    const state& s;
    const fleet_view& view;
    const maintenance_input& input;
    time_ms now;
    std::vector<std::uint32_t> active_rack; // by pool: the failure domain in maintenance
    std::int64_t concurrent = 0;
    const observations* seen = nullptr;
    fleet_view* taking = nullptr;
    std::vector<decision>* out = nullptr;

    round(const state& s_in, const fleet_view& view_in, const maintenance_input& input_in,
          time_ms now_in)
        : s(s_in), view(view_in), input(input_in), now(now_in),
          active_rack(s_in.pools.size(), no_rack) {
        for (const auto id : view.maintained()) {
            const auto& vm = s.vms[id];
            // After a resume, a VM that did not come back is one more existing failure.
            if (vm.activity == vm_activity::overdue && !s.pools[vm.pool].halted)
                continue;
            active_rack[vm.pool] = vm.rack;
            ++concurrent;
        }
    }

    void add(action what, std::string reason) const {
        out->push_back({what, std::move(reason), now});
    }
};

maintenance_planner::maintenance_planner(const state& s) : accepted_(s.pools.size()) {
    for (vm_id id = 0; id < s.vms.size(); ++id) {
        const auto rack = s.vms[id].rack;
        if (rack >= racks_.size())
            racks_.resize(rack + 1);
        racks_[rack].push_back(id);
    }
}

void maintenance_planner::decide(const state& s, fleet_view& view, const observations& seen,
                                 const maintenance_input& input, time_ms now,
                                 std::vector<decision>& out) {
    round r(s, view, input, now);
    r.seen = &seen;
    r.taking = &view;
    r.out = &out;
    advance(r);
    watch_returns(r);
    if (s.maintenance_settings.enabled && !s.halted &&
        in_window(s.maintenance_settings, input.hour))
        start_wave(r);
}

// Takes VMs in maintenance one step further, if a report allows it.
void maintenance_planner::advance(round& r) {
    for (const auto id : r.view.maintained()) {
        const auto& vm = r.s.vms[id];
        const auto& report = r.seen->report(id);
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

// Halts a pool when one of its VMs does not come back, and the fleet when several do not. Resumes
// when they are back. An operator may resume earlier; only further losses halt it again then.
void maintenance_planner::watch_returns(round& r) {
    std::vector<std::uint32_t> overdue(r.s.pools.size());
    std::uint32_t total = 0;
    for (const auto id : r.view.maintained()) {
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
        // While it is halted, the count is remembered: a resume by the operator accepts it.
        if (halted)
            accepted = count;
    };
    for (std::size_t i = 0; i < overdue.size(); ++i)
        check(static_cast<pool_id>(i), r.s.pools[i].halted, overdue[i], 1, accepted_[i]);
    const auto share =
        static_cast<std::uint32_t>(fleet_halt_share * static_cast<double>(r.s.vms.size()));
    check(no_pool, r.s.halted, total, std::max(fleet_halt_vms, share), accepted_total_);
}

void maintenance_planner::start_wave(round& r) {
    const auto limit = std::min(racks_per_round, racks_.size());
    for (std::size_t i = 0; i < limit && r.concurrent < r.s.maintenance_settings.max_concurrent;
         ++i) {
        const auto rack = (next_rack_ + i) % racks_.size();
        if (start_rack(r, static_cast<std::uint32_t>(rack)))
            next_rack_ = rack;
    }
    // Nothing could start in the racks looked at, so the next round goes on with others.
    if (r.concurrent == 0)
        next_rack_ = (next_rack_ + limit) % racks_.size();
}

bool maintenance_planner::start_rack(round& r, std::uint32_t rack) {
    bool started = false;
    for (const auto id : racks_[rack]) {
        if (r.concurrent >= r.s.maintenance_settings.max_concurrent)
            break;
        if (!obstacle(r, id).empty())
            continue;
        r.taking->take(id);
        r.active_rack[r.s.vms[id].pool] = rack;
        ++r.concurrent;
        started = true;
        r.add(begin_maintenance{id}, "due, in the wave of rack " + std::to_string(rack));
    }
    return started;
}

// The first rule that keeps a VM from maintenance now; empty if there is none.
std::string maintenance_planner::obstacle(const round& r, vm_id id) const {
    const auto& vm = r.s.vms[id];
    const auto& pool = r.s.pools[vm.pool];
    const auto due = due_at(r.s, id);
    if (r.now < due)
        return "not due yet";
    if (vm.activity != vm_activity::none || r.view.taken(id))
        return "it is moving";
    if (!r.view.up(id))
        return "it is down";
    if (!vm.open && !r.view.serving(id))
        return "it is starting";
    if (r.s.halted)
        return "maintenance of the fleet is halted";
    if (pool.halted)
        return "maintenance of pool " + pool.name + " is halted until its VMs are back";
    const auto active = r.active_rack[vm.pool];
    if (active != no_rack && active != vm.rack)
        return "rack " + std::to_string(active) + " of pool " + pool.name +
               " is in maintenance; two failure domains of a service never are at once";
    if (!vm.open && !r.view.may_take(id)) {
        const auto members = pool.members.size();
        const bool never = members <= pool.min_available + 1;
        return "pool " + pool.name + " has " + std::to_string(r.view.pool(vm.pool).serving) +
               " VMs available; its budget of " + std::to_string(pool.min_available) +
               " and one expected loss, of up to a whole availability zone, leave none" +
               (never ? "; this budget cannot be met with " + std::to_string(members) + " VMs"
                      : "");
    }
    const bool late = r.now >= due + r.s.maintenance_settings.period_days * day / grace_divisor &&
                      vm.maintained_at != 0;
    if (!late && !vm.open && r.input.needs_capacity && r.input.needs_capacity(vm.pool))
        return "pool " + pool.name + " is in a surge or expects one";
    if (!late && runs_at_most_once(r.s, id))
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
    const auto why = obstacle(r, id);
    if (!why.empty())
        return "waits: " + why;
    return r.concurrent >= s.maintenance_settings.max_concurrent
               ? "waits: " + std::to_string(r.concurrent) + " VMs are in maintenance already"
               : "next in its wave";
}

} // namespace clementine::scheduler
