#include "workload/paid_rate.h"

#include <algorithm>

namespace clementine::workload {

namespace {

// Callers retry a refused job after one to some seconds.
constexpr time_ms retry_time{30'000};
constexpr double ms_per_s = 1'000;

} // namespace

bool paid_rate::take(const std::string& workspace, const std::string& job, double jobs_per_s,
                     time_ms now) {
    while (!expiry_.empty() && (expiry_.front().first <= now || expiry_.size() >= max_paid_jobs)) {
        paid_jobs_.erase(expiry_.front().second);
        expiry_.pop_front();
    }
    if (paid_jobs_.contains({workspace, job}))
        return true;
    // One second's worth, and at least one job at rates below one a second.
    const auto burst = std::max(1.0, jobs_per_s);
    const auto [it, added] = buckets_.try_emplace(workspace, bucket{burst, now});
    auto& item = it->second;
    const auto elapsed = static_cast<double>(std::max<time_ms>(0, now - item.refilled_at));
    item.tokens = std::min(burst, item.tokens + elapsed * jobs_per_s / ms_per_s);
    item.refilled_at = now;
    if (item.tokens < 1)
        return false;
    item.tokens -= 1;
    paid_jobs_.emplace(workspace, job);
    expiry_.emplace_back(now + retry_time, paid_job{workspace, job});
    return true;
}

} // namespace clementine::workload
