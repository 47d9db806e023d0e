// The project's one clock type: points in time and durations in whole milliseconds.
#pragma once

#include <atomic>
#include <cstdint>

namespace clementine {

// Milliseconds, either since an arbitrary start (monotonic) or as a duration.
using time_ms = std::int64_t;

// Source of monotonic time. Passed through constructors so that tests control it.
class clock_source {
  public:
    clock_source() = default;
    clock_source(const clock_source&) = delete;
    clock_source& operator=(const clock_source&) = delete;
    virtual ~clock_source() = default;
    // Monotonic time in milliseconds.
    virtual time_ms now() const = 0;
};

// Reads CLOCK_BOOTTIME, which goes on while the machine is suspended: a lease that was held before
// must not look valid afterwards.
class steady_clock final : public clock_source {
  public:
    time_ms now() const override;
};

// Clock that moves only when told to.
class manual_clock final : public clock_source {
  public:
    explicit manual_clock(time_ms start = 0) : now_(start) {}
    time_ms now() const override { return now_.load(); }
    void advance(time_ms by) { now_ += by; }
    void set(time_ms to) { now_ = to; }

  private:
    std::atomic<time_ms> now_;
};

// Wall-clock time in milliseconds since 1970, for logs and records shown to operators only.
time_ms wall_clock_ms();

} // namespace clementine
