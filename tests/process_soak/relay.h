// TCP relay on loopback between the control nodes and one worker. It can delay bytes, drop them in
// one or both directions, and reset the connections.
#pragma once

#include "base/clock.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <memory>
#include <string>
#include <vector>

namespace clementine::process_soak {

enum class relay_mode {
    pass,
    delayed,           // bytes are delayed in both directions
    responses_dropped, // bytes from the worker are dropped
    all_dropped        // bytes are dropped in both directions
};

class relay : public std::enable_shared_from_this<relay> {
  public:
    relay(boost::asio::io_context& loop, boost::asio::ip::tcp::endpoint target);
    relay(const relay&) = delete;
    relay& operator=(const relay&) = delete;
    ~relay() = default;

    // Listens on a free port of `ip`.
    void listen(const std::string& ip);
    unsigned short port() const { return acceptor_.local_endpoint().port(); }
    void set_mode(relay_mode mode) { mode_ = mode; }
    relay_mode mode() const { return mode_; }
    // Resets all open connections.
    void reset();
    void stop();

  private:
    class session;
    void accept();

    boost::asio::io_context& loop_;
    boost::asio::ip::tcp::acceptor acceptor_;
    boost::asio::ip::tcp::endpoint target_;
    relay_mode mode_ = relay_mode::pass;
    std::vector<std::weak_ptr<session>> sessions_;
};

} // namespace clementine::process_soak
