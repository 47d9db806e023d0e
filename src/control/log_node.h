// Runs one replica of the replicated log on an Asio loop. Disk writes run on a separate thread, so
// that a slow sync does not block the loop.
//
// Membership is dynamic: the founders are the initial voters, all other nodes request to join, and
// the leader replaces lost voters. All functions and callbacks run on the loop's thread.
#pragma once

#include "base/clock.h"
#include "consensus/files.h"
#include "consensus/replica.h"
#include "consensus/storage.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <thread>
#include <vector>

namespace clementine::control {

struct log_node_settings {
    std::string node; // name of this node in the membership, its link address
    std::string cluster;
    std::string folder;
    std::vector<std::string> founders; // names of the initial voters
    bool first_start = false;          // the cluster is new: all disks are empty
    std::uint64_t seed = 1;            // for election jitter and new replica ids
    // Silent voters are only removed while more voters than this are left.
    std::size_t min_voters = 3;
    // Further nodes are spares that join when a voter is lost. Each voter costs the leader a
    // message and a reply per entry.
    std::size_t max_voters = 5;
};

class log_node {
  public:
    struct callbacks {
        std::function<void(const std::string& node, const consensus::message&)> send;
        // Called for each committed command, in order.
        std::function<void(const consensus::entry&)> apply;
        // Replaces the state machine's state; empty bytes mean the initial state. False if the
        // bytes cannot be read.
        std::function<bool(std::string_view)> load_snapshot;
        std::function<std::string()> save_snapshot;
        // Called on an unrecoverable error, for example a failed write.
        std::function<void(const std::string& reason)> failed;
        // Called after each disk write with its duration, including the sync.
        std::function<void(time_ms)> synced;
    };

    log_node(boost::asio::io_context& loop, log_node_settings settings,
             consensus::file_system& files, const clock_source& clock, callbacks handlers);
    log_node(const log_node&) = delete;
    log_node& operator=(const log_node&) = delete;
    // Stops without transferring leadership, as a killed process would.
    ~log_node();

    // Opens the data folder and starts the timer. Returns the error text, empty on success.
    std::string start();
    void stop();

    // Handles a message from the replica on `node`.
    void receive(const std::string& node, const consensus::message& value);
    // Appends a command if this replica leads.
    consensus::propose_result propose(std::string data);
    // Handles a node's request to make its replica id a voter, replacing its older ids.
    void request_join(const std::string& node, consensus::replica_id id);
    // Handles the membership that the leader of a term had committed at an index (0 if unknown). A
    // replica that was removed from it rejoins under a new id.
    void observe_members(std::uint64_t term, consensus::index_t commit_index,
                         const std::vector<consensus::member>& members);
    // Transfers leadership to another voter, if this replica leads.
    void transfer_leadership();

    // True if this replica holds the leader lease and has applied all that earlier leaders
    // acknowledged. Its own acknowledgements follow the application of an entry.
    bool serving() const;
    bool holds_lease() const;
    consensus::term_t term() const { return core_->term(); }
    consensus::replica_id id() const { return id_; }
    consensus::replica_role role() const { return core_->role(); }
    // Node name of the leader; empty if unknown.
    std::string leader() const;
    // The committed membership: whoever is not part of a published one discards its log.
    const consensus::membership& committed_members() const { return core_->committed_members(); }
    bool is_voter() const { return core_->members().is_voter(id_); }
    consensus::index_t commit_index() const { return core_->commit_index(); }
    // Index of the last entry whose effect the state machine shows.
    consensus::index_t applied_index() const { return applied_; }

  private:
    std::string open_storage(consensus::durable_state& durable);
    std::string initialize_storage(consensus::durable_state& durable, bool founder);
    void create_core(consensus::durable_state durable);
    void rejoin_under_new_id();
    void schedule_tick();
    void tick();
    void process_ready();
    void persist(consensus::ready work);
    void complete_ready(const consensus::ready& work);
    bool process_immediate();
    void send(const std::vector<consensus::message>& messages);
    void apply(const std::vector<consensus::entry>& committed);
    void snapshot_if_due();
    void advance_membership();
    bool has_room_for(const std::string& node) const;
    bool replace_old_id(const std::string& node, consensus::replica_id id);
    void remove_silent_voter();
    void fail(const std::string& reason);

    boost::asio::io_context& loop_;
    boost::asio::steady_timer timer_;
    log_node_settings settings_;
    consensus::file_system& files_;
    const clock_source& clock_;
    callbacks handlers_;
    std::unique_ptr<consensus::storage> storage_;
    std::unique_ptr<consensus::replica> core_;
    random_source random_;
    consensus::replica_id id_ = 0;
    consensus::index_t applied_ = 0;
    consensus::index_t last_snapshot_ = 0;
    std::size_t bytes_since_snapshot_ = 0;
    bool failed_ = false;
    bool stopped_ = false;
    bool processing_ready_ = false;
    bool was_member_ = false; // a published membership contained this id
    bool rejoin_due_ = false;
    bool writing_ = false; // a write is pending on the disk thread
    time_ms writing_since_{0};
    struct join_request {
        consensus::replica_id id = 0;
        time_ms received_at{0};
    };
    std::map<std::string, join_request> join_requests_; // by node
    // Replica id -> node, from received messages.
    std::map<consensus::replica_id, std::string> sender_nodes_;
    std::map<consensus::replica_id, time_ms> silent_since_; // members that are silent; leader only
    boost::asio::io_context disk_loop_;
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> disk_work_;
    std::thread disk_thread_;
};

} // namespace clementine::control
