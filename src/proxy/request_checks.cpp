#include "proxy/request_checks.h"

#include <algorithm>

namespace clementine::proxy {

namespace {

constexpr std::string_view line_end = "\r\n";
// 18 digits always fit into 64 bits.
constexpr std::size_t max_length_digits = 18;

bool is_alnum(char c) {
    return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z');
}

bool is_digit(char c) {
    return c >= '0' && c <= '9';
}

bool is_token_char(char c) {
    constexpr std::string_view punctuation = "!#$%&'*+-.^_`|~";
    return is_alnum(c) || punctuation.find(c) != std::string_view::npos;
}

bool is_target_char(char c) {
    return c > ' ' && c < 0x7f;
}

// Visible characters, space, tab and bytes from 0x80; no other control characters.
bool is_value_char(char c) {
    const auto byte = static_cast<unsigned char>(c);
    return byte == '\t' || (byte >= ' ' && byte != 0x7f);
}

bool is_host_char(char c) {
    constexpr std::string_view punctuation = "-._~:[]%";
    return is_alnum(c) || punctuation.find(c) != std::string_view::npos;
}

bool equals_ignoring_case(std::string_view a, std::string_view b) {
    const auto lower = [](char c) {
        return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c;
    };
    return std::ranges::equal(a, b, {}, lower, lower);
}

std::string_view trim_whitespace(std::string_view text) {
    while (!text.empty() && (text.front() == ' ' || text.front() == '\t'))
        text.remove_prefix(1);
    while (!text.empty() && (text.back() == ' ' || text.back() == '\t'))
        text.remove_suffix(1);
    return text;
}

// True if there is a bare CR or LF. A CR at the end does not count, its LF may still arrive.
bool has_bare_line_end(std::string_view bytes) {
    for (std::size_t i = 0; i < bytes.size(); ++i) {
        if (bytes[i] == '\n' && (i == 0 || bytes[i - 1] != '\r'))
            return true;
        if (bytes[i] == '\r' && i + 1 < bytes.size() && bytes[i + 1] != '\n')
            return true;
    }
    return false;
}

// Number of occurrences of the fields that control framing and routing.
struct field_counts {
    int hosts = 0;
    int content_lengths = 0;
    int transfer_encodings = 0;
};

std::optional<header_fault> check_request_line(std::string_view line) {
    const auto first = line.find(' ');
    const auto last = line.rfind(' ');
    if (first == std::string_view::npos || first == last)
        return header_fault{400, "malformed request line"};
    const auto target = line.substr(first + 1, last - first - 1);
    const auto version = line.substr(last + 1);
    if (!is_token(line.substr(0, first)))
        return header_fault{400, "malformed method"};
    if (target.empty() || !std::ranges::all_of(target, is_target_char))
        return header_fault{400, "malformed request target"};
    if (version.size() != 8 || !version.starts_with("HTTP/") || !is_digit(version[5]) ||
        version[6] != '.' || !is_digit(version[7]))
        return header_fault{400, "malformed version"};
    // HTTP/1.0 has no chunked transfer coding, so a truncated response could look complete.
    if (version != "HTTP/1.1")
        return header_fault{505, "only HTTP/1.1 is supported"};
    if (target.front() != '/' && target != "*")
        return header_fault{400, "request target is not a path"};
    return std::nullopt;
}

std::optional<header_fault> check_value(std::string_view name, std::string_view value,
                                        field_counts& counts) {
    if (!std::ranges::all_of(value, is_value_char))
        return header_fault{400, "control byte in a field value"};
    if (equals_ignoring_case(name, "content-length")) {
        ++counts.content_lengths;
        if (value.empty() || value.size() > max_length_digits ||
            !std::ranges::all_of(value, is_digit))
            return header_fault{400, "malformed Content-Length"};
    } else if (equals_ignoring_case(name, "transfer-encoding")) {
        ++counts.transfer_encodings;
        if (!equals_ignoring_case(value, "chunked"))
            return header_fault{400, "unsupported Transfer-Encoding"};
    } else if (equals_ignoring_case(name, "host")) {
        ++counts.hosts;
        if (value.empty() || !std::ranges::all_of(value, is_host_char))
            return header_fault{400, "malformed Host"};
    }
    return std::nullopt;
}

std::optional<header_fault> check_field(std::string_view line, field_counts& counts) {
    if (line.front() == ' ' || line.front() == '\t')
        return header_fault{400, "obsolete line folding"};
    const auto colon = line.find(':');
    if (colon == std::string_view::npos || !is_token(line.substr(0, colon)))
        return header_fault{400, "malformed field name"};
    return check_value(line.substr(0, colon), trim_whitespace(line.substr(colon + 1)), counts);
}

std::optional<header_fault> check_counts(const field_counts& counts) {
    if (counts.content_lengths > 1)
        return header_fault{400, "more than one Content-Length"};
    if (counts.transfer_encodings > 1)
        return header_fault{400, "more than one Transfer-Encoding"};
    if (counts.content_lengths > 0 && counts.transfer_encodings > 0)
        return header_fault{400, "both Content-Length and Transfer-Encoding"};
    if (counts.hosts != 1)
        return header_fault{400, "not exactly one Host"};
    return std::nullopt;
}

} // namespace

bool is_token(std::string_view text) {
    return !text.empty() && std::ranges::all_of(text, is_token_char);
}

header_scan scan_header(std::string_view bytes) {
    if (!bytes.empty() && !is_token_char(bytes.front()))
        return {header_scan_state::malformed, 0, "not an HTTP request"};
    const auto end = bytes.find("\r\n\r\n");
    const bool complete = end != std::string_view::npos;
    const auto size = complete ? end + 4 : bytes.size();
    if (has_bare_line_end(bytes.substr(0, size)))
        return {header_scan_state::malformed, 0, "bare CR or LF"};
    if (size > max_header_bytes || (!complete && size == max_header_bytes))
        return {header_scan_state::too_long, 0, "header too long"};
    if (!complete)
        return {};
    return {header_scan_state::complete, size, {}};
}

std::optional<header_fault> check_header(std::string_view header) {
    if (has_bare_line_end(header))
        return header_fault{400, "bare CR or LF"};
    field_counts counts;
    bool first = true;
    while (!header.empty()) {
        const auto end = header.find(line_end);
        if (end == std::string_view::npos)
            return header_fault{400, "unterminated line"};
        const auto line = header.substr(0, end);
        header.remove_prefix(end + line_end.size());
        if (line.empty())
            break;
        const auto fault = first ? check_request_line(line) : check_field(line, counts);
        if (fault)
            return fault;
        first = false;
    }
    if (first)
        return header_fault{400, "malformed request line"};
    return check_counts(counts);
}

} // namespace clementine::proxy
