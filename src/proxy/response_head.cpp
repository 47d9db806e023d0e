#include "proxy/response_head.h"

#include "proxy/request_plan.h"

#include <boost/beast/http/status.hpp>

namespace clementine::proxy {

namespace {

void append_field(std::string& out, std::string_view name, std::string_view value) {
    out += name;
    out += ": ";
    out += value;
    out += "\r\n";
}

// Fields that the proxy sets or interprets itself.
bool is_own_field(std::string_view name) {
    return same_field_name(name, field_name::outcome) ||
           same_field_name(name, field_name::first_outcome) ||
           same_field_name(name, field_name::request_id) ||
           same_field_name(name, field_name::leaving);
}

} // namespace

std::string_view reason_phrase(unsigned status) {
    const auto text =
        boost::beast::http::obsolete_reason(boost::beast::http::int_to_status(status));
    return {text.data(), text.size()};
}

body_framing framing_of(const message_decoder& response, bool to_head) {
    const auto status = response.status();
    if (to_head || status == 204 || status == 304)
        return body_framing::none;
    return response.chunked() ? body_framing::chunked : body_framing::length;
}

std::string forwarded_head(const message_decoder& response, std::string_view request_id,
                           bool to_head, bool close) {
    std::string out = "HTTP/1.1 " + std::to_string(response.status()) + ' ';
    out += response.reason();
    out += "\r\n";
    const auto fields = response.fields();
    std::string connection;
    for (const auto& [name, value] : fields) {
        if (same_field_name(name, "connection"))
            connection += (connection.empty() ? "" : ",") + std::string(value);
    }
    for (const auto& [name, value] : fields) {
        if (!is_hop_by_hop_field(name, connection) && !is_own_field(name))
            append_field(out, name, value);
    }
    if (framing_of(response, to_head) == body_framing::chunked)
        append_field(out, "Transfer-Encoding", "chunked");
    else if (response.content_length() && response.status() != 204)
        append_field(out, "Content-Length", std::to_string(*response.content_length()));
    append_field(out, field_name::outcome, to_name(routing::request_outcome::answered));
    append_field(out, field_name::request_id, request_id);
    if (close)
        append_field(out, "Connection", "close");
    return out + "\r\n";
}

std::string render(const local_response& response) {
    std::string out = "HTTP/1.1 " + std::to_string(response.status) + ' ';
    out += reason_phrase(response.status);
    out += "\r\n";
    append_field(out, "Content-Type", "text/plain");
    append_field(out, "Content-Length", std::to_string(response.reason.size() + 1));
    append_field(out, field_name::outcome, to_name(response.outcome));
    if (!response.request_id.empty())
        append_field(out, field_name::request_id, response.request_id);
    if (!response.first_outcome.empty())
        append_field(out, field_name::first_outcome, response.first_outcome);
    if (response.close)
        append_field(out, "Connection", "close");
    out += "\r\n";
    if (!response.to_head)
        out += response.reason + '\n';
    return out;
}

} // namespace clementine::proxy
