// Checks invariants over all replicas and clients of one schedule. Counts every check and keeps the
// name and details of the first that failed.
#pragma once

#include "consensus/replica.h"
#include "soak/register_machine.h"

#include <map>
#include <set>
#include <string>

namespace clementine::consensus {

class invariant_checker {
  public:
    void expect(bool condition, const char* invariant, const std::string& details);
    std::uint64_t check_count() const { return check_count_; }
    bool failed() const { return !failed_invariant_.empty(); }
    const std::string& failed_invariant() const { return failed_invariant_; }
    const std::string& details() const { return details_; }

    // A replica is about to save new log entries.
    void entries_appended(replica_id id, const replica& core, const ready& work);
    // A replica sends a message.
    void message_sent(replica_id id, const message& value);
    // A replica is leader; called after each of its inputs.
    void leader_observed(replica_id id, const replica& core);
    // A replica has synced its log up to `index`, or recovered it at a start.
    void log_synced(replica_id id, index_t index) { durable_[id] = index; }
    // Checks that a majority of voters has synced a leader's commit index. A disk lost since then
    // still counts, because it had acknowledged the entry.
    void commit_advanced(replica_id id, const replica& core);
    // A replica applied an entry.
    void entry_applied(replica_id id, const entry& value);
    // State machines at the same index must have the same state.
    void state_reached(replica_id id, index_t index, std::uint64_t hash);
    // The leader proposed to make a learner a voter; `durable` is the learner's last synced index.
    void learner_promoted(replica_id learner, index_t durable, index_t commit);

    // Register history for the linearizability check. Versions are totally ordered, so it is enough
    // to compare each operation with those that finished before it started, and with the start of
    // the write that produced the version it returned.
    std::uint64_t operation_started(std::uint64_t request_id, std::int64_t now);
    void write_finished(std::uint64_t request_id, const register_answer& answer, std::int64_t now);
    void read_finished(std::uint64_t request_id, std::uint64_t version, std::uint64_t writer,
                       std::int64_t now);

    // Writes that finished and were accepted.
    std::uint64_t accepted_writes() const { return accepted_writes_; }
    std::uint64_t finished_operations() const { return finished_operations_; }
    std::uint64_t elections() const { return leaders_.size(); }

  private:
    struct stored_entry {
        term_t term = 0;
        std::uint64_t hash = 0;
    };
    struct operation {
        std::int64_t started_at = 0;
        std::uint64_t min_version = 0; // highest version of the operations finished before
    };
    void check_version(std::uint64_t request_id, std::uint64_t version, std::uint64_t writer,
                       std::int64_t now);

    std::uint64_t check_count_ = 0;
    std::string failed_invariant_;
    std::string details_;

    std::map<term_t, replica_id> leaders_;
    std::set<std::pair<replica_id, term_t>> compared_leaders_; // leaders whose log was checked
    std::map<std::pair<replica_id, term_t>, replica_id> votes_;
    std::map<std::pair<index_t, term_t>, std::pair<std::uint64_t, term_t>> entries_;
    std::map<index_t, stored_entry> committed_;
    std::map<replica_id, index_t> durable_;
    std::map<std::pair<replica_id, term_t>, index_t> leader_commits_; // by leader and term
    std::map<index_t, std::uint64_t> states_;

    std::map<std::uint64_t, operation> operations_;
    std::map<std::uint64_t, register_answer> answers_;
    std::map<std::uint64_t, std::uint64_t> writers_; // by version
    std::uint64_t highest_version_ = 0;
    std::uint64_t accepted_writes_ = 0;
    std::uint64_t finished_operations_ = 0;
};

} // namespace clementine::consensus
