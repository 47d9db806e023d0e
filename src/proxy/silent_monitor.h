// Monitors the connections to all backend servers for silence: runs one silent_detector for each
// server and performs its actions on the pool.
#pragma once

#include "base/metrics.h"
#include "proxy/asio.h"
#include "proxy/backend_pool.h"
#include "proxy/context.h"
#include "proxy/silent_detector.h"

#include <atomic>
#include <map>
#include <memory>

namespace clementine::proxy {

class silent_monitor : public std::enable_shared_from_this<silent_monitor> {
  public:
    silent_monitor(asio::io_context& io, proxy_context& context);
    silent_monitor(const silent_monitor&) = delete;
    silent_monitor& operator=(const silent_monitor&) = delete;

    void start();
    void stop();

  private:
    struct watched_server {
        silent_detector detector;
        tcp::endpoint endpoint;
    };

    asio::awaitable<void> run();
    void observe_all();
    void perform(const server_key& key, const std::vector<silent_action>& actions);
    asio::awaitable<void> probe(server_key key, probe_target target, tcp::endpoint endpoint,
                                time_ms opened_before);
    asio::awaitable<probe_result> exchange_probe(tcp::socket& socket, bool& reusable,
                                                 const bool& timed_out);
    void probe_ended(const server_key& key, probe_target target, probe_result result);

    asio::io_context& io_;
    strand strand_;
    proxy_context& context_;
    asio::steady_timer timer_;
    std::map<server_key, watched_server> servers_;
    std::atomic<bool> stopping_{false};
};

} // namespace clementine::proxy
