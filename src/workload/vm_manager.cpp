#include "workload/vm_manager.h"

#include "base/log.h"
#include "workload/placement.h"
#include "workload/room_forecast.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace clementine::workload {

namespace {

constexpr time_ms plan_interval{100};
// Interval of VM list requests while VMs change; each request has a cost.
constexpr time_ms list_interval{1'000};
// Delay until the effect of an order shows in the list.
constexpr time_ms list_after_order{300};
constexpr time_ms list_retry{400};
constexpr time_ms pool_log_interval{500};
// Two wall clocks may differ by this much while one of them has jumped.
constexpr time_ms wall_clock_error{2'600};
// An order may be sent this long after its announcement was applied here: the leader learns of the
// commit first, and links between nodes are closed after 1.3 s of silence.
constexpr time_ms holder_margin{400};
// An unconfirmed order is repeated after this time.
constexpr time_ms order_retry{700};
// Idle time after which an unneeded VM moves to the standby pool. A move and the way back cost as
// much as 2.3 s of a VM in a pool.
constexpr time_ms standby_delay{1'500};
// The same where the turn of the pool is known to be over.
constexpr time_ms standby_delay_after_turn{200};
// A VM that has come back is reported by its worker within this time.
constexpr time_ms return_delay{1'000};
// Part of a wave's duration that is planned for; the rest is for VMs that come back late, and for
// those whose tasks cannot be spared before others are back.
constexpr double usable_wave_time = 0.7;
// A VM of a wave that is not listed for this long was removed; crashed VMs are back within 10 s.
constexpr time_ms unlisted_limit{15'000};
// Shorter if its worker announced its shutdown: the VM was drained for removal.
constexpr time_ms unlisted_limit_after_leave{4'000};
// A task that has ended on a due VM starts again within this time, if it can.
constexpr time_ms task_room_time{2'000};
// Least processor kept in a pool for occasional jobs, in thousandths of a core.
constexpr std::int64_t min_wanted_cpu{8'000};

bool is_available(const live_run& run) {
    constexpr int all = 100;
    return run.long_running && run.stage == run_stage::listed && !run.stop_wanted &&
           run.percent >= all;
}

// Runs last listed by a silent worker may have ended since, and those of a worker that drains or
// whose VM was ordered away are about to end.
bool counts_as_available(const worker& item) {
    return item.long_running_runs != 0 && item.contacted && !item.hold_unanswered &&
           !item.draining && !item.leaving && item.ordered_away_at == 0;
}

// True if the answer shows that the same order cannot have been carried out before either. An
// answer that declines an order for the moment does not: the VM may be busy with the effect of an
// earlier attempt that has no answer.
bool excludes_earlier_effect(order_answer answer) {
    return answer == order_answer::invalid || answer == order_answer::other_wave;
}

step_key key_of(const task_id& id) {
    return {id.job, id.occurrence, id.step};
}

// Workers that tasks of VMs that are due may move to.
std::vector<wave_target> find_wave_targets(const std::vector<worker*>& workers,
                                           const std::map<step_key, limited_step>& steps,
                                           const std::map<task_id, task_room>& rooms) {
    std::map<std::string, std::set<step_key>> steps_to_come;
    for (const auto& [task, room] : rooms)
        steps_to_come[room.worker].insert(key_of(task));
    std::vector<wave_target> out;
    for (const auto* item : workers) {
        wave_target target;
        target.pool = item->pool;
        target.kind = item->kind;
        target.rack = item->rack;
        if (const auto it = steps_to_come.find(item->ref.id); it != steps_to_come.end())
            target.steps = it->second;
        target.free = item->free() - item->kept_room;
        target.free_of_short = item->capacity - item->kept_room;
        for (const auto& [key, run] : item->runs) {
            if (!run.long_running)
                continue;
            target.free_of_short -= run.need;
            if (const auto step = key_of(run.task); steps.contains(step))
                target.steps.insert(step);
        }
        out.push_back(std::move(target));
    }
    return out;
}

} // namespace

std::map<step_key, std::uint32_t>
count_available_tasks(const std::map<std::string, worker>& workers) {
    std::map<step_key, std::uint32_t> out;
    for (const auto& [id, item] : workers) {
        if (!counts_as_available(item))
            continue;
        for (const auto& [key, run] : item.runs) {
            if (is_available(run))
                ++out[key_of(run.task)];
        }
    }
    return out;
}

vm_manager::vm_manager(const job_table& table, vm_settings settings)
    : table_(table), settings_(std::move(settings)) {}

void vm_manager::start_leading(std::uint64_t fence, time_ms now, time_ms wall) {
    fence_ = fence;
    vms_.clear();
    task_rooms_.clear();
    list_under_way_ = false;
    listed_at_ = first_listed_at_ = 0;
    waves_seen_at_.clear();
    earlier_waves_.clear();
    note_earlier_waves();
    list_due_at_ = now;
    // A restored snapshot did not pass through `applied`.
    for (const auto& [vm, holder] : table_.vm_holders()) {
        if (holder.node != settings_.node && !announced_by_others_.contains(vm))
            applied({vm, holder.node}, holder.announced_at, now, wall);
    }
}

void vm_manager::applied(const announce_vm_order& announced, time_ms announced_at, time_ms now,
                         time_ms wall) {
    if (announced.node == settings_.node) {
        announced_by_others_.erase(announced.vm);
        return;
    }
    // Commands are applied on commit, or much later when the log is replayed.
    const auto passed = std::max<time_ms>(0, wall - announced_at - wall_clock_error);
    announced_by_others_[announced.vm] = now - passed;
    note_earlier_waves();
    const auto known = vms_.find(announced.vm);
    if (known != vms_.end() && known->second.ordered)
        known->second.ordered_before = known->second.move_unanswered = true;
}

void vm_manager::note_earlier_waves() {
    for (const auto& [number, item] : table_.waves()) {
        if (!item.completed())
            earlier_waves_.insert(number);
    }
}

void vm_manager::observe_leaving(const std::string& worker) {
    for (auto& [name, item] : vms_)
        item.worker_left = item.worker_left || item.last_worker == worker;
}

// Before this leader's first order about a VM, the log tells whether earlier leaders gave any.
void vm_manager::note_first_order(managed_vm& item) const {
    if (!std::exchange(item.ordered, true))
        item.ordered_before = item.move_unanswered = table_.vm_holders().contains(item.report.vm);
}

bool vm_manager::may_repeat(managed_vm& item, const move_order&) const {
    note_first_order(item);
    return item.move_unanswered;
}

bool vm_manager::may_repeat(managed_vm& item, const upkeep_order& value) const {
    note_first_order(item);
    return item.unanswered_waves.contains(value.wave) ||
           (item.ordered_before && earlier_waves_.contains(value.wave));
}

// Logs the announcement of an order before the order is sent.
template <class Order>
void vm_manager::announce(managed_vm& item, Order value, time_ms now, std::vector<operation>& log) {
    item.order_under_way = true;
    item.repeats_order = may_repeat(item, value);
    item.ordered_at = now;
    item.announced = std::move(value);
    log.emplace_back(announce_vm_order{item.report.vm, settings_.node});
}

void vm_manager::committed(const announce_vm_order& announced, time_ms now,
                           std::vector<order>& orders) {
    const auto it = vms_.find(announced.vm);
    if (it == vms_.end() || !it->second.announced)
        return;
    it->second.ordered_at = it->second.sent_at = now;
    orders.push_back(std::move(*it->second.announced));
    it->second.announced.reset();
}

std::string vm_manager::worker_on(const std::string& vm) const {
    const auto it = vms_.find(vm);
    return it == vms_.end() ? std::string() : it->second.report.worker;
}

std::string vm_manager::last_worker_on(const std::string& vm) const {
    const auto it = vms_.find(vm);
    return it == vms_.end() ? std::string() : it->second.last_worker;
}

time_ms vm_manager::order_sent_at(const std::string& vm) const {
    const auto it = vms_.find(vm);
    return it == vms_.end() ? time_ms{0} : it->second.sent_at;
}

void vm_manager::observe(const std::vector<vm_report>& vms, order_answer answer, time_ms now) {
    list_under_way_ = false;
    if (answer != order_answer::done) {
        list_due_at_ = now + list_retry;
        log_event(log_level::warning, "vm_list_failed").field("answer", to_name(answer));
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

// The platform confirms an order also if it had been carried out before.
order_effect vm_manager::record_answer(managed_vm& item, order_answer answer, time_ms now) {
    item.order_under_way = false;
    if (answer != order_answer::done)
        return order_effect::none;
    if (!item.repeats_order)
        return order_effect::ended;
    list_due_at_ = std::min(list_due_at_, now + list_after_order);
    return order_effect::unclear;
}

void vm_manager::observe_still_up(const std::string& worker) {
    for (auto& [name, item] : vms_) {
        if (item.report.worker == worker && !item.order_under_way)
            item.upkeep_wave = 0;
    }
}

order_effect vm_manager::observe(const move_order& order, order_answer answer, time_ms now) {
    auto& item = vms_[order.vm];
    const auto effect = record_answer(item, answer, now);
    list_due_at_ = std::min(list_due_at_, now + settings_.move_time);
    log_event(log_level::info, "vm_move")
        .field("vm", order.vm)
        .field("pool", order.pool)
        .field("answer", to_name(answer))
        .field("fence", order.fence);
    // Without an answer it is repeated until the answer is clear.
    if (answer == order_answer::done || answer == order_answer::no_answer) {
        item.move_unanswered = answer == order_answer::no_answer;
        return effect;
    }
    item.moving_to.reset();
    item.retry_at = now + order_retry;
    if (answer == order_answer::invalid)
        rejected_moves_.emplace(order.vm, order.pool);
    return effect;
}

order_effect vm_manager::observe(const upkeep_order& order, order_answer answer, time_ms now) {
    auto& item = vms_[order.vm];
    const auto effect = record_answer(item, answer, now);
    list_due_at_ = std::min(list_due_at_, now + settings_.upkeep_time);
    log_event(log_level::info, "vm_upkeep")
        .field("vm", order.vm)
        .field("wave", order.wave)
        .field("answer", to_name(answer))
        .field("fence", order.fence);
    if (answer == order_answer::done) {
        item.ordered_at = now;
        item.unanswered_waves.erase(order.wave);
    } else if (answer == order_answer::no_answer) {
        item.unanswered_waves.insert(order.wave);
    } else if (!item.unanswered_waves.contains(order.wave) || excludes_earlier_effect(answer)) {
        // Otherwise the VM may be down for an earlier attempt, and counts as such.
        item.unanswered_waves.erase(order.wave);
        item.upkeep_wave = 0;
        item.retry_at = now + order_retry;
    }
    return effect;
}

// Looks up the worker of each VM once for a whole plan. Load pattern: with a thousand VMs the
// look-ups by name would take more time than the decisions.
void vm_manager::find_workers(worker_map& workers) {
    for (auto& [name, item] : vms_) {
        item.vm_worker = nullptr;
        if (item.report.worker.empty())
            continue;
        const auto it = workers.find(item.report.worker);
        item.vm_worker = it == workers.end() ? nullptr : &it->second;
        // The notice was taken back, or a new life came under the same id.
        if (item.vm_worker && !item.vm_worker->leaving && !item.vm_worker->notice_came &&
            item.vm_worker->reported && item.vm_worker->reported_at <= item.listed_at &&
            item.report.state == vm_state::up)
            item.worker_left = false;
    }
}

bool vm_manager::held_by_other(const std::string& vm, time_ms now) const {
    if (announced_by_others_.empty())
        return false;
    const auto it = announced_by_others_.find(vm);
    return it != announced_by_others_.end() &&
           now < it->second + settings_.holder_change_pause + holder_margin;
}

// True if nothing is known to run on a VM and nothing is about to start.
bool vm_manager::is_idle(const managed_vm& item, time_ms now) const {
    if (item.report.state != vm_state::up || item.order_under_way || item.moving_to ||
        item.upkeep_wave != 0 || now < item.retry_at || now - item.listed_at > 2 * list_interval)
        return false;
    const auto* vm_worker = item.vm_worker;
    const bool empty = item.report.worker.empty() ||
                       (vm_worker && vm_worker->contacted && !vm_worker->hold_unanswered &&
                        !vm_worker->draining && vm_worker->runs.empty());
    return empty && !held_by_other(item.report.vm, now);
}

void vm_manager::update_idle_times(time_ms now) {
    for (auto& [name, item] : vms_) {
        if (!is_idle(item, now))
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

std::size_t vm_manager::count_arriving(const std::string& pool) const {
    return static_cast<std::size_t>(std::ranges::count_if(
        vms_, [&](const auto& item) { return item.second.moving_to == pool; }));
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

// Recomputes the reservations: they end once the VM has nothing ordered or due.
void vm_manager::update_reservations(worker_map& workers) {
    for (auto& [id, item] : workers) {
        item.reserved = false;
        item.upkeep_due = false;
        item.kept_room = {};
    }
    for (const auto& [name, item] : vms_) {
        if (item.vm_worker && (item.moving_to || item.upkeep_wave != 0))
            item.vm_worker->reserved = true;
    }
    for (const auto& [number, item] : table_.waves()) {
        for (const auto& [vm, phase] : item.vms) {
            if (phase == upkeep_phase::done)
                continue;
            const auto known = vms_.find(vm);
            if (known != vms_.end() && known->second.vm_worker)
                known->second.vm_worker->upkeep_due = true;
        }
    }
}

// Keeps the room of tasks that leave due VMs. They need it for some time after their runs are no
// longer listed, or after their VMs have gone down.
void vm_manager::keep_room(worker_map& workers, time_ms now) {
    for (auto& [id, room] : task_rooms_) {
        const auto from = workers.find(room.from);
        if (from != workers.end() && !from->second.hold_unanswered &&
            from->second.runs.contains({id, room.run}))
            room.kept_until = now + task_room_time; // it has not ended yet
    }
    std::erase_if(task_rooms_, [&](const auto& entry) {
        const auto& [id, room] = entry;
        const auto* task = table_.find_task(id);
        if (now > room.kept_until || !task || task->phase == task_phase::done ||
            (task->phase == task_phase::assigned && task->run != room.run))
            return true;
        const auto it = workers.find(room.worker);
        if (it == workers.end() || it->second.upkeep_due || !accepts_runs(it->second, now))
            return true;
        it->second.kept_room += room.need;
        return false;
    });
}

// Ends a run by an order; from then on it does not count as available.
void vm_manager::want_stop(worker& vm_worker, live_run& run) {
    if (is_available(run) && available_tasks_[key_of(run.task)] > 0)
        --available_tasks_[key_of(run.task)];
    run.stop_wanted = true;
    vm_worker.review_due = true;
}

// Marks a VM as done in a wave because it was removed.
void vm_manager::abandon_upkeep(const wave& item, const std::string& vm,
                                std::vector<operation>& log) const {
    log_event(log_level::warning, "upkeep_abandoned")
        .field("wave", item.order.number)
        .field("vm", vm)
        .field("reason", "not listed");
    log.emplace_back(mark_upkeep{item.order.number, vm, upkeep_phase::done});
}

// True if the lists read since a wave was ordered show that a VM of it was removed. Lists of before
// prove nothing: the order names VMs that have only just joined.
bool vm_manager::is_removed(const std::string& vm, time_ms wave_seen_at) const {
    const auto known = vms_.find(vm);
    const auto last_listed = known == vms_.end() ? time_ms{0} : known->second.listed_at;
    const auto limit = known != vms_.end() && known->second.worker_left ? unlisted_limit_after_leave
                                                                        : unlisted_limit;
    return listed_at_ - std::max({last_listed, first_listed_at_, wave_seen_at}) > limit;
}

// Returns the VMs of a wave that may be ordered down, and counts those that are down in `down`.
std::vector<managed_vm*> vm_manager::find_due_vms(const wave& item, std::uint32_t& down,
                                                  time_ms now, std::vector<operation>& log) {
    const auto seen_at = waves_seen_at_.try_emplace(item.order.number, now).first->second;
    std::vector<managed_vm*> due;
    for (const auto& [name, phase] : item.vms) {
        const auto known = vms_.find(name);
        if (is_removed(name, seen_at)) {
            if (phase != upkeep_phase::done)
                abandon_upkeep(item, name, log);
            if (known != vms_.end())
                known->second.upkeep_wave = 0; // no longer one of those that are down
            continue;
        }
        if (known == vms_.end())
            continue;
        auto& vm = known->second;
        if (vm.upkeep_wave != 0 || vm.report.state == vm_state::upkeep) {
            ++down;
            // An unanswered order is repeated: it is idempotent.
            if (vm.upkeep_wave == item.order.number && phase != upkeep_phase::done &&
                !vm.order_under_way && now - vm.ordered_at > order_retry) {
                announce(vm, upkeep_order{name, item.order.number, fence_}, now, log);
            }
            continue;
        }
        if (phase == upkeep_phase::done)
            continue;
        // The order of the other node may be to take it down, and may still arrive.
        if (held_by_other(name, now)) {
            ++down;
            continue;
        }
        // The platform declines orders about VMs that are draining or no longer listed.
        const auto* vm_worker = vm.vm_worker;
        if (vm.listed_at != listed_at_ || (vm_worker && vm_worker->draining))
            continue;
        if (vm.report.state == vm_state::up && !vm.moving_to && !vm.order_under_way &&
            now >= vm.retry_at)
            due.push_back(&vm);
    }
    return due;
}

// Appends a due VM to `out`, and its limited runs to `runs`.
void vm_manager::describe_due_vm(const managed_vm& item, wave_situation& out,
                                 std::vector<std::vector<live_run*>>& runs, time_ms now) const {
    auto& vm = out.due.emplace_back();
    auto& limited_runs = runs.emplace_back();
    if (!item.vm_worker)
        return;
    vm.pool = item.vm_worker->pool;
    vm.runs = item.vm_worker->runs.size();
    vm.answers = item.vm_worker->contacted && !item.vm_worker->hold_unanswered;
    vm.kind = item.vm_worker->kind;
    vm.rack = item.vm_worker->rack;
    if (accepts_runs(*item.vm_worker, now))
        vm.room = item.vm_worker->capacity - item.vm_worker->kept_room;
    vm.reserved_for = item.reserved_since == 0 ? 0 : now - item.reserved_since;
    vm.reservable = now >= item.reservable_at;
    for (auto& [key, run] : item.vm_worker->runs) {
        vm.has_short_runs = vm.has_short_runs || !run.long_running;
        if (run.long_running)
            vm.room -= run.need;
        else
            vm.short_runs_left = std::max(vm.short_runs_left, expected_end(run, 0, now) - now);
        const auto* owner = run.long_running ? table_.find_job(run.task.job) : nullptr;
        if (!owner || owner->ended())
            continue;
        const auto& step = owner->spec.steps[run.task.step];
        if (step.max_unavailable == 0)
            continue;
        const auto step_of_run = key_of(run.task);
        const auto available = available_tasks_.find(step_of_run);
        const auto at_work = available == available_tasks_.end() ? 0U : available->second;
        out.steps.try_emplace(step_of_run,
                              limited_step{step.count - std::min(step.count, at_work),
                                           step.max_unavailable, step.required_label, step.gang,
                                           step.count, step.max_per_worker});
        vm.limited.push_back({step_of_run, run.need, is_available(run), run.stop_wanted,
                              task_rooms_.contains(run.task)});
        limited_runs.push_back(&run);
    }
}

// A reservation is recomputed in each plan; its age is that of the oldest of consecutive ones.
void vm_manager::update_upkeep_reservations(const wave& item, const wave_actions& actions,
                                            const std::vector<managed_vm*>& due, time_ms now) {
    std::set<std::size_t> reserved(actions.reserve.begin(), actions.reserve.end());
    for (const auto index : actions.give_up) {
        due[index]->reservable_at = now + reservation_pause;
        log_event(log_level::warning, "upkeep_reservation_given_up")
            .field("wave", item.order.number)
            .field("vm", due[index]->report.vm)
            .field("worker", due[index]->vm_worker->ref.id)
            .field("reserved_ms", now - due[index]->reserved_since);
    }
    for (std::size_t i = 0; i < due.size(); ++i) {
        if (!reserved.contains(i))
            due[i]->reserved_since = 0;
        else if (due[i]->reserved_since == 0)
            due[i]->reserved_since = now;
    }
    for (const auto index : reserved)
        due[index]->vm_worker->reserved = true;
}

void vm_manager::execute(const wave& item, const wave_actions& actions,
                         const std::vector<managed_vm*>& due,
                         const std::vector<std::vector<live_run*>>& runs, time_ms now,
                         std::vector<operation>& log) {
    for (const auto& one : actions.evacuations) {
        auto& run = *runs[one.vm][one.run];
        log_event(log_level::info, "run_evacuated")
            .field("job", run.task.job)
            .field("index", run.task.index)
            .field("worker", due[one.vm]->vm_worker->ref.id)
            .field("reason", "upkeep");
        want_stop(*due[one.vm]->vm_worker, run);
    }
    update_upkeep_reservations(item, actions, due, now);
    for (const auto index : actions.go_down) {
        auto& vm = *due[index];
        if (vm.vm_worker) {
            for (auto& [key, run] : vm.vm_worker->runs)
                want_stop(*vm.vm_worker, run); // they end with the VM
            vm.vm_worker->reserved = true;
        }
        vm.upkeep_wave = item.order.number;
        announce(vm, upkeep_order{vm.report.vm, item.order.number, fence_}, now, log);
    }
}

void vm_manager::plan_wave(const wave& item, worker_map& workers, time_ms now, time_ms wall,
                           std::vector<operation>& log) {
    wave_situation situation;
    const auto due = find_due_vms(item, situation.down, now, log);
    if (due.empty())
        return;
    situation.max_down = item.order.max_down;
    situation.shortage = shortage_;
    const auto end =
        item.accepted_at +
        static_cast<time_ms>(usable_wave_time * static_cast<double>(item.order.duration));
    situation.time_left = end - wall;
    situation.time_per_vm = settings_.upkeep_time + return_delay;
    std::vector<std::vector<live_run*>> runs;
    for (const auto* vm : due)
        describe_due_vm(*vm, situation, runs, now);
    std::vector<worker*> targets;
    for (auto& [id, one] : workers) {
        if (!situation.steps.empty() && !one.upkeep_due && accepts_runs(one, now))
            targets.push_back(&one);
    }
    situation.targets = find_wave_targets(targets, situation.steps, task_rooms_);
    const auto actions = workload::plan_wave(std::move(situation));
    for (const auto& one : actions.claims) {
        const auto& run = *runs[one.vm][one.run];
        auto& target = *targets[one.target];
        task_rooms_[run.task] = {run.run, due[one.vm]->vm_worker->ref.id, target.ref.id, run.need,
                                 now + task_room_time};
        target.kept_room += run.need;
    }
    for (const auto& [pool, cpu] : actions.lacking_cpu)
        lacking_for_waves_[pool] += cpu;
    execute(item, actions, due, runs, now, log);
}

// Tasks on VMs that the order of another node may take down do not count as available.
void vm_manager::discount_tasks_of_others(time_ms now) {
    std::set<const managed_vm*> held;
    for (const auto& [number, item] : table_.waves()) {
        for (const auto& [name, phase] : item.vms) {
            const auto known = vms_.find(name);
            if (phase != upkeep_phase::done && known != vms_.end() && known->second.vm_worker &&
                counts_as_available(*known->second.vm_worker) && held_by_other(name, now))
                held.insert(&known->second);
        }
    }
    for (const auto* vm : held) {
        for (const auto& [key, run] : vm->vm_worker->runs) {
            if (is_available(run))
                --available_tasks_[key_of(run.task)];
        }
    }
}

void vm_manager::plan_upkeep(worker_map& workers, time_ms now, time_ms wall,
                             std::vector<operation>& log) {
    // Load pattern: a wave over hundreds of VMs with several long-running tasks each. Counting the
    // tasks of a step for each of them would visit all runs as often.
    available_tasks_.clear();
    lacking_for_waves_.clear();
    bool counted = false;
    for (const auto& [number, item] : table_.waves()) {
        if (item.completed()) {
            waves_seen_at_.erase(number);
            earlier_waves_.erase(number);
            continue;
        }
        if (!std::exchange(counted, true)) {
            available_tasks_ = count_available_tasks(workers);
            discount_tasks_of_others(now);
        }
        plan_wave(item, workers, now, wall, log);
    }
}

void vm_manager::order_move(managed_vm& item, const std::string& pool, time_ms now,
                            std::vector<operation>& log) {
    if (item.vm_worker)
        item.vm_worker->reserved = true;
    item.moving_to = pool;
    item.idle_since = 0;
    announce(item, move_order{item.report.vm, pool, fence_}, now, log);
}

void vm_manager::log_pool_states(const std::map<std::string, pool_demand>& demand,
                                 const std::map<std::string, std::int64_t>& supply, time_ms now) {
    if (now - pools_logged_at_ < pool_log_interval)
        return;
    pools_logged_at_ = now;
    for (const auto& [pool, one] : demand) {
        const auto it = supply.find(pool);
        const auto idle = std::ranges::count_if(vms_, [&pool = pool](const auto& entry) {
            return entry.second.idle_since != 0 && entry.second.report.pool == pool;
        });
        log_event(log_level::info, "pool_state")
            .field("pool", pool)
            .field("wanted_cpu", one.wanted)
            .field("wanted_on_arrival_cpu", one.arrival)
            .field("supply_cpu", it == supply.end() ? std::int64_t{0} : it->second)
            .field("blocked_cpu", one.blocked)
            .field("arriving_cpu", arriving_cpu(pool))
            .field("idle_vms", std::int64_t{idle})
            .field("list_age_ms", now - listed_at_);
    }
}

void vm_manager::plan_moves(const std::map<std::string, pool_demand>& demand, time_ms now,
                            std::vector<operation>& log) {
    const auto standby = standby_pools();
    // Processor for short tasks of each pool, including VMs moving to it.
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
        const auto* vm_worker = item.vm_worker;
        if (vm_worker && (vm_worker->draining || vm_worker->hold_unanswered || vm_worker->reserved))
            continue;
        supply[item.report.pool] +=
            item.report.capacity.cpu - (vm_worker ? vm_worker->long_running_cpu : 0);
    }
    std::map<std::string, std::int64_t> shortages;
    // Part of them that a VM ordered now can still help.
    std::map<std::string, std::int64_t> lasting_shortages;
    std::map<std::string, std::int64_t> spare; // processor that may rest, by pool
    std::set<std::string> over;                // pools whose turn is over
    for (const auto& pool : table_.config().pools) {
        if (pool.standby)
            continue;
        const auto it = demand.find(pool.name);
        const auto needs = it == demand.end() ? pool_demand{} : it->second;
        auto& shortage = shortages[pool.name];
        shortage = std::max(min_wanted_cpu, needs.wanted) - supply[pool.name];
        spare[pool.name] = supply[pool.name] - std::max({min_wanted_cpu, needs.wanted, needs.soon});
        auto& lasting = lasting_shortages[pool.name];
        lasting = std::max(min_wanted_cpu, needs.arrival) - supply[pool.name];
        if (lasting <= needs.tolerance)
            lasting = std::min<std::int64_t>(lasting, 0);
        if (needs.turn_over)
            over.insert(pool.name);
        // Free capacity may be split into pieces that are too small.
        const auto lacking = lacking_for_waves_.find(pool.name);
        const auto blocked =
            needs.blocked + (lacking == lacking_for_waves_.end() ? 0 : lacking->second);
        if (blocked > 0) {
            shortage = std::max(shortage, blocked - arriving_cpu(pool.name));
            lasting = std::max(lasting, blocked - arriving_cpu(pool.name));
        }
    }
    log_pool_states(demand, supply, now);
    std::vector<managed_vm*> idle;
    for (auto& [name, item] : vms_) {
        // Room is kept for tasks that leave VMs of a wave; without it they would go to a VM that is
        // due, and leave again.
        const bool kept = item.vm_worker &&
                          (item.vm_worker->reserved || item.vm_worker->kept_room != resources{});
        if (item.idle_since != 0 && is_idle(item, now) && !kept)
            idle.push_back(&item);
    }
    // Standby VMs first, then those that have been idle longest.
    std::ranges::stable_sort(idle, [&](const auto* a, const auto* b) {
        return std::pair(!standby.contains(a->report.pool), a->idle_since) <
               std::pair(!standby.contains(b->report.pool), b->idle_since);
    });
    for (auto* item : idle) {
        const auto from = item->report.pool;
        const auto cpu = item->report.capacity.cpu;
        const bool in_standby = standby.contains(from);
        if (!in_standby && shortages[from] + cpu > 0)
            continue; // needed in its pool
        auto target = std::ranges::max_element(
            lasting_shortages, [](const auto& a, const auto& b) { return a.second < b.second; });
        std::string pool;
        if (target != lasting_shortages.end() && target->second > 0 && target->first != from)
            pool = target->first;
        else if (!in_standby && !standby.empty() && spare[from] >= cpu &&
                 now - item->idle_since >=
                     (over.contains(from) ? standby_delay_after_turn : standby_delay))
            pool = *standby.begin();
        if (pool.empty() || rejected_moves_.contains({item->report.vm, pool}))
            continue;
        if (!in_standby) {
            shortages[from] += cpu;
            lasting_shortages[from] += cpu;
            spare[from] -= cpu;
        }
        if (shortages.contains(pool)) {
            shortages[pool] -= cpu;
            lasting_shortages[pool] -= cpu;
        }
        order_move(*item, pool, now, log);
    }
    shortage_ = std::ranges::any_of(shortages, [](const auto& one) { return one.second > 0; });
}

void vm_manager::decide(worker_map& workers, const std::map<std::string, pool_demand>& demand,
                        time_ms now, time_ms wall, std::vector<operation>& log,
                        std::vector<order>& orders) {
    if (!settings_.orders_enabled || now - planned_at_ < plan_interval)
        return;
    planned_at_ = now;
    if (!list_under_way_ && now >= list_due_at_ && table_.config().version != 0) {
        list_under_way_ = true;
        orders.emplace_back(list_vms_order{now});
    }
    if (listed_at_ == 0)
        return;
    find_workers(workers);
    update_reservations(workers);
    keep_room(workers, now);
    update_idle_times(now);
    plan_upkeep(workers, now, wall, log);
    plan_moves(demand, now, log);
}

} // namespace clementine::workload
