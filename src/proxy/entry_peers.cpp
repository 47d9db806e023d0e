#include "proxy/entry_peers.h"

#include "base/log.h"
#include "proxy/key_messages.h"

#include <boost/asio/ip/address.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/strand.hpp>

#include <algorithm>
#include <stdexcept>
#include <utility>

namespace clementine::proxy {

namespace asio = boost::asio;

namespace {

// Urgent ticks are sent at most once in this interval.
constexpr std::chrono::milliseconds poll_interval{50};

std::vector<routing::key_member> members_of(const entry_peers_settings& settings) {
    std::vector<routing::key_member> out{{settings.self.node, settings.self.availability_zone}};
    for (const auto& peer : settings.peers)
        out.push_back({peer.node, peer.availability_zone});
    return out;
}

routing::key_holder_settings holder_settings_of(const entry_peers_settings& settings) {
    routing::key_holder_settings out;
    out.node = settings.self.node;
    out.members = members_of(settings);
    out.retention = settings.key_retention;
    out.max_request_time = settings.longest_request;
    out.first_start = settings.first_start;
    return out;
}

// The boot id in hello must equal the boot number that the dispatcher puts into ticks.
entry_peers_settings with_boot_id(entry_peers_settings settings, std::uint64_t boot) {
    settings.self.boot_id = boot;
    return settings;
}

asio::ip::tcp::endpoint to_endpoint(const endpoint_text& endpoint) {
    return {asio::ip::make_address(endpoint.address), endpoint.port};
}

} // namespace

entry_peers_settings peers_settings_of(const entryd_settings& settings, bool first_start) {
    entry_peers_settings out;
    out.self.cluster = settings.cluster;
    out.self.node = settings.node;
    out.self.role = wire::node_role::entryd;
    out.self.availability_zone = settings.availability_zone;
    out.listen = to_endpoint(settings.control.value());
    for (const auto& peer : settings.peers)
        out.peers.push_back({peer.name, to_endpoint(peer.endpoint), ""});
    out.first_start = first_start;
    return out;
}

entry_peers::entry_peers(asio::io_context& context, entry_peers_settings settings,
                         routing::dispatcher& dispatcher, const clock_source& clock)
    : context_(context), settings_(with_boot_id(std::move(settings), dispatcher.boot())),
      dispatcher_(dispatcher), clock_(clock), traffic_(std::make_shared<wire::traffic>()),
      timer_(asio::make_strand(context)),
      holder_(holder_settings_of(settings_), settings_.self.boot_id, clock.now()),
      claimant_(settings_.self.node, members_of(settings_), settings_.self.boot_id) {
    // Must precede the listener, because its handlers access the channels.
    make_channels();
    wire::channel_server::handlers callbacks;
    callbacks.opened = [this](const auto& connection) { accept_link(connection); };
    callbacks.received = [this](const auto& connection, wire::message&& value) {
        handle(connection->peer(), std::move(value));
    };
    callbacks.closed = [this](const auto& connection, const wire::close_info&) {
        close_link(connection);
    };
    server_ = std::make_shared<wire::channel_server>(context_, settings_.self, settings_.link,
                                                     std::move(callbacks), traffic_);
    if (const auto error = server_->listen(settings_.listen); !error.empty())
        throw std::runtime_error("control listener: " + error);
}

entry_peers::~entry_peers() {
    stop();
}

// Creates the links to the peers with a higher id.
void entry_peers::make_channels() {
    for (const auto& peer : settings_.peers) {
        if (peer.node <= settings_.self.node)
            continue;
        wire::channel::handlers callbacks;
        // Both run on the strand of the channel.
        auto remote = std::make_shared<wire::hello>();
        callbacks.opened = [remote, node = peer.node](const wire::hello& hello) {
            *remote = hello;
            log_event(hello.node == node ? log_level::info : log_level::error, "peer_connected")
                .field("peer", node)
                .field("remote_node", hello.node);
        };
        callbacks.received = [this, remote, node = peer.node](wire::message&& value) {
            if (remote->node == node)
                handle(*remote, std::move(value));
        };
        callbacks.closed = [node = peer.node](const wire::close_info& info) {
            log_event(log_level::warning, "peer_disconnected")
                .field("peer", node)
                .field("reason", to_name(info.reason))
                .field("detail", info.detail);
        };
        channels_[peer.node] =
            std::make_shared<wire::channel>(context_, peer.endpoint, settings_.self, settings_.link,
                                            std::move(callbacks), traffic_);
    }
}

void entry_peers::start() {
    for (const auto& [node, channel] : channels_)
        channel->start();
    schedule_poll();
}

void entry_peers::stop() {
    std::map<std::uint64_t, claim_handler> open_claims;
    {
        std::lock_guard lock(mutex_);
        if (stopped_)
            return;
        stopped_ = true;
        open_claims.swap(handlers_);
    }
    for (const auto& [id, done] : open_claims)
        done({});
    for (const auto& [node, channel] : channels_)
        channel->stop();
    server_->stop();
    asio::post(timer_.get_executor(), [this] { timer_.cancel(); });
}

bool entry_peers::is_known_peer(const std::string& node) const {
    return std::any_of(settings_.peers.begin(), settings_.peers.end(),
                       [&](const entry_peer& peer) { return peer.node == node; });
}

// A new connection of a peer replaces its previous one.
void entry_peers::accept_link(const std::shared_ptr<wire::connection>& connection) {
    const auto& peer = connection->peer();
    if (peer.role != wire::node_role::entryd || !is_known_peer(peer.node)) {
        log_event(log_level::warning, "peer_rejected").field("peer", peer.node);
        connection->stop();
        return;
    }
    std::shared_ptr<wire::connection> previous;
    {
        std::lock_guard lock(mutex_);
        previous = std::exchange(accepted_[peer.node], connection);
    }
    if (previous)
        previous->stop();
    log_event(log_level::info, "peer_connected").field("peer", peer.node);
}

void entry_peers::close_link(const std::shared_ptr<wire::connection>& connection) {
    std::lock_guard lock(mutex_);
    const auto found = accepted_.find(connection->peer().node);
    if (found != accepted_.end() && found->second == connection)
        accepted_.erase(found);
}

std::size_t entry_peers::connected() const {
    std::size_t open = 0;
    for (const auto& [node, channel] : channels_)
        open += channel->is_open() ? 1 : 0;
    std::lock_guard lock(mutex_);
    return open + accepted_.size();
}

bool entry_peers::send(const std::string& node, const wire::message& value) {
    const auto channel = channels_.find(node);
    if (channel != channels_.end())
        return channel->second->send(value);
    std::shared_ptr<wire::connection> connection;
    {
        std::lock_guard lock(mutex_);
        const auto found = accepted_.find(node);
        if (found != accepted_.end())
            connection = found->second;
    }
    return connection && connection->send(value);
}

// Sends to a peer, or handles the message directly if this node is the receiver.
void entry_peers::deliver(const std::string& node, const wire::message& value) {
    if (node == settings_.self.node)
        handle(settings_.self, wire::message(value));
    else
        send(node, value);
}

void entry_peers::send_all(const std::vector<std::string>& nodes, const wire::message& value) {
    for (const auto& node : nodes)
        deliver(node, value);
}

void entry_peers::schedule_poll() {
    timer_.expires_after(poll_interval);
    timer_.async_wait([this](const boost::system::error_code& error) {
        if (error)
            return;
        {
            std::lock_guard lock(mutex_);
            if (stopped_)
                return;
        }
        poll();
        schedule_poll();
    });
}

void entry_peers::poll() {
    for (const auto& peer : settings_.peers)
        send_tick(peer.node);
    poll_claims();
}

// Sends the next tick to a peer if one is due.
void entry_peers::send_tick(const std::string& peer) {
    auto tick = dispatcher_.next_tick(peer);
    if (!tick)
        return;
    // The receiver knows both from hello. They would make up a fifth of an idle tick.
    tick->sender.clear();
    tick->boot = 0;
    send(peer, wire::message(std::move(*tick)));
}

void entry_peers::poll_claims() {
    const time_ms now = clock_.now();
    std::vector<routing::outgoing_sync> syncs;
    std::vector<routing::key_claim_decision> decisions;
    {
        std::lock_guard lock(mutex_);
        holder_.advance(now);
        syncs = holder_.due_syncs(now);
        decisions = claimant_.advance(now);
    }
    for (const auto& sync : syncs)
        send(sync.to, wire::message(to_wire(sync.message)));
    for (const auto& decision : decisions)
        complete_claim(decision);
}

void entry_peers::claim(const routing::idempotency_key& key, claim_handler done) {
    routing::key_claim_start start;
    bool stopped = false;
    {
        std::lock_guard lock(mutex_);
        stopped = stopped_;
        if (!stopped) {
            start = claimant_.begin(key, clock_.now());
            handlers_.emplace(start.request.claim_id, done);
        }
    }
    if (stopped) {
        done({});
        return;
    }
    send_all(start.holders, wire::message(to_wire(start.request)));
}

void entry_peers::finish(std::uint64_t claim_id, routing::key_state result) {
    std::optional<routing::key_claim_end> end;
    {
        std::lock_guard lock(mutex_);
        end = claimant_.finish(claim_id, result);
    }
    if (!end)
        return;
    if (end->outcome)
        send_all(end->holders, wire::message(to_wire(*end->outcome)));
    else
        send_all(end->holders, wire::message(to_wire(end->release)));
}

void entry_peers::complete_claim(const routing::key_claim_decision& decision) {
    if (!decision.won)
        send_all(decision.holders, wire::message(to_wire(decision.release)));
    claim_handler done;
    {
        std::lock_guard lock(mutex_);
        const auto found = handlers_.find(decision.claim_id);
        if (found == handlers_.end())
            return;
        done = std::move(found->second);
        handlers_.erase(found);
    }
    done({decision.won, decision.claim_id, decision.first_state});
}

// Handles a message of a peer. Messages whose sender is not the peer of the link are dropped.
void entry_peers::handle(const wire::hello& peer, wire::message&& value) {
    if (auto* tick = std::get_if<routing::entry_tick>(&value)) {
        tick->sender = peer.node;
        tick->boot = peer.boot_id;
        dispatcher_.receive_tick(*tick);
        send_tick(peer.node);
        return;
    }
    std::visit(
        [&](const auto& item) {
            if constexpr (requires { this->receive(peer.node, item); }) {
                if (item.sender == peer.node)
                    receive(peer.node, item);
                else
                    log_event(log_level::warning, "peer_message_dropped").field("peer", peer.node);
            }
        },
        value);
}

void entry_peers::receive(const std::string& sender, const wire::claim_request& value) {
    routing::key_claim_reply reply;
    {
        std::lock_guard lock(mutex_);
        reply = holder_.claim(from_wire(value), clock_.now());
    }
    deliver(sender, wire::message(to_wire(reply)));
}

void entry_peers::receive(const std::string&, const wire::claim_reply& value) {
    std::optional<routing::key_claim_decision> decision;
    {
        std::lock_guard lock(mutex_);
        decision = claimant_.receive(from_wire(value), clock_.now());
    }
    if (decision)
        complete_claim(*decision);
}

void entry_peers::receive(const std::string&, const wire::claim_release& value) {
    std::lock_guard lock(mutex_);
    holder_.release(from_wire(value));
}

void entry_peers::receive(const std::string&, const wire::claim_outcome& value) {
    std::lock_guard lock(mutex_);
    holder_.record(from_wire(value), clock_.now());
}

void entry_peers::receive(const std::string& sender, const wire::claim_sync& value) {
    std::vector<routing::key_sync> answers;
    {
        std::lock_guard lock(mutex_);
        if (value.request)
            answers = holder_.answer_sync(from_wire(value), clock_.now());
        else
            holder_.apply_sync(from_wire(value), clock_.now());
    }
    for (const auto& answer : answers)
        send(sender, wire::message(to_wire(answer)));
}

} // namespace clementine::proxy
