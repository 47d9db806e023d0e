#include "scheduler/jobs.h"

#include <algorithm>
#include <iterator>
#include <set>
#include <tuple>

namespace clementine::scheduler {

namespace {

// Attempts at an idempotent job before it counts as failed.
constexpr std::uint32_t max_failures = 3;
// Queued jobs per team that one round considers, so that long queues do not prolong a round.
constexpr std::size_t scan_limit = 64;
// Preemptions per round, so that a burst of urgent jobs does not stop everything at once.
constexpr std::size_t preempt_limit = 64;
// Queueing time after which a job within its team's quota preempts borrowed work.
constexpr time_ms preempt_delay{5'000};
constexpr time_ms reservation_timeout{6'000};
// An overloaded worker has jobs throttled after throttle_after, and preempted after preempt_after.
constexpr std::int64_t overload_percent = 95;
constexpr std::int64_t unthrottle_percent = 70;
constexpr time_ms throttle_after{2'000};
constexpr time_ms preempt_after{6'000};
constexpr time_ms adjust_interval{2'000};
constexpr time_ms unthrottle_interval{10'000};
constexpr int throttled_percent = 50;

bool exceeds(const resources& used, const resources& capacity, std::int64_t percent) {
    return used.millicores * 100 > capacity.millicores * percent ||
           used.memory_mb * 100 > capacity.memory_mb * percent;
}

} // namespace

// Inputs and intermediate results of one decision round.
struct job_planner::round {
    const state& s;
    const fleet_view& view;
    const observations& observed;
    time_ms now;
    std::vector<decision>& out;
    placement_index index;
    std::vector<std::int64_t> used_millicores; // by team, expected
    std::set<job_id> changed;                  // jobs with a decision in this round
    std::size_t preemptions = 0;

    void add(action what, std::string reason) { out.push_back({what, std::move(reason), now}); }
};

job_planner::job_planner(const state& s)
    : sizes_(s.teams.size()), quarantine_(s), queue_cursors_(s.teams.size()) {
    for (const auto& vm : s.vms) {
        max_worker_.millicores = std::max(max_worker_.millicores, vm.capacity.millicores);
        max_worker_.memory_mb = std::max(max_worker_.memory_mb, vm.capacity.memory_mb);
        max_worker_.accelerators = std::max(max_worker_.accelerators, vm.capacity.accelerators);
    }
    max_need_ = without_headroom(max_worker_);
}

void job_planner::observe(const state& s, const vm_report& report) {
    for (const auto& task : report.tasks) {
        const auto* job = s.find_job(task.job);
        if (job != nullptr && task.phase == task_phase::running && task.throttle_percent == 100)
            sizes_.observe(job->request, task.used);
    }
}

void job_planner::decide(const state& s, const fleet_view& view, const observations& observed,
                         time_ms now, std::vector<decision>& out) {
    round r{s,
            view,
            observed,
            now,
            out,
            placement_index(s, view, observed, sizes_),
            std::vector<std::int64_t>(s.teams.size()),
            {}};
    check_active_jobs(r);
    handle_overloads(r);
    apply_reservations(r);
    place_jobs(r);
    quarantine_.decide(s, view, observed, now, out);
}

// Checks each active job against the latest report of its worker.
void job_planner::check_active_jobs(round& r) {
    for (const auto& tasks : r.s.tasks) {
        for (const auto id : tasks)
            check_active_job(r, r.s.jobs.at(id));
    }
}

void job_planner::check_active_job(round& r, const job_record& job) {
    r.used_millicores[job.request.team] += expected(job).millicores;
    const auto& report = r.observed.report(job.worker);
    const auto task = std::ranges::find_if(report.tasks, [&](const task_report& item) {
        return item.job == job.id && item.attempt == job.attempt;
    });
    if (task != report.tasks.end() && task->phase != task_phase::running) {
        record_task_end(r, job, *task);
        return;
    }
    const auto checkpoint = task == report.tasks.end() ? 0 : task->checkpoint;
    if (r.observed.lease_expired(job.worker, r.now)) {
        handle_lost_worker(r, job, checkpoint, "lease of the worker expired");
        return;
    }
    if (r.observed.has_report(job.worker) && report.lease_epoch > job.lease_epoch) {
        handle_lost_worker(r, job, checkpoint, "worker restarted or its lease lapsed");
        return;
    }
    const auto activity = r.s.vms[job.worker].activity;
    const bool draining =
        activity == vm_activity::draining || activity == vm_activity::maintenance_draining;
    if (draining && job.phase == job_phase::started && job.request.kind == job_kind::idempotent &&
        !job.cancel_requested) {
        r.changed.insert(job.id);
        r.add(preempt_job{job.id, job.attempt}, "its worker is draining");
    }
}

// Records the end of an attempt as its worker reports it.
void job_planner::record_task_end(round& r, const job_record& job, const task_report& task) {
    r.changed.insert(job.id);
    const bool idempotent = job.request.kind == job_kind::idempotent;
    switch (task.phase) {
    case task_phase::succeeded:
        quarantine_.record(r.s, job.worker, job.id, true);
        r.add(end_job{job.id, job.attempt, job_outcome::succeeded}, "completed");
        break;
    case task_phase::failed:
        quarantine_.record(r.s, job.worker, job.id, false);
        if (idempotent && job.failures + 1 < max_failures && !job.cancel_requested)
            r.add(requeue_job{job.id, job.attempt, task.checkpoint, true},
                  "attempt failed; it resumes elsewhere");
        else
            r.add(end_job{job.id, job.attempt, job_outcome::failed}, "failed on its worker");
        break;
    case task_phase::stopped:
        if (job.cancel_requested)
            r.add(end_job{job.id, job.attempt, job_outcome::cancelled}, "stopped on request");
        else if (idempotent)
            r.add(requeue_job{job.id, job.attempt, task.checkpoint, false},
                  "stopped to make room; it resumes from its checkpoint");
        else
            r.add(end_job{job.id, job.attempt, job_outcome::unknown},
                  "stopped by its worker without a request");
        break;
    case task_phase::running:
        break;
    }
}

void job_planner::handle_lost_worker(round& r, const job_record& job, std::uint64_t checkpoint,
                                     const std::string& reason) {
    r.changed.insert(job.id);
    if (job.request.kind == job_kind::at_most_once)
        r.add(end_job{job.id, job.attempt, job_outcome::unknown},
              reason + "; an at-most-once job is not started again");
    else
        r.add(requeue_job{job.id, job.attempt, checkpoint, false},
              reason + "; it resumes from its checkpoint");
}

void job_planner::handle_overloads(round& r) {
    for (vm_id worker = 0; worker < r.s.tasks.size(); ++worker) {
        if (!r.s.tasks[worker].empty())
            handle_overload(r, worker);
    }
    const auto idle = [&](const auto& item) { return r.s.tasks[item.first].empty(); };
    std::erase_if(overloaded_since_, idle);
    std::erase_if(adjusted_at_, idle);
}

// Throttles the jobs of an overloaded worker one at a time. If the overload lasts, preempts one.
void job_planner::handle_overload(round& r, vm_id worker) {
    if (!r.view.up(worker))
        return;
    const auto& used = r.observed.report(worker).used;
    const auto& capacity = r.s.vms[worker].capacity;
    const bool overloaded = exceeds(used, capacity, overload_percent);
    const auto adjusted = adjusted_at_.find(worker);
    const auto last_adjustment = adjusted == adjusted_at_.end() ? 0 : adjusted->second;
    if (!overloaded) {
        overloaded_since_.erase(worker);
        if (exceeds(used, capacity, unthrottle_percent) ||
            r.now - last_adjustment < unthrottle_interval)
            return;
        for (const auto id : r.s.tasks[worker]) {
            const auto& job = r.s.jobs.at(id);
            if (job.throttle_percent == 100 || r.changed.contains(id))
                continue;
            adjusted_at_[worker] = r.now;
            r.add(throttle_job{id, job.attempt, 100}, "its worker has room again");
            return;
        }
        return;
    }
    const auto overloaded_since = overloaded_since_.emplace(worker, r.now).first->second;
    if (r.now - overloaded_since < throttle_after || r.now - last_adjustment < adjust_interval)
        return;
    // Prefers borrowed jobs, then non-urgent ones, then the most recently submitted.
    const job_record* victim = nullptr;
    const auto rank = [](const job_record& job) {
        return std::tuple(job.borrowed, !job.request.urgent, job.id);
    };
    const bool preempt = r.now - overloaded_since >= preempt_after;
    for (const auto id : r.s.tasks[worker]) {
        const auto& job = r.s.jobs.at(id);
        const bool eligible =
            job.phase == job_phase::started && !r.changed.contains(id) &&
            (preempt ? job.request.kind == job_kind::idempotent : job.throttle_percent == 100);
        if (eligible && (victim == nullptr || rank(job) > rank(*victim)))
            victim = &job;
    }
    if (victim == nullptr)
        return;
    adjusted_at_[worker] = r.now;
    r.changed.insert(victim->id);
    if (preempt)
        r.add(preempt_job{victim->id, victim->attempt},
              "its worker is overloaded although jobs are throttled");
    else
        r.add(throttle_job{victim->id, victim->attempt, throttled_percent},
              "its worker is overloaded");
}

// Reserves capacity for jobs that wait for preempted ones to leave their worker.
void job_planner::apply_reservations(round& r) {
    std::erase_if(reservations_, [&](const auto& item) {
        const auto* job = r.s.find_job(item.first);
        return job == nullptr || job->phase != job_phase::queued ||
               r.now >= item.second.expires_at || !r.index.usable(item.second.worker);
    });
    for (const auto& [job, held] : reservations_)
        r.index.reserve(held.worker, held.need);
}

// Expected use, capped at the capacity of an empty worker, so that a job that declares a whole
// worker or is expected to use more than one can still be placed on a worker of its own.
resources job_planner::expected(const job_record& job) const {
    auto need = sizes_.expected(job.request);
    need.millicores = std::min(need.millicores, max_need_.millicores);
    need.memory_mb = std::min(need.memory_mb, max_need_.memory_mb);
    return need;
}

bool job_planner::reject_unplaceable(round& r, const job_record& job) {
    const auto& team = r.s.teams[job.request.team];
    const bool may_borrow = team.may_borrow && job.request.kind == job_kind::idempotent;
    if (!max_worker_.covers(job.request.declared))
        r.add(end_job{job.id, job.attempt, job_outcome::never_runs},
              "bigger than any worker; it can never run");
    else if (!may_borrow && job.request.declared.millicores > team.quota_millicores)
        r.add(end_job{job.id, job.attempt, job_outcome::never_runs},
              "bigger than the quota of team " + team.name + " and may not borrow");
    else
        return false;
    return true;
}

// An idle team may start any job whose declared size fits its quota.
bool job_planner::within_quota(const round& r, const job_record& job) const {
    const auto team = job.request.team;
    const auto quota = r.s.teams[team].quota_millicores;
    if (r.used_millicores[team] == 0)
        return job.request.declared.millicores <= quota;
    return r.used_millicores[team] + expected(job).millicores <= quota;
}

bool job_planner::place(round& r, const job_record& job, bool borrowed) {
    const auto need = expected(job);
    const auto held = reservations_.find(job.id);
    vm_id worker = no_vm;
    if (held != reservations_.end()) {
        r.index.unreserve(held->second.worker, held->second.need);
        if (r.index.free(held->second.worker).covers(need))
            worker = held->second.worker;
        else
            r.index.reserve(held->second.worker, held->second.need);
    }
    if (worker == no_vm) {
        const auto avoid = job.failures > 0 ? job.worker : no_vm;
        worker = r.index.find({need, job.request.pool, job.request.team, avoid});
    }
    if (worker == no_vm)
        return false;
    if (held != reservations_.end()) {
        if (worker != held->second.worker)
            r.index.unreserve(held->second.worker, held->second.need);
        reservations_.erase(held);
    }
    r.index.occupy(worker, need, job.request.team);
    r.used_millicores[job.request.team] += need.millicores;
    r.add(
        start_job{job.id, job.attempt + 1, worker, r.observed.report(worker).lease_epoch, borrowed},
        borrowed ? "fits by observed use; beyond its team's quota" : "fits by observed use");
    return true;
}

void job_planner::place_jobs(round& r) {
    place_urgent(r);
    // Serves the teams with the lowest quota utilization first.
    std::vector<std::pair<double, team_id>> order;
    for (std::size_t i = 0; i < r.s.teams.size(); ++i) {
        if (r.s.queued[i].empty())
            continue;
        const auto quota =
            static_cast<double>(std::max<std::int64_t>(1, r.s.teams[i].quota_millicores));
        order.emplace_back(static_cast<double>(r.used_millicores[i]) / quota,
                           static_cast<team_id>(i));
    }
    std::ranges::sort(order);
    for (const auto& [share, team] : order)
        place_team(r, team, false);
    for (const auto& [share, team] : order) {
        if (r.s.teams[team].may_borrow)
            place_team(r, team, true);
    }
}

void job_planner::place_urgent(round& r) {
    std::size_t scanned = 0;
    for (const auto id : r.s.queued_urgent) {
        if (++scanned > scan_limit)
            break;
        const auto& job = r.s.jobs.at(id);
        if (reject_unplaceable(r, job))
            continue;
        const bool within_own_quota = within_quota(r, job);
        const bool may_borrow =
            r.s.teams[job.request.team].may_borrow && job.request.kind == job_kind::idempotent;
        if ((within_own_quota || may_borrow) && place(r, job, !within_own_quota))
            continue;
        if (within_own_quota && !reservations_.contains(id))
            preempt_for(r, job, true);
    }
}

// Places queued jobs of a team, either within its quota or as borrowed work. Only idempotent jobs
// may borrow, because borrowed capacity is reclaimed by preemption.
void job_planner::place_team(round& r, team_id team, bool borrow) {
    const auto& queue = r.s.queued[team];
    auto it = queue.lower_bound(queue_cursors_[team]);
    job_id first_unplaced = 0;
    for (std::size_t scanned = 0; scanned < std::min(scan_limit, queue.size()); ++scanned) {
        if (it == queue.end())
            it = queue.begin();
        const auto& job = r.s.jobs.at(*it);
        ++it;
        if (r.changed.contains(job.id))
            continue;
        const bool within_own_quota = within_quota(r, job);
        if (!borrow && reject_unplaceable(r, job)) {
            r.changed.insert(job.id);
            continue;
        }
        if (within_own_quota == borrow || (borrow && job.request.kind != job_kind::idempotent))
            continue;
        if (place(r, job, borrow)) {
            r.changed.insert(job.id);
            continue;
        }
        // The next round starts with the first job that did not fit.
        if (first_unplaced == 0)
            first_unplaced = job.id;
        if (!borrow && r.now - job.phase_since >= preempt_delay && !reservations_.contains(job.id))
            preempt_for(r, job, false);
    }
    if (!borrow)
        queue_cursors_[team] =
            queue.size() > scan_limit && it != queue.end() ? *it : first_unplaced;
}

// Makes room for a job on one worker by preempting borrowed jobs, and for an urgent job also
// non-urgent ones of its own team. Picks the worker that needs the fewest preemptions.
void job_planner::preempt_for(round& r, const job_record& job, bool include_own_team) {
    const auto need = expected(job);
    std::map<vm_id, std::vector<const job_record*>> by_worker;
    for (const auto id : r.s.active) {
        const auto& other = r.s.jobs.at(id);
        const bool preemptible = other.borrowed || (include_own_team && !other.request.urgent &&
                                                    other.request.team == job.request.team);
        if (preemptible && other.phase == job_phase::started && !other.cancel_requested &&
            other.request.kind == job_kind::idempotent && !r.changed.contains(id) &&
            r.index.usable(other.worker) && r.s.vms[other.worker].pool == job.request.pool)
            by_worker[other.worker].push_back(&other);
    }
    std::vector<const job_record*> best;
    vm_id best_worker = no_vm;
    for (auto& [worker, victims] : by_worker) {
        // Preempts borrowed jobs first, then the most recently submitted.
        std::ranges::sort(victims, [](const job_record* a, const job_record* b) {
            return std::tuple(!a->borrowed, b->id) < std::tuple(!b->borrowed, a->id);
        });
        auto free = r.index.free(worker);
        std::size_t count = 0;
        while (count < victims.size() && !free.covers(need))
            free += expected(*victims[count++]);
        if (free.covers(need) && (best_worker == no_vm || count < best.size())) {
            best.assign(victims.begin(), victims.begin() + static_cast<std::ptrdiff_t>(count));
            best_worker = worker;
        }
    }
    if (best_worker == no_vm || r.preemptions + best.size() > preempt_limit)
        return;
    r.preemptions += best.size();
    for (const auto* victim : best) {
        r.changed.insert(victim->id);
        r.add(preempt_job{victim->id, victim->attempt},
              "makes room for job " + std::to_string(job.id) + " within its team's quota");
    }
    reservations_[job.id] = {best_worker, need, r.now + reservation_timeout};
    r.index.reserve(best_worker, need);
}

std::string job_planner::explain(const state& s, job_id id) const {
    const auto* job = s.find_job(id);
    if (job == nullptr)
        return "no such job";
    std::string out(to_name(job->phase));
    if (job->phase == job_phase::ended)
        return out + " (" + std::string(to_name(job->outcome)) + "): " + job->reason;
    if (job->phase != job_phase::queued)
        return out + " on " + s.vms[job->worker].name + ": " + job->reason;
    const auto held = reservations_.find(id);
    if (held != reservations_.end())
        return out + ": waits for borrowed work to leave " + s.vms[held->second.worker].name;
    const auto need = expected(*job);
    return out + ": no worker of pool " + s.pools[job->request.pool].name + " has " +
           std::to_string(need.millicores) + " millicores and " + std::to_string(need.memory_mb) +
           " MB free, or team " + s.teams[job->request.team].name + " is at its quota" +
           (job->reason.empty() ? "" : "; before: " + job->reason);
}

std::size_t job_planner::bytes() const {
    return reservations_.size() * 96 + (overloaded_since_.size() + adjusted_at_.size()) * 48 +
           queue_cursors_.size() * sizeof(job_id);
}

} // namespace clementine::scheduler
