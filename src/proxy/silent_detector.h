// Decides when the open connections to one backend server have gone silent (no data arrives, and no
// error) and must be replaced. Turns observations and probe results into actions and performs no
// I/O; silent_monitor does that.
#pragma once

#include "base/clock.h"

#include <optional>
#include <vector>

namespace clementine::proxy {

struct silent_settings {
    time_ms silence{1'500};  // a request without a byte for this long is suspect
    time_ms probe{500};      // a probe must be answered within this time
    time_ms interval{1'000}; // between probes of an idle connection
};

// State of a connection as the detector needs it. Replaced connections that still carry a
// non-idempotent request are left out.
struct connection_view {
    time_ms opened_at = 0;
    time_ms waiting_since = 0; // last byte received, or start of the request if later
    time_ms received_at = 0;   // last byte received
    bool in_use = false;
};

enum class probe_target { new_connection, idle_connection };

enum class probe_result {
    answered,
    failed,     // no answer in time, or the new connection could not be opened
    unavailable // there was no idle connection to probe, or its peer closed it
};

enum class silent_action {
    probe_new,   // open a connection and probe it
    probe_idle,  // probe an idle connection opened before `suspect_since`
    replace_old, // replace all connections opened before `suspect_since`
    clear        // old connections work and are usable again
};

class silent_detector {
  public:
    explicit silent_detector(silent_settings settings) : settings_(settings) {}

    // Called several times a second with all connections. Returns the actions to perform now.
    std::vector<silent_action> observe(time_ms now,
                                       const std::vector<connection_view>& connections);
    // Reports the result of a probe that an action requested.
    std::vector<silent_action> probe_ended(time_ms now, probe_target target, probe_result result,
                                           const std::vector<connection_view>& connections);

    // Connections opened before this time must not be reused; nothing if none is suspect.
    std::optional<time_ms> suspect_since() const { return suspect_since_; }

    // The last `replace_old` applies to connections opened before this time.
    time_ms replaced_before() const { return replaced_before_; }

  private:
    enum class probe_state { none, pending, answered, failed };

    std::vector<silent_action> start_check(time_ms now, bool has_idle);
    std::vector<silent_action> evaluate(time_ms now,
                                        const std::vector<connection_view>& connections);
    bool old_connection_received(const std::vector<connection_view>& connections) const;
    void end_check(time_ms now);

    silent_settings settings_;
    std::optional<time_ms> suspect_since_;
    probe_state new_probe_ = probe_state::none;
    probe_state idle_probe_ = probe_state::none;
    time_ms replaced_before_ = 0;
    time_ms probes_started_at_ = 0;
    time_ms last_idle_probe_at_ = 0;
    time_ms no_check_before_ = 0;
};

} // namespace clementine::proxy
