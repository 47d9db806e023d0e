// Messages between entryds about idempotency keys, and the selection of a key's holders.
#pragma once

#include "base/clock.h"
#include "base/names.h"

#include <cstdint>
#include <string>
#include <tuple>
#include <vector>

namespace clementine::routing {

// Identifies one request of a workspace to a service, which must run at most once.
struct idempotency_key {
    std::string service;
    std::string workspace;
    std::string key;

    bool operator==(const idempotency_key&) const = default;
    bool operator<(const idempotency_key& other) const {
        return std::tie(service, workspace, key) <
               std::tie(other.service, other.workspace, other.key);
    }
};

// State of the first request with a key, as known to a holder.
enum class key_state { none, in_progress, answered, unknown };

inline constexpr name_table<4> key_state_names{"none", "in-progress", "answered", "unknown"};
constexpr const auto& names_of(key_state) {
    return key_state_names;
}

struct key_claim_request {
    idempotency_key key;
    std::string sender;
    std::uint64_t claim_id = 0;
};

// Vote of a holder. `state` is `none` in a refusal if the holder may not vote yet.
struct key_claim_reply {
    std::uint64_t claim_id = 0;
    std::string sender;
    bool granted = false;
    key_state state = key_state::none;
};

// Releases a claim because its request did not run.
struct key_claim_release {
    idempotency_key key;
    std::string sender;
    std::uint64_t claim_id = 0;
};

// Result of the request whose claim was won: answered or unknown.
struct key_claim_outcome {
    idempotency_key key;
    std::string sender;
    std::uint64_t claim_id = 0;
    key_state state = key_state::unknown;
};

struct key_record {
    idempotency_key key;
    std::string claimant;
    std::uint64_t claim_id = 0;
    key_state state = key_state::in_progress;
    time_ms age{0};
};

// Request of a restarted holder for the records of all keys that the receiver holds too, or a part
// of the answer.
struct key_sync {
    bool request = false;
    std::string sender;
    std::uint64_t sync_id = 0;
    std::vector<key_record> records;
    bool last = false;
    std::vector<std::string> complete_with; // in an answer: members that the sender has synced with
};

// An entryd that may hold keys. All entryds have the same list of members in their settings.
struct key_member {
    std::string node;
    std::string availability_zone;
};

// Returns the holders of a key: the three members that rank highest by rendezvous hash, in
// different availability zones if there are enough zones. With fewer than three members, all are
// holders.
std::vector<std::string> holders_of(const idempotency_key& key,
                                    const std::vector<key_member>& members);

// Number of votes that a claim needs: a majority of its holders, that is two of three.
constexpr std::size_t claim_quorum(std::size_t holders) {
    return holders / 2 + 1;
}

// A claim that is not decided within this time after it was sent is lost. A restarted holder waits
// for this time and a margin before it syncs, so that a vote from before the restart can no longer
// decide a claim.
inline constexpr time_ms claim_timeout{1'000};

} // namespace clementine::routing
