#include "control/fleet_views.h"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>

#include <algorithm>
#include <charconv>
#include <map>

namespace clementine::control {

namespace json = boost::json;

namespace {

std::string_view pool_name(const scheduler::state& fleet, scheduler::pool_id pool) {
    return pool < fleet.pools.size() ? std::string_view(fleet.pools[pool].name)
                                     : std::string_view();
}

json::object render_vm(const scheduler::state& fleet, const scheduler::vm_record& vm) {
    return {{"id", vm.name},
            {"pool", pool_name(fleet, vm.pool)},
            {"home", pool_name(fleet, vm.home)},
            {"open", vm.open},
            {"activity", to_name(vm.activity)},
            {"move_to", pool_name(fleet, vm.move_to)},
            {"rack", vm.rack},
            {"availability_zone", fleet.zones[vm.zone]},
            {"quarantined", vm.quarantined},
            {"maintained_at_ms", vm.maintained_at},
            {"reason", vm.reason}};
}

template <class Record>
std::optional<std::size_t> position_of(const std::vector<Record>& records, std::string_view name) {
    const auto it = std::ranges::find(records, name, &Record::name);
    if (it == records.end())
        return std::nullopt;
    return static_cast<std::size_t>(it - records.begin());
}

} // namespace

json::array render_vms(const scheduler::state& fleet) {
    json::array out;
    for (const auto& vm : fleet.vms)
        out.push_back(render_vm(fleet, vm));
    return out;
}

json::array render_pools(const scheduler::state& fleet) {
    json::array out;
    for (const auto& pool : fleet.pools) {
        out.push_back(json::object{{"id", pool.name},
                                   {"size", pool.size},
                                   {"members", pool.members.size()},
                                   {"spare", pool.spare},
                                   {"lent", pool.lent},
                                   {"max_lent", pool.max_lent},
                                   {"min_available", pool.min_available},
                                   {"maintenance_halted", pool.halted}});
    }
    return out;
}

json::array render_jobs(const scheduler::state& fleet) {
    std::map<scheduler::job_id, std::string_view> names;
    for (const auto& [name, id] : fleet.manifest_jobs)
        names[id] = name;
    // Sorted by id, because the hash table has no order.
    std::map<scheduler::job_id, const scheduler::job_record*> sorted;
    for (const auto& [id, job] : fleet.jobs)
        sorted[id] = &job;
    json::array out;
    for (const auto& [id, job] : sorted) {
        const bool placed = job->worker < fleet.vms.size();
        out.push_back(
            json::object{{"id", std::to_string(id)},
                         {"name", names[id]},
                         {"team", fleet.teams[job->request.team].name},
                         {"pool", pool_name(fleet, job->request.pool)},
                         {"kind", to_name(job->request.kind)},
                         {"urgent", job->request.urgent},
                         {"phase", to_name(job->phase)},
                         {"outcome", to_name(job->outcome)},
                         {"attempt", job->attempt},
                         {"worker", placed ? std::string_view(fleet.vms[job->worker].name) : ""},
                         {"reason", job->reason}});
    }
    return out;
}

json::value render_waves(const scheduler::state& fleet) {
    json::array vms;
    for (const auto& vm : fleet.vms) {
        using scheduler::vm_activity;
        if (vm.activity == vm_activity::maintenance_draining ||
            vm.activity == vm_activity::rebooting || vm.activity == vm_activity::overdue)
            vms.push_back(render_vm(fleet, vm));
    }
    json::array halted;
    for (const auto& pool : fleet.pools) {
        if (pool.halted)
            halted.emplace_back(pool.name);
    }
    return json::object{{"enabled", fleet.maintenance_settings.enabled},
                        {"halted", fleet.halted},
                        {"halted_pools", std::move(halted)},
                        {"vms", std::move(vms)}};
}

std::optional<scheduler::vm_id> find_vm(const scheduler::state& fleet, std::string_view name) {
    const auto position = position_of(fleet.vms, name);
    return position ? std::optional(static_cast<scheduler::vm_id>(*position)) : std::nullopt;
}

std::optional<scheduler::pool_id> find_pool(const scheduler::state& fleet, std::string_view name) {
    const auto position = position_of(fleet.pools, name);
    return position ? std::optional(static_cast<scheduler::pool_id>(*position)) : std::nullopt;
}

std::optional<scheduler::job_id> find_job(const scheduler::state& fleet, std::string_view name) {
    const auto declared = fleet.manifest_jobs.find(std::string(name));
    if (declared != fleet.manifest_jobs.end())
        return declared->second;
    scheduler::job_id id = 0;
    const auto [stop, error] = std::from_chars(name.data(), name.data() + name.size(), id);
    if (error != std::errc{} || stop != name.data() + name.size() || fleet.find_job(id) == nullptr)
        return std::nullopt;
    return id;
}

} // namespace clementine::control
