// Chooses a worker for a task. Pure functions.
//
// Load pattern: a surge fills every worker of a pool with short tasks of many sizes, while
// long-running tasks that serve users, and best-effort tasks beside them, stay for the whole day.
#pragma once

#include "workload/worker_table.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace clementine::workload {

// How placement treats a task that no worker has room for.
enum class lookahead {
    best_fit, // it waits, and smaller tasks take all room that appears
    reserve,  // it reserves workers, which no other task may use
    backfill  // it reserves workers, which tasks may use that do not delay it
};

inline constexpr name_table<3> lookahead_names{"best-fit", "reserve", "backfill"};
constexpr const auto& names_of(lookahead) {
    return lookahead_names;
}

struct placement_request {
    const step_spec* step = nullptr;
    std::string job;
    std::uint32_t occurrence = 0;
    std::uint32_t step_index = 0;
    std::string avoid;  // worker on which the task failed last
    std::string rack;   // preferred rack of a colocated step; empty for any
    time_ms ends_at{0}; // expected end of a task started now
};

// Room that a worker keeps for a waiting task.
struct reserved_room {
    time_ms begins_at{0}; // when the room is expected to appear
    resources beside;     // what other tasks may use of the worker from then on
};

// A task that found no worker.
struct unplaceable_task {
    resources need;
    time_ms ends_at{0}; // tasks that end earlier may find one; 0 if none does
};

// Workers of a pool that a decision round may choose from. Within a round they only fill up, so
// what fits on none of them once fits on none of them later.
struct candidate_pool {
    std::vector<worker*> workers; // sorted by free processor once `sort` was called
    std::vector<unplaceable_task> unplaceable{};
    std::unordered_map<const worker*, reserved_room> reserved{}; // for earlier steps of the round
    std::size_t reservation_searches = 0;
    std::optional<resources> smallest_waiting{}; // least of each resource that a waiting task needs

    // Sorts the workers by free processor and then by id, so that a search can begin with the
    // fullest one that may have room.
    void sort();
    // Restores the order after runs were added to a worker.
    void update(const worker* filled);
    // Counts a started task against the room beside a reservation.
    void use_reserved(const worker* target, const resources& need, time_ms ends_at);

    // True if a task is known to find no worker.
    bool is_unplaceable(const resources& need, time_ms ends_at) const;
    void add_unplaceable(const resources& need, time_ms ends_at);
    // True if a task does not delay the task that the worker is reserved for.
    bool allows(const worker* target, const resources& need, time_ms ends_at) const;
};

// True if a task of a step finds no worker only because none has room for it.
bool is_limited_by_room(const step_spec& step);

// Why a worker gets no task of a step.
enum class exclusion {
    none,
    draining,
    leaving,
    reserved, // its VM is about to move or to go down
    silent,   // has not announced itself, or left an order unanswered
    quarantined,
    on_probation,
    no_room,
    upkeep_room, // its room is kept for tasks that leave VMs due for maintenance
    label,
    max_per_worker,
    reservation, // its room is kept for a task that waits
    forgets_ends // it may forget the end of the task; see worker::may_forget_ends
};

inline constexpr name_table<13> exclusion_names{
    "none",           "draining",     "leaving",     "reserved",    "silent",
    "quarantined",    "on_probation", "no_room",     "upkeep_room", "label",
    "max_per_worker", "reservation",  "forgets_ends"};
constexpr const auto& names_of(exclusion) {
    return exclusion_names;
}

// Why a worker may not be given any new run now.
exclusion find_run_exclusion(const worker& candidate, time_ms now);
// Why a worker may not be given a task of the requested step now.
exclusion find_exclusion(const worker& candidate, const placement_request& request, time_ms now);

// True if a worker may run one more task of the requested step as soon as its short runs have
// ended.
bool may_have_room(const worker& candidate, const placement_request& request);

// True if a worker may be given new runs now.
bool accepts_runs(const worker& candidate, time_ms now);

// Returns the worker for one task, or nullptr if none has capacity. Long-running tasks of one step
// are spread, those of different steps share workers. Other tasks go to the fullest worker that can
// hold them, which keeps whole workers free for wide tasks and for moves.
// `pool` is sorted. Adds the number of workers looked at to `checked`.
worker* choose_worker(const candidate_pool& pool, const placement_request& request, time_ms now,
                      std::uint64_t& checked);

} // namespace clementine::workload
