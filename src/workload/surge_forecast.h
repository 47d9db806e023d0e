// Measures the work that is offered to each pool, and learns from the order of past surges when
// the next one begins. Pure state: no clock, no I/O.
//
// Load pattern: the queues surge in turn, always in the same order, for some seconds each. A
// machine that is to help must be ordered before the surge is seen.
#pragma once

#include "base/clock.h"

#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace clementine::workload {

class surge_forecast {
  public:
    // A job was offered to a pool, taken or refused; `work` in thousandths of a core times ms.
    // A job that comes again counts once.
    void offered(const std::string& pool, const std::string& job, std::int64_t work, time_ms now);
    // Offered work per ms over the last moments: thousandths of a core.
    std::int64_t rate(const std::string& pool, time_ms now) const;
    // The rate that is expected within the next `ahead` ms, from what was seen and learned.
    std::int64_t expected(const std::string& pool, time_ms now, time_ms ahead) const;
    // Looks for surges that begin; call it several times a second.
    void update(time_ms now);

  private:
    struct sample {
        time_ms at{0};
        std::int64_t work = 0;
    };
    struct history {
        std::deque<sample> samples;
        bool surging = false;
        time_ms onset{0};      // of the current or last surge
        time_ms ended{0};
        std::int64_t peak = 0; // highest rate of the last surge
        std::string before;    // pool whose surge began last before this one's
        time_ms lag{0};        // from that onset to this one
        time_ms length{0};     // of the last whole surge
    };

    std::int64_t trend(const history& item, time_ms now, time_ms ahead) const;
    std::int64_t rate_of(const history& item, time_ms now) const;

    std::map<std::string, history> pools_;
    std::string last_onset_pool_;
    std::map<std::string, time_ms> seen_;                // jobs that were counted
    std::deque<std::pair<time_ms, std::string>> expiry_; // of `seen_`
};

} // namespace clementine::workload
