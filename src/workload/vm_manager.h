// Decides which VMs move between pools, idle in a standby pool or go down for maintenance (upkeep).
//
// Load pattern: one queue at a time needs more than its pool holds, while the other pools are
// nearly idle; maintenance waves run at the same time. Only VMs without runs are moved. A VM with
// long-running tasks goes down only while enough other tasks of their steps are available.
#pragma once

#include "workload/orders.h"
#include "workload/wave_plan.h"
#include "workload/worker_table.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace clementine::workload {

struct vm_settings {
    std::string node;               // this node, as the holder of VM orders
    bool orders_enabled = false;    // the platform accepts orders about VMs
    time_ms holder_change_pause{0}; // pause between the orders of two holders
    time_ms move_time{0};           // time for which a moving VM is unavailable
    time_ms upkeep_time{0};
};

// Capacity that a pool needs.
struct pool_demand {
    std::int64_t wanted = 0;  // processor for short tasks, in thousandths of a core
    std::int64_t soon = 0;    // as `wanted`, expected before a VM could leave and come back
    std::int64_t arrival = 0; // as `wanted`, when a VM that is ordered now has arrived
    std::int64_t blocked = 0; // processor of tasks that no worker can hold, long-running or not
    // A shortage of at most this much is not worth the cost of a move.
    std::int64_t tolerance = 0;
    bool turn_over = false; // no surge is expected before VMs that rest now have paid off
};

// What the answer to a VM order shows about the worker that was on the VM.
enum class order_effect {
    none,    // nothing: the order was declined, or has no answer
    ended,   // the order has ended that worker
    unclear, // it has ended it, or an earlier order had been carried out before
};

struct managed_vm {
    vm_report report;
    bool order_under_way = false;
    bool repeats_order = false; // the order under way may repeat one that was carried out
    time_ms ordered_at{0};
    time_ms sent_at{0};           // when the latest order was handed over for sending
    bool ordered = false;         // by this leader
    bool ordered_before = false;  // by an earlier leader; the outcome of its orders is unknown
    bool move_unanswered = false; // and none was confirmed since
    std::set<std::uint64_t> unanswered_waves; // waves with an upkeep that has no answer
    std::optional<order> announced;           // order to be sent once its announcement is committed
    std::optional<std::string> moving_to;     // target pool, until the VM list shows the VM there
    std::uint64_t upkeep_wave = 0; // wave of an order whose VM is not back yet; 0 if none
    std::string last_worker;       // worker listed on the VM last, even if it is gone
    bool worker_left = false;      // that worker announced its shutdown
    time_ms retry_at{0};           // set when the platform declined an order
    time_ms idle_since{0};         // 0 if not idle
    time_ms listed_at{0};
    time_ms reserved_since{0};   // for an upkeep that is not ordered yet; 0 if it is not
    time_ms reservable_at{0};    // later than now if the last reservation was given up
    worker* vm_worker = nullptr; // worker on the VM; valid while a plan is made
};

// Room that a worker keeps for a task that leaves another VM, until the task is assigned again.
struct task_room {
    std::uint32_t run = 0; // that ends
    std::string from;      // worker of that run
    std::string worker;    // with the room
    resources need;
    time_ms kept_until{0};
};

// Numbers of available long-running tasks on all workers, by step.
std::map<step_key, std::uint32_t>
count_available_tasks(const std::map<std::string, worker>& workers);

class vm_manager {
  public:
    vm_manager(const job_table& table, vm_settings settings);

    void start_leading(std::uint64_t fence, time_ms now, time_ms wall);
    void observe(const std::vector<vm_report>& vms, order_answer answer, time_ms now);
    order_effect observe(const move_order& order, order_answer answer, time_ms now);
    order_effect observe(const upkeep_order& order, order_answer answer, time_ms now);
    // Handles the proof that a worker outlived an order about its VM.
    void observe_still_up(const std::string& worker);
    // Worker on a VM in the latest list; empty if unknown.
    std::string worker_on(const std::string& vm) const;
    // Worker on a VM when it was last listed with one; empty if unknown.
    std::string last_worker_on(const std::string& vm) const;
    // Time at which this leader sent the latest order about a VM; 0 if it sent none.
    time_ms order_sent_at(const std::string& vm) const;
    // Handles an announcement applied by this replica; it was made at `announced_at` on the
    // leader's wall clock.
    void applied(const announce_vm_order& announced, time_ms announced_at, time_ms now,
                 time_ms wall);
    // Handles a worker's notice that it is shutting down.
    void observe_leaving(const std::string& worker);
    // Handles the commit of this node's announcement: appends the order to send.
    void committed(const announce_vm_order& announced, time_ms now, std::vector<order>& orders);

    // Appends operations and orders. `workers` are reserved for what is planned.
    void decide(std::map<std::string, worker>& workers,
                const std::map<std::string, pool_demand>& demand, time_ms now, time_ms wall,
                std::vector<operation>& log, std::vector<order>& orders);

    // Processor of VMs that are moving to a pool, in thousandths of a core.
    std::int64_t arriving_cpu(const std::string& pool) const;
    // Number of these VMs.
    std::size_t count_arriving(const std::string& pool) const;
    // Processor of idle VMs in standby pools, in thousandths of a core.
    std::int64_t idle_standby_cpu() const;
    time_ms move_time() const { return settings_.move_time; }
    // False until this leader has listed the VMs, if the platform provides a list.
    bool capacity_known() const { return !settings_.orders_enabled || first_listed_at_ != 0; }

  private:
    using worker_map = std::map<std::string, worker>;

    bool may_repeat(managed_vm& item, const move_order& value) const;
    bool may_repeat(managed_vm& item, const upkeep_order& value) const;
    void note_first_order(managed_vm& item) const;
    void note_earlier_waves();
    template <class Order>
    void announce(managed_vm& item, Order value, time_ms now, std::vector<operation>& log);
    order_effect record_answer(managed_vm& item, order_answer answer, time_ms now);
    bool held_by_other(const std::string& vm, time_ms now) const;
    void find_workers(worker_map& workers);
    void update_idle_times(time_ms now);
    bool is_idle(const managed_vm& item, time_ms now) const;
    bool is_removed(const std::string& vm, time_ms wave_seen_at) const;
    void update_reservations(worker_map& workers);
    void keep_room(worker_map& workers, time_ms now);
    void discount_tasks_of_others(time_ms now);
    void plan_upkeep(worker_map& workers, time_ms now, time_ms wall, std::vector<operation>& log);
    void abandon_upkeep(const wave& item, const std::string& vm, std::vector<operation>& log) const;
    void plan_wave(const wave& item, worker_map& workers, time_ms now, time_ms wall,
                   std::vector<operation>& log);
    std::vector<managed_vm*> find_due_vms(const wave& item, std::uint32_t& down, time_ms now,
                                          std::vector<operation>& log);
    void describe_due_vm(const managed_vm& item, wave_situation& out,
                         std::vector<std::vector<live_run*>>& runs, time_ms now) const;
    static void update_upkeep_reservations(const wave& item, const wave_actions& actions,
                                           const std::vector<managed_vm*>& due, time_ms now);
    void execute(const wave& item, const wave_actions& actions, const std::vector<managed_vm*>& due,
                 const std::vector<std::vector<live_run*>>& runs, time_ms now,
                 std::vector<operation>& log);
    void want_stop(worker& vm_worker, live_run& run);
    void plan_moves(const std::map<std::string, pool_demand>& demand, time_ms now,
                    std::vector<operation>& log);
    void log_pool_states(const std::map<std::string, pool_demand>& demand,
                         const std::map<std::string, std::int64_t>& supply, time_ms now);
    void order_move(managed_vm& item, const std::string& pool, time_ms now,
                    std::vector<operation>& log);

    const job_table& table_;
    vm_settings settings_;
    std::uint64_t fence_ = 0;
    std::map<std::string, managed_vm> vms_;
    std::map<step_key, std::uint32_t> available_tasks_; // while waves are planned
    std::set<std::string> standby_pools() const;
    std::set<std::pair<std::string, std::string>>
        rejected_moves_; // VM and pool, rejected as invalid
    // VMs that another node announced orders about, with the latest possible time of the
    // announcement.
    std::map<std::string, time_ms> announced_by_others_;
    std::map<task_id, task_room> task_rooms_;
    // Processor that tasks on due VMs need elsewhere, by pool.
    std::map<std::string, std::int64_t> lacking_for_waves_;
    bool shortage_ = false; // the last plan left a pool without the capacity that it wants
    bool list_under_way_ = false;
    time_ms listed_at_{0};
    time_ms first_listed_at_{0};                     // first list read by this leader
    std::set<std::uint64_t> earlier_waves_;          // other leaders may have given orders for them
    std::map<std::uint64_t, time_ms> waves_seen_at_; // by wave, since this leader leads
    time_ms list_due_at_{0};
    time_ms planned_at_{0};
    time_ms pools_logged_at_{0};
};

} // namespace clementine::workload
