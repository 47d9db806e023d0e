// Placement part of the controller: which step starts next, and on which worker.
#include "base/log.h"
#include "workload/controller.h"

#include <algorithm>
#include <set>
#include <string_view>
#include <utility>

namespace clementine::workload {

namespace {

// A call takes time for each worker named in it.
constexpr std::size_t max_workers_per_advice_call = 30;
constexpr int max_advice_calls = 4;
constexpr time_ms advice_slack{600};
constexpr time_ms advice_retry{500};

// Estimates are off by up to a fifth, and a task that outlasts its own delays a reservation.
constexpr double run_time_margin = 1.2;
// Only tasks that are this much larger than the smallest waiting one lose the gaps to it.
constexpr std::int64_t wide_task_ratio = 2;
// Searches of one round for workers to reserve in a pool. Each looks at all of its workers.
constexpr std::size_t max_reservation_searches = 4;
// A long-running step holds room only if it is expected within this time,
constexpr time_ms max_room_wait{8'000};
// and until it is later than expected by this much. Then it holds none for the pause.
constexpr time_ms room_delay_limit{2'000};
constexpr time_ms room_hold_pause{3'000};

// Share of a worker's processor that a task takes if the worker holds only such tasks.
std::int64_t effective_cpu(std::int64_t cpu, std::int64_t largest_cpu) {
    return cpu <= 0 || cpu > largest_cpu ? cpu : largest_cpu / (largest_cpu / cpu);
}

} // namespace

controller::job_view controller::view_of(const job& item, time_ms wall) const {
    job_view out;
    out.queue = table_.config().find_queue(item.queue);
    for (std::uint32_t k = 0; k < item.occurrences.size(); ++k) {
        const auto& in = item.occurrences[k];
        if (item.spec.times > 0 && wall < item.spec.start_at + k * item.spec.interval)
            break;
        if (in.done())
            continue;
        for (std::uint32_t s = 0; s < in.steps.size(); ++s) {
            if (in.steps[s].waiting == 0 || !dependencies_done(item.spec, in, s))
                continue;
            ready_step step;
            step.owner = &item;
            step.queue = out.queue;
            step.occurrence = k;
            step.step = s;
            step.long_running = item.spec.steps[s].long_running;
            step.started = item.state == job_state::active;
            step.unplaced = in.steps[s].waiting - count_starting(step);
            out.steps.push_back(step);
        }
    }
    if (out.steps.empty())
        return out;
    const auto rate = estimate_rate(item.queue);
    for (auto& step : out.steps)
        step.run_time = expected_run_time(item.spec.steps[step.step], rate);
    out.critical_path = critical_path_length(item.spec, rate);
    const auto allowed_time =
        (out.queue ? out.queue->stretch : 1.0) * static_cast<double>(out.critical_path);
    out.due = item.accepted_at + (out.queue ? out.queue->target_latency : 0) +
              static_cast<time_ms>(allowed_time) - remaining_critical_path_length(item, rate);
    return out;
}

// Load pattern: hundreds of jobs are open in a surge, of which each round changes a few.
void controller::refresh_views(time_ms wall) {
    changed_jobs_.insert(scheduled_jobs_.begin(), scheduled_jobs_.end());
    for (const auto& id : std::exchange(changed_jobs_, {})) {
        const auto* item = table_.find_job(id);
        if (!item || item->ended()) {
            views_.erase(id);
            scheduled_jobs_.erase(id);
            continue;
        }
        if (item->spec.times > 0)
            scheduled_jobs_.insert(id);
        auto view = view_of(*item, wall);
        if (view.steps.empty())
            views_.erase(id);
        else
            views_.insert_or_assign(id, std::move(view));
    }
}

// Load pattern: one workspace sends ten times its share and fills the pools. Its waiting jobs began
// earlier, so without shares they would come before those of all others.
std::vector<controller::ready_step> controller::ready_steps(time_ms now, time_ms wall) {
    refresh_views(wall);
    account_.reset();
    if (!views_.empty() && needs_account(table_.config()))
        account_ = count_use(now);
    std::vector<ready_step> out;
    for (const auto& [id, view] : views_) {
        for (auto step : view.steps) {
            if (step.unplaced == 0 && !(view.queue && view.queue->needs_placement_advice))
                continue;
            step.slack = view.due - wall;
            step.too_late = !step.long_running && step.slack < 0;
            out.push_back(step);
            if (account_)
                account_->set_active(step.owner->workspace);
        }
    }
    for (auto& step : out)
        step.over_share = account_ && account_->share_ratio(step.owner->workspace) > 1;
    note_room_delays(out, now);
    const auto rank = [](const ready_step& step) {
        return std::tuple(!step.long_running, step.over_share, step.too_late, !step.started,
                          step.slack - step.room_delay);
    };
    std::ranges::sort(out, [&](const auto& a, const auto& b) { return rank(a) < rank(b); });
    return out;
}

// A step that needs 700 ms until a worker has room for it must be served 700 ms before a step that
// any end gives room, so the wait for room is not slack.
void controller::note_room_delays(std::vector<ready_step>& steps, time_ms now) const {
    if (expected_room_.empty())
        return;
    for (auto& item : steps) {
        const auto it = expected_room_.find({item.owner->id, item.occurrence, item.step});
        if (it != expected_room_.end())
            item.room_delay = std::max<time_ms>(0, it->second - now);
    }
}

void controller::propose_start(const job& owner, const task_id& id, const task& item,
                               worker& target, std::uint32_t run, time_ms now) {
    const auto& step = owner.spec.steps[id.step];
    live_run added;
    added.task = id;
    added.run = run;
    added.need = occupied_resources(step);
    added.charge = charge_of(owner, step);
    added.long_running = step.long_running;
    added.best_effort = step.best_effort;
    added.target_tail_latency = step.target_tail_latency;
    added.since = now;
    added.expected_time = expected_run_time(step, estimate_rate(owner.queue));
    added.begun_before = !item.checkpoint.empty();
    added.checkpoint = item.checkpoint;
    target.add(std::move(added));
    room_holds_.erase({id.job, id.occurrence, id.step});
    starting_.insert(id);
    ++counters_.placed_tasks;
    changed_jobs_.insert(id.job);
    pending_decisions_.log.emplace_back(start_run{id, run, target.ref, target.address});
}

// Rack on which tasks of a colocated step already run, or empty.
std::string controller::preferred_rack(const ready_step& item) const {
    const auto& spec = item.owner->spec.steps[item.step];
    if (!spec.colocate)
        return {};
    for (const auto& one : item.owner->occurrences[item.occurrence].steps[item.step].tasks) {
        if (one.phase != task_phase::assigned)
            continue;
        const auto it = workers_.find(one.worker.id);
        if (it != workers_.end())
            return it->second.rack;
    }
    return {};
}

// True if starts of tasks of the step wait for their commit.
bool controller::is_starting(const ready_step& item) const {
    const auto it = starting_.lower_bound({item.owner->id, item.occurrence, item.step, 0});
    return it != starting_.end() && it->step == item.step && it->occurrence == item.occurrence &&
           it->job == item.owner->id;
}

// Number of tasks of the step whose starts wait for their commit.
std::uint32_t controller::count_starting(const ready_step& item) const {
    std::uint32_t out = 0;
    const task_id first{item.owner->id, item.occurrence, item.step, 0};
    for (auto it = starting_.lower_bound(first);
         it != starting_.end() && it->step == item.step && it->occurrence == item.occurrence &&
         it->job == item.owner->id;
         ++it)
        ++out;
    return out;
}

// `largest_cpu` is the processor of the largest worker.
void controller::place_step(const ready_step& item, candidate_pool& pool, std::int64_t largest_cpu,
                            time_ms now) {
    const auto& spec = item.owner->spec.steps[item.step];
    const auto& tasks = item.owner->occurrences[item.occurrence].steps[item.step].tasks;
    placement_request request;
    request.step = &spec;
    request.job = item.owner->id;
    request.occurrence = item.occurrence;
    request.step_index = item.step;
    request.rack = preferred_rack(item);
    request.ends_at = latest_run_end(item, now);
    const auto need = occupied_resources(spec);
    const bool unplaceable = pool.is_unplaceable(need, request.ends_at);
    const bool starting = is_starting(item);
    task_id id{item.owner->id, item.occurrence, item.step, 0};
    for (std::uint32_t i = 0; i < tasks.size(); ++i) {
        id.index = i;
        if (tasks[i].phase != task_phase::waiting || (starting && starting_.contains(id)))
            continue;
        if (is_held_by_cap(item))
            return;
        worker* target = nullptr;
        if (!unplaceable) {
            const auto failed = failed_on_.find(id);
            request.avoid = failed == failed_on_.end() ? std::string() : failed->second;
            ++counters_.placement_searches;
            target = choose_worker(pool, request, now, counters_.candidates_checked);
        }
        if (!target) {
            if (!unplaceable && is_limited_by_room(spec))
                pool.add_unplaceable(need, request.ends_at);
            const auto waiting_tasks =
                unplaceable ? static_cast<std::ptrdiff_t>(item.unplaced)
                            : std::count_if(tasks.begin() + i, tasks.end(), [](const task& one) {
                                  return one.phase == task_phase::waiting;
                              });
            const auto admitted =
                account_ ? account_->add_blocked(item.owner->workspace, spec.need, waiting_tasks)
                         : waiting_tasks;
            const auto task_cpu = effective_cpu(need.cpu, largest_cpu);
            auto& blocked = blocked_cpu_[pool_of(*item.owner)];
            blocked += blocked_demand(item, admitted * task_cpu);
            // Less than a task's processor makes room for none.
            if (admitted > 0)
                blocked = std::max(blocked, task_cpu);
            return;
        }
        if (spec.colocate && request.rack.empty())
            request.rack = target->rack;
        propose_start(*item.owner, id, tasks[i], *target, tasks[i].run + 1, now);
        if (account_)
            account_->add(item.owner->workspace, spec.need);
        pool.update(target);
        pool.use_reserved(target, need, request.ends_at);
    }
}

// False while members of the last run of a gang have not ended, or starts wait for their commit.
bool controller::is_gang_startable(const ready_step& item) const {
    const auto& spec = item.owner->spec.steps[item.step];
    const auto& progress = item.owner->occurrences[item.occurrence].steps[item.step];
    return progress.waiting == spec.count && !is_starting(item);
}

// Starts all members of a gang as one run, or none.
bool controller::place_gang(const ready_step& item, candidate_pool& pool, time_ms now) {
    const auto& spec = item.owner->spec.steps[item.step];
    const auto need = occupied_resources(spec);
    const auto ends_at = latest_run_end(item, now);
    if (pool.is_unplaceable(need, ends_at) || !is_gang_startable(item))
        return false;
    const auto& progress = item.owner->occurrences[item.occurrence].steps[item.step];
    std::uint32_t run = 0;
    for (std::uint32_t i = 0; i < spec.count; ++i)
        run = std::max(run, progress.tasks[i].run);
    const auto reserved_before = pool.reserved;
    placement_request request;
    request.step = &spec;
    request.job = item.owner->id;
    request.occurrence = item.occurrence;
    request.step_index = item.step;
    request.ends_at = ends_at;
    const auto log_size = pending_decisions_.log.size();
    std::vector<std::pair<worker*, run_key>> placed;
    for (std::uint32_t i = 0; i < spec.count; ++i) {
        ++counters_.placement_searches;
        auto* target = choose_worker(pool, request, now, counters_.candidates_checked);
        if (!target)
            break;
        if (spec.colocate && request.rack.empty())
            request.rack = target->rack;
        const task_id id{item.owner->id, item.occurrence, item.step, i};
        propose_start(*item.owner, id, progress.tasks[i], *target, run + 1, now);
        pool.update(target);
        pool.use_reserved(target, need, ends_at);
        placed.emplace_back(target, run_key{id, run + 1});
    }
    if (placed.size() == spec.count) {
        if (account_)
            account_->add(item.owner->workspace, spec.need * spec.count);
        return true;
    }
    pending_decisions_.log.resize(log_size, cancel_job{});
    for (const auto& [target, key] : placed) {
        target->remove(key);
        starting_.erase(key.first);
        --counters_.placed_tasks;
        changed_jobs_.insert(key.first.job);
    }
    pool.reserved = reserved_before;
    pool.sort();
    return false;
}

// Counts the use of all workspaces, including starts of workers that were dropped: their next lives
// may carry them out before they are known.
workspace_account controller::count_use(time_ms now) const {
    workspace_account out(table_.config());
    for (const auto& [id, item] : workers_)
        out.add(item, now, granted_lease());
    for (const auto& [id, item] : dropped_lives_) {
        for (const auto& start : item.loose_starts)
            out.add(start.charge.workspace, start.charge.need);
    }
    return out;
}

// True if the workspace's cap does not admit the next task of a step, or the whole of a gang.
bool controller::is_held_by_cap(const ready_step& item) const {
    if (!account_)
        return false;
    const auto& spec = item.owner->spec.steps[item.step];
    return !account_->allows(item.owner->workspace, spec.gang ? spec.need * spec.count : spec.need);
}

// Keeps the room under a cap that becomes free for a step that the cap holds back. No room becomes
// free beside long-running tasks, and other runs may take minutes to end.
void controller::hold_workspace(const ready_step& item, placement_round& round, time_ms now) {
    const auto& spec = item.owner->spec.steps[item.step];
    const auto need = spec.gang ? spec.need * spec.count : spec.need;
    if (account_->allows_later(item.owner->workspace, need) &&
        cap_hold_times_.take(item.owner->id, item.occurrence, item.step, now))
        round.held_workspaces.insert(item.owner->workspace);
}

void controller::place(time_ms now, time_ms wall, explained_job* explained) {
    const auto steps = ready_steps(now, wall);
    expected_room_.clear();
    blocked_cpu_.clear();
    reservation_times_.drop_expired(now);
    cap_hold_times_.drop_expired(now);
    std::erase_if(room_holds_,
                  [&](const auto& hold) { return now >= hold.second + room_hold_pause; });
    if (steps.empty())
        return;
    placement_round round;
    round.steps = &steps;
    for (auto& [id, item] : workers_) {
        round.largest_cpu = std::max(round.largest_cpu, item.capacity.cpu);
        if (accepts_runs(item, now))
            round.pools[item.pool].workers.push_back(&item);
    }
    for (std::size_t i = 0; i < steps.size(); ++i) {
        if (explained && steps[i].owner == &explained->owner)
            explain_in_turn(steps[i], i, round, *explained, now);
        else
            place_in_turn(steps[i], round, now);
    }
}

candidate_pool& controller::pool_in(placement_round& round, const ready_step& item) const {
    return round.pools[item.queue ? item.queue->pool : item.owner->pool];
}

void controller::place_in_turn(const ready_step& item, placement_round& round, time_ms now) {
    if (!item.long_running && round.held_workspaces.contains(item.owner->workspace))
        return;
    if (is_held_by_cap(item))
        return hold_workspace(item, round, now);
    auto& pool = pool_in(round, item);
    if (round.sorted.insert(&pool).second)
        pool.sort();
    if (item.queue && item.queue->needs_placement_advice) {
        candidate_pool allowed;
        if (!find_advised_workers(item, pool.workers, allowed.workers, now))
            return;
        allowed.reserved = pool.reserved;
        allowed.sort();
        place_ready_step(item, allowed, round.largest_cpu, now);
        pool.reserved = std::move(allowed.reserved);
        pool.sort();
        return;
    }
    const auto placed_before = counters_.placed_tasks;
    place_ready_step(item, pool, round.largest_cpu, now);
    const auto placed = counters_.placed_tasks - placed_before;
    if (placed >= item.unplaced)
        return;
    if (is_held_by_cap(item))
        return hold_workspace(item, round, now);
    if (item.long_running)
        reserve_room(item, pool, now);
    else if (settings_.placement != lookahead::best_fit)
        reserve_ahead(item, item.unplaced - static_cast<std::uint32_t>(placed), *round.steps, pool,
                      now);
}

// Expected duration of a task that starts from the beginning.
time_ms controller::expected_run_time(const step_spec& step, double rate) {
    return static_cast<time_ms>(rate * static_cast<double>(step.estimate));
}

// Time by which a task started now is likely to have ended.
time_ms controller::latest_run_end(const ready_step& item, time_ms now) {
    if (item.long_running)
        return never;
    return now + static_cast<time_ms>(run_time_margin * static_cast<double>(item.run_time));
}

// Load pattern: see room_forecast.h. Reserves workers for `tasks` tasks that found no room, for
// the rest of the round.
void controller::reserve_ahead(const ready_step& item, std::uint32_t tasks,
                               const std::vector<ready_step>& steps, candidate_pool& pool,
                               time_ms now) {
    const auto& spec = item.owner->spec.steps[item.step];
    const auto max_reserved = pool.workers.size() / workers_per_reservation;
    if (item.too_late || !is_limited_by_room(spec) || pool.reserved.size() >= max_reserved ||
        pool.reservation_searches >= max_reservation_searches ||
        (spec.gang && !is_gang_startable(item)))
        return;
    if (!pool.smallest_waiting)
        pool.smallest_waiting = smallest_need(steps, pool_of(*item.owner), now);
    const auto need = occupied_resources(spec);
    const auto& least = *pool.smallest_waiting;
    if (need.cpu < wide_task_ratio * least.cpu && need.memory < wide_task_ratio * least.memory &&
        need.accelerators <= least.accelerators)
        return;
    if (!reservation_times_.take(item.owner->id, item.occurrence, item.step, now))
        return;
    ++pool.reservation_searches;
    reservation_request request;
    request.need = need;
    request.tasks = tasks;
    request.gang = spec.gang;
    request.latest_start = now + item.slack;
    request.max_workers = max_reserved - pool.reserved.size();
    const auto candidates = find_reservable(request, pool_of(*item.owner), pool, now);
    for (const auto& made : plan_reservations(request, candidates, settings_.stop_time, now)) {
        // Without backfill no other task may use the worker at all.
        constexpr reserved_room all{0, {-1, -1, -1}};
        pool.reserved[made.target] = settings_.placement == lookahead::reserve ? all : made.room;
        auto& expected = expected_room_[{item.owner->id, item.occurrence, item.step}];
        expected = std::max(expected, made.room.begins_at);
        ++counters_.reservations;
    }
}

// Workers of the round that are not reserved yet, in the order in which they have room.
std::vector<worker*> controller::find_reservable(const reservation_request& request,
                                                 const std::string& pool_name,
                                                 const candidate_pool& pool, time_ms now) {
    // Some of the found workers were filled after the forecast.
    constexpr std::size_t spare_candidates = 4;
    const auto count = spare_candidates + std::min<std::size_t>(request.tasks, request.max_workers);
    std::vector<worker*> out;
    for (const auto& id :
         room_of(pool_name, now)
             .by_room(request.need, request.latest_start, count + pool.reserved.size())) {
        const auto it = workers_.find(id);
        if (it != workers_.end() && is_reservable(it->second, now) &&
            !pool.reserved.contains(&it->second) &&
            std::ranges::find(pool.workers, &it->second) != pool.workers.end())
            out.push_back(&it->second);
    }
    return out;
}

// Least of each resource that a task waiting in a pool needs; as old as the loads may be, because
// it visits all waiting steps.
resources controller::smallest_need(const std::vector<ready_step>& steps, const std::string& pool,
                                    time_ms now) {
    auto& known = smallest_needs_[pool];
    if (known.at != 0 && now - known.at < load_limit())
        return known.need;
    known.at = now;
    auto& out = known.need = {max_resource, max_resource, max_resource};
    for (const auto& item : steps) {
        if (item.long_running || (item.queue ? item.queue->pool : item.owner->pool) != pool)
            continue;
        const auto need = occupied_resources(item.owner->spec.steps[item.step]);
        out.cpu = std::min(out.cpu, need.cpu);
        out.memory = std::min(out.memory, need.memory);
        out.accelerators = std::min(out.accelerators, need.accelerators);
    }
    return out;
}

// Reserves room for one task of a long-running step on the worker with the most free processor, for
// the rest of the round. Load pattern: short tasks take any room of a full pool as soon as it is
// free, so a task that needs half of a worker would never start.
void controller::reserve_room(const ready_step& item, candidate_pool& pool, time_ms now) {
    const auto max_reserved =
        std::max<std::size_t>(1, pool.workers.size() / workers_per_reservation);
    if (pool.reserved.size() >= max_reserved)
        return;
    placement_request request;
    request.step = &item.owner->spec.steps[item.step];
    request.job = item.owner->id;
    request.occurrence = item.occurrence;
    request.step_index = item.step;
    const auto need = occupied_resources(*request.step);
    worker* best = nullptr;
    for (auto* candidate : pool.workers) {
        if (candidate->free().can_fit(need) || pool.reserved.contains(candidate) ||
            (best && best->free().cpu >= candidate->free().cpu))
            continue;
        if (may_have_room(*candidate, request))
            best = candidate;
    }
    if (!best)
        return;
    const auto room = forecast_room(*best, settings_.stop_time, now);
    const auto begins_at = room.fits_at(need);
    if (take_room_hold(item, begins_at, now))
        pool.reserved[best] = {begins_at, room.free_at(begins_at) - need};
}

// True if a long-running step may hold room that is expected at `begins_at`. Bounds the time of a
// hold, because a forecast may be wrong for good.
bool controller::take_room_hold(const ready_step& item, time_ms begins_at, time_ms now) {
    if (begins_at == never || begins_at - now > max_room_wait)
        return false;
    const step_key key{item.owner->id, item.occurrence, item.step};
    return now < room_holds_.try_emplace(key, begins_at + room_delay_limit).first->second;
}

void controller::place_ready_step(const ready_step& item, candidate_pool& pool,
                                  std::int64_t largest_cpu, time_ms now) {
    if (item.owner->spec.steps[item.step].gang)
        place_gang(item, pool, now);
    else
        place_step(item, pool, largest_cpu, now);
}

// Fills `allowed` with the workers that may run a step; returns false while none is known.
bool controller::find_advised_workers(const ready_step& item, const std::vector<worker*>& pool,
                                      std::vector<worker*>& allowed, time_ms now) {
    auto& known = advice_[{item.owner->id, item.occurrence, item.step, 0}];
    if (now >= known.valid_until && !known.under_way) {
        known.tickets.clear();
        known.asked_workers.clear();
    }
    const auto need = occupied_resources(item.owner->spec.steps[item.step]);
    bool room = false;
    for (auto* candidate : pool) {
        if (!known.tickets.contains(candidate->ref))
            continue;
        allowed.push_back(candidate);
        room = room || candidate->free().can_fit(need);
    }
    if (!room && !known.under_way && now >= known.retry_at &&
        pending_advice_calls_ < max_advice_calls)
        ask_advice(item, pool, known);
    return !allowed.empty();
}

// Asks the advice service about the workers with the most free processor that were not named yet.
void controller::ask_advice(const ready_step& item, const std::vector<worker*>& pool,
                            advice& known) {
    const auto* queue = table_.config().find_queue(item.owner->queue);
    std::vector<const worker*> candidates;
    for (const auto* candidate : pool) {
        if (!known.asked_workers.contains(candidate->ref.id))
            candidates.push_back(candidate);
    }
    if (candidates.empty())
        return;
    std::ranges::sort(
        candidates, [](const worker* a, const worker* b) { return a->free().cpu > b->free().cpu; });
    advise_order order;
    order.step = {item.owner->id, item.occurrence, item.step, 0};
    order.fence = fence_;
    for (const auto* candidate : candidates) {
        if (order.workers.size() == max_workers_per_advice_call)
            break;
        order.workers.push_back(candidate->ref.id);
        known.asked_workers.insert(candidate->ref.id);
    }
    const auto time_per_call =
        queue->advice_call_time +
        queue->advice_time_per_worker * static_cast<time_ms>(order.workers.size());
    order.timeout = advice_slack + time_per_call * (pending_advice_calls_ + 1);
    known.under_way = true;
    ++pending_advice_calls_;
    pending_decisions_.orders.emplace_back(std::move(order));
}

void controller::observe(const advise_order& order, order_answer answer,
                         const std::vector<placement_ticket>& tickets, time_ms valid, time_ms now) {
    if (order.fence != fence_)
        return;
    --pending_advice_calls_;
    auto& known = advice_[order.step];
    known.under_way = false;
    log_event(log_level::info, "placement_advice")
        .field("job", order.step.job)
        .field("step", order.step.step)
        .field("named_workers", std::uint64_t{order.workers.size()})
        .field("allowed_workers", std::uint64_t{tickets.size()})
        .field("answer", to_name(answer));
    if (answer != order_answer::done) {
        known.asked_workers.clear();
        known.retry_at = now + advice_retry;
        return;
    }
    // The other half of the validity is left for the start order to arrive.
    const auto until = now + valid / 2;
    known.valid_until = known.tickets.empty() ? until : std::min(known.valid_until, until);
    for (const auto& item : tickets) {
        const auto it = workers_.find(item.worker);
        if (it != workers_.end())
            known.tickets[it->second.ref] = item.ticket;
    }
}

std::string controller::ticket_for(const task_id& task, const worker_ref& target) const {
    const auto known = advice_.find({task.job, task.occurrence, task.step, 0});
    if (known == advice_.end())
        return {};
    const auto it = known->second.tickets.find(target);
    return it == known->second.tickets.end() ? std::string() : it->second;
}

} // namespace clementine::workload
