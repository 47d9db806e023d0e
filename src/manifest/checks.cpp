#include "manifest/checks.h"

#include <algorithm>
#include <map>

namespace clementine::manifest {

namespace {

// Line of a key, or of its section if the key is absent, or 0 if the section is absent.
std::size_t line_of(const ini_document& document, std::string_view kind, std::string_view name,
                    std::string_view key) {
    for (const auto& section : document.sections) {
        if (section.kind != kind || section.name != name)
            continue;
        const auto* value = section.find(key);
        return value == nullptr ? section.line : value->line;
    }
    return 0;
}

// Joins the names of all items as "a, b, c" for messages that list the allowed values.
template <class T>
std::string names_in(const std::vector<T>& items) {
    std::string out;
    for (const auto& item : items)
        out += (out.empty() ? "" : ", ") + item.name;
    return out.empty() ? "none, no such section exists" : out;
}

// Adds faults and warnings with the line of the key they refer to.
class reporter {
  public:
    explicit reporter(const ini_document& document) : document_(document) {}

    void add(std::vector<ini_fault>& list, std::string_view kind, std::string_view name,
             std::string_view key, std::string reason) const {
        list.push_back({line_of(document_, kind, name, key), std::string(key), std::move(reason)});
    }

  private:
    const ini_document& document_;
};

template <class T>
bool has_name(const std::vector<T>& items, const std::string& name) {
    return std::ranges::find(items, name, &T::name) != items.end();
}

void check_hosts(const reporter& report, parse_result& result) {
    std::map<std::string, std::string> service_by_host;
    for (const auto& service : result.value.services) {
        for (const auto& host : service.hosts) {
            const auto [it, inserted] = service_by_host.emplace(host, service.name);
            if (!inserted && it->second != service.name)
                report.add(result.faults, "service", service.name, "hosts",
                           "host \"" + host + "\" already belongs to service \"" + it->second +
                               "\"");
        }
    }
}

void check_budgets(const reporter& report, parse_result& result) {
    for (const auto& service : result.value.services) {
        const auto* pool = result.value.find_pool(service.pool);
        if (pool == nullptr)
            continue;
        if (service.min_available > pool->size)
            report.add(result.faults, "service", service.name, "min-available",
                       "availability budget exceeds pool \"" + pool->name +
                           "\"; allowed values: 1 to " + std::to_string(pool->size));
        else if (service.min_available + 1 >= pool->size)
            report.add(result.warnings, "service", service.name, "min-available",
                       "pool \"" + pool->name + "\" of " + std::to_string(pool->size) +
                           " leaves no VM for maintenance besides one expected loss; maintenance "
                           "of its VMs waits");
    }
}

void check_spare(const reporter& report, parse_result& result) {
    std::string spare_name;
    for (const auto& pool : result.value.pools) {
        if (pool.max_lent > pool.size)
            report.add(result.faults, "pool", pool.name, "max-lent",
                       "more than the pool holds; allowed values: 0 to " +
                           std::to_string(pool.size));
        if (!pool.spare)
            continue;
        if (spare_name.empty())
            spare_name = pool.name;
        else
            report.add(result.faults, "pool", pool.name, "spare",
                       "second spare pool; \"" + spare_name + "\" is the spare already");
    }
    if (spare_name.empty())
        result.faults.push_back({0, "spare", "no spare pool; exactly one pool needs spare = yes"});
}

void check_totals(const reporter& report, parse_result& result) {
    const auto& value = result.value;
    std::int64_t sum = 0;
    for (const auto& pool : value.pools) {
        const bool within_limit = sum <= value.vms;
        sum += pool.size;
        if (within_limit && sum > value.vms)
            report.add(result.faults, "pool", pool.name, "size",
                       "pools hold more VMs than the fleet; allowed values: 0 to " +
                           std::to_string(value.vms - (sum - pool.size)));
    }
    if (sum < value.vms)
        report.add(result.warnings, "fleet", "", "vms",
                   std::to_string(value.vms - sum) + " VMs belong to no pool");
    std::int64_t quota = 0;
    const auto capacity = value.vms * value.cores_per_vm;
    for (const auto& team : value.teams) {
        const bool within_limit = quota <= capacity;
        quota += team.quota_cores;
        if (within_limit && quota > capacity)
            report.add(result.faults, "team", team.name, "quota-cores",
                       "quotas exceed the capacity of the fleet; allowed values: 0 to " +
                           std::to_string(capacity - (quota - team.quota_cores)));
    }
}

void check_jobs(const reporter& report, parse_result& result) {
    const auto& value = result.value;
    const auto warn = [&](const job& job, std::string_view key, std::int64_t limit) {
        report.add(result.warnings, "job", job.name, key,
                   "bigger than any worker (" + std::to_string(limit) + "); the job cannot run");
    };
    for (const auto& job : value.jobs) {
        if (job.cores > value.cores_per_vm)
            warn(job, "cores", value.cores_per_vm);
        if (job.memory_mb > value.memory_mb_per_vm)
            warn(job, "memory-mb", value.memory_mb_per_vm);
        if (job.accelerators > value.accelerators_per_vm)
            warn(job, "accelerators", value.accelerators_per_vm);
    }
}

} // namespace

void check_references(const ini_document& document, parse_result& result) {
    const reporter report(document);
    const auto& value = result.value;
    const auto check_pool = [&](std::string_view kind, const auto& item) {
        if (!item.pool.empty() && !has_name(value.pools, item.pool))
            report.add(result.faults, kind, item.name, "pool",
                       "unknown pool \"" + item.pool +
                           "\"; allowed values: " + names_in(value.pools));
    };
    for (const auto& service : value.services)
        check_pool("service", service);
    for (const auto& job : value.jobs) {
        check_pool("job", job);
        if (!job.team.empty() && !has_name(value.teams, job.team))
            report.add(result.faults, "job", job.name, "team",
                       "unknown team \"" + job.team +
                           "\"; allowed values: " + names_in(value.teams));
    }
    check_hosts(report, result);
}

void check_sizes(const ini_document& document, parse_result& result) {
    const reporter report(document);
    check_budgets(report, result);
    check_spare(report, result);
    check_totals(report, result);
    check_jobs(report, result);
}

} // namespace clementine::manifest
