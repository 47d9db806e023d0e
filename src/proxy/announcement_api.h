// Announcement interface for backend servers: /v1/backend-servers/ID. Performs no I/O.
#pragma once

#include "proxy/api_server.h"
#include "routing/dispatcher.h"

#include <functional>
#include <optional>
#include <string>

namespace clementine::proxy {

class announcement_api {
  public:
    // `address_of` returns the announcement address of another entryd, if one is configured.
    using address_lookup = std::function<std::optional<std::string>(const std::string& node)>;

    announcement_api(routing::dispatcher& dispatcher, std::string node, time_ms lease,
                     address_lookup address_of)
        : dispatcher_(dispatcher), node_(std::move(node)), lease_(lease),
          address_of_(std::move(address_of)) {}

    api_response handle(const api_request& request) const;

  private:
    api_response make_response(const std::string& id, const routing::announce_reply& reply) const;

    routing::dispatcher& dispatcher_;
    std::string node_;
    time_ms lease_;
    address_lookup address_of_;
};

// Longest string in an announcement, in bytes.
inline constexpr std::size_t max_announcement_text = 256;

// Parses the body of an announcement; on failure `reason` names the invalid field.
std::optional<routing::announcement>
parse_announcement(const std::string& id, const std::string& body, std::string& reason);

} // namespace clementine::proxy
