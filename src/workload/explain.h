// Explanation of how a job would be admitted and placed now. Pure code.
//
// Load pattern: a customer reports that all its jobs are refused or wait, while the pools are full
// of work of many others. An operator needs the cause: the customer's cap or share, or the workers.
#pragma once

#include "workload/admission.h"
#include "workload/placement.h"

#include <array>
#include <cstdint>
#include <string>
#include <utility>
#include <vector>

namespace clementine::workload {

// Limits of one explanation, which is read by people: at most 20 workers are named for all steps
// together.
inline constexpr std::size_t max_named_workers = 20;
inline constexpr std::size_t max_explained_steps = 20;

// Workers of a pool by what excludes them from a step; `exclusion::none` counts the candidates.
using exclusion_counts = std::array<std::size_t, exclusion_names.size()>;

// Placement of a step that depends on no other, in its turn of the next round.
struct step_explanation {
    std::uint32_t step = 0;
    std::uint32_t tasks = 0;
    std::size_t turn = 0;    // number of steps, of all jobs, that are placed before
    bool over_share = false; // placed behind the workspaces within their share
    exclusion_counts workers{};
    // Chosen workers with their numbers of tasks, in the order of the first choice, as far as they
    // may be named.
    std::vector<std::pair<std::string, std::uint32_t>> chosen;
    std::size_t unnamed_workers = 0; // further chosen workers
    std::uint32_t placed = 0;        // tasks that would start now
    std::uint32_t held_by_cap = 0;   // tasks that the cap of the workspace does not admit now
    std::uint32_t without_room = 0;  // tasks that find no worker, or wait for placement advice
};

struct placement_explanation {
    admission decision;
    std::string pool;
    bool needs_advice = false; // the candidates also depend on the advice service
    std::size_t workers = 0;   // of the pool
    resources use;             // of the workspace, including starts that may have been carried out
    resources cap;
    double share_ratio = 0; // occupied share divided by the share by weight
    std::size_t arriving_vms = 0;
    std::int64_t arriving_cpu = 0;     // of VMs that move to the pool, in thousandths of a core
    std::int64_t idle_standby_cpu = 0; // of idle VMs in standby pools
    time_ms move_time{0};
    std::vector<step_explanation> steps;
    std::size_t omitted_steps = 0;
};

// Counts workers of a pool by what excludes them. `open` holds those that the round may still
// choose.
exclusion_counts count_exclusions(const std::vector<const worker*>& workers,
                                  const candidate_pool& open, const placement_request& request,
                                  time_ms now);

// Records a task that would be placed on a worker; `named` counts the workers named so far.
void add_placed_task(step_explanation& step, const std::string& worker, std::size_t& named);

} // namespace clementine::workload
