// Links between entryds. They carry periodic ticks, which share slots, and claims of idempotency
// keys.
#pragma once

#include "base/clock.h"
#include "proxy/entryd_runtime.h"
#include "proxy/key_claims.h"
#include "routing/dispatcher.h"
#include "routing/key_claimant.h"
#include "routing/key_holder.h"
#include "wire/channel.h"
#include "wire/channel_server.h"

#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace clementine::proxy {

struct entry_peer {
    std::string node;
    boost::asio::ip::tcp::endpoint endpoint;
    std::string availability_zone; // may be empty
};

struct entry_peers_settings {
    wire::hello self; // `boot_id` is set from the dispatcher
    boost::asio::ip::tcp::endpoint listen;
    std::vector<entry_peer> peers;
    time_ms key_retention{600'000};
    time_ms longest_request{30'000};
    bool first_start = false;
    wire::link_settings link;
};

// Derives the link settings from the process settings, which must have a control listener.
entry_peers_settings peers_settings_of(const entryd_settings& settings, bool first_start);

// Of two entryds, the one with the lower node id opens the connection. Each link carries messages
// in both directions. Thread-safe.
class entry_peers final : public runtime_component, public key_claims {
  public:
    using claim_handler = std::function<void(key_claim_result)>;

    // Binds the listener; throws std::runtime_error on failure.
    entry_peers(boost::asio::io_context& context, entry_peers_settings settings,
                routing::dispatcher& dispatcher, const clock_source& clock);
    ~entry_peers() override;

    void start() override;
    void stop() override;

    // Claims that are undecided at `stop` end as not won.
    void claim(const routing::idempotency_key& key, claim_handler done) override;
    void finish(std::uint64_t claim_id, routing::key_state result) override;

    unsigned short port() const { return server_->port(); }
    // Number of peers with an open link.
    std::size_t connected() const;
    const wire::traffic& counters() const { return *traffic_; }

  private:
    void make_channels();
    void schedule_poll();
    void poll();
    void poll_claims();
    void send_tick(const std::string& peer);
    bool send(const std::string& node, const wire::message& value);
    void send_all(const std::vector<std::string>& nodes, const wire::message& value);
    void deliver(const std::string& node, const wire::message& value);
    void handle(const wire::hello& peer, wire::message&& value);
    void receive(const std::string& sender, const wire::claim_request& value);
    void receive(const std::string& sender, const wire::claim_reply& value);
    void receive(const std::string& sender, const wire::claim_release& value);
    void receive(const std::string& sender, const wire::claim_outcome& value);
    void receive(const std::string& sender, const wire::claim_sync& value);
    void complete_claim(const routing::key_claim_decision& decision);
    bool is_known_peer(const std::string& node) const;
    void accept_link(const std::shared_ptr<wire::connection>& connection);
    void close_link(const std::shared_ptr<wire::connection>& connection);

    boost::asio::io_context& context_;
    const entry_peers_settings settings_;
    routing::dispatcher& dispatcher_;
    const clock_source& clock_;
    std::shared_ptr<wire::traffic> traffic_;
    std::shared_ptr<wire::channel_server> server_;
    std::map<std::string, std::shared_ptr<wire::channel>> channels_; // to peers with a higher id
    boost::asio::steady_timer timer_;

    mutable std::mutex mutex_; // guards the members below; not held while handlers run
    // Links opened by peers with a lower id.
    std::map<std::string, std::shared_ptr<wire::connection>> accepted_;
    routing::key_holder holder_;
    routing::key_claimant claimant_;
    std::map<std::uint64_t, claim_handler> handlers_;
    bool stopped_ = false;
};

} // namespace clementine::proxy
