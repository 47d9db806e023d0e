#include "control/endpoint.h"

#include "base/ini.h"
#include "base/log.h"

#include <boost/asio/ip/address.hpp>

namespace clementine::control {

namespace asio = boost::asio;

std::optional<asio::ip::tcp::endpoint> parse_tcp_endpoint(const std::string& address) {
    const auto text = parse_endpoint(address);
    if (!text)
        return std::nullopt;
    return asio::ip::tcp::endpoint(asio::ip::make_address(text->address), text->port);
}

asio::ip::tcp::endpoint checked_tcp_endpoint(const std::string& address) {
    if (const auto endpoint = parse_tcp_endpoint(address))
        return *endpoint;
    log_event(log_level::error, "address_malformed").field("address", address);
    return {};
}

} // namespace clementine::control
