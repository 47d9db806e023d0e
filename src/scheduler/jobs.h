// Job scheduling: placement, quotas, preemption and recovery from lost workers.
#pragma once

#include "scheduler/placement.h"
#include "scheduler/quarantine.h"

#include <map>
#include <string>
#include <unordered_map>
#include <vector>

namespace clementine::scheduler {

// Limit for the start of urgent jobs, from design section 1.6.
inline constexpr time_ms urgent_start_target{7'400};
// A preempted job that has no checkpoint by then is stopped without one. Leaves 4.4 s of the start
// target for decision rounds, report delays and the dispatch.
inline constexpr time_ms checkpoint_grace{3'000};

class job_planner {
  public:
    explicit job_planner(const state& s);

    // Updates the size estimates from a report.
    void observe(const state& s, const vm_report& report);
    void decide(const state& s, const fleet_view& view, const observations& observed, time_ms now,
                std::vector<decision>& out);
    // Explains the current phase of a job.
    std::string explain(const state& s, job_id job) const;
    std::size_t bytes() const;

  private:
    struct round;
    struct reservation {
        vm_id worker = no_vm;
        resources need;
        time_ms expires_at = 0;
    };

    void check_active_jobs(round& r);
    void check_active_job(round& r, const job_record& job);
    void record_task_end(round& r, const job_record& job, const task_report& task);
    void handle_lost_worker(round& r, const job_record& job, std::uint64_t checkpoint,
                            const std::string& reason);
    void handle_overloads(round& r);
    void handle_overload(round& r, vm_id worker);
    void place_jobs(round& r);
    void place_urgent(round& r);
    void place_team(round& r, team_id team, bool borrow);
    bool place(round& r, const job_record& job, bool borrowed);
    bool reject_unplaceable(round& r, const job_record& job);
    resources expected(const job_record& job) const;
    bool within_quota(const round& r, const job_record& job) const;
    void preempt_for(round& r, const job_record& job, bool include_own_team);
    void apply_reservations(round& r);

    size_estimates sizes_;
    quarantine_planner quarantine_;
    resources max_worker_;
    resources max_need_; // capacity of an empty worker without headroom
    std::map<job_id, reservation> reservations_;
    std::unordered_map<vm_id, time_ms> overloaded_since_;
    std::unordered_map<vm_id, time_ms> adjusted_at_;
    std::vector<job_id> queue_cursors_; // by team: job at which the next queue scan starts
};

} // namespace clementine::scheduler
