// Conversion of "IP:port" addresses to Asio endpoints.
#pragma once

#include <boost/asio/ip/tcp.hpp>

#include <optional>
#include <string>

namespace clementine::control {

std::optional<boost::asio::ip::tcp::endpoint> parse_tcp_endpoint(const std::string& address);

// For addresses that were validated before. Logs a malformed one and returns 0.0.0.0:0, to which no
// connection succeeds.
boost::asio::ip::tcp::endpoint checked_tcp_endpoint(const std::string& address);

} // namespace clementine::control
