// Applies a new manifest to the scheduler's state.
#pragma once

#include "scheduler/state.h"

#include <string>
#include <vector>

namespace clementine::scheduler {

// Returns a reason for each change that a running fleet does not support: fewer VMs, another rack
// size or another spare pool. A manifest with such a change must be rejected.
std::vector<std::string> unsupported_changes(const state& current, const manifest::manifest& next);

// Updates pools, teams, VMs, jobs, weights and maintenance settings. VMs keep their current pool;
// only their home changes, and the pool planner moves them afterwards. Removed pools remain with
// size 0, because VMs refer to pools by position. `index` is the log index, as for apply().
void reconfigure(state& target, const manifest::manifest& next, std::uint64_t index, time_ms at);

} // namespace clementine::scheduler
