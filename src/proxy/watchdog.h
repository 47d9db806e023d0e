// Timeout and event for the coroutines of one strand.
#pragma once

#include "proxy/asio.h"

#include <functional>
#include <memory>

namespace clementine::proxy {

// Calls a function when the armed delay has passed. Must be used on one strand only.
class watchdog {
  public:
    watchdog(const strand& strand, std::function<void()> expired);
    watchdog(const watchdog&) = delete;
    watchdog& operator=(const watchdog&) = delete;
    ~watchdog();

    void arm(time_ms delay);
    void disarm();

  private:
    struct state;
    std::shared_ptr<state> state_;
};

// One-shot event that a coroutine waits for and another coroutine or handler sets.
class event {
  public:
    explicit event(const strand& strand) : timer_(strand, asio::steady_timer::time_point::max()) {}

    void set() {
        set_ = true;
        timer_.cancel();
    }

    bool is_set() const { return set_; }

    asio::awaitable<void> wait() {
        while (!set_)
            co_await timer_.async_wait(use_tuple);
    }

  private:
    asio::steady_timer timer_;
    bool set_ = false;
};

} // namespace clementine::proxy
