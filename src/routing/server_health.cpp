#include "routing/server_health.h"

#include <algorithm>

namespace clementine::routing {

namespace {

constexpr time_ms first_penalty{200};
constexpr time_ms max_penalty{30'000};
// 200 ms doubled eight times exceeds max_penalty.
constexpr int max_doublings = 8;

} // namespace

void server_health::record(attempt_result result, time_ms now) {
    switch (result) {
    case attempt_result::answered:
        consecutive_failures_ = 0;
        penalty_until_ = 0;
        return;
    case attempt_result::abandoned:
        return;
    case attempt_result::failed:
    case attempt_result::not_run:
    case attempt_result::lost:
        break;
    }
    const int doublings = std::min(consecutive_failures_, max_doublings);
    ++consecutive_failures_;
    penalty_until_ = now + std::min(max_penalty, first_penalty << doublings);
}

} // namespace clementine::routing
