// Work of the leader that can wait for some ms, executed in short slices so that messages between
// control nodes, timers and heartbeats are handled in between. Performs no input or output.
//
// Load pattern: a surge commits hundreds of starts at once while callers submit more jobs than the
// leader can handle. Executed at once, that work keeps the loop from renewing the lease and from
// committing entries for hundreds of ms. Orders for accepted work go before new requests, because a
// job that was accepted and starts late helps nobody; a share is left for new requests, so that
// they are answered.
#pragma once

#include "base/clock.h"
#include "base/names.h"

#include <array>
#include <cstddef>
#include <deque>
#include <functional>

namespace clementine::control {

enum class work_class {
    worker_traffic, // orders, and the answers of workers and of the platform
    caller_request
};

inline constexpr name_table<2> work_class_names{"worker-traffic", "caller-request"};
constexpr const auto& names_of(work_class) {
    return work_class_names;
}

class work_queue {
  public:
    // `waited`: time from `push` to the execution.
    using work = std::function<void(time_ms waited)>;

    void push(work_class kind, time_ms now, work item);
    // Executes the next item. Returns false if there is none.
    bool run_one(time_ms now);
    bool empty() const;
    std::size_t size() const;
    // Age of the oldest item; 0 if there is none.
    time_ms oldest_age(work_class kind, time_ms now) const;
    void clear();

  private:
    struct queued_work {
        time_ms queued_at{0};
        work run;
    };

    std::deque<queued_work>& items(work_class kind);

    std::array<std::deque<queued_work>, work_class_names.size()> queues_;
    int worker_traffic_in_turn_ = 0; // items executed since the last caller's request
};

} // namespace clementine::control
