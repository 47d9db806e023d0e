// Pool of connections to backend servers: keeps idle ones for reuse and tracks those in use.
#pragma once

#include "base/clock.h"
#include "base/metrics.h"
#include "proxy/asio.h"
#include "proxy/silent_detector.h"
#include "routing/types.h"

#include <atomic>
#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

namespace clementine::proxy {

// Identifies a backend server and one start of its process.
struct server_key {
    std::string backend_server;
    std::string instance;

    friend bool operator<(const server_key& a, const server_key& b) {
        return std::tie(a.backend_server, a.instance) < std::tie(b.backend_server, b.instance);
    }
};

// One connection. Its socket is used only by the request that took it, or by the pool while idle.
struct backend_connection {
    backend_connection(tcp::socket s, time_ms now)
        : socket(std::move(s)), opened_at(now), waiting_since(now) {}

    tcp::socket socket;
    const time_ms opened_at;
    std::atomic<time_ms> waiting_since; // last byte received, or start of the request if later
    std::atomic<time_ms> received_at{0};
    time_ms idle_since = 0;
    bool stale = false;          // replaced; must not be reused
    bool idempotent = false;     // of the request in progress
    std::function<void()> abort; // aborts the request in progress; called without locks held

    void byte_received(time_ms now) {
        waiting_since = now;
        received_at = now;
    }
};

using connection_ptr = std::shared_ptr<backend_connection>;

// Thread-safe. Every call holds one mutex for a short time and performs no blocking I/O.
class backend_pool {
  public:
    backend_pool(metrics& metrics, const clock_source& clock) : metrics_(metrics), clock_(clock) {}
    backend_pool(const backend_pool&) = delete;
    backend_pool& operator=(const backend_pool&) = delete;

    // Takes an idle connection that has been unused for at most `max_idle`; nullptr if there is
    // none. A connection with pending bytes or an end of stream is closed instead, so that a late
    // response is not mistaken for the response to the next request.
    connection_ptr take(const server_key& key, time_ms max_idle);
    // Registers a connection as in use by a request.
    void begin_use(const server_key& key, const connection_ptr& connection, bool idempotent,
                   std::function<void()> abort);
    // Ends the use; the connection is kept if it is `reusable` and was not replaced meanwhile.
    void end_use(const server_key& key, const connection_ptr& connection, bool reusable);
    // Adds a connection that carries no request, for example after a probe.
    void add_idle(const server_key& key, const connection_ptr& connection);

    // Prevents reuse of connections opened before `time`; 0 allows all of them again.
    void block_before(const server_key& key, time_ms time);
    // Takes the least recently used idle connection opened before `time`, even if blocked.
    connection_ptr take_for_probe(const server_key& key, time_ms time);
    // Replaces connections opened before `time`: closes idle ones and aborts idempotent requests
    // that have received no byte since. Returns the number of connections replaced.
    std::size_t replace_before(const server_key& key, time_ms time);

    // State of the connections to one backend server, except replaced ones.
    std::vector<connection_view> view(const server_key& key) const;
    // Backend servers that have connections, with their endpoints.
    std::vector<std::pair<server_key, tcp::endpoint>> servers() const;

    // Closes idle connections that expired or exceed the recent peak of connections in use.
    void trim(time_ms max_idle);
    void close_idle();

  private:
    struct server {
        std::vector<connection_ptr> idle; // most recently used at the back
        std::vector<connection_ptr> in_use;
        tcp::endpoint endpoint;
        time_ms blocked_before = 0;
        std::size_t peak = 0;          // most connections in use since the last trim
        std::size_t previous_peak = 0; // the same for the period before the last trim
    };

    void publish_connection_counts(const server& server, const server_key& key) const;

    metrics& metrics_;
    const clock_source& clock_;
    mutable std::mutex mutex_;
    std::map<server_key, server> servers_;
};

// True if an idle connection has no byte to read and its peer has not closed it.
bool has_no_pending_input(tcp::socket& socket);

// Sets the socket options that every connection to a backend server needs.
void configure_backend_socket(tcp::socket& socket);

} // namespace clementine::proxy
