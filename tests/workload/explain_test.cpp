// Tests that the explanation of a placement matches the decisions that follow, names what holds a
// job back, and changes nothing.
#include "workload/fake_fleet.h"
#include "workload/share_load.h"

#include <cppunit/extensions/HelperMacros.h>

namespace {

using namespace clementine;
using namespace clementine::workload;

std::string id_of(int number) {
    return std::to_string(1'000'000'000 + number);
}

job_spec random_job(random_source& random) {
    job_spec out;
    for (int i = 0; i < 2; ++i) {
        auto step =
            make_step(1 + random.below(6), random.between(1, 9) * 500, random.between(300, 1'500));
        step.max_per_worker = random.chance(0.2) ? 2 : 0;
        step.gang = random.chance(0.2);
        out.steps.push_back(std::move(step));
    }
    return out;
}

placement_explanation explain(fake_fleet& fleet, const std::string& queue,
                              const std::string& workspace, const job_spec& spec) {
    const auto& config = fleet.table().config();
    return fleet.control().explain(*config.find_queue(queue), config.find_workspace(workspace),
                                   spec, 0, fleet.now());
}

std::size_t count_of(const exclusion_counts& counts, exclusion why) {
    return counts.at(static_cast<std::size_t>(why));
}

class explain_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(explain_test);
    CPPUNIT_TEST(explained_decisions_are_made);
    CPPUNIT_TEST(explanation_changes_no_decision);
    CPPUNIT_TEST(cap_and_share_are_named);
    CPPUNIT_TEST(every_exclusion_is_counted);
    CPPUNIT_TEST_SUITE_END();

    // Two workspaces overload both pools; one has a cap. Returns what the jobs came to.
    static std::string run_load(fake_fleet& fleet, std::uint64_t seed, int jobs, bool explains) {
        random_source random(seed * 3'571);
        fleet.set_workspaces({make_workspace("x", 12'000, 2), make_workspace("y", 0, 4)});
        fleet.run_for(3'000);
        std::string out;
        for (int i = 0; i < jobs; ++i) {
            const auto spec = random_job(random);
            const auto* const queue = random.chance(0.7) ? "qa" : "qb";
            const auto* const workspace = random.chance(0.5) ? "x" : "y";
            if (explains)
                explain(fleet, queue, workspace, spec);
            out += fleet.submit(queue, id_of(i), spec, workspace) ? '+' : '-';
            fleet.run_for(random.between(5, 60));
        }
        for (const auto& [id, item] : fleet.table().jobs())
            out += ' ' + id + ':' + std::to_string(item.ended_at);
        const auto& counters = fleet.control().counters();
        return out + ' ' + std::to_string(counters.starts) + ' ' +
               std::to_string(counters.candidates_checked) + ' ' +
               std::to_string(counters.placement_searches);
    }

  public:
    // An explanation that used other rules than the decisions would send operators to wrong causes.
    void explained_decisions_are_made() {
        int accepted = 0;
        int refused = 0;
        std::size_t placed = 0;
        for (std::uint64_t seed = 1; seed <= 60; ++seed) {
            fleet_options options;
            options.seed = seed;
            fake_fleet fleet(options);
            run_load(fleet, seed, static_cast<int>(seed) / 2, false);
            fleet.run_for(static_cast<time_ms>(seed % 4) * 700); // more or less full
            random_source random(seed);
            // Jobs that the next round places before it, or behind it.
            for (int i = 0; i < 3; ++i)
                fleet.submit("qa", id_of(400 + i), random_job(random), i % 2 == 0 ? "x" : "y");
            const auto spec = random_job(random);
            const auto* const workspace = seed % 2 == 0 ? "x" : "y";
            const auto known = explain(fleet, "qa", workspace, spec);
            const auto id = id_of(500);
            const auto message = "seed " + std::to_string(seed);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(message, known.decision.accepted,
                                         fleet.submit("qa", id, spec, workspace));
            ++(known.decision.accepted ? accepted : refused);
            if (!known.decision.accepted) {
                CPPUNIT_ASSERT_MESSAGE(message,
                                       known.decision.reason == refusal::over_cap ||
                                           known.decision.wait.total > known.decision.wait.allowed);
                continue;
            }
            std::map<std::pair<std::uint32_t, std::string>, std::uint32_t> expected;
            for (const auto& step : known.steps) {
                for (const auto& [worker, tasks] : step.chosen)
                    expected[{step.step, worker}] = tasks;
                CPPUNIT_ASSERT_EQUAL_MESSAGE(message, step.tasks,
                                             step.placed + step.held_by_cap + step.without_room);
            }
            std::map<std::pair<std::uint32_t, std::string>, std::uint32_t> started;
            for (const auto& item : fleet.control().decide(fleet.now(), fleet.now()).log) {
                const auto* start = std::get_if<start_run>(&item);
                if (start && start->task.job == id)
                    ++started[{start->task.step, start->worker.id}];
            }
            CPPUNIT_ASSERT_MESSAGE(message, expected == started);
            placed += started.size();
        }
        CPPUNIT_ASSERT_MESSAGE(std::to_string(accepted) + " accepted, " + std::to_string(refused) +
                                   " refused, " + std::to_string(placed) + " placed",
                               accepted > 10 && refused > 10 && placed > 10);
    }

    // An explanation that took a paid token, or left a task proposed, would change later decisions.
    void explanation_changes_no_decision() {
        for (std::uint64_t seed = 1; seed <= 10; ++seed) {
            fleet_options options;
            options.seed = seed;
            fake_fleet plain(options);
            fake_fleet explained(options);
            CPPUNIT_ASSERT_EQUAL(run_load(plain, seed, 100, false),
                                 run_load(explained, seed, 100, true));
        }
    }

    // "All is refused" has its cause in the workspace or in the pool; both looked alike.
    void cap_and_share_are_named() {
        fleet_options options;
        options.pools = {{"a", 30}};
        options.vm_orders = false;
        fake_fleet fleet(options);
        fleet.set_workspaces({make_workspace("x", 4'000), make_workspace("y", 0)});
        fleet.run_for(3'000);
        job_spec spec;
        spec.steps = {make_step(8, 1'000, 2'000)};
        const auto waiting = explain(fleet, "qa", "x", spec);
        CPPUNIT_ASSERT(waiting.decision.accepted);
        CPPUNIT_ASSERT_EQUAL(4U, waiting.steps.at(0).placed);
        CPPUNIT_ASSERT_EQUAL(4U, waiting.steps.at(0).held_by_cap);
        CPPUNIT_ASSERT(fleet.submit("qa", id_of(1), spec, "x"));
        fleet.run_for(200);
        const auto capped = explain(fleet, "qa", "x", spec);
        CPPUNIT_ASSERT_EQUAL(std::int64_t{4'000}, capped.use.cpu);
        CPPUNIT_ASSERT_EQUAL(8U, capped.steps.at(0).held_by_cap);
        CPPUNIT_ASSERT(capped.decision.wait.cap > capped.decision.wait.pool_work);
        CPPUNIT_ASSERT(capped.share_ratio > 0 && waiting.share_ratio == 0);
        CPPUNIT_ASSERT_EQUAL(std::size_t{30}, capped.workers);
        spec.steps = {make_step(1, 4'500, 500)};
        CPPUNIT_ASSERT(explain(fleet, "qa", "x", spec).decision.reason == refusal::over_cap);
        // The answer is bounded, whatever the job has.
        spec.steps.assign(25, make_step(4, 9'000, 500));
        const auto wide = explain(fleet, "qa", "y", spec);
        CPPUNIT_ASSERT_EQUAL(max_explained_steps, wide.steps.size());
        CPPUNIT_ASSERT_EQUAL(std::size_t{5}, wide.omitted_steps);
        std::size_t named = 0;
        std::size_t placed = 0;
        for (const auto& step : wide.steps) {
            named += step.chosen.size();
            placed += step.placed;
        }
        CPPUNIT_ASSERT_EQUAL(max_named_workers, named);
        CPPUNIT_ASSERT_EQUAL(std::size_t{30}, placed);
    }

    // A worker that is left out for a reason without a count would go missing in the answer.
    void every_exclusion_is_counted() {
        constexpr time_ms now{1'000};
        auto step = make_step(1, 1'000, 500);
        step.required_label = "fast";
        step.max_per_worker = 1;
        std::vector<worker> items(exclusion_names.size());
        for (auto& item : items) {
            item.capacity = {4'000, 8'000, 0};
            item.kind = "fast";
            item.reported = item.contacted = true;
        }
        const auto with = [&](exclusion why) -> worker& {
            return items.at(static_cast<std::size_t>(why));
        };
        with(exclusion::draining).draining = true;
        with(exclusion::leaving).leaving = true;
        with(exclusion::reserved).reserved = true;
        with(exclusion::silent).hold_unanswered = true;
        with(exclusion::quarantined).health.quarantined_until = now + 1;
        with(exclusion::on_probation).health.on_probation = true;
        live_run run;
        run.task = {"other", 0, 0, 0};
        with(exclusion::on_probation).add(run);
        with(exclusion::no_room).used.cpu = 3'500;
        with(exclusion::upkeep_room).kept_room.cpu = 3'500;
        with(exclusion::label).kind = "slow";
        with(exclusion::forgets_ends).former_acknowledgement_at = now;
        run.task = {"job", 0, 0, 1};
        with(exclusion::max_per_worker).add(run);
        candidate_pool open;
        std::vector<const worker*> workers;
        for (auto& item : items) {
            workers.push_back(&item);
            if (&item != &with(exclusion::reservation))
                open.workers.push_back(&item);
        }
        placement_request request;
        request.step = &step;
        request.job = "job";
        const auto counts = count_exclusions(workers, open, request, now);
        for (std::size_t i = 0; i < counts.size(); ++i)
            CPPUNIT_ASSERT_EQUAL_MESSAGE(std::string(exclusion_names.at(i)), std::size_t{1},
                                         count_of(counts, static_cast<exclusion>(i)));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(explain_test);

} // namespace
