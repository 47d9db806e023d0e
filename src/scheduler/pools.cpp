#include "scheduler/pools.h"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace clementine::scheduler {

namespace {

// VM time that one lend and give-back costs besides the surge: drain, start and the way back.
constexpr double lend_cycle_ms = 12'000;
// How much worse a missing VM is than an idle one at equal weights: requests of the whole pool wait
// when one VM is short.
constexpr double lateness_factor = 4;
// Cost ratio by which the other choice must be better.
constexpr double choice_hysteresis = 1.1;
// Guesses until surges have been seen.
constexpr double initial_pause_ms = 40'000;
constexpr double initial_length_ms = 10'000;
constexpr time_ms initial_open_move{7'000};
constexpr time_ms initial_serving_move{10'000};
// Times beyond this are failures, not moves.
constexpr time_ms longest_move{20'000};
// Share of past moves that the lead time covers.
constexpr double lead_quantile = 0.95;
// One round. The measured times of moves include the lag of the reports already.
constexpr time_ms lead_margin{500};
constexpr time_ms min_patience{5'000};
constexpr time_ms min_give_back{1'000};
constexpr std::uint32_t expected_losses = 1;

// True if a job on the VM cannot be checkpointed.
bool runs_at_most_once(const state& s, vm_id vm) {
    const auto& tasks = s.tasks[vm];
    return std::ranges::any_of(
        tasks, [&](job_id id) { return s.jobs.at(id).request.kind == job_kind::at_most_once; });
}

bool would_be_lent(const state& s, vm_id vm, pool_id to, bool serve) {
    return s.vms[vm].home != to || !serve;
}

} // namespace

pool_policy make_policy(const manifest::objective& weights, double pause_ms, double length_ms,
                        bool rotates) {
    const double stay = weights.buffer_cost * pause_ms;
    const double cycle = (2 * weights.moves + weights.buffer_cost) * lend_cycle_ms;
    const double missing = weights.lateness * lateness_factor * length_ms;
    pool_policy policy;
    const double bias = rotates ? choice_hysteresis : 1 / choice_hysteresis;
    // A rotation replaces VMs that stay, up to the home size, and VMs that are missing, beyond it;
    // a surge takes about as many of each.
    policy.rotate = cycle < bias * (stay + missing) / 2;
    // Wait until the lateness has cost as much as the moves would (the ski-rental rule: at most
    // twice the cost of knowing in advance how long the shortage lasts).
    const double moves = 2 * weights.moves * lend_cycle_ms;
    const double late_rate = std::max(weights.lateness * lateness_factor, 0.01);
    policy.patience = std::max(min_patience, static_cast<time_ms>(moves / late_rate));
    const double idle_rate = std::max(weights.buffer_cost, 0.01);
    // In a rotation the next forecast takes the surplus, so it waits for that only briefly.
    policy.give_back = policy.rotate
                           ? min_give_back
                           : std::max(min_give_back, static_cast<time_ms>(moves / idle_rate));
    // Newsvendor rule: the accepted share is the cost of early VMs over that of early plus late.
    policy.late_share = weights.buffer_cost / (weights.buffer_cost + 10 * late_rate);
    return policy;
}

// What one call of decide works on.
struct pool_planner::round {
    const state& s;
    fleet_view& view;
    const observations& seen;
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

void pool_planner::decide(const state& s, fleet_view& view, const observations& seen, time_ms now,
                          std::vector<decision>& out) {
    round r{s, view, seen, now, out};
    advance_moves(r);
    watch_moves(view, now);
    update_policy(s);
    update_targets(s, view, now);
    std::vector<pool_id> order(s.pools.size());
    for (std::size_t i = 0; i < order.size(); ++i)
        order[i] = static_cast<pool_id>(i);
    // Running surges first, then forecast ones by time, then sustained needs, then home sizes.
    std::ranges::stable_sort(order, [&](pool_id a, pool_id b) {
        const auto& x = targets_[a];
        const auto& y = targets_[b];
        return std::pair(x.why, x.needed_at) < std::pair(y.why, y.needed_at);
    });
    for (const auto pool : order)
        fill(r, pool);
    for (const auto pool : order)
        release_surplus(r, pool);
    update_buffer(r);
}

// Takes each move in progress one step further, if a report allows it.
void pool_planner::advance_moves(round& r) {
    for (const auto id : r.view.moving()) {
        const auto& vm = r.s.vms[id];
        if (vm.activity == vm_activity::empty_confirmed) {
            r.add(reassign_vm{id, vm.pool, vm.move_to}, vm.reason);
            continue;
        }
        if (!r.view.up(id) && r.seen.lease_expired(id, r.now)) {
            // Without reports nobody knows whether requests are still running on it.
            r.add(cancel_move{id}, "VM lost while draining; it stays in its pool as failed");
            continue;
        }
        const auto& report = r.seen.report(id);
        const bool drained = r.view.up(id) && report.drain == vm.activity_index;
        if (!drained || report.requests != 0 || !report.tasks.empty() || !r.s.tasks[id].empty())
            continue;
        // Two log entries in one batch: if only the first is committed, the next leader goes on.
        r.add(confirm_empty{id}, vm.reason);
        r.add(reassign_vm{id, vm.pool, vm.move_to}, vm.reason);
    }
}

// Measures how long moves take until the VM serves.
void pool_planner::watch_moves(const fleet_view& view, time_ms now) {
    std::erase_if(watched_, [&](const auto& item) {
        const auto& [id, move] = item;
        if (!view.serving(id))
            return false;
        // A VM that was lost on its way says nothing about the next move.
        const auto took = now - move.at;
        if (took <= longest_move)
            (move.open ? open_moves_ : serving_moves_).add(static_cast<double>(took));
        return true;
    });
}

void pool_planner::update_policy(const state& s) {
    double pause = 0;
    double length = 0;
    int known = 0;
    for (const auto& model : models_) {
        if (model.mean_pause() <= 0)
            continue;
        pause += model.mean_pause();
        length += model.mean_length();
        ++known;
    }
    if (known == 0)
        policy_ = make_policy(s.weights, initial_pause_ms, initial_length_ms, policy_.rotate);
    else
        policy_ = make_policy(s.weights, pause / known, length / known, policy_.rotate);
}

time_ms pool_planner::lead_time(bool open) const {
    const auto& times = open ? open_moves_ : serving_moves_;
    const auto guess = open ? initial_open_move : initial_serving_move;
    return (times.empty() ? guess : static_cast<time_ms>(times.quantile(lead_quantile))) +
           lead_margin;
}

// True if VMs that set out now would arrive after the usual end of this surge. A surge that is
// clearly longer than usual is no longer expected to end.
bool pool_planner::ends_soon(const demand_model& model, time_ms now) const {
    constexpr double unusual_length = 1.5;
    const auto elapsed = static_cast<double>(now - model.surge_since());
    return elapsed < unusual_length * model.mean_length() &&
           elapsed + static_cast<double>(lead_time(true)) > model.mean_length();
}

void pool_planner::set_target(const state& s, pool_id pool, time_ms now) {
    auto& target = targets_[pool];
    const auto& record = s.pools[pool];
    const auto& model = models_[pool];
    const auto floor = record.min_available + expected_losses;
    const auto surge_vms = std::max(vms_for_demand(model.surge_level()), floor);
    target.why = urgency::home;
    target.needed_at = 0;
    target.forecast = policy_.rotate && sequence_.predictable(pool);
    target.vms = std::max(record.size, floor);
    if (target.forecast && !model.in_surge())
        target.vms = std::max(floor, vms_for_demand(model.base_level()));
    if (!model.in_surge())
        return;
    if (target.forecast) {
        target.vms = surge_vms;
        target.why = urgency::surge;
    }
    const auto needed = std::max(surge_vms, vms_for_demand(model.needed()));
    const bool patient = model.short_since() != 0 && now - model.short_since() >= policy_.patience;
    if (patient && needed > target.vms && !ends_soon(model, now)) {
        target.vms = needed;
        target.why = urgency::sustained;
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
            if (target.why == urgency::surge || vms <= target.vms)
                continue;
            target.vms = vms;
            target.why = urgency::forecast;
            target.needed_at = next.earliest;
        }
    }
    for (std::size_t i = 0; i < targets_.size(); ++i) {
        auto& target = targets_[i];
        const auto pool = static_cast<pool_id>(i);
        if (missing(view, pool) == 0)
            target.missing_since = 0;
        else if (target.missing_since == 0)
            target.missing_since = now;
        if (surplus(view, pool) == 0)
            target.surplus_since = 0;
        else if (target.surplus_since == 0)
            target.surplus_since = now;
    }
}

std::uint32_t pool_planner::missing(const fleet_view& view, pool_id pool) const {
    const auto& v = view.pool(pool);
    auto supply = v.serving + v.starting + v.incoming;
    // A VM in maintenance comes back sooner than a lent one would pay off.
    if (targets_[pool].why == urgency::home)
        supply += v.in_maintenance;
    return targets_[pool].vms > supply ? targets_[pool].vms - supply : 0;
}

// VMs that serve beyond the target, without those that have yet to arrive.
std::uint32_t pool_planner::surplus(const fleet_view& view, pool_id pool) const {
    const auto serving = view.pool(pool).serving;
    return serving > targets_[pool].vms ? serving - targets_[pool].vms : 0;
}

std::string pool_planner::reason_for(const state& s, pool_id pool) const {
    const auto& target = targets_[pool];
    const auto& name = s.pools[pool].name;
    const auto vms = std::to_string(target.vms) + " VMs";
    switch (target.why) {
    case urgency::surge:
        return "pool " + name + " is in a surge that needs " + vms;
    case urgency::forecast:
        return "pool " + name + " is next in the order of surges and needs " + vms;
    case urgency::sustained:
        return "requests of pool " + name + " have waited for " + std::to_string(policy_.patience) +
               " ms; it needs " + vms;
    case urgency::home:
        break;
    }
    return target.forecast ? "pool " + name + " is between surges and keeps " + vms
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
    r.view.take(vm);
    if (serve) {
        ++r.view.pool(to).incoming;
        watched_[vm] = {r.now, record.open};
    }
    r.add(begin_move{vm, record.pool, to, serve}, reason);
    return true;
}

// Takes open VMs for a pool: first those without jobs, VMs of the pool's own first among them.
std::uint32_t pool_planner::take_open(round& r, pool_id pool, std::uint32_t count) {
    std::vector<std::pair<int, vm_id>> candidates;
    for (const auto id : r.s.pools[r.s.spare].members) {
        const auto& vm = r.s.vms[id];
        if (!vm.open || vm.activity != vm_activity::none || !r.view.up(id) || r.view.taken(id) ||
            runs_at_most_once(r.s, id))
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

// Moves up to `count` serving VMs of one pool, within its budget. Each comes from the availability
// zone with the most of them, so that the rest stays spread; among equals, VMs of the receiving
// pool's own go first and the lender's own last.
std::uint32_t pool_planner::move_some(round& r, pool_id from, pool_id to, bool serve,
                                      std::uint32_t count) {
    const auto& members = r.s.pools[from].members;
    std::vector<bool> refused(members.size());
    std::uint32_t moved = 0;
    while (moved < count) {
        std::size_t best = members.size();
        std::tuple<std::uint32_t, int, vm_id> best_rank;
        for (std::size_t i = 0; i < members.size(); ++i) {
            const auto id = members[i];
            const auto& vm = r.s.vms[id];
            if (refused[i] || !r.view.serving(id) || runs_at_most_once(r.s, id) ||
                !r.view.may_take(id))
                continue;
            const int owner = vm.home == to ? 2 : vm.home != from ? 1 : 0;
            const std::tuple rank{r.view.serving_in_zone(from, vm.zone), owner, id};
            if (best == members.size() || rank > best_rank) {
                best = i;
                best_rank = rank;
            }
        }
        if (best == members.size())
            break;
        if (start_move(r, members[best], to, serve, reason_for(r.s, serve ? to : from)))
            ++moved;
        refused[best] = true;
    }
    return moved;
}

// Takes VMs for a pool from pools that have more than their target, within their budgets. A pool
// that returns to its home size only gets back what is its own or beyond the lender's size.
std::uint32_t pool_planner::take_surplus(round& r, pool_id pool, std::uint32_t count) {
    std::uint32_t moved = 0;
    for (std::size_t i = 0; i < r.s.pools.size() && moved < count; ++i) {
        const auto from = static_cast<pool_id>(i);
        if (from == pool)
            continue;
        auto available = surplus(r.view, from);
        const auto& record = r.s.pools[from];
        const auto& target = targets_[from];
        // The spare pool lends up to max_lent of its own VMs to lasting needs and for lost VMs.
        const bool needed = targets_[pool].why != urgency::home || r.view.pool(pool).down > 0;
        const bool lends = record.spare && !models_[from].in_surge() && !target.forecast && needed;
        const auto keeps = record.size - std::min(record.size, record.max_lent);
        if (lends && r.view.pool(from).serving > keeps)
            available = std::max(available, r.view.pool(from).serving - keeps);
        if (available == 0)
            continue;
        const auto taken = move_some(r, from, pool, true, std::min(available, count - moved));
        moved += taken;
    }
    return moved;
}

void pool_planner::fill(round& r, pool_id pool) {
    auto count = missing(r.view, pool);
    if (count == 0)
        return;
    const auto& target = targets_[pool];
    const bool patient = target.why == urgency::home;
    if (patient && r.now - target.missing_since < policy_.patience)
        return;
    const auto left = target.needed_at - r.now;
    const bool forecast = target.why == urgency::forecast;
    if (!forecast || left <= lead_time(true)) {
        count -= take_open(r, pool, count);
        if (count > 0)
            take_surplus(r, pool, count);
        return;
    }
    // Open VMs move faster than serving ones. Until their lead time has come, take only as many
    // serving VMs as open ones will be short.
    const auto open = r.s.open_vms();
    if (count > open)
        take_surplus(r, pool, count - open);
}

// Turns VMs beyond the target into open ones, if the pool takes part in the rotation.
void pool_planner::release_surplus(round& r, pool_id pool) {
    const auto& target = targets_[pool];
    if (!target.forecast || target.surplus_since == 0 ||
        r.now - target.surplus_since < policy_.give_back)
        return;
    move_some(r, pool, r.s.spare, false, surplus(r.view, pool));
}

// Keeps open VMs free of jobs for the largest surge that cannot be forecast, because surges come
// in turn and only one of them needs the buffer at a time.
void pool_planner::update_buffer(round& r) {
    std::uint32_t need = 0;
    for (std::size_t i = 0; i < targets_.size(); ++i) {
        const auto vms = vms_for_demand(models_[i].surge_level());
        if (!targets_[i].forecast && vms > r.s.pools[i].size)
            need = std::max(need, vms - r.s.pools[i].size);
    }
    need = policy_.rotate ? std::min(need, r.s.open_vms()) : 0;
    if (need != r.s.buffer_vms)
        r.add(hold_buffer{need}, "largest surge that cannot be forecast");
}

std::string pool_planner::explain(const state& s, pool_id pool) const {
    const auto& model = models_[pool];
    std::string out = reason_for(s, pool);
    out += "; demand " + std::to_string(static_cast<int>(std::lround(model.latest()))) +
           " slots, usual surge " +
           std::to_string(static_cast<int>(std::lround(model.surge_level()))) + " slots";
    if (policy_.rotate && !targets_[pool].forecast)
        out += "; its surges cannot be forecast, so it keeps its size";
    if (!policy_.rotate)
        out += "; the weights favour standing capacity over moves";
    return out;
}

bool pool_planner::needs_capacity(pool_id pool, std::uint32_t home_size) const {
    return models_[pool].in_surge() || targets_[pool].vms > home_size ||
           targets_[pool].why == urgency::forecast;
}

std::size_t pool_planner::bytes() const {
    return models_.size() * (sizeof(demand_model) + sizeof(pool_target) + 32) +
           watched_.size() * 48;
}

} // namespace clementine::scheduler
