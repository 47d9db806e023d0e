// Runs the scheduler's leader on the fake platform in virtual time, with leader crashes between and
// within batches of decisions, and checks invariants after each round.
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

// Where the next leader crash happens.
struct leader_crash {
    // Crash once this many decisions of a batch are committed; the rest is lost.
    std::size_t after_decisions = 0;
    // Only batches with a decision of this name count, such as "confirm-empty"; any if empty.
    std::string decision;
    time_ms outage = 3'000;
};

class scheduler_run {
  public:
    static constexpr time_ms round_interval{500};

    scheduler_run(const manifest::manifest& value, std::uint64_t seed,
                  const fake_platform_options& options = {}, fake_platform::job_oracle oracle = {});

    // Demand of all pools at a time; called before each round.
    std::function<std::vector<pool_demand>(time_ms)> demand;

    // One round: platform, reports, decisions, commit, commands.
    void step();
    void run_until(time_ms end);

    job_id submit(const submit_job& job);
    // Requests a cancellation; the fake is told once the answer is final.
    void cancel(job_id job);
    void crash_leader(const leader_crash& crash) { crash_ = crash; }

    time_ms now() const { return now_; }
    state& current() { return state_; }
    fake_platform& platform() { return platform_; }
    // nullptr while there is no leader.
    const leader* acting() const { return leader_.get(); }
    // Chain of hashes over all applied decisions.
    std::uint64_t signature() const { return signature_; }
    // Number of applied decisions by name, such as "begin-move".
    int count(std::string_view name) const;
    std::uint64_t elections() const { return term_; }
    // Number of VMs of a pool that take requests.
    std::uint32_t serving(pool_id pool) const { return platform_.serving_in(pool); }

  private:
    void commit(const decision& entry);
    void observe();
    bool act();
    void check();

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

// "begin-move" for "begin-move vm=3 to=1".
std::string_view decision_name(std::string_view text);

} // namespace clementine::scheduler
