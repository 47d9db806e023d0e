// Small HTTP/1.1 server for the operators' API and the admin pages. Handlers may respond
// asynchronously and from any thread.
#pragma once

#include "base/clock.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

#include <atomic>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace clementine::control {

using http_request = boost::beast::http::request<boost::beast::http::string_body>;
using http_response = boost::beast::http::response<boost::beast::http::string_body>;
// Must be called exactly once.
using http_respond = std::function<void(http_response)>;
// Must not block.
using http_handler = std::function<void(const http_request&, http_respond)>;

struct http_limits {
    std::uint64_t max_body_bytes = 1U << 20;
    time_ms request_timeout{10'000};   // for reading a request, and for writing its response
    time_ms idle_timeout{60'000};      // between two requests
    std::size_t max_connections = 256; // connections above the limit are closed
};

// Creates a response with a body of the given content type.
http_response make_response(boost::beast::http::status status, std::string body,
                            std::string_view content_type);

class http_server : public std::enable_shared_from_this<http_server> {
  public:
    http_server(boost::asio::io_context& context, http_limits limits, http_handler handler);
    http_server(const http_server&) = delete;
    http_server& operator=(const http_server&) = delete;
    ~http_server() = default;

    // Binds and starts accepting. Returns the error text, empty on success.
    std::string listen(const boost::asio::ip::tcp::endpoint& local);
    unsigned short port() const { return port_; }
    // Stops accepting. Open connections close after their current response.
    void stop();

  private:
    class session;
    void accept();

    boost::asio::io_context& context_;
    boost::asio::ip::tcp::acceptor acceptor_;
    boost::asio::steady_timer accept_timer_;
    http_limits limits_;
    http_handler handler_;
    unsigned short port_ = 0;
    std::atomic<std::size_t> connections_{0};
    std::atomic<bool> stopped_{false};
};

} // namespace clementine::control
