// Counts the jobs of each workspace against the rate that it has paid for. Pure code; only the
// leader keeps it.
//
// Load pattern: a workspace sends more than its share, within or beyond the jobs a second that it
// has paid for. For a paid job a late answer is worth more than none.
#pragma once

#include "base/clock.h"

#include <cstddef>
#include <deque>
#include <map>
#include <set>
#include <string>
#include <utility>

namespace clementine::workload {

// Most jobs whose tokens are remembered, so that a retry takes no second one: about 1 MB.
inline constexpr std::size_t max_paid_jobs = 10'000;

class paid_rate {
  public:
    // Takes a token of the workspace for a job. False if the workspace has none left. A job that
    // has taken one before takes no other.
    bool take(const std::string& workspace, const std::string& job, double jobs_per_s, time_ms now);

  private:
    struct bucket {
        double tokens = 0;
        time_ms refilled_at{0};
    };
    using paid_job = std::pair<std::string, std::string>; // workspace and job

    std::map<std::string, bucket> buckets_;
    std::set<paid_job> paid_jobs_;
    std::deque<std::pair<time_ms, paid_job>> expiry_; // times at which jobs are forgotten
};

} // namespace clementine::workload
