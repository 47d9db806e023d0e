#include "routing/key_holder.h"

#include <algorithm>

namespace clementine::routing {

namespace {

// Votes from before a restart expire within claim_timeout; 10 % more for differing clock rates.
constexpr time_ms sync_start_delay = claim_timeout + claim_timeout / 10;
constexpr time_ms sync_retry_interval{1'000};
// 500 records of about 200 bytes stay far below the frame limit of 1 MiB.
constexpr std::size_t records_per_message = 500;

} // namespace

key_holder::key_holder(key_holder_settings settings, std::uint64_t boot, time_ms now)
    : settings_(std::move(settings)), started_at_(now), last_sync_id_(boot) {
    for (const auto& member : settings_.members) {
        if (member.node != settings_.node)
            syncs_[member.node];
    }
}

// True if no record can be missing, even without a sync.
bool key_holder::is_complete(time_ms now) const {
    return settings_.first_start || now >= started_at_ + settings_.retention;
}

bool key_holder::is_holder(const std::string& node, const idempotency_key& key) const {
    const auto holders = holders_of(key, settings_.members);
    return std::find(holders.begin(), holders.end(), node) != holders.end();
}

bool key_holder::can_vote(const idempotency_key& key, time_ms now) const {
    const auto holders = holders_of(key, settings_.members);
    if (std::find(holders.begin(), holders.end(), settings_.node) == holders.end())
        return false;
    if (is_complete(now))
        return true;
    // Each other holder must have answered, and must itself have had all records of this key.
    for (const auto& other : holders) {
        if (other == settings_.node)
            continue;
        const auto& sync = syncs_.at(other);
        if (!sync.done)
            return false;
        for (const auto& source : holders) {
            if (source != other && sync.complete_with.count(source) == 0)
                return false;
        }
    }
    return true;
}

key_state key_holder::effective_state(const stored_record& value, time_ms now) const {
    if (value.state == key_state::in_progress &&
        now >= value.stored_at + settings_.max_request_time)
        return key_state::unknown;
    return value.state;
}

void key_holder::store(const idempotency_key& key, stored_record value) {
    expiry_queue_.emplace_back(value.stored_at, key);
    records_[key] = std::move(value);
}

key_claim_reply key_holder::claim(const key_claim_request& request, time_ms now) {
    key_claim_reply reply{request.claim_id, settings_.node, false, key_state::none};
    if (!can_vote(request.key, now))
        return reply;
    const auto found = records_.find(request.key);
    if (found == records_.end() || now >= found->second.stored_at + settings_.retention) {
        store(request.key, {request.sender, request.claim_id, key_state::in_progress, now});
        reply.granted = true;
        return reply;
    }
    const auto& known = found->second;
    reply.granted = known.claimant == request.sender && known.claim_id == request.claim_id &&
                    known.state == key_state::in_progress;
    reply.state = effective_state(known, now);
    return reply;
}

void key_holder::release(const key_claim_release& message) {
    const auto found = records_.find(message.key);
    if (found != records_.end() && found->second.claimant == message.sender &&
        found->second.claim_id == message.claim_id && found->second.state == key_state::in_progress)
        records_.erase(found);
}

// Only a claim that won has an outcome, so the outcome replaces any other record of the key.
void key_holder::record(const key_claim_outcome& message, time_ms now) {
    store(message.key, {message.sender, message.claim_id, message.state, now});
}

std::vector<outgoing_sync> key_holder::due_syncs(time_ms now) {
    std::vector<outgoing_sync> out;
    if (is_complete(now) || now < started_at_ + sync_start_delay)
        return out;
    for (auto& [node, sync] : syncs_) {
        // A member whose own sync was not complete is asked again.
        const bool fully_synced =
            sync.done && sync.complete_with.size() + 1 >= settings_.members.size();
        if (fully_synced || (sync.id != 0 && now < sync.requested_at + sync_retry_interval))
            continue;
        sync.id = ++last_sync_id_;
        sync.requested_at = now;
        key_sync request;
        request.request = true;
        request.sender = settings_.node;
        request.sync_id = sync.id;
        out.push_back({node, std::move(request)});
    }
    return out;
}

std::vector<key_sync> key_holder::answer_sync(const key_sync& request, time_ms now) const {
    std::vector<key_sync> out(1);
    for (const auto& [key, value] : records_) {
        if (!is_holder(request.sender, key) || now >= value.stored_at + settings_.retention)
            continue;
        if (out.back().records.size() == records_per_message)
            out.emplace_back();
        out.back().records.push_back(
            {key, value.claimant, value.claim_id, value.state, now - value.stored_at});
    }
    for (auto& message : out) {
        message.sender = settings_.node;
        message.sync_id = request.sync_id;
    }
    out.back().last = true;
    for (const auto& [node, sync] : syncs_) {
        if (is_complete(now) || sync.done)
            out.back().complete_with.push_back(node);
    }
    return out;
}

void key_holder::apply_sync(const key_sync& answer, time_ms now) {
    const auto found = syncs_.find(answer.sender);
    if (found == syncs_.end() || answer.sync_id == 0 || found->second.id != answer.sync_id)
        return;
    for (const auto& item : answer.records) {
        const auto known = records_.find(item.key);
        const bool replaces =
            known == records_.end() ||
            (known->second.state == key_state::in_progress && item.state != key_state::in_progress);
        if (replaces)
            store(item.key, {item.claimant, item.claim_id, item.state, now - item.age});
    }
    if (!answer.last)
        return;
    found->second.done = true;
    found->second.complete_with = {answer.complete_with.begin(), answer.complete_with.end()};
}

void key_holder::advance(time_ms now) {
    while (!expiry_queue_.empty() && now >= expiry_queue_.front().first + settings_.retention) {
        const auto found = records_.find(expiry_queue_.front().second);
        // A replaced record has a later entry in the queue.
        if (found != records_.end() && now >= found->second.stored_at + settings_.retention)
            records_.erase(found);
        expiry_queue_.pop_front();
    }
}

} // namespace clementine::routing
