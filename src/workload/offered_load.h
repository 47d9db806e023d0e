// Measures the work that is offered to each pool, taken or refused, and where it is going.
//
// Load pattern: a queue rises from a twentieth to four times its mean within some 3 s and falls
// again as fast. A VM that is to help must be ordered before it is needed.
#pragma once

#include "base/clock.h"

#include <cstdint>
#include <deque>
#include <map>
#include <string>

namespace clementine::workload {

class offered_load {
  public:
    // A job was offered; `work` in thousandths of a core times ms. A job that comes again counts
    // once.
    void offered(const std::string& pool, const std::string& job, std::int64_t work, time_ms now);
    // Offered work per ms over the last moments: thousandths of a core.
    std::int64_t rate(const std::string& pool, time_ms now) const;
    // The rate in `ahead` ms, if a rise goes on.
    std::int64_t expected(const std::string& pool, time_ms now, time_ms ahead) const;

  private:
    struct sample {
        time_ms at{0};
        std::int64_t work = 0;
    };
    struct window {
        std::int64_t rate = 0;
        int jobs = 0;
    };
    using history = std::deque<sample>;

    static window measure(const history& item, time_ms from, time_ms to);

    std::map<std::string, history> pools_;
    std::map<std::string, time_ms> seen_;                // jobs that were counted
    std::deque<std::pair<time_ms, std::string>> expiry_; // of `seen_`
};

} // namespace clementine::workload
