// Decisions of the leading control node about jobs and workers. Without input or output: what was
// observed and the time go in; operations for the log and orders come out of `decide`.
//
// A start is logged before its order leaves, so that a later leader knows of every run that may
// exist. An end is acknowledged to the worker once it is in the log.
#pragma once

#include "workload/admission.h"
#include "workload/offered_load.h"
#include "workload/placement.h"
#include "workload/vm_manager.h"

#include <array>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace clementine::workload {

struct controller_settings {
    time_ms stop_time{0};    // longest time that a worker takes to stop a run
    time_ms restore_time{0}; // until a task that resumes from a checkpoint is at work
    vm_settings vms;
};

// Ends up to `number` on one worker, whose operations are part of the same decisions.
struct logged_ends {
    worker_ref worker;
    std::uint64_t number = 0;
};

struct decisions {
    std::vector<operation> log; // to be committed as one command
    std::vector<logged_ends> ends;
    std::vector<order> orders;
};

// Load of one pool, for admission and for moves.
struct pool_load {
    std::int64_t capacity = 0;     // thousandths of a core that short tasks may use
    std::int64_t arriving_cpu = 0; // and of VMs that are on their way, or could be
    std::int64_t waiting_work = 0; // thousandths of a core times ms of tasks that were not started
    std::int64_t in_demand = 0;    // processor of tasks that run or could run now
    std::size_t workers = 0;
};

// What happened since the process started.
struct controller_counters {
    std::uint64_t starts = 0;                               // orders to start a run
    std::uint64_t unconfirmed_starts = 0;                   // without a clear answer
    std::array<std::uint64_t, run_end_names.size()> ends{}; // by run_end
    std::uint64_t lost_runs = 0;
    std::uint64_t stalled_runs = 0;
    std::uint64_t quarantined_workers = 0;
    std::uint64_t silent_workers = 0;
};

// Time until work that comes now can start; `move_time` until arriving VMs are there.
time_ms expected_wait(const pool_load& load, time_ms move_time);

class controller {
  public:
    controller(const job_table& table, controller_settings settings);

    // This node leads from now on, under a new fence.
    void start_leading(std::uint64_t fence, time_ms now, time_ms wall);
    void stop_leading();
    bool leading() const { return fence_ != 0; }
    std::uint64_t fence() const { return fence_; }

    // A worker announced itself; false if the announcement is out of date.
    bool observe(const worker_report& report, time_ms now);
    // A worker said that it ends.
    void observe_leaving(const std::string& id, time_ms now);
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
    // A command was applied by this replica, whether it leads or not.
    void applied(const command& value, time_ms now, time_ms wall);
    // A job was offered, whether it is taken or not.
    void record_offered_job(const queue_config& queue, const std::string& id, const job_spec& spec,
                            time_ms now);
    // The operations of a `decide` were committed; `accepted` as told by the job table. The orders
    // that waited for it.
    std::vector<order> committed(const decisions& done, const std::vector<bool>& accepted,
                                 time_ms now);

    // `wall` is the wall clock, for scheduled jobs.
    decisions decide(time_ms now, time_ms wall);

    // Whether to take a new job of a queue.
    admission check_admission(const queue_config& queue, const job_spec& spec, time_ms now);
    const pool_load& load_of(const std::string& pool, time_ms now);
    const std::map<std::string, worker>& workers() const { return workers_; }
    const controller_counters& counters() const { return counters_; }
    // Queue of a job in force, or its pool alone if the queue is gone.
    const std::string& pool_of(const job& item) const;
    // Accepted jobs of a queue that have not begun.
    std::size_t pending(const std::string& queue) const;

  private:
    struct ready_step {
        const job* owner = nullptr;
        std::uint32_t occurrence = 0;
        std::uint32_t step = 0;
        bool long_running = false;
        bool hopeless = false; // cannot be on time any more
        bool begun = false;
        time_ms slack{0};
    };

    // What the advice service said about a step.
    struct advice {
        std::map<worker_ref, std::string> tickets;
        std::set<std::string> asked; // workers named so far
        time_ms valid_until{0};
        time_ms retry_at{0}; // after a call without an answer
        bool under_way = false;
    };

    worker* worker_of(const worker_ref& ref);
    worker* answering(const worker_ref& ref, std::uint64_t fence, order_answer answer);
    bool advised(const ready_step& item, const std::vector<worker*>& pool,
                 std::vector<worker*>& allowed, time_ms now);
    void ask_advice(const ready_step& item, const std::vector<worker*>& pool, advice& known);
    std::string ticket_for(const task_id& task, const worker_ref& on) const;
    void inherit_runs(time_ms now);
    void inherit_load(time_ms now, time_ms wall);
    void forget_life(worker& gone, const char* reason);
    void retire_lives(time_ms now);
    void drop_worker(const std::string& id);
    void lose(worker& on, const run_key& key);
    void resolve_listed(worker& from, const worker_lists& lists, time_ms sent_at, time_ms now);
    void resolve_absent(worker& from, const worker_lists& lists, time_ms sent_at);
    void take_ends(worker& from, const worker_lists& lists, time_ms now);
    void pace_fillers(worker& on, time_ms now);
    void record_success(worker& on);
    void record_failure(worker& on, const std::string& job, time_ms now, const char* reason);
    void review_runs(worker& on, time_ms now);
    void review_run(worker& on, live_run& run, time_ms now);
    bool is_current(const worker& on, const live_run& run) const;
    void issue_start(worker& on, live_run& run, time_ms now);
    void issue_stop(worker& on, live_run& run, time_ms now);
    void issue_holds(time_ms now);
    std::vector<ready_step> ready_steps(time_ms wall) const;
    void place(time_ms now, time_ms wall);
    std::map<std::string, pool_load> measure_loads() const;
    std::map<std::string, pool_demand> measure_demand(time_ms now);
    void end_life_on(const std::string& vm);
    void end_vanished_life(const vm_report& listed, time_ms asked_at);
    bool is_waiting(const ready_step& item) const;
    static void keep_room(const ready_step& item, std::vector<worker*>& pool);
    std::int64_t share_of_worker(std::int64_t cpu) const;
    void place_step(const ready_step& item, std::vector<worker*>& pool, time_ms now);
    void place_advised(const ready_step& item, std::vector<worker*>& pool, time_ms now);
    bool place_gang(const ready_step& item, std::vector<worker*>& pool, time_ms now);
    void propose_start(const task_id& id, const task& item, worker& on, std::uint32_t run,
                       time_ms now);
    std::string preferred_rack(const ready_step& item) const;
    double estimate_rate(const std::string& queue) const;

    void add_job_load(const job& item, pool_load& load) const;

    const job_table& table_;
    controller_settings settings_;
    std::uint64_t fence_ = 0;
    time_ms lead_since_{0};
    std::map<std::string, worker> workers_;         // by id, the newest life
    std::map<std::string, std::string> at_address_; // address -> id
    std::vector<worker> old_lives_; // superseded lives whose runs may still hold a lease
    std::map<std::string, std::int64_t> blocked_; // by pool: see pool_demand
    std::map<task_id, advice> advice_;            // by the first task of the step
    int advice_under_way_ = 0;
    std::set<task_id> starting_;                   // proposed to the log
    std::map<task_id, std::string> failed_on_;     // worker on which a task failed last
    std::map<std::string, double> estimate_rates_; // by queue: actual time for a ms of estimate
    std::map<std::string, pool_load> loads_;
    time_ms loads_measured_at_{0};
    std::set<worker_ref> ended_lives_; // their VMs were ordered away
    offered_load load_seen_;
    vm_manager vms_;
    time_ms vms_planned_at_{0};
    time_ms reviewed_at_{0};
    controller_counters counters_;
    decisions out_;
};

} // namespace clementine::workload
