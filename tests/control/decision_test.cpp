// Guards against decisions that take effect before they are committed, jobs that run twice,
// maintenance that continues after a leader restart, and missing explanations for operators.
#include "control/cluster.h"
#include "control/decision_loop.h"
#include "scheduler/codec.h"
#include "store/codec.h"
#include "support/fake_platform.h"

#include <cppunit/extensions/HelperMacros.h>

#include <condition_variable>

namespace {

using namespace clementine;
using namespace clementine::control;

constexpr const char* fleet_manifest = R"([fleet]
availability-zones = az-1, az-2
vms = 8
vms-per-rack = 1
[service a]
hosts = a.example
pool = front
min-available = 1
[workspace default]
[pool front]
size = 4
[pool spare]
size = 4
spare = yes
max-lent = 4
[team one]
quota-cores = 64
[job once]
team = one
pool = spare
kind = at-most-once
[job again]
team = one
pool = spare
)";

// Runs a single replica whose decision rounds are driven by the test.
class decision_fixture {
  public:
    explicit decision_fixture(const std::string& name) : folder_(fresh_folder(name)) {
        const auto parsed = manifest::parse_manifest(fleet_manifest);
        CPPUNIT_ASSERT(parsed.ok());
        platform_ = std::make_unique<scheduler::fake_platform>(
            scheduler::make_state(parsed.value), 1, scheduler::fake_platform_options{},
            [](scheduler::job_id) {
                scheduler::job_behavior out;
                out.run_time = 4'000;
                return out;
            });
        start(true);
    }

    // Starts the replica again on the same folder, as after a crash.
    void start(bool first_start) {
        host_.reset(); // first, because its thread uses the loop
        loop_.reset();
        host_settings settings;
        settings.node = "control-1";
        settings.cluster = "test";
        settings.folder = folder_;
        settings.replicas = {"control-1"};
        settings.first_start = first_start;
        replica_host::callbacks callbacks;
        callbacks.send = [](const std::string&, const consensus::message&) {};
        callbacks.manifest_changed = [](const store::manifest_version&) {};
        callbacks.failed = [](const std::string& reason) { CPPUNIT_FAIL(reason); };
        host_ = std::make_unique<replica_host>(settings, files_, clock_, callbacks);
        CPPUNIT_ASSERT_EQUAL(std::string(), host_->start());
        loop_ = std::make_unique<decision_loop>(*host_, *platform_, virtual_clock_, [] {
            return std::vector<routing::service_demand>{};
        });
        CPPUNIT_ASSERT(eventually([this] { return host_->status().holds_lease; }));
    }

    // Runs rounds in virtual time until the replicated state meets the condition.
    bool run_until(const std::function<bool(const scheduler::state&)>& condition) {
        constexpr int max_rounds = 400;
        for (int i = 0; i < max_rounds; ++i) {
            virtual_clock_.advance(decision_interval);
            platform_->advance(virtual_clock_.now());
            loop_->start_round();
            // This read completes after the round and the decisions that it proposed.
            bool done = false;
            read([&](const store::state& state) { done = state.fleet && condition(*state.fleet); });
            if (done)
                return true;
        }
        return false;
    }

    void read(const std::function<void(const store::state&)>& handler) {
        std::mutex mutex;
        std::condition_variable answered;
        bool done = false;
        host_->read([&](const store::state* state, host_refusal) {
            if (state != nullptr)
                handler(*state);
            std::lock_guard lock(mutex);
            done = true;
            answered.notify_all();
        });
        std::unique_lock lock(mutex);
        answered.wait(lock, [&] { return done; });
    }

    void apply_manifest(std::uint64_t base, const std::string& text) {
        std::atomic<bool> applied = false;
        host_->propose(store::set_manifest{"m" + std::to_string(base), base, text, 1},
                       [&](const propose_outcome&) { applied = true; });
        CPPUNIT_ASSERT(eventually([&] { return applied.load(); }));
    }

    decision_loop& loop() { return *loop_; }
    scheduler::fake_platform& platform() { return *platform_; }

  private:
    std::string folder_;
    steady_clock clock_;
    manual_clock virtual_clock_{1'000};
    consensus::posix_file_system files_;
    std::unique_ptr<scheduler::fake_platform> platform_;
    std::unique_ptr<decision_loop> loop_;
    std::unique_ptr<replica_host> host_;
};

bool all_jobs_ended(const scheduler::state& fleet) {
    return fleet.jobs.size() == 2 && fleet.ended.size() == 2;
}

class decision_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(decision_test);
    CPPUNIT_TEST(jobs_of_the_manifest_run_once);
    CPPUNIT_TEST(restart_runs_no_job_twice);
    CPPUNIT_TEST(explains_vms_pools_and_jobs);
    CPPUNIT_TEST(decisions_of_a_round_exceed_a_log_entry);
    CPPUNIT_TEST_SUITE_END();

  public:
    void jobs_of_the_manifest_run_once() {
        decision_fixture fixture("decisions-once");
        fixture.platform().expect_at_most_once(1);
        fixture.apply_manifest(0, fleet_manifest);
        CPPUNIT_ASSERT(fixture.run_until(all_jobs_ended));
        CPPUNIT_ASSERT_EQUAL(0, fixture.platform().violations().total());
        CPPUNIT_ASSERT(fixture.loop().counters().decisions.load() >= 4);
    }

    void restart_runs_no_job_twice() {
        decision_fixture fixture("decisions-restart");
        fixture.platform().expect_at_most_once(1);
        fixture.apply_manifest(0, fleet_manifest);
        CPPUNIT_ASSERT(fixture.run_until(
            [](const scheduler::state& fleet) { return fleet.active.size() == 2; }));
        fixture.start(false);
        CPPUNIT_ASSERT(fixture.run_until(all_jobs_ended));
        CPPUNIT_ASSERT_EQUAL(0, fixture.platform().violations().total());
    }

    void explains_vms_pools_and_jobs() {
        decision_fixture fixture("decisions-explain");
        fixture.apply_manifest(0, fleet_manifest);
        CPPUNIT_ASSERT(fixture.run_until(all_jobs_ended));
        fixture.read([&](const store::state& state) {
            CPPUNIT_ASSERT(!fixture.loop().explain_vm(state, 0).empty());
            CPPUNIT_ASSERT(!fixture.loop().explain_pool(state, 0).empty());
            const auto job = fixture.loop().explain_job(state, 1);
            CPPUNIT_ASSERT(job.find("succeeded") != std::string::npos);
        });
    }

    // A round that concerned most VMs of a large fleet exceeded a log entry, was refused, and was
    // made again in each later round.
    void decisions_of_a_round_exceed_a_log_entry() {
        constexpr scheduler::vm_id vms = 20'000;
        std::vector<scheduler::decision> decisions;
        for (scheduler::vm_id id = 0; id < vms; ++id)
            decisions.push_back({scheduler::begin_maintenance{id}, "in its window", 1});
        std::size_t committed = 0;
        while (!decisions.empty()) {
            const auto entry = first_decisions(decisions, consensus::max_entry_bytes / 2);
            CPPUNIT_ASSERT(store::encode(entry).size() <= consensus::max_entry_bytes);
            CPPUNIT_ASSERT(!entry.decisions.empty());
            CPPUNIT_ASSERT_EQUAL(scheduler::encode_decision(decisions.front()),
                                 entry.decisions.front());
            committed += entry.decisions.size();
            decisions.erase(decisions.begin(), decisions.begin() + static_cast<std::ptrdiff_t>(
                                                                       entry.decisions.size()));
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{vms}, committed);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(decision_test);

} // namespace
