// Tests the batching of operations into log entries: no batch exceeds an entry, order is kept, and
// every group gets one outcome.
#include "control/proposal_queue.h"

#include <cppunit/extensions/HelperMacros.h>

namespace {

using namespace clementine;
using namespace clementine::control;
using namespace clementine::workload;

constexpr std::size_t entry_bytes = 200;

class proposal_queue_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(proposal_queue_test);
    CPPUNIT_TEST(one_batch_exceeds_a_log_entry);
    CPPUNIT_TEST(group_is_spread_over_entries);
    CPPUNIT_TEST(lost_part_loses_the_group_once);
    CPPUNIT_TEST(operation_larger_than_an_entry_is_rejected);
    CPPUNIT_TEST(refused_entry_stays_queued);
    CPPUNIT_TEST_SUITE_END();

    proposal_queue queue_{entry_bytes};
    std::vector<command_outcome> outcomes_;

    static operation cancel(std::size_t id_bytes) { return cancel_job{std::string(id_bytes, 'x')}; }
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

    void operation_larger_than_an_entry_is_rejected() {
        CPPUNIT_ASSERT(!push({cancel(20), cancel(entry_bytes)}));
        CPPUNIT_ASSERT(queue_.empty());
        CPPUNIT_ASSERT(push({cancel(20)}));
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
