// Guards the exchange with workers through other control nodes: every order ends exactly once, a
// lost relay is not taken for a silent worker, and delayed batches are not carried out.
#include "control/announcement_cache.h"
#include "control/order_relays.h"

#include <cppunit/extensions/HelperMacros.h>

#include <map>
#include <set>

namespace {

using namespace clementine;
using namespace clementine::control;
using namespace clementine::workload;

class order_relays_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(order_relays_test);
    CPPUNIT_TEST(workers_are_spread_and_stay_with_their_relay);
    CPPUNIT_TEST(orders_of_one_pass_share_a_batch);
    CPPUNIT_TEST(lost_relay_says_nothing_about_its_workers);
    CPPUNIT_TEST(order_ends_once);
    CPPUNIT_TEST(withdrawn_relay_completes_its_orders);
    CPPUNIT_TEST(unanswered_order_ends_in_time);
    CPPUNIT_TEST(delayed_batch_is_not_recent);
    CPPUNIT_TEST(repeated_announcements_are_not_passed_on);
    CPPUNIT_TEST_SUITE_END();

    std::vector<std::pair<std::string, wire::order_batch>> batches_;
    std::vector<std::pair<order, order_answer>> results_;
    bool link_open_ = true;
    order_relays relays_{
        {.send =
             [this](const std::string& node, const wire::order_batch& batch) {
                 batches_.emplace_back(node, batch);
                 return link_open_;
             },
         .done = [this](const order& value, const order_result& result, time_ms,
                        time_ms) { results_.emplace_back(value, result.answer); }}};

    static order make_start(const std::string& worker) {
        start_order out;
        out.worker.id = worker;
        return out;
    }

    static order make_hold(const std::string& worker) {
        hold_order out;
        out.worker.id = worker;
        return out;
    }

    static wire::result_batch answer(const wire::order_batch& batch) {
        wire::result_batch out;
        const auto orders = decode_relayed_orders(batch.orders);
        CPPUNIT_ASSERT(orders.has_value());
        for (const auto& item : *orders)
            append_encoded(out.results, relayed_result{item.id, order_answer::done, {}});
        return out;
    }

  public:
    void workers_are_spread_and_stay_with_their_relay() {
        CPPUNIT_ASSERT(relays_.relay_of("w1").empty());
        constexpr int nodes = 8;
        constexpr int workers = 1'100;
        for (int i = 0; i < nodes; ++i)
            relays_.observe_offer("n" + std::to_string(i), true);
        std::map<std::string, std::string> before;
        std::map<std::string, int> load;
        for (int i = 0; i < workers; ++i) {
            const auto worker = "w" + std::to_string(i);
            before[worker] = relays_.relay_of(worker);
            ++load[before[worker]];
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{nodes}, load.size());
        for (const auto& [node, count] : load)
            CPPUNIT_ASSERT(count > workers / nodes / 2 && count < workers / nodes * 2);
        relays_.observe_closed("n3", 0);
        for (const auto& [worker, relay] : before)
            CPPUNIT_ASSERT(relays_.relay_of(worker) == relay || relay == "n3");
    }

    void orders_of_one_pass_share_a_batch() {
        relays_.observe_offer("n1", true);
        for (int i = 0; i < 20; ++i)
            relays_.add(make_start("w" + std::to_string(i)), "w" + std::to_string(i), 100);
        CPPUNIT_ASSERT(relays_.has_unsent());
        relays_.flush(3, 105);
        CPPUNIT_ASSERT(!relays_.has_unsent());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, batches_.size());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{3}, batches_[0].second.term);
        CPPUNIT_ASSERT_EQUAL(std::size_t{20},
                             decode_relayed_orders(batches_[0].second.orders)->size());
    }

    // A start whose relay is lost may have been carried out; a hold whose relay is lost does not
    // show that the worker is silent, and nothing was done about an order that was never sent.
    void lost_relay_says_nothing_about_its_workers() {
        relays_.observe_offer("n1", true);
        relays_.add(make_start("w1"), "w1", 100);
        relays_.add(make_hold("w2"), "w2", 100);
        relays_.flush(3, 100);
        relays_.add(make_start("w3"), "w3", 101);
        relays_.observe_closed("n1", 200);
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, results_.size());
        for (const auto& [value, result] : results_) {
            const auto* start = std::get_if<start_order>(&value);
            const bool sent_start = start && start->worker.id == "w1";
            CPPUNIT_ASSERT(result ==
                           (sent_start ? order_answer::no_answer : order_answer::undelivered));
        }
        CPPUNIT_ASSERT(relays_.relay_of("w1").empty());
        link_open_ = false;
        relays_.observe_offer("n1", true);
        relays_.add(make_start("w4"), "w4", 300);
        relays_.flush(3, 300);
        CPPUNIT_ASSERT(results_.back().second == order_answer::undelivered);
    }

    void order_ends_once() {
        relays_.observe_offer("n1", true);
        relays_.add(make_start("w1"), "w1", 100);
        relays_.flush(3, 100);
        const auto reply = answer(batches_[0].second);
        relays_.observe("n1", reply, 110);
        relays_.observe("n1", reply, 120);
        relays_.observe_closed("n1", 130);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, results_.size());
        relays_.observe("n1", {"malformed"}, 140);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, results_.size());
    }

    // A node that shuts down gracefully gets no new orders and still answers those that it has.
    void withdrawn_relay_completes_its_orders() {
        relays_.observe_offer("n1", true);
        relays_.observe_offer("n2", true);
        std::string worker;
        for (int i = 0; worker.empty(); ++i) {
            if (relays_.relay_of("w" + std::to_string(i)) == "n1")
                worker = "w" + std::to_string(i);
        }
        relays_.add(make_start(worker), worker, 100);
        relays_.flush(3, 100);
        relays_.observe_offer("n1", false);
        CPPUNIT_ASSERT(results_.empty());
        CPPUNIT_ASSERT_EQUAL(std::string("n2"), relays_.relay_of(worker));
        relays_.observe("n1", answer(batches_[0].second), 150);
        CPPUNIT_ASSERT(results_.size() == 1 && results_[0].second == order_answer::done);
    }

    void unanswered_order_ends_in_time() {
        relays_.observe_offer("n1", true);
        relays_.add(make_start("w1"), "w1", 100);
        relays_.flush(3, 100);
        relays_.check_deadlines(5'000);
        CPPUNIT_ASSERT(results_.empty());
        relays_.check_deadlines(10'000);
        CPPUNIT_ASSERT(results_.size() == 1 && results_[0].second == order_answer::no_answer);
    }

    // A relay that was frozen finds orders in its socket whose sender may have lost its lease.
    void delayed_batch_is_not_recent() {
        batch_age age;
        CPPUNIT_ASSERT(age.is_recent(1'000, 50'000)); // the clocks differ
        CPPUNIT_ASSERT(age.is_recent(1'100, 50'130));
        CPPUNIT_ASSERT(age.is_recent(1'200, 50'700));
        CPPUNIT_ASSERT(!age.is_recent(1'300, 52'500));
        CPPUNIT_ASSERT(age.is_recent(3'510, 52'512));
    }

    // A worker that drains, restarts, moves or has a new leader is announced to the leader at once.
    void repeated_announcements_are_not_passed_on() {
        announcement_cache cache;
        worker_report report;
        report.worker = {"w1", 17};
        report.pool = "a";
        report.address = "10.0.0.1:80";
        CPPUNIT_ASSERT(!cache.covers(report, 2, 1'000));
        cache.acknowledged(report, 2, 1'000);
        report.sequence = 2;
        CPPUNIT_ASSERT(cache.covers(report, 2, 2'500));
        CPPUNIT_ASSERT(!cache.covers(report, 3, 2'500));
        CPPUNIT_ASSERT(!cache.covers(report, 2, 5'500));
        auto other = report;
        other.draining = true;
        CPPUNIT_ASSERT(!cache.covers(other, 2, 2'500));
        other = report;
        other.worker.started_at = 18;
        CPPUNIT_ASSERT(!cache.covers(other, 2, 2'500));
        other = report;
        other.pool = "b";
        CPPUNIT_ASSERT(!cache.covers(other, 2, 2'500));
        cache.drop_expired(6'000);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, cache.size());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(order_relays_test);

} // namespace
