// Guards against maintenance that breaks an availability budget, goes on after losses, or waits
// without saying why.
#include "scheduler/support.h"

#include <cppunit/extensions/HelperMacros.h>

#include <set>

namespace {

using namespace clementine;
using namespace clementine::scheduler;

manifest::manifest maintained_fleet(std::int64_t max_concurrent) {
    auto value = small_fleet();
    value.maintenance_settings.enabled = true;
    value.maintenance_settings.max_concurrent = max_concurrent;
    value.maintenance_settings.return_timeout = 60'000;
    return value;
}

// Serving or starting VMs; no demand is reported, so no pool is in a surge.
class maintenance_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(maintenance_test);
    CPPUNIT_TEST(maintains_every_vm_once);
    CPPUNIT_TEST(one_failure_domain_of_a_service_at_a_time);
    CPPUNIT_TEST(counts_existing_failures);
    CPPUNIT_TEST(halts_when_vms_do_not_come_back);
    CPPUNIT_TEST(operator_resume_accepts_losses);
    CPPUNIT_TEST(says_why_a_vm_waits);
    CPPUNIT_TEST(waits_outside_the_window);
    CPPUNIT_TEST_SUITE_END();

    static int maintained(const state& s) {
        int count = 0;
        for (const auto& vm : s.vms)
            count += vm.maintained_at != 0 ? 1 : 0;
        return count;
    }

  public:
    void maintains_every_vm_once() {
        scheduler_run run(maintained_fleet(8), 1);
        run.run_until(1'800'000);
        CPPUNIT_ASSERT_EQUAL(40, maintained(run.current()));
        CPPUNIT_ASSERT_EQUAL(40, run.count("begin-maintenance"));
        CPPUNIT_ASSERT_EQUAL(0, run.platform().violations().total());
    }

    void one_failure_domain_of_a_service_at_a_time() {
        scheduler_run run(maintained_fleet(40), 2);
        while (run.now() < 300'000) {
            run.step();
            std::vector<std::set<std::uint32_t>> racks(run.current().pools.size());
            for (const auto& vm : run.current().vms) {
                if (vm.activity == vm_activity::maintenance_draining ||
                    vm.activity == vm_activity::rebooting)
                    racks[vm.pool].insert(vm.rack);
            }
            for (const auto& set : racks)
                CPPUNIT_ASSERT(set.size() <= 1);
        }
        CPPUNIT_ASSERT(maintained(run.current()) > 0);
    }

    // Pool press has 8 VMs and a budget of 5: with two lost, one more expected loss leaves none.
    void counts_existing_failures() {
        // Without lending, no VM of the spare pool replaces the lost ones.
        auto value = maintained_fleet(8);
        value.pools[3].max_lent = 0;
        scheduler_run run(value, 3);
        const auto members = run.current().pools[2].members;
        run.platform().kill(members[0]);
        run.platform().kill(members[1]);
        run.run_until(400'000);
        for (std::size_t i = 2; i < members.size(); ++i)
            CPPUNIT_ASSERT_EQUAL(time_ms{0}, run.current().vms[members[i]].maintained_at);
        CPPUNIT_ASSERT(maintained(run.current()) > 20);
        run.platform().restore(members[0]);
        run.platform().restore(members[1]);
        run.run_until(1'500'000);
        CPPUNIT_ASSERT_EQUAL(40, maintained(run.current()));
    }

    void halts_when_vms_do_not_come_back() {
        scheduler_run run(maintained_fleet(4), 4);
        const auto lost = run.current().pools[0].members[0];
        run.platform().keep_down_after_restart(lost, true);
        run.run_until(600'000);
        CPPUNIT_ASSERT(run.current().vms[lost].activity == vm_activity::overdue);
        CPPUNIT_ASSERT(run.current().pools[0].halted);
        CPPUNIT_ASSERT_EQUAL(std::string("vm-1"), run.current().vms[lost].name);
        const auto why = run.acting()->explain_vm(run.current(), lost, run.now(), 12);
        CPPUNIT_ASSERT(why.find("overdue") != std::string::npos);
        int others = 0;
        for (const auto id : run.current().pools[0].members)
            others += run.current().vms[id].maintained_at == 0 ? 1 : 0;
        CPPUNIT_ASSERT(others > 1);
        run.platform().restore(lost);
        run.run_until(1'800'000);
        CPPUNIT_ASSERT(!run.current().pools[0].halted);
        CPPUNIT_ASSERT_EQUAL(40, maintained(run.current()));
    }

    void operator_resume_accepts_losses() {
        scheduler_run run(maintained_fleet(4), 5);
        const auto lost = run.current().pools[0].members[0];
        run.platform().keep_down_after_restart(lost, true);
        run.run_until(300'000);
        CPPUNIT_ASSERT(run.current().pools[0].halted);
        CPPUNIT_ASSERT(apply(run.current(), {resume_maintenance{0}, "operator", 0}, 1'000'000));
        run.run_until(1'800'000);
        CPPUNIT_ASSERT(!run.current().pools[0].halted);
        CPPUNIT_ASSERT_EQUAL(39, maintained(run.current()));
        CPPUNIT_ASSERT_EQUAL(0, run.platform().violations().total());
    }

    void says_why_a_vm_waits() {
        auto value = maintained_fleet(4);
        value.services[2].min_available = 7;
        scheduler_run run(value, 6);
        run.run_until(60'000);
        const auto vm = run.current().pools[2].members[0];
        const auto why = run.acting()->explain_vm(run.current(), vm, run.now(), 12);
        CPPUNIT_ASSERT(why.find("cannot be met with 8 VMs") != std::string::npos);
        CPPUNIT_ASSERT(run.acting()->explain_pool(run.current(), 2).find("press") !=
                       std::string::npos);
    }

    // The runs decide at 12 o'clock.
    void waits_outside_the_window() {
        auto value = maintained_fleet(4);
        value.maintenance_settings.window_start_hour = 22;
        value.maintenance_settings.window_hours = 6;
        scheduler_run run(value, 7);
        run.run_until(60'000);
        CPPUNIT_ASSERT_EQUAL(0, run.count("begin-maintenance"));
        const auto why = run.acting()->explain_vm(run.current(), 0, run.now(), 12);
        CPPUNIT_ASSERT(why.find("outside the maintenance window") != std::string::npos);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(maintenance_test);

} // namespace
