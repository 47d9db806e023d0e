// Guards the HTTP client for workers and platform against sending a queued request that is no
// longer permitted, and against a wrong timeout.
#include "control/http_pool.h"
#include "control/http_server.h"
#include "support/descriptor_shortage.h"

#include <boost/asio/ip/address.hpp>
#include <boost/asio/write.hpp>
#include <cppunit/extensions/HelperMacros.h>

#include <optional>
#include <thread>

namespace {

using namespace clementine;
using namespace clementine::control;

class http_pool_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(http_pool_test);
    CPPUNIT_TEST(request_no_longer_permitted_is_not_sent);
    CPPUNIT_TEST(request_without_response_times_out);
    CPPUNIT_TEST(late_connect_handler_is_taken_for_a_silent_server);
    CPPUNIT_TEST(response_read_in_parts_is_taken_for_a_silent_server);
    CPPUNIT_TEST(response_that_stops_midway_times_out);
    CPPUNIT_TEST(connection_that_hangs_is_not_refused);
    CPPUNIT_TEST(request_lacks_or_repeats_header);
    CPPUNIT_TEST(pools_exceed_their_common_limit);
    CPPUNIT_TEST(start_goes_before_a_lease);
    CPPUNIT_TEST(idle_connection_of_another_pool_blocks_a_request);
    CPPUNIT_TEST(request_without_descriptors_fails_as_refused);
    CPPUNIT_TEST_SUITE_END();

    boost::asio::io_context loop_{1};
    steady_clock clock_;
    std::shared_ptr<http_server> server_;
    std::shared_ptr<http_pool> pool_;
    std::optional<boost::asio::ip::tcp::acceptor> acceptor_;
    std::vector<http_respond> pending_responses_; // to requests that the server has received
    std::vector<http_result> results_;

    template <class Condition>
    bool wait_for(Condition condition) {
        constexpr time_ms wait_timeout{5'000};
        const auto end = clock_.now() + wait_timeout;
        while (!condition() && clock_.now() < end)
            loop_.run_for(std::chrono::milliseconds(5));
        return condition();
    }

    void send(time_ms limit, std::function<bool()> may_send = nullptr) {
        pool_->request({"POST", "/order", {}, "{}", std::move(may_send)}, limit,
                       [this](const http_result& result) { results_.push_back(result); });
    }

    // Replaces the server by a socket that the test reads and writes itself.
    void use_raw_server() {
        acceptor_.emplace(
            loop_, boost::asio::ip::tcp::endpoint(boost::asio::ip::make_address("127.47.0.20"), 0));
        pool_->stop();
        pool_ = std::make_shared<http_pool>(loop_, clock_, acceptor_->local_endpoint(), 1);
    }

    // Accepts the connection of the client and waits for its request.
    boost::asio::ip::tcp::socket accept_request() {
        auto peer = acceptor_->accept();
        CPPUNIT_ASSERT(wait_for([&] { return peer.available() > 0; }));
        return peer;
    }

    static void write(boost::asio::ip::tcp::socket& peer, const std::string& bytes) {
        boost::asio::write(peer, boost::asio::buffer(bytes));
    }

    static void delay_process(time_ms duration) {
        std::this_thread::sleep_for(std::chrono::milliseconds(duration));
    }

    void respond_to_last() {
        pending_responses_.back()(
            make_response(boost::beast::http::status::ok, "{}", "application/json"));
    }

  public:
    void setUp() override {
        server_ = std::make_shared<http_server>(
            loop_, http_limits{}, [this](const http_request&, const http_respond& respond) {
                pending_responses_.push_back(respond);
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

    // A leader was suspended with orders in the queue of its pool, and sent one of them 1.4 s after
    // the next leader had started to send orders.
    void request_no_longer_permitted_is_not_sent() {
        bool is_leader = true;
        send(3'000);
        send(3'000, [&] { return is_leader; });
        CPPUNIT_ASSERT(wait_for([&] { return pending_responses_.size() == 1; }));
        is_leader = false;
        respond_to_last();
        CPPUNIT_ASSERT(wait_for([&] { return results_.size() == 2; }));
        CPPUNIT_ASSERT(!results_[0].failure);
        CPPUNIT_ASSERT(results_[1].failure == call_failure::not_sent);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, pending_responses_.size());
        is_leader = true;
        send(3'000, [&] { return is_leader; });
        CPPUNIT_ASSERT(wait_for([&] { return pending_responses_.size() == 2; }));
    }

    // A later request may have an earlier deadline than the request sent ahead of it.
    void request_without_response_times_out() {
        send(2'000);
        CPPUNIT_ASSERT(wait_for([&] { return pending_responses_.size() == 1; }));
        respond_to_last();
        CPPUNIT_ASSERT(wait_for([&] { return results_.size() == 1; }));
        const auto sent_at = clock_.now();
        send(200);
        CPPUNIT_ASSERT(wait_for([&] { return results_.size() == 2; }));
        CPPUNIT_ASSERT(results_[1].failure == call_failure::timeout);
        CPPUNIT_ASSERT(clock_.now() - sent_at < 1'000);
    }

    // A leader short of processor time closed connections that had been accepted at once, took the
    // VM list for unavailable and moved no VM for six seconds.
    void late_connect_handler_is_taken_for_a_silent_server() {
        use_raw_server();
        send(100);
        delay_process(150);
        loop_.poll();
        auto peer = accept_request();
        write(peer, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}");
        CPPUNIT_ASSERT(wait_for([&] { return results_.size() == 1; }));
        CPPUNIT_ASSERT(!results_[0].failure);
    }

    // As above, for a response that takes several reads.
    void response_read_in_parts_is_taken_for_a_silent_server() {
        use_raw_server();
        send(100);
        auto peer = accept_request();
        write(peer, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n");
        for (const auto* part : {"a", "b", "c", "d"}) {
            loop_.poll();
            delay_process(60);
            write(peer, part);
        }
        CPPUNIT_ASSERT(wait_for([&] { return results_.size() == 1; }));
        CPPUNIT_ASSERT(!results_[0].failure);
        CPPUNIT_ASSERT_EQUAL(std::string("abcd"), results_[0].body);
    }

    // A connection may go silent in the middle of a response.
    void response_that_stops_midway_times_out() {
        use_raw_server();
        send(100);
        auto peer = accept_request();
        write(peer, "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n{");
        const auto written_at = clock_.now();
        CPPUNIT_ASSERT(wait_for([&] { return results_.size() == 1; }));
        CPPUNIT_ASSERT(results_[0].failure == call_failure::timeout);
        CPPUNIT_ASSERT(clock_.now() - written_at < 1'000);
    }

    // A host that is cut off lets connections hang; one without the process refuses them. Only the
    // second shows that the process has ended.
    void connection_that_hangs_is_not_refused() {
        use_raw_server();
        acceptor_->listen(0);
        // Fills the queue of connections to accept, so that further ones hang.
        std::vector<boost::asio::ip::tcp::socket> queued;
        for (int i = 0; i < 4; ++i) {
            queued.emplace_back(loop_).async_connect(acceptor_->local_endpoint(),
                                                     [](boost::system::error_code) {});
            loop_.run_for(std::chrono::milliseconds(5));
        }
        send(100);
        CPPUNIT_ASSERT(wait_for([&] { return results_.size() == 1; }));
        CPPUNIT_ASSERT(results_[0].failure == call_failure::not_sent);
        queued.clear();
        acceptor_->close();
        send(2'000);
        CPPUNIT_ASSERT(wait_for([&] { return results_.size() == 2; }));
        CPPUNIT_ASSERT(results_[1].failure == call_failure::refused);
    }

    // A server refuses a request without its length or the target instance, or with two hosts.
    void request_lacks_or_repeats_header() {
        use_raw_server();
        const auto host = "Host: 127.47.0.20:" + std::to_string(acceptor_->local_endpoint().port());
        const std::vector<std::pair<http_call, std::string>> calls{
            {{"POST", "/order", {{"Instance", "w1"}}, "{\"run\":1}"},
             "POST /order HTTP/1.1\r\n" + host +
                 "\r\nContent-Type: application/json\r\nInstance: w1\r\n"
                 "Content-Length: 9\r\n\r\n{\"run\":1}"},
            {{"POST", "/order", {}, ""},
             "POST /order HTTP/1.1\r\n" + host + "\r\nContent-Length: 0\r\n\r\n"},
            {{"POST", "/job", {{"host", "h"}, {"Content-Type", "text/plain"}}, "x"},
             "POST /job HTTP/1.1\r\nhost: h\r\nContent-Type: text/plain\r\n"
             "Content-Length: 1\r\n\r\nx"},
            {{"GET", "/list?page=a", {}, ""}, "GET /list?page=a HTTP/1.1\r\n" + host + "\r\n\r\n"}};
        std::optional<boost::asio::ip::tcp::socket> peer;
        for (const auto& item : calls) {
            const auto& expected = item.second;
            const auto answered = results_.size();
            pool_->request(item.first, 2'000,
                           [this](const http_result& result) { results_.push_back(result); });
            if (!peer)
                peer.emplace(acceptor_->accept());
            CPPUNIT_ASSERT(wait_for([&] { return peer->available() >= expected.size(); }));
            std::string received(peer->available(), '\0');
            peer->receive(boost::asio::buffer(received));
            CPPUNIT_ASSERT_EQUAL(expected, received);
            write(*peer, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
            CPPUNIT_ASSERT(wait_for([&] { return results_.size() > answered; }));
        }
    }

    std::shared_ptr<http_pool> make_pool(const std::shared_ptr<connection_limit>& limit) {
        return std::make_shared<http_pool>(
            loop_, clock_,
            boost::asio::ip::tcp::endpoint(boost::asio::ip::make_address("127.47.0.20"),
                                           server_->port()),
            4, limit);
    }

    void send(http_pool& pool, std::string target, urgency kind = urgency::start) {
        http_call call{"POST", std::move(target), {}, "{}"};
        call.kind = kind;
        pool.request(std::move(call), 3'000,
                     [this](const http_result& result) { results_.push_back(result); });
    }

    // Pools to a thousand workers opened five connections each, which no limit of the process
    // allowed.
    void pools_exceed_their_common_limit() {
        auto limit = std::make_shared<connection_limit>(3);
        std::vector<std::shared_ptr<http_pool>> pools;
        for (int i = 0; i < 4; ++i) {
            pools.push_back(make_pool(limit));
            send(*pools.back(), "/a");
            send(*pools.back(), "/b");
        }
        CPPUNIT_ASSERT(wait_for([&] { return pending_responses_.size() == 3; }));
        loop_.run_for(std::chrono::milliseconds(50));
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, pending_responses_.size());
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, limit->open());
        for (std::size_t answered = 0; answered < 8; ++answered) {
            CPPUNIT_ASSERT(wait_for([&] { return pending_responses_.size() > answered; }));
            pending_responses_[answered](
                make_response(boost::beast::http::status::ok, "{}", "application/json"));
            CPPUNIT_ASSERT(wait_for([&] { return results_.size() > answered; }));
            // An idle connection is of no use to the other pools.
            for (const auto& pool : pools)
                pool->close_idle(clock_.now());
        }
        for (const auto& result : results_)
            CPPUNIT_ASSERT(!result.failure);
        for (const auto& pool : pools)
            pool->stop();
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, limit->open());
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, limit->take_peak());
    }

    // A lease that is not extended ends running work, so it must not wait behind new starts.
    void start_goes_before_a_lease() {
        connection_limit limit(1);
        std::vector<int> order;
        CPPUNIT_ASSERT(limit.try_acquire());
        limit.wait(urgency::start, [&] { order.push_back(1); });
        limit.wait(urgency::start, [&] { order.push_back(2); });
        limit.wait(urgency::lease, [&] { order.push_back(3); });
        for (int i = 0; i < 3; ++i) {
            limit.release();
            CPPUNIT_ASSERT(limit.try_acquire());
        }
        CPPUNIT_ASSERT(order == (std::vector<int>{3, 1, 2}));
    }

    // Connections kept for later must not hold up a request that needs one now.
    void idle_connection_of_another_pool_blocks_a_request() {
        std::shared_ptr<http_pool> idle;
        auto limit = std::make_shared<connection_limit>(
            1, [&] { return idle && idle->close_idle(clock_.now(), 1) > 0; });
        idle = make_pool(limit);
        send(*idle, "/a");
        CPPUNIT_ASSERT(wait_for([&] { return pending_responses_.size() == 1; }));
        respond_to_last();
        CPPUNIT_ASSERT(wait_for([&] { return results_.size() == 1; }));
        auto other = make_pool(limit);
        send(*other, "/b");
        CPPUNIT_ASSERT(wait_for([&] { return pending_responses_.size() == 2; }));
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, idle->idle_connections());
        other->stop();
        idle->stop();
    }

    // The request was reported as refused by the worker, which then counted as silent.
    void request_without_descriptors_fails_as_refused() {
        {
            descriptor_shortage shortage;
            send(3'000);
            loop_.run_for(std::chrono::milliseconds(100));
            CPPUNIT_ASSERT(results_.empty());
        }
        CPPUNIT_ASSERT(wait_for([&] { return pending_responses_.size() == 1; }));
        respond_to_last();
        CPPUNIT_ASSERT(wait_for([&] { return results_.size() == 1; }));
        CPPUNIT_ASSERT(!results_[0].failure);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(http_pool_test);

} // namespace
