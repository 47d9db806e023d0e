// Brings the scheduler's state in line with a new manifest.
#pragma once

#include "scheduler/state.h"

#include <string>
#include <vector>

namespace clementine::scheduler {

// Changes that the state machine cannot carry out on a running fleet, one reason each: fewer VMs,
// another rack size or another spare pool. A manifest with any of them must not be accepted.
std::vector<std::string> unsupported_changes(const state& current, const manifest::manifest& next);

// Takes over pools, teams, VMs, jobs and weights. VMs keep their pool; their home changes, and the
// pool planner then moves what is in the wrong place. Removed pools stay with size 0, because VMs
// refer to them by position. `index` is the number of this change, as for apply().
void reconfigure(state& target, const manifest::manifest& next, std::uint64_t index, time_ms at);

} // namespace clementine::scheduler
