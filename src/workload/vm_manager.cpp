#include "workload/vm_manager.h"

#include "base/log.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace clementine::workload {

namespace {

constexpr time_ms plan_interval{100};
// The list is read this often while something is going on; each reading has a price.
constexpr time_ms list_interval{1'000};
// And this long after an order, to see its effect.
constexpr time_ms list_after_order{300};
constexpr time_ms list_retry{400};
constexpr time_ms pool_log_interval{500};
// Wall clocks of two nodes may differ by this much while one of them has jumped.
constexpr time_ms wall_clock_error{2'600};
// An order may leave its node this long after its announcement was applied here: the commit is
// known to the leader first, and links between our nodes are given up after 1.3 s of silence.
constexpr time_ms holder_margin{400};
// An order without a clear answer is repeated after this time.
constexpr time_ms order_retry{700};
// A VM that is not needed goes to the standby pool after this time without work. A move and
// the way back cost as much as 2.3 s of a VM in a pool.
constexpr time_ms rest_after{1'500};
// A VM that has just come back is reported by its worker after this time at the latest.
constexpr time_ms settle_time{1'000};
// Part of a wave's time that is used; the rest is for VMs that come back late.
constexpr double wave_time_used = 0.8;
// A VM that the platform has not listed for this long has been taken away; crashed VMs
// are back within 10 s.
constexpr time_ms unlisted_limit{15'000};
// The same if its worker had said that it ends: it was emptied to be taken away.
constexpr time_ms unlisted_limit_after_leave{4'000};
// Spare processor of a pool that is kept for stray jobs, in thousandths of a core.
constexpr std::int64_t least_wanted{8'000};

bool is_at_work(const live_run& run) {
    constexpr int all = 100;
    return run.long_running && run.stage == run_stage::listed && !run.stop_wanted &&
           run.percent >= all;
}

bool same_step(const task_id& a, const task_id& b) {
    return a.step == b.step && a.occurrence == b.occurrence && a.job == b.job;
}

} // namespace

std::uint32_t at_work(const std::map<std::string, worker>& workers, const task_id& any_of_step) {
    std::uint32_t out = 0;
    for (const auto& [id, item] : workers) {
        // What a silent worker last listed may have ended since.
        if (!item.contacted || item.hold_unanswered)
            continue;
        for (const auto& [key, run] : item.runs)
            out += same_step(run.task, any_of_step) && is_at_work(run) ? 1U : 0U;
    }
    return out;
}

vm_manager::vm_manager(const job_table& table, vm_settings settings)
    : table_(table), settings_(std::move(settings)) {}

void vm_manager::start_leading(std::uint64_t fence, time_ms now, time_ms wall) {
    fence_ = fence;
    vms_.clear();
    list_under_way_ = false;
    listed_at_ = first_listed_at_ = 0;
    list_due_at_ = now;
    // A restored snapshot was never applied command by command.
    for (const auto& [vm, holder] : table_.vm_holders()) {
        if (holder.node != settings_.node && !announced_by_others_.contains(vm))
            applied({vm, holder.node}, holder.at, now, wall);
    }
}

void vm_manager::applied(const announce_vm_order& announced, time_ms at, time_ms now,
                         time_ms wall) {
    if (announced.node == settings_.node) {
        announced_by_others_.erase(announced.vm);
        return;
    }
    // Commands are applied when they are committed, or long after when a log is read again.
    const auto passed = std::max<time_ms>(0, wall - at - wall_clock_error);
    announced_by_others_[announced.vm] = now - passed;
}

void vm_manager::observe_leaving(const std::string& worker) {
    for (auto& [name, item] : vms_)
        item.worker_left = item.worker_left || item.last_worker == worker;
}

// Tells the log about an order before it is given.
void vm_manager::announce(managed_vm& item, order value, time_ms now, std::vector<operation>& log) {
    item.order_under_way = true;
    item.ordered_at = now;
    item.announced = std::move(value);
    log.emplace_back(announce_vm_order{item.report.vm, settings_.node});
}

void vm_manager::committed(const announce_vm_order& announced, time_ms now,
                           std::vector<order>& orders) {
    const auto at = vms_.find(announced.vm);
    if (at == vms_.end() || !at->second.announced)
        return;
    at->second.ordered_at = now;
    orders.push_back(std::move(*at->second.announced));
    at->second.announced.reset();
}

std::string vm_manager::worker_on(const std::string& vm) const {
    const auto at = vms_.find(vm);
    return at == vms_.end() ? std::string() : at->second.report.worker;
}

std::string vm_manager::last_worker_on(const std::string& vm) const {
    const auto at = vms_.find(vm);
    return at == vms_.end() ? std::string() : at->second.last_worker;
}

void vm_manager::observe(const std::vector<vm_report>& vms, order_answer answer, time_ms now) {
    list_under_way_ = false;
    if (answer != order_answer::done) {
        list_due_at_ = now + list_retry;
        log_event(log_level::warning, "vms_not_listed").field("answer", to_name(answer));
        return;
    }
    listed_at_ = now;
    if (first_listed_at_ == 0)
        first_listed_at_ = now;
    list_due_at_ = now + list_interval;
    for (const auto& report : vms) {
        auto& item = vms_[report.vm];
        if (item.report.state != report.state || item.report.pool != report.pool)
            log_event(log_level::info, "vm_state")
                .field("vm", report.vm)
                .field("state", to_name(report.state))
                .field("pool", report.pool)
                .field("worker", report.worker)
                .field("unlisted_ms", item.listed_at == 0 ? time_ms{0} : now - item.listed_at);
        const bool busy = item.order_under_way || now - item.ordered_at < list_after_order;
        item.report = report;
        if (!report.worker.empty() && report.worker != item.last_worker) {
            item.last_worker = report.worker;
            item.worker_left = false;
        }
        item.listed_at = now;
        if (busy || report.state != vm_state::up)
            continue;
        if (item.moving_to && report.pool == *item.moving_to)
            item.moving_to.reset();
        if (item.upkeep_wave != 0 && now - item.ordered_at > settings_.upkeep_time)
            item.upkeep_wave = 0;
    }
}

bool vm_manager::observe(const move_order& order, order_answer answer, time_ms now) {
    auto& item = vms_[order.vm];
    item.order_under_way = false;
    list_due_at_ = std::min(list_due_at_, now + settings_.move_time);
    log_event(log_level::info, "vm_move")
        .field("vm", order.vm)
        .field("pool", order.pool)
        .field("answer", to_name(answer))
        .field("fence", order.fence);
    if (answer == order_answer::done)
        return true;
    if (answer == order_answer::no_answer)
        return false; // repeated until it is clear
    item.moving_to.reset();
    item.retry_at = now + order_retry;
    if (answer == order_answer::invalid)
        refused_.emplace(order.vm, order.pool);
    return false;
}

bool vm_manager::observe(const upkeep_order& order, order_answer answer, time_ms now) {
    auto& item = vms_[order.vm];
    item.order_under_way = false;
    list_due_at_ = std::min(list_due_at_, now + settings_.upkeep_time);
    log_event(log_level::info, "vm_upkeep")
        .field("vm", order.vm)
        .field("wave", order.wave)
        .field("answer", to_name(answer))
        .field("fence", order.fence);
    if (answer == order_answer::done) {
        item.ordered_at = now;
        return true;
    }
    if (answer != order_answer::no_answer) {
        item.upkeep_wave = 0;
        item.retry_at = now + order_retry;
    }
    return false;
}

const worker* vm_manager::worker_of(const managed_vm& item, const worker_map& workers) const {
    const auto at = workers.find(item.report.worker);
    return at == workers.end() ? nullptr : &at->second;
}

bool vm_manager::held_by_other(const std::string& vm, time_ms now) const {
    const auto at = announced_by_others_.find(vm);
    return at != announced_by_others_.end() &&
           now < at->second + settings_.holder_change_pause + holder_margin;
}

// True if nothing runs on a VM, as far as anybody knows, and nothing is about to.
bool vm_manager::is_idle(const managed_vm& item, const worker_map& workers, time_ms now) const {
    if (item.report.state != vm_state::up || item.order_under_way || item.moving_to ||
        item.upkeep_wave != 0 || now < item.retry_at || held_by_other(item.report.vm, now) ||
        now - item.listed_at > 2 * list_interval)
        return false;
    if (item.report.worker.empty())
        return true;
    const auto* on = worker_of(item, workers);
    return on && on->contacted && !on->hold_unanswered && !on->draining && on->runs.empty();
}

void vm_manager::note_idle(const worker_map& workers, time_ms now) {
    for (auto& [name, item] : vms_) {
        if (!is_idle(item, workers, now))
            item.idle_since = 0;
        else if (item.idle_since == 0)
            item.idle_since = now;
    }
}

std::set<std::string> vm_manager::standby_pools() const {
    std::set<std::string> out;
    for (const auto& pool : table_.config().pools) {
        if (pool.standby)
            out.insert(pool.name);
    }
    return out;
}

std::int64_t vm_manager::arriving_cpu(const std::string& pool) const {
    std::int64_t out = 0;
    for (const auto& [name, item] : vms_) {
        if (item.moving_to && *item.moving_to == pool)
            out += item.report.capacity.cpu;
    }
    return out;
}

std::int64_t vm_manager::idle_standby_cpu() const {
    const auto standby = standby_pools();
    std::int64_t out = 0;
    for (const auto& [name, item] : vms_) {
        if (item.idle_since != 0 && standby.contains(item.report.pool))
            out += item.report.capacity.cpu;
    }
    return out;
}

// A reservation ends when the VM has nothing ordered or due any more.
void vm_manager::release_reservations(worker_map& workers) const {
    for (auto& [id, item] : workers) {
        item.reserved = false;
        item.upkeep_due = false;
    }
    for (const auto& [name, item] : vms_) {
        const auto at = workers.find(item.report.worker);
        if (at != workers.end() && (item.moving_to || item.upkeep_wave != 0))
            at->second.reserved = true;
    }
    for (const auto& [number, item] : table_.waves()) {
        for (const auto& [vm, phase] : item.vms) {
            const auto known = vms_.find(vm);
            if (phase == upkeep_phase::done || known == vms_.end())
                continue;
            const auto at = workers.find(known->second.report.worker);
            if (at != workers.end())
                at->second.upkeep_due = true;
        }
    }
}

// True if the lasting tasks on a worker may end now. A step with several tasks there gives them up
// one after the other first.
bool vm_manager::clear_for_upkeep(worker& on, worker_map& workers) const {
    bool clear = true;
    std::set<std::tuple<std::string, std::uint32_t, std::uint32_t>> seen;
    for (auto& [key, run] : on.runs) {
        if (!run.long_running) {
            clear = false; // short tasks end by themselves
            continue;
        }
        const auto* owner = table_.find_job(run.task.job);
        if (!owner || owner->ended())
            continue;
        const auto& step = owner->spec.steps[run.task.step];
        if (step.max_unavailable == 0 ||
            !seen.emplace(run.task.job, run.task.occurrence, run.task.step).second)
            continue;
        std::uint32_t here = 0;
        for (const auto& [other_key, other] : on.runs)
            here += same_step(other.task, run.task) && is_at_work(other) ? 1U : 0U;
        const auto away = step.count - std::min(step.count, at_work(workers, run.task));
        if (away + here <= step.max_unavailable)
            continue;
        clear = false;
        if (away == 0 && here > step.max_unavailable && is_at_work(run)) {
            log_event(log_level::info, "run_evacuated")
                .field("job", run.task.job)
                .field("index", run.task.index)
                .field("worker", on.ref.id)
                .field("reason", "upkeep");
            run.stop_wanted = true;
        }
    }
    return clear;
}

// A VM that is gone needs no upkeep any more.
void vm_manager::give_up_upkeep(const wave& item, const std::string& vm,
                                std::vector<operation>& log) const {
    log_event(log_level::warning, "upkeep_given_up")
        .field("wave", item.order.number)
        .field("vm", vm)
        .field("reason", "not listed");
    log.emplace_back(mark_upkeep{item.order.number, vm, upkeep_phase::done});
}

void vm_manager::plan_wave(const wave& item, worker_map& workers, time_ms now, time_ms wall,
                           std::vector<operation>& log) {
    std::uint32_t down = 0;
    std::vector<managed_vm*> due;
    for (const auto& [name, phase] : item.vms) {
        const auto known = vms_.find(name);
        if (known == vms_.end()) {
            if (phase != upkeep_phase::done && listed_at_ - first_listed_at_ > unlisted_limit)
                give_up_upkeep(item, name, log);
            continue;
        }
        auto& vm = known->second;
        if (vm.upkeep_wave != 0 || vm.report.state == vm_state::upkeep) {
            ++down;
            // An answer that did not come is asked for again: the order is idempotent.
            if (vm.upkeep_wave != 0 && phase != upkeep_phase::done && !vm.order_under_way &&
                now - vm.ordered_at > order_retry) {
                announce(vm, upkeep_order{name, item.order.number, fence_}, now, log);
            }
            continue;
        }
        if (phase == upkeep_phase::done)
            continue;
        const auto limit = vm.worker_left ? unlisted_limit_after_leave : unlisted_limit;
        if (listed_at_ - vm.listed_at > limit) {
            give_up_upkeep(item, name, log);
            continue;
        }
        // The platform declines orders about VMs that are emptied or not listed any more.
        const auto* on = worker_of(vm, workers);
        if (vm.listed_at != listed_at_ || (on && on->draining))
            continue;
        if (vm.report.state == vm_state::up && !vm.moving_to && !vm.order_under_way &&
            now >= vm.retry_at && !held_by_other(name, now))
            due.push_back(&vm);
    }
    if (due.empty() || down >= item.order.max_down)
        return;
    const auto end =
        item.accepted_at +
        static_cast<time_ms>(wave_time_used * static_cast<double>(item.order.duration));
    const auto left = std::max<time_ms>(1, end - wall);
    const auto each = settings_.upkeep_time + settle_time;
    const auto needed =
        static_cast<std::uint32_t>((static_cast<time_ms>(due.size()) * each + left - 1) / left);
    std::ranges::stable_sort(due, [&](const auto* a, const auto* b) {
        const auto runs = [&](const auto* vm) {
            const auto* on = worker_of(*vm, workers);
            return on ? on->runs.size() : 0;
        };
        return runs(a) < runs(b);
    });
    for (auto* vm : due) {
        if (down >= item.order.max_down)
            return;
        const auto at = workers.find(vm->report.worker);
        auto* on = at == workers.end() ? nullptr : &at->second;
        if (on && !on->runs.empty()) {
            if (down >= needed)
                return;
            if (!on->contacted || on->hold_unanswered)
                continue;
            ++down;
            on->reserved = true;
            if (!clear_for_upkeep(*on, workers))
                continue;
            for (auto& [key, run] : on->runs)
                run.stop_wanted = true; // they end with the VM, and count as away from now on
        } else {
            ++down;
        }
        if (on)
            on->reserved = true;
        vm->upkeep_wave = item.order.number;
        announce(*vm, upkeep_order{vm->report.vm, item.order.number, fence_}, now, log);
    }
}

void vm_manager::plan_upkeep(worker_map& workers, time_ms now, time_ms wall,
                             std::vector<operation>& log) {
    for (const auto& [number, item] : table_.waves()) {
        if (!item.completed())
            plan_wave(item, workers, now, wall, log);
    }
}

void vm_manager::order_move(managed_vm& item, const std::string& pool, worker_map& workers,
                            time_ms now, std::vector<operation>& log) {
    const auto at = workers.find(item.report.worker);
    if (at != workers.end())
        at->second.reserved = true;
    item.moving_to = pool;
    item.idle_since = 0;
    announce(item, move_order{item.report.vm, pool, fence_}, now, log);
}

void vm_manager::log_pools(const std::map<std::string, pool_demand>& demand,
                           const std::map<std::string, std::int64_t>& supply, time_ms now) {
    if (now - logged_at_ < pool_log_interval)
        return;
    logged_at_ = now;
    for (const auto& [pool, one] : demand) {
        const auto at = supply.find(pool);
        int idle = 0;
        for (const auto& [name, item] : vms_)
            idle += item.report.pool == pool && item.idle_since != 0 ? 1 : 0;
        log_event(log_level::info, "pool_state")
            .field("pool", pool)
            .field("wanted_cpu", one.wanted)
            .field("supply_cpu", at == supply.end() ? std::int64_t{0} : at->second)
            .field("blocked_cpu", one.blocked)
            .field("arriving_cpu", arriving_cpu(pool))
            .field("idle_vms", idle)
            .field("list_age_ms", now - listed_at_);
    }
}

void vm_manager::plan_moves(worker_map& workers, const std::map<std::string, pool_demand>& demand,
                            time_ms now, std::vector<operation>& log) {
    const auto standby = standby_pools();
    // Processor for short tasks of each pool, with VMs on their way.
    std::map<std::string, std::int64_t> supply;
    for (auto& [name, item] : vms_) {
        if (item.moving_to) {
            supply[*item.moving_to] += item.report.capacity.cpu;
            if (!item.order_under_way && now - item.ordered_at > order_retry &&
                item.report.state == vm_state::up && item.report.pool != *item.moving_to &&
                now - item.listed_at < order_retry) {
                announce(item, move_order{name, *item.moving_to, fence_}, now, log);
            }
            continue;
        }
        if (item.report.state == vm_state::down || item.upkeep_wave != 0)
            continue;
        const auto* on = worker_of(item, workers);
        if (on && (on->draining || on->hold_unanswered || on->reserved))
            continue;
        supply[item.report.pool] += item.report.capacity.cpu;
        if (!on)
            continue;
        for (const auto& [key, run] : on->runs) {
            if (run.long_running)
                supply[item.report.pool] -= run.need.cpu;
        }
    }
    std::map<std::string, std::int64_t> missing;
    for (const auto& pool : table_.config().pools) {
        if (pool.standby)
            continue;
        const auto at = demand.find(pool.name);
        const auto asked = at == demand.end() ? pool_demand{} : at->second;
        auto& short_of = missing[pool.name];
        short_of = std::max(least_wanted, asked.wanted) - supply[pool.name];
        // Room may be there in pieces that are too small.
        if (asked.blocked > 0)
            short_of = std::max(short_of, asked.blocked - arriving_cpu(pool.name));
    }
    log_pools(demand, supply, now);
    std::vector<managed_vm*> idle;
    for (auto& [name, item] : vms_) {
        const auto* on = worker_of(item, workers);
        if (item.idle_since != 0 && is_idle(item, workers, now) && !(on && on->reserved))
            idle.push_back(&item);
    }
    // Resting VMs first, then those that have been idle for longest.
    std::ranges::stable_sort(idle, [&](const auto* a, const auto* b) {
        return std::pair(!standby.contains(a->report.pool), a->idle_since) <
               std::pair(!standby.contains(b->report.pool), b->idle_since);
    });
    for (auto* item : idle) {
        const auto from = item->report.pool;
        const auto cpu = item->report.capacity.cpu;
        const bool in_standby = standby.contains(from);
        if (!in_standby && missing[from] + cpu > 0)
            continue; // needed where it is
        auto target = std::ranges::max_element(
            missing, [](const auto& a, const auto& b) { return a.second < b.second; });
        std::string pool;
        if (target != missing.end() && target->second > 0 && target->first != from)
            pool = target->first;
        else if (!in_standby && !standby.empty() && now - item->idle_since >= rest_after)
            pool = *standby.begin();
        if (pool.empty() || refused_.contains({item->report.vm, pool}))
            continue;
        if (!in_standby)
            missing[from] += cpu;
        if (missing.contains(pool))
            missing[pool] -= cpu;
        order_move(*item, pool, workers, now, log);
    }
}

void vm_manager::decide(worker_map& workers, const std::map<std::string, pool_demand>& demand,
                        time_ms now, time_ms wall, std::vector<operation>& log,
                        std::vector<order>& orders) {
    if (!settings_.available || now - planned_at_ < plan_interval)
        return;
    planned_at_ = now;
    if (!list_under_way_ && now >= list_due_at_ && table_.config().version != 0) {
        list_under_way_ = true;
        orders.emplace_back(list_vms_order{now});
    }
    if (listed_at_ == 0)
        return;
    release_reservations(workers);
    note_idle(workers, now);
    plan_upkeep(workers, now, wall, log);
    plan_moves(workers, demand, now, log);
}

} // namespace clementine::workload
