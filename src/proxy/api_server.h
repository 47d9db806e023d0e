// Small HTTP server for the announcement and admin interfaces. Requests and responses are buffered
// as a whole.
#pragma once

#include "base/ini.h"
#include "proxy/asio.h"

#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace clementine::proxy {

struct api_request {
    std::string method;
    std::string target;
    std::string body;
};

struct api_response {
    unsigned status = 200;
    std::string content_type = "text/plain";
    std::string body;
    std::vector<std::pair<std::string, std::string>> fields = {};
};

// Called on an I/O thread; must not block.
using api_handler = std::function<api_response(const api_request&)>;

class api_server {
  public:
    // Binds and listens; throws std::runtime_error naming the address on failure.
    api_server(asio::io_context& io, const endpoint_text& address, api_handler handler);
    api_server(const api_server&) = delete;
    api_server& operator=(const api_server&) = delete;
    ~api_server();

    void start();
    // Stops accepting and cancels the operations of open connections. Thread-safe.
    void stop();
    unsigned short port() const;

  private:
    struct state;
    std::shared_ptr<state> state_;
};

// Opens a listening socket; throws std::runtime_error naming the address on failure.
tcp::acceptor open_listener(const strand& strand, const endpoint_text& address);

} // namespace clementine::proxy
