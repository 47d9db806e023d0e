// Guards queries at a replica against answers from a state older than what the caller was told.
#include "control/replica_reads.h"

#include <cppunit/extensions/HelperMacros.h>

namespace {

using namespace clementine;
using namespace clementine::control;

class replica_reads_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(replica_reads_test);
    CPPUNIT_TEST(query_waits_for_what_the_leader_has_acknowledged);
    CPPUNIT_TEST(later_queries_need_a_request_of_their_own);
    CPPUNIT_TEST(unanswered_queries_are_declined);
    CPPUNIT_TEST_SUITE_END();

    std::vector<std::uint64_t> answered_;
    std::vector<std::uint64_t> declined_;
    replica_reads reads_{
        {.answer = [this](const wire::call& request,
                          const replica_reads::reply_handler&) { answered_.push_back(request.id); },
         .decline =
             [this](const wire::call& request, const replica_reads::reply_handler&) {
                 declined_.push_back(request.id);
             }}};

    void add(std::uint64_t id) {
        wire::call request;
        request.id = id;
        reads_.add({request, [](const wire::call_reply&) {}});
    }

  public:
    void query_waits_for_what_the_leader_has_acknowledged() {
        CPPUNIT_ASSERT(!reads_.next_request(0));
        add(1);
        const auto sequence = reads_.next_request(0);
        CPPUNIT_ASSERT(sequence.has_value());
        reads_.answer(50); // the leader has not answered
        CPPUNIT_ASSERT(answered_.empty());
        reads_.observe({*sequence, 60});
        reads_.answer(59);
        CPPUNIT_ASSERT(answered_.empty());
        reads_.answer(60);
        CPPUNIT_ASSERT(answered_ == std::vector<std::uint64_t>{1});
    }

    // The leader may have acknowledged something between its answer and a later query.
    void later_queries_need_a_request_of_their_own() {
        add(1);
        const auto first = reads_.next_request(0);
        add(2);
        CPPUNIT_ASSERT(!reads_.next_request(1));
        reads_.observe({*first, 60});
        reads_.answer(60);
        CPPUNIT_ASSERT(answered_ == std::vector<std::uint64_t>{1});
        const auto second = reads_.next_request(2);
        CPPUNIT_ASSERT(second && *second != *first);
        reads_.observe({*first, 60}); // late
        reads_.answer(70);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, answered_.size());
        reads_.observe({*second, 65});
        reads_.answer(70);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, answered_.size());
    }

    void unanswered_queries_are_declined() {
        add(1);
        const auto first = reads_.next_request(0);
        reads_.check_deadline(50);
        CPPUNIT_ASSERT(declined_.empty());
        reads_.check_deadline(200);
        CPPUNIT_ASSERT(declined_ == std::vector<std::uint64_t>{1});
        reads_.observe({*first, 5});
        reads_.answer(9);
        CPPUNIT_ASSERT(answered_.empty());
        add(2);
        const auto second = reads_.next_request(210);
        reads_.observe({*second, 0}); // not the leader
        CPPUNIT_ASSERT(declined_.back() == 2);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, reads_.size());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(replica_reads_test);

} // namespace
