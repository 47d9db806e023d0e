// Links between the nodes of the system: each node calls the control nodes that it knows, and a
// control node also accepts the calls of others. Runs on one Asio loop.
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
    // `node` is the name of the peer: the address at which a control node accepts links.
    struct callbacks {
        // From a node that this one called.
        std::function<void(const std::string& node, wire::message&&)> received;
        // From a node that called this one; answers go back through the connection.
        std::function<void(const std::shared_ptr<wire::connection>&, wire::message&&)> accepted;
        std::function<void(const std::string& node)> opened;
        std::function<void(const std::string& node)> closed;
    };

    cluster_links(boost::asio::io_context& loop, wire::hello self, callbacks handlers);
    cluster_links(const cluster_links&) = delete;
    cluster_links& operator=(const cluster_links&) = delete;
    ~cluster_links() = default;

    // Accepts links at an address "IP:port"; the error text if that fails.
    std::string listen(const std::string& address);
    // Keeps a link to a control node from now on. Its own address is ignored.
    void connect(const std::string& node);
    // Ends the links to nodes that are not in the set.
    void keep_only(const std::set<std::string>& nodes);
    bool send(const std::string& node, const wire::message& value);
    bool is_open(const std::string& node) const;
    bool any_open() const;
    // Sends to every node that called this one.
    void broadcast(const wire::message& value);
    void stop();

  private:
    boost::asio::io_context& loop_;
    wire::hello self_;
    callbacks handlers_;
    std::map<std::string, std::shared_ptr<wire::channel>> channels_;
    std::shared_ptr<wire::channel_server> server_;
    std::set<std::shared_ptr<wire::connection>> callers_;
    bool stopped_ = false;
};

} // namespace clementine::control
