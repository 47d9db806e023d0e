// The acting leader: collects reports, makes decisions and derives commands from the state.
#pragma once

#include "scheduler/jobs.h"
#include "scheduler/maintenance.h"
#include "scheduler/pools.h"

#include <string>
#include <vector>

namespace clementine::scheduler {

// A command and the log index of the decision behind it.
struct numbered_command {
    command payload;
    std::uint64_t index = 0;
};

// Not replicated: a new leader rebuilds this state from reports. `now` is monotonic over the life
// of an instance and close to wall-clock time, so that recorded times are meaningful elsewhere.
class leader {
  public:
    // `start` is the time from which the leader lease is held.
    leader(const state& s, time_ms start);

    void observe(const state& s, const vm_report& report, time_ms now);
    void observe(const pool_demand& demand, time_ms now);

    // Runs one decision round. The caller must commit and apply the result before the next call.
    std::vector<decision> decide(const state& s, time_ms now, int hour);

    // Commands for all differences between the applied state and the latest reports. They are
    // repeated until a report shows their effect.
    std::vector<numbered_command> commands(const state& s, time_ms now);

    // Explanations for operators.
    std::string explain_vm(const state& s, vm_id vm, time_ms now, int hour) const;
    std::string explain_pool(const state& s, pool_id pool) const;
    std::string explain_job(const state& s, job_id job) const;

    const observations& observed() const { return observed_; }
    const pool_planner& pools() const { return pools_; }
    // Approximate memory in use, without the replicated state.
    std::size_t bytes() const;

  private:
    void vm_commands(const state& s, vm_id vm, time_ms now, std::vector<numbered_command>& out);
    void task_commands(const state& s, vm_id vm, time_ms now, std::vector<numbered_command>& out);
    maintenance_input make_maintenance_input(const state& s, int hour) const;

    observations observed_;
    pool_planner pools_;
    job_planner jobs_;
    maintenance_planner maintenance_;
    std::vector<std::uint64_t> last_granted_report_; // by VM: last report answered
};

} // namespace clementine::scheduler
