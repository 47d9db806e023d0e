#include "workload/room_forecast.h"

#include <algorithm>
#include <utility>

namespace clementine::workload {

namespace {

constexpr int complete_percent = 100;
// Below this, rounding and the time to start make the reported progress less exact than the
// estimate.
constexpr int min_informative_percent = 25;

time_ms end_by_plan(const live_run& run, time_ms begin) {
    if (run.percent < min_informative_percent || run.progress_at == 0)
        return begin + run.expected_time;
    // What was done before is part of the percentage but not of the time since `begin`.
    if (run.begun_before)
        return run.progress_at +
               run.expected_time * (complete_percent - run.percent) / complete_percent;
    return begin + (run.progress_at - begin) * complete_percent / run.percent;
}

std::uint32_t count_fitting(resources free, const resources& need, std::uint32_t limit) {
    std::uint32_t out = 0;
    while (out < limit && free.can_fit(need)) {
        free -= need;
        ++out;
    }
    return out;
}

} // namespace

time_ms expected_end(const live_run& run, time_ms stop_time, time_ms now) {
    const bool stops = run.stop_wanted;
    if (run.long_running && !stops)
        return never;
    const auto run_begin = run.confirmed_at != 0 ? run.confirmed_at : run.since;
    const auto stop_begin = run.stop_sent_at != 0 ? run.stop_sent_at : now;
    const auto begin = stops ? stop_begin : run_begin;
    const auto end = stops ? begin + stop_time : end_by_plan(run, begin);
    // What outlasts its estimate is expected to take as long again as so far.
    return end > now ? end : now + std::max<time_ms>(1, now - begin);
}

time_ms worker_room::fits_at(const resources& need) const {
    auto sum = free;
    if (sum.can_fit(need))
        return forecast_at;
    for (const auto& item : releases) {
        sum += item.amount;
        if (sum.can_fit(need))
            return item.at;
    }
    return never;
}

resources worker_room::free_at(time_ms time) const {
    auto sum = free;
    for (const auto& item : releases) {
        if (item.at > time)
            break;
        sum += item.amount;
    }
    return sum;
}

worker_room forecast_room(const worker& item, time_ms stop_time, time_ms now) {
    worker_room out{item.ref.id, now, item.free(), {}};
    out.releases.reserve(item.runs.size());
    for (const auto& [key, run] : item.runs) {
        const auto end = expected_end(run, stop_time, now);
        if (end != never)
            out.releases.push_back({end, run.need});
    }
    std::ranges::sort(out.releases, {}, &expected_release::at);
    return out;
}

bool is_reservable(const worker& item, time_ms now) {
    return accepts_runs(item, now) && !item.health.on_probation && !item.upkeep_due;
}

pool_room::pool_room(std::vector<const worker*> workers, time_ms stop_time, time_ms now)
    : forecast_at_(now) {
    std::erase_if(workers, [&](const worker* item) { return !is_reservable(*item, now); });
    const auto kept = std::min(workers.size(), max_forecast_workers);
    std::partial_sort(workers.begin(), workers.begin() + static_cast<std::ptrdiff_t>(kept),
                      workers.end(), [](const worker* a, const worker* b) {
                          const auto free_a = a->free().cpu;
                          const auto free_b = b->free().cpu;
                          return free_a != free_b ? free_a > free_b : a->ref.id < b->ref.id;
                      });
    workers.resize(kept);
    workers_.reserve(kept);
    for (const auto* item : workers)
        workers_.push_back(forecast_room(*item, stop_time, now));
}

// Load pattern: the same steps look for room in each round until they have it.
const std::vector<pool_room::worker_time>& pool_room::search(const resources& need) {
    const auto known = std::ranges::find(searches_, need, &search_result::need);
    if (known != searches_.end())
        return known->found;
    search_result added{need, {}};
    for (std::size_t i = 0; i < workers_.size(); ++i) {
        const auto at = workers_[i].fits_at(need);
        if (at != never)
            added.found.push_back({at, i});
    }
    std::ranges::sort(added.found, [](const worker_time& a, const worker_time& b) {
        return std::pair(a.at, a.index) < std::pair(b.at, b.index);
    });
    searches_.push_back(std::move(added));
    return searches_.back().found;
}

time_ms pool_room::earliest(const resources& need) {
    const auto& found = search(need);
    return found.empty() ? never : found.front().at;
}

std::vector<std::string> pool_room::by_room(const resources& need, time_ms latest,
                                            std::size_t count) {
    std::vector<std::string> out;
    for (const auto& item : search(need)) {
        if (item.at > latest || out.size() == count)
            break;
        out.push_back(workers_[item.index].id);
    }
    return out;
}

std::vector<reservation> plan_reservations(const reservation_request& request,
                                           const std::vector<worker*>& candidates,
                                           time_ms stop_time, time_ms now) {
    std::vector<reservation> out;
    std::vector<worker_room> rooms;
    auto left = request.tasks;
    time_ms all_begin = now;
    for (auto* target : candidates) {
        if (left == 0 || out.size() == request.max_workers)
            break;
        auto room = forecast_room(*target, stop_time, now);
        const auto begin = room.fits_at(request.need);
        if (begin > request.latest_start)
            continue;
        const auto tasks = count_fitting(room.free_at(begin), request.need, left);
        left -= tasks;
        all_begin = std::max(all_begin, begin);
        out.push_back({target, tasks, {begin, {}}});
        rooms.push_back(std::move(room));
    }
    if (request.gang && left > 0)
        return {};
    for (std::size_t i = 0; i < out.size(); ++i) {
        auto& item = out[i];
        if (request.gang)
            item.room.begins_at = all_begin;
        item.room.beside = rooms[i].free_at(item.room.begins_at);
        for (std::uint32_t k = 0; k < item.tasks; ++k)
            item.room.beside -= request.need;
    }
    return out;
}

bool reservation_times::take(const std::string& job, std::uint32_t occurrence, std::uint32_t step,
                             time_ms now) {
    auto& first = first_.try_emplace({job, occurrence, step}, now).first->second;
    if (now - first >= longest_ + pause_)
        first = now;
    return now - first < longest_;
}

void reservation_times::drop_expired(time_ms now) {
    std::erase_if(first_, [&](const auto& item) { return now - item.second >= longest_ + pause_; });
}

} // namespace clementine::workload
