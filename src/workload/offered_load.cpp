#include "workload/offered_load.h"

#include <algorithm>

namespace clementine::workload {

namespace {

// Short enough to see a surge early.
constexpr time_ms short_window{800};
// For queues of few, large jobs, whose rate over a short window is mostly chance.
constexpr time_ms long_window{2'400};
// Jobs in a window from which on its rate means something.
constexpr int enough_jobs = 7;
// A job that is offered again within this time is the same one.
constexpr time_ms job_memory{12'000};
// A rise is extrapolated to at most this many times the rate.
constexpr double most_growth = 1.8;

} // namespace

void offered_load::offered(const std::string& pool, const std::string& job, std::int64_t work,
                           time_ms now) {
    while (!expiry_.empty() && expiry_.front().first < now) {
        seen_.erase(expiry_.front().second);
        expiry_.pop_front();
    }
    if (!seen_.emplace(job, now).second)
        return;
    expiry_.emplace_back(now + job_memory, job);
    auto& item = pools_[pool];
    item.push_back({now, work});
    while (item.front().at < now - long_window)
        item.pop_front();
}

// Samples after `from`, up to `to`.
offered_load::window offered_load::measure(const history& item, time_ms from, time_ms to) {
    window out;
    for (const auto& one : item) {
        if (one.at <= from || one.at > to)
            continue;
        out.rate += one.work;
        ++out.jobs;
    }
    out.rate /= std::max<time_ms>(1, to - from);
    return out;
}

std::int64_t offered_load::rate(const std::string& pool, time_ms now) const {
    const auto at = pools_.find(pool);
    if (at == pools_.end())
        return 0;
    const auto recent = measure(at->second, now - short_window, now);
    return recent.jobs >= enough_jobs ? recent.rate
                                      : measure(at->second, now - long_window, now).rate;
}

std::int64_t offered_load::expected(const std::string& pool, time_ms now, time_ms ahead) const {
    const auto at = pools_.find(pool);
    if (at == pools_.end())
        return 0;
    const auto recent = measure(at->second, now - short_window, now);
    const auto before = measure(at->second, now - 2 * short_window, now - short_window);
    if (recent.jobs < enough_jobs || recent.rate <= before.rate)
        return rate(pool, now);
    const auto rise = static_cast<double>(recent.rate - before.rate) * static_cast<double>(ahead) /
                      static_cast<double>(short_window);
    const auto most = most_growth * static_cast<double>(recent.rate);
    return static_cast<std::int64_t>(std::min(most, static_cast<double>(recent.rate) + rise));
}

} // namespace clementine::workload
