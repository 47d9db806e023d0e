// One leader's view: collects reports, decides, and derives the commands that the state calls for.
#pragma once

#include "scheduler/jobs.h"
#include "scheduler/maintenance.h"
#include "scheduler/pools.h"

#include <string>
#include <vector>

namespace clementine::scheduler {

// A command with the log index of the decision that it carries out.
struct numbered_command {
    command payload;
    std::uint64_t index = 0;
};

// Everything in here is rebuilt from reports after a change of leader. `now` is one monotonic clock
// during the life of an instance, close to the wall clock so that records make sense to others.
class leader {
  public:
    // `start` is the moment from which the leader lease is held.
    leader(const state& s, time_ms start);

    void observe(const state& s, const vm_report& report, time_ms now);
    void observe(const pool_demand& demand, time_ms now);

    // One round. The caller commits the decisions, applies them, and only then calls this again.
    std::vector<decision> decide(const state& s, time_ms now, int hour);

    // Commands that are outstanding: what the applied state wants and the reports do not show yet.
    // They repeat until a report shows their effect.
    std::vector<numbered_command> commands(const state& s, time_ms now);

    // Plain-language reasons for operators.
    std::string explain_vm(const state& s, vm_id vm, time_ms now, int hour) const;
    std::string explain_pool(const state& s, pool_id pool) const;
    std::string explain_job(const state& s, job_id job) const;

    const observations& seen() const { return seen_; }
    const pool_planner& pools() const { return pools_; }
    // Approximate memory in use besides the replicated state.
    std::size_t bytes() const;

  private:
    void vm_commands(const state& s, vm_id vm, time_ms now, std::vector<numbered_command>& out);
    void task_commands(const state& s, vm_id vm, time_ms now, std::vector<numbered_command>& out);
    maintenance_input input(const state& s, int hour) const;

    observations seen_;
    pool_planner pools_;
    job_planner jobs_;
    maintenance_planner maintenance_;
    std::vector<std::uint64_t> granted_report_; // by VM: report that the last grant answered
};

} // namespace clementine::scheduler
