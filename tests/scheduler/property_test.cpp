// Checks the invariants of design section 5 over long, seeded fault schedules in virtual time: each
// VM is in exactly one pool, no action of the scheduler breaches a budget, no at-most-once job
// starts twice, no job runs on two workers, and none runs after its cancellation was confirmed.
#include "scheduler/support.h"
#include "support/fault_schedule.h"

#include <cppunit/extensions/HelperMacros.h>

#include <cstdlib>
#include <iostream>

namespace {

using namespace clementine;
using namespace clementine::scheduler;

constexpr time_ms run_length{20 * 60'000};

class property_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(property_test);
    CPPUNIT_TEST(invariants_hold_under_faults);
    CPPUNIT_TEST(same_seed_gives_same_signature);
    CPPUNIT_TEST_SUITE_END();

    static void add_surges(scheduler_run& run, std::uint64_t seed) {
        rotating_surges surges;
        surges.length = random_source(seed).between(6'000, 14'000);
        run.demand = [&run, surges](time_ms now) { return report_demand(run, surges, now); };
    }

    static std::vector<std::uint64_t> seeds() {
        // Runs a single seed, for example to reproduce a failure.
        if (const char* text = std::getenv("SCHEDULER_SEED"))
            return {std::strtoull(text, nullptr, 10)};
        return {1, 2, 3, 4, 5, 6, 7, 8, 23};
    }

  public:
    void invariants_hold_under_faults() {
        for (const auto seed : seeds()) {
            const std::string example = seed % 2 == 0 ? "deployment-a" : "deployment-b";
            fault_schedule schedule(example_manifest(example), seed);
            add_surges(schedule.run(), seed);
            schedule.run_until(run_length);
            auto& run = schedule.run();
            std::cout << "seed=" << seed << " example=" << example
                      << " moves=" << run.count("begin-move")
                      << " starts=" << run.count("start-job")
                      << " maintenance=" << run.count("begin-maintenance")
                      << " quarantines=" << run.count("quarantine-worker")
                      << " leaders=" << run.elections() << ' ' << run.platform().violations().text()
                      << std::endl;
            CPPUNIT_ASSERT_EQUAL(0, run.platform().violations().total());
            check_nothing_is_stuck(schedule);
        }
    }

    // After the faults end, all jobs, moves and maintenance must complete.
    static void check_nothing_is_stuck(fault_schedule& schedule) {
        auto& run = schedule.run();
        schedule.run_without_faults(600'000);
        const auto& s = run.current();
        int unfinished = 0;
        for (const auto& [id, job] : s.jobs) {
            if (job.phase != job_phase::ended && ++unfinished <= 3)
                std::cout << "unfinished job=" << id << ": "
                          << run.current_leader()->explain_job(s, id) << std::endl;
        }
        CPPUNIT_ASSERT_EQUAL(0, unfinished);
        for (const auto& vm : s.vms) {
            CPPUNIT_ASSERT(vm.activity != vm_activity::overdue);
            CPPUNIT_ASSERT(vm.activity == vm_activity::none ||
                           run.now() - vm.activity_since < 120'000);
        }
        CPPUNIT_ASSERT_EQUAL(0, run.platform().violations().total());
    }

    void same_seed_gives_same_signature() {
        const auto play = [](std::uint64_t seed) {
            fault_schedule schedule(example_manifest("deployment-a"), seed);
            add_surges(schedule.run(), seed);
            schedule.run_until(300'000);
            return schedule.run().signature();
        };
        CPPUNIT_ASSERT_EQUAL(play(21), play(21));
        CPPUNIT_ASSERT(play(21) != play(22));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(property_test);

} // namespace
