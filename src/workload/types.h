// Plain data of jobs that run as tasks on leased workers: what callers submit, what operators
// configure, and what workers and the platform report.
#pragma once

#include "base/clock.h"
#include "base/names.h"

#include <compare>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace clementine::workload {

// Processor in thousandths of a core, memory in MiB, accelerators in pieces.
struct resources {
    std::int64_t cpu = 0;
    std::int64_t memory = 0;
    std::int64_t accelerators = 0;

    resources& operator+=(const resources& other);
    resources& operator-=(const resources& other);
    // True if `other` fits in what is left here.
    bool can_fit(const resources& other) const;
    bool operator==(const resources&) const = default;
};

resources operator+(resources left, const resources& right);
resources operator-(resources left, const resources& right);

// One step of a job: `count` equal tasks that start once all tasks of earlier steps are done.
struct step_spec {
    std::uint32_t count = 0;
    resources need; // of one task
    time_ms estimate{0};
    std::vector<std::uint32_t> depends_on; // earlier steps
    bool checkpointing = false;
    bool gang = false;     // all tasks of one run work together and end together
    bool colocate = false; // slower if spread over racks
    std::string required_label;
    std::string data_rack;            // faster there
    std::uint32_t max_per_worker = 0; // 0: no limit
    bool speculative = false;         // copies may run in parallel
    bool long_running = false;        // runs until the job is cancelled
    std::string image;
    time_ms target_tail_latency{0}; // response time to stay below, of tasks with users of their own
    bool best_effort = false;       // uses spare processor time: `need.cpu` is not counted
    std::uint32_t max_unavailable = 0; // tasks that may be unavailable at once by our own actions

    bool operator==(const step_spec&) const = default;
};

// A job as submitted. With `times` of 0 it runs once and at once; otherwise occurrence K is due at
// `start_at` + K x `interval` of wall-clock time.
struct job_spec {
    std::string payload; // handed to each task unchanged
    std::vector<step_spec> steps;
    std::uint32_t times = 0;
    time_ms start_at{0};
    time_ms interval{0};

    bool operator==(const job_spec&) const = default;
};

// A queue of jobs, selected by host and longest path prefix.
struct queue_config {
    std::string name;
    std::string host;
    std::string prefix;
    std::string pool; // whose workers run its tasks
    time_ms timeout{0};
    time_ms target_latency{0};
    std::int64_t priority = 0; // 0 goes first
    std::uint32_t attempts = 1;
    double stretch = 1.0; // allowed ratio of a job's time to its longest chain of work
    bool needs_placement_advice = false; // only workers named by the advice service may be used
    time_ms advice_call_time{0};         // time of the service for one call
    time_ms advice_time_per_worker{0};   // and for each worker named in it
};

// A pool of workers that serve the queues of one service.
struct pool_config {
    std::string name;
    bool rejects_overload = false; // its workers refuse what does not fit
    bool standby = false;          // its VMs are switched off
};

// The operators' configuration in force. `document` is what they sent, returned unchanged.
struct configuration {
    std::uint64_t version = 0;
    std::vector<queue_config> queues;
    std::vector<pool_config> pools;
    std::string document;

    // Renews the index; call it after a change of `queues`.
    void index();
    const queue_config* find_queue(const std::string& name) const;
    // Queue for a request: the host's longest prefix that the path begins with, or nullptr.
    const queue_config* route(std::string_view host, std::string_view path) const;

  private:
    std::unordered_map<std::string, std::size_t> by_name_;
};

// Name of one task: member `index` of a step of occurrence `occurrence` of a job.
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
    std::int64_t started_at = 0; // ms since 1970, from the worker

    auto operator<=>(const worker_ref&) const = default; // NOLINT(modernize-use-nullptr)
};

// How a run ended, from the worker's list.
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
    std::uint64_t sequence = 0; // rises within one life
};

// A run on a worker, from its list.
struct running_task {
    task_id task;
    std::uint32_t run = 0;
    std::string checkpoint; // empty: none
    int percent = 0;        // of its work; 100 for a lasting task that is at work
    std::int64_t load = 0;  // tail in ms for tasks with users, processor use for others
};

struct ended_task {
    std::uint64_t number = 0; // rises within one life of the worker
    task_id task;
    std::uint32_t run = 0;
    run_end how = run_end::failed;
    std::string checkpoint;
};

// Answer to a request for a worker's lists.
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

// A VM of the platform and the worker that it runs now.
struct vm_report {
    std::string vm;
    std::string pool;
    vm_state state = vm_state::down;
    std::vector<std::string> labels;
    resources capacity;
    std::string worker; // id, empty if none
};

// A wave of upkeep that operators ordered: each VM goes down once, at most `cap` at a time.
struct wave_order {
    std::uint64_t number = 0;
    std::vector<std::string> vms;
    time_ms duration{0};
    std::uint32_t max_down = 1;
};

} // namespace clementine::workload
