#include "proxy/watchdog.h"

#include <utility>

namespace clementine::proxy {

// Shared with the pending wait, which may complete after the watchdog was destroyed.
struct watchdog::state : std::enable_shared_from_this<watchdog::state> {
    state(const strand& strand, std::function<void()> expired)
        : timer(strand), callback(std::move(expired)) {}

    // At most one wait is pending. If the deadline was postponed, the wait is renewed when it
    // completes, which saves a timer operation for each arm and disarm.
    void wait_until(std::chrono::steady_clock::time_point time) {
        pending = true;
        pending_until = time;
        timer.expires_at(time);
        timer.async_wait([self = shared_from_this(), id = ++wait_id](const error_code&) {
            if (id == self->wait_id)
                self->on_wait_completed();
        });
    }

    void on_wait_completed() {
        pending = false;
        if (!armed || !callback)
            return;
        if (std::chrono::steady_clock::now() < deadline) {
            wait_until(deadline);
            return;
        }
        armed = false;
        callback();
    }

    asio::steady_timer timer;
    std::function<void()> callback;
    std::chrono::steady_clock::time_point deadline;
    std::chrono::steady_clock::time_point pending_until;
    std::uint64_t wait_id = 0;
    bool pending = false;
    bool armed = false;
};

watchdog::watchdog(const strand& strand, std::function<void()> expired)
    : state_(std::make_shared<state>(strand, std::move(expired))) {}

watchdog::~watchdog() {
    state_->armed = false;
    state_->callback = nullptr;
    state_->timer.cancel();
}

void watchdog::arm(time_ms delay) {
    state_->armed = true;
    state_->deadline = std::chrono::steady_clock::now() + to_duration(delay);
    if (!state_->pending || state_->deadline < state_->pending_until)
        state_->wait_until(state_->deadline);
}

void watchdog::disarm() {
    state_->armed = false;
}

} // namespace clementine::proxy
