#include "routing/home_record.h"

#include <algorithm>

namespace clementine::routing {

int holder_state::max_held_slots() const {
    int out = std::max(granted, reported_held);
    for (const auto& change : outstanding_)
        out = std::max(out, change.slots);
    return out;
}

int holder_state::taken_slots() const {
    const int out = std::max(max_held_slots(), reported_in_use);
    return expired_at_ ? std::min(out, expired_limit_) : out;
}

void holder_state::mark_sent(std::uint64_t sequence) {
    if (expired_at_ && expiry_sequence_ == 0)
        expiry_sequence_ = sequence;
    if (!outstanding_.empty() && outstanding_.back().sequence == sequence) {
        outstanding_.back().slots = granted;
        return;
    }
    if (outstanding_.empty() || outstanding_.back().slots != granted)
        outstanding_.push_back({sequence, granted});
}

void holder_state::mark_applied(std::uint64_t echoed) {
    while (outstanding_.size() > 1 && outstanding_[1].sequence <= echoed)
        outstanding_.pop_front();
    if (expired_at_ && expiry_sequence_ != 0 && expiry_sequence_ <= echoed) {
        expired_at_.reset();
        expiry_sequence_ = 0;
    }
    if (claim_sequence != 0 && claim_sequence <= echoed)
        confirmed_claim = true;
}

void holder_state::expire(time_ms now) {
    expired_limit_ = taken_slots();
    expired_at_ = now;
    expiry_sequence_ = 0;
    granted = 0;
}

void holder_state::limit_expired(int count) {
    expired_limit_ = std::min(expired_limit_, count);
}

int holder_state::restart() {
    const int left = taken_slots();
    *this = holder_state{};
    return left;
}

void home_record::begin_takeover(time_ms now, std::optional<lease_token> previous_token) {
    waiting_ = true;
    reconciling_ = true;
    takeover_at_ = now;
    previous_token_ = std::move(previous_token);
    for (auto& [peer, holder] : holders) {
        holder.confirmed_claim = false;
        holder.claim_sequence = 0;
    }
}

void home_record::end_takeover(time_ms now, bool all_holders_known, int self_in_use) {
    waiting_ = false;
    if (!all_holders_known)
        add_orphans(free_slots(self_in_use), now);
}

void home_record::reconcile(int self_in_use) {
    if (waiting_)
        return;
    if (taken_slots(self_in_use) <= slots) {
        reconciling_ = false;
        return;
    }
    int granted_slots = self_slots + orphans_.count;
    for (const auto& [peer, holder] : holders)
        granted_slots += holder.granted;
    for (int excess = granted_slots - slots; excess > 0; --excess) {
        int* largest = &self_slots;
        for (auto& [peer, holder] : holders) {
            if (holder.granted > *largest)
                largest = &holder.granted;
        }
        if (*largest == 0)
            return;
        --*largest;
    }
}

void home_record::add_orphans(int count, time_ms now) {
    if (count <= 0)
        return;
    orphans_.count += count;
    orphans_.since = now;
}

// An expired share starts no new requests, so a busy value read after its expiry is an upper bound
// for its remaining requests, even if it counts other requests too.
void home_record::apply_busy(int busy, time_ms issued_at, int self_in_use) {
    reports_busy_ = true;
    int left = busy;
    if (orphans_.count > 0 && orphans_.since + max_request_transit <= issued_at) {
        orphans_.count = std::min(orphans_.count, left);
        left -= orphans_.count;
    }
    for (auto& [peer, holder] : holders) {
        if (!holder.expired() || *holder.expired_at() + max_request_transit > issued_at)
            continue;
        holder.limit_expired(left);
        left -= holder.taken_slots();
    }
    unattributed_busy_ = 0;
    unattributed_busy_ = std::max(0, busy - taken_slots(self_in_use));
}

void home_record::release_overdue(time_ms now, time_ms max_request_time) {
    const time_ms max_lifetime = max_request_time + max_request_transit;
    if (orphans_.count > 0 && orphans_.since + max_lifetime <= now)
        orphans_.count = 0;
    for (auto& [peer, holder] : holders) {
        if (holder.expired() && *holder.expired_at() + max_lifetime <= now)
            holder.limit_expired(0);
    }
}

int home_record::taken_slots(int self_in_use) const {
    int total = std::max(self_slots, self_in_use) + orphans_.count + unattributed_busy_;
    for (const auto& [peer, holder] : holders)
        total += holder.taken_slots();
    return total;
}

int home_record::returning_slots(int self_in_use) const {
    int total = std::max(0, self_in_use - self_slots);
    for (const auto& [peer, holder] : holders)
        total += holder.expired() ? 0 : holder.taken_slots() - holder.granted;
    return total;
}

int home_record::free_slots(int self_in_use) const {
    return std::max(0, slots - taken_slots(self_in_use));
}

int home_record::in_flight(int self_in_use) const {
    int total = self_in_use + orphans_.count;
    for (const auto& [peer, holder] : holders)
        total += holder.expired() ? holder.taken_slots() : holder.reported_in_use;
    return total;
}

} // namespace clementine::routing
