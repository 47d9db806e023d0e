// One replica of the replicated log: a deterministic state machine that does no I/O.
//
// The host passes in messages, ticks and completed writes, and takes out messages, writes and
// committed entries through `take_ready`. Not thread-safe. Times are in ms on the monotonic clock
// of the host; the clock rates of two replicas may differ by up to 10%.
#pragma once

#include "base/random.h"
#include "consensus/types.h"

#include <map>
#include <memory>

namespace clementine::consensus {

// Maximum time between two messages from the leader to a member.
inline constexpr time_ms heartbeat_interval{100};
// A leader may serve reads and act for this long after sending a message that a majority
// acknowledged.
inline constexpr time_ms lease_duration{600};
// For this long after a message from the leader, a voter denies its vote to other candidates.
// Covers the lease with 10% clock rate error (660 ms), plus 60 ms for jumps of the voter's own
// clock.
inline constexpr time_ms vote_denial_period{720};
// Range of random election timeouts. With shorter ones voters would still deny their votes.
inline constexpr time_ms election_timeout_min{720};
inline constexpr time_ms election_timeout_max{1'300};
// Maximum time between two ticks in normal operation. A longer gap means a frozen process or a
// clock step, and adds only 10 ms to a voter's timers.
inline constexpr time_ms max_tick_interval{50};

struct replica_config {
    replica_id id = 0;
    std::uint64_t seed = 0; // for random election timeouts; must differ between replicas
    // Entries kept before a snapshot, so that slow followers can catch up without it.
    index_t trailing_entries = 1'000;
    std::size_t max_append_bytes = 256 * 1024; // data of one append_request
    std::size_t max_append_entries = 256;
    std::size_t max_inflight_appends = 8;                // per follower
    std::size_t max_uncommitted_bytes = 4 * 1024 * 1024; // proposals beyond this limit are refused
    std::size_t max_uncommitted_entries = 4'096;
};

enum class replica_role { follower, pre_candidate, candidate, leader, stopped };

inline constexpr name_table<5> replica_role_names{"follower", "pre-candidate", "candidate",
                                                  "leader", "stopped"};
constexpr const auto& names_of(replica_role) {
    return replica_role_names;
}

// Reason for refusing a proposal, read, membership change or leadership transfer.
enum class refusal {
    not_leader,
    no_lease,       // leader without a valid lease, or without a commit in its term
    overloaded,     // too many uncommitted entries; try again later
    too_large,      // beyond max_entry_bytes
    transferring,   // a leadership transfer is in progress
    change_pending, // an earlier membership change is not committed yet
    not_caught_up,  // the member lacks committed entries or has not replied recently
    unknown_member,
    duplicate_member,
    is_leader, // the leader cannot remove itself; transfer leadership first
    last_voter,
    stopped // the storage failed
};

inline constexpr name_table<12> refusal_names{"not-leader",    "no-lease",       "overloaded",
                                              "too-large",     "transferring",   "change-pending",
                                              "not-caught-up", "unknown-member", "duplicate-member",
                                              "is-leader",     "last-voter",     "stopped"};
constexpr const auto& names_of(refusal) {
    return refusal_names;
}

// Position of an accepted proposal. The proposal is committed only if an entry with this index and
// term is returned as committed; another term at this index means that it was lost.
struct log_position {
    index_t index = 0;
    term_t term = 0;
};
using propose_result = std::variant<log_position, refusal>;

// A read may be served once the state machine has applied `index`.
struct read_index {
    index_t index = 0;
};
using read_result = std::variant<read_index, refusal>;

// Each membership change affects one member.
struct add_learner {
    replica_id id = 0;
    std::string node;
};
struct promote_learner {
    replica_id id = 0;
};
struct remove_member {
    replica_id id = 0;
};
using membership_change = std::variant<add_learner, promote_learner, remove_member>;

struct member_progress {
    replica_id id = 0;
    index_t match = 0;      // last index durable at the member
    bool active = false;    // replied within the minimum election timeout
    bool caught_up = false; // a learner in this state can be promoted
    bool in_snapshot = false;
};

struct replica_status {
    replica_id id = 0;
    replica_role role = replica_role::follower;
    term_t term = 0;
    replica_id leader = 0; // 0 if unknown
    index_t first = 0;     // first index in the log
    index_t last = 0;
    index_t commit = 0;
    index_t applied = 0; // last index returned as committed
    index_t snapshot = 0;
    bool change_pending = false;
    consensus::membership membership;
    std::vector<member_progress> progress; // leader only
};

class replica {
  public:
    // `recovered` comes from the storage. A replica that is not a voter in its own log never
    // campaigns; it waits for a leader that added it.
    replica(const replica_config& config, durable_state recovered, time_ms now);
    replica(const replica&) = delete;
    replica& operator=(const replica&) = delete;
    ~replica();

    // Handles a received message. Ignores messages to another id: they are meant for a replica
    // whose disk was lost.
    void step(const message& received, time_ms now);
    // Advances the clock. Must be called at least every `max_tick_interval`.
    void tick(time_ms now);
    // Appends a command if this replica is the leader.
    propose_result propose(std::string data);
    // Starts a membership change. It takes effect at once and is complete when it is committed.
    propose_result propose_change(const membership_change& change);
    // Transfers leadership to a voter. The lease is suspended at once; it resumes only if the
    // target still lacked entries after 1,500 ms and was therefore not told to campaign.
    std::optional<refusal> transfer_leadership(replica_id to);
    // Transfers leadership to the active voter with the longest matching log.
    std::optional<refusal> transfer_leadership();
    // Starts a linearizable read under the lease.
    read_result read(time_ms now) const;
    // Index of the first entry of this leader's term. All that earlier leaders acknowledged is
    // before it.
    index_t term_start_index() const;
    // True if no other replica can be leader at `now`. Must be checked immediately before acting as
    // leader.
    bool holds_lease(time_ms now) const;

    // True if `take_ready` would return work and no earlier work is outstanding.
    bool has_ready() const;
    // Returns the next work; empty until the previous work was passed to `writes_synced`.
    ready take_ready();
    // Returns the work that need not wait for writes, also while work of `take_ready` is
    // outstanding. A host that never calls this gets the same work from `take_ready`.
    immediate_work take_immediate();
    // Reports that the writes of `done` are durable.
    void writes_synced(const ready& done);
    // Reports that the storage failed permanently: the replica stops and sends nothing more.
    void storage_failed();

    // Sets a snapshot with `data`, the state after the applied entry `index`, and compacts the log.
    // Ignored if `index` is not past the last snapshot or not applied yet.
    void take_snapshot(index_t index, std::string data);

    replica_status status() const;
    // Membership as of the end of the log.
    const membership& members() const;
    // Position of the log entry or snapshot that contains `members()`.
    log_position members_position() const;
    // Membership that no later leader can lack.
    const membership& committed_members() const;
    replica_role role() const;
    term_t term() const;
    replica_id leader() const;
    index_t commit_index() const;
    // Term of the entry at `index`, or 0 if the log does not contain it.
    term_t term_at(index_t index) const;

  private:
    struct core;
    std::unique_ptr<core> core_;
};

// Random id for a replica that joins an existing cluster.
replica_id random_replica_id(random_source& random);

} // namespace clementine::consensus
