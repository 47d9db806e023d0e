// Model of the manifest: what operators want. Plain data, the same on every node.
#pragma once

#include "base/clock.h"
#include "base/ini.h"
#include "base/names.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace clementine::manifest {

// A service that callers reach: [service NAME].
struct service {
    std::string name;
    std::vector<std::string> hosts;       // values of the Host header, without port
    std::string pool;                     // pool whose VMs run its backend servers
    time_ms timeout{30'000};              // longest deadline of a request
    std::int64_t max_body_bytes{1 << 20}; // longest request body
    std::int64_t queue_length{256};       // requests waiting at one entryd
    std::vector<std::string> non_idempotent_methods;
    bool allow_default_workspace = true;
    std::int64_t min_available = 1; // availability budget: backend servers that must stay up
    double retry_budget = 0.2;      // retries as a fraction of first attempts
};

// A customer of the deployment, as named by the Clementine-Workspace header: [workspace NAME].
struct workspace {
    std::string name;
    std::int64_t weight = 1; // share in the fair queue
};

// A group of VMs: [pool NAME].
struct pool {
    std::string name;
    std::int64_t size = 0; // VMs that it owns when nothing is lent
    bool spare = false;    // lends to the others; exactly one pool
    std::int64_t max_lent = 0;
};

// A team with a share of the workers: [team NAME].
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

// Work that runs on workers: [job NAME].
struct job {
    std::string name;
    std::string team;
    std::string pool;
    job_kind kind = job_kind::idempotent;
    bool urgent = false;
    std::int64_t cores = 1;
    std::int64_t memory_mb = 1024;
    std::int64_t accelerators = 0;
    time_ms run_time{60'000}; // declared, may be far off
};

// Named sets of weights; keys that are given as well override the single weight.
enum class objective_profile { custom, lean_buffer, few_moves };

inline constexpr name_table<3> objective_profile_names{"custom", "lean-buffer", "few-moves"};
constexpr const auto& names_of(objective_profile) {
    return objective_profile_names;
}

// Weights of the three measures: [objective].
struct objective {
    objective_profile profile = objective_profile::custom;
    double buffer_cost = 1;
    double lateness = 1;
    double moves = 1;
};

// Planned maintenance of all VMs: [maintenance].
struct maintenance {
    bool enabled = false;
    std::int64_t period_days = 14;      // every VM once in this time
    std::int64_t max_concurrent = 1;    // VMs in maintenance at once
    time_ms return_timeout{600'000};    // a VM not back by then counts as failed
    std::int64_t window_start_hour = 0; // local hour, 0 to 23
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

// Result of parsing: the manifest is usable only if `faults` is empty. Warnings do not block.
struct parse_result {
    manifest value;
    std::vector<ini_fault> faults;
    std::vector<ini_fault> warnings;

    bool ok() const { return faults.empty(); }
};

// Weights that a profile stands for.
objective weights_of(objective_profile profile);

// Parses and checks a whole manifest. All faults are reported at once.
parse_result parse_manifest(std::string_view text);

} // namespace clementine::manifest
