// Sends the committed manifest to subscribed entry nodes and tracks the versions they report.
#pragma once

#include "base/clock.h"
#include "routing/types.h"
#include "store/types.h"
#include "wire/connection.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace clementine::control {

// A disconnected entry node counts in "in force at N of M" for this long after it was last seen.
inline constexpr time_ms node_expiry{600'000};

// Older demand reports are ignored: the entry node has stopped or is unreachable.
inline constexpr time_ms demand_expiry{5'000};

struct in_force_report {
    std::size_t nodes_in_force = 0;   // nodes with the version or a later one in force
    std::size_t known_nodes = 0;      // all known entry nodes
    std::vector<std::string> missing; // names of the other nodes, sorted
};

class dissemination : public std::enable_shared_from_this<dissemination> {
  public:
    // `configured_nodes` holds the node names from [entry-nodes].
    dissemination(boost::asio::io_context& context, const clock_source& clock,
                  std::vector<std::string> configured_nodes);
    dissemination(const dissemination&) = delete;
    dissemination& operator=(const dissemination&) = delete;
    ~dissemination() = default;

    // Distributes a newer manifest. The leader sends it at once. A follower waits and sends it only
    // to nodes that have not reported it by then, so that each node receives the text once.
    void publish(const store::manifest_version& manifest, bool leader);
    // Adds an entry node that has `version` in force. `current` means that this replica holds the
    // leader lease, so no accepted version is newer than the published one.
    void add_subscriber(const std::shared_ptr<wire::connection>& node, std::uint64_t version,
                        bool current);
    // Records the version that an entry node reported as in force.
    void record_version(const std::shared_ptr<wire::connection>& node, std::uint64_t version);
    void remove_subscriber(const std::shared_ptr<wire::connection>& node);
    // Replaces the last demand report of an entry node.
    void record_demand(const std::string& node, std::vector<routing::service_demand> demand);
    // Demand by service, summed over all reports that have not expired.
    std::vector<routing::service_demand> demand() const;
    // Counts the entry nodes that have at least `version` in force.
    in_force_report report_in_force(std::uint64_t version) const;
    // Cancels a pending delayed send.
    void stop();

  private:
    struct subscriber {
        std::uint64_t sent_version = 0;
        std::uint64_t version = 0; // in force, as last reported
    };
    struct node_record {
        std::uint64_t version = 0;
        time_ms last_seen = 0;
        int connections = 0;
    };
    struct demand_record {
        std::vector<routing::service_demand> demand;
        time_ms received_at = 0;
    };

    void send_to_all();
    void send_manifest_locked(const std::shared_ptr<wire::connection>& node, subscriber& item,
                              bool current);
    void record_version_locked(const std::string& node, std::uint64_t version);
    void erase_expired_locked();

    boost::asio::steady_timer timer_;
    const clock_source& clock_;
    mutable std::mutex mutex_; // guards the members below
    store::manifest_version manifest_;
    std::map<std::shared_ptr<wire::connection>, subscriber> subscribers_;
    std::map<std::string, node_record> nodes_;
    std::map<std::string, demand_record> demand_; // by node
    std::vector<std::string> configured_nodes_;
};

} // namespace clementine::control
