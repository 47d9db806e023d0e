// The leader's view of the workers: lives, leases and runs. Not replicated: a new leader rebuilds
// it from the job table, from announcements and from the workers' lists.
#pragma once

#include "workload/job_table.h"
#include "workload/orders.h"

#include <map>
#include <string>
#include <vector>

namespace clementine::workload {

// Lease that every hold and start grants; the platform allows 10 s. It outlasts an election (2 s),
// a new leader's first contact (1 s) and a pause between two holds (2 s).
inline constexpr time_ms worker_lease{6'000};
// An unanswered order may arrive this late.
inline constexpr time_ms max_order_delay{12'000};
// A life is announced to the leader within this time after its start, so that no more orders are
// sent to the former one.
inline constexpr time_ms announcement_delay{2'500};
// Lowest rate of a worker's clock relative to the local one.
inline constexpr double min_clock_rate = 0.98;

// A worker on probation that neither completes nor fails its run gets the next one after this time.
inline constexpr time_ms probation_interval{2'000};

// From this many workers on, answers and decisions are batched for some ms, because each costs
// more.
inline constexpr std::size_t large_fleet_workers = 100;

enum class run_stage {
    proposed,  // the start is not committed yet
    ordered,   // the order was sent, or went unanswered
    confirmed, // the worker confirmed the run
    listed     // the worker listed the run
};

// What a run counts for in the account of its workspace. Kept apart from the job, whose
// specification may be gone before its last run is.
struct workspace_charge {
    std::string workspace; // empty if none
    resources need;        // of the task; includes the processor of best-effort tasks
};

// A run that occupies resources of a worker, as far as the leader knows.
struct live_run {
    task_id task;
    std::uint32_t run = 0;
    resources need;
    workspace_charge charge;
    bool long_running = false;
    bool best_effort = false;
    bool unexpected = false; // not assigned in the job table: to be stopped
    bool inherited = false;  // ordered by an earlier leader
    run_stage stage = run_stage::proposed;
    time_ms since{0};          // time of the proposal
    time_ms confirmed_at{0};   // time at which the start was confirmed
    time_ms expected_time{0};  // from the start to the end, by its estimate; 0 if unknown
    bool begun_before = false; // resumed, or begun under an earlier leader
    bool order_under_way = false;
    int start_attempts = 0;
    int open_starts = 0;      // attempts that may not have arrived yet
    time_ms last_start_at{0}; // time of the last attempt

    bool stop_wanted = false;
    bool stop_under_way = false;
    time_ms stop_sent_at{0};
    time_ms stop_answered_at{0}; // 0 until answered

    std::uint64_t last_list = 0; // number of the worker's latest list that has the run; 0 if none
    int percent = 0;
    time_ms listed_at{0};           // when the worker's latest list with the run came
    time_ms progress_at{0};         // when `percent` last rose
    time_ms throttled{0};           // time since `progress_at` that pacing has taken from it
    int lists_without_progress = 0; // while it was not paused
    std::string checkpoint;
    std::int64_t load = 0;
    int pace = 100;
    bool pace_under_way = false;
    bool pace_unclear = false;  // an order without an answer, or of an earlier leader, may have
                                // changed it
    time_ms pace_open_until{0}; // such an order may arrive until then
    time_ms pace_sent_at{0};
    time_ms target_tail_latency{0}; // 0 if none

    // True unless the run is known to have begun in the life that it was ordered for. Its start may
    // be carried out by the next life under the same id, because an order names only the id, and
    // the answer to a start does not tell the life.
    bool may_begin_in_next_life() const {
        return open_starts > 0 || inherited || stage == run_stage::confirmed;
    }
    // True if the run has not shown yet whether its worker is sound. A long-running task never ends
    // as done, so it counts as sound once it is at work.
    bool is_unproven(time_ms now) const;
    // For a run that another leader may have paused.
    void assume_paused() {
        pace = 0;
        pace_unclear = true;
    }
    // Share of the processor that the run is known to be allowed, in percent.
    int known_pace() const { return pace_unclear ? 0 : pace; }
    // Time since its last progress, as if it had run at full pace.
    time_ms active_without_progress(time_ms now) const;
};

using run_key = std::pair<task_id, std::uint32_t>;

// A start that may still arrive although its run is over for the leader.
struct loose_start {
    task_id task;
    std::uint32_t run = 0;
    time_ms sent_at{0};
    workspace_charge charge;
};

// Recent results of runs, to distinguish a failing worker from failing jobs.
struct worker_health {
    int failed = 0; // consecutive runs of different jobs that failed or stalled
    std::string last_failed_job;
    time_ms quarantined_until{0}; // no new runs before this time
    time_ms quarantine_time{0};   // length of the last quarantine
    bool on_probation = false;    // new runs only one by one until one succeeds
};

struct worker {
    worker_ref ref;
    std::string pool;
    std::string address;
    std::string availability_zone;
    std::string kind;
    std::string rack;
    resources capacity;
    std::uint64_t sequence = 0;
    bool reported = false;  // announced itself to this leader
    bool contacted = false; // answered a hold of this leader
    bool draining = false;
    time_ms draining_since{0}; // when this leader learnt of it; 0 if it does not drain
    bool reserved = false;     // its VM is about to move or to go down
    bool upkeep_due = false;   // its VM will go down in a wave
    resources kept_room;       // for long-running tasks that are leaving other VMs
    bool leaving = false;      // a notice of its shutdown came, or its VM is not up
    time_ms leaving_since{0};
    bool says_draining = false; // this life has announced that it drains
    bool notice_came = false;   // of its shutdown; the notice may be of a former life
    // Time of an order that ended this life unless it had been carried out before; 0 if none.
    time_ms ordered_away_at{0};
    time_ms reported_at{0};
    time_ms seen_since{0}; // this life had started by then

    time_ms clock{0};               // worker's clock at the last answer or announcement
    time_ms clock_seen_at{0};       // local clock at that time
    time_ms lease_until{0};         // end of the latest lease, on the worker's clock
    time_ms inherited_lease_end{0}; // end of leases from earlier leaders, and of those that orders
                                    // for a former life may have granted; on the local clock
    // When an order with a lease was last issued, or ended without telling whether this life or
    // the next one carried it out.
    time_ms open_lease_at{0};

    bool hold_under_way = false;
    bool hold_unanswered = false; // the last hold failed: leases must not be extended blindly
    time_ms next_hold_at{0};
    int refused_holds = 0;          // consecutive refused connections
    time_ms unanswered_start_at{0}; // with no later answer from the worker; 0 if none
    std::uint64_t last_seen = 0;    // ends up to this number are in the log
    std::uint64_t last_logged = 0;  // ends up to this number were proposed to the log
    std::uint64_t acknowledged = 0; // ends up to this number are not listed any more
    bool acknowledging = false;     // the hold under way acknowledges ends
    // When a hold that acknowledged ends was last found to have no answer; 0 if never.
    time_ms unanswered_acknowledgement_at{0};
    time_ms former_acknowledgement_at{0}; // as above, for former lives
    bool ends_under_way() const { return last_logged > last_seen; }

    std::map<run_key, live_run> runs;
    // In the order of the ends of their runs. This life refuses them, the next one would not.
    std::vector<loose_start> loose_starts;
    std::uint64_t answered_lists = 0;  // lists received from this life
    std::int64_t long_running_cpu = 0; // processor of long-running `runs`
    std::uint32_t long_running_runs = 0;
    bool review_due = true;  // something about `runs` may need an order
    time_ms tail_high_at{0}; // last time a tail latency was too close to its target
    resources used;
    worker_health health;

    resources free() const { return capacity - used; }
    // True once no run that this life has begun can be running.
    bool lease_expired(time_ms now) const;
    // True once a next life under the same id can be running nothing that it has begun so far.
    // `granted_lease`: see controller::granted_lease.
    bool next_life_lease_expired(time_ms now, time_ms granted_lease) const;
    // True if a start may still arrive, or may run in a next life that is not known yet.
    bool may_be_carried_out(const loose_start& start, time_ms now, time_ms granted_lease) const;
    // When the latest acknowledgement was sent that the next life may carry out; 0 if none was.
    time_ms last_open_acknowledgement() const;
    // True if an acknowledgement for a former life may still arrive: this life would forget ends of
    // its own that it has not listed.
    bool may_forget_ends(time_ms now) const;
    // True if a worker on probation has a run whose outcome it has to await.
    bool awaits_probation_run(time_ms now) const;
    // End of a lease granted now, on the worker's clock.
    time_ms lease_to_grant(time_ms now) const;
    live_run* find(const task_id& task, std::uint32_t run);
    // `need` and `long_running` of an added run do not change.
    live_run& add(live_run value);
    void remove(const run_key& key);
};

// What a run of a step counts for in the account of the job's workspace.
workspace_charge charge_of(const job& owner, const step_spec& step);

// Resources that a task of a step occupies; best-effort tasks occupy no processor.
resources occupied_resources(const step_spec& step);

} // namespace clementine::workload
