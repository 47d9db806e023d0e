#include "wire/channel_server.h"

#include "base/log.h"

#include <boost/asio/post.hpp>
#include <boost/asio/strand.hpp>

#include <utility>

namespace clementine::wire {

namespace asio = boost::asio;

namespace {

// Delay after a failed accept, which usually means that file descriptors ran out.
constexpr time_ms accept_retry_delay{100};

} // namespace

channel_server::channel_server(asio::io_context& context, hello own_hello, link_settings settings,
                               handlers callbacks, std::shared_ptr<traffic> counters)
    : context_(context), acceptor_(asio::make_strand(context)), own_hello_(std::move(own_hello)),
      settings_(settings), handlers_(std::move(callbacks)),
      counters_(counters ? std::move(counters) : std::make_shared<traffic>()),
      accept_timer_(acceptor_.get_executor()) {}

std::string channel_server::listen(const asio::ip::tcp::endpoint& local) {
    boost::system::error_code error;
    acceptor_.open(local.protocol(), error);
    if (!error)
        acceptor_.set_option(asio::socket_base::reuse_address(true), error);
    if (!error)
        acceptor_.bind(local, error);
    if (!error)
        acceptor_.listen(asio::socket_base::max_listen_connections, error);
    if (error)
        return error.message();
    port_ = acceptor_.local_endpoint().port();
    asio::post(acceptor_.get_executor(), [self = shared_from_this()] { self->accept(); });
    return {};
}

void channel_server::stop() {
    asio::post(acceptor_.get_executor(), [self = shared_from_this()] {
        boost::system::error_code ignored;
        self->acceptor_.close(ignored);
        self->accept_timer_.cancel();
    });
    std::lock_guard lock(mutex_);
    stopped_ = true;
    for (const auto& open_connection : connections_)
        open_connection->stop();
}

void channel_server::accept() {
    acceptor_.async_accept(
        asio::make_strand(context_),
        [self = shared_from_this()](boost::system::error_code error, asio::ip::tcp::socket socket) {
            if (!self->acceptor_.is_open())
                return;
            if (!error) {
                self->handle_accepted(std::move(socket));
                return self->accept();
            }
            log_event(log_level::warning, "accept_failed").field("reason", error.message());
            self->accept_timer_.expires_after(std::chrono::milliseconds(accept_retry_delay));
            self->accept_timer_.async_wait([self](boost::system::error_code timer_error) {
                if (!timer_error)
                    self->accept();
            });
        });
}

void channel_server::handle_accepted(asio::ip::tcp::socket socket) {
    const auto executor = socket.get_executor();
    auto accepted =
        std::make_shared<connection>(std::move(socket), own_hello_, settings_, counters_);
    {
        std::lock_guard lock(mutex_);
        if (stopped_ || connections_.size() >= settings_.max_connections) {
            log_event(log_level::warning, "connection_refused")
                .field("connections", std::uint64_t{connections_.size()});
            return;
        }
        connections_.insert(accepted);
    }
    // was_open is used on the strand of the connection only. Weak references avoid a cycle: this
    // object owns the connection.
    auto was_open = std::make_shared<bool>(false);
    connection::handlers callbacks;
    callbacks.opened = [weak_server = weak_from_this(), weak_connection = std::weak_ptr(accepted),
                        was_open](const hello&) {
        const auto self = weak_server.lock();
        const auto live_connection = weak_connection.lock();
        *was_open = true;
        if (self && live_connection)
            self->handlers_.opened(live_connection);
    };
    callbacks.received = [weak_server = weak_from_this(),
                          weak_connection = std::weak_ptr(accepted)](message&& value) {
        const auto self = weak_server.lock();
        const auto live_connection = weak_connection.lock();
        if (self && live_connection)
            self->handlers_.received(live_connection, std::move(value));
    };
    callbacks.closed = [weak_server = weak_from_this(), weak_connection = std::weak_ptr(accepted),
                        was_open](const close_info& info) {
        const auto self = weak_server.lock();
        const auto live_connection = weak_connection.lock();
        if (self && live_connection)
            self->handle_closed(live_connection, info, *was_open);
    };
    asio::post(executor, [accepted, callbacks = std::move(callbacks)]() mutable {
        accepted->start(std::move(callbacks));
    });
}

void channel_server::handle_closed(const std::shared_ptr<connection>& closed_connection,
                                   const close_info& info, bool was_open) {
    {
        std::lock_guard lock(mutex_);
        connections_.erase(closed_connection);
    }
    log_event(log_level::info, "connection_closed")
        .field("peer", closed_connection->peer().node)
        .field("reason", to_name(info.reason))
        .field("detail", info.detail);
    if (was_open)
        handlers_.closed(closed_connection, info);
}

} // namespace clementine::wire
