#include "routing/peer_link.h"

#include <algorithm>

namespace clementine::routing {

namespace {

// Interval of ticks while there are changes to send.
constexpr time_ms change_interval{250};
// Interval of urgent ticks: claims, leaving servers and their confirmation.
constexpr time_ms urgent_interval{50};
// Interval of ticks without changes. With 1,000 ms, a share of 2,000 ms that the home's lease
// bounds would expire between two ticks, because the echo in a tick is up to one interval old.
constexpr time_ms idle_interval{600};
// Shortest interval of a tick that follows a received tick within answer_window. The answer then
// carries the TCP acknowledgement and a recent echo.
constexpr time_ms answer_interval = idle_interval * 3 / 4;
constexpr time_ms answer_window{20};
// Enough to find the echoed tick after at least 10 s of urgent ticks.
constexpr std::size_t max_sent_times = 256;
constexpr std::size_t max_retired_boots = 8;
constexpr time_ms reachable_timeout{2'000};

share_grant withdraw_grant(const share_grant& item) {
    share_grant out;
    out.backend_server = item.backend_server;
    out.kind = grant_kind::gone;
    out.epoch = item.epoch;
    return out;
}

share_report withdraw_report(const share_report& item) {
    return {item.backend_server, 0, 0, 0};
}

service_demand withdraw_demand(const service_demand& item) {
    return {item.service, 0, 0};
}

// True for claims and leaving servers, which are sent and confirmed at the urgent interval.
bool is_urgent(const share_grant& grant) {
    return grant.leaving || grant.kind != grant_kind::grant;
}

void clear_details(share_grant& grant) {
    grant.service.clear();
    grant.instance.clear();
    grant.address.clear();
    grant.port = 0;
    grant.availability_zone.clear();
}

bool same_details(const share_grant& a, const share_grant& b) {
    return a.service == b.service && a.instance == b.instance && a.address == b.address &&
           a.port == b.port && a.availability_zone == b.availability_zone;
}

void copy_details(const share_grant& from, share_grant& to) {
    to.service = from.service;
    to.instance = from.instance;
    to.address = from.address;
    to.port = from.port;
    to.availability_zone = from.availability_zone;
}

} // namespace

bool peer_link::due(bool changed, bool urgent, time_ms now) const {
    if (last_sent_ == 0)
        return true;
    const time_ms since_last_sent = now - last_sent_at_;
    const bool just_received = last_received_at_ && now - *last_received_at_ < answer_window;
    if (since_last_sent >= idle_interval || (just_received && since_last_sent >= answer_interval))
        return true;
    if (urgent || urgent_answer_pending_)
        return since_last_sent >= urgent_interval;
    return (changed || answer_pending_) && since_last_sent >= change_interval;
}

// Clears the details that the peer has confirmed.
void peer_link::trim_details(std::vector<share_grant>& grants, std::uint64_t sequence) {
    for (auto& grant : grants) {
        if (grant.kind == grant_kind::gone) {
            details_.erase(grant.backend_server);
            continue;
        }
        auto& [known, first_sequence] = details_[grant.backend_server];
        if (first_sequence == 0 || !same_details(known, grant)) {
            known = grant;
            first_sequence = sequence;
        }
        if (first_sequence <= last_confirmed_)
            clear_details(grant);
    }
}

std::optional<entry_tick> peer_link::compose(tick_content content, time_ms now) {
    const std::uint64_t sequence = next_sequence();
    const bool grants_changed =
        sent_grants_.update(content.grants, sequence, last_confirmed_, withdraw_grant);
    const bool reports_changed =
        sent_reports_.update(content.held, sequence, last_confirmed_, withdraw_report);
    sent_demand_.update(content.demand, sequence, last_confirmed_, withdraw_demand);
    entry_tick tick;
    tick.grants = sent_grants_.unconfirmed(last_confirmed_);
    const bool urgent =
        grants_changed && std::any_of(tick.grants.begin(), tick.grants.end(), is_urgent);
    // Only a change of a nonempty queue makes a tick due; other changes of demand wait for the
    // next.
    const bool queue_changed =
        std::any_of(content.demand.begin(), content.demand.end(), [&](const auto& item) {
            return item.second.queued > 0 && sent_demand_.first_sequence(item.first) == sequence;
        });
    if (!due(grants_changed || reports_changed || queue_changed, urgent, now))
        return std::nullopt;
    trim_details(tick.grants, sequence);
    tick.held = sent_reports_.unconfirmed(last_confirmed_);
    tick.demand = sent_demand_.unconfirmed(last_confirmed_);
    tick.sender = self_;
    tick.boot = boot_;
    tick.sequence = sequence;
    tick.base = last_confirmed_;
    tick.echoed_boot = remote_boot_;
    tick.echoed_sequence = last_applied_;
    tick.draining = content.draining;
    tick.valid_for = content.valid_for;
    last_sent_ = sequence;
    last_sent_at_ = now;
    answer_pending_ = false;
    urgent_answer_pending_ = false;
    sent_times_.push_back({sequence, now});
    if (sent_times_.size() > max_sent_times)
        sent_times_.pop_front();
    return tick;
}

// Returns false for the boot number of a process that a later one has replaced. A new boot number
// resets all state received from the peer.
bool peer_link::accept_boot(std::uint64_t boot) {
    if (boot == remote_boot_)
        return true;
    if (std::find(retired_boots_.begin(), retired_boots_.end(), boot) != retired_boots_.end())
        return false;
    const bool first = remote_boot_ == 0;
    if (!first)
        retired_boots_.push_back(remote_boot_);
    if (retired_boots_.size() > max_retired_boots)
        retired_boots_.pop_front();
    remote_boot_ = boot;
    if (first)
        return true;
    last_applied_ = 0;
    last_confirmed_ = 0;
    claims_.clear();
    reports_.clear();
    peer_demand_.clear();
    details_.clear();
    return true;
}

// Merges the items of a tick into the state received from the peer.
void peer_link::merge(const entry_tick& tick) {
    for (const auto& grant : tick.grants) {
        if (grant.kind == grant_kind::gone) {
            claims_.erase(grant.backend_server);
            continue;
        }
        auto& known = claims_[grant.backend_server];
        const share_grant previous = known;
        // Only a reduction needs a prompt confirmation, because the home may then reuse the slots.
        answer_pending_ = answer_pending_ || grant.slots < previous.slots;
        known = grant;
        if (grant.instance.empty())
            copy_details(previous, known);
    }
    for (const auto& report : tick.held) {
        if (report.epoch == 0)
            reports_.erase(report.backend_server);
        else
            reports_[report.backend_server] = report;
    }
    for (const auto& demand : tick.demand) {
        if (demand.queued == 0 && demand.in_use == 0)
            peer_demand_.erase(demand.service);
        else
            peer_demand_[demand.service] = demand;
    }
    urgent_answer_pending_ =
        urgent_answer_pending_ || std::any_of(tick.grants.begin(), tick.grants.end(), is_urgent);
}

tick_effect peer_link::receive(const entry_tick& tick, time_ms now, time_ms share_lease) {
    tick_effect effect;
    const std::uint64_t previous_boot = remote_boot_;
    if (tick.sender != peer_ || tick.boot == 0 || !accept_boot(tick.boot))
        return effect;
    effect.restarted = previous_boot != 0 && previous_boot != tick.boot;
    if (tick.sequence <= last_applied_ || tick.base > last_applied_)
        return effect;
    effect.applied = true;
    last_applied_ = tick.sequence;
    last_received_at_ = now;
    draining_ = tick.draining;
    merge(tick);
    if (tick.echoed_boot != boot_ || tick.echoed_sequence > last_sent_)
        return effect;
    last_confirmed_ = std::max(last_confirmed_, tick.echoed_sequence);
    effect.confirmed = tick.echoed_sequence;
    for (const auto& sent : sent_times_) {
        if (sent.sequence == tick.echoed_sequence)
            effect.shares_valid_until = sent.at + std::min(share_lease, tick.valid_for);
    }
    return effect;
}

bool peer_link::reachable(time_ms now) const {
    return last_received_at_ && now - *last_received_at_ < reachable_timeout;
}

} // namespace clementine::routing
