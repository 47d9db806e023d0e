// Tests for lost updates, resends that are applied twice, and replicas that diverge.
#include "base/random.h"
#include "store/codec.h"
#include "store/state_machine.h"

#include <cppunit/extensions/HelperMacros.h>

namespace {

using namespace clementine;
using namespace clementine::store;

constexpr time_ms day = 24 * 3'600'000;

std::string encode_set_manifest(const std::string& id, std::uint64_t base, const std::string& text,
                                time_ms time = 1) {
    return encode(command{set_manifest{id, base, text, time}});
}

class state_machine_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(state_machine_test);
    CPPUNIT_TEST(second_change_on_the_same_base_conflicts);
    CPPUNIT_TEST(resend_gets_first_result_also_after_snapshot);
    CPPUNIT_TEST(request_id_with_other_content_is_refused);
    CPPUNIT_TEST(request_ids_are_kept_by_count_and_age);
    CPPUNIT_TEST(request_table_is_bounded);
    CPPUNIT_TEST(leader_time_never_decreases);
    CPPUNIT_TEST(history_keeps_the_last_thousand_versions);
    CPPUNIT_TEST(maintenance_mode_survives_a_snapshot);
    CPPUNIT_TEST(malformed_input_changes_nothing);
    CPPUNIT_TEST(replicas_agree_after_snapshot_at_any_point);
    CPPUNIT_TEST_SUITE_END();

  public:
    void second_change_on_the_same_base_conflicts() {
        state_machine machine;
        CPPUNIT_ASSERT(machine.apply(encode_set_manifest("a", 0, "x")) ==
                       apply_result{accepted{1}});
        const apply_result conflict = version_conflict{1, "a"};
        CPPUNIT_ASSERT(machine.apply(encode_set_manifest("b", 0, "y")) == conflict);
        CPPUNIT_ASSERT_EQUAL(std::string("x"), machine.current().manifest.text);
        CPPUNIT_ASSERT(machine.apply(encode_set_manifest("c", 1, "z")) ==
                       apply_result{accepted{2}});
        // A resend of the rejected change gets its first result, not a conflict with the newer
        // version.
        CPPUNIT_ASSERT(machine.apply(encode_set_manifest("b", 0, "y")) == conflict);
    }

    void resend_gets_first_result_also_after_snapshot() {
        state_machine machine;
        machine.apply(encode_set_manifest("a", 0, "x"));
        machine.apply(encode_set_manifest("b", 1, "y"));
        state_machine restored;
        CPPUNIT_ASSERT(restored.load(machine.save()));
        CPPUNIT_ASSERT(restored.apply(encode_set_manifest("a", 0, "x", 99)) ==
                       apply_result{accepted{1}});
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, restored.current().manifest.version);
    }

    void request_id_with_other_content_is_refused() {
        state_machine machine;
        machine.apply(encode_set_manifest("a", 0, "x"));
        CPPUNIT_ASSERT(machine.apply(encode_set_manifest("a", 0, "y")) ==
                       apply_result{request_id_reused{}});
        CPPUNIT_ASSERT(machine.apply(encode_set_manifest("a", 1, "x")) ==
                       apply_result{request_id_reused{}});
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, machine.current().manifest.version);
    }

    void request_ids_are_kept_by_count_and_age() {
        state_machine machine;
        const auto total = min_request_records + 100;
        for (std::size_t i = 0; i < total; ++i)
            machine.apply(encode_set_manifest(std::to_string(i), i, "x", 1));
        // All are younger than a day.
        CPPUNIT_ASSERT_EQUAL(total, machine.current().requests.size());
        machine.apply(encode_set_manifest("late", 0, "x", day + 2));
        CPPUNIT_ASSERT_EQUAL(min_request_records + 1, machine.current().requests.size());
        // The last 10,000 ids are "late" and "101" to "10099".
        CPPUNIT_ASSERT(machine.apply(encode_set_manifest("101", 101, "x", day + 2)) ==
                       apply_result{accepted{102}});
    }

    void request_table_is_bounded() {
        state_machine machine;
        for (std::size_t i = 0; i < max_request_records; ++i)
            machine.apply(encode_set_manifest(std::to_string(i), i, "x", 1));
        CPPUNIT_ASSERT(machine.apply(encode_set_manifest("more", 0, "x", 1)) ==
                       apply_result{too_many_requests{}});
        CPPUNIT_ASSERT(machine.apply(encode_set_manifest("0", 0, "x", 1)) ==
                       apply_result{accepted{1}});
    }

    // The clock of a new leader may lag; records must not get an earlier time than their
    // predecessors.
    void leader_time_never_decreases() {
        state_machine machine;
        machine.apply(encode_set_manifest("a", 0, "x", 1'000));
        machine.apply(encode_set_manifest("b", 1, "x", 500));
        CPPUNIT_ASSERT_EQUAL(time_ms{1'000}, machine.current().history.back().accepted_at);
    }

    void history_keeps_the_last_thousand_versions() {
        state_machine machine;
        for (std::uint64_t i = 0; i < 1'500; ++i)
            machine.apply(encode_set_manifest(std::to_string(i), i, "x"));
        CPPUNIT_ASSERT_EQUAL(max_history_records, machine.current().history.size());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{501}, machine.current().history.front().version);
    }

    void maintenance_mode_survives_a_snapshot() {
        state_machine machine;
        const auto pause = encode(command{set_maintenance{"m", maintenance_mode::paused, 5}});
        CPPUNIT_ASSERT(machine.apply(pause) == apply_result{done{}});
        CPPUNIT_ASSERT(machine.apply(pause) == apply_result{done{}});
        state_machine restored;
        CPPUNIT_ASSERT(restored.load(machine.save()));
        CPPUNIT_ASSERT(restored.current().maintenance.mode == maintenance_mode::paused);
    }

    void malformed_input_changes_nothing() {
        state_machine machine;
        machine.apply(encode_set_manifest("a", 0, "x"));
        const auto before = machine.save();
        CPPUNIT_ASSERT(machine.apply("") == apply_result{unknown_command{}});
        CPPUNIT_ASSERT(machine.apply("nonsense") == apply_result{unknown_command{}});
        CPPUNIT_ASSERT(!machine.load("nonsense"));
        CPPUNIT_ASSERT_EQUAL(before, machine.save());
    }

    void replicas_agree_after_snapshot_at_any_point() {
        for (std::uint64_t seed = 1; seed <= 20; ++seed) {
            random_source random(seed);
            state_machine first;
            state_machine second;
            for (int i = 0; i < 300; ++i) {
                const auto id = std::to_string(random.below(200));
                const auto base = first.current().manifest.version - random.below(2);
                const auto data =
                    encode_set_manifest(id, base, "text " + std::to_string(random.below(3)),
                                        static_cast<time_ms>(random.below(10'000)));
                CPPUNIT_ASSERT(first.apply(data) == second.apply(data));
                if (random.chance(0.05)) {
                    state_machine restored;
                    CPPUNIT_ASSERT(restored.load(second.save()));
                    second = restored;
                }
            }
            CPPUNIT_ASSERT_EQUAL(first.save(), second.save());
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(state_machine_test);

} // namespace
