#include "proxy/caller_listener.h"

#include "base/log.h"
#include "proxy/api_server.h"
#include "proxy/caller_session.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>

#include <atomic>
#include <list>
#include <mutex>
#include <vector>

namespace clementine::proxy {

namespace {

constexpr time_ms accept_retry_delay = 100; // a failed accept, for example for lack of descriptors

} // namespace

struct caller_listener::state : std::enable_shared_from_this<caller_listener::state> {
    state(asio::io_context& io, const endpoint_text& address, proxy_context& context,
          std::size_t max)
        : io(io), accept_strand(asio::make_strand(io)),
          acceptor(open_listener(accept_strand, address)), context(context), max_sessions(max) {}

    asio::awaitable<void> accept_loop() {
        while (!stopping) {
            const auto session_strand = asio::make_strand(io);
            tcp::socket socket(session_strand);
            const auto [error] = co_await acceptor.async_accept(socket, use_tuple);
            if (stopping)
                break;
            if (error) {
                log_event(log_level::warning, "accept_failed").field("reason", error.message());
                asio::steady_timer pause(accept_strand, to_duration(accept_retry_delay));
                co_await pause.async_wait(use_tuple);
            } else if (count() >= max_sessions) {
                context.counters.add("clementine_callers_refused", {});
            } else {
                add(std::move(socket), session_strand);
            }
        }
    }

    void add(tcp::socket socket, const strand& session_strand) {
        std::shared_ptr<caller_session> session;
        {
            std::lock_guard lock(mutex);
            const auto position = sessions.emplace(sessions.end());
            session = std::make_shared<caller_session>(
                context, session_strand, std::move(socket),
                [self = shared_from_this(), position] { self->remove(position); });
            *position = session;
        }
        asio::post(session_strand, [session] { session->start(); });
    }

    void remove(std::list<std::weak_ptr<caller_session>>::iterator position) {
        std::lock_guard lock(mutex);
        sessions.erase(position);
    }

    std::size_t count() const {
        std::lock_guard lock(mutex);
        return sessions.size();
    }

    std::vector<std::shared_ptr<caller_session>> open_sessions() const {
        std::lock_guard lock(mutex);
        std::vector<std::shared_ptr<caller_session>> out;
        for (const auto& item : sessions) {
            if (auto session = item.lock())
                out.push_back(std::move(session));
        }
        return out;
    }

    void stop_accepting() {
        if (stopping.exchange(true))
            return;
        asio::post(accept_strand, [self = shared_from_this()] {
            error_code ignored;
            self->acceptor.close(ignored);
        });
    }

    asio::io_context& io;
    strand accept_strand;
    tcp::acceptor acceptor;
    proxy_context& context;
    const std::size_t max_sessions;
    std::atomic<bool> stopping{false};
    mutable std::mutex mutex;
    std::list<std::weak_ptr<caller_session>> sessions;
};

caller_listener::caller_listener(asio::io_context& io, const endpoint_text& address,
                                 proxy_context& context, std::size_t max_sessions)
    : state_(std::make_shared<state>(io, address, context, max_sessions)) {}

caller_listener::~caller_listener() = default;

void caller_listener::start() {
    asio::co_spawn(
        state_->accept_strand, [self = state_] { return self->accept_loop(); }, asio::detached);
}

void caller_listener::finish() {
    state_->stop_accepting();
    for (const auto& session : state_->open_sessions())
        session->finish();
}

void caller_listener::abort() {
    state_->stop_accepting();
    for (const auto& session : state_->open_sessions())
        session->abort();
}

std::size_t caller_listener::sessions() const {
    return state_->count();
}

unsigned short caller_listener::port() const {
    error_code ignored;
    return state_->acceptor.local_endpoint(ignored).port();
}

} // namespace clementine::proxy
