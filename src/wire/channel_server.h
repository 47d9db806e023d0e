// Server end of the links: accepts connections from other processes of the system.
#pragma once

#include "wire/connection.h"

#include <boost/asio/io_context.hpp>

#include <memory>
#include <mutex>
#include <set>
#include <string>

namespace clementine::wire {

class channel_server : public std::enable_shared_from_this<channel_server> {
  public:
    // Called on the strand of the connection; different connections run in parallel. Each
    // connection that calls `opened` calls `closed` once. After `stop` a callback may still be
    // running on another thread.
    struct handlers {
        std::function<void(const std::shared_ptr<connection>&)> opened =
            [](const std::shared_ptr<connection>&) {};
        std::function<void(const std::shared_ptr<connection>&, message&&)> received =
            [](const std::shared_ptr<connection>&, message&&) {};
        std::function<void(const std::shared_ptr<connection>&, const close_info&)> closed =
            [](const std::shared_ptr<connection>&, const close_info&) {};
    };

    channel_server(boost::asio::io_context& context, hello own_hello, link_settings settings,
                   handlers callbacks, std::shared_ptr<traffic> counters = nullptr);
    channel_server(const channel_server&) = delete;
    channel_server& operator=(const channel_server&) = delete;
    ~channel_server() = default;

    // Binds and starts accepting. Returns the error text on failure, otherwise an empty string.
    std::string listen(const boost::asio::ip::tcp::endpoint& local);
    // Bound port; tells which port the system chose if `listen` was given port 0.
    unsigned short port() const { return port_; }
    // Closes the listener and all connections, soon after the call returns. May be called from any
    // thread.
    void stop();

  private:
    void accept();
    void handle_accepted(boost::asio::ip::tcp::socket socket);
    void handle_closed(const std::shared_ptr<connection>& closed_connection, const close_info& info,
                       bool was_open);

    boost::asio::io_context& context_;
    boost::asio::ip::tcp::acceptor acceptor_;
    hello own_hello_;
    link_settings settings_;
    handlers handlers_;
    std::shared_ptr<traffic> counters_;
    boost::asio::steady_timer accept_timer_;
    unsigned short port_ = 0;
    std::mutex mutex_; // Guards connections_ and stopped_.
    std::set<std::shared_ptr<connection>> connections_;
    bool stopped_ = false;
};

} // namespace clementine::wire
