// Guards against replicas that diverge because the encoding of a decision or snapshot omits a
// member, and against manifest changes that leave VMs without a home or submit a job twice.
#include "scheduler/codec.h"
#include "scheduler/reconfigure.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>

namespace {

using namespace clementine;
using namespace clementine::scheduler;

constexpr std::string_view small_manifest = R"([fleet]
availability-zones = az-1, az-2
vms = 12
vms-per-rack = 2
[service a]
hosts = a.example
pool = front
min-available = 2
[workspace default]
[pool front]
size = 4
[pool back]
size = 4
[pool spare]
size = 4
spare = yes
max-lent = 4
[team one]
quota-cores = 64
[job nightly]
team = one
pool = spare
kind = at-most-once
)";

manifest::manifest parse_or_fail(std::string text) {
    const auto parsed = manifest::parse_manifest(text);
    for (const auto& fault : parsed.faults)
        CPPUNIT_FAIL(format_fault("manifest", fault));
    return parsed.value;
}

std::string replace_once(std::string text, const std::string& from, const std::string& to) {
    const auto at = text.find(from);
    CPPUNIT_ASSERT(at != std::string::npos);
    return text.replace(at, from.size(), to);
}

std::size_t home_count(const state& s, const std::string& pool) {
    return static_cast<std::size_t>(std::ranges::count_if(
        s.vms, [&](const vm_record& vm) { return s.pools[vm.home].name == pool; }));
}

class codec_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(codec_test);
    CPPUNIT_TEST(decisions_round_trip);
    CPPUNIT_TEST(state_round_trips);
    CPPUNIT_TEST(malformed_bytes_are_rejected);
    CPPUNIT_TEST(resized_pools_get_matching_home_counts);
    CPPUNIT_TEST(new_vms_start_in_the_spare_pool);
    CPPUNIT_TEST(manifest_jobs_are_submitted_once_and_cancelled_on_removal);
    CPPUNIT_TEST(unsupported_changes_are_reported);
    CPPUNIT_TEST_SUITE_END();

  public:
    void decisions_round_trip() {
        const std::vector<action> actions{
            begin_move{3, 1, 2, false},
            confirm_empty{4},
            reassign_vm{5, 6, 7},
            cancel_move{8},
            hold_buffer{9},
            submit_job{1, 2, job_kind::at_most_once, true, {4, 5, 6}, 7},
            request_cancel{10},
            start_job{11, 12, 13, 14, true},
            preempt_job{15, 16},
            throttle_job{17, 18, 19},
            requeue_job{20, 21, 22, true},
            end_job{23, 24, job_outcome::unknown},
            quarantine_worker{25},
            probe_worker{26, 27},
            readmit_worker{28},
            begin_maintenance{29},
            reboot_vm{30},
            finish_maintenance{31},
            mark_overdue{32},
            halt_maintenance{33},
            resume_maintenance{no_pool}};
        CPPUNIT_ASSERT_EQUAL(std::variant_size_v<action>, actions.size());
        for (const auto& what : actions) {
            const decision sent{what, "reason with blanks", 77};
            const auto received = decode_decision(encode_decision(sent));
            CPPUNIT_ASSERT(received.has_value());
            CPPUNIT_ASSERT_EQUAL(format_action(what), format_action(received->what));
            CPPUNIT_ASSERT_EQUAL(sent.reason, received->reason);
            CPPUNIT_ASSERT_EQUAL(sent.at, received->at);
            // The text omits some members, so the encoded bytes must match as well.
            CPPUNIT_ASSERT_EQUAL(encode_decision(sent), encode_decision(*received));
        }
    }

    void state_round_trips() {
        auto s = make_state(parse_or_fail(std::string(small_manifest)));
        reconfigure(s, parse_or_fail(std::string(small_manifest)), 1, 5);
        apply(s, {begin_move{0, s.vms[0].pool, s.spare, true}, "test", 6}, 2);
        apply(s, {start_job{1, 1, 11, 3, false}, "test", 7}, 3);
        const auto bytes = encode_state(s);
        const auto loaded = decode_state(bytes);
        CPPUNIT_ASSERT(loaded.has_value());
        CPPUNIT_ASSERT_EQUAL(bytes, encode_state(*loaded));
        CPPUNIT_ASSERT(loaded->vms[0].activity == vm_activity::draining);
        CPPUNIT_ASSERT(loaded->find_job(1) != nullptr);
        CPPUNIT_ASSERT(loaded->active.contains(1));
    }

    void malformed_bytes_are_rejected() {
        const auto bytes = encode_decision({start_job{1, 2, 3, 4, true}, "r", 5});
        CPPUNIT_ASSERT(!decode_decision("").has_value());
        CPPUNIT_ASSERT(!decode_decision("1 99 x").has_value());
        CPPUNIT_ASSERT(!decode_decision(bytes.substr(0, bytes.size() / 2)).has_value());
        CPPUNIT_ASSERT(!decode_state("1 4000000000").has_value());
        CPPUNIT_ASSERT(!decode_state("9 0").has_value());
    }

    void resized_pools_get_matching_home_counts() {
        auto s = make_state(parse_or_fail(std::string(small_manifest)));
        auto text = replace_once(std::string(small_manifest), "[pool front]\nsize = 4",
                                 "[pool front]\nsize = 6");
        text = replace_once(text, "[pool back]\nsize = 4", "[pool back]\nsize = 1");
        text = replace_once(text, "[pool spare]\nsize = 4", "[pool spare]\nsize = 5");
        reconfigure(s, parse_or_fail(text), 1, 0);
        CPPUNIT_ASSERT_EQUAL(std::size_t{6}, home_count(s, "front"));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, home_count(s, "back"));
        CPPUNIT_ASSERT_EQUAL(std::size_t{5}, home_count(s, "spare"));
        // Only homes change here. The pool planner moves the VMs later, with drains.
        CPPUNIT_ASSERT_EQUAL(std::size_t{4}, s.pools[0].members.size());
    }

    void new_vms_start_in_the_spare_pool() {
        auto s = make_state(parse_or_fail(std::string(small_manifest)));
        reconfigure(
            s, parse_or_fail(replace_once(std::string(small_manifest), "vms = 12", "vms = 20")), 1,
            0);
        CPPUNIT_ASSERT_EQUAL(std::size_t{20}, s.vms.size());
        CPPUNIT_ASSERT_EQUAL(std::size_t{12}, s.pools[s.spare].members.size());
        std::size_t members = 0;
        for (const auto& pool : s.pools)
            members += pool.members.size();
        CPPUNIT_ASSERT_EQUAL(s.vms.size(), members);
    }

    void manifest_jobs_are_submitted_once_and_cancelled_on_removal() {
        const auto with_job = parse_or_fail(std::string(small_manifest));
        auto s = make_state(with_job);
        reconfigure(s, with_job, 1, 0);
        reconfigure(s, with_job, 2, 0);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, s.jobs.size());
        const auto at = small_manifest.find("[job");
        reconfigure(s, parse_or_fail(std::string(small_manifest.substr(0, at))), 3, 0);
        CPPUNIT_ASSERT(s.jobs.begin()->second.outcome == job_outcome::cancelled);
        // A removed name that is added again is a new job.
        reconfigure(s, with_job, 4, 0);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, s.jobs.size());
    }

    void unsupported_changes_are_reported() {
        const auto s = make_state(parse_or_fail(std::string(small_manifest)));
        CPPUNIT_ASSERT(unsupported_changes(s, parse_or_fail(std::string(small_manifest))).empty());
        const auto fewer = replace_once(
            replace_once(std::string(small_manifest), "vms = 12", "vms = 10"),
            "size = 4\nspare = yes\nmax-lent = 4", "size = 2\nspare = yes\nmax-lent = 2");
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, unsupported_changes(s, parse_or_fail(fewer)).size());
        const auto racks =
            replace_once(std::string(small_manifest), "vms-per-rack = 2", "vms-per-rack = 3");
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, unsupported_changes(s, parse_or_fail(racks)).size());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(codec_test);

} // namespace
