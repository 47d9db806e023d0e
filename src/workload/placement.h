// Choice of a worker for a task. Pure functions.
//
// Load pattern: a surge fills every worker of a pool with short tasks of many sizes, while lasting
// tasks that serve users of their own, and fillers beside them, stay for the whole day.
#pragma once

#include "workload/worker_table.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace clementine::workload {

struct placement_request {
    const step_spec* step = nullptr;
    std::string job;
    std::uint32_t occurrence = 0;
    std::uint32_t step_index = 0;
    std::string avoid; // worker on which the task failed last
    std::string rack;  // preferred for a step that wants to stay on one rack; empty: any
};

// True if a worker may get any new run now.
bool accepts_runs(const worker& candidate, time_ms now);

// Worker for one task, or nullptr if none has room. Lasting tasks of one step are spread, those of
// different steps share workers; other tasks fill the fullest worker that still has room, which
// keeps whole workers free for wide tasks and for moves.
worker* choose_worker(const std::vector<worker*>& pool, const placement_request& request,
                      time_ms now);

} // namespace clementine::workload
