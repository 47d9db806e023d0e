// Sends single HTTP requests, each over a connection of its own.
#pragma once

#include "base/clock.h"
#include "base/ini.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

#include <optional>
#include <string>
#include <vector>

namespace standin {

using http_request = boost::beast::http::request<boost::beast::http::string_body>;
using http_response = boost::beast::http::response<boost::beast::http::string_body>;

// Parses "IP:PORT,IP:PORT,..."; throws std::invalid_argument if an item is malformed.
std::vector<boost::asio::ip::tcp::endpoint> parse_endpoints(const std::string& text);

// Sends a request and reads the whole response. Returns nullopt on an error or after `timeout`.
boost::asio::awaitable<std::optional<http_response>>
exchange(boost::asio::ip::tcp::endpoint target, http_request request, clementine::time_ms timeout);

} // namespace standin
