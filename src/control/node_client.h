// Keeps an entry node on the newest committed manifest: subscribes to each controld, saves the last
// manifest to disk, and reports the version in force.
#pragma once

#include "base/clock.h"
#include "base/metrics.h"
#include "control/manifest_file.h"
#include "manifest/manifest.h"
#include "wire/channel.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/thread_pool.hpp>

#include <atomic>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace clementine::control {

// The controlds that answer first may not know the newest accepted version yet: they learn it with
// the leader's next heartbeat or, if the leader died, through an election of up to 2,000 ms.
inline constexpr time_ms majority_wait{2'500};

// The scheduler needs a new demand sample about once a second.
inline constexpr time_ms demand_interval{1'000};

struct node_client_settings {
    wire::hello self;                                     // role entryd
    std::vector<boost::asio::ip::tcp::endpoint> controls; // control ports of all controlds
    std::string data_folder;                              // empty: nothing is saved to disk
    wire::link_settings link;
    std::shared_ptr<wire::traffic> counters = std::make_shared<wire::traffic>();
    // Returns the demand at this node for capacity decisions. Optional; called on the client's
    // thread.
    std::function<std::vector<routing::service_demand>()> demand;
};

class node_client {
  public:
    // Puts a manifest in force. Called on the client's thread with increasing versions; the version
    // is reported after it returns.
    using manifest_handler =
        std::function<void(std::uint64_t version, std::shared_ptr<const manifest::manifest>)>;

    // The links run on `context`; parsing, disk writes and the handler run on a separate thread.
    node_client(boost::asio::io_context& context, node_client_settings settings,
                const clock_source& clock, metrics& metrics, manifest_handler handler);
    node_client(const node_client&) = delete;
    node_client& operator=(const node_client&) = delete;
    // Calls `stop`.
    ~node_client();

    // Loads a saved manifest and puts it in force before returning, then starts the links. Without
    // a saved manifest, the first one in force is that of a leader that holds its lease. If no such
    // leader answers within `majority_wait` after a majority of the controlds did, it is the newest
    // one received.
    void start();
    // Closes the links. The handler is not called after this returns.
    void stop();

    // The version in force; 0 if there is none yet.
    std::uint64_t version() const { return version_; }

  private:
    struct control_link {
        std::shared_ptr<wire::channel> channel;
        bool open = false;
        std::optional<std::uint64_t> answered; // newest version received from this controld
    };

    void handle_opened(std::size_t index);
    void handle_state(std::size_t index, wire::manifest_state value);
    void handle_closed(std::size_t index);
    void try_candidate();
    bool knows_newest_version();
    bool majority_answered() const;
    bool save(std::uint64_t version, const std::string& text);
    void put_in_force(std::uint64_t version, manifest::manifest value);
    void report_version();
    void report_demand();
    void schedule_timer();
    void update_age();

    node_client_settings settings_;
    const clock_source& clock_;
    metrics& metrics_;
    manifest_handler handler_;
    std::atomic<std::uint64_t> version_{0};
    std::atomic<bool> stopped_{false};
    // Shared with the link callbacks, which may still run after `stop`. The members below are used
    // on this thread only.
    std::shared_ptr<boost::asio::thread_pool> client_thread_ =
        std::make_shared<boost::asio::thread_pool>(1);
    boost::asio::steady_timer timer_;
    std::vector<control_link> links_;
    std::optional<manifest_file> file_;
    std::uint64_t candidate_version_ = 0; // newest version received, not yet in force
    std::string candidate_text_;
    bool leader_answered_ = false;
    std::vector<routing::service_demand> reported_demand_;
    time_ms demand_reported_at_ = 0;
    std::optional<time_ms> majority_answered_at_; // when a majority of the controlds had answered
    time_ms last_connected_at_ = 0;               // last time a controld was connected
};

} // namespace clementine::control
