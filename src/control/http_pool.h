// HTTP/1.1 client of one address: a few kept connections, one request at a time on each.
#pragma once

#include "base/clock.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <chrono>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace clementine::control {

// A request to another system. The Host and Content-Length headers are added.
struct http_call {
    std::string method;
    std::string target;
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body; // JSON if not empty
    // Asked when the request is about to leave; if false, it ends as `not_sent`. Empty: always.
    std::function<bool()> may_send = nullptr;
};

// Why there is no response.
enum class call_failure {
    not_sent,        // no connection was made: the request has not been sent
    timeout,         // sent, perhaps carried out
    connection_lost, // the connection ended before the response: perhaps carried out
    stopped
};

struct http_result {
    std::optional<call_failure> failure; // nothing: there is a response
    unsigned status = 0;
    std::string body;
    time_ms sent_at{0};
    time_ms received_at{0};
};

class http_pool : public std::enable_shared_from_this<http_pool> {
  public:
    using done_handler = std::function<void(http_result)>;

    http_pool(boost::asio::io_context& loop, const clock_source& clock,
              boost::asio::ip::tcp::endpoint target, std::size_t max_connections);
    http_pool(const http_pool&) = delete;
    http_pool& operator=(const http_pool&) = delete;
    ~http_pool();

    // Sends a request once a connection is free. The time limit covers connecting and the exchange
    // but not the wait in the queue. `done` is called exactly once, from the loop.
    void request(http_call value, time_ms limit, done_handler done);
    // Closes all connections; requests under way end as `stopped`.
    void stop();

  private:
    class connection;
    struct waiting {
        http_call call;
        time_ms limit{0};
        done_handler done;
    };

    using timer =
        boost::asio::basic_waitable_timer<std::chrono::steady_clock,
                                          boost::asio::wait_traits<std::chrono::steady_clock>,
                                          boost::asio::io_context::executor_type>;

    void dispatch();
    void watch_deadlines();

    boost::asio::io_context& loop_;
    const clock_source& clock_;
    boost::asio::ip::tcp::endpoint target_;
    std::size_t max_connections_;
    std::vector<std::shared_ptr<connection>> connections_;
    std::deque<waiting> queue_;
    // One timer for all connections, armed only while a request is under way.
    timer deadline_timer_;
    std::optional<time_ms> watched_until_;
    bool stopped_ = false;
};

} // namespace clementine::control
