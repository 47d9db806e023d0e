// Tests the batching of operations into log entries: no batch exceeds an entry, order is kept, and
// every group gets one outcome.
#include "control/proposal_queue.h"

#include <cppunit/extensions/HelperMacros.h>

namespace {

using namespace clementine;
using namespace clementine::control;
using namespace clementine::workload;

constexpr std::size_t entry_bytes = 200;
constexpr std::size_t operation_bytes = 1'000;

class proposal_queue_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(proposal_queue_test);
    CPPUNIT_TEST(one_batch_exceeds_a_log_entry);
    CPPUNIT_TEST(group_is_spread_over_entries);
    CPPUNIT_TEST(lost_part_loses_the_group_once);
    CPPUNIT_TEST(operation_above_its_limit_is_rejected);
    CPPUNIT_TEST(operation_larger_than_an_entry_is_refused);
    CPPUNIT_TEST(operation_without_its_first_part_takes_effect);
    CPPUNIT_TEST(refused_entry_stays_queued);
    CPPUNIT_TEST_SUITE_END();

    proposal_queue queue_{entry_bytes, operation_bytes};
    std::vector<command_outcome> outcomes_;

    static operation cancel(std::size_t id_bytes) { return cancel_job{std::string(id_bytes, 'x')}; }
    // An operation that has no effect.
    static operation rejected() { return mark_upkeep{9, "no such wave", upkeep_phase::done}; }
    bool push(std::vector<operation> operations) {
        return queue_.push(operations,
                           [this](const command_outcome& result) { outcomes_.push_back(result); });
    }
    std::size_t operations_in(const std::string& entry) {
        CPPUNIT_ASSERT(entry.size() <= entry_bytes);
        const auto decoded = decode_command(entry);
        CPPUNIT_ASSERT(decoded.has_value());
        return decoded->operations.size();
    }

  public:
    void one_batch_exceeds_a_log_entry() {
        CPPUNIT_ASSERT(push({cancel(120)}));
        CPPUNIT_ASSERT(push({cancel(120)}));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, operations_in(queue_.next_entry(5)));
        const auto first = queue_.pop();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, operations_in(queue_.next_entry(6)));
        const auto second = queue_.pop();
        CPPUNIT_ASSERT(queue_.empty());
        first(std::vector<bool>{true});
        second(std::vector<bool>{false});
        CPPUNIT_ASSERT(outcomes_.size() == 2 && outcomes_[0]->front() && !outcomes_[1]->front());
    }

    void group_is_spread_over_entries() {
        CPPUNIT_ASSERT(push({cancel(70), cancel(71), cancel(72)}));
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, operations_in(queue_.next_entry(5)));
        const auto first = queue_.pop();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, operations_in(queue_.next_entry(5)));
        const auto second = queue_.pop();
        first(std::vector<bool>{true, false});
        CPPUNIT_ASSERT(outcomes_.empty());
        second(std::vector<bool>{true});
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, outcomes_.size());
        CPPUNIT_ASSERT(*outcomes_[0] == (std::vector<bool>{true, false, true}));
    }

    void lost_part_loses_the_group_once() {
        CPPUNIT_ASSERT(push({cancel(70), cancel(71), cancel(72)}));
        CPPUNIT_ASSERT(push({cancel(20)}));
        queue_.next_entry(5);
        const auto first = queue_.pop();
        queue_.next_entry(5);
        const auto second = queue_.pop();
        first(std::nullopt);
        second(std::vector<bool>{true, false});
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, outcomes_.size());
        CPPUNIT_ASSERT(!outcomes_[0].has_value());
        CPPUNIT_ASSERT(*outcomes_[1] == std::vector<bool>{false});
    }

    void operation_above_its_limit_is_rejected() {
        CPPUNIT_ASSERT(!push({cancel(20), cancel(operation_bytes)}));
        CPPUNIT_ASSERT(queue_.empty());
        CPPUNIT_ASSERT(push({cancel(20)}));
    }

    // All queued operations as the entries that are logged. Every entry keeps to its limit.
    std::vector<std::string> logged_entries(std::vector<proposal_queue::done_handler>& handlers) {
        std::vector<std::string> out;
        while (!queue_.empty()) {
            out.push_back(queue_.next_entry(5));
            operations_in(out.back());
            handlers.push_back(queue_.pop());
        }
        return out;
    }

    static put_configuration large_configuration() {
        configuration value;
        value.version = 3;
        for (char c = 'a'; c <= 'z'; ++c)
            value.document += std::string(20, c);
        return {value};
    }

    // A configuration larger than an entry was refused for good. Replicas apply it with its last
    // part, also one that loads the state between two parts.
    void operation_larger_than_an_entry_is_refused() {
        CPPUNIT_ASSERT(push({rejected(), large_configuration(), rejected()}));
        std::vector<proposal_queue::done_handler> handlers;
        const auto entries = logged_entries(handlers);
        CPPUNIT_ASSERT(entries.size() > 2);
        job_table table;
        for (std::size_t i = 0; i < entries.size(); ++i) {
            CPPUNIT_ASSERT(outcomes_.empty());
            CPPUNIT_ASSERT_EQUAL(std::string(), table.config().document);
            const auto value = table.read_entry(entries[i], 7);
            CPPUNIT_ASSERT(value.has_value());
            handlers[i](table.apply(*value, 7));
            job_table other;
            CPPUNIT_ASSERT(other.load(table.save()));
            CPPUNIT_ASSERT_EQUAL(table.save(), other.save());
            table.load(other.save());
        }
        CPPUNIT_ASSERT_EQUAL(large_configuration().value.document, table.config().document);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, outcomes_.size());
        CPPUNIT_ASSERT(*outcomes_[0] == (std::vector<bool>{false, true, false}));
    }

    // The first part was lost with its leader, or follows parts of an earlier leader.
    void operation_without_its_first_part_takes_effect() {
        CPPUNIT_ASSERT(push({large_configuration()}));
        std::vector<proposal_queue::done_handler> handlers;
        const auto entries = logged_entries(handlers);
        job_table table;
        std::vector<bool> result;
        for (std::size_t i = 0; i < entries.size(); ++i) {
            const std::uint64_t term = i == 0 ? 7 : 8;
            result = table.apply(*table.read_entry(entries[i], term), term);
        }
        CPPUNIT_ASSERT(result == std::vector<bool>{false});
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, table.config().version);
        for (const auto& entry : entries)
            result = table.apply(*table.read_entry(entry, 8), 8);
        CPPUNIT_ASSERT(result == std::vector<bool>{true});
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{3}, table.config().version);
    }

    void refused_entry_stays_queued() {
        CPPUNIT_ASSERT(push({cancel(20)}));
        const auto refused = queue_.next_entry(5);
        CPPUNIT_ASSERT_EQUAL(refused, queue_.next_entry(5));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, operations_in(refused));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(proposal_queue_test);

} // namespace
