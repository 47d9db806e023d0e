// The part of the controller that follows runs from their order to their end.
#include "base/log.h"
#include "workload/controller.h"
#include "workload/pacing.h"

#include <algorithm>
#include <utility>

namespace clementine::workload {

namespace {

// A start that went unanswered is repeated this often before it is barred by a stop.
constexpr int max_start_attempts = 3;
// A stop that went unanswered is repeated after this time.
constexpr time_ms stop_retry{300};
constexpr time_ms hold_retry{150};
// Pause after an answer with ends, so that one answer carries several where there are many workers.
constexpr time_ms hold_pause_many{60};
// Ends that one answer can carry; the list may go on behind them.
constexpr std::size_t ends_per_answer = 500;
// A run without progress for this long, over several lists, stands still.
constexpr time_ms stalled_after{2'000};
constexpr int stalled_lists = 3;
// Failed runs in a row, of different jobs, after which a worker gets no work for a while.
constexpr int failures_to_shun = 3;
constexpr time_ms first_exclusion{1'500};
constexpr time_ms longest_exclusion{8'000};
// Weight of a new observation in the ratio of actual to estimated time.
constexpr double estimate_weight = 0.05;
constexpr double lowest_rate = 0.4;
constexpr double highest_rate = 2.5;
// A worker that said good-bye and refuses connections has ended.
constexpr int refusals_to_end = 2;

} // namespace

// The run is known not to run any more.
void controller::lose(worker& on, const run_key& key) {
    const auto at = on.runs.find(key);
    if (at == on.runs.end())
        return;
    if (!at->second.foreign && at->second.stage != run_stage::logging) {
        out_.log.emplace_back(lose_run{key.first, key.second, at->second.checkpoint});
        ++counters_.lost_runs;
        log_event(log_level::info, "run_lost")
            .field("job", key.first.job)
            .field("step", key.first.step)
            .field("index", key.first.index)
            .field("run", key.second)
            .field("worker", on.ref.id);
    }
    on.remove(key);
}

void controller::observe(const hold_order& order, order_answer answer, const worker_lists& lists,
                         time_ms sent_at, time_ms received_at) {
    auto* from = worker_of(order.worker);
    if (!from || order.fence != fence_)
        return;
    from->hold_under_way = false;
    from->next_hold_at =
        received_at +
        (lists.ended.empty() || workers_.size() < large_fleet_workers ? 0 : hold_pause_many);
    if (answer == order_answer::done) {
        if (from->hold_unanswered)
            log_event(log_level::info, "worker_answers").field("worker", from->ref.id);
        from->refused_holds = 0;
        from->hold_unanswered = false;
        from->contacted = true;
        from->unanswered_start_at = 0;
        from->clock = lists.clock;
        from->clock_seen_at = received_at;
        resolve_listed(*from, lists, sent_at, received_at);
        take_ends(*from, lists, received_at);
        resolve_absent(*from, lists, sent_at);
        pace_fillers(*from, received_at);
        return;
    }
    from->next_hold_at = received_at + hold_retry;
    counters_.silent_workers += from->hold_unanswered ? 0 : 1;
    if (!from->hold_unanswered)
        log_event(log_level::warning, "worker_silent")
            .field("worker", from->ref.id)
            .field("answer", to_name(answer))
            .field("runs", std::uint64_t{from->runs.size()});
    from->hold_unanswered = true;
    if (answer == order_answer::not_sent)
        ++from->refused_holds;
    if (answer == order_answer::other_life ||
        (from->leaving && from->refused_holds >= refusals_to_end)) {
        forget_life(*from, to_name(answer).data());
        drop_worker(order.worker.id);
    }
}

// Takes over what the worker lists as running.
void controller::resolve_listed(worker& from, const worker_lists& lists, time_ms sent_at,
                                time_ms now) {
    for (const auto& item : lists.running) {
        auto* run = from.find(item.task, item.run);
        if (!run) {
            // Known to the log from an earlier time, or not ours at all: stopped by the review.
            live_run added;
            added.task = item.task;
            added.run = item.run;
            added.stage = run_stage::listed;
            const auto* owner = table_.find_job(item.task.job);
            if (owner && item.task.step < owner->spec.steps.size()) {
                const auto& step = owner->spec.steps[item.task.step];
                added.need = occupied(step);
                added.long_running = step.long_running;
                added.best_effort = step.best_effort;
                added.target_tail_latency = step.target_tail_latency;
            }
            added.foreign = !is_current(from, added);
            run = &from.add(std::move(added));
            log_event(log_level::warning, "run_not_expected")
                .field("job", item.task.job)
                .field("run", item.run)
                .field("worker", from.ref.id);
        }
        if (run->stage != run_stage::listed) {
            run->stage = run_stage::listed;
            run->inherited = false;
            run->progress_at = now;
            if (run->confirmed_at == 0)
                run->confirmed_at = sent_at;
        }
        if (item.percent > run->percent) {
            run->percent = item.percent;
            run->progress_at = now;
            run->lists_without_progress = 0;
        } else {
            ++run->lists_without_progress;
            run->percent = item.percent;
        }
        if (!item.checkpoint.empty())
            run->checkpoint = item.checkpoint;
        run->load = item.load;
    }
}

void controller::take_ends(worker& from, const worker_lists& lists, time_ms now) {
    for (const auto& item : lists.ended) {
        if (item.number <= from.last_logged)
            continue;
        from.last_logged = std::max(from.last_logged, item.number);
        auto* run = from.find(item.task, item.run);
        const bool stopped = run && run->stop_wanted;
        if (item.how == run_end::done) {
            record_success(from);
            const auto* owner = table_.find_job(item.task.job);
            if (run && owner && run->confirmed_at != 0 && item.checkpoint.empty()) {
                const auto& step = owner->spec.steps[item.task.step];
                const auto took = static_cast<double>(now - run->confirmed_at);
                auto& rate = estimate_rates_.try_emplace(owner->queue, 1.0).first->second;
                if (step.estimate > 0 && !step.long_running)
                    rate += estimate_weight * (std::clamp(took / static_cast<double>(step.estimate),
                                                          lowest_rate, highest_rate) -
                                               rate);
            }
        } else if (item.how == run_end::failed && !stopped && !(run && run->long_running)) {
            failed_on_[item.task] = from.ref.id;
            record_failure(from, item.task.job, now, "failed");
        }
        out_.log.emplace_back(end_run{item.task, item.run, item.how, item.checkpoint});
        ++counters_.ends[static_cast<std::size_t>(item.how)];
        if (item.how != run_end::done)
            log_event(log_level::info, "run_ended")
                .field("job", item.task.job)
                .field("step", item.task.step)
                .field("index", item.task.index)
                .field("run", item.run)
                .field("how", to_name(item.how))
                .field("worker", from.ref.id)
                .field("number", item.number);
        from.remove({item.task, item.run});
        out_.ends.push_back({from.ref, item.number});
    }
}

// A run that the worker has confirmed or barred, and that it lists neither as running nor as
// ended, is not there.
void controller::resolve_absent(worker& from, const worker_lists& lists, time_ms sent_at) {
    if (lists.ended.size() >= ends_per_answer)
        return;
    std::set<run_key> listed;
    for (const auto& item : lists.running)
        listed.emplace(item.task, item.run);
    std::vector<run_key> absent;
    for (const auto& [key, run] : from.runs) {
        if (listed.contains(key) || run.stage == run_stage::logging)
            continue;
        // The fence of this call bars all orders of earlier leaders.
        const bool confirmed = run.confirmed_at != 0 && run.confirmed_at < sent_at;
        const bool barred = run.stop_answered_at != 0 && run.stop_answered_at < sent_at;
        if (run.inherited || confirmed || barred)
            absent.push_back(key);
    }
    for (const auto& key : absent)
        lose(from, key);
}

// Load pattern: see pacing.h.
void controller::pace_fillers(worker& on, time_ms now) {
    const bool any =
        std::ranges::any_of(on.runs, [](const auto& item) { return item.second.best_effort; });
    if (!any)
        return;
    const auto worst = worst_tail_ratio(on);
    if (worst >= tail_too_high)
        on.tail_high_at = now;
    for (auto& [key, run] : on.runs) {
        if (!run.best_effort || run.stage != run_stage::listed || run.pace_under_way ||
            run.stop_wanted)
            continue;
        const auto next = next_pace(run.pace, worst, now - on.tail_high_at);
        if (!next)
            continue;
        log_event(log_level::info, "filler_paced")
            .field("job", run.task.job)
            .field("index", run.task.index)
            .field("worker", on.ref.id)
            .field("percent", *next)
            .field("tail_ratio", worst);
        run.pace_under_way = true;
        out_.orders.emplace_back(pace_order{on.ref, on.address, run.task, run.run, *next, fence_});
    }
}

void controller::record_success(worker& on) {
    on.health.failed = 0;
    on.health.on_probation = false;
    on.health.shun_for = 0;
}

void controller::record_failure(worker& on, const std::string& job, time_ms now,
                                const char* reason) {
    auto& health = on.health;
    if (health.last_failed_job == job && !health.on_probation)
        return; // perhaps the job's own fault
    health.last_failed_job = job;
    ++health.failed;
    if (health.failed < failures_to_shun && !health.on_probation)
        return;
    health.shun_for = std::clamp(health.shun_for * 2, first_exclusion, longest_exclusion);
    health.shunned_until = now + health.shun_for;
    health.on_probation = true;
    ++counters_.quarantined_workers;
    log_event(log_level::warning, "worker_shunned")
        .field("worker", on.ref.id)
        .field("reason", reason)
        .field("failures", health.failed)
        .field("for_ms", health.shun_for);
}

// The worker that an answer is about; nullptr if it is out of date or another life has answered.
worker* controller::answering(const worker_ref& ref, std::uint64_t fence, order_answer answer) {
    auto* on = worker_of(ref);
    if (!on || fence != fence_)
        return nullptr;
    if (answer != order_answer::other_life)
        return on;
    forget_life(*on, "another life answered");
    drop_worker(ref.id);
    return nullptr;
}

void controller::observe(const start_order& order, order_answer answer, time_ms now) {
    auto* on = answering(order.worker, order.fence, answer);
    if (!on)
        return;
    auto* run = on->find(order.task, order.run);
    if (!run)
        return;
    run->order_under_way = false;
    if (answer == order_answer::done) {
        run->confirmed_at = now;
        on->unanswered_start_at = 0;
        if (run->stage == run_stage::ordered)
            run->stage = run_stage::confirmed;
        return;
    }
    ++counters_.unconfirmed_starts;
    log_event(log_level::warning, "start_not_confirmed")
        .field("job", order.task.job)
        .field("step", order.task.step)
        .field("index", order.task.index)
        .field("run", order.run)
        .field("worker", order.worker.id)
        .field("answer", to_name(answer))
        .field("attempt", run->start_attempts);
    if (answer == order_answer::unhealthy)
        record_failure(*on, order.task.job, now, "unhealthy");
    if (answer == order_answer::no_ticket)
        advice_.erase({order.task.job, order.task.occurrence, order.task.step, 0});
    if (answer == order_answer::no_answer)
        on->unanswered_start_at = now;
    if (answer == order_answer::not_sent) {
        on->hold_unanswered = true;
        on->next_hold_at = now;
    }
    // Only an earlier attempt without an answer may still be on its way; a stop bars it.
    if (answer != order_answer::no_answer && run->start_attempts == 1)
        lose(*on, {order.task, order.run});
    else if (answer != order_answer::no_answer || run->start_attempts >= max_start_attempts)
        run->stop_wanted = true;
}

void controller::observe(const stop_order& order, order_answer answer, time_ms now) {
    auto* on = answering(order.worker, order.fence, answer);
    if (!on)
        return;
    auto* run = on->find(order.task, order.run);
    if (!run)
        return;
    run->stop_under_way = false;
    if (answer == order_answer::done) {
        run->stop_answered_at = now;
        on->next_hold_at = std::min(on->next_hold_at, now);
    }
}

void controller::observe(const pace_order& order, order_answer answer, time_ms) {
    auto* on = answering(order.worker, order.fence, answer);
    auto* run = on ? on->find(order.task, order.run) : nullptr;
    if (!run)
        return;
    run->pace_under_way = false;
    if (answer == order_answer::done)
        run->pace = order.percent;
}

std::vector<order> controller::committed(const decisions& done, const std::vector<bool>& accepted,
                                         time_ms now) {
    if (!leading())
        return {};
    for (std::size_t i = 0; i < done.log.size(); ++i) {
        if (const auto* announced = std::get_if<announce_vm_order>(&done.log[i]))
            vms_.committed(*announced, now, out_.orders);
        const auto* start = std::get_if<start_run>(&done.log[i]);
        if (!start)
            continue;
        starting_.erase(start->task);
        auto* on = worker_of(start->worker);
        auto* run = on ? on->find(start->task, start->run) : nullptr;
        if (!accepted[i]) {
            if (run)
                on->remove({start->task, start->run});
            continue;
        }
        if (run) {
            run->stage = run_stage::ordered;
            issue_start(*on, *run, now);
        } else {
            // The worker went while the start was being logged; no order has left.
            out_.log.emplace_back(lose_run{start->task, start->run, {}});
        }
    }
    for (const auto& item : done.ends) {
        if (auto* on = worker_of(item.worker))
            on->last_seen = std::max(on->last_seen, item.number);
    }
    return std::exchange(out_.orders, {});
}

bool controller::is_current(const worker& on, const live_run& run) const {
    if (run.stage == run_stage::logging)
        return true;
    const auto* owner = table_.find_job(run.task.job);
    const auto* item = table_.find_task(run.task);
    return owner && item && !owner->ended() && item->phase == task_phase::assigned &&
           item->run == run.run && item->worker == on.ref;
}

void controller::issue_start(worker& on, live_run& run, time_ms now) {
    if (!is_current(on, run)) {
        // Cancelled before the order left: bar it nevertheless, the list then proves its absence.
        run.stop_wanted = true;
        return;
    }
    const auto until = on.lease_to_grant(now);
    on.lease_until = std::max(on.lease_until, until);
    run.order_under_way = true;
    ++run.start_attempts;
    ++counters_.starts;
    const auto* item = table_.find_task(run.task);
    start_order order;
    order.worker = on.ref;
    order.address = on.address;
    order.task = run.task;
    order.run = run.run;
    order.payload = table_.find_job(run.task.job)->spec.payload;
    order.until = until;
    order.fence = fence_;
    order.checkpoint = item->checkpoint;
    order.ticket = ticket_for(run.task, on.ref);
    out_.orders.emplace_back(std::move(order));
}

void controller::issue_stop(worker& on, live_run& run, time_ms now) {
    run.stop_under_way = true;
    run.stop_tried_at = now;
    out_.orders.emplace_back(stop_order{on.ref, on.address, run.task, run.run, fence_});
}

void controller::review_run(worker& on, live_run& run, time_ms now) {
    if (run.stage == run_stage::logging || run.order_under_way)
        return;
    if (!run.stop_wanted && !is_current(on, run))
        run.stop_wanted = true;
    if (!run.stop_wanted && on.draining && run.long_running && run.stage == run_stage::listed) {
        log_event(log_level::info, "run_evacuated")
            .field("job", run.task.job)
            .field("index", run.task.index)
            .field("worker", on.ref.id);
        run.stop_wanted = true;
    }
    if (!run.stop_wanted && !run.long_running && run.stage == run_stage::listed &&
        run.lists_without_progress >= stalled_lists && now - run.progress_at > stalled_after) {
        ++counters_.stalled_runs;
        log_event(log_level::warning, "run_stalled")
            .field("job", run.task.job)
            .field("index", run.task.index)
            .field("run", run.run)
            .field("worker", on.ref.id)
            .field("percent", run.percent);
        failed_on_[run.task] = on.ref.id;
        record_failure(on, run.task.job, now, "stalled");
        run.stop_wanted = true;
    }
    if (run.stop_wanted) {
        if (!run.stop_under_way && run.stop_answered_at == 0 && on.contacted &&
            now - run.stop_tried_at >= stop_retry)
            issue_stop(on, run, now);
        return;
    }
    if (run.stage == run_stage::ordered && !run.inherited && on.contacted)
        issue_start(on, run, now);
}

void controller::review_runs(worker& on, time_ms now) {
    for (auto& [key, run] : on.runs)
        review_run(on, run, now);
}

} // namespace clementine::workload
