#include "scheduler/quarantine.h"

#include <algorithm>

namespace clementine::scheduler {

namespace {

// Different jobs that must fail in a row. At a failure rate of 10% among the peers, four failures
// in a row occur by chance once in 10,000 attempts.
constexpr std::uint32_t min_suspicious_failures = 4;
// At a higher failure rate of the peers the jobs rather than the worker are at fault.
constexpr double max_peer_failure_rate = 0.4;
constexpr double outcome_decay = 0.99;
// Limits on quarantines as shares of a pool's workers: new ones per minute and in total. Each limit
// is at least one worker.
constexpr double quarantines_per_minute = 0.01;
constexpr double max_quarantined_share = 0.1;
constexpr time_ms initial_probe_interval{30'000};
constexpr time_ms max_probe_interval{1'800'000};
constexpr time_ms probe_timeout{10'000};
constexpr std::uint32_t probes_to_readmit = 2;

} // namespace

void quarantine_planner::record(const state& s, vm_id worker, job_id job, bool succeeded) {
    auto& pool = pools_[s.vms[worker].pool];
    pool.succeeded = pool.succeeded * outcome_decay + (succeeded ? 1 : 0);
    pool.failed = pool.failed * outcome_decay + (succeeded ? 0 : 1);
    if (succeeded) {
        suspects_.erase(worker);
        return;
    }
    auto& record = suspects_[worker];
    // Repeated failures of one job are no evidence against the worker.
    if (record.last_failed != job)
        ++record.failed_jobs;
    record.last_failed = job;
}

bool quarantine_planner::is_suspicious(const state& s, vm_id worker,
                                       const worker_record& record) const {
    if (record.failed_jobs < min_suspicious_failures || s.vms[worker].quarantined)
        return false;
    const auto& pool = pools_[s.vms[worker].pool];
    const double peer_failures = std::max(0.0, pool.failed - record.failed_jobs);
    const double peer_attempts = peer_failures + pool.succeeded;
    return peer_attempts >= 1 && peer_failures / peer_attempts < max_peer_failure_rate;
}

void quarantine_planner::decide(const state& s, const fleet_view& view,
                                const observations& observed, time_ms now,
                                std::vector<decision>& out) {
    for (auto& pool : pools_)
        pool.quarantined = 0;
    for (vm_id id = 0; id < s.vms.size(); ++id) {
        if (!s.vms[id].quarantined)
            continue;
        ++pools_[s.vms[id].pool].quarantined;
        probe(s, view, observed, id, now, out);
    }
    std::vector<vm_id> suspects;
    for (const auto& [worker, record] : suspects_) {
        if (is_suspicious(s, worker, record))
            suspects.push_back(worker);
    }
    std::ranges::sort(suspects);
    for (const auto worker : suspects) {
        const auto id = s.vms[worker].pool;
        auto& pool = pools_[id];
        const auto members = static_cast<double>(s.pools[id].members.size());
        const double tokens_per_ms = std::max(1.0, members * quarantines_per_minute) / 60'000;
        const auto elapsed_ms = pool.refilled_at == 0 ? 0 : now - pool.refilled_at;
        pool.tokens = std::min(std::max(1.0, members * quarantines_per_minute),
                               pool.tokens + tokens_per_ms * static_cast<double>(elapsed_ms));
        pool.refilled_at = now;
        const double limit = std::max(1.0, members * max_quarantined_share);
        if (pool.tokens < 1 || pool.quarantined + 1 > limit)
            continue;
        pool.tokens -= 1;
        ++pool.quarantined;
        const auto count = suspects_[worker].failed_jobs;
        suspects_.erase(worker);
        probes_[worker].next_at = now + initial_probe_interval;
        out.push_back({quarantine_worker{worker},
                       std::to_string(count) + " different jobs failed here in a row, while "
                                               "most succeed on other workers",
                       now});
    }
}

// Evaluates the last probe of a quarantined worker and orders the next one when it is due.
void quarantine_planner::probe(const state& s, const fleet_view& view, const observations& observed,
                               vm_id worker, time_ms now, std::vector<decision>& out) {
    auto& record = probes_[worker];
    if (record.interval == 0) {
        record.interval = initial_probe_interval;
        record.next_at = std::max(record.next_at, now);
    }
    const auto number = s.vms[worker].probe;
    if (record.pending && observed.report(worker).probe_succeeded == number) {
        record.pending = false;
        record.interval = initial_probe_interval;
        if (++record.succeeded >= probes_to_readmit) {
            probes_.erase(worker);
            out.push_back({readmit_worker{worker}, "probes succeeded", now});
            return;
        }
        record.next_at = now;
    }
    if (now < record.next_at || !view.up(worker) || s.vms[worker].activity != vm_activity::none)
        return;
    if (record.pending) {
        // The probe timed out: retry with a doubled interval.
        record.pending = false;
        record.succeeded = 0;
        record.interval = std::min(2 * record.interval, max_probe_interval);
        record.next_at = now + record.interval;
        return;
    }
    record.pending = true;
    record.next_at = now + probe_timeout;
    out.push_back({probe_worker{worker, number + 1}, "quarantined worker", now});
}

} // namespace clementine::scheduler
