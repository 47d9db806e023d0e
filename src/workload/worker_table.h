// The leader's view of the workers: lives, leases and the runs on each. Not replicated: a new
// leader builds it from the job table, from announcements and from the workers' own lists.
#pragma once

#include "workload/job_table.h"
#include "workload/orders.h"

#include <map>
#include <string>
#include <vector>

namespace clementine::workload {

// Lease that every hold and start grants. The platform allows 10 s. It outlasts an election (2 s),
// a new leader's first contact (1 s) and a pause between two holds (2 s).
inline constexpr time_ms worker_lease{6'000};
// A worker's clock may be this much slower than ours.
inline constexpr double slow_clock_rate = 0.98;

// From this many workers on, answers and decisions are gathered for some ms, because each costs
// more.
inline constexpr std::size_t large_fleet_workers = 100;

enum class run_stage {
    logging,   // the start is not committed yet
    ordered,   // the order is under way, or went unanswered
    confirmed, // the worker has the run
    listed     // the worker listed it
};

// A run that takes room on a worker, as far as the leader knows.
struct live_run {
    task_id task;
    std::uint32_t run = 0;
    resources need;
    bool long_running = false;
    bool best_effort = false;
    bool foreign = false;   // not in the job table: to be stopped
    bool inherited = false; // ordered by an earlier leader
    run_stage stage = run_stage::logging;
    time_ms since{0};        // when it was proposed
    time_ms confirmed_at{0}; // when the start was answered
    bool order_under_way = false;
    int start_attempts = 0;

    bool stop_wanted = false;
    bool stop_under_way = false;
    time_ms stop_tried_at{0};
    time_ms stop_answered_at{0}; // 0: not answered yet

    int percent = 0;
    time_ms progress_at{0}; // when `percent` last rose
    int lists_without_progress = 0;
    std::string checkpoint;
    std::int64_t load = 0;
    int pace = 100;
    bool pace_under_way = false;
    time_ms target_tail_latency{0}; // response time to stay below; 0: none
};

using run_key = std::pair<task_id, std::uint32_t>;

// Recent results of runs, to tell a failing worker from failing work.
struct worker_health {
    int failed = 0; // runs in a row that failed or stood still, of different jobs
    std::string last_failed_job;
    time_ms shunned_until{0};  // no new runs until then
    time_ms shun_for{0};       // length of the last exclusion
    bool on_probation = false; // one run at a time until one succeeds
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
    bool reserved = false;   // its VM is about to move or to go down
    bool upkeep_due = false; // its VM will go down in a wave
    bool leaving = false;    // it said good-bye, or its VM was ordered away
    time_ms leaving_since{0};
    time_ms reported_at{0};
    time_ms known_since{0}; // this life had begun by then

    time_ms clock{0};               // the worker's clock, last seen
    time_ms clock_seen_at{0};       // our clock then
    time_ms lease_until{0};         // latest lease granted, on the worker's clock
    time_ms inherited_lease_end{0}; // end of leases of earlier leaders, on our clock

    bool hold_under_way = false;
    bool hold_unanswered = false; // the last one: leases must not be extended blindly
    time_ms next_hold_at{0};
    int refused_holds = 0;          // connections in a row that were refused
    time_ms unanswered_start_at{0}; // a start went without an answer, and no answer came since
    std::uint64_t last_seen = 0;    // ends up to this number are in the log
    std::uint64_t last_logged = 0;  // ends up to this number were proposed to the log
    bool ends_under_way() const { return last_logged > last_seen; }

    std::map<run_key, live_run> runs;
    time_ms tail_high_at{0}; // when a tail was last too close to its target
    resources used;
    worker_health health;

    resources free() const { return capacity - used; }
    // True once no run of this life can be running any more.
    bool lease_expired(time_ms now) const;
    // Lease to grant now, on the worker's clock.
    time_ms lease_to_grant(time_ms now) const;
    live_run* find(const task_id& task, std::uint32_t run);
    live_run& add(live_run value);
    void remove(const run_key& key);
};

// What a run occupies: fillers use only spare processor time.
resources occupied(const step_spec& step);

} // namespace clementine::workload
