// Simulates workers, VMs and a log in virtual time around one controller, and checks the
// controller's invariants at each step. Orders take 1 ms, a commit takes 10 ms.
#pragma once

#include "base/random.h"
#include "workload/controller.h"

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <tuple>
#include <vector>

namespace clementine::workload {

struct fake_run {
    task_id task;
    std::uint32_t run = 0;
    time_ms started{0};
    time_ms work{0}; // duration; long-running tasks end only by orders
    bool long_running = false;
    resources need;
    time_ms stop_at{0}; // end of a stop in progress; 0 if none
    bool fails = false;
    int pace = 100;
    time_ms paused{0}; // time that its pace has taken from it
};

struct fake_worker {
    worker_ref ref;
    std::string vm;
    std::string pool;
    std::string address;
    std::string rack;
    resources capacity{16'000, 32'000, 0};
    bool unresponsive = false;        // answers nothing, but its runs continue
    bool unreachable = false;         // connections to it hang, and its runs continue
    bool answers_starts_only = false; // its announcements and answers to other orders are lost
    bool draining = false;
    bool fails_all = false;
    bool stalls_all = false;
    std::int64_t tail = 0;          // tail latency of its long-running tasks
    bool pace_answers_lost = false; // pace orders are carried out without an answer
    time_ms started_at{0};
    double clock_rate = 1.0;
    std::uint64_t sequence = 0;
    std::uint64_t fence = 0;
    time_ms contacted_at{0}; // first hold in this life; 0 if none
    time_ms lease_until{0};
    std::uint64_t last_end = 0;
    std::vector<fake_run> runs;
    std::vector<ended_task> ended;
    std::map<task_id, std::uint32_t> barred; // runs up to this number are refused

    time_ms clock(time_ms now) const {
        return static_cast<time_ms>(static_cast<double>(now - started_at) * clock_rate);
    }
};

struct fake_vm {
    std::string name;
    std::string pool;
    std::string rack;
    vm_state state = vm_state::up;
    time_ms back_at{0};
    std::string worker; // worker id while up
    std::set<std::uint64_t> upkept_waves;
};

struct fleet_options {
    std::uint64_t seed = 1;
    std::vector<std::pair<std::string, int>> pools{{"a", 4}, {"b", 4}};
    std::string standby = "spare";
    int standby_vms = 2;
    bool vm_orders = true;      // false for fixed pools
    bool forecast_turns = true; // VMs move ahead of expected surges
    demand_model demand = demand_model::counted_jobs;
    // See controller_settings.
    std::function<std::int64_t(const std::string&, time_ms, time_ms)> known_rate{};
    resources vm_capacity{16'000, 32'000, 0};
    lookahead placement = lookahead::backfill;
    double estimate_error = 0;   // a run takes its estimate times 1 -+ this at most
    bool advice = false;         // queue qa needs placement advice
    time_ms max_lease{10'000};   // longest lease that a worker grants
    double late_order_share = 0; // orders unanswered and carried out 2 to 12 s late
    // Late orders also reach a next life before the leader does. Nothing bars them there, so tasks
    // may run twice.
    bool unbarred_orders = false;
    // Share of the answers to other orders than holds that tell the life of the worker.
    double life_in_answers = 0;
    time_ms start_up_time{200};  // until a long-running task is at work
    time_ms vm_order_time{1};    // until the platform carries out an order about a VM
    double vm_answer_loss = 0;   // share of VM orders that are carried out without an answer
    double vm_decline_share = 0; // share of VM orders that the platform has no capacity for
    double commit_loss = 0;      // share of a replaced leader's commands that are not committed
};

class fake_fleet {
  public:
    explicit fake_fleet(fleet_options options);

    time_ms now() const { return now_; }
    const job_table& table() const { return table_; }
    controller& control() { return *controller_; }
    void run_for(time_ms span);
    // Submits a job to the leader; returns false if it was rejected.
    bool submit(const std::string& queue, const std::string& id, job_spec spec,
                const std::string& workspace = {});
    // Puts a configuration with these workspaces in force.
    void set_workspaces(std::vector<workspace_config> workspaces);
    // Resources of the tasks that the workers run for a workspace.
    resources use_of(const std::string& workspace) const;
    // Logs a job as accepted, without admission control.
    void accept(const std::string& queue, const std::string& id, job_spec spec,
                const std::string& workspace = {});
    void cancel(const std::string& id);
    void order_wave(wave_order order);
    // Replaces the leader by a new one that starts after a pause and an election.
    void replace_leader(time_ms pause);
    void set_unresponsive(const std::string& worker, bool unresponsive);
    // Ends the worker's process; its VM starts one under a new id at once.
    void crash(const std::string& worker);
    // Ends the worker's process and starts it again under its id and address. The new life knows
    // nothing of before.
    void restart(const std::string& worker);
    // Ends the worker's process and starts it again as above after `span`. Until then the platform
    // lists its VM as down, and calls to its address are refused.
    void restart_after(const std::string& worker, time_ms span);
    // Ends the worker's process; calls to its address are refused.
    void shut_down(const std::string& worker);
    // Ends the worker's process; its VM starts one under a new id at the same address.
    void replace_at_address(const std::string& worker);
    // Announcement of the worker, as it would be sent now.
    worker_report report_of(const std::string& worker);
    // Cuts the power of the worker's VM for `span`; the platform lists it as down.
    void lose_power(const std::string& worker, time_ms span);
    std::map<std::string, fake_worker>& workers() { return workers_; }
    std::map<std::string, fake_vm>& vms() { return vms_; }
    const std::vector<std::string>& violations() const { return violations_; }
    int advice_calls() const { return advice_calls_; }
    // True if the advice service allows runs on a worker.
    static bool is_allowed(const std::string& worker);
    // First start of a task on a worker; 0 if none.
    time_ms first_start(const task_id& task) const;
    int moves() const { return moves_; }
    // Time that VMs have spent in other pools than standby, over all VMs.
    time_ms vm_time_in_pools() const { return vm_time_in_pools_; }
    int upkeeps() const { return upkeeps_; }
    // Time of the latest upkeep's end that was ordered so far.
    time_ms last_upkeep_end() const { return last_upkeep_end_; }
    // Mean real time of a decision round, for benchmarks.
    double mean_round_us() const;
    // Drains the worker's VM and removes it after `span`.
    void decommission(const std::string& worker, time_ms span);
    // Announces a worker at once, as it does when it begins to drain.
    void announce_now(const std::string& worker) { announce(workers_.at(worker)); }
    int declined_orders() const { return declined_orders_; } // VM orders answered as busy
    // Applies an announcement made by another node.
    void announce_from_other_node(const std::string& vm, const std::string& node);
    // Carries out an upkeep whose answer no leader gets.
    void take_down_for_upkeep(const std::string& vm, std::uint64_t wave);
    bool leader_paused = false;   // no leader makes decisions
    bool vm_lists_fail = false;   // requests for the VM list go unanswered
    bool vm_answers_lost = false; // VM orders are carried out without an answer
    bool platform_busy = false;   // all VM orders are declined

  private:
    struct event {
        time_ms at{0};
        std::function<void()> run;
    };

    void schedule(time_ms when, std::function<void()> run);
    void start_worker(fake_vm& target);
    void end_worker(const std::string& id);
    void step();
    void advance_runs(fake_worker& item);
    void end_run_on(fake_worker& item, std::size_t index, run_end how);
    void forget_ends(fake_worker& target, std::uint64_t last_seen);
    void announce(fake_worker& item);
    void run_decision_round();
    void commit(decisions made);
    void deliver(order value);
    template <class Order>
    void call_worker(const Order& value);
    template <class Order>
    void report_answer(const Order& value, order_answer answer, const worker_lists& lists,
                       std::int64_t next_life, time_ms sent, std::uint64_t term);
    order_answer execute(fake_worker& target, const start_order& value);
    order_answer execute(fake_worker& target, const stop_order& value);
    order_answer execute(fake_worker& target, const pace_order& value);
    template <class Order>
    bool is_unbarred(const Order& value, bool late, const fake_worker& target);
    worker_lists lists_of(const fake_worker& target) const;
    bool is_answered_at(const std::string& address) const;
    void call_vm(const move_order& value);
    void call_vm(const upkeep_order& value);
    void advise(const advise_order& value);
    void take_down(fake_vm& item, std::uint64_t wave);
    bool declines_vm_orders();
    template <class Order>
    void answer_vm_order(const Order& value, order_answer answer);
    bool accept_fence(fake_worker& target, std::uint64_t fence);
    void check_start(const fake_worker& target, const start_order& value);
    void check_cap(const task_id& started, std::uint32_t run);
    void check_availability(const fake_worker& target, const char* by);
    void check_stop(const fake_worker& target, const fake_run& run);
    std::uint32_t count_away(const task_id& task, const std::set<task_id>& ending) const;
    bool is_at_work(const fake_run& run) const;
    const step_spec& spec_of(const task_id& id) const;
    void violation(const std::string& text);

    fleet_options options_;
    random_source random_;
    time_ms now_{1'000};
    std::uint64_t term_ = 1;
    job_table table_;
    std::unique_ptr<controller> controller_;
    std::map<std::string, fake_worker> workers_;
    std::map<std::string, fake_vm> vms_;
    std::set<std::string> refusing_addresses_;
    std::set<std::tuple<worker_ref, task_id, std::uint32_t>> delayed_stops_; // and no other arrived
    std::multimap<time_ms, std::function<void()>> events_;
    std::vector<std::string> violations_;
    std::map<task_id, std::set<std::uint32_t>> done_runs_;
    std::map<task_id, time_ms> first_starts_;
    std::set<task_id> logged_ends_;             // tasks whose successful end is in the log
    std::set<task_id> acknowledged_ends_;       // tasks whose successful end was acknowledged
    std::map<std::string, job_spec> specs_;     // of all submitted jobs
    std::map<std::string, std::string> owners_; // workspaces of all submitted jobs, by job
    // Order of the decisions to start runs, and the cap in force at each.
    struct start_decision {
        std::int64_t number = 0;
        resources cap;
    };
    std::map<run_key, start_decision> start_decisions_;
    std::int64_t start_decision_count_ = 0;
    std::set<std::string> capped_workspaces_;      // at any time
    std::map<task_id, time_ms> unavailable_since_; // of long-running tasks, any cause
    std::set<task_id> ended_by_order_;             // of those, ended by a stop or a VM order
    int next_worker_ = 0;
    int next_port_ = 1;
    int moves_ = 0;
    time_ms vm_time_in_pools_{0};
    int declined_orders_ = 0;
    int advice_calls_ = 0;
    int upkeeps_ = 0;
    time_ms last_upkeep_end_{0};
    std::int64_t rounds_ = 0;
    double rounds_us_ = 0;
    std::uint64_t vm_fence_ = 0;
};

// A queue qX on each pool X, and a standby pool.
configuration fake_configuration(const std::vector<std::pair<std::string, int>>& pools);
// A step of `count` tasks.
step_spec make_step(std::uint32_t count, std::int64_t cpu, time_ms work);
step_spec make_long_running_step(std::uint32_t count, std::int64_t cpu,
                                 std::uint32_t max_unavailable);

} // namespace clementine::workload
