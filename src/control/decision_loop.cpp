#include "control/decision_loop.h"

#include "base/log.h"
#include "manifest/manifest.h"
#include "scheduler/codec.h"

#include <algorithm>
#include <ctime>

namespace clementine::control {

namespace {

// Maintenance windows are in the local time of the controlds.
int local_hour(time_ms wall) {
    const std::time_t seconds = wall / 1000;
    std::tm parts{};
    localtime_r(&seconds, &parts);
    return parts.tm_hour;
}

constexpr std::string_view not_leading = "not known yet: this controld has just begun to lead";

} // namespace

decision_loop::decision_loop(replica_host& host, scheduler::platform& platform,
                             const clock_source& clock, demand_source demand)
    : host_(host), platform_(platform), clock_(clock), demand_(std::move(demand)),
      wall_offset_(wall_clock_ms() - clock.now()) {}

void decision_loop::tick() {
    // The read is answered under the leader lease only, so a replica that lost it does not act.
    host_.read([this](const store::state* state, host_refusal) {
        if (state == nullptr)
            leader_.reset();
        else if (follow(*state))
            round(*state);
    });
}

// Brings the planner in line with the term and the manifest. False if there is nothing to run.
bool decision_loop::follow(const store::state& state) {
    if (!state.fleet)
        return false;
    const auto term = host_.status().term;
    if (!leader_ || term != term_ || state.manifest.version != version_) {
        // Observations are dropped as well; reports bring them back within seconds.
        leader_.emplace(*state.fleet, now());
        committing_ = committing_ && term == term_;
        term_ = term;
        version_ = state.manifest.version;
        pool_of_service_.clear();
        const auto parsed = manifest::parse_manifest(state.manifest.text);
        for (const auto& service : parsed.value.services)
            pool_of_service_[service.name] = service.pool;
    }
    return true;
}

void decision_loop::round(const store::state& state) {
    const auto& fleet = *state.fleet;
    const auto time = now();
    ++counters_.rounds;
    observe(state, time);
    observe_demand(fleet, time);
    for (const auto& item : leader_->commands(fleet, time)) {
        platform_.send(item.payload, {term_, item.index});
        ++counters_.commands;
    }
    if (committing_)
        return;
    auto decisions = leader_->decide(fleet, time, local_hour(time));
    if (!decisions.empty())
        commit(std::move(decisions));
}

void decision_loop::observe(const store::state& state, time_ms now) {
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

void decision_loop::commit(std::vector<scheduler::decision> decisions) {
    store::apply_decisions entry;
    entry.leader_time = wall_clock_ms();
    for (const auto& item : decisions) {
        log_event(log_level::info, "decision")
            .field("term", term_)
            .field("action", scheduler::format_action(item.what))
            .field("reason", item.reason);
        entry.decisions.push_back(scheduler::encode_decision(item));
    }
    counters_.decisions += decisions.size();
    committing_ = true;
    host_.propose(std::move(entry), [this](const propose_outcome& outcome) {
        committing_ = false;
        if (const auto* reason = std::get_if<host_refusal>(&outcome))
            log_event(log_level::warning, "decisions_not_committed")
                .field("reason", to_name(*reason));
    });
}

std::string decision_loop::explain_vm(const store::state& state, scheduler::vm_id vm) const {
    if (!leader_)
        return std::string(not_leading);
    return leader_->explain_vm(*state.fleet, vm, now(), local_hour(now()));
}

std::string decision_loop::explain_pool(const store::state& state, scheduler::pool_id pool) const {
    return leader_ ? leader_->explain_pool(*state.fleet, pool) : std::string(not_leading);
}

std::string decision_loop::explain_job(const store::state& state, scheduler::job_id job) const {
    return leader_ ? leader_->explain_job(*state.fleet, job) : std::string(not_leading);
}

} // namespace clementine::control
