// Replicated state of the workload: configuration, jobs, runs, waves and the last holder of orders
// about each VM. Deterministic: the same commands give the same state on every replica.
#pragma once

#include "workload/types.h"

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <variant>
#include <vector>

namespace clementine::workload {

// Time for which the state of an ended job can be queried. The platform requires 120 s on its own
// clock; the rest allows for steps of the leader's wall clock.
inline constexpr time_ms ended_job_retention{180'000};

// Most jobs whose cancels are kept although they were not submitted: about 2 MB. They are kept as
// long as ended jobs.
inline constexpr std::size_t max_early_cancels = 20'000;

enum class job_state { queued, active, completed, failed, canceled };

inline constexpr name_table<5> job_state_names{"queued", "active", "completed", "failed",
                                               "canceled"};
constexpr const auto& names_of(job_state) {
    return job_state_names;
}

enum class task_phase : std::uint8_t { waiting, assigned, done };

struct task {
    task_phase phase = task_phase::waiting;
    std::uint32_t run = 0;      // number of the last start, 0 before the first
    std::uint32_t failures = 0; // number of runs that failed
    worker_ref worker;          // worker of the assigned run
    std::string address;     // address of that worker, so that a new leader can contact it at once
    std::uint64_t fence = 0; // term of the leader that assigned the run
    std::string checkpoint;  // to resume from; empty if none
};

struct step_progress {
    std::vector<task> tasks;
    std::uint32_t waiting = 0;
    std::uint32_t done = 0;
};

struct occurrence {
    std::vector<step_progress> steps;
    std::uint32_t steps_done = 0;
    bool done() const { return steps_done == steps.size(); }
};

struct job {
    std::string id;
    std::string queue;
    std::string pool;          // pool of the queue at acceptance; used if the queue was removed
    std::string workspace;     // empty if none
    std::uint64_t key_tag = 0; // of the access key that submitted it; 0 if none
    job_spec spec;             // empty once the job has ended and none of its tasks is assigned
    std::uint32_t attempts = 1;
    job_state state = job_state::queued;
    time_ms accepted_at{0};              // wall clock of the leader
    time_ms started_at{0};               // first start, on the leader's wall clock; 0 before that
    time_ms ended_at{0};                 // wall clock of the leader; 0 until ended
    std::vector<occurrence> occurrences; // empty when `spec` is
    std::uint32_t occurrences_done = 0;

    bool ended() const { return state >= job_state::completed; }
    bool long_running() const;
};

struct submit_job;
// The job that a submission adds to the table.
job make_job(const submit_job& op, time_ms accepted_at);

enum class upkeep_phase : std::uint8_t { due, ordered, done };

struct wave {
    wave_order order;
    time_ms accepted_at{0}; // wall clock of the leader
    std::map<std::string, upkeep_phase> vms;

    bool completed() const;
};

// The node that announced the last order about a VM.
struct vm_holder {
    std::string node;
    time_ms announced_at{0}; // wall clock of the leader that proposed the announcement
};

// Operations. Each names the outcome that its proposer wants; `apply` checks that it is still
// valid.
struct put_configuration {
    configuration value;
};
struct submit_job {
    std::string id;
    std::string queue;
    std::string pool;
    std::uint32_t attempts = 1;
    job_spec spec;
    std::string workspace{}; // empty if none
    std::uint64_t key_tag = 0;
};
// Also takes effect on a job that the same workspace submits later. Without effect on jobs of other
// workspaces.
struct cancel_job {
    std::string id;
    std::string workspace{}; // empty if none
};
// Assigns a waiting task to a worker; the start order is sent only after the commit.
struct start_run {
    task_id task;
    std::uint32_t run = 0;
    worker_ref worker;
    std::string address;
};
// The end of a run as listed by its worker.
struct end_run {
    task_id task;
    std::uint32_t run = 0;
    run_end how = run_end::failed;
    std::string checkpoint;
};
// The run is known to have stopped, and how it ended is unknown.
struct lose_run {
    task_id task;
    std::uint32_t run = 0;
    std::string checkpoint;
};
struct put_wave {
    wave_order order;
};
struct mark_upkeep {
    std::uint64_t wave = 0;
    std::string vm;
    upkeep_phase phase = upkeep_phase::due;
};
// Announces an order about a VM. The order is sent only after the commit, so that a later leader
// knows which VMs recently had another holder.
struct announce_vm_order {
    std::string vm;
    std::string node;
};

// Part of an encoded operation that exceeds a log entry. The parts of an operation are logged in
// order, with nothing between them; it takes effect with the last one.
struct operation_part {
    std::uint64_t offset = 0;
    bool last = false;
    std::string bytes;
};

using operation = std::variant<put_configuration, submit_job, cancel_job, start_run, end_run,
                               lose_run, put_wave, mark_upkeep, announce_vm_order, operation_part>;

// One log entry: operations applied in order.
struct command {
    time_ms proposed_at{0}; // wall clock of the leader
    std::vector<operation> operations;
};

std::string encode(const command& value);
// Encodes a command in parts, whose sizes add up to that of the command.
std::string encode_operation(const operation& value);
std::string encode_command(time_ms proposed_at, const std::vector<std::string_view>& operations);
inline constexpr std::size_t command_header_bytes = 12; // time and number of operations
// Divides an encoded operation into encoded parts of at most `max_bytes`. Returns it unchanged if
// it fits.
std::vector<std::string> split_operation(std::string encoded, std::size_t max_bytes);
std::optional<command> decode_command(std::string_view bytes);

class job_table {
  public:
    // Decodes the next log entry, of a term; nullopt if it is malformed. The last part of an
    // operation is replaced by the operation.
    std::optional<command> read_entry(std::string_view bytes, std::uint64_t term);
    // Applies one command of a term. Returns for each operation whether it took effect, which
    // includes one whose outcome already holds.
    std::vector<bool> apply(const command& value, std::uint64_t term);

    const configuration& config() const { return config_; }
    const std::map<std::string, job, std::less<>>& jobs() const { return jobs_; }
    const job* find_job(std::string_view id) const;
    // True if a job that the workspace has not submitted yet is cancelled.
    bool is_cancelled_early(const std::string& id, const std::string& workspace = {}) const {
        return early_cancels_.contains({id, workspace});
    }
    const task* find_task(const task_id& id) const;
    // Jobs that have not ended and ended jobs with assigned runs, by id.
    const std::map<std::string, const job*>& open_jobs() const { return open_; }
    const std::map<std::uint64_t, wave>& waves() const { return waves_; }
    const std::map<std::string, vm_holder>& vm_holders() const { return holders_; }

    std::string save() const;
    // Returns false and changes nothing if the bytes are not a saved state. Empty bytes reset the
    // table.
    bool load(std::string_view bytes);

  private:
    bool apply_operation(const put_configuration& op);
    bool apply_operation(const submit_job& op);
    bool apply_operation(const cancel_job& op);
    bool apply_operation(const start_run& op);
    bool apply_operation(const end_run& op);
    bool apply_operation(const lose_run& op);
    bool apply_operation(const put_wave& op);
    bool apply_operation(const mark_upkeep& op);
    bool apply_operation(const announce_vm_order& op);
    bool apply_operation(const operation_part& op);

    task* task_of(const task_id& id, job** owner);
    void finish_task(job& owner, const task_id& id);
    void finish_gang(job& owner, const task_id& id);
    static void save_checkpoint(job& owner, const task_id& id, const std::string& checkpoint);
    void release(job& owner, const task_id& id, task& item);
    void end_job(job& owner, job_state state);
    void close_if_idle(job& owner);
    void drop_expired();
    void keep_removed_workspaces(const configuration& former);
    void add_early_cancel(time_ms at, std::string id, std::string workspace);

    // Parts of an operation whose last part is not logged yet. Parts of another term belong to an
    // operation whose proposer lost its leadership.
    struct unfinished_operation {
        std::uint64_t term = 0;
        std::string bytes;
    };

    configuration config_;
    unfinished_operation unfinished_;
    void rebuild_index();

    std::map<std::string, job, std::less<>> jobs_;
    // Finds a job by its id. Points into `jobs_`, whose nodes never move. Load pattern: each start
    // and end of a run looks up its job several times.
    std::unordered_map<std::string_view, job*> index_;
    std::map<std::string, const job*> open_; // points into `jobs_`, whose nodes never move
    std::map<time_ms, std::vector<std::string>> ended_;       // ids by end time
    using early_cancel = std::pair<std::string, std::string>; // job and workspace
    std::set<early_cancel> early_cancels_;
    std::deque<std::pair<time_ms, early_cancel>> early_cancel_times_; // in the order of the log
    std::map<std::uint64_t, wave> waves_;
    std::map<std::string, vm_holder> holders_;
    time_ms now_{0};         // of the command being applied
    std::uint64_t term_ = 0; // of the command being applied
};

// Task of a job that `id` is about, or nullptr.
const task* find_task(const job& owner, const task_id& id);
// True if all steps that a step depends on are done.
bool dependencies_done(const job_spec& spec, const occurrence& in, std::size_t step);
// Number of occurrences of a job: `times`, or one if it is 0.
std::uint32_t occurrence_count(const job_spec& spec);

} // namespace clementine::workload
