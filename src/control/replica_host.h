// Runs one replica on its own thread: drives the consensus core, persists its writes, applies
// committed entries to the state machine, and sends messages once the writes are durable.
#pragma once

#include "base/clock.h"
#include "consensus/files.h"
#include "consensus/replica.h"
#include "consensus/storage.h"
#include "store/state_machine.h"

#include <atomic>
#include <condition_variable>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

namespace clementine::control {

struct host_settings {
    std::string node;
    std::string cluster;
    std::string folder;
    std::vector<std::string> replicas; // names of the initial members, sorted
    // The cluster is new. Otherwise, an empty data folder means a lost disk, and the replica joins
    // under a new id.
    bool first_start = false;
    std::uint64_t seed = 1;                       // for election jitter and new replica ids
    std::uint64_t snapshot_entries = 1'000;       // applied entries between snapshots
    std::size_t snapshot_bytes = 4 * 1024 * 1024; // or bytes, whichever comes first
    consensus::index_t trailing_entries = 1'000;  // kept for slow followers
};

// Why a proposal or read has no result.
enum class host_refusal {
    not_leader, // the request must go to the leader
    busy,       // the leader cannot accept it now; try again
    lost,       // leadership was lost; the command may or may not be applied
    stopped
};

inline constexpr name_table<4> host_refusal_names{"not-leader", "busy", "lost", "stopped"};
constexpr const auto& names_of(host_refusal) {
    return host_refusal_names;
}

using propose_outcome = std::variant<store::apply_result, host_refusal>;

// Published status of the replica.
struct host_status {
    consensus::replica_role role = consensus::replica_role::follower;
    consensus::replica_id id = 0;
    consensus::term_t term = 0;
    std::string leader; // node name; empty if unknown
    bool holds_lease = false;
    consensus::index_t commit = 0;
    consensus::index_t applied = 0;
    consensus::index_t snapshot = 0;
    std::uint64_t version = 0; // manifest version in the state machine
    std::vector<consensus::member> members;
    std::vector<consensus::member_progress> progress;
};

class replica_host {
  public:
    // All callbacks run on the host's thread and must not block.
    struct callbacks {
        std::function<void(const std::string& node, const consensus::message&)> send;
        // Called when the manifest changed, and after a start or an installed snapshot.
        std::function<void(const store::manifest_version&)> manifest_changed;
        // Called on an unrecoverable error, for example a failed write.
        std::function<void(const std::string& reason)> failed;
    };

    replica_host(host_settings settings, consensus::file_system& files, const clock_source& clock,
                 callbacks handlers);
    replica_host(const replica_host&) = delete;
    replica_host& operator=(const replica_host&) = delete;
    // Stops without transferring leadership, as a killed process would.
    ~replica_host();

    // Opens the data folder and starts the thread. Returns the error text, empty on success.
    std::string start();
    // Transfers leadership to another voter, waiting up to `limit`, then stops.
    void stop_gracefully(time_ms limit);
    void stop();

    // Handles a message from the replica on `node`. This and the functions below may be called from
    // any thread.
    void receive(const std::string& node, consensus::message value);
    // Proposes a command. `done` is called exactly once, on the host's thread.
    void propose(store::command value, std::function<void(const propose_outcome&)> done);
    // Linearizable read. Calls `done` with the state, or with nullptr and a refusal.
    using read_handler = std::function<void(const store::state*, host_refusal)>;
    void read(read_handler done);
    // Adds, promotes or removes a member, if this replica leads.
    void change_members(const consensus::membership_change& change);
    // Handles a node's request to make its new replica id a voter in place of its old one.
    void request_join(const std::string& node, consensus::replica_id id);

    host_status status() const;

  private:
    using task = std::function<void()>;

    struct pending_proposal {
        consensus::term_t term = 0;
        std::function<void(const propose_outcome&)> done;
    };
    struct pending_read {
        consensus::index_t index = 0;
        read_handler done;
    };

    std::string open_storage(consensus::durable_state& durable);
    std::string initialize_storage(consensus::durable_state& durable, bool may_found);
    void post(task work);
    void run();
    void handle_ready();
    bool persist(const consensus::ready& work);
    bool install_snapshot(const consensus::ready& work);
    void apply(const consensus::entry& entry);
    void send(const consensus::message& value);
    void answer_reads();
    void drop_lost_proposals();
    void snapshot_if_due();
    void advance_joins();
    void publish_status();
    void fail(const std::string& reason);
    void refuse_pending();

    host_settings settings_;
    consensus::file_system& files_;
    const clock_source& clock_;
    callbacks handlers_;
    std::unique_ptr<consensus::storage> storage_;
    std::unique_ptr<consensus::replica> core_;
    store::state_machine state_machine_;
    consensus::replica_id id_ = 0;
    consensus::index_t applied_ = 0;
    consensus::index_t last_snapshot_ = 0;
    std::size_t bytes_since_snapshot_ = 0;
    bool failed_ = false;
    std::multimap<consensus::index_t, pending_proposal> proposals_;
    std::vector<pending_read> reads_;
    std::map<std::string, consensus::replica_id> join_requests_; // node -> new id
    // Replica id -> node, from received messages; a joining replica knows no members at first.
    std::map<consensus::replica_id, std::string> sender_nodes_;

    mutable std::mutex mutex_; // guards the members below
    std::condition_variable wake_condition_;
    std::vector<task> inbox_;
    host_status status_;
    bool stopping_ = false;
    std::thread thread_;
};

} // namespace clementine::control
