#include "wire/channel.h"

#include "base/log.h"

#include <boost/asio/post.hpp>

#include <algorithm>
#include <random>
#include <utility>

namespace clementine::wire {

namespace asio = boost::asio;

namespace {

// Random wait between half of the delay and the whole, so that nodes do not reconnect to a
// restarted peer all at once.
time_ms with_jitter(time_ms delay) {
    thread_local std::minstd_rand random_engine{std::random_device{}()};
    return delay / 2 + static_cast<time_ms>(random_engine() % static_cast<unsigned>(delay / 2 + 1));
}

std::string format_endpoint(const asio::ip::tcp::endpoint& endpoint) {
    return endpoint.address().to_string() + ":" + std::to_string(endpoint.port());
}

} // namespace

channel::channel(asio::io_context& context, asio::ip::tcp::endpoint remote, hello own_hello,
                 link_settings settings, handlers callbacks, std::shared_ptr<traffic> counters)
    : strand_(asio::make_strand(context)), remote_(std::move(remote)),
      own_hello_(std::move(own_hello)), settings_(settings), handlers_(std::move(callbacks)),
      counters_(counters ? std::move(counters) : std::make_shared<traffic>()), timer_(strand_),
      backoff_(settings.reconnect_min) {}

void channel::start() {
    asio::post(strand_, [self = shared_from_this()] { self->connect(); });
}

void channel::stop() {
    stopped_ = true;
    stop_connection();
    // A connection may have been made after the call above.
    asio::post(strand_, [self = shared_from_this()] {
        self->timer_.cancel();
        self->stop_connection();
    });
}

void channel::stop_connection() {
    std::lock_guard lock(mutex_);
    if (connection_)
        connection_->stop();
}

bool channel::send(const message& value) {
    if (!open_)
        return false;
    std::shared_ptr<connection> active_connection;
    {
        std::lock_guard lock(mutex_);
        active_connection = connection_;
    }
    return active_connection && active_connection->send(value);
}

void channel::connect() {
    if (stopped_)
        return;
    auto socket = std::make_shared<asio::ip::tcp::socket>(strand_);
    timer_.expires_after(std::chrono::milliseconds(settings_.connect_timeout));
    timer_.async_wait([socket](boost::system::error_code error) {
        boost::system::error_code ignored;
        if (!error)
            socket->close(ignored);
    });
    socket->async_connect(remote_,
                          [self = shared_from_this(), socket](boost::system::error_code error) {
                              self->timer_.cancel();
                              if (error || !socket->is_open() || self->stopped_)
                                  return self->reconnect_with_backoff();
                              self->handle_connected(std::move(*socket));
                          });
}

void channel::handle_connected(asio::ip::tcp::socket socket) {
    auto active_connection =
        std::make_shared<connection>(std::move(socket), own_hello_, settings_, counters_);
    {
        std::lock_guard lock(mutex_);
        connection_ = active_connection;
    }
    connection::handlers callbacks;
    // Weak references avoid a cycle: this channel owns the connection.
    callbacks.opened = [weak = weak_from_this()](const hello& peer) {
        if (auto self = weak.lock())
            self->handle_opened(peer);
    };
    callbacks.received = [weak = weak_from_this()](message&& value) {
        if (auto self = weak.lock())
            self->handlers_.received(std::move(value));
    };
    callbacks.closed = [weak = weak_from_this()](const close_info& info) {
        if (auto self = weak.lock())
            self->handle_closed(info);
    };
    active_connection->start(std::move(callbacks));
}

void channel::handle_opened(const hello& peer) {
    backoff_ = settings_.reconnect_min;
    open_ = true;
    handlers_.opened(peer);
}

// Reconnects at once after a connection that was open. Otherwise waits, so that a peer that refuses
// the hello does not cause a tight loop of attempts.
void channel::handle_closed(const close_info& info) {
    const bool was_open = open_.exchange(false);
    {
        std::lock_guard lock(mutex_);
        connection_ = nullptr;
    }
    log_event(log_level::info, "channel_closed")
        .field("peer", format_endpoint(remote_))
        .field("reason", to_name(info.reason))
        .field("detail", info.detail);
    if (was_open)
        handlers_.closed(info);
    if (was_open)
        reconnect_after(0);
    else
        reconnect_with_backoff();
}

void channel::reconnect_with_backoff() {
    const auto delay = with_jitter(backoff_);
    backoff_ = std::min(backoff_ * 2, settings_.reconnect_max);
    reconnect_after(delay);
}

void channel::reconnect_after(time_ms delay) {
    if (stopped_)
        return;
    timer_.expires_after(std::chrono::milliseconds(delay));
    timer_.async_wait([self = shared_from_this()](boost::system::error_code error) {
        if (!error)
            self->connect();
    });
}

} // namespace clementine::wire
