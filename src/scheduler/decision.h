// Scheduling decisions and operator requests, the entries of the replicated log.
#pragma once

#include "scheduler/types.h"

#include <string>
#include <variant>

namespace clementine::scheduler {

// Starts moving a VM to another pool. Without `serve` the VM becomes open: it joins the spare pool
// without a backend server and is free for jobs. `from` equals `to` when a VM of the spare pool
// switches between open and serving.
struct begin_move {
    vm_id vm = no_vm;
    pool_id from = no_pool;
    pool_id to = no_pool;
    bool serve = true;
};

// Records that the VM has no requests or tasks left.
struct confirm_empty {
    vm_id vm = no_vm;
};

// Transfers the VM to its new pool.
struct reassign_vm {
    vm_id vm = no_vm;
    pool_id from = no_pool;
    pool_id to = no_pool;
};

// Aborts a move before the VM is empty. The VM stays in its old pool.
struct cancel_move {
    vm_id vm = no_vm;
};

// Sets the number of open VMs to keep free of jobs.
struct hold_buffer {
    std::uint32_t vms = 0;
};

// Queues a job under the next free id.
struct submit_job {
    team_id team = 0;
    pool_id pool = 0;
    job_kind kind = job_kind::idempotent;
    bool urgent = false;
    resources declared;
    time_ms run_time = 0;
};

// Requests cancellation of a job. The job's final outcome tells whether it took effect.
struct request_cancel {
    job_id job = 0;
};

// Committed before the dispatch, so a job in this phase may already run.
struct start_job {
    job_id job = 0;
    std::uint32_t attempt = 0;
    vm_id worker = no_vm;
    std::uint64_t lease_epoch = 0; // the worker rejects the dispatch in any other epoch
    bool borrowed = false;         // exceeds its team's quota
};

// Checkpoints a job and stops it on its worker.
struct preempt_job {
    job_id job = 0;
    std::uint32_t attempt = 0;
};

// Limits a job to a percentage of its processors; 100 removes the limit.
struct throttle_job {
    job_id job = 0;
    std::uint32_t attempt = 0;
    int percent = 100;
};

// Returns an idempotent job to the queue. It resumes from its checkpoint.
struct requeue_job {
    job_id job = 0;
    std::uint32_t attempt = 0;
    std::uint64_t checkpoint = 0;
    bool failed = false; // counts towards the failure limit
};

struct end_job {
    job_id job = 0;
    std::uint32_t attempt = 0;
    job_outcome outcome = job_outcome::none;
};

// Excludes a worker from placement until its probes succeed.
struct quarantine_worker {
    vm_id worker = no_vm;
};

// Orders a probe task on a quarantined worker.
struct probe_worker {
    vm_id worker = no_vm;
    std::uint32_t probe = 0;
};

struct readmit_worker {
    vm_id worker = no_vm;
};

struct begin_maintenance {
    vm_id vm = no_vm;
};

struct reboot_vm {
    vm_id vm = no_vm;
};

struct finish_maintenance {
    vm_id vm = no_vm;
};

// Marks a VM that did not return within the timeout as failed.
struct mark_overdue {
    vm_id vm = no_vm;
};

// Stops new maintenance in a pool, or in the whole fleet if `pool` is no_pool.
struct halt_maintenance {
    pool_id pool = no_pool;
};

struct resume_maintenance {
    pool_id pool = no_pool;
};

using action =
    std::variant<begin_move, confirm_empty, reassign_vm, cancel_move, hold_buffer, submit_job,
                 request_cancel, start_job, preempt_job, throttle_job, requeue_job, end_job,
                 quarantine_worker, probe_worker, readmit_worker, begin_maintenance, reboot_vm,
                 finish_maintenance, mark_overdue, halt_maintenance, resume_maintenance>;

// One log entry. `at` is used only for records and timeouts. Safety must not depend on it, because
// the clocks of two leaders may differ.
struct decision {
    action what;
    std::string reason;
    time_ms at = 0;
};

// Formats an action for logs and run signatures, e.g. "begin-move vm=3 from=1 to=2".
std::string format_action(const action& what);

} // namespace clementine::scheduler
