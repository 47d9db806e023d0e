// Accepts caller connections and tracks their sessions.
#pragma once

#include "base/ini.h"
#include "proxy/asio.h"
#include "proxy/context.h"

#include <cstddef>
#include <memory>

namespace clementine::proxy {

class caller_listener {
  public:
    // Binds and listens; throws std::runtime_error naming the address on failure.
    caller_listener(asio::io_context& io, const endpoint_text& address, proxy_context& context,
                    std::size_t max_sessions);
    caller_listener(const caller_listener&) = delete;
    caller_listener& operator=(const caller_listener&) = delete;
    ~caller_listener();

    void start();
    // Stops accepting and closes idle connections; requests in progress complete. Thread-safe.
    void finish();
    // Stops accepting and closes all connections at once. Thread-safe.
    void abort();
    std::size_t sessions() const;
    unsigned short port() const;

  private:
    struct state;
    std::shared_ptr<state> state_;
};

} // namespace clementine::proxy
