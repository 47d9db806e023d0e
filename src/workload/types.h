// Plain data types of jobs that run as tasks on leased workers: what callers submit, what operators
// configure, and what workers and the platform report.
#pragma once

#include "base/clock.h"
#include "base/names.h"
#include "workload/resources.h"
#include "workload/workspace.h"

#include <compare>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace clementine::workload {

// Largest number of tasks of a job in all its occurrences. The table keeps some 100 bytes for each.
inline constexpr std::uint64_t max_tasks_per_job = 20'000;
// Largest work of a job in all its occurrences, in thousandths of a core times ms: 11,000 days of a
// core. The sum over thousands of jobs stays in range.
inline constexpr double max_job_work = 1e15;
// Longest duration in a specification: a year.
inline constexpr time_ms max_duration{366LL * 24 * 3'600 * 1'000};
// Latest wall clock time in a specification, in ms since 1970; the sum with a duration for each
// occurrence stays in range.
inline constexpr time_ms max_wall_time{1LL << 53};

// One step of a job: `count` identical tasks that start once all steps it depends on are done.
struct step_spec {
    std::uint32_t count = 0;
    resources need; // of one task
    time_ms estimate{0};
    std::vector<std::uint32_t> depends_on; // indexes of earlier steps
    bool checkpointing = false;
    bool gang = false;     // all tasks run together and end together
    bool colocate = false; // slower if spread over racks
    std::string required_label;
    std::string data_rack;            // rack on which the tasks run faster
    std::uint32_t max_per_worker = 0; // 0 for no limit
    bool speculative = false;         // copies may run in parallel
    bool long_running = false;        // runs until the job is cancelled
    std::string image;
    time_ms target_tail_latency{0};    // for tasks that serve users; 0 for none
    bool best_effort = false;          // uses only spare processor time: `need.cpu` is not counted
    std::uint32_t max_unavailable = 0; // limit on tasks made unavailable by our own actions

    bool operator==(const step_spec&) const = default;
};

// A submitted job. With `times` of 0 it runs once, immediately; otherwise occurrence K is due at
// `start_at` + K x `interval` of wall-clock time.
struct job_spec {
    std::string payload; // passed to each task unchanged
    std::vector<step_spec> steps;
    std::uint32_t times = 0;
    time_ms start_at{0};
    time_ms interval{0};

    bool operator==(const job_spec&) const = default;
    // True if the job has tasks, and at most `max_tasks_per_job`.
    bool has_allowed_size() const;
    // Estimated work of all tasks, in thousandths of a core times ms.
    double total_work() const;
};

// A queue of jobs, selected by host and longest path prefix.
struct queue_config {
    std::string name;
    std::string host;
    std::string prefix;
    std::string pool; // whose workers run its tasks
    time_ms timeout{0};
    time_ms target_latency{0};
    std::int64_t priority = 0; // 0 is the highest
    std::uint32_t attempts = 1;
    double stretch = 1.0;                // allowed ratio of a job's duration to its critical path
    bool needs_placement_advice = false; // only workers allowed by the advice service may be used
    time_ms advice_call_time{0};         // fixed time of one call to the service
    time_ms advice_time_per_worker{0};   // additional time for each worker named in it
    bool is_public = false;              // callers need no access key
};

// A pool of workers that serve the queues of one service.
struct pool_config {
    std::string name;
    bool rejects_overload = false; // its workers reject runs that exceed their capacity
    bool standby = false;          // its VMs are switched off
};

// The operators' configuration in force. `document` is the text they sent, returned unchanged.
struct configuration {
    std::uint64_t version = 0;
    std::vector<queue_config> queues;
    std::vector<pool_config> pools;
    bool requires_keys = false; // callers of queues that are not public need an access key
    // Includes workspaces without keys that were removed while jobs of theirs are open.
    std::vector<workspace_config> workspaces;
    std::string document;

    // Rebuilds the lookup by name; call it after a change of `queues`.
    void rebuild_index();
    const queue_config* find_queue(const std::string& name) const;
    const workspace_config* find_workspace(std::string_view name) const;
    // Returns the queue of the host with the longest prefix of the path, or nullptr.
    const queue_config* route(std::string_view host, std::string_view path) const;

  private:
    std::unordered_map<std::string, std::size_t> by_name_;
};

// Identifies one task: member `index` of a step of one occurrence of a job.
struct task_id {
    std::string job;
    std::uint32_t occurrence = 0;
    std::uint32_t step = 0;
    std::uint32_t index = 0;

    // clang-tidy 14 reports the zero inside a defaulted comparison.
    auto operator<=>(const task_id&) const = default; // NOLINT(modernize-use-nullptr)
};

// One life of a worker. A restart under the same id has another start time.
struct worker_ref {
    std::string id;
    std::int64_t started_at = 0; // ms since 1970, reported by the worker

    auto operator<=>(const worker_ref&) const = default; // NOLINT(modernize-use-nullptr)
};

// How a run ended, as listed by its worker.
enum class run_end { done, failed, stopped, lapsed, broken, alone };

inline constexpr name_table<6> run_end_names{"done",   "failed", "stopped",
                                             "lapsed", "broken", "alone"};
constexpr const auto& names_of(run_end) {
    return run_end_names;
}

// A worker's announcement of itself.
struct worker_report {
    worker_ref worker;
    std::string pool;
    std::string address; // IP:port
    std::string availability_zone;
    std::vector<std::string> labels; // the kind, then the rack
    resources capacity;
    bool draining = false;
    time_ms drain_remaining{0}; // while draining, the least time left
    time_ms clock{0};           // steady clock of the worker
    std::uint64_t sequence = 0; // increases within one life
};

// A run that a worker lists as running.
struct running_task {
    task_id task;
    std::uint32_t run = 0;
    std::string checkpoint; // empty if none
    int percent = 0;        // of its work; 100 for a long-running task that is available
    std::int64_t load = 0;  // tail latency in ms if it serves users, else processor use
};

struct ended_task {
    std::uint64_t number = 0; // increases within one life of the worker
    task_id task;
    std::uint32_t run = 0;
    run_end how = run_end::failed;
    std::string checkpoint;
};

// Answer to a hold request.
struct worker_lists {
    time_ms clock{0};
    std::vector<running_task> running;
    std::vector<ended_task> ended;
};

enum class vm_state { up, moving, upkeep, down };

inline constexpr name_table<4> vm_state_names{"up", "moving", "upkeep", "down"};
constexpr const auto& names_of(vm_state) {
    return vm_state_names;
}

// A VM as listed by the platform, and the worker that it runs.
struct vm_report {
    std::string vm;
    std::string pool;
    vm_state state = vm_state::down;
    std::vector<std::string> labels;
    resources capacity;
    std::string worker; // worker id; empty if none
};

// A wave of maintenance (upkeep) ordered by operators: each VM goes down once, at most `max_down`
// at a time.
struct wave_order {
    std::uint64_t number = 0;
    std::vector<std::string> vms;
    time_ms duration{0};
    std::uint32_t max_down = 1;
};

} // namespace clementine::workload
