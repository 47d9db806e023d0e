#include "control/dissemination.h"

#include "base/log.h"

#include <algorithm>
#include <chrono>

namespace clementine::control {

namespace {

// Longer than a node needs to report a version that the leader sent: a few ms plus a disk sync.
constexpr time_ms follower_send_delay{300};

} // namespace

dissemination::dissemination(boost::asio::io_context& context, const clock_source& clock,
                             std::vector<std::string> configured_nodes)
    : timer_(context), clock_(clock), configured_nodes_(std::move(configured_nodes)) {}

void dissemination::publish(const store::manifest_version& manifest, bool leader) {
    {
        std::lock_guard lock(mutex_);
        if (manifest.version <= manifest_.version)
            return;
        manifest_ = manifest;
        if (!leader) {
            timer_.expires_after(std::chrono::milliseconds(follower_send_delay));
            timer_.async_wait([self = shared_from_this()](boost::system::error_code error) {
                if (!error)
                    self->send_to_all();
            });
        }
    }
    if (leader)
        send_to_all();
}

void dissemination::send_to_all() {
    std::lock_guard lock(mutex_);
    for (auto& [node, item] : subscribers_) {
        if (item.version < manifest_.version && item.sent_version < manifest_.version)
            send_manifest_locked(node, item, false);
    }
}

// A message that does not fit the send queue is not retried: the queue is full because the node
// does not respond, and it subscribes again on its next connection.
void dissemination::send_manifest_locked(const std::shared_ptr<wire::connection>& node,
                                         subscriber& item, bool current) {
    item.sent_version = manifest_.version;
    if (!node->send(wire::manifest_state{manifest_.version, manifest_.text, current}))
        log_event(log_level::warning, "manifest_not_sent")
            .field("node", node->peer().node)
            .field("version", manifest_.version);
}

void dissemination::add_subscriber(const std::shared_ptr<wire::connection>& node,
                                   std::uint64_t version, bool current) {
    std::lock_guard lock(mutex_);
    // The connection may already have been removed, because this runs on another thread.
    if (node->is_closed())
        return;
    const bool first = !subscribers_.contains(node);
    auto& item = subscribers_[node];
    item.version = version;
    if (first)
        ++nodes_[node->peer().node].connections;
    record_version_locked(node->peer().node, version);
    if (manifest_.version > version)
        send_manifest_locked(node, item, current);
    else
        node->send(wire::manifest_state{manifest_.version, {}, current});
}

void dissemination::record_version(const std::shared_ptr<wire::connection>& node,
                                   std::uint64_t version) {
    std::lock_guard lock(mutex_);
    const auto it = subscribers_.find(node);
    if (it == subscribers_.end())
        return;
    it->second.version = version;
    record_version_locked(node->peer().node, version);
}

void dissemination::remove_subscriber(const std::shared_ptr<wire::connection>& node) {
    std::lock_guard lock(mutex_);
    if (subscribers_.erase(node) == 0)
        return;
    auto& record = nodes_[node->peer().node];
    --record.connections;
    record.last_seen = clock_.now();
}

// The latest report replaces a higher version: a restarted node may report a lower one.
void dissemination::record_version_locked(const std::string& node, std::uint64_t version) {
    auto& record = nodes_[node];
    record.version = version;
    record.last_seen = clock_.now();
    erase_expired_locked();
}

void dissemination::erase_expired_locked() {
    const auto now = clock_.now();
    std::erase_if(nodes_, [now](const auto& item) {
        return item.second.connections == 0 && now - item.second.last_seen > node_expiry;
    });
}

// A disconnected node's demand counts until it expires, because the node keeps serving.
void dissemination::record_demand(const std::string& node,
                                  std::vector<routing::service_demand> demand) {
    std::lock_guard lock(mutex_);
    demand_[node] = {std::move(demand), clock_.now()};
}

std::vector<routing::service_demand> dissemination::demand() const {
    std::map<std::string, routing::service_demand> sums;
    {
        std::lock_guard lock(mutex_);
        for (const auto& [node, record] : demand_) {
            if (clock_.now() - record.received_at > demand_expiry)
                continue;
            for (const auto& item : record.demand) {
                sums[item.service].queued += item.queued;
                sums[item.service].in_use += item.in_use;
            }
        }
    }
    std::vector<routing::service_demand> out;
    for (auto& [service, sum] : sums)
        out.push_back({service, sum.queued, sum.in_use});
    return out;
}

in_force_report dissemination::report_in_force(std::uint64_t version) const {
    std::lock_guard lock(mutex_);
    std::map<std::string, std::uint64_t> known_versions;
    for (const auto& name : configured_nodes_)
        known_versions[name] = 0;
    const auto now = clock_.now();
    for (const auto& [name, record] : nodes_) {
        if (record.connections > 0 || now - record.last_seen <= node_expiry)
            known_versions[name] = record.version;
    }
    in_force_report out;
    out.known_nodes = known_versions.size();
    for (const auto& [name, in_force] : known_versions) {
        if (in_force >= version)
            ++out.nodes_in_force;
        else
            out.missing.push_back(name);
    }
    return out;
}

void dissemination::stop() {
    std::lock_guard lock(mutex_);
    timer_.cancel();
}

} // namespace clementine::control
