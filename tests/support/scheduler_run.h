// Runs the scheduler's leader on the fake platform in virtual time, with leader crashes between or
// within batches of decisions. Checks invariants after each round.
#pragma once

#include "scheduler/leader.h"
#include "support/fake_platform.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace clementine::scheduler {

// Point at which the leader crashes next.
struct leader_crash {
    // Number of decisions of the batch that are committed; the rest is lost.
    std::size_t after_decisions = 0;
    // Only a batch with a decision of this name, such as "confirm-empty"; any batch if empty.
    std::string decision;
    time_ms outage = 3'000;
};

class scheduler_run {
  public:
    static constexpr time_ms round_interval{500};

    scheduler_run(const manifest::manifest& value, std::uint64_t seed,
                  const fake_platform_options& options = {}, fake_platform::job_oracle oracle = {});

    // Returns the demand of all pools at a time; called before each round.
    std::function<std::vector<pool_demand>(time_ms)> demand;

    // Runs one round: advances the platform, collects reports, decides, commits, sends commands.
    void step();
    void run_until(time_ms end);

    job_id submit(const submit_job& job);
    // Requests a cancellation; the platform learns it once the job has ended.
    void cancel(job_id job);
    void crash_leader(const leader_crash& crash) { crash_ = crash; }

    time_ms now() const { return now_; }
    state& current() { return state_; }
    fake_platform& platform() { return platform_; }
    // nullptr while there is no leader.
    const leader* current_leader() const { return leader_.get(); }
    // Hash chain over all applied decisions.
    std::uint64_t signature() const { return signature_; }
    // Number of applied decisions by name, such as "begin-move".
    int count(std::string_view name) const;
    std::uint64_t elections() const { return term_; }
    // Number of VMs of a pool that take requests.
    std::uint32_t serving(pool_id pool) const { return platform_.serving_count(pool); }

  private:
    void commit(const decision& entry);
    void collect_reports();
    bool decide_and_commit();
    void check_invariants();

    state state_;
    fake_platform platform_;
    std::unique_ptr<leader> leader_;
    std::optional<leader_crash> crash_;
    time_ms now_ = 0;
    time_ms elect_at_ = 0;
    std::uint64_t term_ = 0;
    std::uint64_t index_ = 1;
    std::uint64_t signature_ = 0;
    std::map<std::string, int, std::less<>> counts_;
    std::vector<job_id> cancelling_;
};

// Returns the first word, such as "begin-move" of "begin-move vm=3 to=1".
std::string_view decision_name(std::string_view text);

} // namespace clementine::scheduler
