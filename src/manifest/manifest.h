// Data model of the manifest, the desired configuration set by operators.
#pragma once

#include "base/clock.h"
#include "base/ini.h"
#include "base/names.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace clementine::manifest {

// [service NAME]: a service offered to callers.
struct service {
    std::string name;
    std::vector<std::string> hosts;       // values of the Host header without the port
    std::string pool;                     // pool whose VMs run its backend servers
    time_ms timeout{30'000};              // maximum request deadline
    std::int64_t max_body_bytes{1 << 20}; // limit for request bodies
    std::int64_t queue_length{256};       // maximum number of requests waiting at one entryd
    std::vector<std::string> non_idempotent_methods;
    bool allow_default_workspace = true;
    std::int64_t min_available = 1; // availability budget: backend servers that must stay up
    double retry_budget = 0.2;      // retries as a fraction of first attempts
};

// [workspace NAME]: a customer of the deployment, as named by the Clementine-Workspace header.
struct workspace {
    std::string name;
    std::int64_t weight = 1; // weight in the fair queue
};

// [pool NAME]: a group of VMs.
struct pool {
    std::string name;
    std::int64_t size = 0; // number of VMs when none are lent
    bool spare = false;    // lends VMs to the other pools; set for exactly one pool
    std::int64_t max_lent = 0;
};

// [team NAME]: a team with a quota of worker capacity.
struct team {
    std::string name;
    std::int64_t quota_cores = 0;
    bool may_borrow = true;
};

enum class job_kind { idempotent, at_most_once };

inline constexpr name_table<2> job_kind_names{"idempotent", "at-most-once"};
constexpr const auto& names_of(job_kind) {
    return job_kind_names;
}

// [job NAME]: work that runs on a worker.
struct job {
    std::string name;
    std::string team;
    std::string pool;
    job_kind kind = job_kind::idempotent;
    bool urgent = false;
    std::int64_t cores = 1;
    std::int64_t memory_mb = 1024;
    std::int64_t accelerators = 0;
    time_ms run_time{60'000}; // declared by the team, may be inaccurate
};

// Predefined sets of weights. Explicit keys override individual weights.
enum class objective_profile { custom, lean_buffer, few_moves };

inline constexpr name_table<3> objective_profile_names{"custom", "lean-buffer", "few-moves"};
constexpr const auto& names_of(objective_profile) {
    return objective_profile_names;
}

// [objective]: weights of the scheduling costs.
struct objective {
    objective_profile profile = objective_profile::custom;
    double buffer_cost = 1;
    double lateness = 1;
    double moves = 1;
};

// [maintenance]: planned maintenance of all VMs.
struct maintenance {
    bool enabled = false;
    std::int64_t period_days = 14;      // each VM once per period
    std::int64_t max_concurrent = 1;    // maximum number of VMs in maintenance at once
    time_ms return_timeout{600'000};    // a VM that has not returned by then counts as failed
    std::int64_t window_start_hour = 0; // local time, 0 to 23
    std::int64_t window_hours = 24;
};

struct manifest {
    std::vector<std::string> availability_zones; // [fleet]
    std::int64_t vms = 0;
    std::int64_t cores_per_vm = 16;
    std::int64_t memory_mb_per_vm = 32'768;
    std::int64_t accelerators_per_vm = 0;
    std::int64_t vms_per_rack = 4;
    std::vector<service> services;
    std::vector<workspace> workspaces;
    std::vector<pool> pools;
    std::vector<team> teams;
    std::vector<job> jobs;
    objective weights;
    maintenance maintenance_settings;

    const service* find_service(std::string_view name) const;
    const service* find_service_by_host(std::string_view host) const;
    const workspace* find_workspace(std::string_view name) const;
    const pool* find_pool(std::string_view name) const;
};

// Result of parsing. The manifest is valid only if `faults` is empty; warnings do not matter.
struct parse_result {
    manifest value;
    std::vector<ini_fault> faults;
    std::vector<ini_fault> warnings;

    bool ok() const { return faults.empty(); }
};

// Weights defined by a profile.
objective weights_of(objective_profile profile);

// Parses and validates a manifest. Reports all faults at once.
parse_result parse_manifest(std::string_view text);

} // namespace clementine::manifest
