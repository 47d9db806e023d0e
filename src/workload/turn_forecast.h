// Forecasts which pool surges next when the queues take turns. Performs no input or output.
//
// Load pattern: each queue in its turn asks for several times its mean for some seconds, and for
// nearly nothing in between. A VM takes 1.5 s to move, so a pool that is enlarged when its surge is
// seen lacks capacity for the first part of every turn. Once the order and the length of the turns
// are known, the VMs can leave before the turn begins.
#pragma once

#include "base/clock.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace clementine::workload {

class turn_forecast {
  public:
    // Records submitted work of a pool, in thousandths of a core times ms.
    void offered(const std::string& pool, std::int64_t work, time_ms now);
    // Rate in thousandths of a core that a pool is expected to be asked for at `now` + `ahead`
    // because its turn will have begun; 0 if no turn is expected. `pools` is the number of pools
    // that may take turns.
    std::int64_t expected_rate(const std::string& pool, std::size_t pools, time_ms now,
                               time_ms ahead) const;
    // Turn of a pool. With a level, which is the mean rate in its earlier turns, the turn is in
    // progress or one of the next two; without, it begins at `start` at the earliest.
    struct pool_turn {
        time_ms start{0};
        time_ms end{0};
        std::optional<std::int64_t> level;
    };
    // Empty while the order and the length of the turns are not known.
    std::optional<pool_turn> find_turn(const std::string& pool, std::size_t pools,
                                       time_ms now) const;

  private:
    struct turn {
        std::string pool;
        time_ms start{0};
        std::int64_t level = 0; // mean rate
    };
    struct next_turn {
        std::string pool;
        time_ms start{0};
        std::int64_t level = 0;
        bool late = false; // it has begun late, or does not come
        bool begun = false;
        time_ms interval{0};
        std::string current; // pool whose turn precedes it
        time_ms current_start{0};
        std::string after;                          // pool whose turn follows it; empty if unknown
        std::map<std::string, std::int64_t> levels; // mean of the completed turns, by pool
    };
    struct history {
        time_ms begin{0};              // of the first bin
        std::deque<std::int64_t> bins; // work by interval
    };

    static const turn* find_follower(const std::vector<turn>& turns, const std::string& pool,
                                     std::size_t pools);
    static bool has_risen(const history& item, time_ms now, std::int64_t level);
    static void find_turns(const std::string& pool, const history& item, time_ms now,
                           std::vector<turn>& out);
    std::optional<next_turn> find_next(std::size_t pools, time_ms now) const;
    void refresh(std::size_t pools, time_ms now) const;

    std::map<std::string, history> pools_;
    // Result of the last search, which is repeated once per interval.
    mutable time_ms searched_at_{-1};
    mutable std::optional<next_turn> next_;
};

} // namespace clementine::workload
