// Measures the work offered to each pool, accepted or rejected, and extrapolates it.
//
// Load pattern: a queue rises from a twentieth to four times its mean within about 3 s and falls as
// fast. A VM that is to help must be ordered before it is needed.
#pragma once

#include "base/clock.h"

#include <cstdint>
#include <deque>
#include <map>
#include <string>

namespace clementine::workload {

class offered_load {
  public:
    // Records a submitted job; `work` is in thousandths of a core times ms. A job submitted again
    // counts once. Returns false for such a job.
    bool offered(const std::string& pool, const std::string& job, std::int64_t work, time_ms now);
    // Recently offered work per ms, in thousandths of a core.
    std::int64_t rate(const std::string& pool, time_ms now) const;
    // The rate expected in `ahead` ms if a rise continues.
    std::int64_t expected_rate(const std::string& pool, time_ms now, time_ms ahead) const;

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
    std::map<std::string, time_ms> counted_jobs_;        // job id to the time it was counted
    std::deque<std::pair<time_ms, std::string>> expiry_; // expiry times of `counted_jobs_`
};

} // namespace clementine::workload
