// Client end of a link to another process of the system. Reconnects until it is stopped.
#pragma once

#include "wire/connection.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/strand.hpp>

#include <atomic>
#include <memory>
#include <mutex>
#include <string>

namespace clementine::wire {

class channel : public std::enable_shared_from_this<channel> {
  public:
    // Called on the channel's strand, one at a time. Each connection that
    // calls `opened` calls `closed` once. After `stop` a callback may still be running on another
    // thread.
    struct handlers {
        std::function<void(const hello&)> opened = [](const hello&) {};
        std::function<void(message&&)> received = [](message&&) {};
        std::function<void(const close_info&)> closed = [](const close_info&) {};
    };

    channel(boost::asio::io_context& context, boost::asio::ip::tcp::endpoint remote,
            hello own_hello, link_settings settings, handlers callbacks,
            std::shared_ptr<traffic> counters = nullptr);
    channel(const channel&) = delete;
    channel& operator=(const channel&) = delete;
    ~channel() = default;

    // Starts connecting. The owner keeps the shared_ptr until after `stop`.
    void start();
    // Closes and stops reconnecting. May be called from any thread.
    void stop();
    // Sends over the open connection; false if there is none or its queue is full. Unsent messages
    // are lost when the connection closes. May be called from any thread.
    bool send(const message& value);
    // True from `opened` to `closed`.
    bool is_open() const { return open_; }

  private:
    void connect();
    void stop_connection();
    void handle_connected(boost::asio::ip::tcp::socket socket);
    void handle_opened(const hello& peer);
    void handle_closed(const close_info& info);
    void reconnect_after(time_ms delay);
    void reconnect_with_backoff();

    boost::asio::strand<boost::asio::io_context::executor_type> strand_;
    boost::asio::ip::tcp::endpoint remote_;
    hello own_hello_;
    link_settings settings_;
    handlers handlers_;
    std::shared_ptr<traffic> counters_;
    boost::asio::steady_timer timer_;
    time_ms backoff_;
    std::mutex mutex_; // Guards connection_.
    std::shared_ptr<connection> connection_;
    std::atomic<bool> open_{false};
    std::atomic<bool> stopped_{false};
};

} // namespace clementine::wire
