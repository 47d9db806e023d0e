// Random faults, submissions and cancellations around one run of the scheduler.
#pragma once

#include "support/scheduler_run.h"

#include <set>
#include <vector>

namespace clementine::scheduler {

class fault_schedule {
  public:
    // Maintenance is made due all the time, so that waves meet every kind of fault.
    fault_schedule(manifest::manifest value, std::uint64_t seed);

    void run_until(time_ms until);
    // Ends all faults and lets the work run out.
    void run_without_faults(time_ms length);
    scheduler_run& run() { return run_; }

  private:
    vm_id any_vm() { return static_cast<vm_id>(random_.below(run_.current().vms.size())); }
    void kill(vm_id id);
    void work();
    void break_things();
    void fail_rack(vm_id member);
    void fail_zone(vm_id member);
    void repair();

    random_source random_;
    double submit_chance_ = 0;
    scheduler_run run_;
    std::vector<job_id> jobs_;
    std::set<vm_id> down_;
    std::set<vm_id> cut_;
};

} // namespace clementine::scheduler
