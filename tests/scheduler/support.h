// Manifests and demand models shared by the scheduler tests.
#pragma once

#include "support/scheduler_run.h"

#include <string>

namespace clementine::scheduler {

// Loads the manifest examples/NAME.ini.
manifest::manifest example_manifest(const std::string& name);

// 40 VMs in three service pools and a spare pool, with three teams.
manifest::manifest small_fleet();

// Demand in slots with a surge that passes from pool to pool, as in design section 1.5.
struct rotating_surges {
    double mean_slots = 20;
    time_ms length = 10'000;
    std::size_t pools = 5;

    double demand_at(std::size_t pool, time_ms now) const;
};

// Splits demand into busy and queued slots by the number of serving VMs on the fake platform.
std::vector<pool_demand> report_demand(scheduler_run& run, const rotating_surges& surges,
                                       time_ms now);

} // namespace clementine::scheduler
