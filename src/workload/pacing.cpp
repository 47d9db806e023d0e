#include "workload/pacing.h"

#include <algorithm>

namespace clementine::workload {

namespace {

constexpr double far_too_high = 1.3;
constexpr double comfortable = 0.6;
// Below this share a filler is stopped altogether.
constexpr int least_pace = 10;
constexpr int whole_pace = 100;
constexpr int pace_step = 20;
// A rise follows only after this time without a tail that was too high.
constexpr time_ms calm_before_rise{2'000};

} // namespace

std::optional<int> next_pace(int pace, double worst, time_ms calm) {
    int next = pace;
    if (worst >= far_too_high)
        next = 0;
    else if (worst >= tail_too_high)
        next = pace / 2 < least_pace ? 0 : pace / 2;
    else if (worst < comfortable && calm >= calm_before_rise)
        next = std::min(whole_pace, pace + pace_step);
    return next == pace ? std::nullopt : std::optional<int>(next);
}

double worst_tail_ratio(const worker& on) {
    double worst = 0;
    for (const auto& [key, run] : on.runs) {
        if (run.target_tail_latency > 0 && run.stage == run_stage::listed)
            worst = std::max(worst, static_cast<double>(run.load) /
                                        static_cast<double>(run.target_tail_latency));
    }
    return worst;
}

} // namespace clementine::workload
