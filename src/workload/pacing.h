// Throttles best-effort tasks, which use spare processor time beside tasks that serve users. Pure
// functions.
//
// Load pattern: best-effort tasks raise the response times of the tasks beside them by amounts that
// differ and change within seconds. A tail latency above its target for some seconds counts as harm
// caused by the controller.
#pragma once

#include "workload/worker_table.h"

#include <optional>
#include <vector>

namespace clementine::workload {

// Tail ratio from which best-effort runs are slowed down. It is below 1 because reports are half a
// second old.
inline constexpr double tail_ratio_limit = 0.85;

// Returns the new share of processor time (0 to 100) for a best-effort run with share `pace`, or
// nothing if it stays. `worst` is the highest ratio of tail latency to target on the worker,
// `time_below_limit` the time since that ratio was last too high.
std::optional<int> next_pace(int pace, double worst, time_ms time_below_limit);

// False while a worker's tail ratio neither lowers nor raises the share of best-effort runs.
bool is_pace_decided(double worst);

// Highest ratio of tail latency to target among the runs on a worker; 0 if none has a target.
double worst_tail_ratio(const worker& target);

} // namespace clementine::workload
