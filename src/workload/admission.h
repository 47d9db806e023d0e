// Decides whether a job is taken or refused at once. Pure functions.
//
// Load pattern: a queue asks for four to five times its mean for some seconds, more than its pool
// holds. What is taken beyond that waits, ends late and delays all that follows; what is refused
// at once can come back when there is room.
#pragma once

#include "workload/job_table.h"

namespace clementine::workload {

struct admission_input {
    time_ms critical_path{0}; // longest chain of work of the job
    time_ms wait{0};          // until the work that was taken before it has been started
    time_ms target_latency{0};
    double stretch = 1.0;
    bool long_running = false;
    bool scheduled = false;
    bool capacity_known = true; // false: VMs that could help were not listed yet
};

struct admission {
    bool accepted = false;
    time_ms retry_after{0}; // when there will be room; with a refusal
};

admission admit(const admission_input& input);

// Longest chain of estimated work in a job, in ms; `rate` is actual time for each ms of estimate.
time_ms critical_path_length(const job_spec& spec, double rate);
// Estimated work in thousandths of a core times ms.
std::int64_t estimated_work(const job_spec& spec, double rate);
// The same for what is left: tasks that are not done.
time_ms remaining_critical_path_length(const job& item, double rate);
std::int64_t remaining_work(const job& item, double rate);

} // namespace clementine::workload
