#include "proxy/silent_detector.h"

#include <algorithm>

namespace clementine::proxy {

std::vector<silent_action>
silent_detector::observe(time_ms now, const std::vector<connection_view>& connections) {
    if (suspect_since_)
        return evaluate(now, connections);
    const auto is_silent = [&](const connection_view& item) {
        return item.in_use && now - item.waiting_since >= settings_.silence;
    };
    const auto is_idle = [](const connection_view& item) { return !item.in_use; };
    const bool has_idle = std::ranges::any_of(connections, is_idle);
    if (now >= no_check_before_ && std::ranges::any_of(connections, is_silent))
        return start_check(now, has_idle);
    if (!has_idle || idle_probe_ == probe_state::pending ||
        now - last_idle_probe_at_ < settings_.interval)
        return {};
    last_idle_probe_at_ = now;
    idle_probe_ = probe_state::pending;
    return {silent_action::probe_idle};
}

std::vector<silent_action> silent_detector::start_check(time_ms now, bool has_idle) {
    suspect_since_ = now;
    probes_started_at_ = now;
    new_probe_ = probe_state::pending;
    std::vector<silent_action> actions{silent_action::probe_new};
    // A pending routine probe also serves as the probe of an old connection.
    if (idle_probe_ != probe_state::pending) {
        idle_probe_ = has_idle ? probe_state::pending : probe_state::none;
        if (has_idle)
            actions.push_back(silent_action::probe_idle);
    }
    return actions;
}

std::vector<silent_action>
silent_detector::probe_ended(time_ms now, probe_target target, probe_result result,
                             const std::vector<connection_view>& connections) {
    if (target == probe_target::new_connection) {
        new_probe_ = result == probe_result::answered ? probe_state::answered : probe_state::failed;
        return evaluate(now, connections);
    }
    idle_probe_ = probe_state::none;
    if (result == probe_result::unavailable)
        return evaluate(now, connections);
    const bool answered = result == probe_result::answered;
    if (!suspect_since_ && answered)
        return {};
    std::vector<silent_action> actions;
    // The idle connection is silent. A new connection shows whether the backend server is alive.
    if (!suspect_since_)
        actions = start_check(now, false);
    idle_probe_ = answered ? probe_state::answered : probe_state::failed;
    const auto further_actions = evaluate(now, connections);
    actions.insert(actions.end(), further_actions.begin(), further_actions.end());
    return actions;
}

std::vector<silent_action>
silent_detector::evaluate(time_ms now, const std::vector<connection_view>& connections) {
    if (!suspect_since_)
        return {};
    if (idle_probe_ == probe_state::answered) {
        // Old connections work, so the backend server is only slow.
        end_check(now);
        return {silent_action::clear};
    }
    const bool idle_pending = idle_probe_ == probe_state::pending;
    if (new_probe_ == probe_state::pending || idle_pending)
        return {};
    if (new_probe_ == probe_state::answered) {
        if (idle_probe_ == probe_state::failed) {
            end_check(now);
            return {silent_action::replace_old};
        }
        if (old_connection_received(connections)) {
            end_check(now);
            return {silent_action::clear};
        }
        // Without an idle connection to probe, those in use get the probe timeout to receive data.
        if (now - probes_started_at_ < settings_.probe)
            return {};
        end_check(now);
        return {silent_action::replace_old};
    }
    // No probe was answered: the backend server or the network path to it is down. Old connections
    // stay blocked until a new one works or an old one receives data.
    if (old_connection_received(connections)) {
        end_check(now);
        return {silent_action::clear};
    }
    if (now - probes_started_at_ < settings_.probe)
        return {};
    probes_started_at_ = now;
    new_probe_ = probe_state::pending;
    return {silent_action::probe_new};
}

bool silent_detector::old_connection_received(
    const std::vector<connection_view>& connections) const {
    return std::ranges::any_of(connections, [this](const connection_view& item) {
        return item.opened_at < *suspect_since_ && item.received_at > *suspect_since_;
    });
}

void silent_detector::end_check(time_ms now) {
    replaced_before_ = *suspect_since_;
    suspect_since_.reset();
    new_probe_ = probe_state::none;
    idle_probe_ = probe_state::none;
    last_idle_probe_at_ = now;
    // Prevents the same slow request from starting another check at once.
    no_check_before_ = now + settings_.silence;
}

} // namespace clementine::proxy
