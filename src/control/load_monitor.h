// Measures how late the event loop of a node is and which work delays it, so that a node without
// enough processor time can be told from workers and peers that are silent.
#pragma once

#include "base/clock.h"
#include "base/names.h"

#include <array>
#include <chrono>
#include <cstdint>

namespace clementine::control {

// Work of the leader that may hold up the loop.
enum class activity {
    round,          // decisions
    apply,          // committed commands, with the orders that waited for them
    caller_request, // submissions, cancels and queries
    fleet_request,  // announcements, configurations and waves
    exchange        // answers of workers and of the platform
};

inline constexpr name_table<5> activity_names{"round", "apply", "caller", "fleet", "exchange"};
constexpr const auto& names_of(activity) {
    return activity_names;
}

class load_monitor {
  public:
    struct work {
        std::uint64_t count = 0;
        std::chrono::microseconds total{0};
        std::chrono::microseconds longest{0};
    };

    // Measurements since the last `take`.
    struct measurements {
        time_ms max_loop_delay{0};        // lateness of a timer
        time_ms max_commit_delay{0};      // from a proposal to its commit
        std::uint64_t declined_calls = 0; // while not serving
        std::array<work, activity_names.size()> work_done{};
    };

    // Adds the time from its construction to its destruction to an activity.
    class timer {
      public:
        timer(load_monitor& owner, activity kind)
            : owner_(owner), kind_(kind), start_(std::chrono::steady_clock::now()) {}
        timer(const timer&) = delete;
        timer& operator=(const timer&) = delete;
        ~timer();

      private:
        load_monitor& owner_;
        activity kind_;
        std::chrono::steady_clock::time_point start_;
    };

    // Reports a timer that was due at `due` and whose handler runs at `now`.
    void observe_timer(time_ms due, time_ms now);
    void observe_commit(time_ms proposed_at, time_ms now);
    void observe_declined_call() { ++current_.declined_calls; }
    // Returns the measurements and starts new ones.
    measurements take();

  private:
    measurements current_;
};

} // namespace clementine::control
