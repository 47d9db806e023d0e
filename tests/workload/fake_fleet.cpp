#include "workload/fake_fleet.h"

#include <algorithm>
#include <chrono>

namespace clementine::workload {

namespace {

constexpr time_ms step_time{5};
constexpr time_ms link_delay{1};
constexpr time_ms commit_time{10};
constexpr time_ms answer_timeout{400};
constexpr time_ms announce_interval{1'500};
// From the first contact with a new life until the leader's stops reach it.
constexpr time_ms barring_time{30};
constexpr time_ms stop_duration{100};
constexpr time_ms move_duration{1'500};
constexpr time_ms upkeep_duration{2'000};
constexpr time_ms election_time{1'500};
constexpr time_ms failure_notice_time{4'500};
constexpr time_ms advice_time{60};
constexpr time_ms ticket_lifetime{3'000};
constexpr int complete_percent = 100;

std::string name_of(const task_id& id) {
    return id.job + "." + std::to_string(id.step) + "." + std::to_string(id.index);
}

} // namespace

configuration fake_configuration(const std::vector<std::pair<std::string, int>>& pools) {
    configuration out;
    out.version = 1;
    for (const auto& [pool, vms] : pools) {
        queue_config queue;
        queue.name = "q" + pool;
        queue.host = "host";
        queue.prefix = "/" + pool + "/";
        queue.pool = pool;
        queue.timeout = 3'000;
        queue.target_latency = 600;
        queue.attempts = 3;
        queue.stretch = 1.6;
        out.queues.push_back(queue);
        out.pools.push_back({pool, false, false});
    }
    out.pools.push_back({"spare", false, true});
    return out;
}

step_spec make_step(std::uint32_t count, std::int64_t cpu, time_ms work) {
    step_spec out;
    out.count = count;
    out.need = {cpu, 500, 0};
    out.estimate = work;
    return out;
}

step_spec make_long_running_step(std::uint32_t count, std::int64_t cpu,
                                 std::uint32_t max_unavailable) {
    auto out = make_step(count, cpu, 1'000);
    out.long_running = true;
    out.max_unavailable = max_unavailable;
    return out;
}

fake_fleet::fake_fleet(fleet_options options)
    : options_(std::move(options)), random_(options_.seed) {
    command first;
    auto config = fake_configuration(options_.pools);
    config.queues[0].needs_placement_advice = options_.advice;
    first.operations.emplace_back(put_configuration{config});
    table_.apply(first, term_);
    auto pools = options_.pools;
    pools.emplace_back(options_.standby, options_.standby_vms);
    int number = 0;
    for (const auto& [pool, count] : pools) {
        for (int i = 0; i < count; ++i, ++number) {
            fake_vm item;
            item.name = "m" + std::to_string(100 + number);
            item.pool = pool;
            item.rack = "r" + std::to_string(number / 4);
            auto& added = vms_[item.name] = item;
            if (pool != options_.standby)
                start_worker(added);
        }
    }
    controller_settings settings;
    settings.vms = {"n1", options_.vm_orders, 3'000, move_duration, upkeep_duration};
    settings.forecast_turns = options_.forecast_turns;
    settings.demand = options_.demand;
    settings.known_rate = options_.known_rate;
    settings.placement = options_.placement;
    settings.stop_time = stop_duration;
    settings.max_lease = options_.max_lease;
    controller_ = std::make_unique<controller>(table_, settings);
    controller_->start_leading(term_, now_, now_);
}

void fake_fleet::violation(const std::string& text) {
    violations_.push_back("at " + std::to_string(now_) + ": " + text);
}

void fake_fleet::schedule(time_ms when, std::function<void()> run) {
    events_.emplace(when, std::move(run));
}

void fake_fleet::start_worker(fake_vm& target) {
    fake_worker item;
    item.ref = {"w" + std::to_string(100 + next_worker_++), now_};
    item.vm = target.name;
    item.pool = target.pool;
    item.rack = target.rack;
    item.address = "10.0.0." + std::to_string(next_port_++) + ":80";
    item.capacity = options_.vm_capacity;
    item.started_at = now_;
    item.clock_rate = 1.0 - 0.02 * random_.unit();
    target.worker = item.ref.id;
    target.state = vm_state::up;
    workers_[item.ref.id] = item;
}

// Removes a worker with all its runs.
void fake_fleet::end_worker(const std::string& id) {
    workers_.erase(id);
}

void fake_fleet::run_for(time_ms span) {
    const auto end = now_ + span;
    while (now_ < end) {
        now_ += step_time;
        step();
    }
}

void fake_fleet::step() {
    while (!events_.empty() && events_.begin()->first <= now_) {
        const auto run = std::move(events_.begin()->second);
        events_.erase(events_.begin());
        run();
    }
    for (auto& [name, item] : vms_) {
        vm_time_in_pools_ += item.pool == options_.standby ? 0 : step_time;
        if (item.back_at == 0 || now_ < item.back_at)
            continue;
        item.back_at = 0;
        item.state = vm_state::up;
        if (item.pool != options_.standby)
            start_worker(item);
    }
    for (auto& [id, item] : workers_) {
        advance_runs(item);
        // Announces at the start and then at the interval.
        const auto age = now_ - item.started_at;
        if (!item.unresponsive && !item.answers_starts_only &&
            (age < 2 * step_time || age % announce_interval < step_time))
            announce(item);
    }
    std::set<task_id> available_tasks;
    for (const auto& [id, item] : workers_) {
        for (const auto& run : item.runs) {
            if (run.long_running && !item.unresponsive && run.stop_at == 0 &&
                now_ - run.started >= options_.start_up_time)
                available_tasks.insert(run.task);
        }
    }
    for (const auto& [id, open] : table_.open_jobs()) {
        const auto& owner = *open;
        for (std::uint32_t s = 0; s < owner.spec.steps.size(); ++s) {
            for (std::uint32_t i = 0;
                 owner.spec.steps[s].long_running && i < owner.spec.steps[s].count; ++i) {
                const task_id task{id, 0, s, i};
                if (available_tasks.contains(task)) {
                    unavailable_since_.erase(task);
                    ended_by_order_.erase(task);
                } else
                    unavailable_since_.try_emplace(task, now_);
            }
        }
    }
    if (!leader_paused)
        run_decision_round();
}

void fake_fleet::announce(fake_worker& item) {
    if (!leader_paused && controller_->leading())
        controller_->observe(report_of(item.ref.id), now_);
}

worker_report fake_fleet::report_of(const std::string& worker) {
    auto& item = workers_.at(worker);
    worker_report report;
    report.worker = item.ref;
    report.pool = item.pool;
    report.address = item.address;
    report.labels = {"kind", item.rack};
    report.capacity = item.capacity;
    report.draining = item.draining;
    report.clock = item.clock(now_);
    report.sequence = ++item.sequence;
    return report;
}

void fake_fleet::end_run_on(fake_worker& item, std::size_t index, run_end how) {
    const auto run = item.runs[index];
    item.runs.erase(item.runs.begin() + static_cast<std::ptrdiff_t>(index));
    item.ended.push_back({++item.last_end, run.task, run.run, how, {}});
    item.barred[run.task] = std::max(item.barred[run.task], run.run);
    if (how == run_end::done)
        done_runs_[run.task].insert(run.run);
}

// A worker cannot tell an acknowledgement that is meant for its former life.
void fake_fleet::forget_ends(fake_worker& target, std::uint64_t last_seen) {
    for (const auto& item : target.ended) {
        if (item.number <= last_seen && item.how == run_end::done)
            acknowledged_ends_.insert(item.task);
    }
    std::erase_if(target.ended, [&](const ended_task& item) { return item.number <= last_seen; });
}

void fake_fleet::advance_runs(fake_worker& item) {
    const bool lapsed = item.clock(now_) > item.lease_until;
    for (std::size_t i = 0; i < item.runs.size();) {
        auto& run = item.runs[i];
        run.paused += step_time * (complete_percent - run.pace) / complete_percent;
        if (lapsed)
            end_run_on(item, i, run_end::lapsed);
        else if (run.stop_at != 0 && now_ >= run.stop_at)
            end_run_on(item, i, run_end::stopped);
        else if (run.stop_at == 0 && !run.long_running && !item.stalls_all &&
                 now_ - run.started - run.paused >= run.work)
            end_run_on(item, i, run.fails || item.fails_all ? run_end::failed : run_end::done);
        else
            ++i;
    }
}

void fake_fleet::run_decision_round() {
    const auto started = std::chrono::steady_clock::now();
    auto made = controller_->decide(now_, now_);
    rounds_us_ +=
        std::chrono::duration<double, std::micro>(std::chrono::steady_clock::now() - started)
            .count();
    ++rounds_;
    auto orders = std::move(made.orders);
    made.orders.clear();
    for (const auto& item : made.log) {
        const auto* start = std::get_if<start_run>(&item);
        if (!start || !capped_workspaces_.contains(owners_[start->task.job]))
            continue;
        const auto* workspace = table_.config().find_workspace(owners_[start->task.job]);
        start_decisions_[{start->task, start->run}] = {++start_decision_count_,
                                                       workspace ? workspace->cap : resources{}};
    }
    if (!made.log.empty() || !made.ends.empty())
        commit(std::move(made));
    for (auto& value : orders)
        deliver(std::move(value));
}

time_ms fake_fleet::first_start(const task_id& task) const {
    const auto it = first_starts_.find(task);
    return it == first_starts_.end() ? 0 : it->second;
}

double fake_fleet::mean_round_us() const {
    return rounds_ == 0 ? 0 : rounds_us_ / static_cast<double>(rounds_);
}

void fake_fleet::commit(decisions made) {
    schedule(now_ + commit_time, [this, made = std::move(made), term = term_] {
        if (term != term_ && random_.chance(options_.commit_loss))
            return;
        // Replicated commands of an earlier leader are committed by the next one, in order and
        // before its own decisions.
        const auto accepted = table_.apply({now_, made.log}, term);
        for (std::size_t i = 0; i < made.log.size(); ++i) {
            const auto* end = std::get_if<end_run>(&made.log[i]);
            if (!end || !accepted[i] || end->how != run_end::done)
                continue;
            logged_ends_.insert(end->task);
            auto member = end->task;
            const auto& spec = spec_of(member);
            for (member.index = 0; spec.gang && member.index < spec.count; ++member.index)
                logged_ends_.insert(member);
        }
        if (term != term_)
            return;
        controller_->applied({now_, made.log}, now_, now_);
        for (auto& value : controller_->committed(made, accepted, now_))
            deliver(std::move(value));
    });
}

void fake_fleet::deliver(order value) {
    std::visit(
        [&](const auto& item) {
            using type = std::decay_t<decltype(item)>;
            if constexpr (std::is_same_v<type, list_vms_order>)
                schedule(now_ + 2 * link_delay, [this, item, term = term_] {
                    std::vector<vm_report> out;
                    for (const auto& [name, vm] : vms_)
                        out.push_back({name,
                                       vm.pool,
                                       vm.state,
                                       {"kind", vm.rack},
                                       options_.vm_capacity,
                                       vm.state == vm_state::up ? vm.worker : ""});
                    if (term == term_)
                        controller_->observe(
                            item, out, vm_lists_fail ? order_answer::no_answer : order_answer::done,
                            now_);
                });
            else if constexpr (std::is_same_v<type, advise_order>)
                advise(item);
            else if constexpr (std::is_same_v<type, move_order> ||
                               std::is_same_v<type, upkeep_order>)
                schedule(now_ + options_.vm_order_time, [this, item] { call_vm(item); });
            else
                call_worker(item);
        },
        value);
}

template <class Order>
void fake_fleet::call_worker(const Order& value) {
    const bool late = random_.chance(options_.late_order_share);
    const auto sent = now_;
    if constexpr (std::is_same_v<Order, stop_order>)
        if (late)
            delayed_stops_.emplace(value.worker, value.task, value.run);
    const auto arrival = late ? now_ + random_.between(2'000, 12'000) : now_ + link_delay;
    schedule(arrival, [this, value, late, sent, term = term_] {
        auto found = workers_.find(value.worker.id);
        if (found != workers_.end() && found->second.address != value.address)
            found = workers_.end();
        auto answer = order_answer::no_answer;
        worker_lists lists;
        std::int64_t next_life = 0;
        if (found == workers_.end() && is_answered_at(value.address))
            answer = order_answer::other_life;
        else if (found == workers_.end() && refusing_addresses_.contains(value.address))
            answer = order_answer::refused;
        else if (found != workers_.end() && found->second.unreachable)
            answer = order_answer::not_sent;
        const bool unbarred = found != workers_.end() && is_unbarred(value, late, found->second);
        if (found != workers_.end() && !found->second.unresponsive && !found->second.unreachable &&
            !unbarred) {
            auto& target = found->second;
            if constexpr (std::is_same_v<Order, hold_order>) {
                if (target.contacted_at == 0)
                    target.contacted_at = now_;
                answer =
                    accept_fence(target, value.fence) ? order_answer::done : order_answer::fenced;
                if (answer == order_answer::done) {
                    if (value.lease_until)
                        target.lease_until = std::max(
                            target.lease_until,
                            std::min(*value.lease_until, target.clock(now_) + options_.max_lease));
                    forget_ends(target, value.last_seen);
                    lists = lists_of(target);
                }
            } else {
                answer = execute(target, value);
            }
            if (target.answers_starts_only && !std::is_same_v<Order, start_order>)
                answer = order_answer::no_answer;
            if (target.ref != value.worker && answer != order_answer::no_answer &&
                (std::is_same_v<Order, hold_order> || random_.chance(options_.life_in_answers))) {
                next_life = target.ref.started_at;
                answer = order_answer::other_life;
            }
        }
        if (late)
            return;
        const bool answered = answer != order_answer::no_answer && answer != order_answer::not_sent;
        schedule(answered ? now_ + link_delay : std::max(now_, sent + answer_timeout),
                 [=, this] { report_answer(value, answer, lists, next_life, sent, term); });
    });
    if (late)
        schedule(now_ + answer_timeout, [=, this, term = term_] {
            report_answer(value, order_answer::no_answer, {}, 0, sent, term);
        });
}

// Nothing can bar a late order that reaches a new life before the leader, or its stop, does.
template <class Order>
bool fake_fleet::is_unbarred(const Order& value, bool late, const fake_worker& target) {
    if (options_.unbarred_orders)
        return false;
    bool out = late && (target.contacted_at == 0 || now_ - target.contacted_at < barring_time);
    if constexpr (std::is_same_v<Order, start_order>)
        out = out || (late && delayed_stops_.contains({target.ref, value.task, value.run}));
    else if constexpr (std::is_same_v<Order, stop_order>) {
        if (!out)
            delayed_stops_.erase({target.ref, value.task, value.run});
    }
    return out;
}

template <class Order>
void fake_fleet::report_answer(const Order& value, order_answer answer, const worker_lists& lists,
                               std::int64_t next_life, time_ms sent, std::uint64_t term) {
    if (term != term_)
        return;
    if (next_life != 0)
        controller_->observe_next_life(value.worker, next_life, value.fence, now_);
    if constexpr (std::is_same_v<Order, hold_order>)
        controller_->observe(value, answer, lists, sent, now_);
    else
        controller_->observe(value, answer, now_);
}

// Every other worker is allowed; a ticket names the job and the worker.
void fake_fleet::advise(const advise_order& value) {
    ++advice_calls_;
    schedule(now_ + advice_time, [this, value, term = term_] {
        std::vector<placement_ticket> tickets;
        for (const auto& id : value.workers) {
            if (is_allowed(id))
                tickets.push_back({id, value.step.job + id});
        }
        if (term == term_)
            controller_->observe(value, order_answer::done, tickets, ticket_lifetime, now_);
    });
}

bool fake_fleet::is_allowed(const std::string& worker) {
    return (worker.back() - '0') % 2 == 0;
}

bool fake_fleet::accept_fence(fake_worker& target, std::uint64_t fence) {
    if (fence < target.fence)
        return false;
    target.fence = fence;
    return true;
}

worker_lists fake_fleet::lists_of(const fake_worker& target) const {
    worker_lists out;
    out.clock = target.clock(now_);
    for (const auto& run : target.runs) {
        const auto share = run.long_running
                               ? (now_ - run.started >= options_.start_up_time ? 1.0 : 0.0)
                               : static_cast<double>(now_ - run.started - run.paused) /
                                     static_cast<double>(std::max<time_ms>(1, run.work));
        const auto percent =
            target.stalls_all ? 0 : static_cast<int>(complete_percent * std::min(share, 1.0));
        out.running.push_back({run.task, run.run, {}, percent, run.long_running ? target.tail : 0});
    }
    out.ended = target.ended;
    return out;
}

const step_spec& fake_fleet::spec_of(const task_id& id) const {
    return specs_.at(id.job).steps[id.step];
}

void fake_fleet::check_start(const fake_worker& target, const start_order& value) {
    const auto* owner = table_.find_job(value.task.job);
    if (!owner)
        return violation("start of an unknown job " + value.task.job);
    const auto& spec = spec_of(value.task);
    for (const auto& [id, other] : workers_) {
        for (const auto& run : other.runs) {
            if (run.task == value.task && !spec.speculative)
                violation(name_of(value.task) + " runs twice, on " + id + " and " + target.ref.id);
        }
    }
    if (logged_ends_.contains(value.task))
        violation(name_of(value.task) + " starts after its end");
    else if (acknowledged_ends_.contains(value.task) && !spec.speculative)
        violation(name_of(value.task) + " starts after its end was acknowledged");
    resources used;
    for (const auto& run : target.runs)
        used += run.need;
    if (!target.capacity.can_fit(used + occupied_resources(spec)))
        violation("worker " + target.ref.id + " is over its capacity");
    for (const auto earlier : owner->ended() ? std::vector<std::uint32_t>() : spec.depends_on) {
        const auto& progress = owner->occurrences[value.task.occurrence].steps[earlier];
        if (progress.done != owner->spec.steps[earlier].count)
            violation(name_of(value.task) + " starts before its turn");
    }
    if (spec.max_per_worker != 0) {
        const auto there = std::ranges::count_if(target.runs, [&](const fake_run& run) {
            return run.task.job == value.task.job && run.task.step == value.task.step;
        });
        if (there >= static_cast<std::ptrdiff_t>(spec.max_per_worker))
            violation("too many tasks of a step on " + target.ref.id);
    }
}

resources fake_fleet::use_of(const std::string& workspace) const {
    resources out;
    for (const auto& [id, item] : workers_) {
        for (const auto& run : item.runs) {
            if (owners_.at(run.task.job) == workspace)
                out += spec_of(run.task).need;
        }
    }
    return out;
}

// Checks that the tasks which run for a workspace fit together under the cap that was in force when
// the last of them was decided. A cap that was lowered since then stops none of them.
void fake_fleet::check_cap(const task_id& started, std::uint32_t run) {
    const auto& workspace = owners_.at(started.job);
    if (!capped_workspaces_.contains(workspace))
        return;
    auto last = start_decisions_.at({started, run});
    for (const auto& [id, item] : workers_) {
        for (const auto& other : item.runs) {
            const auto decided = start_decisions_.find({other.task, other.run});
            if (owners_.at(other.task.job) == workspace && decided != start_decisions_.end() &&
                decided->second.number > last.number)
                last = decided->second;
        }
    }
    const auto use = use_of(workspace);
    if (!is_within_cap(use, last.cap))
        violation("workspace " + workspace + " uses " + std::to_string(use.cpu) + " of " +
                  std::to_string(last.cap.cpu) + " at the start of " + name_of(started));
}

void fake_fleet::set_workspaces(std::vector<workspace_config> workspaces) {
    auto config = table_.config();
    ++config.version;
    config.requires_keys = !workspaces.empty();
    for (const auto& item : workspaces) {
        if (item.cap != resources{})
            capped_workspaces_.insert(item.name);
    }
    config.workspaces = std::move(workspaces);
    const command value{now_, {put_configuration{std::move(config)}}};
    table_.apply(value, term_);
    controller_->applied(value, now_, now_);
}

order_answer fake_fleet::execute(fake_worker& target, const start_order& value) {
    if (!accept_fence(target, value.fence))
        return order_answer::fenced;
    for (const auto& run : target.runs) {
        if (run.task == value.task && run.run == value.run)
            return order_answer::done;
    }
    const auto barred = target.barred.find(value.task);
    if (barred != target.barred.end() && value.run <= barred->second)
        return order_answer::superseded;
    if (value.lease_until <= target.clock(now_))
        return order_answer::late;
    const auto& queue = table_.find_job(value.task.job)->queue;
    if (table_.config().find_queue(queue)->needs_placement_advice &&
        value.ticket != value.task.job + target.ref.id)
        return order_answer::no_ticket;
    check_start(target, value);
    target.lease_until = std::max(
        target.lease_until, std::min(value.lease_until, target.clock(now_) + options_.max_lease));
    const auto& spec = spec_of(value.task);
    fake_run run;
    run.task = value.task;
    run.run = value.run;
    run.started = now_;
    run.work = spec.estimate;
    if (options_.estimate_error > 0) {
        const auto error = options_.estimate_error * (2 * random_.unit() - 1);
        run.work = static_cast<time_ms>(static_cast<double>(spec.estimate) * (1 + error));
    }
    first_starts_.try_emplace(value.task, now_);
    run.long_running = spec.long_running;
    run.need = occupied_resources(spec);
    run.fails = value.payload == "fails";
    target.runs.push_back(run);
    check_cap(value.task, value.run);
    return order_answer::done;
}

order_answer fake_fleet::execute(fake_worker& target, const stop_order& value) {
    if (!accept_fence(target, value.fence))
        return order_answer::fenced;
    target.barred[value.task] = std::max(target.barred[value.task], value.run);
    for (auto& run : target.runs) {
        if (run.task != value.task || run.run != value.run || run.stop_at != 0)
            continue;
        check_stop(target, run);
        run.stop_at = now_ + stop_duration;
    }
    return order_answer::done;
}

order_answer fake_fleet::execute(fake_worker& target, const pace_order& value) {
    if (!accept_fence(target, value.fence))
        return order_answer::fenced;
    for (auto& run : target.runs) {
        if (run.task == value.task && run.run == value.run)
            run.pace = value.percent;
    }
    return target.pace_answers_lost ? order_answer::no_answer : order_answer::done;
}

bool fake_fleet::is_at_work(const fake_run& run) const {
    return run.long_running && run.stop_at == 0 && now_ - run.started >= options_.start_up_time;
}

// Number of other tasks of the step that an order has ended, or that have been away for long, or
// that are among those `ending` now. Each counts once: a task that is still starting after an order
// may be ended by the next one.
std::uint32_t fake_fleet::count_away(const task_id& task, const std::set<task_id>& ending) const {
    std::uint32_t away = 0;
    for (std::uint32_t i = 0; i < specs_.at(task.job).steps[task.step].count; ++i) {
        const task_id other{task.job, task.occurrence, task.step, i};
        const auto down = unavailable_since_.find(other);
        const bool for_long =
            down != unavailable_since_.end() && now_ - down->second >= failure_notice_time;
        const bool is_away = for_long || ended_by_order_.contains(other) || ending.contains(other);
        away += i != task.index && is_away ? 1U : 0U;
    }
    return away;
}

// Checks that a VM order ends no long-running task while too many others of its step are
// unavailable.
void fake_fleet::check_availability(const fake_worker& target, const char* by) {
    std::set<task_id> ending;
    for (const auto& run : target.runs) {
        const auto* owner = table_.find_job(run.task.job);
        if (!run.long_running || !owner || owner->ended() || target.draining)
            continue;
        const auto& spec = spec_of(run.task);
        if (spec.max_unavailable == 0)
            continue;
        const auto away = count_away(run.task, ending);
        ending.insert(run.task);
        if (away >= spec.max_unavailable)
            violation(name_of(run.task) + " is ended by " + by + " while " + std::to_string(away) +
                      " others are away");
    }
    for (const auto& run : target.runs) {
        if (is_at_work(run))
            ended_by_order_.insert(run.task);
    }
}

// As above, for the stop of one run.
void fake_fleet::check_stop(const fake_worker& target, const fake_run& run) {
    const auto* owner = table_.find_job(run.task.job);
    if (!is_at_work(run) || !owner || owner->ended())
        return;
    const auto& spec = spec_of(run.task);
    const auto away = count_away(run.task, {});
    if (!target.draining && spec.max_unavailable != 0 && away >= spec.max_unavailable)
        violation(name_of(run.task) + " is stopped while " + std::to_string(away) +
                  " others are away");
    ended_by_order_.insert(run.task);
}

template <class Order>
void fake_fleet::answer_vm_order(const Order& value, order_answer answer) {
    const bool lost = vm_answers_lost || random_.chance(options_.vm_answer_loss);
    schedule(now_ + (lost ? answer_timeout : link_delay),
             [this, value, answer, lost, term = term_] {
                 if (term == term_)
                     controller_->observe(value, lost ? order_answer::no_answer : answer, now_);
             });
}

bool fake_fleet::declines_vm_orders() {
    return platform_busy ||
           (options_.vm_decline_share > 0 && random_.chance(options_.vm_decline_share));
}

void fake_fleet::take_down(fake_vm& item, std::uint64_t wave) {
    if (workers_.contains(item.worker))
        end_worker(item.worker);
    item.worker.clear();
    item.upkept_waves.insert(wave);
    item.state = vm_state::upkeep;
    item.back_at = last_upkeep_end_ = now_ + upkeep_duration;
}

void fake_fleet::take_down_for_upkeep(const std::string& vm, std::uint64_t wave) {
    take_down(vms_.at(vm), wave);
}

void fake_fleet::call_vm(const move_order& value) {
    if (declines_vm_orders())
        return answer_vm_order(value, order_answer::overloaded);
    auto& item = vms_.at(value.vm);
    auto answer = order_answer::busy;
    if (value.fence < vm_fence_)
        violation("a VM order with an old fence");
    vm_fence_ = std::max(vm_fence_, value.fence);
    if (item.pool == value.pool) {
        answer = order_answer::done;
    } else if (item.state == vm_state::up) {
        answer = order_answer::done;
        ++moves_;
        if (const auto target = workers_.find(item.worker); target != workers_.end()) {
            check_availability(target->second, "a move");
            end_worker(item.worker);
        }
        item.worker.clear();
        item.pool = value.pool;
        item.state = vm_state::moving;
        item.back_at = now_ + move_duration;
    }
    answer_vm_order(value, answer);
}

void fake_fleet::call_vm(const upkeep_order& value) {
    if (declines_vm_orders())
        return answer_vm_order(value, order_answer::overloaded);
    const auto found = vms_.find(value.vm);
    const bool leaving = found == vms_.end() || (workers_.contains(found->second.worker) &&
                                                 workers_.at(found->second.worker).draining);
    if (leaving) {
        ++declined_orders_;
        return answer_vm_order(value, order_answer::busy);
    }
    auto& item = found->second;
    auto answer = order_answer::busy;
    if (value.fence < vm_fence_)
        violation("a VM order with an old fence");
    vm_fence_ = std::max(vm_fence_, value.fence);
    if (item.upkept_waves.contains(value.wave)) {
        answer = order_answer::done;
    } else if (item.state == vm_state::up) {
        answer = order_answer::done;
        ++upkeeps_;
        const auto wave = table_.waves().find(value.wave);
        const auto down = std::ranges::count_if(vms_, [&](const auto& one) {
            return one.second.state == vm_state::upkeep &&
                   (wave == table_.waves().end() || wave->second.vms.contains(one.first));
        });
        if (wave != table_.waves().end() && down >= wave->second.order.max_down)
            violation("too many VMs down in a wave");
        if (const auto target = workers_.find(item.worker); target != workers_.end()) {
            check_availability(target->second, "an upkeep");
        }
        take_down(item, value.wave);
    }
    answer_vm_order(value, answer);
}

bool fake_fleet::submit(const std::string& queue, const std::string& id, job_spec spec,
                        const std::string& workspace) {
    const auto& config = *table_.config().find_queue(queue);
    const auto* owner = table_.config().find_workspace(workspace);
    controller_->record_offered_job(config, owner, id, spec, now_);
    const auto decision = controller_->check_admission(config, owner, id, spec, 0, now_);
    if (!decision.accepted)
        return false;
    controller_->record_accepted_job(id, config.pool, decision.expected_wait, now_);
    accept(queue, id, std::move(spec), workspace);
    return true;
}

void fake_fleet::accept(const std::string& queue, const std::string& id, job_spec spec,
                        const std::string& workspace) {
    const auto& config = *table_.config().find_queue(queue);
    specs_.emplace(id, spec);
    owners_.emplace(id, workspace);
    command value{
        now_, {submit_job{id, queue, config.pool, config.attempts, std::move(spec), workspace}}};
    table_.apply(value, term_);
    controller_->applied(value, now_, now_);
}

void fake_fleet::cancel(const std::string& id) {
    const command value{now_, {cancel_job{id}}};
    table_.apply(value, term_);
    controller_->applied(value, now_, now_);
}

void fake_fleet::order_wave(wave_order order) {
    table_.apply({now_, {put_wave{std::move(order)}}}, term_);
}

void fake_fleet::replace_leader(time_ms pause) {
    ++term_;
    leader_paused = true;
    controller_->stop_leading();
    schedule(now_ + pause + election_time, [this] {
        leader_paused = false;
        controller_->start_leading(term_, now_, now_);
    });
}

void fake_fleet::announce_from_other_node(const std::string& vm, const std::string& node) {
    const command value{now_, {announce_vm_order{vm, node}}};
    table_.apply(value, term_);
    controller_->applied(value, now_, now_);
}

void fake_fleet::lose_power(const std::string& worker, time_ms span) {
    auto& vm = vms_.at(workers_.at(worker).vm);
    end_worker(worker);
    vm.worker.clear();
    vm.state = vm_state::down;
    vm.back_at = now_ + span;
}

void fake_fleet::decommission(const std::string& worker, time_ms span) {
    workers_.at(worker).draining = true;
    schedule(now_ + span, [this, worker, vm = workers_.at(worker).vm] {
        controller_->observe_leaving(worker, now_);
        end_worker(worker);
        vms_.erase(vm);
    });
}

void fake_fleet::set_unresponsive(const std::string& worker, bool unresponsive) {
    workers_.at(worker).unresponsive = unresponsive;
}

void fake_fleet::restart(const std::string& worker) {
    auto& item = workers_.at(worker);
    fake_worker next;
    next.ref = {worker, now_};
    next.vm = item.vm;
    next.pool = item.pool;
    next.rack = item.rack;
    next.capacity = item.capacity;
    next.address = item.address;
    next.started_at = now_;
    next.clock_rate = item.clock_rate;
    next.unresponsive = item.unresponsive;
    item = std::move(next);
}

void fake_fleet::restart_after(const std::string& worker, time_ms span) {
    auto next = workers_.at(worker);
    next.runs.clear();
    next.ended.clear();
    next.barred.clear();
    next.sequence = next.fence = next.last_end = 0;
    next.contacted_at = next.lease_until = 0;
    auto& vm = vms_.at(next.vm);
    vm.state = vm_state::down;
    vm.worker.clear();
    shut_down(worker);
    schedule(now_ + span, [this, next]() mutable {
        refusing_addresses_.erase(next.address);
        next.ref.started_at = next.started_at = now_;
        auto& vm = vms_.at(next.vm);
        vm.state = vm_state::up;
        vm.worker = next.ref.id;
        workers_[next.ref.id] = next;
    });
}

void fake_fleet::replace_at_address(const std::string& worker) {
    const auto address = workers_.at(worker).address;
    auto& vm = vms_.at(workers_.at(worker).vm);
    end_worker(worker);
    start_worker(vm);
    workers_.at(vm.worker).address = address;
}

void fake_fleet::shut_down(const std::string& worker) {
    refusing_addresses_.insert(workers_.at(worker).address);
    end_worker(worker);
}

bool fake_fleet::is_answered_at(const std::string& address) const {
    return std::ranges::any_of(workers_, [&](const auto& item) {
        return item.second.address == address && !item.second.unresponsive;
    });
}

void fake_fleet::crash(const std::string& worker) {
    auto& vm = vms_.at(workers_.at(worker).vm);
    end_worker(worker);
    start_worker(vm);
}

} // namespace clementine::workload
