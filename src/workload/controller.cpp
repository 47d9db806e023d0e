#include "workload/controller.h"

#include "base/log.h"
#include "workload/pacing.h"

#include <algorithm>
#include <utility>

namespace clementine::workload {

namespace {

// A start that went unanswered is repeated this often before it is barred by a stop.
constexpr int max_start_attempts = 3;
// A stop that went unanswered is repeated after this time.
constexpr time_ms stop_retry{300};
// Longest wait of a hold for an end; the platform allows 2 s.
constexpr time_ms hold_wait{1'200};
// Workers with lasting tasks are asked more often, to see their response times.
constexpr time_ms serving_hold_wait{500};
constexpr time_ms hold_retry{150};
// Pause after an answer with ends, so that one answer carries several where there are many workers.
constexpr time_ms hold_pause_many{40};
constexpr std::size_t many_workers = 100;
// Runs are checked for what goes on without news this often.
constexpr time_ms review_interval{40};
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
// A worker that has not announced itself for this long is dropped once its leases are over.
constexpr time_ms silent_worker_limit{20'000};
constexpr time_ms machine_plan_interval{100};
// Loads are measured again after this time; what is accepted in between is added to them.
constexpr time_ms load_age_limit{20};
// Workers named in one call for advice, which takes time for each, and calls at a time.
constexpr std::size_t advice_names = 30;
constexpr int max_advice_calls = 4;
constexpr time_ms advice_slack{600};
constexpr time_ms advice_retry{500};
// Leases of an earlier leader end after this time: on a clock that is 2% slow, and granted by an
// estimate of that clock that was up to 2% of a 2 s pause ahead.
constexpr time_ms inherited_lease{
    static_cast<time_ms>(static_cast<double>(worker_lease) / slow_clock_rate) + 100};

bool dependencies_done(const job& owner, const occurrence& in, std::size_t step) {
    return std::ranges::all_of(owner.spec.steps[step].depends_on, [&](std::uint32_t earlier) {
        return in.steps[earlier].done == owner.spec.steps[earlier].count;
    });
}

std::string label_at(const std::vector<std::string>& labels, std::size_t index) {
    return index < labels.size() ? labels[index] : std::string();
}

} // namespace

controller::controller(const job_table& table, controller_settings settings)
    : table_(table), settings_(std::move(settings)), machines_(table, settings_.machines) {}

void controller::lead(std::uint64_t fence, time_ms now, time_ms wall) {
    stop_leading();
    fence_ = fence;
    lead_since_ = now;
    inherit_runs(now);
    inherit_load(now, wall);
    machines_.lead(fence, now, wall);
}

// Jobs that an earlier leader took in the last moments are part of the load that is offered.
void controller::inherit_load(time_ms now, time_ms wall) {
    constexpr time_ms recent{3'000};
    load_seen_ = {};
    std::vector<const job*> jobs;
    for (const auto& [id, item] : table_.jobs()) {
        if (!item.lasting() && item.spec.times == 0 && item.accepted_at > wall - recent &&
            item.accepted_at <= wall)
            jobs.push_back(&item);
    }
    std::ranges::sort(jobs, {}, &job::accepted_at);
    for (const auto* item : jobs)
        load_seen_.offered(pool_of(*item), item->id,
                           estimated_work(item->spec, estimate_rate(item->queue)),
                           now - (wall - item->accepted_at));
}

void controller::stop_leading() {
    fence_ = 0;
    workers_.clear();
    at_address_.clear();
    old_lives_.clear();
    starting_.clear();
    failed_on_.clear();
    advice_.clear();
    advice_under_way_ = 0;
    out_ = {};
}

// Runs that the log knows are taken over with the lease that an earlier leader may have granted.
void controller::inherit_runs(time_ms now) {
    const auto lease_end = now + inherited_lease;
    for (const auto& [id, open] : table_.open_jobs()) {
        const auto& item = *open;
        for (std::uint32_t k = 0; k < item.occurrences.size(); ++k) {
            for (std::uint32_t s = 0; s < item.spec.steps.size(); ++s) {
                const auto& tasks = item.occurrences[k].steps[s].tasks;
                for (std::uint32_t i = 0; i < tasks.size(); ++i) {
                    if (tasks[i].phase != task_phase::assigned)
                        continue;
                    const auto& ref = tasks[i].worker;
                    auto [at, added] = workers_.try_emplace(ref.id);
                    auto* on = &at->second;
                    if (!added && on->ref.born < ref.born)
                        old_lives_.push_back(std::exchange(*on, {}));
                    else if (!added && on->ref.born > ref.born)
                        on = &old_lives_.emplace_back();
                    on->ref = ref;
                    on->address = tasks[i].address;
                    on->inherited_lease_end = lease_end;
                    live_run run;
                    run.task = {id, k, s, i};
                    run.run = tasks[i].run;
                    run.need = occupied(item.spec.steps[s]);
                    run.lasting = item.spec.steps[s].lasting;
                    run.filler = item.spec.steps[s].filler;
                    run.target_tail = item.spec.steps[s].target_tail;
                    run.inherited = true;
                    run.stage = run_stage::ordered;
                    run.since = now;
                    run.checkpoint = tasks[i].checkpoint;
                    on->add(std::move(run));
                }
            }
        }
    }
}

worker* controller::worker_of(const worker_ref& ref) {
    const auto at = workers_.find(ref.id);
    return at == workers_.end() || at->second.ref != ref ? nullptr : &at->second;
}

// The run is known not to run any more.
void controller::lose(worker& on, const run_key& key) {
    const auto at = on.runs.find(key);
    if (at == on.runs.end())
        return;
    if (!at->second.foreign && at->second.stage != run_stage::logging) {
        out_.log.emplace_back(lose_run{key.first, key.second, at->second.checkpoint});
        log_event(log_level::info, "run_lost")
            .field("job", key.first.job)
            .field("step", key.first.step)
            .field("index", key.first.index)
            .field("run", key.second)
            .field("worker", on.ref.id);
    }
    on.remove(key);
}

// All runs of this life have ended with it.
void controller::forget_life(worker& gone, const char* reason) {
    log_event(log_level::info, "worker_gone")
        .field("worker", gone.ref.id)
        .field("born", gone.ref.born)
        .field("reason", reason)
        .field("runs", std::uint64_t{gone.runs.size()});
    while (!gone.runs.empty()) {
        const auto key = gone.runs.begin()->first;
        lose(gone, key);
    }
}

void controller::drop_worker(const std::string& id) {
    const auto at = workers_.find(id);
    if (at == workers_.end())
        return;
    const auto address = at_address_.find(at->second.address);
    if (address != at_address_.end() && address->second == id)
        at_address_.erase(address);
    workers_.erase(at);
}

bool controller::observe(const worker_report& report, time_ms now) {
    if (ended_lives_.contains(report.worker))
        return false;
    const auto holder = at_address_.find(report.address);
    if (holder != at_address_.end() && holder->second != report.worker.id) {
        auto& other = workers_.at(holder->second);
        if (other.ref.born > report.worker.born)
            return false;
        forget_life(other, "address reused");
        drop_worker(other.ref.id);
    }
    auto [at, added] = workers_.try_emplace(report.worker.id);
    auto& item = at->second;
    if (!added && item.ref.born > report.worker.born)
        return false;
    if (!added && item.ref.born < report.worker.born) {
        forget_life(item, "started again");
        at_address_.erase(item.address);
        item = {};
        added = true;
    }
    if (item.reported && report.sequence <= item.sequence)
        return true; // out of order: nothing new
    if (!item.reported)
        log_event(log_level::info, "worker_known")
            .field("worker", report.worker.id)
            .field("born", report.worker.born)
            .field("pool", report.pool)
            .field("address", report.address);
    if (report.draining && !item.draining)
        log_event(log_level::info, "worker_draining")
            .field("worker", report.worker.id)
            .field("sequence", report.sequence)
            .field("remaining_ms", report.drain_remaining);
    item.ref = report.worker;
    item.sequence = report.sequence;
    item.pool = report.pool;
    item.address = report.address;
    item.zone = report.zone;
    item.kind = label_at(report.labels, 0);
    item.rack = label_at(report.labels, 1);
    item.capacity = report.capacity;
    item.draining = item.draining || report.draining;
    item.reported = true;
    item.reported_at = now;
    if (!item.contacted && item.clock_seen_at == 0) {
        item.clock = report.clock;
        item.clock_seen_at = now;
    }
    at_address_[item.address] = item.ref.id;
    return true;
}

void controller::observe_leave(const std::string& id, time_ms now) {
    const auto at = workers_.find(id);
    if (at == workers_.end() || at->second.leaving)
        return;
    log_event(log_level::info, "worker_leaves").field("worker", id);
    at->second.leaving = true;
    at->second.draining = true;
    at->second.leaving_since = now;
    at->second.next_hold_at = now;
}

void controller::observe(const hold_order& order, order_answer answer, const worker_lists& lists,
                         time_ms sent_at, time_ms received_at) {
    auto* from = worker_of(order.worker);
    if (!from || order.fence != fence_)
        return;
    from->hold_under_way = false;
    from->next_hold_at =
        received_at + (lists.ended.empty() || workers_.size() < many_workers ? 0 : hold_pause_many);
    if (answer == order_answer::done) {
        if (from->hold_unanswered)
            log_event(log_level::info, "worker_answers").field("worker", from->ref.id);
        from->refused_holds = 0;
        from->hold_unanswered = false;
        from->contacted = true;
        from->clock = lists.clock;
        from->clock_seen_at = received_at;
        resolve_listed(*from, lists, sent_at, received_at);
        take_ends(*from, lists, received_at);
        resolve_absent(*from, lists, sent_at);
        pace_fillers(*from, received_at);
        return;
    }
    from->next_hold_at = received_at + hold_retry;
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
                added.lasting = step.lasting;
                added.filler = step.filler;
                added.target_tail = step.target_tail;
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
                if (step.estimate > 0 && !step.lasting)
                    rate += estimate_weight * (std::clamp(took / static_cast<double>(step.estimate),
                                                          lowest_rate, highest_rate) -
                                               rate);
            }
        } else if (item.how == run_end::failed && !stopped && !(run && run->lasting)) {
            failed_on_[item.task] = from.ref.id;
            record_failure(from, item.task.job, now, "failed");
        }
        out_.log.emplace_back(end_run{item.task, item.run, item.how, item.checkpoint});
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
        std::ranges::any_of(on.runs, [](const auto& item) { return item.second.filler; });
    if (!any)
        return;
    const auto worst = worst_tail_ratio(on);
    if (worst >= tail_too_high)
        on.tail_high_at = now;
    for (auto& [key, run] : on.runs) {
        if (!run.filler || run.stage != run_stage::listed || run.pace_under_way || run.stop_wanted)
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
    log_event(log_level::warning, "worker_shunned")
        .field("worker", on.ref.id)
        .field("reason", reason)
        .field("failures", health.failed)
        .field("for_ms", health.shun_for);
}

void controller::observe(const start_order& order, order_answer answer, time_ms now) {
    auto* on = worker_of(order.worker);
    if (!on || order.fence != fence_)
        return;
    if (answer == order_answer::other_life) {
        forget_life(*on, "another life answered");
        drop_worker(order.worker.id);
        return;
    }
    auto* run = on->find(order.task, order.run);
    if (!run)
        return;
    run->order_under_way = false;
    if (answer == order_answer::done) {
        run->confirmed_at = now;
        if (run->stage == run_stage::ordered)
            run->stage = run_stage::confirmed;
        return;
    }
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
    auto* on = worker_of(order.worker);
    if (!on || order.fence != fence_)
        return;
    if (answer == order_answer::other_life) {
        forget_life(*on, "another life answered");
        drop_worker(order.worker.id);
        return;
    }
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
    auto* on = worker_of(order.worker);
    if (!on || order.fence != fence_)
        return;
    auto* run = on->find(order.task, order.run);
    if (!run)
        return;
    run->pace_under_way = false;
    if (answer == order_answer::done)
        run->pace = order.percent;
}

void controller::end_life_on(const std::string& machine) {
    const auto at = workers_.find(machines_.worker_on(machine));
    if (at == workers_.end())
        return;
    ended_lives_.insert(at->second.ref);
    forget_life(at->second, "machine ordered away");
    drop_worker(std::string(at->first));
}

void controller::observe(const move_order& order, order_answer answer, time_ms now) {
    if (order.fence == fence_ && machines_.observe(order, answer, now))
        end_life_on(order.machine);
}

void controller::observe(const upkeep_order& order, order_answer answer, time_ms now) {
    if (order.fence != fence_ || !machines_.observe(order, answer, now))
        return;
    end_life_on(order.machine);
    out_.log.emplace_back(mark_upkeep{order.wave, order.machine, upkeep_phase::done});
}

void controller::observe(const std::vector<machine_report>& machines, order_answer answer,
                         time_ms now) {
    machines_.observe(machines, answer, now);
}

void controller::offered(const queue_config& queue, const std::string& id, const job_spec& spec,
                         time_ms now) {
    if (!std::ranges::any_of(spec.steps, &step_spec::lasting) && spec.times == 0)
        load_seen_.offered(queue.pool, id, estimated_work(spec, estimate_rate(queue.name)), now);
}

// Load patterns: see offered_load.h and machine_manager.h.
std::map<std::string, pool_demand> controller::measure_demand(time_ms now) {
    // Room for uneven packing of tasks on workers.
    constexpr double headroom = 1.2;
    constexpr time_ms contact_time{300};
    std::map<std::string, pool_demand> out;
    for (const auto& pool : table_.config().pools) {
        const auto ahead = machines_.move_time() + contact_time;
        const auto coming = load_seen_.expected(pool.name, now, ahead);
        const auto wanted = std::max(coming, load_of(pool.name, now).in_demand);
        const auto blocked = blocked_.find(pool.name);
        out[pool.name].blocked = blocked == blocked_.end() ? 0 : blocked->second;
        out[pool.name].wanted = static_cast<std::int64_t>(headroom * static_cast<double>(wanted));
    }
    return out;
}

void controller::committed(const decisions& done, const std::vector<bool>& accepted, time_ms now) {
    if (!leading())
        return;
    for (std::size_t i = 0; i < done.log.size(); ++i) {
        if (const auto* announced = std::get_if<order_machine>(&done.log[i]))
            machines_.committed(*announced, now, out_.orders);
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
    if (!run.stop_wanted && on.draining && run.lasting && run.stage == run_stage::listed) {
        log_event(log_level::info, "run_evacuated")
            .field("job", run.task.job)
            .field("index", run.task.index)
            .field("worker", on.ref.id);
        run.stop_wanted = true;
    }
    if (!run.stop_wanted && !run.lasting && run.stage == run_stage::listed &&
        run.lists_without_progress >= stalled_lists && now - run.progress_at > stalled_after) {
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

// Lives whose leases are over can have no runs any more.
void controller::retire_lives(time_ms now) {
    std::vector<std::string> over;
    for (auto& [id, item] : workers_) {
        const bool silent = item.hold_unanswered || !item.contacted;
        if (silent && !item.runs.empty() && item.lease_over(now) &&
            (item.hold_unanswered || now >= item.inherited_lease_end))
            forget_life(item, "lease over");
        if (silent && item.runs.empty() && now - item.reported_at > silent_worker_limit &&
            now - lead_since_ > silent_worker_limit)
            over.push_back(id);
    }
    for (const auto& id : over)
        drop_worker(id);
    for (auto& item : old_lives_)
        forget_life(item, "an earlier life");
    old_lives_.clear();
}

void controller::issue_holds(time_ms now) {
    for (auto& [id, item] : workers_) {
        if (item.hold_under_way || item.ends_under_way() || item.address.empty() ||
            now < item.next_hold_at)
            continue;
        hold_order order;
        order.worker = item.ref;
        order.address = item.address;
        order.fence = fence_;
        order.last_seen = item.last_seen;
        const bool unresolved = std::ranges::any_of(item.runs, [](const auto& entry) {
            const auto& run = entry.second;
            return run.stop_answered_at != 0 || run.inherited;
        });
        const bool serving =
            std::ranges::any_of(item.runs, [](const auto& entry) { return entry.second.lasting; });
        if (item.contacted && !item.hold_unanswered) {
            order.until = item.lease_to_grant(now);
            item.lease_until = std::max(item.lease_until, *order.until);
            order.wait = serving ? serving_hold_wait : hold_wait;
            if (unresolved) {
                order.wait = 0;
                item.next_hold_at = now + hold_retry;
            }
        }
        item.hold_under_way = true;
        out_.orders.emplace_back(std::move(order));
    }
}

double controller::estimate_rate(const std::string& queue) const {
    const auto at = estimate_rates_.find(queue);
    return at == estimate_rates_.end() ? 1.0 : at->second;
}

const std::string& controller::pool_of(const job& item) const {
    const auto* queue = table_.config().find_queue(item.queue);
    return queue ? queue->pool : item.pool;
}

std::vector<controller::ready_step> controller::ready_steps(time_ms now, time_ms wall) const {
    std::vector<ready_step> out;
    for (const auto& [id, open] : table_.open_jobs()) {
        const auto& item = *open;
        if (item.ended())
            continue;
        const auto* queue = table_.config().find_queue(item.queue);
        const auto rate = estimate_rate(item.queue);
        bool first = true;
        time_ms slack = 0;
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
                if (!dependencies_done(item, in, s))
                    continue;
                if (std::exchange(first, false)) {
                    const auto chain = longest_chain(item.spec, rate);
                    const auto due = item.accepted_at + (queue ? queue->target_latency : 0) +
                                     static_cast<time_ms>((queue ? queue->stretch : 1.0) *
                                                          static_cast<double>(chain));
                    slack = due - wall - remaining_chain(item, rate);
                }
                ready_step step;
                step.owner = &item;
                step.occurrence = k;
                step.step = s;
                step.lasting = spec.lasting;
                step.begun = item.state == job_state::active;
                step.slack = slack;
                step.hopeless = !spec.lasting && slack < -longest_chain(item.spec, rate) / 2;
                out.push_back(step);
            }
        }
    }
    (void)now;
    const auto rank = [](const ready_step& step) {
        return std::tuple(!step.lasting, step.hopeless, !step.begun, step.slack);
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
    added.lasting = step.lasting;
    added.filler = step.filler;
    added.target_tail = step.target_tail;
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
    const auto steps = ready_steps(now, wall);
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
    }
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
        room = room || candidate->free().holds(need);
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
    const auto each =
        queue->advice_decide + queue->advice_period * static_cast<time_ms>(order.workers.size());
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

decisions controller::decide(time_ms now, time_ms wall) {
    if (!leading())
        return {};
    if (now - reviewed_at_ >= review_interval) {
        reviewed_at_ = now;
        retire_lives(now);
        for (auto& [id, item] : workers_)
            review_runs(item, now);
    }
    if (now - machines_planned_at_ >= machine_plan_interval) {
        machines_planned_at_ = now;
        machines_.decide(workers_, measure_demand(now), now, wall, out_.log, out_.orders);
    }
    place(now, wall);
    issue_holds(now);
    return std::exchange(out_, {});
}

// One pass over workers and jobs for all pools.
std::map<std::string, pool_load> controller::measure_loads() const {
    std::map<std::string, pool_load> out;
    for (const auto& [id, item] : workers_) {
        if (item.draining || item.leaving || item.reserved || item.hold_unanswered)
            continue;
        auto& load = out[item.pool];
        ++load.workers;
        load.capacity += item.capacity.cpu;
        for (const auto& [key, run] : item.runs) {
            if (run.lasting)
                load.capacity -= run.need.cpu;
        }
    }
    const auto resting = machines_.resting();
    for (const auto& pool : table_.config().pools)
        out[pool.name].arriving = machines_.arriving(pool.name) + resting;
    for (const auto& [id, item] : table_.open_jobs()) {
        if (!item->ended() && !item->lasting() && item->spec.times == 0)
            add_job_load(*item, out[pool_of(*item)]);
    }
    return out;
}

const pool_load& controller::load_of(const std::string& pool, time_ms now) {
    if (now - loads_measured_at_ >= load_age_limit || loads_.empty()) {
        loads_ = measure_loads();
        loads_measured_at_ = now;
    }
    return loads_[pool];
}

void controller::add_job_load(const job& item, pool_load& load) const {
    const auto rate = estimate_rate(item.queue);
    for (const auto& in : item.occurrences) {
        for (std::size_t i = 0; i < in.steps.size(); ++i) {
            const auto& spec = item.spec.steps[i];
            const auto& progress = in.steps[i];
            load.waiting_work += static_cast<std::int64_t>(
                rate * static_cast<double>(progress.waiting * spec.need.cpu * spec.estimate));
            if (dependencies_done(item, in, i))
                load.in_demand += (spec.count - progress.done) * spec.need.cpu;
        }
    }
}

admission controller::consider(const queue_config& queue, const job_spec& spec, time_ms now) {
    load_of(queue.pool, now);
    auto& load = loads_[queue.pool];
    const auto rate = estimate_rate(queue.name);
    admission_input input;
    input.chain = longest_chain(spec, rate);
    input.target_latency = queue.target_latency;
    input.stretch = queue.stretch;
    input.lasting = std::ranges::any_of(spec.steps, &step_spec::lasting);
    input.scheduled = spec.times > 0;
    input.wait = expected_wait(load, machines_.move_time());
    const auto decision = admit(input);
    // Counts until the load is measured again.
    if (decision.accepted && !input.lasting && !input.scheduled)
        load.waiting_work += estimated_work(spec, rate);
    return decision;
}

time_ms expected_wait(const pool_load& load, time_ms move_time) {
    // Nothing is known of the workers yet, or all are gone: the work waits for them.
    constexpr time_ms unknown_wait{60'000};
    const auto before = load.capacity * move_time;
    if (load.waiting_work <= before && load.capacity > 0)
        return load.waiting_work / load.capacity;
    const auto later = load.capacity + load.arriving;
    if (later <= 0)
        return load.waiting_work > 0 ? unknown_wait : 0;
    return move_time + (load.waiting_work - before) / later;
}

std::size_t controller::pending(const std::string& queue) const {
    std::size_t out = 0;
    for (const auto& [id, open] : table_.open_jobs()) {
        const auto& item = *open;
        out += item.queue == queue && item.state == job_state::queued ? 1U : 0U;
    }
    return out;
}

} // namespace clementine::workload
