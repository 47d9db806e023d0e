// Forecasts when workers have room for a task, and reserves that room. Pure functions.
//
// Load pattern: a surge fills every worker of a pool with small tasks. Each end leaves a gap that
// only another small task fits, so tasks that need half of a worker or more wait until the surge is
// over, although room for them would appear within a second.
#pragma once

#include "workload/placement.h"

#include <limits>
#include <map>
#include <string>
#include <tuple>
#include <vector>

namespace clementine::workload {

// Time of what is not expected to happen.
inline constexpr time_ms never = std::numeric_limits<time_ms>::max();
// Longest time for which a step holds reservations; after that it gets none for as long.
inline constexpr time_ms max_reservation_time{3'000};
// The same for room under the cap of a workspace, which is kept for a step that does not fit.
inline constexpr time_ms max_cap_hold{8'000};
inline constexpr time_ms cap_hold_pause{1'000};
// Workers of a pool whose room is forecast: those with the most free processor. Bounds the cost of
// a forecast in large pools; those of the deployments have up to 85 workers.
inline constexpr std::size_t max_forecast_workers = 128;
// A pool keeps at least three quarters of its workers for the other tasks.
inline constexpr std::size_t workers_per_reservation = 4;

// Expected end of a run, after `now`; `never` for a long-running one. `stop_time`: longest time a
// worker takes to stop a run.
time_ms expected_end(const live_run& run, time_ms stop_time, time_ms now);

// Resources that a run is expected to release.
struct expected_release {
    time_ms at{0};
    resources amount;
};

// Free resources of one worker over the next seconds.
struct worker_room {
    std::string id;
    time_ms forecast_at{0};
    resources free;                         // at `forecast_at`
    std::vector<expected_release> releases; // by time

    // Earliest time at which a task has room; `never` if no expected end gives it room.
    time_ms fits_at(const resources& need) const;
    resources free_at(time_ms time) const;
};

worker_room forecast_room(const worker& item, time_ms stop_time, time_ms now);

// True if new tasks can be expected to use the worker as its runs end.
bool is_reservable(const worker& item, time_ms now);

// Forecast of the workers of one pool. Remembers the results of its searches.
class pool_room {
  public:
    pool_room() = default;
    // Forecasts the reservable workers among those of a pool, up to `max_forecast_workers`.
    pool_room(std::vector<const worker*> workers, time_ms stop_time, time_ms now);

    time_ms forecast_at() const { return forecast_at_; }
    // Earliest time at which a task has room on any worker.
    time_ms earliest(const resources& need);
    // Up to `count` workers on which a task has room until `latest`, earliest first.
    std::vector<std::string> by_room(const resources& need, time_ms latest, std::size_t count);

  private:
    struct worker_time {
        time_ms at{0};
        std::size_t index = 0; // of the worker
    };
    struct search_result {
        resources need;
        std::vector<worker_time> found; // earliest first
    };

    const std::vector<worker_time>& search(const resources& need);

    time_ms forecast_at_{0};
    std::vector<worker_room> workers_;
    std::vector<search_result> searches_;
};

// Reservation of one worker for `tasks` tasks of a step.
struct reservation {
    worker* target = nullptr;
    std::uint32_t tasks = 0;
    reserved_room room;
};

// Tasks of a step that found no room.
struct reservation_request {
    resources need; // of one task
    std::uint32_t tasks = 0;
    bool gang = false;          // all tasks or none, at one time
    time_ms latest_start{0};    // later room is of no use
    std::size_t max_workers{0}; // that may be reserved
};

// Chooses the reservations of a step. `candidates` are not reserved yet, and in the order of a
// pool's forecast; the room of each is forecast again, because its runs may have changed since.
std::vector<reservation> plan_reservations(const reservation_request& request,
                                           const std::vector<worker*>& candidates,
                                           time_ms stop_time, time_ms now);

// Limits how long a step holds reservations, so that a wrong forecast cannot hold a pool.
class reservation_times {
  public:
    // A step holds reservations for up to `longest`, and then none for `pause`.
    explicit reservation_times(time_ms longest = max_reservation_time,
                               time_ms pause = max_reservation_time)
        : longest_(longest), pause_(pause) {}

    // True if the step may hold reservations now, which begins its time if that is not running.
    bool take(const std::string& job, std::uint32_t occurrence, std::uint32_t step, time_ms now);
    void drop_expired(time_ms now);
    void clear() { first_.clear(); }

  private:
    time_ms longest_;
    time_ms pause_;
    std::map<std::tuple<std::string, std::uint32_t, std::uint32_t>, time_ms> first_;
};

} // namespace clementine::workload
