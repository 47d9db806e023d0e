// Tests the replicated job state: one job per id, each task done once, and nothing lost by saving
// and loading.
#include "workload/job_table.h"

#include <cppunit/extensions/HelperMacros.h>

namespace {

using namespace clementine;
using namespace clementine::workload;

class job_table_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(job_table_test);
    CPPUNIT_TEST(highest_configuration_wins);
    CPPUNIT_TEST(one_job_per_id);
    CPPUNIT_TEST(starts_only_after_dependencies);
    CPPUNIT_TEST(no_start_after_cancel);
    CPPUNIT_TEST(job_of_too_many_tasks_ends_the_process);
    CPPUNIT_TEST(submission_after_its_cancel_starts);
    CPPUNIT_TEST(early_cancels_are_bounded);
    CPPUNIT_TEST(fails_after_max_attempts);
    CPPUNIT_TEST(one_done_member_completes_gang);
    CPPUNIT_TEST(lost_member_of_a_gang_resumes_from_another_checkpoint);
    CPPUNIT_TEST(late_end_of_lost_run_counts_unless_newer_run_started);
    CPPUNIT_TEST(long_running_tasks_wait_again_after_any_end);
    CPPUNIT_TEST(save_and_load_keep_all_state);
    CPPUNIT_TEST(rejects_malformed_bytes);
    CPPUNIT_TEST_SUITE_END();

    job_table table_;
    const worker_ref worker_{"w1", 5};

    bool apply(operation op, time_ms wall = 1'000) {
        return table_.apply({wall, {std::move(op)}}, 3)[0];
    }

    submit_job two_steps() const {
        submit_job out{"j1", "q", "p", 2, {}};
        step_spec step;
        step.count = 2;
        step.need = {1'000, 100, 0};
        out.spec.steps = {step, step};
        out.spec.steps[1].depends_on = {0};
        return out;
    }
    bool start(std::uint32_t step, std::uint32_t index, std::uint32_t run) {
        return apply(start_run{{"j1", 0, step, index}, run, worker_, "10.0.0.1:80"});
    }
    bool end(std::uint32_t step, std::uint32_t index, std::uint32_t run, run_end how) {
        return apply(end_run{{"j1", 0, step, index}, run, how, "c"});
    }
    job_state state() const { return table_.find_job("j1")->state; }

  public:
    void highest_configuration_wins() {
        configuration value;
        value.version = 7;
        value.document = "seven";
        CPPUNIT_ASSERT(apply(put_configuration{value}));
        value.document = "other";
        CPPUNIT_ASSERT(!apply(put_configuration{value}));
        value.version = 6;
        CPPUNIT_ASSERT(!apply(put_configuration{value}));
        CPPUNIT_ASSERT_EQUAL(std::string("seven"), table_.config().document);
    }

    void one_job_per_id() {
        CPPUNIT_ASSERT(apply(two_steps()));
        CPPUNIT_ASSERT(start(0, 0, 1));
        CPPUNIT_ASSERT(apply(two_steps()));
        CPPUNIT_ASSERT(job_state::active == state());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, table_.jobs().size());
    }

    void starts_only_after_dependencies() {
        apply(two_steps());
        CPPUNIT_ASSERT(!start(1, 0, 1));
        CPPUNIT_ASSERT(start(0, 0, 1));
        CPPUNIT_ASSERT(!start(0, 0, 2)); // already assigned
        CPPUNIT_ASSERT(start(0, 1, 1));
        CPPUNIT_ASSERT(end(0, 0, 1, run_end::done));
        CPPUNIT_ASSERT(!start(0, 0, 2)); // already done
        CPPUNIT_ASSERT(!start(1, 0, 1));
        CPPUNIT_ASSERT(end(0, 1, 1, run_end::done));
        CPPUNIT_ASSERT(start(1, 0, 1));
        CPPUNIT_ASSERT(start(1, 1, 1));
        end(1, 0, 1, run_end::done);
        end(1, 1, 1, run_end::done);
        CPPUNIT_ASSERT(job_state::completed == state());
        CPPUNIT_ASSERT(table_.open_jobs().empty());
    }

    void no_start_after_cancel() {
        apply(two_steps());
        start(0, 0, 1);
        CPPUNIT_ASSERT(apply(cancel_job{"j1"}));
        CPPUNIT_ASSERT(!start(0, 1, 1));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                             table_.open_jobs().size()); // one run is still assigned
        end(0, 0, 1, run_end::stopped);
        CPPUNIT_ASSERT(table_.open_jobs().empty());
        CPPUNIT_ASSERT(job_state::canceled == state());
    }

    // One job in the log ended each replica that applied it, again at each start.
    void job_of_too_many_tasks_ends_the_process() {
        auto huge = two_steps();
        huge.spec.times = UINT32_MAX;
        for (auto& step : huge.spec.steps)
            step.count = UINT32_MAX;
        CPPUNIT_ASSERT(!apply(huge));
        huge.spec.times = 10'000;
        huge.spec.steps[0].count = huge.spec.steps[1].count = 1;
        CPPUNIT_ASSERT(huge.spec.has_allowed_size());
        ++huge.spec.times;
        CPPUNIT_ASSERT(!apply(huge));
        huge.spec.steps.clear();
        CPPUNIT_ASSERT(!apply(huge));
        CPPUNIT_ASSERT(table_.jobs().empty());
    }

    // A frozen node passed a submission on after the cancel of its job had been acknowledged, and
    // the job ran.
    void submission_after_its_cancel_starts() {
        CPPUNIT_ASSERT(apply(cancel_job{"j1"}));
        CPPUNIT_ASSERT(apply(cancel_job{"j1"}));
        CPPUNIT_ASSERT(table_.jobs().empty());
        job_table loaded;
        CPPUNIT_ASSERT(loaded.load(table_.save()));
        CPPUNIT_ASSERT(loaded.save() == table_.save());
        table_ = std::move(loaded);
        CPPUNIT_ASSERT(apply(two_steps()));
        CPPUNIT_ASSERT(job_state::canceled == state());
        CPPUNIT_ASSERT(!start(0, 0, 1));
        CPPUNIT_ASSERT(table_.open_jobs().empty());
    }

    // Cancels of unknown jobs must not take memory without limit, nor for ever.
    void early_cancels_are_bounded() {
        for (std::size_t i = 0; i < max_early_cancels; ++i)
            CPPUNIT_ASSERT(apply(cancel_job{"x" + std::to_string(i)}));
        CPPUNIT_ASSERT(!apply(cancel_job{"j1"}));
        const auto later = 1'000 + ended_job_retention + 1;
        CPPUNIT_ASSERT(apply(cancel_job{"j1"}, later));
        CPPUNIT_ASSERT(!table_.is_cancelled_early("x0"));
        CPPUNIT_ASSERT(table_.is_cancelled_early("j1"));
        CPPUNIT_ASSERT(apply(two_steps(), later + ended_job_retention + 1));
        CPPUNIT_ASSERT(job_state::queued == state());
    }

    void fails_after_max_attempts() {
        apply(two_steps());
        start(0, 0, 1);
        end(0, 0, 1, run_end::lapsed);
        start(0, 0, 2);
        end(0, 0, 2, run_end::failed);
        CPPUNIT_ASSERT(job_state::active == state());
        start(0, 0, 3);
        end(0, 0, 3, run_end::failed);
        CPPUNIT_ASSERT(job_state::failed == state());
        CPPUNIT_ASSERT(!start(0, 0, 4));
    }

    void one_done_member_completes_gang() {
        auto gang = two_steps();
        gang.spec.steps[0].gang = true;
        apply(gang);
        start(0, 0, 1);
        start(0, 1, 1);
        end(0, 0, 1, run_end::done);
        CPPUNIT_ASSERT_EQUAL(2U, table_.find_job("j1")->occurrences[0].steps[0].done);
        CPPUNIT_ASSERT(!end(0, 1, 1, run_end::done));
        CPPUNIT_ASSERT_EQUAL(1U, table_.find_job("j1")->occurrences[0].steps_done);
    }

    // A worker crashed with one member of a gang. The others ended with a newer checkpoint than the
    // one that the lost member had listed, and the gang was started with both.
    void lost_member_of_a_gang_resumes_from_another_checkpoint() {
        for (const bool lost_first : {false, true}) {
            table_ = {};
            auto gang = two_steps();
            gang.spec.steps[0].gang = true;
            gang.spec.steps[0].count = 3;
            apply(gang);
            for (std::uint32_t i = 0; i < 3; ++i)
                start(0, i, 1);
            const lose_run lost{{"j1", 0, 0, 2}, 1, "older"};
            if (lost_first)
                apply(lost);
            apply(end_run{{"j1", 0, 0, 0}, 1, run_end::broken, "newer"});
            apply(end_run{{"j1", 0, 0, 1}, 1, run_end::broken, "newer"});
            if (!lost_first)
                apply(lost);
            for (std::uint32_t i = 0; i < 3; ++i)
                CPPUNIT_ASSERT_EQUAL(std::string("newer"),
                                     table_.find_task({"j1", 0, 0, i})->checkpoint);
            // All members are lost: the first value serves for all.
            for (std::uint32_t i = 0; i < 3; ++i)
                start(0, i, 2);
            for (std::uint32_t i = 0; i < 3; ++i)
                apply(lose_run{{"j1", 0, 0, i}, 2, "listed by " + std::to_string(i)});
            for (std::uint32_t i = 0; i < 3; ++i)
                CPPUNIT_ASSERT_EQUAL(std::string("listed by 0"),
                                     table_.find_task({"j1", 0, 0, i})->checkpoint);
        }
    }

    void late_end_of_lost_run_counts_unless_newer_run_started() {
        apply(two_steps());
        start(0, 0, 1);
        apply(lose_run{{"j1", 0, 0, 0}, 1, ""});
        CPPUNIT_ASSERT(end(0, 0, 1, run_end::done));
        start(0, 1, 1);
        apply(lose_run{{"j1", 0, 0, 1}, 1, ""});
        start(0, 1, 2);
        CPPUNIT_ASSERT(!end(0, 1, 1, run_end::done));
        CPPUNIT_ASSERT(task_phase::assigned == table_.find_task({"j1", 0, 0, 1})->phase);
    }

    void long_running_tasks_wait_again_after_any_end() {
        auto long_running = two_steps();
        long_running.spec.steps.resize(1);
        long_running.spec.steps[0].long_running = true;
        apply(long_running);
        std::uint32_t run = 0;
        for (const auto how : {run_end::failed, run_end::failed, run_end::done, run_end::failed}) {
            CPPUNIT_ASSERT(start(0, 0, ++run));
            end(0, 0, run, how);
        }
        CPPUNIT_ASSERT(start(0, 0, ++run));
        CPPUNIT_ASSERT(job_state::active == state());
    }

    void save_and_load_keep_all_state() {
        configuration value;
        value.version = 7;
        value.queues.push_back({"q", "h", "/q/", "p", 3'000, 600, 1, 3, 1.6, false});
        value.pools.push_back({"p", true, false});
        apply(put_configuration{value});
        auto item = two_steps();
        item.spec.steps[0].max_per_worker = 2;
        item.spec.steps[1].long_running = true;
        item.spec.payload = std::string("a\0b", 3);
        apply(item);
        start(0, 0, 1);
        end(0, 0, 1, run_end::stopped);
        start(0, 0, 2);
        apply(put_wave{{4, {"m1", "m2"}, 20'000, 1}});
        apply(mark_upkeep{4, "m1", upkeep_phase::done});
        apply(announce_vm_order{"m1", "n1"});
        job_table loaded;
        CPPUNIT_ASSERT(loaded.load(table_.save()));
        CPPUNIT_ASSERT(loaded.save() == table_.save());
        CPPUNIT_ASSERT(loaded.find_job("j1")->spec == table_.find_job("j1")->spec);
        CPPUNIT_ASSERT_EQUAL(std::string("c"), loaded.find_task({"j1", 0, 0, 0})->checkpoint);
        CPPUNIT_ASSERT_EQUAL(std::string("n1"), loaded.vm_holders().at("m1").node);
        CPPUNIT_ASSERT_EQUAL(1.6, loaded.config().queues[0].stretch);
    }

    void rejects_malformed_bytes() {
        apply(two_steps());
        auto bytes = table_.save();
        CPPUNIT_ASSERT(!job_table().load(bytes.substr(0, bytes.size() - 1)));
        CPPUNIT_ASSERT(!job_table().load(bytes + "x"));
        const auto encoded = encode(command{5, {two_steps(), cancel_job{"j1"}}});
        CPPUNIT_ASSERT(decode_command(encoded).has_value());
        CPPUNIT_ASSERT(!decode_command(encoded.substr(1)).has_value());
        CPPUNIT_ASSERT(!decode_command(encoded.substr(0, encoded.size() - 1)).has_value());
        CPPUNIT_ASSERT(job_table().load(""));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(job_table_test);

} // namespace
