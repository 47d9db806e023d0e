#include "workload/surge_forecast.h"

#include <algorithm>

namespace clementine::workload {

namespace {

// Window of the rate: short enough to see a surge of 4 s early, long enough for some ten jobs.
constexpr time_ms rate_window{800};
// A surge is a rate well above the mean of the last cycle.
constexpr time_ms mean_window{20'000};
constexpr double surge_factor = 1.8;
constexpr double calm_factor = 0.6;
// Rates below this are no surge whatever the mean: one core.
constexpr std::int64_t least_surge{8'000};
// Shorter pauses between two surges of a pool are noise.
constexpr time_ms least_gap{2'000};
// A job that is offered again within this time is the same one.
constexpr time_ms job_memory{12'000};
// A rise of few jobs is mostly chance; the forecast is at most this many times the rate.
constexpr double most_growth = 2.0;
// The forecast holds this long past the expected onset.
constexpr time_ms forecast_slack{1'500};

} // namespace

void surge_forecast::offered(const std::string& pool, const std::string& job, std::int64_t work,
                             time_ms now) {
    while (!expiry_.empty() && expiry_.front().first < now) {
        seen_.erase(expiry_.front().second);
        expiry_.pop_front();
    }
    if (!seen_.emplace(job, now).second)
        return;
    expiry_.emplace_back(now + job_memory, job);
    auto& item = pools_[pool];
    item.samples.push_back({now, work});
    while (item.samples.front().at < now - mean_window)
        item.samples.pop_front();
}

std::int64_t surge_forecast::rate_of(const history& item, time_ms now) const {
    std::int64_t sum = 0;
    for (auto at = item.samples.rbegin(); at != item.samples.rend(); ++at) {
        if (at->at > now)
            continue;
        if (at->at <= now - rate_window)
            break;
        sum += at->work;
    }
    return sum / rate_window;
}

// A surge rises over some 3 s; while it does, the rise is taken to go on.
std::int64_t surge_forecast::trend(const history& item, time_ms now, time_ms ahead) const {
    const auto current = rate_of(item, now);
    const auto before = rate_of(item, now - rate_window);
    if (current <= before)
        return current;
    const auto rise = static_cast<double>(current - before) / static_cast<double>(rate_window);
    const auto most = static_cast<std::int64_t>(most_growth * static_cast<double>(current));
    return std::min(most, current + static_cast<std::int64_t>(rise * static_cast<double>(ahead)));
}

std::int64_t surge_forecast::rate(const std::string& pool, time_ms now) const {
    const auto at = pools_.find(pool);
    return at == pools_.end() ? 0 : rate_of(at->second, now);
}

void surge_forecast::update(time_ms now) {
    for (auto& [name, item] : pools_) {
        const auto current = rate_of(item, now);
        std::int64_t sum = 0;
        for (const auto& one : item.samples)
            sum += one.work;
        const auto span = item.samples.empty()
                              ? mean_window
                              : std::max<time_ms>(4 * rate_window, now - item.samples.front().at);
        const auto mean = static_cast<double>(sum) / static_cast<double>(span);
        const auto rate = static_cast<double>(current);
        if (item.surging) {
            item.peak = std::max(item.peak, current);
            if (rate < calm_factor * mean || current < least_surge / 2) {
                item.surging = false;
                item.ended = now;
                item.length = now - item.onset;
            }
            continue;
        }
        if (current < least_surge || rate < surge_factor * mean || now - item.ended < least_gap)
            continue;
        item.surging = true;
        item.peak = current;
        item.onset = now;
        if (!last_onset_pool_.empty() && last_onset_pool_ != name) {
            item.before = last_onset_pool_;
            item.lag = now - pools_[last_onset_pool_].onset;
        }
        last_onset_pool_ = name;
    }
}

std::int64_t surge_forecast::expected(const std::string& pool, time_ms now, time_ms ahead) const {
    const auto at = pools_.find(pool);
    if (at == pools_.end())
        return 0;
    const auto& item = at->second;
    const auto current = trend(item, now, ahead);
    if (item.surging || item.before.empty())
        return current;
    const auto& before = pools_.at(item.before);
    if (before.onset <= item.onset)
        return current;
    const auto onset = before.onset + item.lag;
    if (now + ahead < onset || now > onset + forecast_slack)
        return current;
    return std::max(current, item.peak);
}

} // namespace clementine::workload
