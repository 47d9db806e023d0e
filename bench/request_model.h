// Model of requests of several services on pools of VMs: queues with Poisson arrivals and
// exponential service times, under surges of one pool after another (design section 1.5).
#pragma once

#include "base/random.h"
#include "scheduler/demand.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <vector>

namespace clementine::scheduler {

// Demand of each pool over time: five times its mean in a surge, a twentieth of it otherwise.
class surge_plan {
  public:
    static constexpr time_ms min_surge_length{8'000};
    static constexpr time_ms max_surge_length{12'000};

    // `shuffled` picks the next pool to surge at random instead of in order.
    surge_plan(std::vector<double> mean_slots, std::uint64_t seed, time_ms length, bool shuffled);

    double slots(std::size_t pool, time_ms now) const;
    std::size_t pools() const { return mean_slots_.size(); }
    double mean_slots(std::size_t pool) const { return mean_slots_[pool]; }

  private:
    struct surge {
        time_ms end = 0;
        std::size_t pool = 0;
    };
    std::vector<double> mean_slots_;
    std::vector<surge> surges_;
};

// Results of one run, after its warm-up.
struct request_results {
    std::uint64_t requests = 0;
    std::uint64_t late = 0; // waited longer than `late_threshold`
    time_ms p99_wait = 0;
    double mean_busy_vms = 0;

    double late_share() const;
};

class request_model {
  public:
    // A request that waits longer than one mean service time is late.
    static constexpr time_ms late_threshold{100};
    static constexpr time_ms mean_service_time{100};
    static constexpr time_ms deadline{10'000};

    // Arrivals and service times depend only on the seed and the plan, not on the capacity.
    request_model(const surge_plan& plan, std::uint64_t seed, time_ms warm_up);

    // Simulates all requests up to `now`. `capacity` returns the slots of a pool.
    void advance(time_ms now, const std::function<double(std::size_t)>& capacity);
    pool_demand demand(std::size_t pool) const;
    request_results results() const;

  private:
    struct waiting_request {
        double arrived_at = 0;
        double service_time = 0;
    };
    struct queue {
        random_source random;
        double next_arrival = 0;
        std::vector<double> completion_times; // heap, earliest first
        std::deque<waiting_request> waiting;
    };

    void run_pool(std::size_t pool, double until, double slots);
    void start(queue& pool_queue, const waiting_request& request, double now);
    void schedule_arrival(queue& pool_queue, std::size_t pool, double after);

    const surge_plan& plan_;
    time_ms warm_up_;
    time_ms now_ = 0;
    std::vector<queue> queues_;
    std::vector<std::uint64_t> waits_; // histogram of waits in whole ms
    request_results totals_;
    double busy_vm_ms_ = 0;
};

} // namespace clementine::scheduler
