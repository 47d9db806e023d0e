// Implementation of consensus::replica: election.cpp handles terms, votes, the lease and leadership
// transfer, replication.cpp the log, snapshots and membership, replica.cpp the public interface.
#pragma once

#include "consensus/memory_log.h"
#include "consensus/progress.h"
#include "consensus/replica.h"

#include <set>

namespace clementine::consensus {

// A leadership transfer that takes longer is aborted.
inline constexpr time_ms transfer_timeout{1'500};
// A snapshot chunk without a reply is resent after this interval.
inline constexpr time_ms chunk_resend_interval{500};
// Time that a clock jump adds to the follower timers; see max_tick_interval.
inline constexpr time_ms counted_clock_jump{10};
// Limit on the entry data in one `ready::committed`, which contains at least one entry.
inline constexpr std::size_t max_committed_bytes = 1024 * 1024;
// Limit on the entry data that is kept in memory before a snapshot.
inline constexpr std::size_t max_trailing_bytes = 16 * 1024 * 1024;

// Snapshot whose chunks are still being received.
struct incoming_snapshot {
    replica_id from = 0;
    index_t index = 0;
    term_t term = 0;
    std::uint64_t total_bytes = 0;
    std::uint32_t checksum = 0;
    std::string data;
};

struct replica::core {
    core(const replica_config& settings, durable_state recovered, time_ms start_time);

    // election.cpp
    void advance_clock(time_ms to);
    void become_follower(term_t new_term, replica_id new_leader);
    void become_leader();
    void campaign(bool pre_vote, bool transfer);
    void check_votes();
    void reset_election_timer();
    bool log_up_to_date(const vote_request& request) const;
    bool is_quorum(const std::set<replica_id>& ids) const;
    // Send time of the latest message that a majority of voters acknowledged.
    time_ms quorum_sent_at(time_ms at) const;
    bool lease_valid(time_ms at) const;
    void tick_leader();
    std::optional<refusal> start_transfer(replica_id to);
    void advance_transfer();
    bool accept_term(const message& received);
    void reject_stale_term(const message& received);
    void on(const message& received, const vote_request& body);
    void on(const message& received, const vote_reply& body);
    void on(const message& received, const timeout_now& body);

    // replication.cpp
    void on(const message& received, const append_request& body);
    void on(const message& received, const append_reply& body);
    void on(const message& received, const snapshot_chunk& body);
    void on(const message& received, const snapshot_reply& body);
    void record_reply(progress& from, time_ms sent_at);
    void store_entries(const append_request& body);
    void install_snapshot(incoming_snapshot complete, const membership& members);
    const entry& append_as_leader(entry_kind kind, std::string data);
    propose_result propose(entry_kind kind, std::string data);
    propose_result change_members(const membership_change& change);
    void update_followers();
    void advance_commit();
    std::vector<entry> take_committed();
    void set_commit(index_t to);
    bool caught_up(const progress& member) const;
    bool can_send(const progress& member) const;
    void send_entries(replica_id to, progress& member);
    void send_append(replica_id to, progress& member, bool with_entries);
    void send_heartbeat(replica_id to, progress& member);
    void send_chunk(replica_id to, progress& member);

    // replica.cpp
    void send(replica_id to, message_body body, term_t message_term);
    bool is_leader() const { return role == replica_role::leader; }
    bool is_voter() const { return log.members().is_voter(config.id); }
    bool committed_in_term() const { return log.term_at(commit) == hard.term; }

    replica_config config;
    random_source random;
    replica_role role = replica_role::follower;
    hard_state hard;
    hard_state last_taken_state; // as of the last take_ready()
    replica_id leader = 0;
    memory_log log;
    index_t commit = 0;
    index_t applied = 0;      // last index returned as committed or covered by a snapshot
    index_t stable = 0;       // last index known to be durable on the local disk
    index_t persist_from = 1; // first index not yet passed to the host for writing
    std::size_t uncommitted_bytes = 0;

    time_ms now = 0;
    // Counted time since the last leader message, or since the start.
    time_ms since_leader_contact = 0;
    time_ms since_timer_reset = 0; // counted time since the last reset of the election timer
    time_ms election_timeout = 0;
    std::set<replica_id> votes;

    std::map<replica_id, progress> followers; // leader only; the leader itself is not included
    time_ms elected_at = 0;
    index_t term_start_index = 0; // index of the no-op entry appended on election
    replica_id transfer_target = 0;
    bool timeout_now_sent = false; // the target may campaign before our lease expires
    time_ms transfer_started_at = 0;

    std::optional<incoming_snapshot> incoming;
    bool snapshot_pending = false;
    bool install_pending = false;
    std::vector<message> messages;
    bool ready_outstanding = false;
    bool state_outstanding = false;     // the outstanding work contains a new term or vote
    bool install_outstanding = false;   // the outstanding work replaces the state machine
    bool committed_outstanding = false; // the outstanding work contains committed entries
};

} // namespace clementine::consensus
