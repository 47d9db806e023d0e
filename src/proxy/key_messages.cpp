#include "proxy/key_messages.h"

#include <algorithm>

namespace clementine::proxy {

namespace {

wire::claim_key key_to_wire(const routing::idempotency_key& key) {
    return {key.service, key.workspace, key.key};
}

routing::idempotency_key key_from_wire(const wire::claim_key& key) {
    return {key.service, key.workspace, key.key};
}

// Both enums have the same order; entry_peers_test compares their names.
wire::claim_state state_to_wire(routing::key_state state) {
    return static_cast<wire::claim_state>(state);
}

routing::key_state state_from_wire(wire::claim_state state) {
    return static_cast<routing::key_state>(state);
}

// Ages are received from peers; an out-of-range one would overflow time_ms arithmetic.
time_ms age_from_wire(std::uint64_t age) {
    constexpr std::uint64_t max_age_ms = 1ULL << 40U;
    return static_cast<time_ms>(std::min(age, max_age_ms));
}

} // namespace

wire::claim_request to_wire(const routing::key_claim_request& value) {
    return {key_to_wire(value.key), value.sender, value.claim_id};
}

wire::claim_reply to_wire(const routing::key_claim_reply& value) {
    return {value.claim_id, value.sender, value.granted, state_to_wire(value.state)};
}

wire::claim_release to_wire(const routing::key_claim_release& value) {
    return {key_to_wire(value.key), value.sender, value.claim_id};
}

wire::claim_outcome to_wire(const routing::key_claim_outcome& value) {
    return {key_to_wire(value.key), value.sender, value.claim_id, state_to_wire(value.state)};
}

wire::claim_sync to_wire(const routing::key_sync& value) {
    wire::claim_sync out{value.request, value.sender,       value.sync_id, {},
                         value.last,    value.complete_with};
    for (const auto& item : value.records)
        out.records.push_back({key_to_wire(item.key), item.claimant, item.claim_id,
                               state_to_wire(item.state), static_cast<std::uint64_t>(item.age)});
    return out;
}

routing::key_claim_request from_wire(const wire::claim_request& value) {
    return {key_from_wire(value.key), value.sender, value.claim_id};
}

routing::key_claim_reply from_wire(const wire::claim_reply& value) {
    return {value.claim_id, value.sender, value.granted, state_from_wire(value.state)};
}

routing::key_claim_release from_wire(const wire::claim_release& value) {
    return {key_from_wire(value.key), value.sender, value.claim_id};
}

routing::key_claim_outcome from_wire(const wire::claim_outcome& value) {
    return {key_from_wire(value.key), value.sender, value.claim_id, state_from_wire(value.state)};
}

routing::key_sync from_wire(const wire::claim_sync& value) {
    routing::key_sync out;
    out.request = value.request;
    out.sender = value.sender;
    out.sync_id = value.sync_id;
    out.last = value.last;
    out.complete_with = value.complete_with;
    for (const auto& item : value.records)
        out.records.push_back({key_from_wire(item.key), item.claimant, item.claim_id,
                               state_from_wire(item.state), age_from_wire(item.age_ms)});
    return out;
}

} // namespace clementine::proxy
