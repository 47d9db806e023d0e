// Decisions of the leading control node about jobs and workers. Performs no input or output:
// observations and the time are passed in, and `decide` returns log operations and orders.
//
// A start is logged before its order is sent, so that a later leader knows every run that may
// exist. An end is acknowledged to the worker once it is in the log.
#pragma once

#include "workload/admission.h"
#include "workload/demand.h"
#include "workload/explain.h"
#include "workload/offered_load.h"
#include "workload/paid_rate.h"
#include "workload/placement.h"
#include "workload/room_forecast.h"
#include "workload/turn_forecast.h"
#include "workload/vm_manager.h"
#include "workload/workspace_account.h"

#include <array>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace clementine::workload {

struct controller_settings {
    time_ms stop_time{0};       // longest time a worker takes to stop a run
    time_ms max_lease{10'000};  // longest lease that a worker grants, whatever an order names
    time_ms restore_time{0};    // until a task resumed from a checkpoint makes progress
    bool forecast_turns = true; // move VMs ahead of expected surges
    demand_model demand = demand_model::counted_jobs;
    // Highest work per ms offered to a pool between two times, in thousandths of a core. Replaces
    // the estimates of it in simulations, to compare them with full knowledge.
    std::function<std::int64_t(const std::string& pool, time_ms from, time_ms to)> known_rate{};
    lookahead placement = lookahead::backfill;
    vm_settings vms;
};

// Ends of one worker up to `number`, logged by the same decisions.
struct logged_ends {
    worker_ref worker;
    std::uint64_t number = 0;
};

struct decisions {
    std::vector<operation> log; // committed as one command
    std::vector<logged_ends> ends;
    std::vector<order> orders;
};

// Load of one pool, for admission control and for VM moves.
struct pool_load {
    std::int64_t capacity = 0;     // thousandths of a core available to short tasks
    std::int64_t arriving_cpu = 0; // of VMs moving to the pool or idle in standby
    std::int64_t waiting_work = 0; // thousandths of a core times ms, of tasks not started
    std::int64_t ready_work = 0;   // part of `waiting_work` that may start now
    std::int64_t in_demand = 0;    // thousandths of a core of tasks that run or are ready to run
    running_work running;          // of short tasks
    std::size_t workers = 0;
    backlog_by_workspace backlog; // parts of `waiting_work`; empty without workspaces
};

// Event counts since the process started.
struct controller_counters {
    std::uint64_t starts = 0;             // orders to start a run
    std::uint64_t placed_tasks = 0;       // starts proposed to the log
    std::uint64_t placement_searches = 0; // of a pool for one task
    std::uint64_t candidates_checked = 0; // workers looked at in them
    std::uint64_t reservations = 0;       // of workers, counted in each round
    std::uint64_t runs_reviewed = 0;
    std::uint64_t unconfirmed_starts = 0;                   // not confirmed by the worker
    std::array<std::uint64_t, run_end_names.size()> ends{}; // by run_end
    std::uint64_t lost_runs = 0;
    std::uint64_t stalled_runs = 0;
    std::uint64_t quarantined_workers = 0;
    std::uint64_t silent_workers = 0;
};

// Time until `work` that waits in a pool has started; `move_time` is the time until arriving VMs
// are usable.
time_ms expected_wait(const pool_load& load, std::int64_t work, time_ms move_time);

// Time by which waiting delays a job that is accepted now and whose critical path is
// `critical_path`.
//
// Load pattern: jobs of several steps in a surge. Later steps of the accepted jobs are waiting work
// that cannot start yet, so the pool may have idle workers while that work exceeds what it does in
// the allowed wait.
time_ms expected_delay(const pool_load& load, time_ms critical_path, time_ms move_time);

class controller {
  public:
    controller(const job_table& table, controller_settings settings);

    // Starts leading under the fencing number `fence`.
    void start_leading(std::uint64_t fence, time_ms now, time_ms wall);
    void stop_leading();
    bool leading() const { return fence_ != 0; }
    std::uint64_t fence() const { return fence_; }

    // Handles a worker's announcement; returns false if it is out of date, or of another writer.
    bool observe(const worker_report& report, time_ms now);
    // Handles a notice that a worker is shutting down. Unless this life has announced that it
    // drains, it gets no new runs, and keeps those that it has, until it shows whether it stays.
    void observe_leaving(const std::string& id, time_ms now);
    // Handles the proof that a worker has started again under its id: another life, which started
    // at `started_at`, has answered an order to `former`.
    void observe_next_life(const worker_ref& former, std::int64_t started_at, std::uint64_t fence,
                           time_ms now);
    void observe(const hold_order& order, order_answer answer, const worker_lists& lists,
                 time_ms sent_at, time_ms received_at);
    void observe(const start_order& order, order_answer answer, time_ms now);
    void observe(const stop_order& order, order_answer answer, time_ms now);
    void observe(const pace_order& order, order_answer answer, time_ms now);
    void observe(const advise_order& order, order_answer answer,
                 const std::vector<placement_ticket>& tickets, time_ms valid, time_ms now);
    void observe(const move_order& order, order_answer answer, time_ms now);
    void observe(const upkeep_order& order, order_answer answer, time_ms now);
    void observe(const list_vms_order& order, const std::vector<vm_report>& vms,
                 order_answer answer, time_ms now);
    // Handles a command applied by this replica, as leader or follower.
    void applied(const command& value, time_ms now, time_ms wall);
    // Records a submitted job for the load estimate, accepted or not.
    void record_offered_job(const queue_config& queue, const workspace_config* workspace,
                            const std::string& id, const job_spec& spec, time_ms now);
    // Handles the commit of operations from `decide`; `accepted` holds the result of the job table
    // for each. Returns the orders that waited for the commit.
    std::vector<order> committed(const decisions& done, const std::vector<bool>& accepted,
                                 time_ms now);

    // `wall` is the wall clock, used for scheduled jobs.
    decisions decide(time_ms now, time_ms wall);
    // False for an order to a worker that must not be sent any more: this node leads no longer or
    // again, the life that it was for has ended, or its run is no longer wanted.
    bool is_wanted(const order& value) const;

    // Decides whether to accept a new job of a queue and of a workspace, if any. `order_delay`:
    // time from a decision to the order that carries it out.
    admission check_admission(const queue_config& queue, const workspace_config* workspace,
                              const std::string& id, const job_spec& spec, time_ms order_delay,
                              time_ms now);
    // Tells how a job would be admitted now, and where its first tasks would be placed in the next
    // round, by the decision code on a copy of this controller. Changes nothing.
    placement_explanation explain(const queue_config& queue, const workspace_config* workspace,
                                  const job_spec& spec, time_ms order_delay, time_ms now) const;
    // Records that a job was accepted, with the wait that `check_admission` expected.
    void record_accepted_job(const std::string& id, const std::string& pool, time_ms wait,
                             time_ms now);
    const pool_load& load_of(const std::string& pool, time_ms now);
    const std::map<std::string, worker>& workers() const { return workers_; }
    // Present use of the workspaces, including starts that may have been carried out.
    workspace_account count_use(time_ms now) const;
    const controller_counters& counters() const { return counters_; }
    // Pool of a job's queue, or the pool stored in the job if its queue was removed.
    const std::string& pool_of(const job& item) const;
    // Number of accepted jobs of a queue that have not started.
    std::size_t pending_jobs(const std::string& queue) const;

  private:
    struct ready_step {
        const job* owner = nullptr;
        const queue_config* queue = nullptr; // nullptr if it was removed
        std::uint32_t occurrence = 0;
        std::uint32_t step = 0;
        bool long_running = false;
        bool too_late = false;   // cannot meet its latency target any more, by its estimates
        bool over_share = false; // its workspace occupied more than its share before the round
        bool started = false;
        std::uint32_t unplaced = 0; // tasks without a worker
        time_ms slack{0};
        time_ms run_time{0};   // expected, of one task
        time_ms room_delay{0}; // until it is expected to have room; 0 if nothing is reserved
    };

    // What the rounds need to know of an open job, until an operation changes the job.
    struct job_view {
        const queue_config* queue = nullptr; // nullptr if it was removed
        time_ms due{0};                      // wall clock, less the remaining critical path
        time_ms critical_path{0};
        std::vector<ready_step> steps; // ready, with tasks that wait
    };

    // Answers of the advice service for one step.
    struct advice {
        std::map<worker_ref, std::string> tickets;
        std::set<std::string> asked_workers; // workers named in calls so far
        time_ms valid_until{0};
        time_ms retry_at{0}; // after a failed call
        bool under_way = false;
    };

    worker* worker_of(const worker_ref& ref);
    worker* find_answering_worker(const worker_ref& ref, std::uint64_t fence, order_answer answer);
    bool find_advised_workers(const ready_step& item, const std::vector<worker*>& pool,
                              std::vector<worker*>& allowed, time_ms now);
    void ask_advice(const ready_step& item, const std::vector<worker*>& pool, advice& known);
    std::string ticket_for(const task_id& task, const worker_ref& target) const;
    void inherit_runs(time_ms now, time_ms wall);
    time_ms granted_lease() const;
    time_ms foreign_lease() const;
    time_ms foreign_lease_left(const worker_ref& life, time_ms wall) const;
    void mark_expired_runs_lost(worker& silent, time_ms now);
    void inherit_load(time_ms now, time_ms wall);
    void mark_runs_lost(worker& gone, const char* reason);
    void replace_life(worker& ended, std::int64_t started_at, const std::string& address,
                      time_ms now);
    void settle_start_for_former_life(const start_order& order, order_answer answer);
    void end_expired_lives(time_ms now);
    void drop_worker(const std::string& id);
    void restore_dropped_life(worker& added, const std::string& id) const;
    bool is_in_known_pool(const worker_report& report) const;
    void set_address(worker& target, const std::string& address);
    void end_former_holders(const worker& holder, time_ms sent_at);
    // `reason` is logged.
    void mark_lost(worker& target, const run_key& key, const char* reason);
    void record_acknowledgement(worker& from, const worker_lists& lists);
    void resolve_listed(worker& from, const worker_lists& lists, time_ms sent_at, time_ms now);
    static void note_progress(live_run& run, int percent, time_ms now);
    void resolve_absent(worker& from, const worker_lists& lists, time_ms sent_at);
    void record_ends(worker& from, const worker_lists& lists, time_ms now);
    void pace_best_effort_runs(worker& target, time_ms now);
    void record_success(worker& target);
    void record_failure(worker& target, const std::string& job, time_ms now, const char* reason);
    void review_workers(time_ms now);
    void review_runs(worker& target, time_ms now);
    void request_review(const job& changed);
    void note_changed_job(const operation& value);
    void review_run(worker& target, live_run& run, time_ms now);
    bool is_current(const worker& target, const live_run& run) const;
    void issue_start(worker& target, live_run& run, time_ms now);
    void issue_stop(worker& target, live_run& run, time_ms now);
    void issue_holds(time_ms now);
    std::vector<ready_step> ready_steps(time_ms now, time_ms wall);
    void note_room_delays(std::vector<ready_step>& steps, time_ms now) const;
    void refresh_views(time_ms wall);
    job_view view_of(const job& item, time_ms wall) const;
    std::uint32_t count_starting(const ready_step& item) const;
    // Pools of one round of placement.
    struct placement_round {
        std::map<std::string, candidate_pool> pools;
        std::set<const candidate_pool*> sorted;
        std::int64_t largest_cpu = 0;                   // of a worker
        const std::vector<ready_step>* steps = nullptr; // all of the round, in their order
        // Once a cap holds a step back, the room under the cap that becomes free is left to that
        // step: smaller tasks of the workspace would take it again and again.
        std::set<std::string_view> held_workspaces;
    };
    // A job whose placement is recorded.
    struct explained_job {
        const job& owner;
        placement_explanation& out;
    };
    void place(time_ms now, time_ms wall, explained_job* explained = nullptr);
    void place_in_turn(const ready_step& item, placement_round& round, time_ms now);
    void explain_in_turn(const ready_step& item, std::size_t turn, placement_round& round,
                         explained_job& explained, time_ms now);
    candidate_pool& pool_in(placement_round& round, const ready_step& item) const;
    bool is_held_by_cap(const ready_step& item) const;
    void hold_workspace(const ready_step& item, placement_round& round, time_ms now);
    std::map<std::string, pool_load> measure_loads() const;
    std::map<std::string, pool_demand> measure_demand(time_ms now);
    std::map<std::string, std::vector<waiting_step>> waiting_steps(time_ms wall);
    struct offered_rates {
        std::int64_t kept = 0;
        std::int64_t arrival = 0;
        std::int64_t soon = 0;
        bool turn_over = false;
    };
    offered_rates estimate_offered_rates(const std::string& pool, time_ms now, time_ms ahead,
                                         time_ms rest_time) const;
    std::int64_t blocked_demand(const ready_step& item, std::int64_t cpu) const;
    std::size_t active_pools() const;
    void end_life_on_vm(const std::string& vm, order_effect effect, time_ms now);
    void end_vanished_life(const vm_report& listed, time_ms asked_at, time_ms now);
    static void observe_staying(worker& item);
    bool is_starting(const ready_step& item) const;
    void reserve_room(const ready_step& item, candidate_pool& pool, time_ms now);
    static time_ms expected_run_time(const step_spec& step, double rate);
    static time_ms latest_run_end(const ready_step& item, time_ms now);
    void reserve_ahead(const ready_step& item, std::uint32_t tasks,
                       const std::vector<ready_step>& steps, candidate_pool& pool, time_ms now);
    std::vector<worker*> find_reservable(const reservation_request& request,
                                         const std::string& pool_name, const candidate_pool& pool,
                                         time_ms now);
    bool take_room_hold(const ready_step& item, time_ms begins_at, time_ms now);
    resources smallest_need(const std::vector<ready_step>& steps, const std::string& pool,
                            time_ms now);
    bool is_gang_startable(const ready_step& item) const;
    pool_room& room_of(const std::string& pool, time_ms now);
    time_ms room_wait(const std::string& pool, const job_spec& spec, const pool_load& load,
                      time_ms now);
    time_ms load_limit() const;
    void place_step(const ready_step& item, candidate_pool& pool, std::int64_t largest_cpu,
                    time_ms now);
    void place_ready_step(const ready_step& item, candidate_pool& pool, std::int64_t largest_cpu,
                          time_ms now);
    bool place_gang(const ready_step& item, candidate_pool& pool, time_ms now);
    void propose_start(const job& owner, const task_id& id, const task& item, worker& target,
                       std::uint32_t run, time_ms now);
    std::string preferred_rack(const ready_step& item) const;
    double estimate_rate(const std::string& queue) const;

    void record_first_start(const std::string& id, time_ms now);
    double wait_ratio(const std::string& pool, const std::string& workspace) const;
    resources add_job_load(const job& item, pool_load& load) const;
    struct work_allowance {
        std::int64_t work = 0; // thousandths of a core times ms
        time_ms refilled_at{0};
    };
    // Load of a queue's pool with the waiting work that is served before new work of a workspace:
    // all of it without one. `first`: the part of `work` that is ready at once.
    pool_load load_ahead(const queue_config& queue, const workspace_config* workspace,
                         std::int64_t work, std::int64_t first) const;
    time_ms wait_for_cap(const workspace_config& workspace) const;
    work_allowance& refill_allowance(const workspace_config& workspace, time_ms now);

    const job_table& table_;
    controller_settings settings_;
    std::uint64_t fence_ = 0;
    time_ms leading_since_{0};
    time_ms wall_offset_{0};                // of the wall clock from the local one
    bool follows_a_leader_ = false;         // jobs were in the table when this node began to lead
    std::map<std::string, worker> workers_; // by id; the newest life of each
    std::unordered_multimap<std::string, std::string> ids_by_address_;
    // Of the last round; none without workspaces or ready steps.
    std::optional<workspace_account> account_;
    std::map<std::string, std::int64_t> blocked_cpu_; // by pool; see pool_demand::blocked
    std::map<task_id, advice> advice_;                // by the first task of the step
    int pending_advice_calls_ = 0;
    std::map<std::string, job_view> views_;        // open jobs with ready steps, by id
    std::set<std::string> changed_jobs_;           // whose view is out of date
    std::set<std::string> scheduled_jobs_;         // open jobs that become ready with time
    std::set<task_id> starting_;                   // starts proposed to the log and not committed
    std::map<task_id, std::string> failed_on_;     // worker on which the task failed last
    std::map<std::string, double> estimate_rates_; // by queue: ratio of actual to estimated time
    struct expected_start {
        std::string pool;
        time_ms wait{0};
        time_ms accepted_at{0};
    };
    std::map<std::string, expected_start> expected_starts_; // by job, until its first start
    // By pool and workspace: actual to expected wait, at least 1. The late jobs of one workspace
    // say nothing about the waits of the others.
    std::map<std::pair<std::string, std::string>, double> wait_ratios_;
    double start_latency_ = 0; // moving average in ms, from the decision to the worker's answer
    std::map<std::string, pool_load> loads_;
    time_ms loads_measured_at_{0};
    std::map<std::string, pool_room> rooms_; // by pool; measured again when the loads would be
    struct smallest_waiting {
        time_ms at{0}; // time of the search
        resources need;
    };
    std::map<std::string, smallest_waiting> smallest_needs_; // by pool
    reservation_times reservation_times_;
    // Of steps that a cap holds back: how long they keep the room under it for themselves.
    reservation_times cap_hold_times_{max_cap_hold, cap_hold_pause};
    // Until when a long-running step holds room of a worker, and the pause after that.
    std::map<step_key, time_ms> room_holds_;
    // When the steps with reservations in the last round are expected to have room.
    std::map<step_key, time_ms> expected_room_;
    // What the next lives of workers that were dropped may still carry out, by id.
    struct dropped_life {
        worker_ref ref;
        std::vector<loose_start> loose_starts;
        time_ms open_lease_at{0};
        time_ms open_acknowledgement_at{0}; // see worker::last_open_acknowledgement
    };
    std::map<std::string, dropped_life> dropped_lives_;
    // Lives that ended because their VM was moved or taken down, with the time of their end.
    std::map<worker_ref, time_ms> ended_lives_;
    // What each workspace with a cap may add to the offered load, by name.
    std::map<std::string, work_allowance> work_allowances_;
    paid_rate paid_rate_;
    offered_load offered_load_;
    job_arrivals arrivals_;
    turn_forecast turns_;
    vm_manager vms_;
    time_ms vms_planned_at_{0};
    time_ms reviewed_at_{0};
    time_ms all_reviewed_at_{0}; // last review of all workers
    controller_counters counters_;
    decisions pending_decisions_;
};

} // namespace clementine::workload
