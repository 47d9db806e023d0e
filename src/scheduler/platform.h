// Interface to workers and VMs. Every command is idempotent and carries a fencing number: a VM
// rejects a command whose term is below the highest term it has seen. Commands of one leader reach
// a VM in order but may be lost, so a delayed dispatch cannot arrive after a later stop_task.
#pragma once

#include "scheduler/types.h"

#include <string>
#include <variant>
#include <vector>

namespace clementine::scheduler {

// Fencing number: term of the leader and log index of the decision behind a command.
struct fencing {
    std::uint64_t term = 0;
    std::uint64_t index = 0;
};

// Extends the worker's lease until `worker_lease` after it sent the report with this number.
struct grant_lease {
    vm_id vm = no_vm;
    std::uint64_t report = 0;
};

// Starts a task once. A worker rejects it without a valid lease, in another lease epoch, or if it
// has seen this attempt before.
struct dispatch_task {
    vm_id vm = no_vm;
    job_id job = 0;
    std::uint32_t attempt = 0;
    std::uint64_t lease_epoch = 0;
    std::uint64_t checkpoint = 0; // where to resume, 0 to start from the beginning
};

// Writes a checkpoint and stops the task.
struct checkpoint_task {
    vm_id vm = no_vm;
    job_id job = 0;
    std::uint32_t attempt = 0;
};

struct throttle_task {
    vm_id vm = no_vm;
    job_id job = 0;
    std::uint32_t attempt = 0;
    int percent = 100;
};

// Stops the task. If the attempt has not arrived yet, the worker rejects it from now on.
struct stop_task {
    vm_id vm = no_vm;
    job_id job = 0;
    std::uint32_t attempt = 0;
};

// Confirms that the final report of an attempt is recorded, so that the worker can drop it.
struct acknowledge_task {
    vm_id vm = no_vm;
    job_id job = 0;
    std::uint32_t attempt = 0;
};

// Runs a short probe task. The worker reports the number of the last probe that succeeded.
struct run_probe {
    vm_id vm = no_vm;
    std::uint32_t probe = 0;
};

// Drains the VM's backend server. Reports echo `request`.
struct drain_vm {
    vm_id vm = no_vm;
    std::uint64_t request = 0;
};

// Assigns a VM to a pool, also to undo a cancelled drain. Without `serve` it runs no backend
// server. Reports echo `request`.
struct assign_vm {
    vm_id vm = no_vm;
    pool_id pool = no_pool;
    bool serve = true;
    std::uint64_t request = 0;
};

// Restarts an empty VM, once per `request` number.
struct restart_vm {
    vm_id vm = no_vm;
    std::uint64_t request = 0;
};

using command = std::variant<grant_lease, dispatch_task, checkpoint_task, throttle_task, stop_task,
                             acknowledge_task, run_probe, drain_vm, assign_vm, restart_vm>;

enum class task_phase : std::uint8_t { running, succeeded, failed, stopped };

inline constexpr name_table<4> task_phase_names{"running", "succeeded", "failed", "stopped"};
constexpr const auto& names_of(task_phase) {
    return task_phase_names;
}

struct task_report {
    job_id job = 0;
    std::uint32_t attempt = 0;
    task_phase phase = task_phase::running;
    std::uint64_t checkpoint = 0;
    int throttle_percent = 100;
    resources used;
};

// State of a VM at the time of sending. Reports may be delayed but arrive in order.
struct vm_report {
    vm_id vm = no_vm;
    std::uint64_t sequence = 0;    // increases with each report, also across restarts
    std::uint64_t lease_epoch = 0; // increases with each restart and each lapse of the lease
    std::uint64_t assignment = 0;  // request number of the assign_vm in force
    std::uint64_t drain = 0;       // request number of the drain_vm in force, 0 if there is none
    std::uint64_t restart = 0;     // request number of the last restart_vm that was carried out
    bool ready = false;            // its backend server accepts requests
    int requests = 0;              // requests in flight
    std::uint32_t probe_succeeded = 0; // number of the last probe that succeeded
    resources used;                    // of the whole VM, including its backend server
    std::vector<task_report> tasks;
};

// Sends commands and collects reports. Commands may be lost or delayed, so the leader repeats each
// one until a report shows its effect.
class platform {
  public:
    platform() = default;
    platform(const platform&) = delete;
    platform& operator=(const platform&) = delete;
    virtual ~platform() = default;
    virtual void send(const command& payload, const fencing& number) = 0;
    // Returns the reports received since the last call.
    virtual std::vector<vm_report> poll() = 0;
};

} // namespace clementine::scheduler
