#include "scheduler/state.h"

#include "base/invariant.h"

#include <algorithm>
#include <numeric>

namespace clementine::scheduler {

namespace {

void add_member(state& s, vm_id id, pool_id pool) {
    auto& vm = s.vms[id];
    auto& members = s.pools[pool].members;
    vm.pool = pool;
    vm.position = static_cast<std::uint32_t>(members.size());
    members.push_back(id);
}

void remove_member(state& s, vm_id id) {
    auto& vm = s.vms[id];
    auto& members = s.pools[vm.pool].members;
    CLEMENTINE_INVARIANT(vm.position < members.size() && members[vm.position] == id,
                         "vm_in_exactly_one_pool");
    const auto last = members.back();
    members[vm.position] = last;
    s.vms[last].position = vm.position;
    members.pop_back();
}

bool is_lent(const vm_record& vm) {
    return vm.pool != vm.home || vm.open;
}

// Applies one action. Each overload returns false if the action is stale.
class applier {
  public:
    applier(state& target, const decision& entry, std::uint64_t index)
        : s_(target), entry_(entry), index_(index) {}

    bool operator()(const begin_move& a) {
        if (!has_activity(a.vm, vm_activity::none) || a.to >= s_.pools.size())
            return false;
        auto& vm = s_.vms[a.vm];
        // Only VMs of the spare pool can be open, and a move within a pool must change `open`.
        const bool valid = a.serve || a.to == s_.spare;
        if (vm.pool != a.from || !valid || (a.from == a.to && a.serve != vm.open))
            return false;
        begin_activity(a.vm, vm_activity::draining);
        vm.move_to = a.to;
        vm.move_serve = a.serve;
        return true;
    }

    bool operator()(const confirm_empty& a) {
        if (!has_activity(a.vm, vm_activity::draining) || !s_.tasks[a.vm].empty())
            return false;
        set_activity(a.vm, vm_activity::empty_confirmed);
        return true;
    }

    bool operator()(const reassign_vm& a) {
        if (!has_activity(a.vm, vm_activity::empty_confirmed))
            return false;
        auto& vm = s_.vms[a.vm];
        if (vm.pool != a.from || vm.move_to != a.to)
            return false;
        const bool was_lent = is_lent(vm);
        remove_member(s_, a.vm);
        add_member(s_, a.vm, a.to);
        vm.open = !vm.move_serve;
        vm.move_to = no_pool;
        auto& lent = s_.pools[vm.home].lent;
        lent += (is_lent(vm) ? 1 : 0) - (was_lent ? 1 : 0);
        end_activity(a.vm);
        return true;
    }

    bool operator()(const cancel_move& a) {
        if (!has_activity(a.vm, vm_activity::draining))
            return false;
        s_.vms[a.vm].move_to = no_pool;
        end_activity(a.vm);
        return true;
    }

    bool operator()(const hold_buffer& a) {
        s_.buffer_vms = a.vms;
        return true;
    }

    bool operator()(const submit_job& a) {
        if (a.team >= s_.teams.size() || a.pool >= s_.pools.size())
            return false;
        job_record job;
        job.id = s_.next_job++;
        job.request = a;
        job.submitted_at = entry_.at;
        job.phase_since = entry_.at;
        enqueue(job);
        s_.jobs.emplace(job.id, std::move(job));
        return true;
    }

    bool operator()(const request_cancel& a) {
        auto* job = find(a.job);
        if (job == nullptr || job->phase == job_phase::ended || job->cancel_requested)
            return false;
        job->cancel_requested = true;
        record_change(*job);
        if (job->phase == job_phase::queued)
            end(*job, job_outcome::cancelled);
        return true;
    }

    bool operator()(const start_job& a) {
        auto* job = find(a.job);
        if (job == nullptr || job->phase != job_phase::queued || a.attempt != job->attempt + 1)
            return false;
        if (!has_activity(a.worker, vm_activity::none) || s_.vms[a.worker].quarantined)
            return false;
        CLEMENTINE_INVARIANT(job->request.kind == job_kind::idempotent || a.attempt == 1,
                             "at_most_once_job_starts_once");
        CLEMENTINE_INVARIANT(!job->cancel_requested, "cancelled_job_never_starts");
        dequeue(*job);
        job->phase = job_phase::started;
        job->attempt = a.attempt;
        job->worker = a.worker;
        job->lease_epoch = a.lease_epoch;
        job->start_index = index_;
        job->borrowed = a.borrowed;
        job->throttle_percent = 100;
        record_change(*job);
        s_.active.insert(job->id);
        s_.tasks[a.worker].push_back(job->id);
        return true;
    }

    bool operator()(const preempt_job& a) {
        auto* job = find_active(a.job, a.attempt);
        if (job == nullptr || job->phase != job_phase::started ||
            job->request.kind != job_kind::idempotent)
            return false;
        job->phase = job_phase::checkpointing;
        record_change(*job);
        return true;
    }

    bool operator()(const throttle_job& a) {
        auto* job = find_active(a.job, a.attempt);
        if (job == nullptr || a.percent < 1 || a.percent > 100)
            return false;
        job->throttle_percent = a.percent;
        job->reason = entry_.reason;
        return true;
    }

    bool operator()(const requeue_job& a) {
        auto* job = find_active(a.job, a.attempt);
        if (job == nullptr || job->request.kind != job_kind::idempotent)
            return false;
        remove_from_worker(*job);
        job->checkpoint = std::max(job->checkpoint, a.checkpoint);
        job->failures += a.failed ? 1 : 0;
        record_change(*job);
        if (job->cancel_requested) {
            end(*job, job_outcome::cancelled);
            return true;
        }
        job->phase = job_phase::queued;
        enqueue(*job);
        return true;
    }

    bool operator()(const end_job& a) {
        auto* job = find(a.job);
        if (job == nullptr || job->phase == job_phase::ended || job->attempt != a.attempt ||
            a.outcome == job_outcome::none)
            return false;
        record_change(*job);
        end(*job, a.outcome);
        return true;
    }

    bool operator()(const quarantine_worker& a) {
        if (a.worker >= s_.vms.size() || s_.vms[a.worker].quarantined)
            return false;
        s_.vms[a.worker].quarantined = true;
        s_.vms[a.worker].reason = entry_.reason;
        return true;
    }

    bool operator()(const probe_worker& a) {
        if (a.worker >= s_.vms.size() || !s_.vms[a.worker].quarantined ||
            a.probe != s_.vms[a.worker].probe + 1)
            return false;
        s_.vms[a.worker].probe = a.probe;
        return true;
    }

    bool operator()(const readmit_worker& a) {
        if (a.worker >= s_.vms.size() || !s_.vms[a.worker].quarantined)
            return false;
        s_.vms[a.worker].quarantined = false;
        s_.vms[a.worker].reason = entry_.reason;
        return true;
    }

    bool operator()(const begin_maintenance& a) {
        if (!has_activity(a.vm, vm_activity::none))
            return false;
        begin_activity(a.vm, vm_activity::maintenance_draining);
        return true;
    }

    bool operator()(const reboot_vm& a) {
        if (!has_activity(a.vm, vm_activity::maintenance_draining) || !s_.tasks[a.vm].empty())
            return false;
        // The index of this decision is the request number of the restart, so a VM restarts only
        // once.
        begin_activity(a.vm, vm_activity::rebooting);
        return true;
    }

    bool operator()(const finish_maintenance& a) {
        if (!has_activity(a.vm, vm_activity::rebooting) &&
            !has_activity(a.vm, vm_activity::overdue))
            return false;
        s_.vms[a.vm].maintained_at = entry_.at;
        end_activity(a.vm);
        return true;
    }

    bool operator()(const mark_overdue& a) {
        if (!has_activity(a.vm, vm_activity::rebooting))
            return false;
        set_activity(a.vm, vm_activity::overdue);
        return true;
    }

    bool operator()(const halt_maintenance& a) { return set_halted(a.pool, true); }

    bool operator()(const resume_maintenance& a) { return set_halted(a.pool, false); }

  private:
    bool has_activity(vm_id id, vm_activity activity) const {
        return id < s_.vms.size() && s_.vms[id].activity == activity;
    }

    void set_activity(vm_id id, vm_activity activity) {
        auto& vm = s_.vms[id];
        vm.activity = activity;
        vm.activity_since = entry_.at;
        vm.reason = entry_.reason;
    }

    // Ends the activity. The new assignment index makes the leader send an assign_vm.
    void end_activity(vm_id id) {
        set_activity(id, vm_activity::none);
        s_.vms[id].assignment_index = index_;
    }

    void begin_activity(vm_id id, vm_activity activity) {
        set_activity(id, activity);
        s_.vms[id].activity_index = index_;
    }

    bool set_halted(pool_id pool, bool value) {
        if (pool != no_pool && pool >= s_.pools.size())
            return false;
        bool& flag = pool == no_pool ? s_.halted : s_.pools[pool].halted;
        const bool changed = flag != value;
        flag = value;
        return changed;
    }

    job_record* find(job_id id) {
        const auto it = s_.jobs.find(id);
        return it == s_.jobs.end() ? nullptr : &it->second;
    }

    job_record* find_active(job_id id, std::uint32_t attempt) {
        auto* job = find(id);
        const bool active = job != nullptr && s_.active.contains(id) && job->attempt == attempt;
        return active ? job : nullptr;
    }

    void record_change(job_record& job) {
        job.phase_since = entry_.at;
        job.reason = entry_.reason;
    }

    void enqueue(const job_record& job) {
        if (job.request.urgent)
            s_.queued_urgent.insert(job.id);
        else
            s_.queued[job.request.team].insert(job.id);
    }

    void dequeue(const job_record& job) {
        s_.queued_urgent.erase(job.id);
        s_.queued[job.request.team].erase(job.id);
    }

    void remove_from_worker(const job_record& job) {
        if (s_.active.erase(job.id) > 0)
            std::erase(s_.tasks[job.worker], job.id);
    }

    void end(job_record& job, job_outcome outcome) {
        dequeue(job);
        remove_from_worker(job);
        job.phase = job_phase::ended;
        job.outcome = outcome;
        s_.ended.push_back(job.id);
        if (s_.ended.size() > max_ended_jobs) {
            s_.jobs.erase(s_.ended.front());
            s_.ended.pop_front();
        }
    }

    state& s_;
    const decision& entry_;
    std::uint64_t index_;
};

void add_pools(state& s, const manifest::manifest& value) {
    for (const auto& item : value.pools) {
        pool_record pool;
        pool.name = item.name;
        pool.size = static_cast<std::uint32_t>(item.size);
        pool.spare = item.spare;
        pool.max_lent = static_cast<std::uint32_t>(item.max_lent);
        for (const auto& service : value.services) {
            if (service.pool == item.name)
                pool.min_available =
                    std::max(pool.min_available, static_cast<std::uint32_t>(service.min_available));
        }
        if (item.spare)
            s.spare = static_cast<pool_id>(s.pools.size());
        s.pools.push_back(std::move(pool));
    }
}

void add_vms(state& s, const manifest::manifest& value) {
    const auto per_rack = static_cast<std::uint32_t>(value.vms_per_rack);
    for (std::uint32_t i = 0; i < static_cast<std::uint32_t>(value.vms); ++i) {
        vm_record vm;
        vm.name = "vm-" + std::to_string(i + 1);
        vm.rack = i / per_rack;
        vm.zone = static_cast<std::uint16_t>(vm.rack % s.zones.size());
        vm.capacity = {value.cores_per_vm * 1000, value.memory_mb_per_vm,
                       value.accelerators_per_vm};
        s.vms.push_back(std::move(vm));
    }
}

// Assigns VMs to pools in an order that takes the n-th VM of every rack before the n+1-th ones.
// Each pool gets a contiguous range of that order, which spreads it over racks and zones.
void distribute_vms(state& s, std::uint32_t per_rack) {
    std::vector<vm_id> order(s.vms.size());
    std::iota(order.begin(), order.end(), vm_id{0});
    std::ranges::stable_sort(order, {}, [per_rack](vm_id id) { return id % per_rack; });
    std::size_t next = 0;
    const auto assign = [&](pool_id pool, std::size_t count) {
        for (; count > 0 && next < order.size(); --count, ++next) {
            s.vms[order[next]].home = pool;
            add_member(s, order[next], pool);
        }
    };
    for (std::size_t pool = 0; pool < s.pools.size(); ++pool)
        assign(static_cast<pool_id>(pool), s.pools[pool].size);
    // VMs beyond the pool sizes belong to the spare pool.
    assign(s.spare, order.size());
}

} // namespace

const job_record* state::find_job(job_id id) const {
    const auto it = jobs.find(id);
    return it == jobs.end() ? nullptr : &it->second;
}

std::uint32_t state::open_vms() const {
    const auto is_open = [this](vm_id id) { return vms[id].open; };
    return static_cast<std::uint32_t>(std::ranges::count_if(pools[spare].members, is_open));
}

std::size_t state::bytes() const {
    // Approximate overhead of a node in hash and tree containers besides its value.
    constexpr std::size_t node_overhead_bytes = 48;
    std::size_t total = sizeof(state);
    for (const auto& vm : vms)
        total += sizeof(vm) + vm.name.capacity() + vm.reason.capacity() + sizeof(vm_id);
    for (const auto& pool : pools)
        total += sizeof(pool) + pool.name.capacity();
    for (const auto& [id, job] : jobs)
        total += sizeof(job) + job.reason.capacity() + node_overhead_bytes;
    for (const auto& list : tasks)
        total += sizeof(list) + list.capacity() * sizeof(job_id);
    for (const auto& list : queued)
        total += list.size() * node_overhead_bytes;
    return total + (queued_urgent.size() + active.size()) * node_overhead_bytes +
           ended.size() * sizeof(job_id);
}

state make_state(const manifest::manifest& value) {
    state s;
    s.zones = value.availability_zones;
    s.weights = value.weights;
    s.maintenance_settings = value.maintenance_settings;
    for (const auto& item : value.teams)
        s.teams.push_back({item.name, item.quota_cores * 1000, item.may_borrow});
    add_pools(s, value);
    add_vms(s, value);
    s.queued.resize(s.teams.size());
    s.tasks.resize(s.vms.size());
    CLEMENTINE_INVARIANT(s.spare != no_pool, "one_spare_pool");
    distribute_vms(s, static_cast<std::uint32_t>(value.vms_per_rack));
    return s;
}

bool apply(state& target, const decision& entry, std::uint64_t index) {
    return std::visit(applier(target, entry, index), entry.what);
}

} // namespace clementine::scheduler
