// Strict checks of the raw bytes of a request header before it is parsed. They reject forms that
// two HTTP implementations may interpret differently (request smuggling). Pure functions.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>

namespace clementine::proxy {

// Longest request header, including its final empty line.
inline constexpr std::size_t max_header_bytes = 16 * 1024;

enum class header_scan_state { need_more, complete, malformed, too_long };

struct header_scan {
    header_scan_state state = header_scan_state::need_more;
    std::size_t size = 0;         // complete: bytes of the header, including its final empty line
    std::string_view reason = {}; // malformed: what is wrong
};

// Looks for the end of a header in the bytes received so far. Bare CR or LF and bytes that cannot
// start a request are rejected at once.
header_scan scan_header(std::string_view bytes);

struct header_fault {
    unsigned status = 400;
    std::string_view reason;
};

// Checks a complete header; returns nothing if it is valid.
std::optional<header_fault> check_header(std::string_view header);

// True if the bytes are a token of RFC 9110, such as a method or a field name.
bool is_token(std::string_view text);

} // namespace clementine::proxy
