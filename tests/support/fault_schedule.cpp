#include "support/fault_schedule.h"

#include <algorithm>

namespace clementine::scheduler {

namespace {

manifest::manifest with_permanent_maintenance(manifest::manifest value) {
    value.maintenance_settings.enabled = true;
    value.maintenance_settings.return_timeout = 90'000;
    value.maintenance_settings.max_concurrent = 6;
    value.maintenance_settings.period_days = 0;
    return value;
}

fake_platform_options lossy_options() {
    fake_platform_options out;
    out.loss = 0.03;
    out.max_delay = 1'500;
    return out;
}

// Actual sizes and run times differ from the declared ones by up to 4 times; 5 % of jobs fail.
fake_platform::job_oracle misdeclared_jobs(std::uint64_t seed) {
    return [seed](job_id id) {
        random_source random(seed * 1'000'003 + id);
        job_behavior out;
        out.run_time = random.between(1'000, 60'000);
        out.use = {random.between(250, 16'000), random.between(256, 8'192), 0};
        out.fails = random.chance(0.05);
        return out;
    };
}

} // namespace

fault_schedule::fault_schedule(manifest::manifest value, std::uint64_t seed)
    : random_(seed), run_(with_permanent_maintenance(std::move(value)), seed, lossy_options(),
                          misdeclared_jobs(seed)) {
    // 30 % of the runs overload the pools; the others leave free capacity, so that lost jobs
    // restart at once.
    submit_chance_ = random_.chance(0.3) ? 0.4 : 0.1;
}

void fault_schedule::run_until(time_ms until) {
    while (run_.now() < until) {
        submit_and_cancel_jobs();
        inject_faults();
        repair_some();
        run_.step();
    }
}

void fault_schedule::run_without_faults(time_ms duration) {
    auto& platform = run_.platform();
    for (const auto id : disconnected_)
        platform.set_disconnected(id, false);
    for (vm_id id = 0; id < run_.current().vms.size(); ++id) {
        platform.set_faulty(id, false);
        platform.set_restart_fails(id, false);
        platform.restore(id);
    }
    run_.run_until(run_.now() + duration);
}

void fault_schedule::kill(vm_id id) {
    run_.platform().kill(id);
    down_.insert(id);
}

void fault_schedule::submit_and_cancel_jobs() {
    if (random_.chance(submit_chance_)) {
        submit_job job;
        job.team = static_cast<team_id>(random_.below(run_.current().teams.size()));
        job.pool = static_cast<pool_id>(random_.below(run_.current().pools.size()));
        job.kind = random_.chance(0.4) ? job_kind::at_most_once : job_kind::idempotent;
        job.urgent = random_.chance(0.1);
        job.declared = {random_.between(1, random_.chance(0.02) ? 40 : 8) * 1'000, 2'048, 0};
        jobs_.push_back(run_.submit(job));
    }
    // Cancellations come in bursts and affect jobs in all phases.
    if (random_.chance(0.01)) {
        const auto count = std::min<std::size_t>(jobs_.size(), 30);
        for (std::size_t i = 0; i < count; ++i)
            run_.cancel(jobs_[jobs_.size() - 1 - i]);
    }
}

void fault_schedule::inject_faults() {
    if (random_.chance(0.01))
        kill(random_vm());
    if (random_.chance(0.002))
        fail_rack(random_vm());
    if (random_.chance(0.0005))
        fail_zone(random_vm());
    if (random_.chance(0.01)) {
        const auto id = random_vm();
        run_.platform().set_disconnected(id, true);
        disconnected_.insert(id);
    }
    if (random_.chance(0.002))
        run_.platform().set_faulty(random_vm(), true);
    // A drain lasts about three rounds, so about one restart in ten fails.
    const auto& vms = run_.current().vms;
    for (vm_id id = 0; id < vms.size(); ++id) {
        const bool draining = vms[id].activity == vm_activity::maintenance_draining;
        if (draining && random_.chance(0.03))
            run_.platform().set_restart_fails(id, true);
    }
    if (random_.chance(0.01))
        run_.crash_leader({random_.below(4), "", random_.between(500, 5'000)});
}

void fault_schedule::fail_rack(vm_id member) {
    const auto& vms = run_.current().vms;
    for (vm_id id = 0; id < vms.size(); ++id) {
        if (vms[id].rack == vms[member].rack)
            kill(id);
    }
}

void fault_schedule::fail_zone(vm_id member) {
    const auto& vms = run_.current().vms;
    for (vm_id id = 0; id < vms.size(); ++id) {
        if (vms[id].zone == vms[member].zone)
            kill(id);
    }
}

// Restores and reconnects at most one VM each; 20 % of the restores are followed by the loss of
// another VM.
void fault_schedule::repair_some() {
    for (vm_id id = 0; id < run_.current().vms.size(); ++id) {
        if (!run_.platform().alive(id))
            down_.insert(id);
    }
    if (!down_.empty() && random_.chance(0.05)) {
        const auto id = *down_.begin();
        down_.erase(id);
        run_.platform().restore(id);
        if (random_.chance(0.2))
            kill(random_vm());
    }
    if (!disconnected_.empty() && random_.chance(0.05)) {
        const auto id = *disconnected_.begin();
        disconnected_.erase(id);
        run_.platform().set_disconnected(id, false);
    }
}

} // namespace clementine::scheduler
