// Replicated state of the scheduler. It changes only by applying log entries, in log order, so that
// all replicas hold the same state.
#pragma once

#include "scheduler/decision.h"

#include <cstddef>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace clementine::scheduler {

struct vm_record {
    std::string name;
    std::uint32_t rack = 0; // failure domain of maintenance
    std::uint16_t zone = 0;
    resources capacity;
    pool_id home = no_pool; // pool that owns it by the manifest
    pool_id pool = no_pool; // pool that it currently belongs to
    bool open = false;      // in the spare pool without a backend server, available for jobs
    vm_activity activity = vm_activity::none;
    pool_id move_to = no_pool;
    bool move_serve = true;
    std::uint64_t activity_index = 0;   // log index of the decision that began the activity
    std::uint64_t assignment_index = 1; // request number of the last assign_vm; a new VM reports 0
    time_ms activity_since = 0;
    time_ms maintained_at = 0;
    bool quarantined = false;
    std::uint32_t probe = 0;    // number of the last probe
    std::string reason;         // of the last decision about this VM
    std::uint32_t position = 0; // index in the member list of its pool
};

struct pool_record {
    std::string name;
    std::uint32_t size = 0;
    bool spare = false;
    std::uint32_t max_lent = 0;
    std::uint32_t min_available = 0; // largest availability budget of its services
    std::vector<vm_id> members;
    std::uint32_t lent = 0; // VMs with this home that are in other pools or open
    bool halted = false;    // no new maintenance in this pool
};

struct team_record {
    std::string name;
    std::int64_t quota_millicores = 0;
    bool may_borrow = true;
};

struct job_record {
    job_id id = 0;
    submit_job request;
    job_phase phase = job_phase::queued;
    job_outcome outcome = job_outcome::none;
    std::uint32_t attempt = 0; // 0 before the first start
    vm_id worker = no_vm;      // still set after the job is requeued or ended
    std::uint64_t lease_epoch = 0;
    std::uint64_t checkpoint = 0;
    std::uint64_t start_index = 0; // log index of the last start
    std::uint32_t failures = 0;
    int throttle_percent = 100;
    bool borrowed = false;
    bool cancel_requested = false;
    time_ms submitted_at = 0;
    time_ms phase_since = 0;
    std::string reason;
};

// Number of ended jobs kept for queries. The oldest are dropped first.
inline constexpr std::size_t max_ended_jobs = 100'000;

struct state {
    std::vector<vm_record> vms;
    std::vector<pool_record> pools;
    std::vector<team_record> teams;
    std::vector<std::string> zones;
    manifest::objective weights;
    manifest::maintenance maintenance_settings;
    pool_id spare = no_pool;
    std::uint32_t buffer_vms = 0; // open VMs to keep free of jobs
    bool halted = false;          // no new maintenance in the fleet

    job_id next_job = 1;
    std::unordered_map<job_id, job_record> jobs;
    std::vector<std::set<job_id>> queued; // by team, without urgent jobs
    std::set<job_id> queued_urgent;
    std::set<job_id> active;                // started or checkpointing
    std::vector<std::vector<job_id>> tasks; // by worker: active jobs
    std::deque<job_id> ended;
    std::map<std::string, job_id> manifest_jobs; // ids of the jobs in the manifest, by name

    const job_record* find_job(job_id id) const;
    // Number of open VMs in the spare pool.
    std::uint32_t open_vms() const;
    // Approximate memory in use, for the limit of 256 MB in design section 1.6.
    std::size_t bytes() const;
};

// Initial state for a manifest. VMs are numbered consecutively with `vms_per_rack` in a rack, and
// racks are assigned to the availability zones in turn. Each pool is spread over many racks.
state make_state(const manifest::manifest& value);

// Applies one committed log entry. Returns false and changes nothing if the entry is stale, that
// is, not valid in the current state.
bool apply(state& target, const decision& entry, std::uint64_t index);

} // namespace clementine::scheduler
