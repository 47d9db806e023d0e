// Guards against maintenance that violates an availability budget, continues after VMs failed to
// return, or waits without an explanation.
#include "scheduler/support.h"

#include <cppunit/extensions/HelperMacros.h>

#include <set>

namespace {

using namespace clementine;
using namespace clementine::scheduler;

manifest::manifest fleet_with_maintenance(std::int64_t max_concurrent) {
    auto value = small_fleet();
    value.maintenance_settings.enabled = true;
    value.maintenance_settings.max_concurrent = max_concurrent;
    value.maintenance_settings.return_timeout = 60'000;
    return value;
}

// No demand is reported in these runs, so no pool is in a surge.
class maintenance_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(maintenance_test);
    CPPUNIT_TEST(every_vm_is_maintained_once);
    CPPUNIT_TEST(one_failure_domain_per_pool_at_a_time);
    CPPUNIT_TEST(existing_failures_count_against_the_budget);
    CPPUNIT_TEST(overdue_vm_halts_its_pool);
    CPPUNIT_TEST(resume_accepts_overdue_vms);
    CPPUNIT_TEST(explanation_names_an_unsatisfiable_budget);
    CPPUNIT_TEST(no_maintenance_outside_the_window);
    CPPUNIT_TEST_SUITE_END();

    static int maintained_count(const state& s) {
        int count = 0;
        for (const auto& vm : s.vms)
            count += vm.maintained_at != 0 ? 1 : 0;
        return count;
    }

  public:
    void every_vm_is_maintained_once() {
        scheduler_run run(fleet_with_maintenance(8), 1);
        run.run_until(1'800'000);
        CPPUNIT_ASSERT_EQUAL(40, maintained_count(run.current()));
        CPPUNIT_ASSERT_EQUAL(40, run.count("begin-maintenance"));
        CPPUNIT_ASSERT_EQUAL(0, run.platform().violations().total());
    }

    void one_failure_domain_per_pool_at_a_time() {
        scheduler_run run(fleet_with_maintenance(40), 2);
        while (run.now() < 300'000) {
            run.step();
            std::vector<std::set<std::uint32_t>> racks(run.current().pools.size());
            for (const auto& vm : run.current().vms) {
                if (vm.activity == vm_activity::maintenance_draining ||
                    vm.activity == vm_activity::rebooting)
                    racks[vm.pool].insert(vm.rack);
            }
            for (const auto& rack_set : racks)
                CPPUNIT_ASSERT(rack_set.size() <= 1);
        }
        CPPUNIT_ASSERT(maintained_count(run.current()) > 0);
    }

    // Pool press has 8 VMs and a budget of 5. With two VMs lost and one more expected loss, none is
    // left for maintenance.
    void existing_failures_count_against_the_budget() {
        // Disables lending, so that the spare pool does not replace the lost VMs.
        auto value = fleet_with_maintenance(8);
        value.pools[3].max_lent = 0;
        scheduler_run run(value, 3);
        const auto members = run.current().pools[2].members;
        run.platform().kill(members[0]);
        run.platform().kill(members[1]);
        run.run_until(400'000);
        for (std::size_t i = 2; i < members.size(); ++i)
            CPPUNIT_ASSERT_EQUAL(time_ms{0}, run.current().vms[members[i]].maintained_at);
        CPPUNIT_ASSERT(maintained_count(run.current()) > 20);
        run.platform().restore(members[0]);
        run.platform().restore(members[1]);
        run.run_until(1'500'000);
        CPPUNIT_ASSERT_EQUAL(40, maintained_count(run.current()));
    }

    void overdue_vm_halts_its_pool() {
        scheduler_run run(fleet_with_maintenance(4), 4);
        const auto lost = run.current().pools[0].members[0];
        run.platform().set_restart_fails(lost, true);
        run.run_until(600'000);
        CPPUNIT_ASSERT(run.current().vms[lost].activity == vm_activity::overdue);
        CPPUNIT_ASSERT(run.current().pools[0].halted);
        CPPUNIT_ASSERT_EQUAL(std::string("vm-1"), run.current().vms[lost].name);
        const auto explanation =
            run.current_leader()->explain_vm(run.current(), lost, run.now(), 12);
        CPPUNIT_ASSERT(explanation.find("overdue") != std::string::npos);
        int others = 0;
        for (const auto id : run.current().pools[0].members)
            others += run.current().vms[id].maintained_at == 0 ? 1 : 0;
        CPPUNIT_ASSERT(others > 1);
        run.platform().restore(lost);
        run.run_until(1'800'000);
        CPPUNIT_ASSERT(!run.current().pools[0].halted);
        CPPUNIT_ASSERT_EQUAL(40, maintained_count(run.current()));
    }

    void resume_accepts_overdue_vms() {
        scheduler_run run(fleet_with_maintenance(4), 5);
        const auto lost = run.current().pools[0].members[0];
        run.platform().set_restart_fails(lost, true);
        run.run_until(300'000);
        CPPUNIT_ASSERT(run.current().pools[0].halted);
        CPPUNIT_ASSERT(apply(run.current(), {resume_maintenance{0}, "operator", 0}, 1'000'000));
        run.run_until(1'800'000);
        CPPUNIT_ASSERT(!run.current().pools[0].halted);
        CPPUNIT_ASSERT_EQUAL(39, maintained_count(run.current()));
        CPPUNIT_ASSERT_EQUAL(0, run.platform().violations().total());
    }

    void explanation_names_an_unsatisfiable_budget() {
        auto value = fleet_with_maintenance(4);
        value.services[2].min_available = 7;
        scheduler_run run(value, 6);
        run.run_until(60'000);
        const auto vm = run.current().pools[2].members[0];
        const auto explanation = run.current_leader()->explain_vm(run.current(), vm, run.now(), 12);
        CPPUNIT_ASSERT(explanation.find("cannot be met with 8 VMs") != std::string::npos);
        CPPUNIT_ASSERT(run.current_leader()->explain_pool(run.current(), 2).find("press") !=
                       std::string::npos);
    }

    // scheduler_run always passes hour 12 to the leader.
    void no_maintenance_outside_the_window() {
        auto value = fleet_with_maintenance(4);
        value.maintenance_settings.window_start_hour = 22;
        value.maintenance_settings.window_hours = 6;
        scheduler_run run(value, 7);
        run.run_until(60'000);
        CPPUNIT_ASSERT_EQUAL(0, run.count("begin-maintenance"));
        const auto explanation = run.current_leader()->explain_vm(run.current(), 0, run.now(), 12);
        CPPUNIT_ASSERT(explanation.find("outside the maintenance window") != std::string::npos);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(maintenance_test);

} // namespace
