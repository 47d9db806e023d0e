// Fake of the platform in virtual time: VMs with skewed clocks, delayed reports, slow commands and
// faults. Detects violations from the tasks that it runs, independent of the scheduler's state.
#pragma once

#include "base/random.h"
#include "scheduler/platform.h"
#include "scheduler/state.h"

#include <deque>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace clementine::scheduler {

// Actual run time and resource use of a job, which may differ from what it declares.
struct job_behavior {
    time_ms run_time = 1'000;
    resources use;
    bool fails = false;
};

struct fake_platform_options {
    time_ms report_interval = 1'000;
    time_ms min_delay = 20; // of a report or command
    time_ms max_delay = 400;
    double loss = 0.01;               // probability that a report or command is lost
    time_ms min_startup_time = 5'000; // from assign_vm to a ready backend server
    time_ms max_startup_time = 6'000;
    time_ms min_drain_time = 1'000; // from drain_vm to the last response of a serving VM
    time_ms max_drain_time = 3'000;
    time_ms min_restart_time = 20'000;
    time_ms max_restart_time = 40'000;
};

// Number of violations that the fake platform detected, by kind.
struct fake_platform_violations {
    int concurrent_runs = 0;    // one job ran on two workers at the same time
    int repeated_runs = 0;      // an at-most-once job started a second time
    int runs_after_cancel = 0;  // a job ran after its cancellation was confirmed
    int budget_breaches = 0;    // a drain command left a pool below its availability budget
    int drained_while_busy = 0; // a VM with work on it was restarted or reassigned

    int total() const {
        return concurrent_runs + repeated_runs + runs_after_cancel + budget_breaches +
               drained_while_busy;
    }
    std::string text() const;
};

class fake_platform final : public platform {
  public:
    using job_oracle = std::function<job_behavior(job_id)>;

    fake_platform(const state& s, std::uint64_t seed, const fake_platform_options& options,
                  job_oracle oracle);

    void send(const command& payload, const fencing& number) override;
    std::vector<vm_report> poll() override;

    // Advances virtual time in steps of 100 ms and runs everything that is due.
    void advance(time_ms now);

    // Called after each step of 100 ms, for models of load on the fleet.
    std::function<void(time_ms)> on_step;

    // Fault injection.
    void kill(vm_id vm);    // power loss: all tasks are lost
    void restore(vm_id vm); // boots again
    void set_disconnected(vm_id vm, bool value);
    void set_faulty(vm_id vm, bool value) { vms_[vm].faulty = value; }
    void set_restart_fails(vm_id vm, bool value) { vms_[vm].restart_fails = value; }
    bool alive(vm_id vm) const { return vms_[vm].alive; }

    // Actual state of the VMs, for checks and for the request model.
    bool serving(vm_id vm) const;
    std::uint32_t serving_count(pool_id pool) const { return serving_[pool]; }
    // Reports that the cancellation was confirmed: the job must not run from now on.
    void cancel_answered(job_id job) { cancelled_.insert(job); }
    const fake_platform_violations& violations() const { return violations_; }
    int probes_run() const { return probes_run_; }

  private:
    struct task {
        job_id job = 0;
        std::uint32_t attempt = 0;
        task_phase phase = task_phase::running;
        double done_ms = 0;
        std::uint64_t checkpoint = 0;
        int throttle_percent = 100;
        job_behavior behavior;
    };
    struct vm {
        pool_id pool = no_pool;
        bool serve = true;
        bool alive = true;
        bool disconnected = false;
        bool faulty = false;
        bool restart_fails = false;
        double clock_rate = 1; // virtual ms per ms of the VM's clock
        std::uint64_t term = 0;
        std::uint64_t sequence = 0;
        std::uint64_t lease_epoch = 1;
        time_ms lease_until = 0;
        bool lease_valid = false;
        std::uint64_t assignment = 0;
        std::uint64_t drain = 0;
        std::uint64_t restart = 0;
        std::uint32_t probe = 0;
        time_ms ready_at = 0;
        time_ms drained_at = 0;
        time_ms restart_done_at = 0; // end of the current restart, 0 if there is none
        time_ms next_report = 0;
        bool reported_ready = false;
        bool reported_drained = false;
        time_ms last_arrival = 0; // of a command, to keep commands in order
        // Send times of reports by sequence number, for lease grants.
        std::map<std::uint64_t, time_ms> unanswered_reports;
        std::vector<task> tasks;
    };
    struct in_flight_command {
        time_ms at = 0;
        command payload;
        fencing number;
    };

    void deliver_commands(vm_id id);
    void execute(vm_id id, const command& payload);
    void advance_vm(vm_id id, time_ms step);
    void run_tasks(vm_id id, time_ms step);
    void report(vm_id id);
    void begin_drain(vm_id id, std::uint64_t request);
    void start_task(vm_id id, const dispatch_task& payload);
    void end_task(task& item, task_phase phase);
    void discard_tasks(vm_id id);
    void boot(vm_id id);
    void count_serving();
    bool drain_finished(const vm& v) const { return v.drain != 0 && now_ >= v.drained_at; }
    int requests_on(const vm& v) const;
    time_ms delay();

    std::vector<vm> vms_;
    std::vector<std::uint32_t> min_available_;
    std::vector<std::uint32_t> serving_;
    std::vector<std::deque<in_flight_command>> commands_;
    std::multimap<time_ms, vm_report> reports_;
    random_source random_;
    fake_platform_options options_;
    job_oracle oracle_;
    time_ms now_ = 0;
    fake_platform_violations violations_;
    std::set<std::pair<job_id, std::uint32_t>> attempts_started_;
    std::map<job_id, int> running_;
    std::map<job_id, int> starts_;
    std::set<job_id> at_most_once_;
    std::set<job_id> cancelled_;
    int probes_run_ = 0;

  public:
    // Marks a job whose second start is a violation.
    void expect_at_most_once(job_id job) { at_most_once_.insert(job); }
};

} // namespace clementine::scheduler
