// Decides which VMs move between pools, rest in a standby pool or go down for upkeep.
//
// Load pattern: one queue at a time asks for more than its pool holds, while the other pools are
// nearly idle; waves of upkeep run at the same time. Only VMs without runs are moved. A
// VM with lasting tasks goes down only while enough others of their steps are at work.
#pragma once

#include "workload/orders.h"
#include "workload/worker_table.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace clementine::workload {

struct vm_settings {
    std::string node;               // holder of the orders
    bool available = false;         // the platform takes orders about VMs
    time_ms holder_change_pause{0}; // pause between the orders of two holders
    time_ms move_time{0};           // a VM is away for this long when it moves
    time_ms upkeep_time{0};
};

// What a pool is asked to do.
struct pool_demand {
    std::int64_t wanted = 0;  // processor for short tasks, thousandths of a core
    std::int64_t blocked = 0; // processor of tasks that no worker has room for, lasting ones too
};

struct managed_vm {
    vm_report report;
    bool order_under_way = false;
    time_ms ordered_at{0};
    std::optional<order> announced;       // follows when the log has taken its announcement
    std::optional<std::string> moving_to; // until the list shows it there
    std::uint64_t upkeep_wave = 0;        // ordered and not back yet; 0: none
    std::string last_worker;              // listed there last, also if it is gone
    bool worker_left = false;             // that worker said that it ends
    time_ms retry_at{0};                  // the platform declined an order
    time_ms idle_since{0};                // 0: not idle
    time_ms listed_at{0};
};

class vm_manager {
  public:
    vm_manager(const job_table& table, vm_settings settings);

    void start_leading(std::uint64_t fence, time_ms now, time_ms wall);
    void observe(const std::vector<vm_report>& vms, order_answer answer, time_ms now);
    // True if everything on the VM's worker has ended.
    bool observe(const move_order& order, order_answer answer, time_ms now);
    bool observe(const upkeep_order& order, order_answer answer, time_ms now);
    // Worker that ran on a VM when it was last listed; empty if unknown.
    std::string worker_on(const std::string& vm) const;
    // The same when it was last listed with one.
    std::string last_worker_on(const std::string& vm) const;
    // An announcement of an order, made at `at` of the leader's wall clock, was applied by this
    // replica.
    void applied(const announce_vm_order& announced, time_ms at, time_ms now, time_ms wall);
    // A worker said that it ends.
    void observe_leaving(const std::string& worker);
    // The announcement of an order is in the log.
    void committed(const announce_vm_order& announced, time_ms now, std::vector<order>& orders);

    // Adds operations and orders. `workers` are reserved for what is planned.
    void decide(std::map<std::string, worker>& workers,
                const std::map<std::string, pool_demand>& demand, time_ms now, time_ms wall,
                std::vector<operation>& log, std::vector<order>& orders);

    // Processor of VMs that are on their way to a pool, in thousandths of a core.
    std::int64_t arriving_cpu(const std::string& pool) const;
    // Processor of idle VMs in standby pools.
    std::int64_t idle_standby_cpu() const;
    time_ms move_time() const { return settings_.move_time; }
    // False until this leader has listed the VMs, if there is a list at all.
    bool capacity_known() const { return !settings_.available || first_listed_at_ != 0; }

  private:
    using worker_map = std::map<std::string, worker>;

    void announce(managed_vm& item, order value, time_ms now, std::vector<operation>& log);
    bool held_by_other(const std::string& vm, time_ms now) const;
    void note_idle(const worker_map& workers, time_ms now);
    const worker* worker_of(const managed_vm& item, const worker_map& workers) const;
    bool is_idle(const managed_vm& item, const worker_map& workers, time_ms now) const;
    void release_reservations(worker_map& workers) const;
    void plan_upkeep(worker_map& workers, time_ms now, time_ms wall, std::vector<operation>& log);
    void give_up_upkeep(const wave& item, const std::string& vm, std::vector<operation>& log) const;
    void plan_wave(const wave& item, worker_map& workers, time_ms now, time_ms wall,
                   std::vector<operation>& log);
    bool clear_for_upkeep(worker& on, worker_map& workers) const;
    void plan_moves(worker_map& workers, const std::map<std::string, pool_demand>& demand,
                    time_ms now, std::vector<operation>& log);
    void log_pools(const std::map<std::string, pool_demand>& demand,
                   const std::map<std::string, std::int64_t>& supply, time_ms now);
    void order_move(managed_vm& item, const std::string& pool, worker_map& workers, time_ms now,
                    std::vector<operation>& log);

    const job_table& table_;
    vm_settings settings_;
    std::uint64_t fence_ = 0;
    std::map<std::string, managed_vm> vms_;
    std::set<std::string> standby_pools() const;
    std::set<std::pair<std::string, std::string>> refused_; // VM and pool that do not match
    // VMs that another node announced orders about, and the latest time at which that was.
    std::map<std::string, time_ms> announced_by_others_;
    bool list_under_way_ = false;
    time_ms listed_at_{0};
    time_ms first_listed_at_{0}; // by this leader
    time_ms list_due_at_{0};
    time_ms planned_at_{0};
    time_ms logged_at_{0};
};

// Lasting tasks of a step that are at work anywhere.
std::uint32_t at_work(const std::map<std::string, worker>& workers, const task_id& any_of_step);

} // namespace clementine::workload
