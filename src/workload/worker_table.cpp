#include "workload/worker_table.h"

#include <algorithm>
#include <utility>

namespace clementine::workload {

namespace {

// Longer than a start can be carried out and its run last under any lease in use.
constexpr time_ms loose_start_retention{60'000};
constexpr int at_work_percent = 100;
constexpr int full_pace = 100;

} // namespace

bool live_run::is_unproven(time_ms now) const {
    const bool at_work = long_running && stage == run_stage::listed && percent >= at_work_percent;
    return !at_work && now - since < probation_interval;
}

time_ms live_run::active_without_progress(time_ms now) const {
    return listed_at - progress_at - throttled + (now - listed_at) * known_pace() / full_pace;
}

bool worker::awaits_probation_run(time_ms now) const {
    return health.on_probation && std::ranges::any_of(runs, [&](const auto& item) {
               return item.second.is_unproven(now);
           });
}

bool worker::lease_expired(time_ms now) const {
    if (now < inherited_lease_end)
        return false;
    if (lease_until == 0)
        return true;
    const auto elapsed = static_cast<double>(now - clock_seen_at) * min_clock_rate;
    return clock + static_cast<time_ms>(elapsed) > lease_until;
}

bool worker::next_life_lease_expired(time_ms now, time_ms granted_lease) const {
    return now >= inherited_lease_end && now - open_lease_at >= granted_lease;
}

// The known life refuses the start. Once it has shown after the last possible arrival that it goes
// on, no other life has taken the start.
bool worker::may_be_carried_out(const loose_start& start, time_ms now,
                                time_ms granted_lease) const {
    const auto last_arrival = start.sent_at + max_order_delay;
    return clock_seen_at < last_arrival + announcement_delay && now < last_arrival + granted_lease;
}

// A hold that acknowledges ends grants a lease as well.
time_ms worker::last_open_acknowledgement() const {
    return std::max({former_acknowledgement_at, unanswered_acknowledgement_at,
                     acknowledging ? open_lease_at : time_ms{0}});
}

bool worker::may_forget_ends(time_ms now) const {
    return former_acknowledgement_at != 0 && now - former_acknowledgement_at < max_order_delay;
}

time_ms worker::lease_to_grant(time_ms now) const {
    return clock + (now - clock_seen_at) + worker_lease;
}

live_run* worker::find(const task_id& task, std::uint32_t run) {
    const auto it = runs.find({task, run});
    return it == runs.end() ? nullptr : &it->second;
}

live_run& worker::add(live_run value) {
    used += value.need;
    run_key key{value.task, value.run};
    const auto [it, added] = runs.emplace(std::move(key), std::move(value));
    if (added && it->second.long_running) {
        ++long_running_runs;
        long_running_cpu += it->second.need.cpu;
    }
    return it->second;
}

void worker::remove(const run_key& key) {
    const auto it = runs.find(key);
    if (it == runs.end())
        return;
    const auto& run = it->second;
    used -= run.need;
    if (run.long_running) {
        --long_running_runs;
        long_running_cpu -= run.need.cpu;
    }
    // Whether an earlier leader's start arrived is not known. It counts against a cap like one of
    // this leader's without an answer.
    const bool may_arrive = run.inherited && !run.charge.workspace.empty();
    if (run.open_starts > 0 || may_arrive) {
        const auto sent_at =
            may_arrive ? std::max(run.last_start_at, run.since) : run.last_start_at;
        std::erase_if(loose_starts, [&](const loose_start& item) {
            return sent_at - item.sent_at > loose_start_retention;
        });
        loose_starts.push_back({run.task, run.run, sent_at, run.charge});
    }
    runs.erase(it);
}

workspace_charge charge_of(const job& owner, const step_spec& step) {
    return {owner.workspace, step.need};
}

resources occupied_resources(const step_spec& step) {
    auto out = step.need;
    if (step.best_effort)
        out.cpu = 0;
    return out;
}

} // namespace clementine::workload
