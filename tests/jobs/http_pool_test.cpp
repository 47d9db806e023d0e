// Guards the client of workers and platform against sending what has become wrong while it waited.
#include "control/http_pool.h"
#include "control/http_server.h"

#include <boost/asio/ip/address.hpp>
#include <cppunit/extensions/HelperMacros.h>

namespace {

using namespace clementine;
using namespace clementine::control;

class http_pool_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(http_pool_test);
    CPPUNIT_TEST(request_that_is_no_longer_permitted_is_not_sent);
    CPPUNIT_TEST(request_without_an_answer_times_out);
    CPPUNIT_TEST_SUITE_END();

    boost::asio::io_context loop_{1};
    steady_clock clock_;
    std::shared_ptr<http_server> server_;
    std::shared_ptr<http_pool> pool_;
    std::vector<http_respond> waiting_; // of requests that the server has received
    std::vector<http_result> results_;

    template <class Condition>
    bool wait_for(Condition condition) {
        constexpr time_ms patience{5'000};
        const auto end = clock_.now() + patience;
        while (!condition() && clock_.now() < end)
            loop_.run_for(std::chrono::milliseconds(5));
        return condition();
    }

    void send(time_ms limit, std::function<bool()> may_send = nullptr) {
        pool_->request({"POST", "/order", {}, "{}", std::move(may_send)}, limit,
                       [this](const http_result& result) { results_.push_back(result); });
    }

    void answer_next() {
        waiting_.back()(make_response(boost::beast::http::status::ok, "{}", "application/json"));
    }

  public:
    void setUp() override {
        server_ = std::make_shared<http_server>(
            loop_, http_limits{}, [this](const http_request&, const http_respond& respond) {
                waiting_.push_back(respond);
            });
        CPPUNIT_ASSERT_EQUAL(std::string(),
                             server_->listen({boost::asio::ip::make_address("127.47.0.20"), 0}));
        pool_ = std::make_shared<http_pool>(
            loop_, clock_,
            boost::asio::ip::tcp::endpoint(boost::asio::ip::make_address("127.47.0.20"),
                                           server_->port()),
            1);
    }

    void tearDown() override {
        pool_->stop();
        server_->stop();
        loop_.run_for(std::chrono::milliseconds(50));
    }

    // A leader was frozen with orders in the queue of this pool, and sent one of them 1.4 s after
    // its successor had begun to give orders.
    void request_that_is_no_longer_permitted_is_not_sent() {
        bool leads = true;
        send(3'000);
        send(3'000, [&] { return leads; });
        CPPUNIT_ASSERT(wait_for([&] { return waiting_.size() == 1; }));
        leads = false;
        answer_next();
        CPPUNIT_ASSERT(wait_for([&] { return results_.size() == 2; }));
        CPPUNIT_ASSERT(!results_[0].failure);
        CPPUNIT_ASSERT(results_[1].failure == call_failure::not_sent);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, waiting_.size());
        leads = true;
        send(3'000, [&] { return leads; });
        CPPUNIT_ASSERT(wait_for([&] { return waiting_.size() == 2; }));
    }

    // The limit of a later request may be earlier than that of the one under way before.
    void request_without_an_answer_times_out() {
        send(2'000);
        CPPUNIT_ASSERT(wait_for([&] { return waiting_.size() == 1; }));
        answer_next();
        CPPUNIT_ASSERT(wait_for([&] { return results_.size() == 1; }));
        const auto before = clock_.now();
        send(200);
        CPPUNIT_ASSERT(wait_for([&] { return results_.size() == 2; }));
        CPPUNIT_ASSERT(results_[1].failure == call_failure::timeout);
        CPPUNIT_ASSERT(clock_.now() - before < 1'000);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(http_pool_test);

} // namespace
