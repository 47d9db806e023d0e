// Run tracking of the controller, from the start order to the end.
#include "base/log.h"
#include "workload/controller.h"
#include "workload/pacing.h"

#include <algorithm>
#include <utility>

namespace clementine::workload {

namespace {

// Workers for which nothing was noted are reviewed as well after this time.
constexpr time_ms full_review_interval{2'000};
// An unanswered start is repeated this often before a stop bars it.
constexpr int max_start_attempts = 3;
// An unanswered stop is repeated after this time.
constexpr time_ms stop_retry{300};
constexpr time_ms hold_retry{150};
// Pause after an answer with ends in large fleets, so that one answer carries several ends.
constexpr time_ms hold_pause_large_fleet{60};
// Maximum number of ends in one answer; the worker may have more.
constexpr std::size_t ends_per_answer = 500;
// A run without progress for this long, over several lists, is stalled.
constexpr time_ms stall_time{2'000};
constexpr int min_lists_without_progress = 3;
constexpr int full_pace = 100;
// An unclear pace is ordered again after this time.
constexpr time_ms pace_retry{1'000};
// Consecutive failed runs of different jobs after which a worker is quarantined.
constexpr int failures_before_quarantine = 3;
constexpr time_ms min_quarantine_time{1'500};
constexpr time_ms max_quarantine_time{8'000};
// Weight of a new sample in the moving average of the ratio of actual to estimated time.
constexpr double estimate_weight = 0.05;
constexpr double min_estimate_rate = 0.4;
// Weight of a new sample in the moving average of the time to start a run.
constexpr double start_latency_weight = 0.02;
constexpr double max_estimate_rate = 2.5;
// Tasks on a draining worker count as unavailable at once, and are stopped after this time: an
// upkeep that was ordered before may still be on its way.
constexpr time_ms evacuation_delay{400};
// Refused connections after which a worker that announced its shutdown, or whose VM was ordered
// away, counts as ended.
constexpr int refusals_before_end = 2;
// A worker ends within this time after the acknowledgement of its notice.
constexpr time_ms shutdown_time{1'000};

// True if the answer tells whether a start was carried out, by whichever life of the worker.
bool is_settled(order_answer answer) {
    return answer != order_answer::no_answer && answer != order_answer::other_life;
}

} // namespace

// Marks a run as lost: it is not running, and how it ended is unknown.
void controller::mark_lost(worker& target, const run_key& key, const char* reason) {
    const auto it = target.runs.find(key);
    if (it == target.runs.end())
        return;
    if (!it->second.unexpected && it->second.stage != run_stage::proposed) {
        pending_decisions_.log.emplace_back(lose_run{key.first, key.second, it->second.checkpoint});
        ++counters_.lost_runs;
        log_event(log_level::info, "run_lost")
            .field("job", key.first.job)
            .field("step", key.first.step)
            .field("index", key.first.index)
            .field("run", key.second)
            .field("worker", target.ref.id)
            .field("born", target.ref.started_at)
            .field("reason", reason);
    }
    target.remove(key);
}

void controller::observe(const hold_order& order, order_answer answer, const worker_lists& lists,
                         time_ms sent_at, time_ms received_at) {
    auto* from = worker_of(order.worker);
    if (!from || order.fence != fence_)
        return;
    from->hold_under_way = false;
    const bool acknowledging = std::exchange(from->acknowledging, false);
    if (acknowledging && (answer == order_answer::no_answer || answer == order_answer::undelivered))
        from->unanswered_acknowledgement_at = received_at;
    if (answer == order_answer::undelivered) {
        from->next_hold_at = received_at + hold_retry;
        return;
    }
    from->next_hold_at =
        received_at +
        (lists.ended.empty() || workers_.size() < large_fleet_workers ? 0 : hold_pause_large_fleet);
    if (answer == order_answer::done) {
        if (from->hold_unanswered)
            log_event(log_level::info, "worker_responding").field("worker", from->ref.id);
        if (from->ordered_away_at != 0 && sent_at > from->ordered_away_at) {
            log_event(log_level::info, "worker_outlived_order").field("worker", from->ref.id);
            from->ordered_away_at = 0;
            vms_.observe_still_up(from->ref.id);
        }
        if (from->leaving && !from->says_draining && sent_at >= from->leaving_since + shutdown_time)
            observe_staying(*from);
        from->refused_holds = 0;
        from->hold_unanswered = false;
        if (!std::exchange(from->contacted, true))
            end_former_holders(*from, sent_at);
        from->unanswered_start_at = 0;
        from->clock = lists.clock;
        from->clock_seen_at = received_at;
        record_acknowledgement(*from, lists);
        resolve_listed(*from, lists, sent_at, received_at);
        record_ends(*from, lists, received_at);
        resolve_absent(*from, lists, sent_at);
        pace_best_effort_runs(*from, received_at);
        return;
    }
    from->next_hold_at = received_at + hold_retry;
    if (answer == order_answer::no_answer && order.lease_until)
        from->open_lease_at = received_at;
    counters_.silent_workers += from->hold_unanswered ? 0 : 1;
    if (!from->hold_unanswered)
        log_event(log_level::warning, "worker_silent")
            .field("worker", from->ref.id)
            .field("answer", to_name(answer))
            .field("runs", std::uint64_t{from->runs.size()});
    from->hold_unanswered = true;
    // An attempt to connect that times out shows nothing: a worker that is cut off works on.
    from->refused_holds = answer == order_answer::refused ? from->refused_holds + 1 : 0;
    if (answer == order_answer::other_life || ((from->leaving || from->ordered_away_at != 0) &&
                                               from->refused_holds >= refusals_before_end)) {
        if (from->notice_came)
            vms_.observe_leaving(order.worker.id);
        mark_runs_lost(*from, to_name(answer).data());
        drop_worker(order.worker.id);
    }
}

// A worker lists all ends that it has not forgotten.
void controller::record_acknowledgement(worker& from, const worker_lists& lists) {
    from.acknowledged = from.last_seen;
    for (const auto& item : lists.ended)
        from.acknowledged = std::min(from.acknowledged, item.number - 1);
}

// Updates the runs that the worker lists as running.
void controller::resolve_listed(worker& from, const worker_lists& lists, time_ms sent_at,
                                time_ms now) {
    ++from.answered_lists;
    for (const auto& item : lists.running) {
        auto* run = from.find(item.task, item.run);
        if (!run) {
            // Known to the log from earlier, or not ours: the review stops it if it is not current.
            live_run added;
            added.task = item.task;
            added.run = item.run;
            added.stage = run_stage::listed;
            added.since = now;
            const auto* owner = table_.find_job(item.task.job);
            if (owner && item.task.step < owner->spec.steps.size()) {
                const auto& step = owner->spec.steps[item.task.step];
                added.need = occupied_resources(step);
                added.charge = charge_of(*owner, step);
                added.long_running = step.long_running;
                added.best_effort = step.best_effort;
                added.target_tail_latency = step.target_tail_latency;
            }
            // The specification of an ended job may be gone.
            const auto known = std::ranges::find_if(from.loose_starts, [&](const auto& start) {
                return start.task == item.task && start.run == item.run;
            });
            if (known != from.loose_starts.end())
                added.charge = known->charge;
            if (added.best_effort)
                added.assume_paused();
            added.unexpected = !is_current(from, added);
            run = &from.add(std::move(added));
            from.review_due = true;
            log_event(log_level::warning, "run_unexpected")
                .field("job", item.task.job)
                .field("run", item.run)
                .field("worker", from.ref.id);
        }
        run->last_list = from.answered_lists;
        if (run->stage != run_stage::listed) {
            run->stage = run_stage::listed;
            run->inherited = false;
            from.review_due = from.review_due || from.draining;
            run->progress_at = run->listed_at = now;
            if (run->confirmed_at == 0)
                run->confirmed_at = sent_at;
        }
        note_progress(*run, item.percent, now);
        if (run->lists_without_progress >= min_lists_without_progress && !run->long_running)
            from.review_due = true;
        if (!item.checkpoint.empty())
            run->checkpoint = item.checkpoint;
        run->load = item.load;
    }
}

// A run that pacing holds back makes no progress, which says nothing about the worker.
void controller::note_progress(live_run& run, int percent, time_ms now) {
    const auto since_list = now - std::exchange(run.listed_at, now);
    if (percent > run.percent) {
        run.progress_at = now;
        run.throttled = 0;
        run.lists_without_progress = 0;
    } else {
        run.throttled += since_list * (full_pace - run.known_pace()) / full_pace;
        run.lists_without_progress += run.known_pace() > 0 ? 1 : 0;
    }
    run.percent = percent;
}

void controller::record_ends(worker& from, const worker_lists& lists, time_ms now) {
    for (const auto& item : lists.ended) {
        if (item.number <= from.last_logged)
            continue;
        from.last_logged = std::max(from.last_logged, item.number);
        auto* run = from.find(item.task, item.run);
        const bool stopped = run && run->stop_wanted;
        if (item.how == run_end::done) {
            record_success(from);
            const auto* owner = table_.find_job(item.task.job);
            if (run && owner && item.task.step < owner->spec.steps.size() &&
                run->confirmed_at != 0 && item.checkpoint.empty()) {
                const auto& step = owner->spec.steps[item.task.step];
                const auto run_time = static_cast<double>(now - run->confirmed_at);
                auto& rate = estimate_rates_.try_emplace(owner->queue, 1.0).first->second;
                if (step.estimate > 0 && !step.long_running)
                    rate +=
                        estimate_weight * (std::clamp(run_time / static_cast<double>(step.estimate),
                                                      min_estimate_rate, max_estimate_rate) -
                                           rate);
            }
        } else if (item.how == run_end::failed && !stopped && !(run && run->long_running)) {
            failed_on_[item.task] = from.ref.id;
            record_failure(from, item.task.job, now, "failed");
        }
        pending_decisions_.log.emplace_back(
            end_run{item.task, item.run, item.how, item.checkpoint});
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
        pending_decisions_.ends.push_back({from.ref, item.number});
    }
}

// Marks runs as lost that the worker confirmed or barred and that it lists neither as running nor
// as ended.
void controller::resolve_absent(worker& from, const worker_lists& lists, time_ms sent_at) {
    if (lists.ended.size() >= ends_per_answer)
        return;
    std::vector<std::pair<run_key, const char*>> absent;
    for (const auto& [key, run] : from.runs) {
        if (run.last_list == from.answered_lists || run.stage == run_stage::proposed)
            continue;
        // The fencing number of this call bars all orders of earlier leaders.
        const bool confirmed = run.confirmed_at != 0 && run.confirmed_at < sent_at;
        const bool barred = run.stop_answered_at != 0 && run.stop_answered_at < sent_at;
        if (barred)
            absent.emplace_back(key, "barred");
        else if (run.inherited)
            absent.emplace_back(key, "unknown to the worker");
        else if (confirmed)
            absent.emplace_back(key, "neither running nor ended");
    }
    for (const auto& [key, reason] : absent)
        mark_lost(from, key, reason);
}

// Load pattern: see pacing.h.
void controller::pace_best_effort_runs(worker& target, time_ms now) {
    const bool any =
        std::ranges::any_of(target.runs, [](const auto& item) { return item.second.best_effort; });
    if (!any)
        return;
    const auto worst = worst_tail_ratio(target);
    if (worst >= tail_ratio_limit)
        target.tail_high_at = now;
    for (auto& [key, run] : target.runs) {
        if (!run.best_effort || run.stage != run_stage::listed || run.pace_under_way ||
            run.stop_wanted)
            continue;
        auto next = next_pace(run.pace, worst, now - target.tail_high_at);
        // Nothing on the worker needs the pause that an earlier leader may have ordered.
        if (run.pace_unclear && worst == 0 && run.pace != full_pace)
            next = full_pace;
        if (!next && run.pace_unclear && is_pace_decided(worst) &&
            now - run.pace_sent_at >= pace_retry)
            next = run.pace;
        if (!next)
            continue;
        log_event(log_level::info, "best_effort_run_paced")
            .field("job", run.task.job)
            .field("index", run.task.index)
            .field("worker", target.ref.id)
            .field("percent", *next)
            .field("tail_ratio", worst);
        run.pace_under_way = true;
        run.pace_sent_at = now;
        pending_decisions_.orders.emplace_back(
            pace_order{target.ref, target.address, run.task, run.run, *next, fence_});
    }
}

void controller::record_success(worker& target) {
    target.health.failed = 0;
    target.health.on_probation = false;
    target.health.quarantine_time = 0;
}

void controller::record_failure(worker& target, const std::string& job, time_ms now,
                                const char* reason) {
    auto& health = target.health;
    if (health.last_failed_job == job && !health.on_probation)
        return; // the job itself may be faulty
    health.last_failed_job = job;
    ++health.failed;
    if (health.failed < failures_before_quarantine && !health.on_probation)
        return;
    health.quarantine_time =
        std::clamp(health.quarantine_time * 2, min_quarantine_time, max_quarantine_time);
    health.quarantined_until = now + health.quarantine_time;
    health.on_probation = true;
    ++counters_.quarantined_workers;
    log_event(log_level::warning, "worker_quarantined")
        .field("worker", target.ref.id)
        .field("reason", reason)
        .field("failures", health.failed)
        .field("duration_ms", health.quarantine_time);
}

// Returns the worker that an answer is about, or nullptr if the answer is out of date or from
// another life.
worker* controller::find_answering_worker(const worker_ref& ref, std::uint64_t fence,
                                          order_answer answer) {
    auto* target = worker_of(ref);
    if (!target || fence != fence_)
        return nullptr;
    target->review_due = target->review_due || answer != order_answer::done;
    if (answer != order_answer::other_life)
        return target;
    mark_runs_lost(*target, "another life answered");
    drop_worker(ref.id);
    return nullptr;
}

// An attempt that was certainly not carried out needs no stop in the next life.
void controller::settle_start_for_former_life(const start_order& order, order_answer answer) {
    const auto it = workers_.find(order.worker.id);
    if (it == workers_.end() || it->second.ref == order.worker || order.fence != fence_)
        return;
    auto* run = it->second.find(order.task, order.run);
    if (!run || run->open_starts == 0 || !is_settled(answer) || answer == order_answer::done)
        return;
    if (--run->open_starts == 0 && !run->may_begin_in_next_life() &&
        run->stage == run_stage::ordered)
        mark_lost(it->second, {order.task, order.run}, to_name(answer).data());
}

void controller::observe(const start_order& order, order_answer answer, time_ms now) {
    settle_start_for_former_life(order, answer);
    auto* target = find_answering_worker(order.worker, order.fence, answer);
    if (!target)
        return;
    auto* run = target->find(order.task, order.run);
    if (!run)
        return;
    run->order_under_way = false;
    if (is_settled(answer) && run->open_starts > 0)
        --run->open_starts;
    // The answer does not tell the life, and a start that is refused may extend the lease as well.
    if (answer != order_answer::undelivered && answer != order_answer::not_sent &&
        answer != order_answer::refused)
        target->open_lease_at = now;
    if (answer == order_answer::undelivered) {
        --run->start_attempts; // the review sends it again
        return;
    }
    if (answer == order_answer::done) {
        if (run->confirmed_at == 0 && run->start_attempts == 1)
            start_latency_ +=
                start_latency_weight * (static_cast<double>(now - run->since) - start_latency_);
        run->confirmed_at = now;
        target->unanswered_start_at = 0;
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
        record_failure(*target, order.task.job, now, "unhealthy");
    if (answer == order_answer::no_ticket)
        advice_.erase({order.task.job, order.task.occurrence, order.task.step, 0});
    if (answer == order_answer::no_answer)
        target->unanswered_start_at = now;
    if (answer == order_answer::not_sent || answer == order_answer::refused) {
        target->hold_unanswered = true;
        target->next_hold_at = now;
    }
    // Only an earlier attempt without an answer may still arrive; a stop bars it.
    if (answer != order_answer::no_answer && run->start_attempts == 1)
        mark_lost(*target, {order.task, order.run}, to_name(answer).data());
    else if (answer != order_answer::no_answer || run->start_attempts >= max_start_attempts)
        run->stop_wanted = true;
}

void controller::observe(const stop_order& order, order_answer answer, time_ms now) {
    auto* target = find_answering_worker(order.worker, order.fence, answer);
    if (!target)
        return;
    auto* run = target->find(order.task, order.run);
    if (!run)
        return;
    run->stop_under_way = false;
    if (answer == order_answer::done) {
        run->stop_answered_at = now;
        target->next_hold_at = std::min(target->next_hold_at, now);
    }
}

// An order without an answer may be carried out after later ones. The pace stays unclear until it
// can arrive no more and a later one is confirmed.
void controller::observe(const pace_order& order, order_answer answer, time_ms now) {
    auto* target = find_answering_worker(order.worker, order.fence, answer);
    auto* run = target ? target->find(order.task, order.run) : nullptr;
    if (!run)
        return;
    run->pace_under_way = false;
    if (answer == order_answer::done) {
        run->pace = order.percent;
        run->pace_unclear = run->pace_unclear && run->pace_sent_at < run->pace_open_until;
    } else if (answer == order_answer::no_answer) {
        run->pace_unclear = true;
        run->pace_open_until = now + max_order_delay;
    }
}

std::vector<order> controller::committed(const decisions& done, const std::vector<bool>& accepted,
                                         time_ms now) {
    if (!leading())
        return {};
    for (std::size_t i = 0; i < done.log.size(); ++i) {
        if (const auto* announced = std::get_if<announce_vm_order>(&done.log[i]))
            vms_.committed(*announced, now, pending_decisions_.orders);
        const auto* start = std::get_if<start_run>(&done.log[i]);
        if (!start)
            continue;
        starting_.erase(start->task);
        changed_jobs_.insert(start->task.job);
        auto* target = worker_of(start->worker);
        auto* run = target ? target->find(start->task, start->run) : nullptr;
        if (!accepted[i]) {
            if (run)
                target->remove({start->task, start->run});
            continue;
        }
        if (run) {
            run->stage = run_stage::ordered;
            target->review_due = true;
            issue_start(*target, *run, now);
        } else {
            // The worker was dropped while the start was being logged; no order was sent.
            pending_decisions_.log.emplace_back(lose_run{start->task, start->run, {}});
        }
    }
    for (const auto& item : done.ends) {
        if (auto* target = worker_of(item.worker))
            target->last_seen = std::max(target->last_seen, item.number);
    }
    return std::exchange(pending_decisions_.orders, {});
}

bool controller::is_wanted(const order& value) const {
    return std::visit(
        [this](const auto& item) {
            using type = std::decay_t<decltype(item)>;
            if constexpr (requires { item.worker; }) {
                const auto it = workers_.find(item.worker.id);
                if (it == workers_.end() || it->second.ref != item.worker || item.fence != fence_)
                    return false;
                if constexpr (std::is_same_v<type, start_order>) {
                    const auto run = it->second.runs.find({item.task, item.run});
                    return run != it->second.runs.end() && !run->second.stop_wanted &&
                           is_current(it->second, run->second);
                }
            }
            return true;
        },
        value);
}

bool controller::is_current(const worker& target, const live_run& run) const {
    if (run.stage == run_stage::proposed)
        return true;
    const auto* owner = table_.find_job(run.task.job);
    if (!owner || owner->ended())
        return false;
    const auto* item = find_task(*owner, run.task);
    return item && item->phase == task_phase::assigned && item->run == run.run &&
           item->worker == target.ref;
}

void controller::issue_start(worker& target, live_run& run, time_ms now) {
    if (!is_current(target, run)) {
        // Canceled before the order was sent. It is barred nevertheless, so that the worker's list
        // proves its absence.
        run.stop_wanted = true;
        return;
    }
    const auto until = target.lease_to_grant(now);
    target.lease_until = std::max(target.lease_until, until);
    target.open_lease_at = now;
    run.order_under_way = true;
    ++run.start_attempts;
    ++run.open_starts;
    run.last_start_at = now;
    ++counters_.starts;
    const auto* item = table_.find_task(run.task);
    start_order order;
    order.worker = target.ref;
    order.address = target.address;
    order.task = run.task;
    order.run = run.run;
    order.payload = table_.find_job(run.task.job)->spec.payload;
    order.lease_until = until;
    order.fence = fence_;
    order.checkpoint = item->checkpoint;
    order.ticket = ticket_for(run.task, target.ref);
    pending_decisions_.orders.emplace_back(std::move(order));
}

void controller::issue_stop(worker& target, live_run& run, time_ms now) {
    run.stop_under_way = true;
    run.stop_sent_at = now;
    pending_decisions_.orders.emplace_back(
        stop_order{target.ref, target.address, run.task, run.run, fence_});
}

void controller::review_run(worker& target, live_run& run, time_ms now) {
    if (run.stage == run_stage::proposed || run.order_under_way)
        return;
    if (!run.stop_wanted && !is_current(target, run))
        run.stop_wanted = true;
    if (!run.stop_wanted && target.draining && run.long_running && run.stage == run_stage::listed &&
        now - target.draining_since >= evacuation_delay) {
        log_event(log_level::info, "run_evacuated")
            .field("job", run.task.job)
            .field("index", run.task.index)
            .field("worker", target.ref.id);
        run.stop_wanted = true;
    }
    if (!run.stop_wanted && !run.long_running && run.stage == run_stage::listed &&
        run.lists_without_progress >= min_lists_without_progress &&
        run.active_without_progress(now) > stall_time) {
        ++counters_.stalled_runs;
        log_event(log_level::warning, "run_stalled")
            .field("job", run.task.job)
            .field("index", run.task.index)
            .field("run", run.run)
            .field("worker", target.ref.id)
            .field("percent", run.percent);
        failed_on_[run.task] = target.ref.id;
        record_failure(target, run.task.job, now, "stalled");
        run.stop_wanted = true;
    }
    if (run.stop_wanted) {
        if (!run.stop_under_way && run.stop_answered_at == 0 && target.contacted &&
            now - run.stop_sent_at >= stop_retry)
            issue_stop(target, run, now);
        return;
    }
    if (run.stage == run_stage::ordered && !run.inherited && target.contacted)
        issue_start(target, run, now);
}

// Load pattern: a surge keeps thousands of runs on hundreds of workers, nearly all as expected.
void controller::review_workers(time_ms now) {
    const bool all = now - all_reviewed_at_ >= full_review_interval;
    if (all)
        all_reviewed_at_ = now;
    for (auto& [id, item] : workers_) {
        if (all || item.review_due)
            review_runs(item, now);
    }
}

// Stays due while a run has an order that may have to be repeated.
void controller::review_runs(worker& target, time_ms now) {
    target.review_due = false;
    counters_.runs_reviewed += target.runs.size();
    for (auto& [key, run] : target.runs) {
        review_run(target, run, now);
        const bool no_progress =
            !run.long_running && run.lists_without_progress >= min_lists_without_progress;
        if (run.stop_wanted || run.stage == run_stage::ordered || no_progress || target.draining)
            target.review_due = true;
    }
}

} // namespace clementine::workload
