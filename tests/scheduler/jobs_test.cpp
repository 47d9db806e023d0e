// Guards against jobs that run twice, run after their cancellation, block other jobs or starve.
#include "scheduler/support.h"

#include <cppunit/extensions/HelperMacros.h>

#include <set>

namespace {

using namespace clementine;
using namespace clementine::scheduler;

constexpr pool_id web_pool = 0;

submit_job make_job(team_id team, std::int64_t cores, job_kind kind = job_kind::idempotent,
                    bool urgent = false) {
    submit_job job;
    job.team = team;
    job.pool = web_pool;
    job.kind = kind;
    job.urgent = urgent;
    job.declared = {cores * 1000, 1024, 0};
    job.run_time = 60'000;
    return job;
}

fake_platform::job_oracle jobs_lasting(time_ms run_time, std::int64_t cores) {
    return [=](job_id) { return job_behavior{run_time, {cores * 1000, 1024, 0}, false}; };
}

class jobs_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(jobs_test);
    CPPUNIT_TEST(all_jobs_complete);
    CPPUNIT_TEST(lost_worker_ends_at_most_once_as_unknown);
    CPPUNIT_TEST(job_of_cut_off_worker_restarts_after_lease_expiry);
    CPPUNIT_TEST(oversized_job_never_runs_and_blocks_no_other);
    CPPUNIT_TEST(cancellation_has_one_final_outcome);
    CPPUNIT_TEST(broken_worker_is_quarantined_and_readmitted);
    CPPUNIT_TEST(failing_jobs_do_not_quarantine_workers);
    CPPUNIT_TEST(quarantine_rate_is_bounded);
    CPPUNIT_TEST(urgent_job_preempts_borrowed_jobs_in_time);
    CPPUNIT_TEST(jobs_within_quota_are_not_preempted);
    CPPUNIT_TEST(overload_throttles_before_it_stops);
    CPPUNIT_TEST(jobs_of_a_team_spread_over_racks);
    CPPUNIT_TEST(job_of_draining_worker_resumes_elsewhere);
    CPPUNIT_TEST(stale_decisions_are_rejected);
    CPPUNIT_TEST_SUITE_END();

  public:
    void all_jobs_complete() {
        scheduler_run run(small_fleet(), 1, {}, jobs_lasting(3'000, 1));
        for (int i = 0; i < 50; ++i)
            run.submit(make_job(static_cast<team_id>(i % 3), 1,
                                i % 2 == 0 ? job_kind::idempotent : job_kind::at_most_once));
        run.run_until(30'000);
        for (job_id id = 1; id <= 50; ++id)
            CPPUNIT_ASSERT(run.current().find_job(id)->outcome == job_outcome::succeeded);
        CPPUNIT_ASSERT_EQUAL(0, run.platform().violations().total());
    }

    void lost_worker_ends_at_most_once_as_unknown() {
        scheduler_run run(small_fleet(), 2, {}, jobs_lasting(60'000, 1));
        const auto once = run.submit(make_job(0, 1, job_kind::at_most_once));
        run.run_until(10'000);
        run.platform().kill(run.current().find_job(once)->worker);
        run.run_until(40'000);
        const auto* job = run.current().find_job(once);
        CPPUNIT_ASSERT(job->outcome == job_outcome::unknown);
        CPPUNIT_ASSERT_EQUAL(1U, job->attempt);
        run.run_until(120'000);
        CPPUNIT_ASSERT_EQUAL(0, run.platform().violations().total());
    }

    // A worker without connection runs its job until its lease ends by its own clock. Only then may
    // the job start elsewhere.
    void job_of_cut_off_worker_restarts_after_lease_expiry() {
        for (std::uint64_t seed = 1; seed <= 20; ++seed) {
            scheduler_run run(small_fleet(), seed, {}, jobs_lasting(60'000, 1));
            const auto id = run.submit(make_job(0, 1));
            run.run_until(25'000 + static_cast<time_ms>(seed) * 500);
            const auto* job = run.current().find_job(id);
            const auto worker = job->worker;
            run.platform().set_disconnected(worker, true);
            const auto cut = run.now();
            while (job->worker == worker && run.now() < 80'000)
                run.step();
            CPPUNIT_ASSERT_EQUAL(2U, job->attempt);
            CPPUNIT_ASSERT(run.now() - cut < 2 * lease_expiry);
            CPPUNIT_ASSERT(job->checkpoint >= 10'000);
            run.platform().set_disconnected(worker, false);
            run.run_until(120'000);
            CPPUNIT_ASSERT(job->outcome == job_outcome::succeeded);
            CPPUNIT_ASSERT_EQUAL(0, run.platform().violations().total());
        }
    }

    void oversized_job_never_runs_and_blocks_no_other() {
        scheduler_run run(small_fleet(), 4);
        const auto big = run.submit(make_job(0, 17));
        const auto big_urgent = run.submit(make_job(0, 17, job_kind::at_most_once, true));
        const auto small = run.submit(make_job(0, 1));
        run.run_until(10'000);
        for (const auto id : {big, big_urgent})
            CPPUNIT_ASSERT(run.current().find_job(id)->outcome == job_outcome::never_runs);
        CPPUNIT_ASSERT(run.current().find_job(small)->outcome == job_outcome::succeeded);
    }

    void cancellation_has_one_final_outcome() {
        scheduler_run run(small_fleet(), 5, {}, jobs_lasting(4'000, 1));
        std::vector<job_id> jobs;
        for (int i = 0; i < 60; ++i) {
            jobs.push_back(run.submit(
                make_job(0, 1, i % 2 == 0 ? job_kind::idempotent : job_kind::at_most_once)));
            if (i % 3 == 0)
                run.step();
            // Cancellations race with starts, running jobs and their ends.
            if (i >= 20)
                run.cancel(jobs[static_cast<std::size_t>(i) - 20]);
        }
        run.run_until(60'000);
        std::vector<job_outcome> first;
        for (const auto id : jobs) {
            CPPUNIT_ASSERT(run.current().find_job(id)->phase == job_phase::ended);
            first.push_back(run.current().find_job(id)->outcome);
            run.cancel(id);
        }
        run.run_until(90'000);
        for (std::size_t i = 0; i < jobs.size(); ++i)
            CPPUNIT_ASSERT(run.current().find_job(jobs[i])->outcome == first[i]);
        CPPUNIT_ASSERT_EQUAL(0, run.platform().violations().total());
    }

    void broken_worker_is_quarantined_and_readmitted() {
        scheduler_run run(small_fleet(), 6, {}, jobs_lasting(2'000, 4));
        const auto broken = run.current().pools[web_pool].members[3];
        run.platform().set_faulty(broken, true);
        for (int i = 0; i < 400; ++i) {
            run.submit(make_job(static_cast<team_id>(i % 2), 4));
            if (i % 2 == 0)
                run.step();
        }
        CPPUNIT_ASSERT(run.current().vms[broken].quarantined);
        CPPUNIT_ASSERT_EQUAL(1, run.count("quarantine-worker"));
        run.platform().set_faulty(broken, false);
        run.run_until(run.now() + 400'000);
        CPPUNIT_ASSERT(!run.current().vms[broken].quarantined);
        CPPUNIT_ASSERT(run.platform().probes_run() >= 2);
    }

    void failing_jobs_do_not_quarantine_workers() {
        scheduler_run run(small_fleet(), 7, {}, [](job_id) {
            return job_behavior{1'000, {4'000, 1024, 0}, true};
        });
        for (int i = 0; i < 200; ++i) {
            run.submit(make_job(0, 4));
            run.step();
        }
        CPPUNIT_ASSERT_EQUAL(0, run.count("quarantine-worker"));
    }

    // If many workers seem broken at once, the cause is likely common to them.
    void quarantine_rate_is_bounded() {
        scheduler_run run(small_fleet(), 8, {}, jobs_lasting(2'000, 4));
        const auto members = run.current().pools[web_pool].members;
        for (std::size_t i = 0; i < 4; ++i)
            run.platform().set_faulty(members[i], true);
        for (int i = 0; i < 400; ++i) {
            run.submit(make_job(static_cast<team_id>(i % 2), 4));
            run.step();
            int quarantined = 0;
            for (const auto& vm : run.current().vms)
                quarantined += vm.quarantined ? 1 : 0;
            CPPUNIT_ASSERT(quarantined <= 1); // the limit of 10% of ten workers
        }
        CPPUNIT_ASSERT_EQUAL(1, run.count("quarantine-worker"));
    }

    void urgent_job_preempts_borrowed_jobs_in_time() {
        for (std::uint64_t seed = 1; seed <= 20; ++seed) {
            scheduler_run run(small_fleet(), seed, {}, jobs_lasting(600'000, 4));
            // Team red fills the pool with 160 cores, of which 80 are borrowed.
            for (int i = 0; i < 40; ++i)
                run.submit(make_job(0, 4));
            run.run_until(20'000);
            const auto urgent = run.submit(make_job(1, 8, job_kind::at_most_once, true));
            const auto submitted = run.now();
            const auto* job = run.current().find_job(urgent);
            while (job->phase == job_phase::queued && run.now() < submitted + 60'000)
                run.step();
            CPPUNIT_ASSERT(run.now() - submitted <= urgent_start_target);
            CPPUNIT_ASSERT(run.count("preempt-job") >= 1);
            CPPUNIT_ASSERT_EQUAL(0, run.platform().violations().total());
        }
    }

    // A job within its team's quota must not be preempted for another team.
    void jobs_within_quota_are_not_preempted() {
        scheduler_run run(small_fleet(), 9, {}, jobs_lasting(600'000, 4));
        for (int i = 0; i < 20; ++i)
            run.submit(make_job(0, 4));
        for (int i = 0; i < 20; ++i)
            run.submit(make_job(1, 4));
        run.run_until(20'000);
        run.submit(make_job(1, 8, job_kind::idempotent, true));
        run.run_until(40'000);
        for (job_id id = 1; id <= 20; ++id)
            CPPUNIT_ASSERT_EQUAL(1U, run.current().find_job(id)->attempt);
    }

    void overload_throttles_before_it_stops() {
        // Jobs use four times what they declare.
        scheduler_run run(small_fleet(), 10, {}, jobs_lasting(60'000, 4));
        for (int i = 0; i < 120; ++i)
            run.submit(make_job(static_cast<team_id>(i % 3), 1));
        int stops_before_throttle = 0;
        while (run.now() < 60'000) {
            run.step();
            if (run.count("preempt-job") > 0 && run.count("throttle-job") == 0)
                ++stops_before_throttle;
        }
        CPPUNIT_ASSERT(run.count("throttle-job") > 0);
        CPPUNIT_ASSERT_EQUAL(0, stops_before_throttle);
    }

    void jobs_of_a_team_spread_over_racks() {
        scheduler_run run(small_fleet(), 11, {}, jobs_lasting(600'000, 1));
        for (int i = 0; i < 8; ++i)
            run.submit(make_job(0, 1));
        run.run_until(10'000);
        std::set<std::uint32_t> racks;
        std::set<std::uint16_t> zones;
        for (job_id id = 1; id <= 8; ++id) {
            const auto& vm = run.current().vms[run.current().find_job(id)->worker];
            racks.insert(vm.rack);
            zones.insert(vm.zone);
        }
        CPPUNIT_ASSERT(racks.size() >= 7);
        CPPUNIT_ASSERT_EQUAL(std::size_t{4}, zones.size());
    }

    void job_of_draining_worker_resumes_elsewhere() {
        scheduler_run run(small_fleet(), 12, {}, jobs_lasting(60'000, 1));
        const auto id = run.submit(make_job(0, 1));
        run.run_until(20'000);
        const auto* job = run.current().find_job(id);
        const auto worker = job->worker;
        CPPUNIT_ASSERT(
            apply(run.current(), {begin_move{worker, web_pool, 1, true}, "", 0}, 1'000'000));
        run.run_until(40'000);
        CPPUNIT_ASSERT_EQUAL(2U, job->attempt);
        CPPUNIT_ASSERT(job->worker != worker);
        CPPUNIT_ASSERT(run.count("reassign-vm") >= 1);
        run.run_until(100'000);
        CPPUNIT_ASSERT(job->outcome == job_outcome::succeeded);
    }

    void stale_decisions_are_rejected() {
        auto s = make_state(small_fleet());
        const auto apply_action = [&](action what) { return apply(s, {what, "", 1}, 7); };
        CPPUNIT_ASSERT(apply_action(make_job(0, 1, job_kind::at_most_once)));
        CPPUNIT_ASSERT(!apply_action(start_job{1, 2, 0, 1, false})); // wrong attempt
        CPPUNIT_ASSERT(apply_action(start_job{1, 1, 0, 1, false}));
        CPPUNIT_ASSERT(!apply_action(start_job{1, 2, 1, 1, false})); // already running
        CPPUNIT_ASSERT(
            !apply_action(requeue_job{1, 1, 0, false})); // an at-most-once job cannot be requeued
        CPPUNIT_ASSERT(apply_action(end_job{1, 1, job_outcome::unknown}));
        CPPUNIT_ASSERT(!apply_action(end_job{1, 1, job_outcome::succeeded}));
        CPPUNIT_ASSERT(!apply_action(request_cancel{1}));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(jobs_test);

} // namespace
