// Messages between the processes of the system as plain structs. messages.capnp defines the encoded
// form. Only the types.h headers of src/consensus and src/routing may be included here.
#pragma once

#include "base/names.h"
#include "consensus/types.h"
#include "routing/types.h"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace clementine::wire {

// Incremented with every incompatible change of messages.capnp.
inline constexpr std::uint32_t protocol_version = 1;

enum class node_role { entryd, controld };

inline constexpr name_table<2> node_role_names{"entryd", "controld"};
constexpr const auto& names_of(node_role) {
    return node_role_names;
}

// First message of both sides on each connection.
struct hello {
    std::uint32_t version = protocol_version;
    std::string cluster;
    std::string node;
    node_role role = node_role::entryd;
    std::string availability_zone;
    std::uint64_t boot_id = 0; // different at each start of the process
    std::string operators;     // controld: IP:port of the operator API, used for redirects
};

struct heartbeat {};

struct subscribe {
    std::uint64_t version = 0; // version in force at the sender
};

struct manifest_state {
    std::uint64_t version = 0; // newest committed version that the controld knows
    std::string text;          // empty if the version is not newer than the subscription
    bool current = false; // sent by a leader that holds its lease: no newer version was accepted
};

struct version_report {
    std::uint64_t version = 0;
};

// Identifies a request by its idempotency key.
struct claim_key {
    std::string service;
    std::string workspace;
    std::string key;
};

enum class claim_state { none, in_progress, answered, unknown };

inline constexpr name_table<4> claim_state_names{"none", "in-progress", "answered", "unknown"};
constexpr const auto& names_of(claim_state) {
    return claim_state_names;
}

struct claim_request {
    claim_key key;
    std::string sender;
    std::uint64_t claim_id = 0; // unique per sender
};

struct claim_reply {
    std::uint64_t claim_id = 0;
    std::string sender;
    bool granted = false;
    claim_state state = claim_state::none; // state of the earlier claim, if there is one
};

struct claim_release {
    claim_key key;
    std::string sender;
    std::uint64_t claim_id = 0;
};

struct claim_outcome {
    claim_key key;
    std::string sender;
    std::uint64_t claim_id = 0;
    claim_state state = claim_state::none;
};

struct claim_record {
    claim_key key;
    std::string claimant;
    std::uint64_t claim_id = 0;
    claim_state state = claim_state::none;
    std::uint64_t age_ms = 0;
};

struct claim_sync {
    bool request = false; // true from the restarted holder, false in the answers
    std::string sender;
    std::uint64_t sync_id = 0;
    std::vector<claim_record> records;
    bool last = false;
    std::vector<std::string> complete_with = {}; // last answer: entryds whose records are included
};

struct home_release {
    std::string sender;
    std::string backend_server;
    std::uint64_t epoch = 0;
    bool confirmed = false;
};

// Demand at the sending entryd, an input of the capacity decisions.
struct demand_report {
    std::vector<routing::service_demand> demand;
};

// Sent by a controld whose data folder was empty or damaged, until its new replica id is a voter.
struct join_request {
    std::uint64_t replica_id = 0;
};

// Original sender of a forwarded request. Callers and the fleet have separate sets of paths.
enum class call_origin { caller, fleet };

inline constexpr name_table<2> call_origin_names{"caller", "fleet"};
constexpr const auto& names_of(call_origin) {
    return call_origin_names;
}

// HTTP request that a node forwards to the leading control node.
struct call {
    std::uint64_t id = 0; // unique per sending process
    call_origin origin = call_origin::caller;
    std::string method;
    std::string host; // Host header
    std::string target;
    std::string body;
    std::uint64_t term = 0; // of the leader that it is sent to; another leader declines. 0 for any
    // SHA-256 digest of the caller's access key; empty if it sent none.
    std::string credential;
};

// Answer to a call. `handled` is false if the receiver is not the leader and did nothing.
struct call_reply {
    std::uint64_t id = 0;
    bool handled = false;
    std::uint32_t status = 0; // HTTP status
    time_ms retry_after{0};   // for refused requests; 0 if unspecified
    std::string body;
};

// Leader and replicas as known to a control node, sent over all its links at intervals.
struct directory {
    std::string leader; // node name of the leader, empty if unknown
    std::uint64_t term = 0;
    std::vector<consensus::member> members; // the committed membership, sent by the leader only
    consensus::index_t commit_index = 0;    // of `members`; 0 if the sender does not tell
    bool relays = false;                    // the sender carries out order batches
};

// Orders to workers that the receiver carries out for the leader of a term.
struct order_batch {
    std::uint64_t term = 0;
    time_ms sent_at{0}; // on the sender's clock; batches that were delayed are not carried out
    std::string orders; // encoded as in workload/order_codec.h
};

// Asks the leader for the log index that a read must not be older than.
struct read_request {
    std::uint64_t sequence = 0; // unique per sending process
};

// Answer of the leader: all that was acknowledged before is in the log up to `index`. 0 if the
// receiver of the request does not lead.
struct read_index {
    std::uint64_t sequence = 0;
    consensus::index_t index = 0;
};

// Results of orders from batches, in any order and grouping.
struct result_batch {
    std::string results; // encoded as in workload/order_codec.h
};

using message =
    std::variant<hello, heartbeat, consensus::message, subscribe, manifest_state, version_report,
                 routing::entry_tick, claim_request, claim_reply, claim_release, claim_outcome,
                 claim_sync, home_release, join_request, demand_report, call, call_reply, directory,
                 order_batch, result_batch, read_request, read_index>;

} // namespace clementine::wire
