// Failure tracking of one backend server, which keeps a server that fails fast from attracting
// load.
#pragma once

#include "routing/types.h"

namespace clementine::routing {

class server_health {
  public:
    // Records the result of an attempt. Abandoned attempts say nothing about the server and are
    // ignored.
    void record(attempt_result result, time_ms now);
    // Consecutive failures to add to the server's outstanding requests during the penalty time.
    int penalty(time_ms now) const { return now < penalty_until_ ? consecutive_failures_ : 0; }
    // True during the penalty time after at least `ejection_failures` consecutive failures.
    bool suspect(time_ms now) const {
        return now < penalty_until_ && consecutive_failures_ >= ejection_failures;
    }

  private:
    static constexpr int ejection_failures = 3;

    int consecutive_failures_ = 0;
    time_ms penalty_until_ = 0;
};

} // namespace clementine::routing
