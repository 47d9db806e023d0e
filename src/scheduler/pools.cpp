#include "scheduler/pools.h"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace clementine::scheduler {

namespace {

// VM time lost per round trip of a lent VM, for draining and starting in both directions.
constexpr double lend_cycle_ms = 12'000;
// Cost of a missing VM relative to an idle one at equal weights. It is higher because one missing
// VM delays requests of the whole pool.
constexpr double lateness_factor = 4;
// Cost ratio by which an alternative must be cheaper to be chosen.
constexpr double choice_hysteresis = 1.1;
// Estimates used until surges and moves have been observed.
constexpr double initial_gap_ms = 40'000;
constexpr double initial_surge_length_ms = 10'000;
constexpr time_ms initial_open_move_time{7'000};
constexpr time_ms initial_serving_move_time{10'000};
// Longer times are treated as failures and not measured.
constexpr time_ms max_move_time{20'000};
// Share of past moves that complete within the lead time.
constexpr double lead_time_quantile = 0.95;
// One decision round. The measured move times already include the delay of reports.
constexpr time_ms lead_time_margin{500};
constexpr time_ms min_shortage_delay{5'000};
constexpr time_ms min_surplus_delay{1'000};
constexpr std::uint32_t expected_losses = 1;

// True if the VM runs a job that cannot be checkpointed.
bool runs_at_most_once(const state& s, vm_id vm) {
    const auto& tasks = s.tasks[vm];
    return std::ranges::any_of(
        tasks, [&](job_id id) { return s.jobs.at(id).request.kind == job_kind::at_most_once; });
}

bool would_be_lent(const state& s, vm_id vm, pool_id to, bool serve) {
    return s.vms[vm].home != to || !serve;
}

} // namespace

pool_policy make_policy(const manifest::objective& weights, double gap_ms, double surge_length_ms,
                        bool rotates) {
    const double stay_cost = weights.buffer_cost * gap_ms;
    const double cycle_cost = (2 * weights.moves + weights.buffer_cost) * lend_cycle_ms;
    const double missing_cost = weights.lateness * lateness_factor * surge_length_ms;
    pool_policy policy;
    const double switch_factor = rotates ? choice_hysteresis : 1 / choice_hysteresis;
    // Rotation replaces idle VMs up to the pool's home size and missing VMs beyond it. A surge
    // needs about as many of each, hence the mean of both costs.
    policy.rotate = cycle_cost < switch_factor * (stay_cost + missing_cost) / 2;
    // Ski-rental rule: waiting until lateness has cost as much as the moves would costs at most
    // twice the optimum for a known duration of the shortage.
    const double move_cost = 2 * weights.moves * lend_cycle_ms;
    const double lateness_cost_rate = std::max(weights.lateness * lateness_factor, 0.01);
    policy.shortage_delay =
        std::max(min_shortage_delay, static_cast<time_ms>(move_cost / lateness_cost_rate));
    const double idle_cost_rate = std::max(weights.buffer_cost, 0.01);
    // In a rotation the next forecast surge uses the surplus, so it is released after a short wait.
    policy.surplus_delay =
        policy.rotate
            ? min_surplus_delay
            : std::max(min_surplus_delay, static_cast<time_ms>(move_cost / idle_cost_rate));
    // Newsvendor rule: cost of early VMs over the cost of early plus late ones.
    policy.late_share = weights.buffer_cost / (weights.buffer_cost + 10 * lateness_cost_rate);
    return policy;
}

// Inputs and outputs of one decision round.
struct pool_planner::round {
    const state& s;
    fleet_view& view;
    const observations& observed;
    time_ms now;
    std::vector<decision>& out;

    void add(action what, std::string reason) { out.push_back({what, std::move(reason), now}); }
};

pool_planner::pool_planner(const state& s) : sequence_(s.pools.size()), targets_(s.pools.size()) {
    for (const auto& pool : s.pools)
        models_.emplace_back(static_cast<double>(pool.size) * slots_per_vm);
}

void pool_planner::observe(const pool_demand& demand, time_ms now) {
    if (demand.pool >= models_.size())
        return;
    if (models_[demand.pool].observe(demand, now) == surge_event::started)
        sequence_.record_start(demand.pool, now);
}

void pool_planner::decide(const state& s, fleet_view& view, const observations& observed,
                          time_ms now, std::vector<decision>& out) {
    round r{s, view, observed, now, out};
    advance_moves(r);
    measure_moves(view, now);
    update_policy(s);
    update_targets(s, view, now);
    std::vector<pool_id> order(s.pools.size());
    for (std::size_t i = 0; i < order.size(); ++i)
        order[i] = static_cast<pool_id>(i);
    // Current surges first, then forecast ones by time, then sustained shortages, then home sizes.
    std::ranges::stable_sort(order, [&](pool_id a, pool_id b) {
        const auto& x = targets_[a];
        const auto& y = targets_[b];
        return std::pair(x.reason, x.needed_at) < std::pair(y.reason, y.needed_at);
    });
    for (const auto pool : order)
        fill_shortage(r, pool);
    for (const auto pool : order)
        release_surplus(r, pool);
    update_buffer(r);
}

// Advances each move in progress by one step where the reports permit it.
void pool_planner::advance_moves(round& r) {
    for (const auto id : r.view.moving()) {
        const auto& vm = r.s.vms[id];
        if (vm.activity == vm_activity::empty_confirmed) {
            r.add(reassign_vm{id, vm.pool, vm.move_to}, vm.reason);
            continue;
        }
        if (!r.view.up(id) && r.observed.lease_expired(id, r.now)) {
            // Without reports it is unknown whether requests still run on the VM.
            r.add(cancel_move{id}, "VM lost while draining; it stays in its pool as failed");
            continue;
        }
        const auto& report = r.observed.report(id);
        const bool drained = r.view.up(id) && report.drain == vm.activity_index;
        if (!drained || report.requests != 0 || !report.tasks.empty() || !r.s.tasks[id].empty())
            continue;
        // Two log entries in one batch. If only the first is committed, the next leader continues.
        r.add(confirm_empty{id}, vm.reason);
        r.add(reassign_vm{id, vm.pool, vm.move_to}, vm.reason);
    }
}

// Measures the time from the start of a move until the VM serves.
void pool_planner::measure_moves(const fleet_view& view, time_ms now) {
    std::erase_if(pending_moves_, [&](const auto& item) {
        const auto& [id, move] = item;
        if (!view.serving(id))
            return false;
        // The time of a VM that failed during its move does not predict later moves.
        const auto move_time = now - move.at;
        if (move_time <= max_move_time)
            (move.open ? open_moves_ : serving_moves_).add(static_cast<double>(move_time));
        return true;
    });
}

void pool_planner::update_policy(const state& s) {
    double gap_sum = 0;
    double surge_length_sum = 0;
    int model_count = 0;
    for (const auto& model : models_) {
        if (model.mean_gap() <= 0)
            continue;
        gap_sum += model.mean_gap();
        surge_length_sum += model.mean_surge_length();
        ++model_count;
    }
    if (model_count == 0)
        policy_ = make_policy(s.weights, initial_gap_ms, initial_surge_length_ms, policy_.rotate);
    else
        policy_ = make_policy(s.weights, gap_sum / model_count, surge_length_sum / model_count,
                              policy_.rotate);
}

time_ms pool_planner::lead_time(bool open) const {
    const auto& times = open ? open_moves_ : serving_moves_;
    const auto guess = open ? initial_open_move_time : initial_serving_move_time;
    return (times.empty() ? guess : static_cast<time_ms>(times.quantile(lead_time_quantile))) +
           lead_time_margin;
}

// True if VMs moved now would arrive after the expected end of this surge. A surge that lasts
// clearly longer than usual has no expected end.
bool pool_planner::ends_soon(const demand_model& model, time_ms now) const {
    constexpr double unusual_length_factor = 1.5;
    const auto elapsed = static_cast<double>(now - model.surge_since());
    return elapsed < unusual_length_factor * model.mean_surge_length() &&
           elapsed + static_cast<double>(lead_time(true)) > model.mean_surge_length();
}

void pool_planner::set_target(const state& s, pool_id pool, time_ms now) {
    auto& target = targets_[pool];
    const auto& record = s.pools[pool];
    const auto& model = models_[pool];
    const auto min_vms = record.min_available + expected_losses;
    const auto surge_vms = std::max(vms_for_demand(model.surge_level()), min_vms);
    target.reason = target_reason::home;
    target.needed_at = 0;
    target.predictable = policy_.rotate && sequence_.predictable(pool);
    target.vms = std::max(record.size, min_vms);
    if (target.predictable && !model.in_surge())
        target.vms = std::max(min_vms, vms_for_demand(model.base_level()));
    if (!model.in_surge())
        return;
    if (target.predictable) {
        target.vms = surge_vms;
        target.reason = target_reason::surge;
    }
    const auto needed_vms = std::max(surge_vms, vms_for_demand(model.required_slots()));
    const bool shortage_lasts =
        model.queueing_since() != 0 && now - model.queueing_since() >= policy_.shortage_delay;
    if (shortage_lasts && needed_vms > target.vms && !ends_soon(model, now)) {
        target.vms = needed_vms;
        target.reason = target_reason::sustained;
    }
}

void pool_planner::update_targets(const state& s, const fleet_view& view, time_ms now) {
    for (std::size_t i = 0; i < targets_.size(); ++i)
        set_target(s, static_cast<pool_id>(i), now);
    if (policy_.rotate) {
        const auto horizon = now + lead_time(false);
        for (const auto& next : sequence_.forecast(now, horizon, policy_.late_share)) {
            auto& target = targets_[next.pool];
            const auto vms = std::max(vms_for_demand(models_[next.pool].surge_level()),
                                      s.pools[next.pool].min_available + expected_losses);
            if (target.reason == target_reason::surge || vms <= target.vms)
                continue;
            target.vms = vms;
            target.reason = target_reason::forecast;
            target.needed_at = next.earliest_start;
        }
    }
    for (std::size_t i = 0; i < targets_.size(); ++i) {
        auto& target = targets_[i];
        const auto pool = static_cast<pool_id>(i);
        if (missing_vms(view, pool) == 0)
            target.missing_since = 0;
        else if (target.missing_since == 0)
            target.missing_since = now;
        if (surplus_vms(view, pool) == 0)
            target.surplus_since = 0;
        else if (target.surplus_since == 0)
            target.surplus_since = now;
    }
}

std::uint32_t pool_planner::missing_vms(const fleet_view& view, pool_id pool) const {
    const auto& v = view.pool(pool);
    auto supply = v.serving + v.starting + v.incoming;
    // A VM in maintenance returns before a lent replacement would pay off.
    if (targets_[pool].reason == target_reason::home)
        supply += v.in_maintenance;
    return targets_[pool].vms > supply ? targets_[pool].vms - supply : 0;
}

// Serving VMs beyond the target, not counting those still on the way.
std::uint32_t pool_planner::surplus_vms(const fleet_view& view, pool_id pool) const {
    const auto serving = view.pool(pool).serving;
    return serving > targets_[pool].vms ? serving - targets_[pool].vms : 0;
}

std::string pool_planner::reason_for(const state& s, pool_id pool) const {
    const auto& target = targets_[pool];
    const auto& name = s.pools[pool].name;
    const auto vms = std::to_string(target.vms) + " VMs";
    switch (target.reason) {
    case target_reason::surge:
        return "pool " + name + " is in a surge that needs " + vms;
    case target_reason::forecast:
        return "pool " + name + " is next in the order of surges and needs " + vms;
    case target_reason::sustained:
        return "requests of pool " + name + " have waited for " +
               std::to_string(policy_.shortage_delay) + " ms; it needs " + vms;
    case target_reason::home:
        break;
    }
    return target.predictable ? "pool " + name + " is between surges and keeps " + vms
                              : "pool " + name + " returns to its size of " + vms;
}

bool pool_planner::start_move(round& r, vm_id vm, pool_id to, bool serve,
                              const std::string& reason) {
    const auto& record = r.s.vms[vm];
    const bool lent_now = record.pool != record.home || record.open;
    auto& home = r.view.pool(record.home);
    if (would_be_lent(r.s, vm, to, serve) && !lent_now) {
        if (home.lent >= r.s.pools[record.home].max_lent)
            return false;
        ++home.lent;
    }
    r.view.withdraw(vm);
    if (serve) {
        ++r.view.pool(to).incoming;
        pending_moves_[vm] = {r.now, record.open};
    }
    r.add(begin_move{vm, record.pool, to, serve}, reason);
    return true;
}

// Moves open VMs to a pool: those with the fewest jobs first, and among equals the pool's own VMs.
std::uint32_t pool_planner::move_open_vms(round& r, pool_id pool, std::uint32_t count) {
    std::vector<std::pair<int, vm_id>> candidates;
    for (const auto id : r.s.pools[r.s.spare].members) {
        const auto& vm = r.s.vms[id];
        if (!vm.open || vm.activity != vm_activity::none || !r.view.up(id) ||
            r.view.withdrawn(id) || runs_at_most_once(r.s, id))
            continue;
        const int tasks = static_cast<int>(r.s.tasks[id].size());
        candidates.emplace_back(2 * tasks + (vm.home == pool ? 0 : 1), id);
    }
    std::ranges::sort(candidates);
    std::uint32_t moved = 0;
    for (const auto& [rank, id] : candidates) {
        if (moved == count)
            break;
        if (start_move(r, id, pool, true, reason_for(r.s, pool)))
            ++moved;
    }
    return moved;
}

// Moves up to `count` serving VMs out of a pool, within its availability budget. Each comes from
// the availability zone with the most of them, to keep the rest spread. Among equals, VMs whose
// home is the receiving pool go first and those whose home is the lending pool last.
std::uint32_t pool_planner::move_serving_vms(round& r, pool_id from, pool_id to, bool serve,
                                             std::uint32_t count) {
    const auto& members = r.s.pools[from].members;
    std::vector<bool> rejected(members.size());
    std::uint32_t moved = 0;
    while (moved < count) {
        std::size_t best = members.size();
        std::tuple<std::uint32_t, int, vm_id> best_rank;
        for (std::size_t i = 0; i < members.size(); ++i) {
            const auto id = members[i];
            const auto& vm = r.s.vms[id];
            if (rejected[i] || !r.view.serving(id) || runs_at_most_once(r.s, id) ||
                !r.view.may_withdraw(id))
                continue;
            const int home_preference = vm.home == to ? 2 : vm.home != from ? 1 : 0;
            const std::tuple rank{r.view.serving_in_zone(from, vm.zone), home_preference, id};
            if (best == members.size() || rank > best_rank) {
                best = i;
                best_rank = rank;
            }
        }
        if (best == members.size())
            break;
        if (start_move(r, members[best], to, serve, reason_for(r.s, serve ? to : from)))
            ++moved;
        rejected[best] = true;
    }
    return moved;
}

// Moves VMs to a pool from pools above their target, within their availability budgets. The spare
// pool goes below its own target only for a lasting shortage or lost VMs, not for a pool that
// merely returns to its home size.
std::uint32_t pool_planner::move_surplus_vms(round& r, pool_id pool, std::uint32_t count) {
    std::uint32_t moved = 0;
    for (std::size_t i = 0; i < r.s.pools.size() && moved < count; ++i) {
        const auto from = static_cast<pool_id>(i);
        if (from == pool)
            continue;
        auto available = surplus_vms(r.view, from);
        const auto& record = r.s.pools[from];
        const auto& target = targets_[from];
        // The spare pool lends up to max_lent of its own VMs for lasting shortages and lost VMs.
        const bool lasting_need =
            targets_[pool].reason != target_reason::home || r.view.pool(pool).down > 0;
        const bool may_lend =
            record.spare && !models_[from].in_surge() && !target.predictable && lasting_need;
        const auto kept_vms = record.size - std::min(record.size, record.max_lent);
        if (may_lend && r.view.pool(from).serving > kept_vms)
            available = std::max(available, r.view.pool(from).serving - kept_vms);
        if (available == 0)
            continue;
        const auto moved_from_pool =
            move_serving_vms(r, from, pool, true, std::min(available, count - moved));
        moved += moved_from_pool;
    }
    return moved;
}

void pool_planner::fill_shortage(round& r, pool_id pool) {
    auto count = missing_vms(r.view, pool);
    if (count == 0)
        return;
    const auto& target = targets_[pool];
    const bool may_wait = target.reason == target_reason::home;
    if (may_wait && r.now - target.missing_since < policy_.shortage_delay)
        return;
    const auto time_left = target.needed_at - r.now;
    const bool forecast = target.reason == target_reason::forecast;
    if (!forecast || time_left <= lead_time(true)) {
        count -= move_open_vms(r, pool, count);
        if (count > 0)
            move_surplus_vms(r, pool, count);
        return;
    }
    // Open VMs move faster than serving ones. Before their lead time begins, only the VMs that the
    // open ones cannot provide are moved from other pools.
    const auto open = r.s.open_vms();
    if (count > open)
        move_surplus_vms(r, pool, count - open);
}

// Turns surplus VMs of a pool in the rotation into open ones.
void pool_planner::release_surplus(round& r, pool_id pool) {
    const auto& target = targets_[pool];
    if (!target.predictable || target.surplus_since == 0 ||
        r.now - target.surplus_since < policy_.surplus_delay)
        return;
    move_serving_vms(r, pool, r.s.spare, false, surplus_vms(r.view, pool));
}

// Sizes the buffer of open VMs without jobs for the largest surge that cannot be forecast. One such
// surge suffices, because surges occur in turn and only one of them needs the buffer at a time.
void pool_planner::update_buffer(round& r) {
    std::uint32_t needed_vms = 0;
    for (std::size_t i = 0; i < targets_.size(); ++i) {
        const auto surge_vms = vms_for_demand(models_[i].surge_level());
        if (!targets_[i].predictable && surge_vms > r.s.pools[i].size)
            needed_vms = std::max(needed_vms, surge_vms - r.s.pools[i].size);
    }
    needed_vms = policy_.rotate ? std::min(needed_vms, r.s.open_vms()) : 0;
    if (needed_vms != r.s.buffer_vms)
        r.add(hold_buffer{needed_vms}, "largest surge that cannot be forecast");
}

std::string pool_planner::explain(const state& s, pool_id pool) const {
    const auto& model = models_[pool];
    std::string out = reason_for(s, pool);
    out += "; demand " + std::to_string(static_cast<int>(std::lround(model.current_slots()))) +
           " slots, usual surge " +
           std::to_string(static_cast<int>(std::lround(model.surge_level()))) + " slots";
    if (policy_.rotate && !targets_[pool].predictable)
        out += "; its surges cannot be forecast, so it keeps its size";
    if (!policy_.rotate)
        out += "; the weights favour standing capacity over moves";
    return out;
}

bool pool_planner::needs_capacity(pool_id pool, std::uint32_t home_size) const {
    return models_[pool].in_surge() || targets_[pool].vms > home_size ||
           targets_[pool].reason == target_reason::forecast;
}

std::size_t pool_planner::bytes() const {
    return models_.size() * (sizeof(demand_model) + sizeof(pool_target) + 32) +
           pending_moves_.size() * 48;
}

} // namespace clementine::scheduler
