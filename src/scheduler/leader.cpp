#include "scheduler/leader.h"

#include <algorithm>

namespace clementine::scheduler {

namespace {

// Interval of lease renewals. It lets three consecutive grants be lost before the lease ends.
constexpr time_ms grant_interval{2'500};

const task_report* find_task(const vm_report& report, const job_record& job) {
    const auto it = std::ranges::find_if(report.tasks, [&](const task_report& item) {
        return item.job == job.id && item.attempt == job.attempt;
    });
    return it == report.tasks.end() ? nullptr : &*it;
}

} // namespace

leader::leader(const state& s, time_ms start)
    : observed_(s.vms.size(), start), pools_(s), jobs_(s), maintenance_(s),
      last_granted_report_(s.vms.size()) {}

void leader::observe(const state& s, const vm_report& report, time_ms now) {
    if (observed_.record(report, now))
        jobs_.observe(s, report);
}

void leader::observe(const pool_demand& demand, time_ms now) {
    pools_.observe(demand, now);
}

maintenance_input leader::make_maintenance_input(const state& s, int hour) const {
    return {hour,
            [this, &s](pool_id pool) { return pools_.needs_capacity(pool, s.pools[pool].size); }};
}

std::vector<decision> leader::decide(const state& s, time_ms now, int hour) {
    std::vector<decision> out;
    fleet_view view(s, observed_, now);
    pools_.decide(s, view, observed_, now, out);
    maintenance_.decide(s, view, observed_, make_maintenance_input(s, hour), now, out);
    jobs_.decide(s, view, observed_, now, out);
    return out;
}

std::vector<numbered_command> leader::commands(const state& s, time_ms now) {
    std::vector<numbered_command> out;
    for (vm_id id = 0; id < s.vms.size(); ++id) {
        if (!observed_.has_report(id))
            continue;
        vm_commands(s, id, now, out);
        task_commands(s, id, now, out);
    }
    return out;
}

void leader::vm_commands(const state& s, vm_id id, time_ms now,
                         std::vector<numbered_command>& out) {
    const auto& vm = s.vms[id];
    const auto& report = observed_.report(id);
    const bool first_grant = last_granted_report_[id] == 0;
    if (report.sequence > last_granted_report_[id] &&
        (first_grant || now - observed_.last_grant(id) >= grant_interval)) {
        last_granted_report_[id] = report.sequence;
        observed_.record_grant(id, now);
        out.push_back({grant_lease{id, report.sequence}, 0});
    }
    const auto index = vm.activity_index;
    const bool should_drain =
        vm.activity == vm_activity::draining || vm.activity == vm_activity::maintenance_draining;
    if (should_drain && report.drain != index)
        out.push_back({drain_vm{id, index}, index});
    // Also for overdue VMs, which may have failed before the command reached them.
    const bool should_restart =
        vm.activity == vm_activity::rebooting || vm.activity == vm_activity::overdue;
    if (should_restart && report.restart != index)
        out.push_back({restart_vm{id, index}, index});
    if (vm.activity == vm_activity::none &&
        (report.assignment != vm.assignment_index || report.drain != 0))
        out.push_back({assign_vm{id, vm.pool, !vm.open, vm.assignment_index}, vm.assignment_index});
    if (vm.quarantined && vm.probe > report.probe_succeeded)
        out.push_back({run_probe{id, vm.probe}, 0});
}

void leader::task_commands(const state& s, vm_id id, time_ms now,
                           std::vector<numbered_command>& out) {
    const auto& report = observed_.report(id);
    for (const auto job_number : s.tasks[id]) {
        const auto& job = s.jobs.at(job_number);
        const auto* task = find_task(report, job);
        const auto index = job.start_index;
        if (task != nullptr && task->phase != task_phase::running)
            continue;
        if (job.cancel_requested) {
            out.push_back({stop_task{id, job.id, job.attempt}, index});
        } else if (job.phase == job_phase::checkpointing) {
            if (now - job.phase_since < checkpoint_grace)
                out.push_back({checkpoint_task{id, job.id, job.attempt}, index});
            else
                out.push_back({stop_task{id, job.id, job.attempt}, index});
        } else if (task == nullptr) {
            out.push_back(
                {dispatch_task{id, job.id, job.attempt, job.lease_epoch, job.checkpoint}, index});
        } else if (task->throttle_percent != job.throttle_percent) {
            out.push_back({throttle_task{id, job.id, job.attempt, job.throttle_percent}, index});
        }
    }
    for (const auto& task : report.tasks) {
        const auto* job = s.find_job(task.job);
        const bool active = job != nullptr && (job->phase == job_phase::started ||
                                               job->phase == job_phase::checkpointing);
        const bool is_current = active && job->attempt == task.attempt && job->worker == id;
        if (is_current)
            continue;
        // The attempt has ended in the log: stops the task if it still runs, otherwise lets the
        // worker drop its final report.
        if (task.phase == task_phase::running)
            out.push_back({stop_task{id, task.job, task.attempt}, 0});
        else
            out.push_back({acknowledge_task{id, task.job, task.attempt}, 0});
    }
}

std::string leader::explain_vm(const state& s, vm_id id, time_ms now, int hour) const {
    const auto& vm = s.vms[id];
    const fleet_view view(s, observed_, now);
    std::string out = vm.name + " belongs to pool " + s.pools[vm.pool].name;
    if (vm.open)
        out += ", open for jobs";
    if (vm.move_to != no_pool)
        out += ", moves to pool " + s.pools[vm.move_to].name + " (" +
               std::string(to_name(vm.activity)) + ")";
    out += view.up(id) ? "" : ", down";
    if (vm.quarantined)
        out += ", quarantined for jobs";
    if (!vm.reason.empty())
        out += "; last decision: " + vm.reason;
    return out + "; maintenance: " +
           maintenance_.explain(s, view, make_maintenance_input(s, hour), id, now);
}

std::string leader::explain_pool(const state& s, pool_id pool) const {
    return pools_.explain(s, pool);
}

std::string leader::explain_job(const state& s, job_id job) const {
    return jobs_.explain(s, job);
}

std::size_t leader::bytes() const {
    return observed_.bytes() + pools_.bytes() + jobs_.bytes() +
           last_granted_report_.size() * sizeof(std::uint64_t);
}

} // namespace clementine::scheduler
