// Drives one scheduler run with random faults, job submissions and cancellations.
#pragma once

#include "support/scheduler_run.h"

#include <set>
#include <vector>

namespace clementine::scheduler {

class fault_schedule {
  public:
    // Makes maintenance permanently due, so that waves coincide with every kind of fault.
    fault_schedule(manifest::manifest value, std::uint64_t seed);

    void run_until(time_ms until);
    // Ends all faults and lets the remaining jobs finish for the given duration.
    void run_without_faults(time_ms duration);
    scheduler_run& run() { return run_; }

  private:
    vm_id random_vm() { return static_cast<vm_id>(random_.below(run_.current().vms.size())); }
    void kill(vm_id id);
    void submit_and_cancel_jobs();
    void inject_faults();
    void fail_rack(vm_id member);
    void fail_zone(vm_id member);
    void repair_some();

    random_source random_;
    double submit_chance_ = 0;
    scheduler_run run_;
    std::vector<job_id> jobs_;
    std::set<vm_id> down_;
    std::set<vm_id> disconnected_;
};

} // namespace clementine::scheduler
