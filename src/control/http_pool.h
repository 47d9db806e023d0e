// HTTP/1.1 client for one address: a pool of persistent connections without pipelining.
#pragma once

#include "base/clock.h"
#include "control/connection_limit.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <chrono>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace clementine::control {

// An outgoing request. The Host and Content-Length headers are added automatically.
struct http_call {
    std::string method;
    std::string target;
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body; // JSON if not empty
    // Called right before sending; the request ends as `not_sent` if this returns false. Optional.
    std::function<bool()> may_send = nullptr;
    urgency kind = urgency::start; // among the pools that wait for a connection
};

// Why a request got no response.
enum class call_failure {
    not_sent,        // no connection in time, or not permitted: the request was not sent
    refused,         // nothing listens at the address: the request was not sent
    timeout,         // may have been executed
    connection_lost, // closed before the response: may have been executed
    stopped
};

struct http_result {
    std::optional<call_failure> failure; // empty if there is a response
    unsigned status = 0;
    std::string body;
    time_ms sent_at{0};
    time_ms received_at{0};
};

class http_pool : public std::enable_shared_from_this<http_pool> {
  public:
    using done_handler = std::function<void(http_result)>;

    // `limit` is shared with other pools; null for none.
    http_pool(boost::asio::io_context& loop, const clock_source& clock,
              boost::asio::ip::tcp::endpoint target, std::size_t max_connections,
              std::shared_ptr<connection_limit> limit = nullptr);
    http_pool(const http_pool&) = delete;
    http_pool& operator=(const http_pool&) = delete;
    ~http_pool();

    // Sends a request once a connection is free. The request ends as `timeout` once the server has
    // been silent for `limit`; the time in the queue and delays of this process do not count.
    // `done` is called exactly once, on the loop.
    void request(http_call value, time_ms limit, done_handler done);
    // Closes connections that have been idle since before `unused_since`, at most `count` of them.
    // Returns the number of those closed.
    std::size_t close_idle(time_ms unused_since, std::size_t count = SIZE_MAX);
    std::size_t idle_connections() const;
    // Closes all connections; open requests end as `stopped`.
    void stop();

  private:
    class connection;
    struct queued_request {
        http_call call;
        time_ms limit{0};
        done_handler done;
    };

    using timer =
        boost::asio::basic_waitable_timer<std::chrono::steady_clock,
                                          boost::asio::wait_traits<std::chrono::steady_clock>,
                                          boost::asio::io_context::executor_type>;

    void dispatch();
    std::shared_ptr<connection> open_connection();
    void wait_for_connection();
    void retry_without_descriptors();
    void arm_deadline_timer();

    boost::asio::io_context& loop_;
    const clock_source& clock_;
    boost::asio::ip::tcp::endpoint target_;
    std::size_t max_connections_;
    std::shared_ptr<connection_limit> limit_;
    bool waiting_for_limit_ = false;
    std::vector<std::shared_ptr<connection>> connections_;
    std::deque<queued_request> queue_;
    // One timer for all connections, armed only while a request is open.
    timer deadline_timer_;
    timer retry_timer_;
    std::optional<time_ms> armed_until_;
    bool stopped_ = false;
};

} // namespace clementine::control
