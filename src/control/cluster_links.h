// Connections between cluster nodes. Every node connects to the control nodes it knows; control
// nodes also accept incoming connections. Runs on a single Asio loop.
#pragma once

#include "wire/channel.h"
#include "wire/channel_server.h"

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>

namespace clementine::control {

class cluster_links {
  public:
    // `node` identifies the peer by its name, the address on which it accepts links.
    struct callbacks {
        // A message arrived on a link that this node opened.
        std::function<void(const std::string& node, wire::message&&)> received_outgoing;
        // A message arrived on a link that the peer opened; replies use the same connection.
        std::function<void(const std::shared_ptr<wire::connection>&, wire::message&&)>
            received_incoming;
        std::function<void(const std::string& node)> opened;
        std::function<void(const std::string& node)> closed;
    };

    // At most `max_incoming` links of peers are accepted.
    cluster_links(boost::asio::io_context& loop, wire::hello self, callbacks handlers,
                  std::size_t max_incoming = wire::link_settings{}.max_connections);
    cluster_links(const cluster_links&) = delete;
    cluster_links& operator=(const cluster_links&) = delete;
    ~cluster_links() = default;

    // Accepts links on "IP:port". Returns the error text, empty on success.
    std::string listen(const std::string& address);
    // Maintains a link to a control node, reconnecting as needed. Ignores this node's own address.
    void connect(const std::string& node);
    // Closes the links to nodes that are not in the set.
    void keep_only(const std::set<std::string>& nodes);
    bool send(const std::string& node, const wire::message& value);
    bool is_open(const std::string& node) const;
    bool any_open() const;
    // Sends to every peer with an incoming link.
    void broadcast(const wire::message& value);
    // Number of peers with an incoming link.
    std::size_t incoming() const { return incoming_.size(); }
    void stop();

  private:
    boost::asio::io_context& loop_;
    wire::hello self_;
    callbacks handlers_;
    std::size_t max_incoming_;
    std::map<std::string, std::shared_ptr<wire::channel>> outgoing_;
    std::shared_ptr<wire::channel_server> server_;
    std::set<std::shared_ptr<wire::connection>> incoming_;
    bool stopped_ = false;
};

} // namespace clementine::control
