// Guards against more requests at a backend server than its slots, and against new requests to a
// leaving server, while entryds freeze, crash or lose their connections and servers change homes.
#include "support/routing_simulation.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <cstdio>

namespace {

using namespace clementine;
using clementine::testing::routing_simulation;
using clementine::testing::simulation_options;

constexpr time_ms faults_begin{3'000};
constexpr time_ms faults_end{90'000};
constexpr time_ms run_end{130'000};

// Injects one random fault and schedules the next within `max_gap`.
void schedule_fault(routing_simulation& world, int entries, time_ms max_gap) {
    if (world.now() >= faults_end)
        return;
    auto& random = world.random();
    const auto entry = static_cast<int>(random.below(entries));
    const auto server = static_cast<int>(random.below(world.server_count()));
    switch (random.below(9)) {
    case 0:
        world.freeze(entry, random.between(300, 6'000));
        break;
    case 1:
        world.crash(entry, random.between(50, 5'000));
        break;
    case 2:
    case 3:
        world.disconnect(entry, static_cast<int>(random.below(entries)),
                         random.between(500, 8'000));
        break;
    case 4:
        for (int other = 0; other < entries; ++other)
            world.disconnect(entry, other, random.between(1'000, 6'000));
        break;
    case 5:
        world.disconnect(entry, entries + server, random.between(500, 8'000));
        break;
    case 6:
        world.move_server(server);
        break;
    case 7:
        if (!world.server_leaving(server)) {
            world.leave_server(server);
            world.at(world.now() + 10'000, [&world, server] {
                if (world.server_leaving(server))
                    world.restart_server(server);
            });
        }
        break;
    default:
        if (!world.server_leaving(server))
            world.restart_server(server);
    }
    world.at(world.now() + random.between(10, max_gap),
             [&world, entries, max_gap] { schedule_fault(world, entries, max_gap); });
}

class simulation_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(simulation_test);
    CPPUNIT_TEST(serves_without_faults);
    CPPUNIT_TEST(drained_home_hands_over);
    CPPUNIT_TEST(killed_home_is_replaced);
    CPPUNIT_TEST(isolated_entryd_serves_from_its_own_servers);
    CPPUNIT_TEST(leaving_server_gets_no_requests_from_a_cut_off_entryd);
    CPPUNIT_TEST(keeps_limits_under_faults);
    CPPUNIT_TEST(same_seed_gives_the_same_run);
    CPPUNIT_TEST_SUITE_END();

  public:
    void serves_without_faults() {
        simulation_options options;
        routing_simulation world(options);
        world.run_until(20'000);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, world.counts().limit_violations);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, world.counts().refused);
        CPPUNIT_ASSERT(world.counts().answered > 1'800);
        CPPUNIT_ASSERT_EQUAL(world.server_count(), serving_servers(world));
    }

    void drained_home_hands_over() {
        routing_simulation world{simulation_options{}};
        world.at(5'000, [&] { world.drain(0); });
        world.run_until(8'000);
        CPPUNIT_ASSERT_EQUAL(world.server_count(), serving_servers(world));
        for (int server = 0; server < world.server_count(); ++server)
            CPPUNIT_ASSERT(world.home_of(server) != 0);
        world.run_until(20'000);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, world.counts().refused);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, world.counts().limit_violations);
    }

    void killed_home_is_replaced() {
        routing_simulation world{simulation_options{}};
        world.at(5'000, [&] { world.crash(0, 60'000); });
        world.run_until(12'000);
        CPPUNIT_ASSERT_EQUAL(world.server_count(), serving_servers(world));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, world.counts().limit_violations);
    }

    void isolated_entryd_serves_from_its_own_servers() {
        routing_simulation world{simulation_options{}};
        world.at(5'000, [&] {
            world.disconnect(0, 1, 20'000);
            world.disconnect(0, 2, 20'000);
        });
        world.run_until(12'000);
        const auto before = world.admitted_at(0);
        world.run_until(20'000);
        CPPUNIT_ASSERT(world.admitted_at(0) - before > 150);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, world.counts().limit_violations);
    }

    void leaving_server_gets_no_requests_from_a_cut_off_entryd() {
        routing_simulation world{simulation_options{}};
        world.at(5'000, [&] {
            world.disconnect(0, 1, 20'000);
            world.disconnect(1, 2, 20'000);
        });
        world.at(5'500, [&] { world.leave_server(0); });
        world.run_until(20'000);
        CPPUNIT_ASSERT(world.server_state(0) == routing::server_state::leaving);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, world.counts().late_after_leaving);
        CPPUNIT_ASSERT_EQUAL(0, world.in_progress(0));
    }

    void keeps_limits_under_faults() {
        for (std::uint64_t seed = 1; seed <= 24; ++seed) {
            const auto counts = run_with_faults(seed);
            std::printf("seed=%llu admitted=%llu refused=%llu violations=%llu late=%llu\n",
                        static_cast<unsigned long long>(seed),
                        static_cast<unsigned long long>(counts.admitted),
                        static_cast<unsigned long long>(counts.refused),
                        static_cast<unsigned long long>(counts.limit_violations),
                        static_cast<unsigned long long>(counts.late_after_leaving));
            CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, counts.limit_violations);
            CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, counts.late_after_leaving);
            CPPUNIT_ASSERT(counts.admitted > 500);
        }
    }

    void same_seed_gives_the_same_run() {
        CPPUNIT_ASSERT_EQUAL(run_with_faults(5).signature, run_with_faults(5).signature);
        CPPUNIT_ASSERT(run_with_faults(5).signature != run_with_faults(6).signature);
    }

  private:
    static int serving_servers(const routing_simulation& world) {
        int out = 0;
        for (int server = 0; server < world.server_count(); ++server)
            out += world.server_state(server) == routing::server_state::serving ? 1 : 0;
        return out;
    }

    // Load by seed: overload with short requests, a few long requests, or half load.
    static simulation_options options_for(std::uint64_t seed) {
        simulation_options options;
        options.seed = seed;
        options.entries = 3 + static_cast<int>(seed % 4);
        options.report_busy = seed % 5 != 0;
        options.loss = 0.1;
        options.max_clock_error = 0.04;
        options.requests_per_second = seed % 3 == 0 ? 250 : seed % 3 == 1 ? 20 : 80;
        options.mean_service_time = seed % 3 == 1 ? 600 : 100;
        return options;
    }

    static testing::simulation_counts run_with_faults(std::uint64_t seed) {
        const auto options = options_for(seed);
        const time_ms max_gap = seed % 2 == 0 ? 800 : 3'000;
        routing_simulation world(options);
        world.at(faults_begin, [&] { schedule_fault(world, options.entries, max_gap); });
        world.run_until(run_end - 10'000);
        const auto before = world.counts();
        world.run_until(run_end);
        CPPUNIT_ASSERT_EQUAL(world.server_count(), serving_servers(world));
        // All slots are in use again: in overload, 16 slots serve 160 requests of 100 ms per
        // second.
        const double min_rate = std::min(120.0, 0.8 * options.requests_per_second);
        CPPUNIT_ASSERT(static_cast<double>(world.counts().admitted - before.admitted) >
                       min_rate * 10);
        return world.counts();
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(simulation_test);

} // namespace
