#include "workload/controller.h"

#include "base/log.h"

#include <algorithm>
#include <utility>

namespace clementine::workload {

namespace {

// Longest time a hold request waits for an end; the platform allows 2 s.
constexpr time_ms hold_wait{1'200};
// Shorter for workers with long-running tasks, so that response times are reported more often.
constexpr time_ms serving_hold_wait{500};
constexpr time_ms hold_retry{150};
// Interval of the review of all runs, which visits every run of every worker.
constexpr time_ms review_interval{40};
constexpr time_ms review_interval_large_fleet{150};
// A worker that has not announced itself for this long is dropped once its leases have expired.
constexpr time_ms silent_worker_limit{20'000};
constexpr time_ms vm_plan_interval{100};
// An announcement of an ended life may arrive this late.
constexpr time_ms ended_life_retention{60'000};
// Wall clocks may differ by this much while one of them has jumped.
constexpr time_ms wall_clock_error{2'600};

std::string label_at(const std::vector<std::string>& labels, std::size_t index) {
    return index < labels.size() ? labels[index] : std::string();
}

} // namespace

controller::controller(const job_table& table, controller_settings settings)
    : table_(table), settings_(std::move(settings)), vms_(table, settings_.vms) {}

void controller::start_leading(std::uint64_t fence, time_ms now, time_ms wall) {
    stop_leading();
    fence_ = fence;
    leading_since_ = now;
    wall_offset_ = wall - now;
    follows_a_leader_ = !table_.open_jobs().empty();
    inherit_runs(now, wall);
    inherit_load(now, wall);
    for (const auto& [id, item] : table_.open_jobs())
        changed_jobs_.insert(id);
    vms_.start_leading(fence, now, wall);
}

void controller::stop_leading() {
    fence_ = 0;
    workers_.clear();
    ids_by_address_.clear();
    dropped_lives_.clear();
    starting_.clear();
    views_.clear();
    changed_jobs_.clear();
    scheduled_jobs_.clear();
    expected_starts_.clear();
    work_allowances_.clear();
    paid_rate_ = {};
    failed_on_.clear();
    rooms_.clear();
    smallest_needs_.clear();
    reservation_times_.clear();
    cap_hold_times_.clear();
    expected_room_.clear();
    room_holds_.clear();
    advice_.clear();
    pending_advice_calls_ = 0;
    pending_decisions_ = {};
}

// Longest time for which a worker's lease lasts once the worker carries an order out, on the local
// clock. A life that carries out an order for a former one takes this much: the clock of a life
// starts anew, so that the end in the order is far ahead.
time_ms controller::granted_lease() const {
    constexpr time_ms delivery{100};
    return static_cast<time_ms>(static_cast<double>(settings_.max_lease) / min_clock_rate) +
           delivery;
}

// Longest time for which a life may hold such a lease, from the end of the former one on.
time_ms controller::foreign_lease() const {
    return max_order_delay + granted_lease();
}

// Longest time for which a life may still hold a lease that it took from an order for a former one.
time_ms controller::foreign_lease_left(const worker_ref& life, time_ms wall) const {
    const auto age = wall - life.started_at - wall_clock_error;
    return std::clamp<time_ms>(announcement_delay + foreign_lease() - age, 0, foreign_lease());
}

// Takes over all assigned runs in the job table, with the longest lease that the orders of an
// earlier leader may have granted. The log does not tell which life of a worker has begun a run.
void controller::inherit_runs(time_ms now, time_ms wall) {
    for (const auto& [id, open] : table_.open_jobs()) {
        const auto& item = *open;
        for (std::uint32_t k = 0; k < item.occurrences.size(); ++k) {
            for (std::uint32_t s = 0; s < item.spec.steps.size(); ++s) {
                const auto& tasks = item.occurrences[k].steps[s].tasks;
                for (std::uint32_t i = 0; i < tasks.size(); ++i) {
                    if (tasks[i].phase != task_phase::assigned)
                        continue;
                    const auto& ref = tasks[i].worker;
                    auto [it, added] = workers_.try_emplace(ref.id);
                    auto& target = it->second;
                    // A run of a former life stays with the newest one, which may have begun it.
                    if (added || target.ref.started_at < ref.started_at) {
                        target.ref = ref;
                        set_address(target, tasks[i].address);
                    }
                    target.seen_since = now;
                    target.inherited_lease_end =
                        now + std::max(granted_lease(), foreign_lease_left(target.ref, wall));
                    live_run run;
                    run.task = {id, k, s, i};
                    run.run = tasks[i].run;
                    run.need = occupied_resources(item.spec.steps[s]);
                    run.charge = charge_of(item, item.spec.steps[s]);
                    run.long_running = item.spec.steps[s].long_running;
                    run.best_effort = item.spec.steps[s].best_effort;
                    run.target_tail_latency = item.spec.steps[s].target_tail_latency;
                    run.inherited = true;
                    if (run.best_effort)
                        run.assume_paused();
                    run.stage = run_stage::ordered;
                    run.since = now;
                    run.expected_time =
                        expected_run_time(item.spec.steps[s], estimate_rate(item.queue));
                    run.begun_before = true;
                    run.checkpoint = tasks[i].checkpoint;
                    target.add(std::move(run));
                }
            }
        }
    }
}

worker* controller::worker_of(const worker_ref& ref) {
    const auto it = workers_.find(ref.id);
    return it == workers_.end() || it->second.ref != ref ? nullptr : &it->second;
}

// Marks all runs of a worker life as lost because the life has ended.
void controller::mark_runs_lost(worker& gone, const char* reason) {
    log_event(log_level::info, "worker_ended")
        .field("worker", gone.ref.id)
        .field("born", gone.ref.started_at)
        .field("reason", reason)
        .field("runs", std::uint64_t{gone.runs.size()});
    while (!gone.runs.empty()) {
        const auto key = gone.runs.begin()->first;
        mark_lost(gone, key, reason);
    }
}

void controller::drop_worker(const std::string& id) {
    const auto it = workers_.find(id);
    if (it == workers_.end())
        return;
    auto& gone = it->second;
    for (const auto& start : gone.loose_starts)
        gone.open_lease_at = std::max(gone.open_lease_at, start.sent_at);
    if (gone.open_lease_at != 0)
        dropped_lives_.insert_or_assign(id, dropped_life{gone.ref, std::move(gone.loose_starts),
                                                         gone.open_lease_at,
                                                         gone.last_open_acknowledgement()});
    set_address(gone, {});
    workers_.erase(it);
}

// Sets what is known of the last life under an id if it was dropped a short time ago: the next one
// may still carry out its orders.
void controller::restore_dropped_life(worker& added, const std::string& id) const {
    const auto former = dropped_lives_.find(id);
    if (former == dropped_lives_.end())
        return;
    added.ref = former->second.ref;
    added.loose_starts = former->second.loose_starts;
    added.open_lease_at = former->second.open_lease_at;
    added.former_acknowledgement_at = former->second.open_acknowledgement_at;
}

// The only place that changes the address of a known worker, so that the index follows.
void controller::set_address(worker& target, const std::string& address) {
    if (target.address == address)
        return;
    const auto [first, last] = ids_by_address_.equal_range(target.address);
    const auto known =
        std::find_if(first, last, [&](const auto& item) { return item.second == target.ref.id; });
    if (known != last)
        ids_by_address_.erase(known);
    target.address = address;
    if (!address.empty())
        ids_by_address_.emplace(address, target.ref.id);
}

// Puts the next life of a worker in the place of one that has ended. The runs that the former life
// had begun have ended with it. Those that the next one may begin stay with it until a stop or the
// fencing number of a hold has barred them, or no order can arrive and no lease can last any more.
void controller::replace_life(worker& ended, std::int64_t started_at, const std::string& address,
                              time_ms now) {
    std::vector<live_run> kept;
    for (const auto& item : ended.loose_starts) {
        if (!ended.may_be_carried_out(item, now, granted_lease()))
            continue;
        live_run run;
        run.task = item.task;
        run.run = item.run;
        run.charge = item.charge;
        run.unexpected = true;
        run.open_starts = 1;
        run.last_start_at = item.sent_at;
        kept.push_back(std::move(run));
    }
    for (const auto& [key, run] : ended.runs) {
        if (run.may_begin_in_next_life())
            kept.push_back(run);
    }
    for (const auto& run : kept)
        ended.remove({run.task, run.run});
    mark_runs_lost(ended, "started again");
    ended_lives_.emplace(ended.ref, now);
    set_address(ended, address);
    worker next;
    next.ref = {ended.ref.id, started_at};
    next.address = address;
    next.seen_since = now;
    next.inherited_lease_end = now + foreign_lease();
    next.former_acknowledgement_at = ended.last_open_acknowledgement();
    if (!kept.empty())
        log_event(log_level::info, "runs_kept_for_next_life")
            .field("worker", next.ref.id)
            .field("born", next.ref.started_at)
            .field("runs", std::uint64_t{kept.size()});
    for (auto& run : kept) {
        run.stage = run_stage::ordered;
        run.confirmed_at = 0;
        run.order_under_way = run.stop_under_way = run.pace_under_way = false;
        run.stop_wanted = true;
        run.stop_sent_at = run.stop_answered_at = 0;
        run.last_list = 0;
        run.lists_without_progress = 0;
        issue_stop(next, next.add(std::move(run)), now);
    }
    ended = std::move(next);
}

void controller::observe_next_life(const worker_ref& former, std::int64_t started_at,
                                   std::uint64_t fence, time_ms now) {
    auto* const target = worker_of(former);
    if (!target || fence != fence_)
        return;
    // The life that has answered knew nothing of these ends.
    log_event(log_level::info, "next_life_answered")
        .field("worker", former.id)
        .field("former_born", former.started_at)
        .field("born", started_at)
        .field("acknowledged_ends", target->last_seen);
    replace_life(*target, started_at, target->address, now);
}

bool controller::observe(const worker_report& report, time_ms now) {
    if (ended_lives_.contains(report.worker))
        return false;
    if (!is_in_known_pool(report)) {
        log_event(log_level::warning, "announcement_ignored")
            .field("worker", report.worker.id)
            .field("pool", report.pool)
            .field("address", report.address);
        return false;
    }
    auto [it, added] = workers_.try_emplace(report.worker.id);
    auto& item = it->second;
    if (added)
        restore_dropped_life(item, report.worker.id);
    if (item.ref.started_at > report.worker.started_at) {
        if (added)
            workers_.erase(it);
        return false;
    }
    dropped_lives_.erase(report.worker.id);
    if (!item.ref.id.empty() && item.ref.started_at < report.worker.started_at)
        replace_life(item, report.worker.started_at, report.address, now);
    if (added) {
        item.seen_since = now;
        // An earlier leader may have sent orders to a former life.
        if (follows_a_leader_ && now - leading_since_ < announcement_delay)
            item.inherited_lease_end =
                std::max(item.inherited_lease_end,
                         now + foreign_lease_left(report.worker, now + wall_offset_));
    }
    if (item.reported && report.sequence <= item.sequence)
        return true; // out of order
    if (!item.reported)
        log_event(log_level::info, "worker_registered")
            .field("worker", report.worker.id)
            .field("born", report.worker.started_at)
            .field("pool", report.pool)
            .field("address", report.address);
    item.review_due = item.review_due || report.draining;
    if (report.draining && !item.draining)
        log_event(log_level::info, "worker_draining")
            .field("worker", report.worker.id)
            .field("sequence", report.sequence)
            .field("remaining_ms", report.drain_remaining);
    item.ref = report.worker;
    item.sequence = report.sequence;
    item.pool = report.pool;
    set_address(item, report.address);
    item.availability_zone = report.availability_zone;
    item.kind = label_at(report.labels, 0);
    item.rack = label_at(report.labels, 1);
    item.capacity = report.capacity;
    item.says_draining = item.says_draining || report.draining;
    item.draining = item.draining || report.draining;
    if (item.draining && item.draining_since == 0)
        item.draining_since = now;
    item.reported = true;
    item.reported_at = now;
    if (!item.contacted && item.clock_seen_at == 0) {
        item.clock = report.clock;
        item.clock_seen_at = now;
    }
    return true;
}

// An announcement for a pool that no configuration has comes from another writer, unless the pool
// was removed while the worker was in use.
bool controller::is_in_known_pool(const worker_report& report) const {
    const auto known = workers_.find(report.worker.id);
    if (known != workers_.end() && known->second.pool == report.pool)
        return true;
    const auto& config = table_.config();
    return config.version == 0 || std::ranges::any_of(config.pools, [&](const auto& pool) {
               return pool.name == report.pool;
           });
}

// Handles the first answer of a worker, to a call sent at `sent_at`. It proves that all workers
// which were at its address before have ended; an announcement alone does not, because anyone may
// send one.
void controller::end_former_holders(const worker& holder, time_ms sent_at) {
    std::vector<std::string> others;
    const auto [first, last] = ids_by_address_.equal_range(holder.address);
    for (auto it = first; it != last; ++it) {
        if (it->second != holder.ref.id)
            others.push_back(it->second);
    }
    for (const auto& id : others) {
        const auto it = workers_.find(id);
        if (it == workers_.end() || it->second.seen_since >= sent_at)
            continue;
        mark_runs_lost(it->second, "address reused");
        drop_worker(id);
    }
}

void controller::observe_leaving(const std::string& id, time_ms now) {
    const auto it = workers_.find(id);
    if (it == workers_.end() || it->second.leaving)
        return;
    auto& item = it->second;
    log_event(log_level::info, "worker_leaving")
        .field("worker", id)
        .field("born", item.ref.started_at)
        .field("draining", item.says_draining);
    item.leaving = item.notice_came = true;
    item.leaving_since = now;
    item.next_hold_at = now;
    if (item.says_draining)
        vms_.observe_leaving(id);
}

// Takes back that a worker leaves. A notice of shutdown names no life and may come late, for a
// former one; a worker that it was meant for has ended soon after.
void controller::observe_staying(worker& item) {
    log_event(log_level::info, "worker_stays")
        .field("worker", item.ref.id)
        .field("born", item.ref.started_at)
        .field("notice", item.notice_came);
    item.leaving = item.notice_came = false;
    item.draining = false;
    item.draining_since = 0;
}

// Handles the success of an order about a VM. If an earlier order may have been carried out before,
// or if the worker was first seen after this one was sent, it may have started since then. Its runs
// then end only by evidence: a later list of the VMs, refused connections or the end of the lease.
void controller::end_life_on_vm(const std::string& vm, order_effect effect, time_ms now) {
    const auto it = workers_.find(vms_.worker_on(vm));
    if (it == workers_.end() || effect == order_effect::none)
        return;
    if (effect == order_effect::unclear || it->second.seen_since >= vms_.order_sent_at(vm)) {
        it->second.ordered_away_at = now;
        it->second.next_hold_at = now;
        return;
    }
    ended_lives_.emplace(it->second.ref, now);
    mark_runs_lost(it->second, "VM ordered away");
    drop_worker(std::string(it->first));
}

void controller::observe(const move_order& order, order_answer answer, time_ms now) {
    if (order.fence == fence_)
        end_life_on_vm(order.vm, vms_.observe(order, answer, now), now);
}

void controller::observe(const upkeep_order& order, order_answer answer, time_ms now) {
    if (order.fence != fence_)
        return;
    end_life_on_vm(order.vm, vms_.observe(order, answer, now), now);
    if (answer != order_answer::done)
        return;
    pending_decisions_.log.emplace_back(mark_upkeep{order.wave, order.vm, upkeep_phase::done});
}

void controller::observe(const list_vms_order& order, const std::vector<vm_report>& vms,
                         order_answer answer, time_ms now) {
    if (answer == order_answer::done) {
        for (const auto& listed : vms)
            end_vanished_life(listed, order.requested_at, now);
    }
    vms_.observe(vms, answer, now);
}

// A worker is one life of a VM: it has ended if its VM is not up or runs another worker. Load
// pattern: a rack loses power during a surge. Its leases last 6 s, longer than short jobs take; the
// VM list reports the loss within 1 s.
void controller::end_vanished_life(const vm_report& listed, time_ms asked_at, time_ms now) {
    const auto previous_worker = vms_.last_worker_on(listed.vm);
    const bool ended = listed.state != vm_state::up ||
                       (!listed.worker.empty() && listed.worker != previous_worker);
    const auto it = workers_.find(previous_worker);
    if (!ended || it == workers_.end())
        return;
    auto& gone = it->second;
    // A life seen after the list was requested may be a later one under the same id.
    if (gone.leaving || gone.seen_since >= asked_at || gone.clock_seen_at >= asked_at)
        return;
    log_event(log_level::warning, "worker_vanished")
        .field("worker", previous_worker)
        .field("vm", listed.vm)
        .field("state", to_name(listed.state))
        .field("listed_worker", listed.worker)
        .field("runs", std::uint64_t{gone.runs.size()});
    gone.leaving = gone.draining = true;
    gone.leaving_since = now;
    std::vector<run_key> ended_runs;
    for (const auto& [key, run] : gone.runs) {
        // An unanswered order may still reach a new life under the same id.
        if ((run.confirmed_at != 0 && run.confirmed_at < asked_at) ||
            run.stage == run_stage::listed)
            ended_runs.push_back(key);
    }
    for (const auto& key : ended_runs)
        mark_lost(gone, key, "VM gone");
}

void controller::applied(const command& value, time_ms now, time_ms wall) {
    for (const auto& item : value.operations) {
        if (const auto* announced = std::get_if<announce_vm_order>(&item))
            vms_.applied(*announced, value.proposed_at, now, wall);
        if (!leading())
            continue;
        note_changed_job(item);
        if (const auto* start = std::get_if<start_run>(&item))
            record_first_start(start->task.job, now);
        // The runs of a job that has ended are no longer wanted.
        const job* changed = nullptr;
        if (const auto* canceled = std::get_if<cancel_job>(&item))
            changed = table_.find_job(canceled->id);
        else if (const auto* ended = std::get_if<end_run>(&item))
            changed = table_.find_job(ended->task.job);
        else if (const auto* submitted = std::get_if<submit_job>(&item))
            changed = table_.find_job(submitted->id); // it may be cancelled already
        if (!changed || !changed->ended())
            continue;
        expected_starts_.erase(changed->id);
        failed_on_.erase(failed_on_.lower_bound({changed->id, 0, 0, 0}),
                         failed_on_.upper_bound({changed->id, UINT32_MAX, 0, 0}));
        request_review(*changed);
    }
}

// Marks the views of the jobs that an operation concerns as out of date.
void controller::note_changed_job(const operation& value) {
    std::visit(
        [this](const auto& op) {
            using type = std::decay_t<decltype(op)>;
            if constexpr (requires { op.task.job; })
                changed_jobs_.insert(op.task.job);
            else if constexpr (std::is_same_v<type, submit_job> || std::is_same_v<type, cancel_job>)
                changed_jobs_.insert(op.id);
            else if constexpr (std::is_same_v<type, put_configuration>)
                for (const auto& [id, item] : table_.open_jobs())
                    changed_jobs_.insert(id);
        },
        value);
}

// Requests a review of all workers with runs of a job.
void controller::request_review(const job& changed) {
    for (const auto& in : changed.occurrences) {
        for (const auto& step : in.steps) {
            for (const auto& item : step.tasks) {
                if (item.phase != task_phase::assigned)
                    continue;
                if (auto* target = worker_of(item.worker))
                    target->review_due = true;
            }
        }
    }
}

// Marks the runs of a silent worker as lost that cannot be running any more. Those that its next
// life may have begun run on for longer, because that life may have taken a longer lease.
void controller::mark_expired_runs_lost(worker& silent, time_ms now) {
    const bool next_life_expired = silent.next_life_lease_expired(now, granted_lease());
    std::vector<run_key> expired;
    for (const auto& [key, run] : silent.runs) {
        if (next_life_expired || !run.may_begin_in_next_life())
            expired.push_back(key);
    }
    if (expired.empty())
        return;
    log_event(log_level::info, "lease_expired")
        .field("worker", silent.ref.id)
        .field("born", silent.ref.started_at)
        .field("runs", std::uint64_t{expired.size()})
        .field("runs_left", std::uint64_t{silent.runs.size() - expired.size()});
    for (const auto& key : expired)
        mark_lost(silent, key, "lease expired");
}

// Ends runs on silent workers whose leases have expired.
void controller::end_expired_lives(time_ms now) {
    std::vector<std::string> silent_workers;
    for (auto& [id, item] : workers_) {
        const bool silent = item.hold_unanswered || !item.contacted;
        if (silent && !item.runs.empty() && item.lease_expired(now) &&
            (item.hold_unanswered || now >= item.inherited_lease_end))
            mark_expired_runs_lost(item, now);
        if (silent && item.runs.empty() && now - item.reported_at > silent_worker_limit &&
            now - leading_since_ > silent_worker_limit)
            silent_workers.push_back(id);
    }
    for (const auto& id : silent_workers)
        drop_worker(id);
    std::erase_if(ended_lives_,
                  [&](const auto& item) { return now - item.second > ended_life_retention; });
    std::erase_if(dropped_lives_, [&](const auto& item) {
        return now - item.second.open_lease_at > foreign_lease();
    });
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
        const bool unresolved = std::ranges::any_of(item.runs, [](const auto& entry) {
            const auto& run = entry.second;
            return run.stop_answered_at != 0 || run.inherited;
        });
        if (item.contacted && !item.hold_unanswered && item.ordered_away_at == 0) {
            // A silent worker may have ended, and its next life would forget ends of its own that
            // have the acknowledged numbers.
            if (item.last_seen > item.acknowledged) {
                order.last_seen = item.last_seen;
                item.acknowledging = true;
            }
            order.lease_until = item.lease_to_grant(now);
            item.lease_until = std::max(item.lease_until, *order.lease_until);
            item.open_lease_at = now;
            order.wait = item.long_running_runs > 0 ? serving_hold_wait : hold_wait;
            if (unresolved) {
                order.wait = 0;
                item.next_hold_at = now + hold_retry;
            }
            // Without a wait, an acknowledgement is rarely unanswered when the worker ends. In
            // large fleets the hold that then follows would cost the leader too much.
            if (item.acknowledging && workers_.size() < large_fleet_workers)
                order.wait = 0;
        }
        item.hold_under_way = true;
        pending_decisions_.orders.emplace_back(std::move(order));
    }
}

decisions controller::decide(time_ms now, time_ms wall) {
    if (!leading())
        return {};
    wall_offset_ = wall - now;
    const bool many = workers_.size() >= large_fleet_workers;
    if (now - reviewed_at_ >= (many ? review_interval_large_fleet : review_interval)) {
        reviewed_at_ = now;
        end_expired_lives(now);
        review_workers(now);
    }
    if (now - vms_planned_at_ >= vm_plan_interval) {
        vms_planned_at_ = now;
        vms_.decide(workers_, measure_demand(now), now, wall, pending_decisions_.log,
                    pending_decisions_.orders);
    }
    place(now, wall);
    issue_holds(now);
    return std::exchange(pending_decisions_, {});
}

} // namespace clementine::workload
