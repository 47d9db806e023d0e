#include "control/cluster_links.h"

#include "base/log.h"
#include "control/endpoint.h"
#include "control/limits.h"
#include "wire/codec.h"
#include "wire/frame.h"

#include <boost/asio/post.hpp>

#include <algorithm>
#include <utility>

namespace clementine::control {

namespace asio = boost::asio;

namespace {

// Replaces a link that went silent within 1.5 s.
constexpr wire::link_settings link_limits{.heartbeat_interval = 400,
                                          .silence_limit = 1'300,
                                          .connect_timeout = 700,
                                          .reconnect_min = 50,
                                          .reconnect_max = 400,
                                          .send_queue_bytes = link_queue_bytes};

} // namespace

cluster_links::cluster_links(asio::io_context& loop, wire::hello self, callbacks handlers,
                             std::size_t max_incoming)
    : loop_(loop), self_(std::move(self)), handlers_(std::move(handlers)),
      max_incoming_(max_incoming) {}

std::string cluster_links::listen(const std::string& address) {
    const auto endpoint = parse_tcp_endpoint(address);
    if (!endpoint)
        return "not an address: " + address;
    wire::channel_server::handlers server_handlers;
    server_handlers.opened = [this](const std::shared_ptr<wire::connection>& peer) {
        incoming_.insert(peer);
        // Connecting back tells a node that knows no leader, such as a seed that became a spare,
        // who leads.
        if (peer->peer().role == wire::node_role::controld)
            connect(peer->peer().node);
    };
    server_handlers.received = [this](const std::shared_ptr<wire::connection>& peer,
                                      wire::message&& value) {
        handlers_.received_incoming(peer, std::move(value));
    };
    server_handlers.closed = [this](const std::shared_ptr<wire::connection>& peer,
                                    const wire::close_info&) { incoming_.erase(peer); };
    auto incoming_limits = link_limits;
    incoming_limits.max_connections = max_incoming_;
    server_ =
        std::make_shared<wire::channel_server>(loop_, self_, incoming_limits, server_handlers);
    return server_->listen(*endpoint);
}

void cluster_links::connect(const std::string& node) {
    if (stopped_ || node == self_.node || outgoing_.contains(node))
        return;
    const auto endpoint = parse_tcp_endpoint(node);
    if (!endpoint) {
        log_event(log_level::warning, "peer_ignored").field("node", node);
        return;
    }
    wire::channel::handlers channel_handlers;
    channel_handlers.opened = [this, node](const wire::hello&) {
        log_event(log_level::info, "peer_connected").field("peer", node);
        handlers_.opened(node);
    };
    channel_handlers.received = [this, node](wire::message&& value) {
        handlers_.received_outgoing(node, std::move(value));
    };
    channel_handlers.closed = [this, node](const wire::close_info& info) {
        log_event(log_level::warning, "peer_lost")
            .field("peer", node)
            .field("reason", to_name(info.reason));
        handlers_.closed(node);
    };
    auto& channel = outgoing_[node];
    channel =
        std::make_shared<wire::channel>(loop_, *endpoint, self_, link_limits, channel_handlers);
    channel->start();
}

void cluster_links::keep_only(const std::set<std::string>& nodes) {
    for (auto it = outgoing_.begin(); it != outgoing_.end();) {
        if (nodes.contains(it->first)) {
            ++it;
            continue;
        }
        // Releases the channel later, because this may run inside one of its callbacks.
        asio::post(loop_, [channel = it->second] { channel->stop(); });
        it = outgoing_.erase(it);
    }
}

bool cluster_links::send(const std::string& node, const wire::message& value) {
    const auto it = outgoing_.find(node);
    return it != outgoing_.end() && it->second->send(value);
}

bool cluster_links::is_open(const std::string& node) const {
    const auto it = outgoing_.find(node);
    return it != outgoing_.end() && it->second->is_open();
}

bool cluster_links::any_open() const {
    return std::ranges::any_of(outgoing_, [](const auto& item) { return item.second->is_open(); });
}

void cluster_links::broadcast(const wire::message& value) {
    const auto frame = wire::make_frame(wire::encode(value));
    if (!frame)
        return;
    for (const auto& peer : incoming_)
        peer->send_frame(*frame);
}

void cluster_links::stop() {
    stopped_ = true;
    if (server_)
        server_->stop();
    for (const auto& [node, channel] : outgoing_)
        channel->stop();
}

} // namespace clementine::control
