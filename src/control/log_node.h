// Runs one replica of the replicated log on an Asio loop. Disk writes are done on a thread of
// their own, so that the loop goes on while a sync takes its time.
//
// Membership is dynamic: the founders are the first voters, every other node asks to join, and the
// leader replaces voters that are lost. All functions and callbacks run on the loop's thread.
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
    std::string self; // name of this node in the membership: address of its links
    std::string cluster;
    std::string folder;
    std::vector<std::string> founders; // names of the first voters
    bool first_start = false;          // the whole cluster starts with empty disks
    std::uint64_t seed = 1;            // for election jitter and new replica ids
    // Silent voters are not removed if fewer voters would be left.
    std::size_t min_voters = 3;
    // Further nodes are spares: they join when a voter is lost. Each voter costs the leader a
    // message and an answer for each entry.
    std::size_t max_voters = 5;
};

class log_node {
  public:
    struct callbacks {
        std::function<void(const std::string& node, const consensus::message&)> send;
        // A committed command, in order.
        std::function<void(const consensus::entry&)> apply;
        // Replaces the state machine; empty bytes are the initial state. False if unreadable.
        std::function<bool(std::string_view)> load;
        std::function<std::string()> save;
        // The replica cannot go on, for example after a failed write.
        std::function<void(const std::string& reason)> failed;
        // A write was synced after this time.
        std::function<void(time_ms)> synced;
    };

    log_node(boost::asio::io_context& loop, log_node_settings settings,
             consensus::file_system& files, const clock_source& clock, callbacks handlers);
    log_node(const log_node&) = delete;
    log_node& operator=(const log_node&) = delete;
    // Stops without handing over leadership, as a killed process would.
    ~log_node();

    // Opens the data folder and starts ticking; the reason if that is not possible.
    std::string start();
    void stop();

    // Message from another replica on a node.
    void receive(const std::string& node, const consensus::message& value);
    // Appends a command if this replica leads.
    consensus::propose_result propose(std::string data);
    // A node asks for its replica id to be made a voter in place of an older one of that node.
    void request_join(const std::string& node, consensus::replica_id id);
    // The leader published a membership. A replica that is no part of it any more, although it had
    // been, starts over under a new id.
    void observe_members(std::uint64_t term, const std::vector<consensus::member>& members);
    // Hands leadership to another voter, if this replica leads.
    void hand_over();

    // True if no other replica can lead at this moment and all that was committed is applied.
    bool serving() const;
    bool holds_lease() const;
    consensus::term_t term() const { return core_->term(); }
    consensus::replica_id id() const { return id_; }
    consensus::replica_role role() const { return core_->role(); }
    // Node of the leader; empty if unknown.
    std::string leader() const;
    const consensus::membership& members() const { return core_->members(); }
    bool is_voter() const { return core_->members().is_voter(id_); }
    consensus::index_t commit_index() const { return core_->commit_index(); }

  private:
    std::string open_storage(consensus::durable_state& disk);
    std::string set_up(consensus::durable_state& disk, bool founder);
    void create_core(consensus::durable_state disk);
    void start_over();
    void schedule_tick();
    void tick();
    void pump();
    void persist(consensus::ready work);
    void finish(const consensus::ready& work);
    void snapshot_if_due();
    void advance_membership();
    bool has_place_for(const std::string& node) const;
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
    bool pumping_ = false;
    bool was_member_ = false; // a published membership has contained this id
    bool start_over_due_ = false;
    bool writing_ = false;                                  // the disk thread is busy
    std::map<std::string, consensus::replica_id> joins_;    // node -> id
    std::map<consensus::replica_id, std::string> senders_;  // nodes of ids that sent something
    std::map<consensus::replica_id, time_ms> silent_since_; // voters, at the leader
    boost::asio::io_context disk_;
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> disk_work_;
    std::thread disk_thread_;
};

} // namespace clementine::control
