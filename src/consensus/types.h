// Data types of the replicated log: entries, durable state, snapshots and messages.
#pragma once

#include "base/clock.h"
#include "base/names.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace clementine::consensus {

// Index of a log entry. The first entry of a cluster has index 1; 0 means "none".
using index_t = std::uint64_t;
// Election term; 0 means "none".
using term_t = std::uint64_t;
// Identifies one replica and its disk; 0 means "none". A replica that lost its disk gets a new id.
using replica_id = std::uint64_t;

// Members of the initial membership have ids 1 to 65,535; later members get random ids above.
inline constexpr replica_id first_random_id = 65'536;
// Maximum data size of one entry. Larger commands must be proposed in parts.
inline constexpr std::size_t max_entry_bytes = 512 * 1024;
// Maximum data size of one snapshot chunk.
inline constexpr std::size_t snapshot_chunk_bytes = 256 * 1024;

enum class entry_kind : std::uint8_t { command, membership, no_op };

inline constexpr name_table<3> entry_kind_names{"command", "membership", "no-op"};
constexpr const auto& names_of(entry_kind) {
    return entry_kind_names;
}

struct entry {
    index_t index = 0;
    term_t term = 0;
    entry_kind kind = entry_kind::command;
    std::string data; // command for the state machine, or an encoded membership

    bool operator==(const entry&) const = default;
};

// State that must be durable before a vote or another message of the term is sent.
struct hard_state {
    term_t term = 0;
    replica_id vote = 0;

    bool operator==(const hard_state&) const = default;
};

struct member {
    replica_id id = 0;
    std::string node; // name of the node in the settings, which contain its address
    bool voter = false;

    bool operator==(const member&) const = default;
};

// Members in ascending order of id.
struct membership {
    std::vector<member> members;

    // The member with an id, or nullptr.
    const member* find(replica_id id) const;
    bool is_voter(replica_id id) const;
    std::size_t voter_count() const;
    // Number of voters that form a majority.
    std::size_t quorum() const { return voter_count() / 2 + 1; }

    bool operator==(const membership&) const = default;
};

// Binary encoding of a membership, as stored in entries and snapshots.
std::string encode(const membership& value);
std::optional<membership> decode_membership(std::string_view bytes);

// State of the state machine after the entry `index`. Empty data is the initial state.
struct snapshot {
    index_t index = 0;
    term_t term = 0;
    consensus::membership membership;
    std::string data;

    bool operator==(const snapshot&) const = default;
};

// Initial snapshot of every voter of a new cluster, so that all logs start out equal.
snapshot bootstrap_snapshot(membership initial);

// Requests a vote. A pre-vote does not change the state of the voter.
struct vote_request {
    index_t last_index = 0;
    term_t last_term = 0;
    bool pre_vote = false;
    bool transfer = false; // the old leader gave up its lease and asked for this election
};

struct vote_reply {
    bool granted = false;
    bool pre_vote = false;
};

// Entries after `prev_index`, or a heartbeat if there are none. `sent_at` is on the leader's clock.
struct append_request {
    index_t prev_index = 0;
    term_t prev_term = 0;
    index_t commit = 0;
    time_ms sent_at = 0;
    std::vector<entry> entries;
};

// If accepted, the follower's log durably matches the leader's up to `match`. Otherwise it
// conflicts at `prev_index`: its entry there has `hint_term`, and `hint_index` is its first index
// with that term. If the log is too short, `hint_term` is 0 and `hint_index` is one past its last
// index.
struct append_reply {
    bool accepted = false;
    index_t match = 0;
    index_t prev_index = 0;
    index_t hint_index = 0;
    term_t hint_term = 0;
    time_ms sent_at = 0; // copied from the request
};

// Part of a snapshot. The chunks of one transfer differ only in `offset`, `data` and `sent_at`.
struct snapshot_chunk {
    index_t index = 0;
    term_t term = 0;
    consensus::membership membership;
    std::uint64_t total_bytes = 0;
    std::uint32_t checksum = 0; // CRC-32C of the whole data
    std::uint64_t offset = 0;
    time_ms sent_at = 0;
    std::string data;
};

struct snapshot_reply {
    index_t index = 0;
    std::uint64_t next_offset = 0; // first byte that is still missing
    bool installed = false;        // the snapshot is durable, or the log is already past it
    time_ms sent_at = 0;
};

// Tells a follower to start an election at once.
struct timeout_now {};

using message_body = std::variant<vote_request, vote_reply, append_request, append_reply,
                                  snapshot_chunk, snapshot_reply, timeout_now>;

struct message {
    replica_id from = 0;
    replica_id to = 0;
    term_t term = 0; // term of the sender; a pre-vote carries the term it would start
    message_body body;
};

// Estimated size of a message in a frame, without encoding it: 8 bytes for each 64-bit number.
std::size_t estimated_bytes(const message& value);

// Work for the host of a replica, to be done in this order: make `state`, `snap` and `append`
// durable, load `snap` into the state machine if `install` is set, apply `committed`, send
// `messages`, call `replica::writes_synced`.
struct ready {
    std::optional<hard_state> state;
    std::optional<snapshot> snap;
    bool install = false;          // `snap` came from the leader and replaces the state machine
    bool reset_log = false;        // `snap` also replaces all entries
    index_t first_kept = 0;        // with `snap`: entries before it are no longer needed
    std::vector<entry> append;     // replaces all entries from the first one's index on
    std::vector<entry> committed;  // each index exactly once, in order
    std::vector<message> messages; // must not be sent before the writes are durable

    bool empty() const;
    // True if there is data to make durable.
    bool has_writes() const;
};

// Work that needs no write of this replica first: apply `committed`, which is durable here already,
// and send `messages`. A leader's appends and heartbeats are among them: an entry is committed once
// it is durable at a majority, with or without the leader's own disk.
struct immediate_work {
    std::vector<entry> committed;
    std::vector<message> messages;

    bool empty() const { return committed.empty() && messages.empty(); }
};

// State recovered from disk at startup. The entries may begin before `snap.index`.
struct durable_state {
    hard_state state;
    snapshot snap;
    std::vector<entry> entries;
};

} // namespace clementine::consensus
