// Builds the headers of responses to callers. Pure functions.
#pragma once

#include "proxy/message_decoder.h"
#include "routing/types.h"

#include <string>
#include <string_view>

namespace clementine::proxy {

// How the body of a forwarded response is framed.
enum class body_framing { none, length, chunked };

// Status line and fields of a backend server's response as forwarded to the caller: hop-by-hop
// fields are dropped and the fields of the proxy are set.
std::string forwarded_head(const message_decoder& response, std::string_view request_id,
                           bool to_head, bool close);

// Framing of a response body; `none` if it has no body.
body_framing framing_of(const message_decoder& response, bool to_head);

struct local_response {
    unsigned status = 503;
    routing::request_outcome outcome = routing::request_outcome::not_run;
    std::string reason = {}; // sent as the body
    std::string request_id = {};
    std::string first_outcome = {}; // of the attempt that holds the idempotency key, if any
    bool to_head = false;
    bool close = false;
};

// Serializes a response that the proxy generates itself.
std::string render(const local_response& response);

// Standard reason phrase of a status code.
std::string_view reason_phrase(unsigned status);

} // namespace clementine::proxy
