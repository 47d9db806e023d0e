// Estimates the demand of each pool and the order in which surges occur.
#pragma once

#include "scheduler/types.h"

#include <array>
#include <cstddef>
#include <optional>
#include <vector>

namespace clementine::scheduler {

// Demand of one pool in slots, as reported by the entryds.
struct pool_demand {
    pool_id pool = no_pool;
    double busy = 0;
    double queued = 0;
};

// Number of VMs that cover the 99th percentile of a demand with this mean, assuming independent
// arrivals.
std::uint32_t vms_for_demand(double mean_slots);

// Ring buffer of the most recent values.
class recent_values {
  public:
    void add(double value);
    bool empty() const { return count_ == 0; }
    std::size_t size() const { return count_; }
    double max() const;
    // The q-quantile of the values, or 0 if there are none.
    double quantile(double q) const;

  private:
    static constexpr std::size_t capacity = 32;
    std::array<double, capacity> values_{};
    std::size_t next_ = 0;
    std::size_t count_ = 0;
};

enum class surge_event { none, started, ended };

// Models the demand of one pool: its level in and between surges, and when surges start and end.
class demand_model {
  public:
    // `home_slots` is the initial estimate of the surge level.
    explicit demand_model(double home_slots);

    surge_event observe(const pool_demand& demand, time_ms now);

    bool in_surge() const { return in_surge_; }
    time_ms surge_since() const { return surge_since_; }
    // Mean demand in surges and between them, in slots.
    double surge_level() const { return surge_level_; }
    double base_level() const { return base_level_; }
    double current_slots() const { return current_slots_; }
    // Estimate of the slots that would be in use now if the pool had enough VMs.
    double required_slots() const { return required_slots_; }
    // Start of the current period with queued requests, or 0 if none are queued.
    time_ms queueing_since() const { return queueing_since_; }
    // Mean time from the end of a surge to the start of the next, or 0 before the second surge.
    double mean_gap() const { return mean_gap_; }
    double mean_surge_length() const { return mean_surge_length_; }

  private:
    void learn_surge(time_ms now);

    double surge_level_;
    double base_level_ = 0;
    double current_slots_ = 0;
    double required_slots_ = 0;
    double mean_gap_ = 0;
    double mean_surge_length_ = 0;
    bool in_surge_ = false;
    time_ms surge_since_ = 0;
    time_ms surge_ended_at_ = 0;
    time_ms queueing_since_ = 0;
    double surge_demand_sum_ = 0; // of required_slots in the current surge
    double peak_busy_ = 0;
    int surge_samples_ = 0;    // in the current surge
    int queueing_samples_ = 0; // of these, samples with a queue
};

// Expected surge of a pool.
struct surge_forecast {
    pool_id pool = no_pool;
    time_ms earliest_start = 0;
};

// Learns which pool's surge follows which, and after what time.
class surge_sequence {
  public:
    explicit surge_sequence(std::size_t pools);

    void record_start(pool_id pool, time_ms now);
    // Surges that may start by `horizon`, in order of time. Empty if the order is not known.
    // `late_share` is the accepted share of surges that start earlier than forecast.
    std::vector<surge_forecast> forecast(time_ms now, time_ms horizon, double late_share) const;
    // True if the surges of this pool can be forecast.
    bool predictable(pool_id pool) const;

  private:
    // A successor counts as known after this many identical observations in a row.
    static constexpr std::size_t required_repeats = 3;
    struct successor_record {
        std::array<pool_id, required_repeats> latest{};
        std::size_t count = 0;
    };

    std::optional<pool_id> successor(pool_id pool) const;

    std::vector<successor_record> successors_;
    std::vector<pool_id> predecessors_;
    recent_values start_gaps_;
    pool_id latest_pool_ = no_pool;
    time_ms latest_start_ = 0;
};

} // namespace clementine::scheduler
