#include "scheduler/support.h"

#include <algorithm>
#include <stdexcept>

namespace clementine::scheduler {

namespace {

constexpr std::string_view small_fleet_text = R"([fleet]
availability-zones = az-1, az-2, az-3, az-4
vms = 40
[pool web]
size = 10
max-lent = 6
[pool paths]
size = 10
max-lent = 6
[pool press]
size = 8
max-lent = 4
[pool spare]
size = 12
spare = yes
max-lent = 8
[service web]
hosts = web.example
pool = web
min-available = 2
[service paths]
hosts = paths.example
pool = paths
min-available = 2
[service press]
hosts = press.example
pool = press
min-available = 5
[service tools]
hosts = tools.example
pool = spare
min-available = 2
[team red]
quota-cores = 80
[team blue]
quota-cores = 80
[team green]
quota-cores = 80
may-borrow = no
)";

manifest::manifest parse_or_throw(std::string_view text) {
    auto result = manifest::parse_manifest(text);
    if (!result.ok())
        throw std::runtime_error(format_fault("manifest", result.faults.front()));
    return std::move(result.value);
}

} // namespace

manifest::manifest example_manifest(const std::string& name) {
    const auto text = read_file(std::string(EXAMPLES_DIR) + "/" + name + ".ini");
    if (!text)
        throw std::runtime_error("cannot read example " + name);
    return parse_or_throw(*text);
}

manifest::manifest small_fleet() {
    return parse_or_throw(small_fleet_text);
}

double rotating_surges::demand_at(std::size_t pool, time_ms now) const {
    const auto surging_pool = static_cast<std::size_t>(now / length) % pools;
    return surging_pool == pool ? 5 * mean_slots : mean_slots / 20;
}

std::vector<pool_demand> report_demand(scheduler_run& run, const rotating_surges& surges,
                                       time_ms now) {
    std::vector<pool_demand> out;
    for (std::size_t i = 0; i < surges.pools; ++i) {
        const auto pool = static_cast<pool_id>(i);
        const double slots = run.serving(pool) * static_cast<double>(slots_per_vm);
        const double demand = surges.demand_at(i, now);
        out.push_back({pool, std::min(demand, slots), std::max(0.0, demand - slots)});
    }
    return out;
}

} // namespace clementine::scheduler
