#include "workload/pacing.h"

#include <algorithm>

namespace clementine::workload {

namespace {

constexpr double stop_tail_ratio = 1.3;
constexpr double raise_tail_ratio = 0.6;
// Below this share a best-effort run is paused altogether.
constexpr int min_pace = 10;
constexpr int full_pace = 100;
constexpr int pace_step = 20;
// The share is raised only after the tail ratio has been below the limit for this time.
constexpr time_ms raise_delay{2'000};

} // namespace

std::optional<int> next_pace(int pace, double worst, time_ms time_below_limit) {
    int next = pace;
    if (worst >= stop_tail_ratio)
        next = 0;
    else if (worst >= tail_ratio_limit)
        next = pace / 2 < min_pace ? 0 : pace / 2;
    else if (worst < raise_tail_ratio && time_below_limit >= raise_delay)
        next = std::min(full_pace, pace + pace_step);
    return next == pace ? std::nullopt : std::optional<int>(next);
}

bool is_pace_decided(double worst) {
    return worst < raise_tail_ratio || worst >= tail_ratio_limit;
}

double worst_tail_ratio(const worker& target) {
    double worst = 0;
    for (const auto& [key, run] : target.runs) {
        if (run.target_tail_latency > 0 && run.stage == run_stage::listed)
            worst = std::max(worst, static_cast<double>(run.load) /
                                        static_cast<double>(run.target_tail_latency));
    }
    return worst;
}

} // namespace clementine::workload
