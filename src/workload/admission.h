// Admission control: accepts a job or rejects it at once. Pure functions.
//
// Load pattern: a queue offers four to five times its mean load for some seconds, more than its
// pool can serve. Jobs accepted beyond that wait, end late and delay all jobs behind them; a
// rejected caller can retry once there is capacity. The same holds if the leader cannot send orders
// as fast as jobs arrive: then each step of a job waits for its orders.
#pragma once

#include "base/names.h"
#include "workload/job_table.h"

namespace clementine::workload {

struct admission_input {
    time_ms critical_path{0};      // estimated length of the job's critical path
    time_ms wait{0};               // until all work accepted earlier has started
    time_ms order_delay{0};        // from a decision to the order that carries it out
    std::size_t chained_steps = 1; // steps on the longest path, each of which needs a decision
    time_ms target_latency{0};
    double stretch = 1.0;
    bool paid = false; // within the rate that its workspace has paid for
    bool long_running = false;
    bool scheduled = false;
    bool capacity_known = true; // false: this leader has not listed the VMs yet
};

enum class refusal {
    none,
    overload, // the job would end late; a retry may succeed
    over_cap  // the workspace's cap never admits one of its tasks or gangs
};

inline constexpr name_table<3> refusal_names{"none", "overload", "over_cap"};
constexpr const auto& names_of(refusal) {
    return refusal_names;
}

// Wait that admission expects for a job, by cause. Each is the wait if the cause were the only one.
struct wait_causes {
    time_ms pool_work{0};   // all work that waits in the pool
    time_ms share_work{0};  // the part that is served first, by the shares of the workspaces
    time_ms cap{0};         // the workspace's waiting work within its cap
    time_ms room{0};        // until a worker has room for the widest task of the first steps
    double wait_ratio = 1;  // measured ratio of actual to expected waits of the pool
    time_ms order_delay{0}; // of all steps that follow each other
    time_ms total{0};       // compared with `allowed`
    time_ms allowed{0};     // longest wait with which the job can be on time
    bool paid = false;      // within the rate that the workspace has paid for
};

struct admission {
    bool accepted = false;
    bool late = false; // accepted although it is expected to end after its objective
    refusal reason = refusal::overload; // unless accepted
    time_ms retry_after{0};             // time until capacity is expected; set on rejection
    time_ms expected_wait{0};           // until the first start, by the nominal capacity
    wait_causes wait{};                 // zero if no cap admits the job
};

admission admit(const admission_input& input);
// Longest wait with which a job can be on time.
time_ms allowed_wait(const admission_input& input);
// Wait that is compared with it.
time_ms total_wait(const admission_input& input);

// Critical path of a job by its estimates, in ms; `rate` is the ratio of actual to estimated time.
time_ms critical_path_length(const job_spec& spec, double rate);
// Number of steps on the longest path through a job.
std::size_t longest_step_chain(const job_spec& spec);
// Estimated work in thousandths of a core times ms.
std::int64_t estimated_work(const job_spec& spec, double rate);
// The part of it in steps that depend on no other.
std::int64_t first_work(const job_spec& spec, double rate);
// Critical path and estimated work of the tasks that are not done.
time_ms remaining_critical_path_length(const job& item, double rate);
std::int64_t remaining_work(const job& item, double rate);

} // namespace clementine::workload
