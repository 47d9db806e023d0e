// Identifiers, resources and enumerations shared by the scheduling modules.
#pragma once

#include "base/clock.h"
#include "base/names.h"
#include "manifest/manifest.h"

#include <cstdint>
#include <limits>

namespace clementine::scheduler {

// Indexes into the vectors of `state`.
using vm_id = std::uint32_t;
using pool_id = std::uint16_t;
using team_id = std::uint16_t;
// Assigned by the state machine in increasing order.
using job_id = std::uint64_t;

inline constexpr vm_id no_vm = std::numeric_limits<vm_id>::max();
inline constexpr pool_id no_pool = std::numeric_limits<pool_id>::max();

using manifest::job_kind;

// Resources of a worker or a job.
struct resources {
    std::int64_t millicores = 0;
    std::int64_t memory_mb = 0;
    std::int64_t accelerators = 0;

    resources& operator+=(const resources& other);
    resources& operator-=(const resources& other);
    // True if no component of `other` exceeds the one here.
    bool covers(const resources& other) const;
};

// Phase of a VM's move or maintenance. A VM cannot be in both.
enum class vm_activity : std::uint8_t {
    none,
    draining,             // move: gets no new work; still in the old pool
    empty_confirmed,      // move: no requests or tasks left; still in the old pool
    maintenance_draining, // maintenance: gets no new work
    rebooting,            // maintenance: empty, restart ordered
    overdue               // maintenance: not back within the return timeout
};

inline constexpr name_table<6> vm_activity_names{
    "none", "draining", "empty-confirmed", "maintenance-draining", "rebooting", "overdue"};
constexpr const auto& names_of(vm_activity) {
    return vm_activity_names;
}

enum class job_phase : std::uint8_t {
    queued,
    started,       // committed before the dispatch; may or may not run yet
    checkpointing, // preempted: writes a checkpoint, then stops
    ended
};

inline constexpr name_table<4> job_phase_names{"queued", "started", "checkpointing", "ended"};
constexpr const auto& names_of(job_phase) {
    return job_phase_names;
}

enum class job_outcome : std::uint8_t { none, succeeded, failed, cancelled, unknown, never_runs };

inline constexpr name_table<6> job_outcome_names{"none",      "succeeded", "failed",
                                                 "cancelled", "unknown",   "never-runs"};
constexpr const auto& names_of(job_outcome) {
    return job_outcome_names;
}

// Worker lease and its safety margin. A worker measures its lease from the time it sent the report
// that the grant answers, so by its own clock the lease ends within `lease_expiry` of the grant.
inline constexpr time_ms worker_lease{10'000};
inline constexpr int clock_error_percent = 10;
inline constexpr time_ms lease_expiry = worker_lease * (100 + clock_error_percent) / 100;

// Slots per backend server, of which each VM runs one (design section 1.5).
inline constexpr int slots_per_vm = 8;

} // namespace clementine::scheduler
