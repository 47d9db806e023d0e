#include "workload/turn_forecast.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace clementine::workload {

namespace {

constexpr time_ms bin_length{200};
// Several cycles of turns of some seconds.
constexpr std::size_t max_bins = 400;
// A pool is in its turn while its rate, averaged over neighbouring bins, is above this share of the
// highest one.
constexpr double turn_share = 0.5;
// A pool has turns only if its highest rate is at least this multiple of its mean.
constexpr std::int64_t min_surge = 2;
// Shorter rises are chance, shorter gaps as well.
constexpr std::size_t min_turn_bins = 5;
constexpr std::size_t max_gap_bins = 3;
// Where a turn begins, as a share of the highest rate.
constexpr double rise_share = 0.15;
// Turns repeat if the intervals between their starts differ from the median by at most this part of
// it.
constexpr double max_interval_error = 0.35;
// An expected turn that has not begun this long after its time does not come.
constexpr time_ms max_lateness{800};
// A turn that has begun is found once it has lasted `min_turn_bins` above `turn_share`; this is the
// time for it from the start of a slow rise.
constexpr time_ms max_recognition_time{2'400};
// Rate with which a turn has begun, as a share of its level.
constexpr double begun_share = 0.3;

} // namespace

void turn_forecast::offered(const std::string& pool, std::int64_t work, time_ms now) {
    auto& item = pools_[pool];
    const auto bin_start = now - now % bin_length;
    if (item.bins.empty())
        item.begin = bin_start;
    const auto index = (bin_start - item.begin) / bin_length;
    if (index < 0)
        return;
    if (static_cast<std::size_t>(index) >= item.bins.size() + max_bins) {
        item.bins.assign(1, work);
        item.begin = bin_start;
        return;
    }
    if (static_cast<std::size_t>(index) >= item.bins.size())
        item.bins.resize(static_cast<std::size_t>(index) + 1);
    item.bins[static_cast<std::size_t>(index)] += work;
    while (item.bins.size() > max_bins) {
        item.bins.pop_front();
        item.begin += bin_length;
    }
}

void turn_forecast::find_turns(const std::string& pool, const history& item, time_ms now,
                               std::vector<turn>& out) {
    // Complete bins up to now; bins without work may be missing at the end. Pools without new work
    // keep older bins, whose turns would be followed by none of the other pools.
    const auto begin_of_search =
        std::max(item.begin, now - now % bin_length - static_cast<time_ms>(max_bins) * bin_length);
    const auto skipped = static_cast<std::size_t>((begin_of_search - item.begin) / bin_length);
    const auto size =
        static_cast<std::size_t>(std::max<time_ms>(0, (now - begin_of_search) / bin_length));
    const auto work_at = [&](std::size_t i) {
        return skipped + i < item.bins.size() ? item.bins[skipped + i] : 0;
    };
    std::vector<std::int64_t> rates(size);
    for (std::size_t i = 0; i < size; ++i) {
        const auto first = i > 0 ? i - 1 : 0;
        const auto last = std::min(i + 1, size - 1);
        std::int64_t sum = 0;
        for (auto k = first; k <= last; ++k)
            sum += work_at(k);
        rates[i] = sum / static_cast<std::int64_t>(last - first + 1) / bin_length;
    }
    if (rates.empty())
        return;
    const auto highest = *std::ranges::max_element(rates);
    const auto mean = std::accumulate(rates.begin(), rates.end(), std::int64_t{0}) /
                      static_cast<std::int64_t>(size);
    if (highest < min_surge * mean)
        return; // steady
    const auto threshold = static_cast<std::int64_t>(turn_share * static_cast<double>(highest));
    const auto rise = static_cast<std::int64_t>(rise_share * static_cast<double>(highest));
    for (std::size_t i = 0; i < size;) {
        if (rates[i] <= threshold) {
            ++i;
            continue;
        }
        auto last = i;
        std::int64_t sum = 0;
        std::size_t bins = 0;
        for (auto k = i; k < size && k <= last + max_gap_bins; ++k) {
            if (rates[k] > threshold)
                last = k;
        }
        for (auto k = i; k <= last; ++k, ++bins)
            sum += rates[k];
        auto begin = i;
        while (begin > 0 && rates[begin - 1] > rise)
            --begin;
        // It began before the searched bins.
        const bool cut = i == 0 && (skipped > 0 || item.bins.size() >= max_bins);
        if (bins >= min_turn_bins && !cut)
            out.push_back({pool, begin_of_search + static_cast<time_ms>(begin) * bin_length,
                           sum / static_cast<std::int64_t>(bins)});
        i = last + 1;
    }
}

// A turn of the pool that last followed another one, or of the one whose turn was longest ago once
// all have had one.
const turn_forecast::turn* turn_forecast::find_follower(const std::vector<turn>& turns,
                                                        const std::string& pool,
                                                        std::size_t pools) {
    const turn* out = nullptr;
    std::map<std::string, const turn*> latest;
    for (std::size_t i = 0; i < turns.size(); ++i) {
        latest[turns[i].pool] = &turns[i];
        if (i + 1 < turns.size() && turns[i].pool == pool && turns[i + 1].pool != pool)
            out = &turns[i + 1];
    }
    if (out || latest.size() < pools)
        return out;
    latest.erase(pool);
    for (const auto& [name, item] : latest) {
        if (!out || item->start < out->start)
            out = item;
    }
    return out;
}

// True if the rate of the last complete bins shows that a turn has begun.
bool turn_forecast::has_risen(const history& item, time_ms now, std::int64_t level) {
    constexpr time_ms checked_bins = 3;
    const auto end = (now - item.begin) / bin_length;
    std::int64_t sum = 0;
    for (auto i = std::max<time_ms>(0, end - checked_bins); i < end; ++i) {
        const auto index = static_cast<std::size_t>(i);
        sum += index < item.bins.size() ? item.bins[index] : 0;
    }
    return static_cast<double>(sum) / static_cast<double>(checked_bins * bin_length) >=
           begun_share * static_cast<double>(level);
}

std::optional<turn_forecast::next_turn> turn_forecast::find_next(std::size_t pools,
                                                                 time_ms now) const {
    std::vector<turn> turns;
    for (const auto& [pool, item] : pools_)
        find_turns(pool, item, now, turns);
    std::ranges::sort(turns, {}, &turn::start);
    if (turns.size() < 2)
        return std::nullopt;
    const auto& current = turns.back();
    // From the start of a turn to that of the next.
    std::vector<time_ms> intervals;
    for (std::size_t i = 0; i + 1 < turns.size(); ++i)
        intervals.push_back(turns[i + 1].start - turns[i].start);
    auto sorted = intervals;
    std::ranges::sort(sorted);
    const auto interval = sorted[sorted.size() / 2];
    const auto allowed_error = max_interval_error * static_cast<double>(interval);
    const bool regular = std::ranges::all_of(intervals, [&](time_ms each) {
        return std::abs(static_cast<double>(each - interval)) <= allowed_error;
    });
    if (!regular || now > current.start + interval + max_recognition_time)
        return std::nullopt;
    const auto* follower = find_follower(turns, current.pool, pools);
    if (!follower)
        return std::nullopt;
    next_turn out;
    out.pool = follower->pool;
    out.start = current.start + interval;
    out.level = std::ranges::find(turns.rbegin(), turns.rend(), out.pool, &turn::pool)->level;
    if (const auto* after = find_follower(turns, out.pool, pools))
        out.after = after->pool;
    out.late = now > out.start + max_lateness;
    out.interval = interval;
    out.current = current.pool;
    out.current_start = current.start;
    std::map<std::string, std::int64_t> counts;
    for (std::size_t i = 0; i + 1 < turns.size(); ++i) {
        out.levels[turns[i].pool] += turns[i].level;
        ++counts[turns[i].pool];
    }
    for (auto& [pool, level] : out.levels)
        level /= counts[pool];
    out.levels.try_emplace(current.pool, current.level);
    out.begun = has_risen(pools_.at(out.pool), now, out.levels.at(out.pool));
    return out;
}

void turn_forecast::refresh(std::size_t pools, time_ms now) const {
    const auto interval = now / bin_length;
    if (searched_at_ == interval)
        return;
    searched_at_ = interval;
    next_ = find_next(pools, now);
}

std::optional<turn_forecast::pool_turn>
turn_forecast::find_turn(const std::string& pool, std::size_t pools, time_ms now) const {
    refresh(pools, now);
    if (!next_ || (next_->late && !next_->begun))
        return std::nullopt;
    const auto after_next = next_->start + next_->interval;
    const auto level = next_->levels.find(pool);
    if (level == next_->levels.end())
        return pool_turn{after_next, after_next + next_->interval, std::nullopt};
    if (pool == next_->pool)
        return pool_turn{next_->start, next_->start + next_->interval, level->second};
    if (pool == next_->current && now < next_->start)
        return pool_turn{next_->current_start, next_->start, level->second};
    if (pool == next_->after)
        return pool_turn{after_next, after_next + next_->interval, level->second};
    const auto earliest = next_->after.empty() ? after_next : after_next + next_->interval;
    return pool_turn{earliest, earliest + next_->interval, std::nullopt};
}

std::int64_t turn_forecast::expected_rate(const std::string& pool, std::size_t pools, time_ms now,
                                          time_ms ahead) const {
    refresh(pools, now);
    if (!next_ || next_->late || next_->pool != pool || now + ahead < next_->start)
        return 0;
    return next_->level;
}

} // namespace clementine::workload
