// The part of the controller that decides what starts next, and where.
#include "base/log.h"
#include "workload/controller.h"

#include <algorithm>
#include <utility>

namespace clementine::workload {

namespace {

// Workers named in one call for advice, which takes time for each, and calls at a time.
constexpr std::size_t advice_names = 30;
constexpr int max_advice_calls = 4;
constexpr time_ms advice_slack{600};
constexpr time_ms advice_retry{500};

} // namespace

std::vector<controller::ready_step> controller::ready_steps(time_ms wall) const {
    std::vector<ready_step> out;
    for (const auto& [id, open] : table_.open_jobs()) {
        const auto& item = *open;
        if (item.ended())
            continue;
        const queue_config* queue = nullptr;
        double rate = 1.0;
        bool first = true;
        time_ms slack = 0;
        time_ms critical_path = 0;
        for (std::uint32_t k = 0; k < item.occurrences.size(); ++k) {
            const auto& in = item.occurrences[k];
            if (item.spec.times > 0 && wall < item.spec.start_at + k * item.spec.interval)
                break;
            if (in.done())
                continue;
            for (std::uint32_t s = 0; s < in.steps.size(); ++s) {
                if (in.steps[s].waiting == 0)
                    continue;
                const auto& spec = item.spec.steps[s];
                if (!dependencies_done(item.spec, in, s))
                    continue;
                if (std::exchange(first, false)) {
                    queue = table_.config().find_queue(item.queue);
                    rate = estimate_rate(item.queue);
                    critical_path = critical_path_length(item.spec, rate);
                    const auto due = item.accepted_at + (queue ? queue->target_latency : 0) +
                                     static_cast<time_ms>((queue ? queue->stretch : 1.0) *
                                                          static_cast<double>(critical_path));
                    slack = due - wall - remaining_critical_path_length(item, rate);
                }
                ready_step step;
                step.owner = &item;
                step.occurrence = k;
                step.step = s;
                step.long_running = spec.long_running;
                step.begun = item.state == job_state::active;
                step.slack = slack;
                step.hopeless = !spec.long_running && slack < -critical_path / 2;
                out.push_back(step);
            }
        }
    }
    const auto rank = [](const ready_step& step) {
        return std::tuple(!step.long_running, step.hopeless, !step.begun, step.slack);
    };
    std::ranges::sort(out, [&](const auto& a, const auto& b) { return rank(a) < rank(b); });
    return out;
}

void controller::propose_start(const task_id& id, const task& item, worker& on, std::uint32_t run,
                               time_ms now) {
    const auto& owner = *table_.find_job(id.job);
    const auto& step = owner.spec.steps[id.step];
    live_run added;
    added.task = id;
    added.run = run;
    added.need = occupied(step);
    added.long_running = step.long_running;
    added.best_effort = step.best_effort;
    added.target_tail_latency = step.target_tail_latency;
    added.since = now;
    added.checkpoint = item.checkpoint;
    on.add(std::move(added));
    starting_.insert(id);
    out_.log.emplace_back(start_run{id, run, on.ref, on.address});
}

// Rack on which the step already runs, for steps that are slower when spread.
std::string controller::preferred_rack(const ready_step& item) const {
    const auto& spec = item.owner->spec.steps[item.step];
    if (!spec.colocate)
        return {};
    for (const auto& one : item.owner->occurrences[item.occurrence].steps[item.step].tasks) {
        if (one.phase != task_phase::assigned)
            continue;
        const auto at = workers_.find(one.worker.id);
        if (at != workers_.end())
            return at->second.rack;
    }
    return {};
}

// Processor that a task takes up if workers hold nothing but such tasks.
std::int64_t controller::share_of_worker(std::int64_t cpu) const {
    std::int64_t largest = 0;
    for (const auto& [id, item] : workers_)
        largest = std::max(largest, item.capacity.cpu);
    return cpu <= 0 || cpu > largest ? cpu : largest / (largest / cpu);
}

void controller::place_step(const ready_step& item, std::vector<worker*>& pool, time_ms now) {
    const auto& spec = item.owner->spec.steps[item.step];
    const auto& tasks = item.owner->occurrences[item.occurrence].steps[item.step].tasks;
    placement_request request;
    request.step = &spec;
    request.job = item.owner->id;
    request.occurrence = item.occurrence;
    request.step_index = item.step;
    request.rack = preferred_rack(item);
    for (std::uint32_t i = 0; i < tasks.size(); ++i) {
        if (tasks[i].phase != task_phase::waiting)
            continue;
        const task_id id{item.owner->id, item.occurrence, item.step, i};
        if (starting_.contains(id))
            continue;
        const auto failed = failed_on_.find(id);
        request.avoid = failed == failed_on_.end() ? std::string() : failed->second;
        auto* on = choose_worker(pool, request, now);
        if (!on) {
            const auto left =
                std::ranges::count_if(tasks.begin() + i, tasks.end(), [](const task& one) {
                    return one.phase == task_phase::waiting;
                });
            blocked_[pool_of(*item.owner)] += left * share_of_worker(occupied(spec).cpu);
            return;
        }
        if (spec.colocate && request.rack.empty())
            request.rack = on->rack;
        propose_start(id, tasks[i], *on, tasks[i].run + 1, now);
    }
}

// All members of a gang start under one run, or none does.
bool controller::place_gang(const ready_step& item, std::vector<worker*>& pool, time_ms now) {
    const auto& spec = item.owner->spec.steps[item.step];
    const auto& progress = item.owner->occurrences[item.occurrence].steps[item.step];
    if (progress.waiting != spec.count)
        return false; // members of the last run have not ended yet
    std::uint32_t run = 0;
    for (std::uint32_t i = 0; i < spec.count; ++i) {
        run = std::max(run, progress.tasks[i].run);
        if (starting_.contains({item.owner->id, item.occurrence, item.step, i}))
            return false;
    }
    placement_request request;
    request.step = &spec;
    request.job = item.owner->id;
    request.occurrence = item.occurrence;
    request.step_index = item.step;
    const auto log_size = out_.log.size();
    std::vector<std::pair<worker*, run_key>> placed;
    for (std::uint32_t i = 0; i < spec.count; ++i) {
        auto* on = choose_worker(pool, request, now);
        if (!on)
            break;
        if (spec.colocate && request.rack.empty())
            request.rack = on->rack;
        const task_id id{item.owner->id, item.occurrence, item.step, i};
        propose_start(id, progress.tasks[i], *on, run + 1, now);
        placed.emplace_back(on, run_key{id, run + 1});
    }
    if (placed.size() == spec.count)
        return true;
    out_.log.resize(log_size, cancel_job{});
    for (const auto& [on, key] : placed) {
        on->remove(key);
        starting_.erase(key.first);
    }
    return false;
}

void controller::place(time_ms now, time_ms wall) {
    const auto steps = ready_steps(wall);
    blocked_.clear();
    if (steps.empty())
        return;
    std::map<std::string, std::vector<worker*>> pools;
    for (auto& [id, item] : workers_) {
        if (accepts_runs(item, now))
            pools[item.pool].push_back(&item);
    }
    for (const auto& item : steps) {
        auto& pool = pools[pool_of(*item.owner)];
        const auto* queue = table_.config().find_queue(item.owner->queue);
        if (queue && queue->needs_placement_advice) {
            std::vector<worker*> allowed;
            if (!advised(item, pool, allowed, now))
                continue;
            place_advised(item, allowed, now);
            continue;
        }
        place_advised(item, pool, now);
        if (item.long_running && is_waiting(item))
            keep_room(item, pool);
    }
}

// True if tasks of the step are still without a worker.
bool controller::is_waiting(const ready_step& item) const {
    const auto& tasks = item.owner->occurrences[item.occurrence].steps[item.step].tasks;
    for (std::uint32_t i = 0; i < tasks.size(); ++i) {
        if (tasks[i].phase == task_phase::waiting &&
            !starting_.contains({item.owner->id, item.occurrence, item.step, i}))
            return true;
    }
    return false;
}

// Takes the worker with the most room from those that short tasks may use in this round, so that
// its room grows until a lasting task fits.
void controller::keep_room(const ready_step& item, std::vector<worker*>& pool) {
    const auto need = occupied(item.owner->spec.steps[item.step]);
    auto best = pool.end();
    for (auto at = pool.begin(); at != pool.end(); ++at) {
        // Only what short tasks use becomes free.
        auto possible = (*at)->capacity;
        for (const auto& [key, run] : (*at)->runs)
            possible -= run.long_running ? run.need : resources{};
        if (!possible.can_fit(need) || (*at)->free().can_fit(need))
            continue;
        if (best == pool.end() || (*best)->free().cpu < (*at)->free().cpu)
            best = at;
    }
    if (best != pool.end())
        pool.erase(best);
}

void controller::place_advised(const ready_step& item, std::vector<worker*>& pool, time_ms now) {
    if (item.owner->spec.steps[item.step].gang)
        place_gang(item, pool, now);
    else
        place_step(item, pool, now);
}

// Fills `allowed` with the workers that may run a step; false while nothing is known of it.
bool controller::advised(const ready_step& item, const std::vector<worker*>& pool,
                         std::vector<worker*>& allowed, time_ms now) {
    auto& known = advice_[{item.owner->id, item.occurrence, item.step, 0}];
    if (now >= known.valid_until && !known.under_way) {
        known.tickets.clear();
        known.asked.clear();
    }
    const auto need = occupied(item.owner->spec.steps[item.step]);
    bool room = false;
    for (auto* candidate : pool) {
        if (!known.tickets.contains(candidate->ref))
            continue;
        allowed.push_back(candidate);
        room = room || candidate->free().can_fit(need);
    }
    if (!room && !known.under_way && now >= known.retry_at && advice_under_way_ < max_advice_calls)
        ask_advice(item, pool, known);
    return !allowed.empty();
}

// Names the workers with the most room that were not named yet.
void controller::ask_advice(const ready_step& item, const std::vector<worker*>& pool,
                            advice& known) {
    const auto* queue = table_.config().find_queue(item.owner->queue);
    std::vector<const worker*> candidates;
    for (const auto* candidate : pool) {
        if (!known.asked.contains(candidate->ref.id))
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
        if (order.workers.size() == advice_names)
            break;
        order.workers.push_back(candidate->ref.id);
        known.asked.insert(candidate->ref.id);
    }
    const auto each = queue->advice_call_time +
                      queue->advice_time_per_worker * static_cast<time_ms>(order.workers.size());
    order.limit = advice_slack + each * (advice_under_way_ + 1);
    known.under_way = true;
    ++advice_under_way_;
    out_.orders.emplace_back(std::move(order));
}

void controller::observe(const advise_order& order, order_answer answer,
                         const std::vector<placement_ticket>& tickets, time_ms valid, time_ms now) {
    if (order.fence != fence_)
        return;
    --advice_under_way_;
    auto& known = advice_[order.step];
    known.under_way = false;
    log_event(log_level::info, "placement_advice")
        .field("job", order.step.job)
        .field("step", order.step.step)
        .field("named", std::uint64_t{order.workers.size()})
        .field("allowed", std::uint64_t{tickets.size()})
        .field("answer", to_name(answer));
    if (answer != order_answer::done) {
        known.asked.clear();
        known.retry_at = now + advice_retry;
        return;
    }
    // Half of the time is left for the start to arrive.
    const auto until = now + valid / 2;
    known.valid_until = known.tickets.empty() ? until : std::min(known.valid_until, until);
    for (const auto& item : tickets) {
        const auto at = workers_.find(item.worker);
        if (at != workers_.end())
            known.tickets[at->second.ref] = item.ticket;
    }
}

std::string controller::ticket_for(const task_id& task, const worker_ref& on) const {
    const auto known = advice_.find({task.job, task.occurrence, task.step, 0});
    if (known == advice_.end())
        return {};
    const auto at = known->second.tickets.find(on);
    return at == known->second.tickets.end() ? std::string() : at->second;
}

} // namespace clementine::workload
