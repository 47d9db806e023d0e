#include "control/cluster_links.h"

#include "base/log.h"
#include "control/endpoint.h"

#include <boost/asio/post.hpp>

#include <algorithm>
#include <utility>

namespace clementine::control {

namespace asio = boost::asio;

namespace {

// Short enough that a link that went silent is replaced within 1.5 s.
constexpr wire::link_settings link_limits{.heartbeat_interval = 400,
                                          .silence_limit = 1'300,
                                          .connect_timeout = 700,
                                          .reconnect_min = 50,
                                          .reconnect_max = 400};

} // namespace

cluster_links::cluster_links(asio::io_context& loop, wire::hello self, callbacks handlers)
    : loop_(loop), self_(std::move(self)), handlers_(std::move(handlers)) {}

std::string cluster_links::listen(const std::string& address) {
    const auto endpoint = parse_tcp_endpoint(address);
    if (!endpoint)
        return "not an address: " + address;
    wire::channel_server::handlers accepting;
    accepting.opened = [this](const std::shared_ptr<wire::connection>& peer) {
        callers_.insert(peer);
        // A node that knows nobody who leads, such as a seed that became a spare, learns it there.
        if (peer->peer().role == wire::node_role::controld)
            connect(peer->peer().node);
    };
    accepting.received = [this](const std::shared_ptr<wire::connection>& peer,
                                wire::message&& value) {
        handlers_.accepted(peer, std::move(value));
    };
    accepting.closed = [this](const std::shared_ptr<wire::connection>& peer,
                              const wire::close_info&) { callers_.erase(peer); };
    server_ = std::make_shared<wire::channel_server>(loop_, self_, link_limits, accepting);
    return server_->listen(*endpoint);
}

void cluster_links::connect(const std::string& node) {
    if (stopped_ || node == self_.node || channels_.contains(node))
        return;
    const auto endpoint = parse_tcp_endpoint(node);
    if (!endpoint) {
        log_event(log_level::warning, "peer_ignored").field("node", node);
        return;
    }
    wire::channel::handlers calling;
    calling.opened = [this, node](const wire::hello&) {
        log_event(log_level::info, "peer_connected").field("peer", node);
        handlers_.opened(node);
    };
    calling.received = [this, node](wire::message&& value) {
        handlers_.received(node, std::move(value));
    };
    calling.closed = [this, node](const wire::close_info& info) {
        log_event(log_level::warning, "peer_lost")
            .field("peer", node)
            .field("reason", to_name(info.reason));
        handlers_.closed(node);
    };
    auto& channel = channels_[node];
    channel = std::make_shared<wire::channel>(loop_, *endpoint, self_, link_limits, calling);
    channel->start();
}

void cluster_links::keep_only(const std::set<std::string>& nodes) {
    for (auto it = channels_.begin(); it != channels_.end();) {
        if (nodes.contains(it->first)) {
            ++it;
            continue;
        }
        // The channel may be in a callback of its own, so it is released later.
        asio::post(loop_, [channel = it->second] { channel->stop(); });
        it = channels_.erase(it);
    }
}

bool cluster_links::send(const std::string& node, const wire::message& value) {
    const auto at = channels_.find(node);
    return at != channels_.end() && at->second->send(value);
}

bool cluster_links::is_open(const std::string& node) const {
    const auto at = channels_.find(node);
    return at != channels_.end() && at->second->is_open();
}

bool cluster_links::any_open() const {
    return std::ranges::any_of(channels_, [](const auto& item) { return item.second->is_open(); });
}

void cluster_links::broadcast(const wire::message& value) {
    for (const auto& peer : callers_)
        peer->send(value);
}

void cluster_links::stop() {
    stopped_ = true;
    if (server_)
        server_->stop();
    for (const auto& [node, channel] : channels_)
        channel->stop();
}

} // namespace clementine::control
