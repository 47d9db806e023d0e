// Paces tasks that fill spare processor time beside tasks with users of their own. Pure functions.
//
// Load pattern: fillers disturb the response times of the tasks beside them by amounts that differ
// and change within seconds; a tail above its target for some seconds is harm done by us.
#pragma once

#include "workload/worker_table.h"

#include <optional>
#include <vector>

namespace clementine::workload {

// Fillers give way before a tail reaches its target, as reports are half a second old.
inline constexpr double tail_too_high = 0.85;

// New share of processor time (0 to 100) for a filler that now has `pace`; nothing if it stays.
// `worst` is the highest ratio of a tail to its target on the worker, `calm` the time since it was
// last too high.
std::optional<int> next_pace(int pace, double worst, time_ms calm);

// Highest ratio of a tail to its target among the tasks on a worker; 0 if none has a target.
double worst_tail_ratio(const worker& on);

} // namespace clementine::workload
