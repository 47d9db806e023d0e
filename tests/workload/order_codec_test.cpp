// Guards the orders and results that pass through relays against loss of a field and against
// malformed bytes.
#include "workload/order_codec.h"

#include <cppunit/extensions/HelperMacros.h>

namespace {

using namespace clementine;
using namespace clementine::workload;

class order_codec_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(order_codec_test);
    CPPUNIT_TEST(orders_keep_all_fields);
    CPPUNIT_TEST(results_keep_all_fields);
    CPPUNIT_TEST(cut_or_changed_bytes_are_rejected);
    CPPUNIT_TEST_SUITE_END();

    static std::string encoded_orders() {
        std::string out;
        append_encoded(out, relayed_order{1, start_order{{"w1", 17},
                                                         "10.0.0.1:80",
                                                         {"j", 1, 2, 3},
                                                         4,
                                                         "payload",
                                                         9'000,
                                                         7,
                                                         "saved",
                                                         "t"}});
        append_encoded(out, relayed_order{2, stop_order{{"w2", 18}, "a", {"k", 0, 0, 9}, 5, 8}});
        append_encoded(out, relayed_order{3, hold_order{{"w3", 19}, "b", 9, 44, 12'345, 1'200}});
        append_encoded(out, relayed_order{4, hold_order{{"w3", 19}, "b", 9, 45, {}, 0}});
        append_encoded(out,
                       relayed_order{5, pace_order{{"w4", 20}, "c", {"l", 0, 1, 2}, 6, 35, 10}});
        return out;
    }

    static std::string encoded_results() {
        std::string out;
        relayed_result value;
        value.id = 77;
        value.answer = order_answer::done;
        value.lists.clock = 4'711;
        value.lists.running.push_back({{"j", 1, 2, 3}, 4, "saved", 41, 250});
        value.lists.ended.push_back({12, {"k", 0, 0, 1}, 2, run_end::broken, "kept"});
        append_encoded(out, value);
        append_encoded(out, relayed_result{78, order_answer::other_life, {}, 1'700'000'000'123});
        append_encoded(out, relayed_result{79, order_answer::undelivered, {}, 0});
        return out;
    }

  public:
    void orders_keep_all_fields() {
        const auto decoded = decode_relayed_orders(encoded_orders());
        CPPUNIT_ASSERT(decoded && decoded->size() == 5);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, decoded->front().id);
        const auto& start = std::get<start_order>((*decoded)[0].value);
        CPPUNIT_ASSERT(start.worker == (worker_ref{"w1", 17}));
        CPPUNIT_ASSERT_EQUAL(std::string("10.0.0.1:80"), start.address);
        CPPUNIT_ASSERT(start.task == (task_id{"j", 1, 2, 3}));
        CPPUNIT_ASSERT_EQUAL(4U, start.run);
        CPPUNIT_ASSERT_EQUAL(std::string("payload"), start.payload);
        CPPUNIT_ASSERT_EQUAL(time_ms{9'000}, start.lease_until);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{7}, start.fence);
        CPPUNIT_ASSERT_EQUAL(std::string("saved"), start.checkpoint);
        CPPUNIT_ASSERT_EQUAL(std::string("t"), start.ticket);
        const auto& stop = std::get<stop_order>((*decoded)[1].value);
        CPPUNIT_ASSERT(stop.run == 5 && stop.fence == 8 && stop.task.index == 9);
        const auto& hold = std::get<hold_order>((*decoded)[2].value);
        CPPUNIT_ASSERT(hold.last_seen == 44 && hold.lease_until == time_ms{12'345} &&
                       hold.wait == 1'200 && hold.fence == 9);
        CPPUNIT_ASSERT(!std::get<hold_order>((*decoded)[3].value).lease_until);
        const auto& pace = std::get<pace_order>((*decoded)[4].value);
        CPPUNIT_ASSERT(pace.percent == 35 && pace.run == 6 && pace.fence == 10);
    }

    void results_keep_all_fields() {
        const auto decoded = decode_relayed_results(encoded_results());
        CPPUNIT_ASSERT(decoded && decoded->size() == 3);
        const auto& first = decoded->front();
        CPPUNIT_ASSERT(first.id == 77 && first.answer == order_answer::done);
        CPPUNIT_ASSERT_EQUAL(time_ms{4'711}, first.lists.clock);
        const auto& running = first.lists.running.front();
        CPPUNIT_ASSERT(running.task == (task_id{"j", 1, 2, 3}) && running.run == 4 &&
                       running.checkpoint == "saved" && running.percent == 41 &&
                       running.load == 250);
        const auto& ended = first.lists.ended.front();
        CPPUNIT_ASSERT(ended.number == 12 && ended.task == (task_id{"k", 0, 0, 1}) &&
                       ended.run == 2 && ended.how == run_end::broken &&
                       ended.checkpoint == "kept");
        CPPUNIT_ASSERT((*decoded)[1].answer == order_answer::other_life &&
                       (*decoded)[1].next_life == 1'700'000'000'123);
        CPPUNIT_ASSERT(first.next_life == 0 && decoded->back().next_life == 0);
        CPPUNIT_ASSERT(decoded->back().answer == order_answer::undelivered);
    }

    void cut_or_changed_bytes_are_rejected() {
        const auto orders = encoded_orders();
        const auto results = encoded_results();
        for (std::size_t size = 1; size < orders.size(); ++size) {
            const auto decoded = decode_relayed_orders(orders.substr(0, size));
            CPPUNIT_ASSERT(!decoded || decoded->size() < 5);
        }
        for (std::size_t size = 1; size < results.size(); ++size) {
            const auto decoded = decode_relayed_results(results.substr(0, size));
            CPPUNIT_ASSERT(!decoded || decoded->size() < 3);
        }
        auto unknown_kind = orders;
        unknown_kind[8] = 9;
        CPPUNIT_ASSERT(!decode_relayed_orders(unknown_kind));
        auto unknown_answer = results;
        unknown_answer[8] = 99;
        CPPUNIT_ASSERT(!decode_relayed_results(unknown_answer));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(order_codec_test);

} // namespace
