// Retry budget of one service, which keeps retries from amplifying an overload.
#pragma once

#include "base/clock.h"

#include <array>

namespace clementine::routing {

// Counts first attempts and retries over the last 10 s, in buckets of 1 s.
class retry_budget {
  public:
    explicit retry_budget(double fraction) : fraction_(fraction) {}

    void set_fraction(double fraction) { fraction_ = fraction; }
    void count_first_attempt(time_ms now);
    // Consumes one retry; returns false if the budget is exhausted.
    bool take(time_ms now);

  private:
    static constexpr int bucket_count = 10;
    static constexpr time_ms bucket_width{1'000};
    // Allowed regardless of traffic, so that services with little traffic can retry at all.
    static constexpr int min_retries = 3;

    struct bucket {
        time_ms index = -1; // time / bucket_width
        int first_attempts = 0;
        int retries = 0;
    };

    bucket& bucket_at(time_ms now);

    double fraction_;
    std::array<bucket, bucket_count> buckets_{};
};

} // namespace clementine::routing
