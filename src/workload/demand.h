// Estimates the processor that a pool needs from uneven jobs. Performs no input or output.
//
// Load pattern: 10 to 50 jobs a second at the peak of a turn of 4 s, whose work differs by a factor
// of 50. The work offered in a window of 0.8 s is then mostly chance: read as a rate, it calls all
// VMs to a pool and releases them half a second later. Counts vary less than sizes, so the rate of
// jobs comes from a short window and their mean size from many jobs. Work that waits needs the
// capacity that finishes it in time, not a core for each task at once: after a change of the leader
// it may be several times what exists.
#pragma once

#include "base/clock.h"

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <vector>

namespace clementine::workload {

enum class demand_model {
    measured_work, // work offered in a short window, and all ready tasks at once
    counted_jobs   // counts and mean sizes apart, and work over the time until it is due
};

// Counts of submitted jobs in two windows of equal length, one after the other.
struct job_counts {
    int before = 0;
    int recent = 0;
};

// Part of a rise that exceeds the chance variation of the counts.
double certain_rise(const job_counts& counts);
// Number of jobs expected in a window `ahead` later. A rise is extrapolated only as far as the
// counts show it beyond their chance variation.
double expected_count(const job_counts& counts, double windows_ahead);

// Limit on sums of work, in thousandths of a core times ms: a hundred jobs of `max_job_work`. Sums
// over the pools and with single jobs stay in range.
inline constexpr double max_work_sum = 1e17;
// Adds work to a sum, which stops at `max_work_sum`.
void add_work(std::int64_t& sum, double work);

// Submitted jobs of each queue.
class job_arrivals {
  public:
    // Records a submitted job; `work` is in thousandths of a core times ms. Each job counts once.
    // Returns the mean work of the queue's jobs.
    std::int64_t offered(const std::string& queue, const std::string& pool, std::int64_t work,
                         time_ms now);
    // Work per ms that a pool is expected to be offered in `ahead` ms, in thousandths of a core.
    std::int64_t expected_rate(const std::string& pool, time_ms now, time_ms ahead) const;

  private:
    struct history {
        std::string pool;
        std::deque<time_ms> times;
        std::vector<double> first_works; // of the first jobs, as offered
        double work_sum = 0;             // of recent jobs; older ones weigh less
        double weight = 0;
        double mean_work() const { return weight > 0 ? work_sum / weight : 0; }
    };

    static void add_size(history& item, double work);
    static int count(const history& item, time_ms from, time_ms to);

    std::map<std::string, history> queues_;
};

// Tasks of a step that wait and may start.
struct waiting_step {
    time_ms slack{0}; // until the latest start with which its job is on time; negative if late
    time_ms duration{0};
    std::int64_t cpu = 0; // of all tasks, in thousandths of a core
};

struct running_work {
    std::int64_t cpu = 0;  // thousandths of a core
    std::int64_t work = 0; // thousandths of a core times ms that are left
};

// Least processor with which the running and waiting work ends in time, in thousandths of a core:
// at least what runs, with what cannot wait.
std::int64_t capacity_in_time(const running_work& running, std::vector<waiting_step> waiting);

} // namespace clementine::workload
