#include "scheduler/reconfigure.h"

#include "base/invariant.h"

#include <algorithm>
#include <deque>

namespace clementine::scheduler {

namespace {

template <class Record>
Record& find_or_add(std::vector<Record>& records, const std::string& name) {
    const auto it = std::ranges::find(records, name, &Record::name);
    if (it != records.end())
        return *it;
    records.emplace_back();
    records.back().name = name;
    return records.back();
}

std::uint32_t availability_budget(const manifest::manifest& value, const std::string& pool) {
    std::int64_t budget = 0;
    for (const auto& service : value.services) {
        if (service.pool == pool)
            budget = std::max(budget, service.min_available);
    }
    return static_cast<std::uint32_t>(budget);
}

void update_pools(state& s, const manifest::manifest& next) {
    for (auto& pool : s.pools) {
        if (next.find_pool(pool.name) != nullptr)
            continue;
        // Allows all VMs to leave a pool that is no longer in the manifest.
        pool.size = 0;
        pool.min_available = 0;
        pool.max_lent = static_cast<std::uint32_t>(s.vms.size());
    }
    for (const auto& item : next.pools) {
        auto& pool = find_or_add(s.pools, item.name);
        pool.size = static_cast<std::uint32_t>(item.size);
        pool.spare = item.spare;
        pool.max_lent = static_cast<std::uint32_t>(item.max_lent);
        pool.min_available = availability_budget(next, item.name);
    }
}

void update_teams(state& s, const manifest::manifest& next) {
    for (auto& team : s.teams) {
        team.quota_millicores = 0;
        team.may_borrow = false;
    }
    for (const auto& item : next.teams) {
        auto& team = find_or_add(s.teams, item.name);
        team.quota_millicores = item.quota_cores * 1000;
        team.may_borrow = item.may_borrow;
    }
    s.queued.resize(s.teams.size());
}

void add_zones(state& s, const manifest::manifest& next) {
    for (const auto& zone : next.availability_zones) {
        if (std::ranges::find(s.zones, zone) == s.zones.end())
            s.zones.push_back(zone);
    }
}

// New VMs start in the spare pool. The pool planner moves them from there.
void add_vms(state& s, const manifest::manifest& next, std::uint64_t index, time_ms at) {
    const auto per_rack = static_cast<std::uint32_t>(next.vms_per_rack);
    auto& spare = s.pools[s.spare];
    for (auto i = static_cast<vm_id>(s.vms.size()); i < static_cast<vm_id>(next.vms); ++i) {
        vm_record vm;
        vm.name = "vm-" + std::to_string(i + 1);
        vm.rack = i / per_rack;
        vm.zone = static_cast<std::uint16_t>(vm.rack % s.zones.size());
        vm.home = s.spare;
        vm.pool = s.spare;
        vm.assignment_index = index;
        vm.activity_since = at;
        vm.position = static_cast<std::uint32_t>(spare.members.size());
        spare.members.push_back(i);
        s.vms.push_back(std::move(vm));
    }
    s.tasks.resize(s.vms.size());
    for (auto& vm : s.vms)
        vm.capacity = {next.cores_per_vm * 1000, next.memory_mb_per_vm, next.accelerators_per_vm};
}

// Assigns home pools so that each pool is the home of as many VMs as its size. The remaining VMs
// have the spare pool as their home.
void assign_homes(state& s) {
    std::vector<std::uint32_t> missing(s.pools.size());
    for (pool_id pool = 0; pool < s.pools.size(); ++pool)
        missing[pool] = pool == s.spare ? 0 : s.pools[pool].size;
    std::vector<vm_id> unassigned_vms;
    for (vm_id id = 0; id < s.vms.size(); ++id) {
        auto& unassigned = missing[s.vms[id].home];
        if (unassigned > 0)
            --unassigned;
        else
            unassigned_vms.push_back(id);
    }
    // VMs that are already in a pool with missing homes come first, which saves moves.
    std::stable_partition(unassigned_vms.begin(), unassigned_vms.end(),
                          [&](vm_id id) { return missing[s.vms[id].pool] > 0; });
    for (vm_id id : unassigned_vms) {
        const auto current_pool = s.vms[id].pool;
        auto home = s.spare;
        if (missing[current_pool] > 0)
            home = current_pool;
        else if (const auto it = std::ranges::find_if(missing, [](auto n) { return n > 0; });
                 it != missing.end())
            home = static_cast<pool_id>(it - missing.begin());
        if (missing[home] > 0)
            --missing[home];
        s.vms[id].home = home;
    }
}

void recount_lent(state& s) {
    for (auto& pool : s.pools)
        pool.lent = 0;
    for (const auto& vm : s.vms)
        s.pools[vm.home].lent += vm.pool != vm.home || vm.open ? 1 : 0;
}

template <class Record>
std::optional<std::size_t> position_of(const std::vector<Record>& records,
                                       const std::string& name) {
    const auto it = std::ranges::find(records, name, &Record::name);
    if (it == records.end())
        return std::nullopt;
    return static_cast<std::size_t>(it - records.begin());
}

// Submits jobs that are new in the manifest and cancels those removed from it. A job whose
// description changed keeps the old one, because it may have run already.
void update_jobs(state& s, const manifest::manifest& next, std::uint64_t index, time_ms at) {
    for (auto it = s.manifest_jobs.begin(); it != s.manifest_jobs.end();) {
        if (std::ranges::find(next.jobs, it->first, &manifest::job::name) != next.jobs.end()) {
            ++it;
            continue;
        }
        apply(s, {request_cancel{it->second}, "no longer in the manifest", at}, index);
        it = s.manifest_jobs.erase(it);
    }
    for (const auto& item : next.jobs) {
        const auto team = position_of(s.teams, item.team);
        const auto pool = position_of(s.pools, item.pool);
        if (s.manifest_jobs.contains(item.name) || !team || !pool)
            continue;
        submit_job submit;
        submit.team = static_cast<team_id>(*team);
        submit.pool = static_cast<pool_id>(*pool);
        submit.kind = item.kind;
        submit.urgent = item.urgent;
        submit.declared = {item.cores * 1000, item.memory_mb, item.accelerators};
        submit.run_time = item.run_time;
        const auto id = s.next_job;
        if (apply(s, {submit, "in the manifest", at}, index))
            s.manifest_jobs.emplace(item.name, id);
    }
}

} // namespace

std::vector<std::string> unsupported_changes(const state& current, const manifest::manifest& next) {
    std::vector<std::string> out;
    if (static_cast<std::size_t>(next.vms) < current.vms.size())
        out.push_back("vms: a running fleet cannot shrink; it has " +
                      std::to_string(current.vms.size()));
    const auto* spare = next.find_pool(current.pools[current.spare].name);
    if (spare == nullptr || !spare->spare)
        out.push_back("spare: the spare pool of a running fleet is \"" +
                      current.pools[current.spare].name + "\" and cannot change");
    if (current.vms.size() > 1) {
        const auto rack_of_last = static_cast<std::int64_t>(current.vms.size() - 1);
        if (rack_of_last / next.vms_per_rack != current.vms.back().rack)
            out.emplace_back("vms-per-rack: the racks of a running fleet cannot change");
    }
    return out;
}

void reconfigure(state& target, const manifest::manifest& next, std::uint64_t index, time_ms at) {
    target.weights = next.weights;
    target.maintenance_settings = next.maintenance_settings;
    add_zones(target, next);
    update_teams(target, next);
    update_pools(target, next);
    add_vms(target, next, index, at);
    assign_homes(target);
    recount_lent(target);
    update_jobs(target, next, index, at);
}

} // namespace clementine::scheduler
