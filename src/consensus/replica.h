// One replica of the replicated log: a pure, deterministic state machine without input or output.
//
// Messages, ticks and completed writes go in; messages, writes and committed entries come out
// through `take_ready`. All calls for one replica come from one thread at a time. Times are in ms
// on the monotonic clock of the host; clocks of two replicas may differ in rate by up to 10%.
#pragma once

#include "base/random.h"
#include "consensus/types.h"

#include <map>
#include <memory>

namespace clementine::consensus {

// The leader sends to each member at least this often.
inline constexpr time_ms heartbeat_interval{100};
// A leader may serve reads and act for this long after it sent a message that a majority answered.
inline constexpr time_ms lease_duration{600};
// A voter that heard from a leader supports no other one for this long. It exceeds the lease with
// 10% clock rate error (660 ms), plus 60 ms for jumps of its own clock.
inline constexpr time_ms vote_denial_period{720};
// Election timeouts are drawn from this range. Shorter ones would only meet refusals.
inline constexpr time_ms election_timeout_min{720};
inline constexpr time_ms election_timeout_max{1'300};
// Longest time between two ticks in normal operation. A longer one is a frozen process or a clock
// step, and counts as 10 ms only towards a voter's promise.
inline constexpr time_ms max_tick_interval{50};

struct replica_config {
    replica_id id = 0;
    std::uint64_t seed = 0; // for election jitter; differs between replicas
    // Entries kept before a snapshot so that slow followers need no snapshot.
    index_t trailing_entries = 1'000;
    std::size_t max_append_bytes = 256 * 1024; // data of one append_request
    std::size_t max_append_entries = 256;
    std::size_t max_inflight_appends = 8;                // for each follower
    std::size_t max_uncommitted_bytes = 4 * 1024 * 1024; // proposals beyond it are refused
    std::size_t max_uncommitted_entries = 4'096;
};

enum class replica_role { follower, pre_candidate, candidate, leader, stopped };

inline constexpr name_table<5> replica_role_names{"follower", "pre-candidate", "candidate",
                                                  "leader", "stopped"};
constexpr const auto& names_of(replica_role) {
    return replica_role_names;
}

// Why a proposal, read, membership change or transfer was not accepted.
enum class refusal {
    not_leader,
    no_lease,       // leader, but it cannot prove it at this moment
    overloaded,     // too many uncommitted entries; try again later
    too_large,      // beyond max_entry_bytes
    transferring,   // leadership is being handed over
    change_pending, // another membership change is not committed yet
    not_caught_up,  // the learner lacks committed entries, or did not answer lately
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

// Place of an accepted proposal. It is committed only if an entry with this index and this term
// comes out as committed; another term at this index means that it was lost.
struct log_position {
    index_t index = 0;
    term_t term = 0;
};
using propose_result = std::variant<log_position, refusal>;

// A read may be answered once the state machine has applied `index`.
struct read_index {
    index_t index = 0;
};
using read_result = std::variant<read_index, refusal>;

// The membership changes one member at a time.
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
    index_t match = 0;      // durable at the member
    bool active = false;    // answered within the last election timeout
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
    index_t applied = 0; // last index handed out as committed
    index_t snapshot = 0;
    bool change_pending = false;
    consensus::membership membership;
    std::vector<member_progress> progress; // at the leader only
};

class replica {
  public:
    // `disk` is what the storage recovered. A replica that is no voter in its own log never
    // campaigns; it waits for a leader that added it.
    replica(const replica_config& config, durable_state disk, time_ms now);
    replica(const replica&) = delete;
    replica& operator=(const replica&) = delete;
    ~replica();

    // Handles a message. Messages for another id are ignored, as they are meant for a lost disk.
    void step(const message& received, time_ms now);
    // Advances the clock; call it at least every `max_tick_interval`.
    void tick(time_ms now);
    // Appends a command if this replica leads.
    propose_result propose(std::string data);
    // Starts one membership change. It is in force at once and done when it is committed.
    propose_result propose_change(const membership_change& change);
    // Hands leadership to a voter. There is no lease from now on; it resumes only if the target
    // could not be asked within 1,500 ms because it lacked entries.
    std::optional<refusal> transfer_leadership(replica_id to);
    // Transfers to the most advanced active voter.
    std::optional<refusal> transfer_leadership();
    // Linearizable read under the lease.
    read_result read(time_ms now) const;
    // True if no other replica can lead at this moment. Check it directly before acting.
    bool holds_lease(time_ms now) const;

    // True if `take_ready` would return work and no earlier work is outstanding.
    bool has_ready() const;
    // Takes the next work. Empty until the previous one was passed to `writes_synced`.
    ready take_ready();
    // The writes of this work are durable.
    void writes_synced(const ready& done);
    // The storage failed for good: the replica stops and never answers again.
    void storage_failed();

    // Stores `data`, the state machine after the applied entry `index`, and drops older entries.
    // Ignored if `index` is not past the last snapshot or not applied yet.
    void take_snapshot(index_t index, std::string data);

    replica_status status() const;
    // Membership as of the end of the log.
    const membership& members() const;
    replica_role role() const;
    term_t term() const;
    replica_id leader() const;
    index_t commit_index() const;
    // Term of an entry in the log, or 0 if it is not there (any more).
    term_t term_at(index_t index) const;

  private:
    struct core;
    std::unique_ptr<core> core_;
};

// Random id for a replica that joins an existing cluster.
replica_id random_replica_id(random_source& random);

} // namespace clementine::consensus
