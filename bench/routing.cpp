// Measures the request path in virtual time at the size of the current deployments: 9 entryds and 5
// services, each with 10 backend servers of 8 slots.
#include "base/log.h"
#include "support/routing_simulation.h"

#include <algorithm>
#include <cstdio>
#include <string>
#include <vector>

namespace {

using namespace clementine;
using clementine::testing::routing_simulation;
using clementine::testing::simulation_options;

// The 80 slots of a pool serve 800 requests of 100 ms per second; 5 times the mean exceeds that.
constexpr double mean_requests_per_second = 200;
constexpr double surge_factor = 5;
constexpr double idle_factor = 0.05;
constexpr time_ms steady_begin{10'000};
constexpr time_ms surge_begin{30'000};
constexpr time_ms surge_end{38'000};
constexpr time_ms rotation_begin{50'000};
constexpr time_ms rotation_step{10'000};
constexpr time_ms surge_length{5'000};
constexpr time_ms faults_begin{100'000};
constexpr time_ms run_end{130'000};

// Target for the control traffic of one entry VM, sent and received.
constexpr double max_bytes_per_second = 6'000;
// A surge of one service must not affect the others: their queue waits may grow by at most one poll
// interval of 50 ms.
constexpr double max_added_wait_ms = 50;

bool all_within_bounds = true;

void check_bound(const char* name, double value, double bound) {
    const bool ok = value <= bound;
    std::printf("bench_routing: %s=%.1f bound=%.1f%s\n", name, value, bound,
                ok ? "" : " PAST THE BOUND");
    all_within_bounds = all_within_bounds && ok;
}

void report(const char* name, double value) {
    std::printf("bench_routing: %s=%.1f\n", name, value);
}

double quantile(std::vector<double> values, double fraction) {
    if (values.empty())
        return 0;
    std::sort(values.begin(), values.end());
    const auto index = static_cast<std::size_t>(fraction * static_cast<double>(values.size() - 1));
    return values[index];
}

double mean(const std::vector<double>& values) {
    double sum = 0;
    for (const double value : values)
        sum += value;
    return values.empty() ? 0 : sum / static_cast<double>(values.size());
}

// Queue waits of all services but the first.
std::vector<double> waits_of_others(const routing_simulation& world, int services, time_ms from,
                                    time_ms to) {
    std::vector<double> out;
    for (int service = 1; service < services; ++service) {
        const auto service_waits = world.waits(service, from, to);
        out.insert(out.end(), service_waits.begin(), service_waits.end());
    }
    return out;
}

// Each service in turn surges to five times its mean rate, and runs at a twentieth of it otherwise.
void schedule_rotating_surges(routing_simulation& world, int services) {
    world.at(rotation_begin, [&world, services] {
        for (int service = 0; service < services; ++service)
            world.set_rate(service, mean_requests_per_second * idle_factor);
    });
    for (int service = 0; service < services; ++service) {
        const time_ms begin = rotation_begin + service * rotation_step;
        world.at(begin, [&world, service] {
            world.set_rate(service, mean_requests_per_second * surge_factor);
        });
        world.at(begin + surge_length, [&world, service] {
            world.set_rate(service, mean_requests_per_second * idle_factor);
        });
    }
}

// Servers that leave while an entryd is cut off, then a crash, a freeze and a drain.
void schedule_faults(routing_simulation& world, const simulation_options& options) {
    world.at(faults_begin, [&world, &options] {
        for (int service = 0; service < options.services; ++service)
            world.set_rate(service, mean_requests_per_second);
        for (int other = 1; other < options.entries; ++other)
            world.disconnect(0, other, 8'000);
    });
    world.at(faults_begin + 500, [&world, &options] {
        for (int service = 0; service < options.services; ++service)
            world.leave_server(service * options.servers_per_service + 3);
    });
    world.at(faults_begin + 10'000, [&world] { world.crash(1, 3'000); });
    world.at(faults_begin + 16'000, [&world] { world.freeze(2, 4'000); });
    world.at(faults_begin + 22'000, [&world] { world.drain(3); });
}

} // namespace

int main() {
    init_logging(log_level::warning, "bench");
    simulation_options options;
    options.entries = 9;
    options.services = 5;
    options.servers_per_service = 10;
    options.slots = 8;
    options.connections = 64;
    options.requests_per_second = mean_requests_per_second;
    options.mean_service_time = 100;
    options.timeout = 10'000;
    options.max_packet_delay = 3;
    routing_simulation world(options);
    world.at(surge_begin, [&] { world.set_rate(0, mean_requests_per_second * surge_factor); });
    world.at(surge_end, [&] { world.set_rate(0, mean_requests_per_second); });
    schedule_rotating_surges(world, options.services);
    schedule_faults(world, options);

    world.run_until(steady_begin);
    const auto at_steady_begin = world.counts();
    world.run_until(surge_begin);
    const auto at_surge_begin = world.counts();
    world.run_until(surge_end);
    const auto at_surge_end = world.counts();
    world.run_until(faults_begin);
    const auto at_faults_begin = world.counts();
    world.run_until(run_end);
    const auto& counts = world.counts();

    const auto waits_without_surge =
        waits_of_others(world, options.services, steady_begin, surge_begin);
    const auto other_waits = waits_of_others(world, options.services, surge_begin, surge_end);
    const auto surging_waits = world.waits(0, surge_begin, surge_end);
    report("wait_no_surge_mean_ms", mean(waits_without_surge));
    report("wait_no_surge_p99_ms", quantile(waits_without_surge, 0.99));
    report("wait_others_in_surge_mean_ms", mean(other_waits));
    report("wait_surging_service_mean_ms", mean(surging_waits));
    check_bound("wait_others_in_surge_p99_ms", quantile(other_waits, 0.99),
                quantile(waits_without_surge, 0.99) + max_added_wait_ms);

    const auto rate = [&](std::uint64_t from, std::uint64_t to, time_ms time) {
        return static_cast<double>(to - from) * 1'000 / static_cast<double>(time) / options.entries;
    };
    report("ticks_a_second_steady",
           rate(at_steady_begin.ticks, at_surge_begin.ticks, surge_begin - steady_begin));
    report("ticks_a_second_surge",
           rate(at_surge_begin.ticks, at_surge_end.ticks, surge_end - surge_begin));
    report("bytes_sent_a_second_steady",
           rate(at_steady_begin.tick_bytes, at_surge_begin.tick_bytes, surge_begin - steady_begin));
    report("bytes_sent_a_second_surge",
           rate(at_surge_begin.tick_bytes, at_surge_end.tick_bytes, surge_end - surge_begin));
    check_bound("bytes_sent_and_received_a_second",
                2 * rate(at_steady_begin.tick_bytes, at_faults_begin.tick_bytes,
                         faults_begin - steady_begin),
                max_bytes_per_second);
    report("admitted", static_cast<double>(counts.admitted));
    report("refused", static_cast<double>(counts.refused));
    report("idle_slot_samples_while_waiting",
           static_cast<double>(world.idle_slot_samples_while_waiting()));
    check_bound("limit_violations", static_cast<double>(counts.limit_violations), 0);
    check_bound("late_on_leaving", static_cast<double>(counts.late_after_leaving), 0);
    std::printf("bench_routing: signature=%016llx\n",
                static_cast<unsigned long long>(counts.signature));
    return all_within_bounds ? 0 : 1;
}
