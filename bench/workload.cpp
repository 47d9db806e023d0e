// Decisions on jobs at the size of the grown deployments: two queues surge in turn over 350
// VMs, with and without VM orders. Figures are in virtual time, but for the cost of a
// decision round, which is printed and not bounded.
#include "base/hash.h"
#include "workload/fake_fleet.h"

#include <algorithm>
#include <cmath>
#include <iostream>
#include <numbers>

namespace {

using namespace clementine;
using namespace clementine::workload;

constexpr int workers_each = 150;
constexpr int resting = 50;
constexpr time_ms day{24'000};
constexpr time_ms turn{8'000};
constexpr std::uint32_t width = 8;
// Between two jobs at the height of a surge, in ms.
constexpr double shortest_gap = 13.3;

struct figures {
    int offered = 0;
    int served = 0;
    int on_time = 0;
    int moves = 0;
    std::size_t violations = 0;
    double round_us = 0;
};

// Up to 75 jobs a second in the queue whose turn it is, rising and falling within the turn, and a
// twentieth of that in the other.
figures play(bool vm_orders) {
    fleet_options options;
    options.pools = {{"a", workers_each}, {"b", workers_each}};
    options.standby_vms = resting;
    options.vm_orders = vm_orders;
    fake_fleet fleet(options);
    fleet.run_for(8'000);
    job_spec spec;
    auto step = make_step(width, 5'000, 800);
    spec.steps = {step, step};
    spec.steps[1].depends_on = {0};
    figures out;
    std::vector<std::pair<std::string, time_ms>> jobs;
    const auto start = fleet.now();
    for (int i = 0; fleet.now() - start < day; ++i) {
        const bool first = ((fleet.now() - start) / turn) % 2 == 0;
        const auto* queue = (i % 20 == 0) != first ? "qa" : "qb";
        const auto id = std::to_string(1'000'000'000 + i);
        ++out.offered;
        if (fleet.submit(queue, id, spec))
            jobs.emplace_back(id, fleet.now());
        const auto phase = static_cast<double>((fleet.now() - start) % turn) / turn;
        const auto share = std::max(0.05, std::sin(std::numbers::pi * phase));
        fleet.run_for(std::clamp<time_ms>(std::llround(shortest_gap / share), 5, 100));
    }
    fleet.run_for(6'000);
    for (const auto& [id, accepted] : jobs) {
        const auto* item = fleet.table().find_job(id);
        if (!item || item->state != job_state::completed)
            continue;
        ++out.served;
        const auto objective = 600 + static_cast<time_ms>(1.6 * 2 * 800);
        out.on_time += item->ended_at - accepted <= objective ? 1 : 0;
    }
    out.moves = fleet.moves();
    out.violations = fleet.violations().size();
    out.round_us = fleet.mean_round_us();
    return out;
}

void print(const char* name, const figures& value) {
    std::cout << name << ": offered " << value.offered << ", served " << value.served
              << ", on time " << value.on_time << ", moves " << value.moves << ", violations "
              << value.violations << '\n';
}

} // namespace

int main() {
    const auto moving = play(true);
    const auto fixed = play(false);
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
