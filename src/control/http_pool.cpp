#include "control/http_pool.h"

#include <boost/asio/post.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>

#include <algorithm>
#include <chrono>

namespace clementine::control {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

namespace {

// Longest response; a list of 500 ended tasks takes some 60 KB.
constexpr std::uint64_t max_response_bytes = 4U << 20;

std::string to_text(const asio::ip::tcp::endpoint& endpoint) {
    return endpoint.address().to_string() + ":" + std::to_string(endpoint.port());
}

} // namespace

class http_pool::connection : public std::enable_shared_from_this<http_pool::connection> {
  public:
    connection(asio::io_context& loop, std::shared_ptr<http_pool> pool)
        : stream_(loop), pool_(std::move(pool)) {}

    bool busy() const { return static_cast<bool>(done_); }
    bool closed() const { return closed_; }

    void send(waiting item) {
        done_ = std::move(item.done);
        request_ = {};
        request_.version(11);
        request_.method_string(item.call.method);
        request_.target(item.call.target);
        request_.set(http::field::host, to_text(pool_->target_));
        if (!item.call.body.empty())
            request_.set(http::field::content_type, "application/json");
        for (const auto& [name, value] : item.call.headers)
            request_.set(name, value);
        request_.body() = std::move(item.call.body);
        request_.prepare_payload();
        result_ = {};
        result_.sent_at = pool_->clock_.now();
        stream_.expires_after(std::chrono::milliseconds(item.limit));
        if (connected_)
            return write();
        stream_.async_connect(pool_->target_, [self = shared_from_this()](beast::error_code error) {
            if (error)
                return self->fail(call_failure::refused);
            self->handle_connected();
        });
    }

    void stop() {
        closed_ = true;
        stream_.close();
    }

  private:
    void handle_connected() {
        connected_ = true;
        boost::system::error_code ignored;
        stream_.socket().set_option(asio::ip::tcp::no_delay(true), ignored);
        write();
    }

    void write() {
        http::async_write(stream_, request_,
                          [self = shared_from_this()](beast::error_code error, std::size_t) {
                              if (error)
                                  return self->fail(error);
                              self->read();
                          });
    }

    void read() {
        parser_.emplace();
        parser_->body_limit(max_response_bytes);
        http::async_read(stream_, buffer_, *parser_,
                         [self = shared_from_this()](beast::error_code error, std::size_t) {
                             if (error)
                                 return self->fail(error);
                             self->succeed();
                         });
    }

    void succeed() {
        auto response = parser_->release();
        result_.status = response.result_int();
        result_.body = std::move(response.body());
        if (!response.keep_alive())
            stop();
        else
            stream_.expires_never();
        finish();
    }

    void fail(beast::error_code error) {
        fail(error == beast::error::timeout ? call_failure::timeout : call_failure::broken);
    }

    void fail(call_failure reason) {
        result_.failure = pool_->stopped_ ? call_failure::stopped : reason;
        stop();
        finish();
    }

    void finish() {
        result_.received_at = pool_->clock_.now();
        const auto done = std::exchange(done_, nullptr);
        const auto pool = pool_;
        done(std::move(result_));
        pool->dispatch();
    }

    beast::tcp_stream stream_;
    std::shared_ptr<http_pool> pool_;
    beast::flat_buffer buffer_;
    http::request<http::string_body> request_;
    std::optional<http::response_parser<http::string_body>> parser_;
    http_result result_;
    done_handler done_;
    bool connected_ = false;
    bool closed_ = false;
};

http_pool::http_pool(asio::io_context& loop, const clock_source& clock,
                     asio::ip::tcp::endpoint target, std::size_t max_connections)
    : loop_(loop), clock_(clock), target_(std::move(target)), max_connections_(max_connections) {}

http_pool::~http_pool() = default;

void http_pool::request(http_call value, time_ms limit, done_handler done) {
    if (stopped_)
        return asio::post(loop_, [done = std::move(done)] {
            http_result result;
            result.failure = call_failure::stopped;
            done(std::move(result));
        });
    queue_.push_back({std::move(value), limit, std::move(done)});
    dispatch();
}

void http_pool::dispatch() {
    std::erase_if(connections_, [](const auto& item) { return item->closed() && !item->busy(); });
    while (!queue_.empty() && !stopped_) {
        auto free = std::ranges::find_if(
            connections_, [](const auto& item) { return !item->busy() && !item->closed(); });
        if (free == connections_.end()) {
            if (connections_.size() >= max_connections_)
                return;
            connections_.push_back(std::make_shared<connection>(loop_, shared_from_this()));
            free = connections_.end() - 1;
        }
        auto item = std::move(queue_.front());
        queue_.pop_front();
        (*free)->send(std::move(item));
    }
}

void http_pool::stop() {
    if (std::exchange(stopped_, true))
        return;
    for (const auto& item : connections_)
        item->stop();
    for (auto& item : std::exchange(queue_, {})) {
        asio::post(loop_, [done = std::move(item.done)] {
            http_result result;
            result.failure = call_failure::stopped;
            done(std::move(result));
        });
    }
    // Connections hold the pool; idle ones have nothing under way that would release them.
    std::erase_if(connections_, [](const auto& item) { return !item->busy(); });
}

} // namespace clementine::control
