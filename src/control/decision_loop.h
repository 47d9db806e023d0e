// Runs the scheduler while this replica leads: collects reports, proposes decisions to the
// replicated log and sends commands to the platform.
#pragma once

#include "base/clock.h"
#include "control/replica_host.h"
#include "routing/types.h"
#include "scheduler/leader.h"
#include "scheduler/platform.h"

#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace clementine::control {

// Time between two rounds. Urgent jobs must start within 7.4 s, and a start takes a few rounds.
inline constexpr time_ms decision_interval{500};

// Counters for the metrics; may be read from any thread.
struct decision_counters {
    std::atomic<std::uint64_t> rounds{0};
    std::atomic<std::uint64_t> decisions{0};
    std::atomic<std::uint64_t> commands{0};
};

// Encodes the first decisions of a round, at least one and at most about `max_bytes` of them, as
// one command. The next round makes the others again.
store::apply_decisions first_decisions(const std::vector<scheduler::decision>& decisions,
                                       std::size_t max_bytes);

class decision_loop {
  public:
    // Returns the last reported demand of each service, summed over all entryds.
    using demand_source = std::function<std::vector<routing::service_demand>()>;

    // All referenced objects must outlive the host's thread.
    decision_loop(replica_host& host, scheduler::platform& platform, const clock_source& clock,
                  demand_source demand);
    decision_loop(const decision_loop&) = delete;
    decision_loop& operator=(const decision_loop&) = delete;

    // Requests one round. It runs on the host's thread if this replica holds the lease.
    void start_round();

    // Explanations for operators. Must run on the host's thread, during a read of `state`.
    std::string explain_vm(const store::state& state, scheduler::vm_id vm) const;
    std::string explain_pool(const store::state& state, scheduler::pool_id pool) const;
    std::string explain_job(const store::state& state, scheduler::job_id job) const;

    const decision_counters& counters() const { return counters_; }

  private:
    void run_round(const store::state& state);
    bool update_leader(const store::state& state);
    void observe_vms(const store::state& state, time_ms now);
    void observe_demand(const scheduler::state& fleet, time_ms now);
    void propose(std::vector<scheduler::decision> decisions);
    time_ms now() const { return clock_.now() + wall_offset_; }

    replica_host& host_;
    scheduler::platform& platform_;
    const clock_source& clock_;
    const demand_source demand_;
    const time_ms wall_offset_; // converts clock_ to approximate wall clock time

    // The members below are used on the host's thread only.
    std::optional<scheduler::leader> leader_;
    consensus::term_t term_ = 0;
    std::uint64_t manifest_version_ = 0; // manifest version that leader_ was created for
    std::map<std::string, std::string> pool_of_service_;
    bool proposal_pending_ = false; // proposed decisions are not applied yet
    decision_counters counters_;
};

} // namespace clementine::control
