#include "support/fake_platform.h"

#include <algorithm>

namespace clementine::scheduler {

namespace {

constexpr time_ms checkpoint_interval{5'000};

vm_id target_of(const command& payload) {
    return std::visit([](const auto& item) { return item.vm; }, payload);
}

} // namespace

std::string fake_platform_violations::text() const {
    return "concurrent_runs=" + std::to_string(concurrent_runs) +
           " repeated_runs=" + std::to_string(repeated_runs) +
           " runs_after_cancel=" + std::to_string(runs_after_cancel) +
           " budget_breaches=" + std::to_string(budget_breaches) +
           " drained_while_busy=" + std::to_string(drained_while_busy);
}

fake_platform::fake_platform(const state& s, std::uint64_t seed,
                             const fake_platform_options& options, job_oracle oracle)
    : vms_(s.vms.size()), serving_(s.pools.size()), commands_(s.vms.size()), random_(seed),
      options_(options), oracle_(std::move(oracle)) {
    for (const auto& pool : s.pools)
        min_available_.push_back(pool.min_available);
    for (vm_id id = 0; id < vms_.size(); ++id) {
        auto& v = vms_[id];
        v.pool = s.vms[id].pool;
        v.assignment = s.vms[id].assignment_index;
        // Clock rates at the limits of the allowed error of 10 %.
        v.clock_rate = random_.chance(0.5) ? 0.9 : 1.1;
        v.next_report = random_.between(0, options_.report_interval);
    }
    count_serving();
}

time_ms fake_platform::delay() {
    return random_.between(options_.min_delay, options_.max_delay);
}

void fake_platform::send(const command& payload, const fencing& number) {
    const auto id = target_of(payload);
    auto& v = vms_[id];
    if (random_.chance(options_.loss))
        return;
    v.last_arrival = std::max(v.last_arrival, now_ + delay());
    commands_[id].push_back({v.last_arrival, payload, number});
}

std::vector<vm_report> fake_platform::poll() {
    std::vector<vm_report> out;
    const auto end = reports_.upper_bound(now_);
    for (auto it = reports_.begin(); it != end; ++it)
        out.push_back(std::move(it->second));
    reports_.erase(reports_.begin(), end);
    return out;
}

void fake_platform::advance(time_ms now) {
    constexpr time_ms step{100};
    while (now_ < now) {
        now_ += step;
        for (vm_id id = 0; id < vms_.size(); ++id) {
            deliver_commands(id);
            advance_vm(id, step);
        }
        count_serving();
        if (on_step)
            on_step(now_);
    }
}

void fake_platform::count_serving() {
    std::ranges::fill(serving_, 0);
    for (vm_id id = 0; id < vms_.size(); ++id) {
        if (serving(id))
            ++serving_[vms_[id].pool];
    }
}

bool fake_platform::serving(vm_id id) const {
    const auto& v = vms_[id];
    return v.alive && v.serve && v.drain == 0 && v.restart_done_at == 0 && now_ >= v.ready_at;
}

int fake_platform::requests_on(const vm& v) const {
    if (!v.alive || !v.serve || v.restart_done_at != 0)
        return 0;
    return drain_finished(v) || now_ < v.ready_at ? 0 : 1;
}

void fake_platform::deliver_commands(vm_id id) {
    auto& queue = commands_[id];
    while (!queue.empty() && queue.front().at <= now_) {
        const auto item = queue.front();
        queue.pop_front();
        auto& v = vms_[id];
        if (!v.alive || v.disconnected || v.restart_done_at != 0 || item.number.term < v.term)
            continue;
        v.term = item.number.term;
        execute(id, item.payload);
    }
}

void fake_platform::begin_drain(vm_id id, std::uint64_t request) {
    auto& v = vms_[id];
    if (v.drain == request)
        return;
    const bool served = serving(id);
    v.drain = request;
    v.drained_at =
        now_ + (served ? random_.between(options_.min_drain_time, options_.max_drain_time) : 0);
    if (!served)
        return;
    --serving_[v.pool];
    // Only drains count as breaches; VMs lost to faults do not.
    if (serving_[v.pool] < min_available_[v.pool])
        ++violations_.budget_breaches;
}

void fake_platform::execute(vm_id id, const command& payload) {
    auto& v = vms_[id];
    const auto find = [&](job_id job, std::uint32_t attempt) -> task* {
        const auto it = std::ranges::find_if(
            v.tasks, [&](const task& item) { return item.job == job && item.attempt == attempt; });
        return it == v.tasks.end() ? nullptr : &*it;
    };
    // Stops a task. An unknown attempt is recorded as stopped, so that a late dispatch is refused.
    const auto stop = [&](job_id job, std::uint32_t attempt, bool save_checkpoint) {
        auto* item = find(job, attempt);
        if (item == nullptr) {
            v.tasks.push_back({job, attempt, task_phase::stopped, 0, 0, 100, {}});
            return;
        }
        if (item->phase != task_phase::running)
            return;
        if (save_checkpoint)
            item->checkpoint = static_cast<std::uint64_t>(item->done_ms);
        end_task(*item, task_phase::stopped);
    };
    if (const auto* c = std::get_if<grant_lease>(&payload)) {
        const auto it = v.unanswered_reports.find(c->report);
        if (it == v.unanswered_reports.end())
            return;
        const auto until =
            it->second + static_cast<time_ms>(static_cast<double>(worker_lease) * v.clock_rate);
        if (until > now_ && until > v.lease_until) {
            v.lease_until = until;
            v.lease_valid = true;
        }
        v.unanswered_reports.erase(v.unanswered_reports.begin(), it);
    } else if (const auto* c = std::get_if<dispatch_task>(&payload)) {
        start_task(id, *c);
    } else if (const auto* c = std::get_if<checkpoint_task>(&payload)) {
        stop(c->job, c->attempt, true);
    } else if (const auto* c = std::get_if<stop_task>(&payload)) {
        stop(c->job, c->attempt, false);
    } else if (const auto* c = std::get_if<throttle_task>(&payload)) {
        if (auto* item = find(c->job, c->attempt))
            item->throttle_percent = c->percent;
    } else if (const auto* c = std::get_if<acknowledge_task>(&payload)) {
        std::erase_if(v.tasks, [&](const task& item) {
            return item.job == c->job && item.attempt == c->attempt &&
                   item.phase != task_phase::running;
        });
    } else if (const auto* c = std::get_if<run_probe>(&payload)) {
        ++probes_run_;
        if (!v.faulty)
            v.probe = c->probe;
    } else if (const auto* c = std::get_if<drain_vm>(&payload)) {
        begin_drain(id, c->request);
    } else if (const auto* c = std::get_if<assign_vm>(&payload)) {
        if (v.assignment == c->request)
            return;
        const bool unchanged = v.pool == c->pool && v.serve == c->serve && v.assignment != 0;
        if (!unchanged && requests_on(v) != 0)
            ++violations_.drained_while_busy;
        v.assignment = c->request;
        v.drain = 0;
        v.pool = c->pool;
        v.serve = c->serve;
        if (!unchanged)
            v.ready_at =
                now_ + random_.between(options_.min_startup_time, options_.max_startup_time);
    } else if (const auto* c = std::get_if<restart_vm>(&payload)) {
        if (v.restart == c->request)
            return;
        const auto is_running = [](const task& item) { return item.phase == task_phase::running; };
        if (requests_on(v) != 0 || std::ranges::any_of(v.tasks, is_running))
            ++violations_.drained_while_busy;
        v.restart = c->request;
        discard_tasks(id);
        v.restart_done_at =
            now_ + random_.between(options_.min_restart_time, options_.max_restart_time);
        if (v.restart_fails) {
            v.restart_fails = false;
            v.restart_done_at = 0;
            kill(id);
        }
    }
}

void fake_platform::start_task(vm_id id, const dispatch_task& payload) {
    auto& v = vms_[id];
    const bool already_known = std::ranges::any_of(v.tasks, [&](const task& item) {
        return item.job == payload.job && item.attempt == payload.attempt;
    });
    if (already_known || !v.lease_valid || now_ >= v.lease_until ||
        payload.lease_epoch != v.lease_epoch)
        return;
    task item;
    item.job = payload.job;
    item.attempt = payload.attempt;
    item.checkpoint = payload.checkpoint;
    item.done_ms = static_cast<double>(payload.checkpoint);
    item.behavior = oracle_(payload.job);
    if (++running_[payload.job] > 1)
        ++violations_.concurrent_runs;
    if (++starts_[payload.job] > 1 && at_most_once_.contains(payload.job))
        ++violations_.repeated_runs;
    if (cancelled_.contains(payload.job))
        ++violations_.runs_after_cancel;
    v.tasks.push_back(item);
}

void fake_platform::end_task(task& item, task_phase phase) {
    item.phase = phase;
    --running_[item.job];
}

void fake_platform::discard_tasks(vm_id id) {
    auto& v = vms_[id];
    for (auto& item : v.tasks) {
        if (item.phase == task_phase::running)
            end_task(item, task_phase::stopped);
    }
    v.tasks.clear();
    ++v.lease_epoch;
    v.lease_valid = false;
    v.lease_until = 0;
    v.unanswered_reports.clear();
}

void fake_platform::advance_vm(vm_id id, time_ms step) {
    auto& v = vms_[id];
    if (v.restart_done_at != 0 && now_ >= v.restart_done_at) {
        v.restart_done_at = 0;
        boot(id);
    }
    if (!v.alive || v.restart_done_at != 0)
        return;
    if (v.lease_valid && now_ >= v.lease_until) {
        // The lease expired: all tasks stop, and commands of the old lease epoch are refused.
        for (auto& item : v.tasks) {
            if (item.phase == task_phase::running)
                end_task(item, task_phase::stopped);
        }
        v.lease_valid = false;
        ++v.lease_epoch;
        v.unanswered_reports.clear();
    }
    run_tasks(id, step);
    // The end of a drain or startup is reported at once, all other changes periodically.
    const bool ready = v.serve && now_ >= v.ready_at;
    const bool state_changed =
        (ready && !v.reported_ready) || (drain_finished(v) && !v.reported_drained);
    v.reported_ready = ready;
    v.reported_drained = drain_finished(v);
    if (state_changed || now_ >= v.next_report) {
        v.next_report = now_ + options_.report_interval;
        report(id);
    }
}

void fake_platform::run_tasks(vm_id id, time_ms step) {
    auto& v = vms_[id];
    for (auto& item : v.tasks) {
        if (item.phase != task_phase::running)
            continue;
        if (cancelled_.contains(item.job))
            ++violations_.runs_after_cancel;
        if (v.faulty) {
            end_task(item, task_phase::failed);
            continue;
        }
        item.done_ms += static_cast<double>(step) * item.throttle_percent / 100;
        const auto done = static_cast<std::uint64_t>(item.done_ms);
        if (done >= item.checkpoint + static_cast<std::uint64_t>(checkpoint_interval))
            item.checkpoint = done;
        if (item.done_ms >= static_cast<double>(item.behavior.run_time))
            end_task(item, item.behavior.fails ? task_phase::failed : task_phase::succeeded);
    }
}

void fake_platform::report(vm_id id) {
    auto& v = vms_[id];
    vm_report out;
    out.vm = id;
    out.sequence = ++v.sequence;
    v.unanswered_reports[v.sequence] = now_;
    out.lease_epoch = v.lease_epoch;
    out.assignment = v.assignment;
    out.drain = v.drain;
    out.restart = v.restart;
    out.ready = v.serve && now_ >= v.ready_at;
    out.requests = requests_on(v);
    out.probe_succeeded = v.probe;
    for (const auto& item : v.tasks) {
        task_report entry{item.job,        item.attempt,          item.phase,
                          item.checkpoint, item.throttle_percent, {}};
        if (item.phase == task_phase::running) {
            entry.used = item.behavior.use;
            entry.used.millicores = entry.used.millicores * item.throttle_percent / 100;
            out.used += entry.used;
        }
        out.tasks.push_back(entry);
    }
    if (!v.disconnected && !random_.chance(options_.loss))
        reports_.emplace(now_ + delay(), std::move(out));
}

void fake_platform::boot(vm_id id) {
    auto& v = vms_[id];
    v.alive = true;
    v.assignment = 0;
    v.drain = 0;
    v.serve = false;
    v.next_report = now_;
}

void fake_platform::kill(vm_id id) {
    auto& v = vms_[id];
    v.alive = false;
    v.restart_done_at = 0;
    discard_tasks(id);
    commands_[id].clear();
    count_serving();
}

void fake_platform::restore(vm_id id) {
    if (!vms_[id].alive)
        boot(id);
}

void fake_platform::set_disconnected(vm_id id, bool value) {
    vms_[id].disconnected = value;
}

} // namespace clementine::scheduler
