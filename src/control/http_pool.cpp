#include "control/http_pool.h"

#include "base/log.h"

#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>

#include <algorithm>
#include <chrono>
#include <initializer_list>
#include <poll.h>
#include <string_view>

namespace clementine::control {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

namespace {

// Upper bound of a response body; a list of 500 ended tasks takes about 60 KB.
constexpr std::uint64_t max_response_bytes = 4U << 20;

// A server that has answered is waited for this long beyond the time limit, while this process is
// late to read the answer.
constexpr time_ms max_own_delay{5'000};
// Interval at which such an answer is looked for again.
constexpr time_ms overdue_check_interval{20};
// Pause after the process found no descriptor left for a connection.
constexpr time_ms no_descriptor_pause{50};

std::string to_host_header(const asio::ip::tcp::endpoint& endpoint) {
    return endpoint.address().to_string() + ":" + std::to_string(endpoint.port());
}

bool has_header(const http_call& call, std::string_view name) {
    return std::ranges::any_of(
        call.headers, [&](const auto& header) { return beast::iequals(header.first, name); });
}

} // namespace

// Uses concrete executor and socket types and sends a request in one write: with hundreds of
// workers, these exchanges take most of the leader's CPU time.
class http_pool::connection : public std::enable_shared_from_this<http_pool::connection> {
  public:
    // Counts towards the limit of the pool, if it has one, until it is closed.
    connection(asio::io_context& loop, std::shared_ptr<http_pool> pool)
        : socket_(loop.get_executor()), pool_(std::move(pool)), open_connections_(pool_->limit_),
          host_header_(to_host_header(pool_->target_)) {}
    connection(const connection&) = delete;
    connection& operator=(const connection&) = delete;
    ~connection() { stop(); }

    // Returns false if the process has no descriptor left.
    bool open_socket() {
        boost::system::error_code error;
        socket_.open(pool_->target_.protocol(), error);
        return !error;
    }

    bool busy() const { return static_cast<bool>(done_); }
    bool closed() const { return closed_; }
    time_ms deadline() const { return deadline_; }
    time_ms idle_since() const { return result_.received_at; } // if not busy

    void send(queued_request item) {
        done_ = std::move(item.done);
        may_send_ = std::move(item.call.may_send);
        serialize(item.call);
        result_ = {};
        result_.sent_at = pool_->clock_.now();
        limit_ = item.limit;
        last_deadline_ = result_.sent_at + limit_ + max_own_delay;
        restart_deadline();
        timed_out_ = false;
        if (connected_)
            return write();
        socket_.async_connect(pool_->target_, [self = shared_from_this()](beast::error_code error) {
            if (!error)
                return self->handle_connected();
            self->fail(error == asio::error::connection_refused ? call_failure::refused
                                                                : call_failure::not_sent);
        });
    }

    void stop() {
        if (std::exchange(closed_, true))
            return;
        boost::system::error_code ignored;
        socket_.close(ignored);
        if (open_connections_)
            open_connections_->release();
    }

    // Closes the connection if the server was silent until the deadline. An event that this process
    // has not handled yet shows that it was not.
    void check_deadline(time_ms now) {
        if (now < last_deadline_ && has_unhandled_event()) {
            deadline_ = now + overdue_check_interval;
            return;
        }
        timed_out_ = true;
        stop();
    }

  private:
    // Writes the few header lines directly: orders are a large part of what the leader sends.
    void serialize(const http_call& call) {
        const auto add = [this](std::initializer_list<std::string_view> parts) {
            for (const auto part : parts)
                request_bytes_ += part;
        };
        request_bytes_.clear();
        add({call.method, " ", call.target, " HTTP/1.1\r\n"});
        if (!has_header(call, "Host"))
            add({"Host: ", host_header_, "\r\n"});
        if (!call.body.empty() && !has_header(call, "Content-Type"))
            add({"Content-Type: application/json\r\n"});
        for (const auto& [name, value] : call.headers)
            add({name, ": ", value, "\r\n"});
        if (!call.body.empty() || call.method == "POST" || call.method == "PUT")
            add({"Content-Length: ", std::to_string(call.body.size()), "\r\n"});
        add({"\r\n", call.body});
    }

    // Restarts the time that the server has for its next answer: a response that is read in parts
    // by a process short of processor time takes long without any silence of the server.
    void restart_deadline() { deadline_ = std::min(pool_->clock_.now() + limit_, last_deadline_); }

    bool has_unhandled_event() {
        const short awaited = connected_ && !writing_ ? POLLIN : POLLIN | POLLOUT;
        pollfd state{socket_.native_handle(), awaited, 0};
        return ::poll(&state, 1, 0) > 0;
    }

    void handle_connected() {
        connected_ = true;
        restart_deadline();
        boost::system::error_code ignored;
        socket_.set_option(asio::ip::tcp::no_delay(true), ignored);
        socket_.non_blocking(true, ignored);
        write();
    }

    // Tries a synchronous write first: it nearly always succeeds and saves a loop iteration.
    void write() {
        if (may_send_ && !may_send_()) {
            asio::post(socket_.get_executor(),
                       [self = shared_from_this()] { self->fail(call_failure::not_sent); });
            return;
        }
        boost::system::error_code error;
        const auto written = socket_.write_some(asio::buffer(request_bytes_), error);
        if (!error && written == request_bytes_.size())
            return read();
        if (error && error != asio::error::would_block) {
            asio::post(socket_.get_executor(),
                       [self = shared_from_this(), error] { self->fail(error); });
            return;
        }
        writing_ = true;
        asio::async_write(socket_, asio::buffer(request_bytes_) + written,
                          [self = shared_from_this()](beast::error_code error, std::size_t) {
                              self->writing_ = false;
                              if (error)
                                  return self->fail(error);
                              self->restart_deadline();
                              self->read();
                          });
    }

    void read() {
        parser_.emplace();
        parser_->body_limit(max_response_bytes);
        parser_->eager(true);
        read_part();
    }

    void read_part() {
        http::async_read_some(socket_, buffer_, *parser_,
                              [self = shared_from_this()](beast::error_code error, std::size_t) {
                                  if (error)
                                      return self->fail(error);
                                  if (self->parser_->is_done())
                                      return self->succeed();
                                  self->restart_deadline();
                                  self->read_part();
                              });
    }

    void succeed() {
        auto response = parser_->release();
        result_.status = response.result_int();
        result_.body = std::move(response.body());
        if (!response.keep_alive())
            stop();
        finish();
    }

    void fail(beast::error_code) {
        fail(timed_out_ ? call_failure::timeout : call_failure::connection_lost);
    }

    void fail(call_failure reason) {
        result_.failure = pool_->stopped_ ? call_failure::stopped : reason;
        stop();
        // The server has ended, or has closed the others as well.
        if (reason == call_failure::not_sent || reason == call_failure::refused ||
            reason == call_failure::connection_lost)
            pool_->close_idle(pool_->clock_.now());
        finish();
    }

    void finish() {
        result_.received_at = pool_->clock_.now();
        const auto done = std::exchange(done_, nullptr);
        const auto pool = pool_;
        done(std::move(result_));
        pool->dispatch();
    }

    asio::basic_stream_socket<asio::ip::tcp, asio::io_context::executor_type> socket_;
    std::shared_ptr<http_pool> pool_;
    std::shared_ptr<connection_limit> open_connections_; // counts this one; may be null
    std::string host_header_;
    beast::flat_buffer buffer_;
    std::string request_bytes_; // of the current request
    std::optional<http::response_parser<http::string_body>> parser_;
    http_result result_;
    done_handler done_;
    std::function<bool()> may_send_;
    time_ms limit_{0};
    time_ms deadline_{0};
    time_ms last_deadline_{0}; // of the whole exchange
    bool timed_out_ = false;
    bool connected_ = false;
    bool writing_ = false;
    bool closed_ = false;
};

http_pool::http_pool(asio::io_context& loop, const clock_source& clock,
                     asio::ip::tcp::endpoint target, std::size_t max_connections,
                     std::shared_ptr<connection_limit> limit)
    : loop_(loop), clock_(clock), target_(std::move(target)), max_connections_(max_connections),
      limit_(std::move(limit)), deadline_timer_(loop.get_executor()),
      retry_timer_(loop.get_executor()) {}

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
        auto idle = std::ranges::find_if(
            connections_, [](const auto& item) { return !item->busy() && !item->closed(); });
        const auto chosen = idle != connections_.end() ? *idle : open_connection();
        if (!chosen)
            break;
        auto item = std::move(queue_.front());
        queue_.pop_front();
        chosen->send(std::move(item));
    }
    arm_deadline_timer();
}

// Returns nullptr if no further connection is possible now; `dispatch` is called again then.
std::shared_ptr<http_pool::connection> http_pool::open_connection() {
    if (connections_.size() >= max_connections_)
        return nullptr; // continues when a request ends
    if (limit_ && !limit_->try_acquire()) {
        wait_for_connection();
        return nullptr;
    }
    auto added = std::make_shared<connection>(loop_, shared_from_this());
    if (!added->open_socket()) {
        retry_without_descriptors();
        return nullptr;
    }
    connections_.push_back(added);
    return added;
}

void http_pool::wait_for_connection() {
    if (std::exchange(waiting_for_limit_, true))
        return;
    const bool lease = std::ranges::any_of(
        queue_, [](const auto& item) { return item.call.kind == urgency::lease; });
    // Posted, because a connection may be released while another pool dispatches.
    limit_->wait(lease ? urgency::lease : urgency::start,
                 [&loop = loop_, weak_self = weak_from_this(), limit = limit_] {
                     asio::post(loop, [weak_self, limit] {
                         if (const auto self = weak_self.lock()) {
                             self->waiting_for_limit_ = false;
                             self->dispatch();
                         }
                         limit->skip_turn();
                     });
                 });
}

// Other users of descriptors may have taken more than their share. The requests stay in the queue:
// their failure would say that the server is gone.
void http_pool::retry_without_descriptors() {
    log_event(log_level::warning, "no_descriptor_left")
        .field("target", to_host_header(target_))
        .field("waiting", std::uint64_t{queue_.size()});
    retry_timer_.expires_after(std::chrono::milliseconds(no_descriptor_pause));
    retry_timer_.async_wait([weak_self = weak_from_this()](boost::system::error_code error) {
        const auto self = weak_self.lock();
        if (self && !error && !self->stopped_)
            self->dispatch();
    });
}

std::size_t http_pool::idle_connections() const {
    return static_cast<std::size_t>(std::ranges::count_if(
        connections_, [](const auto& item) { return !item->busy() && !item->closed(); }));
}

std::size_t http_pool::close_idle(time_ms unused_since, std::size_t count) {
    std::size_t closed = 0;
    // A copy, because releasing a connection may dispatch.
    for (const auto& item : std::vector(connections_)) {
        if (closed == count)
            break;
        if (item->busy() || item->closed() || item->idle_since() > unused_since)
            continue;
        item->stop();
        ++closed;
    }
    std::erase_if(connections_, [](const auto& item) { return item->closed() && !item->busy(); });
    return closed;
}

// Rearms the timer only if a new request has an earlier deadline.
void http_pool::arm_deadline_timer() {
    std::optional<time_ms> next;
    for (const auto& item : connections_) {
        if (item->busy() && !item->closed())
            next = std::min(next.value_or(item->deadline()), item->deadline());
    }
    if (!next || stopped_ || (armed_until_ && *armed_until_ <= *next))
        return;
    armed_until_ = next;
    deadline_timer_.expires_after(
        std::chrono::milliseconds(std::max<time_ms>(1, *next - clock_.now())));
    deadline_timer_.async_wait([self = shared_from_this()](boost::system::error_code error) {
        if (error || self->stopped_)
            return;
        self->armed_until_.reset();
        for (const auto& item : self->connections_) {
            if (item->busy() && !item->closed() && self->clock_.now() >= item->deadline())
                item->check_deadline(self->clock_.now());
        }
        self->arm_deadline_timer();
    });
}

void http_pool::stop() {
    if (std::exchange(stopped_, true))
        return;
    deadline_timer_.cancel();
    retry_timer_.cancel();
    for (const auto& item : connections_)
        item->stop();
    for (auto& item : std::exchange(queue_, {})) {
        asio::post(loop_, [done = std::move(item.done)] {
            http_result result;
            result.failure = call_failure::stopped;
            done(std::move(result));
        });
    }
    // Connections own the pool, and idle ones have no pending operation that would release them.
    std::erase_if(connections_, [](const auto& item) { return !item->busy(); });
}

} // namespace clementine::control
