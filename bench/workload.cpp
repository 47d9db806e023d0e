// Job decisions at the size of the large deployments: two queues surge in turn over 350 VMs, with
// and without VM orders. All figures are in virtual time except the cost of a decision round, which
// is printed but has no bound.
#include "base/hash.h"
#include "workload/fake_fleet.h"

#include <algorithm>
#include <cmath>
#include <iostream>
#include <numbers>

namespace {

using namespace clementine;
using namespace clementine::workload;

constexpr int workers_per_pool = 150;
constexpr int standby_vm_count = 50;
constexpr time_ms load_time{24'000};
constexpr time_ms surge_period{8'000};
constexpr std::uint32_t tasks_per_step = 8;
// Between two jobs at the peak of a surge.
constexpr double min_submit_gap_ms = 13.3;

struct surge_results {
    int offered = 0;
    int served = 0;
    int on_time = 0;
    int moves = 0;
    std::size_t violations = 0;
    double round_us = 0;
};

// Runs alternating surges: up to 75 jobs a second in one queue, rising and falling within its
// period, and a twentieth of that in the other.
surge_results run_surges(bool vm_orders) {
    fleet_options options;
    options.pools = {{"a", workers_per_pool}, {"b", workers_per_pool}};
    options.standby_vms = standby_vm_count;
    options.vm_orders = vm_orders;
    fake_fleet fleet(options);
    fleet.run_for(8'000);
    job_spec spec;
    auto step = make_step(tasks_per_step, 5'000, 800);
    spec.steps = {step, step};
    spec.steps[1].depends_on = {0};
    surge_results out;
    std::vector<std::pair<std::string, time_ms>> jobs;
    const auto start = fleet.now();
    for (int i = 0; fleet.now() - start < load_time; ++i) {
        const bool first = ((fleet.now() - start) / surge_period) % 2 == 0;
        const auto* queue = (i % 20 == 0) != first ? "qa" : "qb";
        const auto id = std::to_string(1'000'000'000 + i);
        ++out.offered;
        if (fleet.submit(queue, id, spec))
            jobs.emplace_back(id, fleet.now());
        const auto phase = static_cast<double>((fleet.now() - start) % surge_period) / surge_period;
        const auto relative_rate = std::max(0.05, std::sin(std::numbers::pi * phase));
        fleet.run_for(std::clamp<time_ms>(std::llround(min_submit_gap_ms / relative_rate), 5, 100));
    }
    fleet.run_for(6'000);
    for (const auto& [id, accepted] : jobs) {
        const auto* item = fleet.table().find_job(id);
        if (!item || item->state != job_state::completed)
            continue;
        ++out.served;
        const auto latency_objective = 600 + static_cast<time_ms>(1.6 * 2 * 800);
        out.on_time += item->ended_at - accepted <= latency_objective ? 1 : 0;
    }
    out.moves = fleet.moves();
    out.violations = fleet.violations().size();
    out.round_us = fleet.mean_round_us();
    return out;
}

void print(const char* name, const surge_results& value) {
    std::cout << name << ": offered " << value.offered << ", served " << value.served
              << ", on time " << value.on_time << ", moves " << value.moves << ", violations "
              << value.violations << '\n';
}

} // namespace

int main() {
    const auto moving = run_surges(true);
    const auto fixed = run_surges(false);
    print("moving pools", moving);
    print("fixed pools", fixed);
    std::cout << "signature=" << std::hex
              << hash64(std::to_string(moving.served) + "-" + std::to_string(moving.on_time) + "-" +
                        std::to_string(fixed.on_time))
              << std::dec << '\n';
    std::cerr << "decision round at 350 VMs: " << moving.round_us << " us\n";
    const bool ok =
        moving.violations == 0 && fixed.violations == 0 && moving.on_time > fixed.on_time;
    if (!ok)
        std::cout << "workload: past its bound\n";
    return ok ? 0 : 1;
}
