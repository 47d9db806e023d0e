// Derives from a request header and the manifest how the request is handled. Pure functions.
#pragma once

#include "base/clock.h"
#include "manifest/manifest.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

namespace clementine::proxy {

// Names of the header fields exchanged with callers and backend servers.
namespace field_name {
inline constexpr std::string_view outcome = "Clementine-Outcome";
inline constexpr std::string_view first_outcome = "Clementine-First-Outcome";
inline constexpr std::string_view workspace = "Clementine-Workspace";
inline constexpr std::string_view idempotent = "Clementine-Idempotent";
inline constexpr std::string_view timeout = "Clementine-Timeout-Ms";
inline constexpr std::string_view request_id = "Clementine-Request-Id";
inline constexpr std::string_view not_run = "Clementine-Not-Run";
inline constexpr std::string_view leaving = "Clementine-Leaving";
inline constexpr std::string_view idempotency_key = "Idempotency-Key";
} // namespace field_name

// Compares field names, ignoring case.
bool same_field_name(std::string_view a, std::string_view b);

// True for fields that apply to one connection only or that the proxy sets itself. They are not
// forwarded. `connection` is the value of the Connection field.
bool is_hop_by_hop_field(std::string_view name, std::string_view connection);

// True if a comma-separated list contains an item, ignoring case.
bool list_has(std::string_view list, std::string_view item);

// A header that passed check_header, split into views of the header bytes.
struct request_head {
    std::string_view method;
    std::string_view target;
    std::vector<std::pair<std::string_view, std::string_view>> fields;

    // Value of the first field of a name; nothing if it is missing.
    std::optional<std::string_view> find(std::string_view name) const;
    int count(std::string_view name) const;
    // Values of all fields of a name, joined to a comma-separated list.
    std::string joined(std::string_view name) const;
};

request_head split_header(std::string_view header);

struct request_plan {
    std::string service;
    std::string workspace;
    std::string request_id;
    std::string method;
    std::string idempotency_key; // empty if there is none or the request is idempotent
    std::string forwarded;       // request line and fields to forward, without framing fields
    std::optional<std::uint64_t> content_length;
    bool chunked = false;
    bool idempotent = false;
    bool expects_continue = false;
    bool closes = false; // the caller asked for the connection to be closed
    time_ms timeout = 0;
    std::uint64_t max_body_bytes = 0;

    bool has_body() const { return chunked || content_length.value_or(0) > 0; }
    bool is_head() const { return method == "HEAD"; }
};

// A request that is refused before it is queued.
struct rejection {
    unsigned status = 400;
    std::string reason;
};

using plan_result = std::variant<request_plan, rejection>;

// Derives the plan of a request. `new_id` is used as request id if the caller gave none.
plan_result plan_request(const request_head& head, const manifest::manifest& manifest,
                         std::string_view new_id);

} // namespace clementine::proxy
