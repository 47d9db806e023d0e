#include "workload/offered_load.h"

#include <algorithm>

namespace clementine::workload {

namespace {

// Short enough to detect a surge early.
constexpr time_ms short_window{800};
// For queues of few, large jobs, whose rate over a short window is mostly random.
constexpr time_ms long_window{2'400};
// Fewest jobs in a window for its rate to be significant.
constexpr int min_jobs = 7;
// A job submitted again within this time counts once.
constexpr time_ms job_retention{12'000};
// Largest ratio of the extrapolated to the measured rate.
constexpr double max_growth = 1.8;

} // namespace

bool offered_load::offered(const std::string& pool, const std::string& job, std::int64_t work,
                           time_ms now) {
    while (!expiry_.empty() && expiry_.front().first < now) {
        counted_jobs_.erase(expiry_.front().second);
        expiry_.pop_front();
    }
    if (!counted_jobs_.emplace(job, now).second)
        return false;
    expiry_.emplace_back(now + job_retention, job);
    auto& item = pools_[pool];
    item.push_back({now, work});
    while (item.front().at < now - long_window)
        item.pop_front();
    return true;
}

// Measures the samples after `from`, up to and including `to`.
offered_load::window offered_load::measure(const history& item, time_ms from, time_ms to) {
    window out;
    for (const auto& entry : item) {
        if (entry.at <= from || entry.at > to)
            continue;
        out.rate += entry.work;
        ++out.jobs;
    }
    out.rate /= std::max<time_ms>(1, to - from);
    return out;
}

std::int64_t offered_load::rate(const std::string& pool, time_ms now) const {
    const auto it = pools_.find(pool);
    if (it == pools_.end())
        return 0;
    const auto recent = measure(it->second, now - short_window, now);
    return recent.jobs >= min_jobs ? recent.rate : measure(it->second, now - long_window, now).rate;
}

std::int64_t offered_load::expected_rate(const std::string& pool, time_ms now,
                                         time_ms ahead) const {
    const auto it = pools_.find(pool);
    if (it == pools_.end())
        return 0;
    const auto recent = measure(it->second, now - short_window, now);
    const auto before = measure(it->second, now - 2 * short_window, now - short_window);
    if (recent.jobs < min_jobs || recent.rate <= before.rate)
        return rate(pool, now);
    const auto rise = static_cast<double>(recent.rate - before.rate) * static_cast<double>(ahead) /
                      static_cast<double>(short_window);
    const auto max_rate = max_growth * static_cast<double>(recent.rate);
    return static_cast<std::int64_t>(std::min(max_rate, static_cast<double>(recent.rate) + rise));
}

} // namespace clementine::workload
