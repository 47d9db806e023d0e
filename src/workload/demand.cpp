#include "workload/demand.h"

#include <algorithm>
#include <cmath>

namespace clementine::workload {

namespace {

// Short enough to detect a surge early.
constexpr time_ms short_window{800};
// For queues of few jobs, whose count in a short window is mostly random unless it rises clearly.
constexpr time_ms long_window{2'400};
// Fewest jobs in the short window for its rate to be significant.
constexpr int min_jobs = 7;
// Largest ratio of the extrapolated to the measured rate.
constexpr double max_growth = 1.8;
// Part of a rise that is taken for chance, in standard deviations of the two counts. A smaller part
// calls VMs for chance, a larger one calls them late in the first turns.
constexpr double chance_deviations = 1.5;
// The mean size is of about this many jobs: with a size that varies by a factor of 50, its
// standard error is then about a tenth.
constexpr double size_memory_jobs = 150;
// Largest part that a job has in the mean size, in multiples of it. Sizes that differ by a factor
// of 50 stay below. A wrong estimate raises the mean by an eighth at most once it is of 150 jobs,
// and to 2.3 times when it is of 15.
constexpr double max_size_ratio = 20;
// Work that always counts in full: one core for 1 s. Otherwise the mean of a queue whose jobs had
// no estimates would not rise.
constexpr double min_size_limit = 1'000'000;
// The sizes of the first jobs are limited by their median, because a wrong one may be the first.
constexpr std::size_t first_jobs = 15;
constexpr time_ms min_duration{1};
// Work with less slack cannot wait for other work to end.
constexpr time_ms min_slack{150};
// Late work is finished within this time: its jobs are late anyway, and those that can be on time
// need the capacity first.
constexpr time_ms late_work_time{3'000};

} // namespace

double certain_rise(const job_counts& counts) {
    const double recent = counts.recent;
    const double before = counts.before;
    // The variance of a Poisson count is its mean.
    return std::max(0.0, recent - before - chance_deviations * std::sqrt(recent + before));
}

double expected_count(const job_counts& counts, double windows_ahead) {
    const double recent = counts.recent;
    return std::min(max_growth * recent, recent + certain_rise(counts) * windows_ahead);
}

void add_work(std::int64_t& sum, double work) {
    sum = static_cast<std::int64_t>(std::min(max_work_sum, static_cast<double>(sum) + work));
}

// Adds a job to the mean size, which one wrong estimate must not raise for many jobs.
void job_arrivals::add_size(history& item, double work) {
    constexpr double keep = 1 - 1 / size_memory_jobs;
    const auto add = [&item](double size, double usual) {
        size = std::min(size, std::max(min_size_limit, max_size_ratio * usual));
        item.work_sum = keep * item.work_sum + size;
        item.weight = keep * item.weight + 1;
    };
    if (item.first_works.size() == first_jobs) {
        add(work, item.mean_work());
        return;
    }
    item.first_works.push_back(work);
    auto sorted = item.first_works;
    std::ranges::sort(sorted);
    // The lower one of two, which is not the wrong one.
    const auto median = sorted[(sorted.size() - 1) / 2];
    item.work_sum = 0;
    item.weight = 0;
    for (const auto size : item.first_works)
        add(size, median);
}

std::int64_t job_arrivals::offered(const std::string& queue, const std::string& pool,
                                   std::int64_t work, time_ms now) {
    auto& item = queues_[queue];
    item.pool = pool;
    item.times.push_back(now);
    while (item.times.front() <= now - long_window)
        item.times.pop_front();
    add_size(item, static_cast<double>(work));
    return static_cast<std::int64_t>(item.mean_work());
}

// Counts the jobs after `from`, up to and including `to`.
int job_arrivals::count(const history& item, time_ms from, time_ms to) {
    return static_cast<int>(std::ranges::upper_bound(item.times, to) -
                            std::ranges::upper_bound(item.times, from));
}

std::int64_t job_arrivals::expected_rate(const std::string& pool, time_ms now,
                                         time_ms ahead) const {
    double out = 0;
    for (const auto& [name, item] : queues_) {
        if (item.pool != pool)
            continue;
        const job_counts counts{count(item, now - 2 * short_window, now - short_window),
                                count(item, now - short_window, now)};
        const bool significant = counts.recent >= min_jobs || certain_rise(counts) > 0;
        const double jobs_per_ms =
            significant
                ? expected_count(counts, static_cast<double>(ahead) / short_window) / short_window
                : static_cast<double>(count(item, now - long_window, now)) / long_window;
        out += jobs_per_ms * item.mean_work();
    }
    return static_cast<std::int64_t>(out);
}

std::int64_t capacity_in_time(const running_work& running, std::vector<waiting_step> waiting) {
    std::int64_t urgent = 0;
    for (auto& step : waiting) {
        step.duration = std::max(min_duration, step.duration);
        if (step.slack < 0)
            step.slack = late_work_time;
        else if (step.slack < min_slack)
            urgent += step.cpu;
    }
    const auto end_of = [](const waiting_step& step) {
        return std::max<time_ms>(1, step.slack + step.duration);
    };
    std::ranges::sort(waiting, {}, end_of);
    auto out = running.cpu + urgent;
    // All work that is due by the same time must fit before it.
    // The product of many tasks and a long duration exceeds 64 bits.
    auto work = static_cast<double>(running.work);
    for (const auto& step : waiting) {
        work += static_cast<double>(step.cpu) * static_cast<double>(step.duration);
        const auto needed = std::ceil(work / static_cast<double>(end_of(step)));
        out = std::max(out, static_cast<std::int64_t>(std::min(max_work_sum, needed)));
    }
    return out;
}

} // namespace clementine::workload
