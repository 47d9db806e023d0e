#include "proxy/backend_pool.h"

#include <algorithm>
#include <array>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace clementine::proxy {

namespace {

constexpr int keepalive_seconds = 1;
constexpr int keepalive_probes = 3;
constexpr int user_timeout_ms = 4'000;
// Idle connections kept above the peak in use, so that a probe or a burst finds one open.
constexpr std::size_t spare_connections = 1;

void set_tcp_option(tcp::socket& socket, int name, int value) {
    // Errors are ignored: without the option, dead connections are only detected later.
    static_cast<void>(
        ::setsockopt(socket.native_handle(), IPPROTO_TCP, name, &value, sizeof value));
}

void remove_from(std::vector<connection_ptr>& list, const connection_ptr& connection) {
    const auto it = std::ranges::find(list, connection);
    if (it != list.end())
        list.erase(it);
}

} // namespace

bool has_no_pending_input(tcp::socket& socket) {
    std::array<char, 1> byte{};
    error_code error;
    socket.receive(asio::buffer(byte), tcp::socket::message_peek, error);
    return error == asio::error::would_block;
}

void configure_backend_socket(tcp::socket& socket) {
    error_code ignored;
    socket.set_option(tcp::no_delay(true), ignored);
    socket.set_option(asio::socket_base::keep_alive(true), ignored);
    set_tcp_option(socket, TCP_KEEPIDLE, keepalive_seconds);
    set_tcp_option(socket, TCP_KEEPINTVL, keepalive_seconds);
    set_tcp_option(socket, TCP_KEEPCNT, keepalive_probes);
    set_tcp_option(socket, TCP_USER_TIMEOUT, user_timeout_ms);
    // has_no_pending_input() must not block an I/O thread.
    socket.non_blocking(true, ignored);
}

connection_ptr backend_pool::take(const server_key& key, time_ms max_idle) {
    const auto now = clock_.now();
    std::vector<connection_ptr> dead; // closed outside the lock
    std::lock_guard lock(mutex_);
    const auto it = servers_.find(key);
    if (it == servers_.end())
        return nullptr;
    auto& server = it->second;
    for (std::size_t i = server.idle.size(); i-- > 0;) {
        const auto connection = server.idle[i];
        if (connection->opened_at < server.blocked_before ||
            now - connection->idle_since > max_idle)
            continue;
        server.idle.erase(server.idle.begin() + static_cast<std::ptrdiff_t>(i));
        if (has_no_pending_input(connection->socket))
            return connection;
        dead.push_back(connection);
    }
    return nullptr;
}

void backend_pool::begin_use(const server_key& key, const connection_ptr& connection,
                             bool idempotent, std::function<void()> abort) {
    std::lock_guard lock(mutex_);
    auto& server = servers_[key];
    error_code ignored;
    if (server.endpoint.port() == 0)
        server.endpoint = connection->socket.remote_endpoint(ignored);
    connection->idempotent = idempotent;
    connection->abort = std::move(abort);
    connection->waiting_since = clock_.now();
    server.in_use.push_back(connection);
    server.peak = std::max(server.peak, server.in_use.size());
}

void backend_pool::end_use(const server_key& key, const connection_ptr& connection, bool reusable) {
    std::lock_guard lock(mutex_);
    auto& server = servers_[key];
    remove_from(server.in_use, connection);
    connection->abort = nullptr;
    const auto allowed = std::max(server.peak, server.previous_peak) + spare_connections;
    if (reusable && !connection->stale && connection->opened_at >= server.blocked_before &&
        server.in_use.size() + server.idle.size() < allowed) {
        connection->idle_since = clock_.now();
        server.idle.push_back(connection);
    } else {
        error_code ignored;
        connection->socket.close(ignored);
    }
}

void backend_pool::add_idle(const server_key& key, const connection_ptr& connection) {
    std::lock_guard lock(mutex_);
    auto& server = servers_[key];
    const auto allowed = std::max(server.peak, server.previous_peak) + spare_connections;
    if (connection->stale || server.in_use.size() + server.idle.size() >= allowed)
        return;
    connection->idle_since = clock_.now();
    server.idle.insert(server.idle.begin(), connection);
}

void backend_pool::block_before(const server_key& key, time_ms time) {
    std::lock_guard lock(mutex_);
    const auto it = servers_.find(key);
    if (it != servers_.end())
        it->second.blocked_before = time;
}

connection_ptr backend_pool::take_for_probe(const server_key& key, time_ms time) {
    std::vector<connection_ptr> dead;
    std::lock_guard lock(mutex_);
    const auto it = servers_.find(key);
    if (it == servers_.end())
        return nullptr;
    auto& idle = it->second.idle;
    for (std::size_t i = 0; i < idle.size();) {
        if (idle[i]->opened_at >= time) {
            ++i;
            continue;
        }
        const auto connection = idle[i];
        idle.erase(idle.begin() + static_cast<std::ptrdiff_t>(i));
        if (has_no_pending_input(connection->socket))
            return connection;
        dead.push_back(connection);
    }
    return nullptr;
}

std::size_t backend_pool::replace_before(const server_key& key, time_ms time) {
    std::vector<connection_ptr> closed;
    std::vector<std::function<void()>> aborts;
    std::size_t count = 0;
    {
        std::lock_guard lock(mutex_);
        const auto it = servers_.find(key);
        if (it == servers_.end())
            return 0;
        auto& server = it->second;
        const auto is_old = [time](const connection_ptr& item) { return item->opened_at < time; };
        for (const auto& connection : server.idle) {
            if (is_old(connection))
                closed.push_back(connection);
        }
        std::erase_if(server.idle, is_old);
        for (const auto& connection : server.in_use) {
            if (!is_old(connection) || connection->stale)
                continue;
            connection->stale = true;
            ++count;
            // A connection that still receives data is not silent, so its request may complete.
            const bool silent = connection->received_at <= time;
            if (connection->idempotent && silent && connection->abort)
                aborts.push_back(connection->abort);
        }
        server.blocked_before = std::max(server.blocked_before, time);
    }
    for (const auto& abort : aborts)
        abort();
    return count + closed.size();
}

std::vector<connection_view> backend_pool::view(const server_key& key) const {
    std::vector<connection_view> out;
    std::lock_guard lock(mutex_);
    const auto it = servers_.find(key);
    if (it == servers_.end())
        return out;
    const auto add = [&out](const connection_ptr& item, bool in_use) {
        if (!item->stale)
            out.push_back({item->opened_at, item->waiting_since, item->received_at, in_use});
    };
    for (const auto& connection : it->second.in_use)
        add(connection, true);
    for (const auto& connection : it->second.idle)
        add(connection, false);
    return out;
}

std::vector<std::pair<server_key, tcp::endpoint>> backend_pool::servers() const {
    std::vector<std::pair<server_key, tcp::endpoint>> out;
    std::lock_guard lock(mutex_);
    for (const auto& [key, server] : servers_)
        out.emplace_back(key, server.endpoint);
    return out;
}

void backend_pool::trim(time_ms max_idle) {
    const auto now = clock_.now();
    std::vector<connection_ptr> closed;
    std::lock_guard lock(mutex_);
    for (auto it = servers_.begin(); it != servers_.end();) {
        auto& server = it->second;
        const auto allowed = std::max(server.peak, server.previous_peak) + spare_connections;
        server.previous_peak = server.peak;
        server.peak = server.in_use.size();
        const auto is_expired = [&](const connection_ptr& item) {
            return now - item->idle_since > max_idle;
        };
        for (const auto& connection : server.idle) {
            if (is_expired(connection))
                closed.push_back(connection);
        }
        std::erase_if(server.idle, is_expired);
        while (!server.idle.empty() && server.idle.size() + server.in_use.size() > allowed) {
            closed.push_back(server.idle.front());
            server.idle.erase(server.idle.begin());
        }
        publish_connection_counts(server, it->first);
        const bool unused =
            server.idle.empty() && server.in_use.empty() && server.previous_peak == 0;
        it = unused ? servers_.erase(it) : std::next(it);
    }
}

void backend_pool::close_idle() {
    std::vector<connection_ptr> closed;
    std::lock_guard lock(mutex_);
    for (auto& [key, server] : servers_) {
        closed.insert(closed.end(), server.idle.begin(), server.idle.end());
        server.idle.clear();
    }
}

void backend_pool::publish_connection_counts(const server& server, const server_key& key) const {
    metrics_.set("clementine_backend_connections",
                 {{"backend_server", key.backend_server}, {"state", "in-use"}},
                 static_cast<double>(server.in_use.size()));
    metrics_.set("clementine_backend_connections",
                 {{"backend_server", key.backend_server}, {"state", "idle"}},
                 static_cast<double>(server.idle.size()));
}

} // namespace clementine::proxy
