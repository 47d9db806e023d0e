#include "control/decision_loop.h"

#include "base/log.h"
#include "manifest/manifest.h"
#include "scheduler/codec.h"

#include <algorithm>
#include <ctime>

namespace clementine::control {

namespace {

// Hour of the day in the local time zone of the controlds, which maintenance windows refer to.
int local_hour(time_ms wall_time) {
    const std::time_t seconds = wall_time / 1000;
    std::tm local{};
    localtime_r(&seconds, &local);
    return local.tm_hour;
}

// Limit on the decisions of one command; a large one would delay heartbeats.
constexpr std::size_t max_round_bytes = consensus::max_entry_bytes / 2;

constexpr std::string_view not_leading_reason =
    "not available yet: this controld has just become the leader";

} // namespace

store::apply_decisions first_decisions(const std::vector<scheduler::decision>& decisions,
                                       std::size_t max_bytes) {
    store::apply_decisions out;
    std::size_t bytes = 0;
    for (const auto& item : decisions) {
        auto encoded = scheduler::encode_decision(item);
        bytes += encoded.size();
        if (bytes > max_bytes && !out.decisions.empty())
            break;
        out.decisions.push_back(std::move(encoded));
    }
    return out;
}

decision_loop::decision_loop(replica_host& host, scheduler::platform& platform,
                             const clock_source& clock, demand_source demand)
    : host_(host), platform_(platform), clock_(clock), demand_(std::move(demand)),
      wall_offset_(wall_clock_ms() - clock.now()) {}

void decision_loop::start_round() {
    // Reads succeed only under the leader lease, so a replica that lost it takes no action.
    host_.read([this](const store::state* state, host_refusal) {
        if (state == nullptr)
            leader_.reset();
        else if (update_leader(*state))
            run_round(*state);
    });
}

// Recreates the scheduler if the term or the manifest changed. False if there is no fleet yet.
bool decision_loop::update_leader(const store::state& state) {
    if (!state.fleet)
        return false;
    const auto term = host_.status().term;
    if (!leader_ || term != term_ || state.manifest.version != manifest_version_) {
        // This drops observations too; new reports restore them within seconds.
        leader_.emplace(*state.fleet, now());
        proposal_pending_ = proposal_pending_ && term == term_;
        term_ = term;
        manifest_version_ = state.manifest.version;
        pool_of_service_.clear();
        const auto parsed = manifest::parse_manifest(state.manifest.text);
        for (const auto& service : parsed.value.services)
            pool_of_service_[service.name] = service.pool;
    }
    return true;
}

void decision_loop::run_round(const store::state& state) {
    const auto& fleet = *state.fleet;
    const auto round_time = now();
    ++counters_.rounds;
    observe_vms(state, round_time);
    observe_demand(fleet, round_time);
    for (const auto& item : leader_->commands(fleet, round_time)) {
        platform_.send(item.payload, {term_, item.index});
        ++counters_.commands;
    }
    if (proposal_pending_)
        return;
    auto decisions = leader_->decide(fleet, round_time, local_hour(round_time));
    if (!decisions.empty())
        propose(std::move(decisions));
}

void decision_loop::observe_vms(const store::state& state, time_ms now) {
    for (const auto& report : platform_.poll()) {
        if (report.vm < state.fleet->vms.size())
            leader_->observe(*state.fleet, report, now);
    }
}

void decision_loop::observe_demand(const scheduler::state& fleet, time_ms now) {
    std::map<std::string, scheduler::pool_demand> by_pool;
    for (const auto& item : demand_()) {
        const auto pool = pool_of_service_.find(item.service);
        if (pool == pool_of_service_.end())
            continue;
        auto& sum = by_pool[pool->second];
        sum.busy += item.in_use;
        sum.queued += item.queued;
    }
    for (scheduler::pool_id id = 0; id < fleet.pools.size(); ++id) {
        const auto it = by_pool.find(fleet.pools[id].name);
        if (it == by_pool.end())
            continue;
        it->second.pool = id;
        leader_->observe(it->second, now);
    }
}

void decision_loop::propose(std::vector<scheduler::decision> decisions) {
    auto entry = first_decisions(decisions, max_round_bytes);
    entry.leader_time = wall_clock_ms();
    decisions.resize(entry.decisions.size());
    for (const auto& item : decisions) {
        log_event(log_level::info, "decision")
            .field("term", term_)
            .field("action", scheduler::format_action(item.what))
            .field("reason", item.reason);
    }
    counters_.decisions += decisions.size();
    proposal_pending_ = true;
    host_.propose(std::move(entry), [this](const propose_outcome& outcome) {
        proposal_pending_ = false;
        if (const auto* reason = std::get_if<host_refusal>(&outcome))
            log_event(log_level::warning, "decisions_not_committed")
                .field("reason", to_name(*reason));
    });
}

std::string decision_loop::explain_vm(const store::state& state, scheduler::vm_id vm) const {
    if (!leader_)
        return std::string(not_leading_reason);
    return leader_->explain_vm(*state.fleet, vm, now(), local_hour(now()));
}

std::string decision_loop::explain_pool(const store::state& state, scheduler::pool_id pool) const {
    return leader_ ? leader_->explain_pool(*state.fleet, pool) : std::string(not_leading_reason);
}

std::string decision_loop::explain_job(const store::state& state, scheduler::job_id job) const {
    return leader_ ? leader_->explain_job(*state.fleet, job) : std::string(not_leading_reason);
}

} // namespace clementine::control
