// Clocks. All points in time and durations are whole milliseconds.
#pragma once

#include <atomic>
#include <cstdint>

namespace clementine {

// Milliseconds: a duration, or a point of monotonic time with an arbitrary origin.
using time_ms = std::int64_t;

// Source of monotonic time. Passed to constructors so that tests can control it.
class clock_source {
  public:
    clock_source() = default;
    clock_source(const clock_source&) = delete;
    clock_source& operator=(const clock_source&) = delete;
    virtual ~clock_source() = default;
    // Monotonic time in milliseconds.
    virtual time_ms now() const = 0;
};

// Reads CLOCK_BOOTTIME, which also counts while the machine is suspended: a lease held before the
// suspension must not look valid after it.
class steady_clock final : public clock_source {
  public:
    time_ms now() const override;
};

// Clock for tests; advances only when set.
class manual_clock final : public clock_source {
  public:
    explicit manual_clock(time_ms start = 0) : now_(start) {}
    time_ms now() const override { return now_.load(); }
    void advance(time_ms duration) { now_ += duration; }
    void set(time_ms time) { now_ = time; }

  private:
    std::atomic<time_ms> now_;
};

// Wall-clock time in milliseconds since 1970. Only for logs and for records shown to operators.
time_ms wall_clock_ms();

} // namespace clementine
