#include "routing/retry_budget.h"

#include <algorithm>

namespace clementine::routing {

retry_budget::bucket& retry_budget::bucket_at(time_ms now) {
    const time_ms index = now / bucket_width;
    auto& out = buckets_[static_cast<std::size_t>(index % bucket_count)];
    if (out.index != index)
        out = {index, 0, 0};
    return out;
}

void retry_budget::count_first_attempt(time_ms now) {
    ++bucket_at(now).first_attempts;
}

bool retry_budget::take(time_ms now) {
    auto& current = bucket_at(now);
    int first_attempts = 0;
    int retries = 0;
    for (const auto& each : buckets_) {
        if (each.index < 0 || current.index - each.index >= bucket_count)
            continue;
        first_attempts += each.first_attempts;
        retries += each.retries;
    }
    const int allowed = std::max(min_retries, static_cast<int>(fraction_ * first_attempts));
    if (retries >= allowed)
        return false;
    ++current.retries;
    return true;
}

} // namespace clementine::routing
