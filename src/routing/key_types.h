// Messages about idempotency keys between entryds, and the choice of a key's holders.
#pragma once

#include "base/clock.h"
#include "base/names.h"

#include <cstdint>
#include <string>
#include <tuple>
#include <vector>

namespace clementine::routing {

// What a claim protects: one request of one workspace.
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

// What is known about the first request with a key.
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

// `state` is `none` in a refusal if the holder does not vote.
struct key_claim_reply {
    std::uint64_t claim_id = 0;
    std::string sender;
    bool granted = false;
    key_state state = key_state::none;
};

// Gives up a claim: the request did not run.
struct key_claim_release {
    idempotency_key key;
    std::string sender;
    std::uint64_t claim_id = 0;
};

// Result of the request that won the claim: answered or unknown.
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

// Request of a restarted holder for the records that it shares with the receiver, or the answer.
struct key_sync {
    bool request = false;
    std::string sender;
    std::uint64_t sync_id = 0;
    std::vector<key_record> records;
    bool last = false;
    std::vector<std::string> complete_with; // answer: members that the sender has synced from
};

// An entryd that may hold keys. The list comes from the settings and is the same everywhere.
struct key_member {
    std::string node;
    std::string availability_zone;
};

// Holders of a key: the three members that rank highest by rendezvous hash, in different
// availability zones as far as there are enough zones. All members if there are fewer.
std::vector<std::string> holders_of(const idempotency_key& key,
                                    const std::vector<key_member>& members);

// Acknowledgements that a claim needs: a majority of its holders, two of three.
constexpr std::size_t claim_quorum(std::size_t holders) {
    return holders / 2 + 1;
}

// A claim is decided within this time after it was sent, or lost. A restarted holder starts to sync
// only after this time and a margin, so that its former vote cannot decide a claim any more.
inline constexpr time_ms claim_timeout{1'000};

} // namespace clementine::routing
