#include "proxy/message_decoder.h"

#include "proxy/request_checks.h"

#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>

#include <variant>

namespace clementine::proxy {

namespace http = boost::beast::http;

namespace {

using request_parser = http::request_parser<http::buffer_body>;
using response_parser = http::response_parser<http::buffer_body>;

// Responses of backend servers may carry long cookies and policies.
constexpr std::uint32_t max_response_header_bytes = 32 * 1024;

// Boost.Beast 1.81 asserts that it sees all 5 bytes of "0 CRLF CRLF" when it resumes at the last
// chunk, so it would abort the process if "0 CRLF" and then a single byte arrive.
constexpr std::size_t min_last_chunk_bytes = 5;

template <class Parser>
decode_step feed_parser(Parser& parser, std::string_view input, std::span<char> output) {
    decode_step step;
    if (parser.is_done()) {
        step.state = decode_state::done;
        return step;
    }
    auto& body = parser.get().body();
    body.data = output.data();
    body.size = output.size();
    body.more = true;
    boost::system::error_code error;
    const bool header_was_done = parser.is_header_done();
    while (!error && !parser.is_done() && parser.is_header_done() == header_was_done) {
        const auto remaining = input.substr(step.consumed);
        // Within a body the parser accepts empty input without error or progress.
        if (remaining.empty())
            break;
        step.consumed +=
            parser.put(boost::asio::const_buffer(remaining.data(), remaining.size()), error);
    }
    step.written = output.size() - body.size;
    if (error == http::error::need_buffer)
        step.state = decode_state::output_full;
    else if (error == http::error::body_limit)
        step.state = decode_state::too_long;
    else if (error && error != http::error::need_more)
        step.state = decode_state::malformed;
    else if (parser.is_done())
        step.state = decode_state::done;
    else if (parser.is_header_done() != header_was_done)
        step.state = decode_state::header_done;
    if (step.state == decode_state::malformed)
        step.reason = error.message();
    return step;
}

} // namespace

struct message_decoder::parser_state {
    std::variant<request_parser, response_parser> value;
    bool has_unconsumed_body = false; // the last step left body input unconsumed

    const response_parser& response() const { return std::get<response_parser>(value); }
};

message_decoder::message_decoder(std::unique_ptr<parser_state> parser_state)
    : parser_state_(std::move(parser_state)) {}
message_decoder::message_decoder(message_decoder&&) noexcept = default;
message_decoder& message_decoder::operator=(message_decoder&&) noexcept = default;
message_decoder::~message_decoder() = default;

message_decoder message_decoder::for_request(std::uint64_t max_body_bytes) {
    auto out = std::make_unique<parser_state>();
    auto& parser = out->value.emplace<request_parser>();
    parser.header_limit(max_header_bytes);
    parser.body_limit(max_body_bytes);
    return message_decoder(std::move(out));
}

message_decoder message_decoder::for_response(bool to_head) {
    auto out = std::make_unique<parser_state>();
    auto& parser = out->value.emplace<response_parser>();
    parser.header_limit(max_response_header_bytes);
    parser.body_limit(boost::none);
    parser.skip(to_head);
    return message_decoder(std::move(out));
}

decode_step message_decoder::feed(std::string_view input, std::span<char> output) {
    if (parser_state_->has_unconsumed_body && input.size() < min_last_chunk_bytes && !done())
        return {};
    auto step = std::visit([&](auto& parser) { return feed_parser(parser, input, output); },
                           parser_state_->value);
    // The rest of a message with an incomplete chunk header is at least min_last_chunk_bytes long,
    // so waiting for that many bytes cannot stall.
    parser_state_->has_unconsumed_body =
        header_done() && step.state == decode_state::need_more && step.consumed < input.size();
    return step;
}

bool message_decoder::header_done() const {
    return std::visit([](const auto& parser) { return parser.is_header_done(); },
                      parser_state_->value);
}

bool message_decoder::done() const {
    return std::visit([](const auto& parser) { return parser.is_done(); }, parser_state_->value);
}

unsigned message_decoder::status() const {
    return parser_state_->response().get().result_int();
}

std::string_view message_decoder::reason() const {
    const auto text = parser_state_->response().get().reason();
    return {text.data(), text.size()};
}

std::vector<std::pair<std::string_view, std::string_view>> message_decoder::fields() const {
    std::vector<std::pair<std::string_view, std::string_view>> out;
    for (const auto& field : parser_state_->response().get()) {
        const auto name = field.name_string();
        const auto value = field.value();
        out.emplace_back(std::string_view(name.data(), name.size()),
                         std::string_view(value.data(), value.size()));
    }
    return out;
}

std::optional<std::uint64_t> message_decoder::content_length() const {
    const auto& fields = parser_state_->response().get();
    const auto it = fields.find(http::field::content_length);
    if (it == fields.end() || !parser_state_->response().content_length())
        return std::nullopt;
    return *parser_state_->response().content_length();
}

bool message_decoder::chunked() const {
    return parser_state_->response().chunked();
}

bool message_decoder::keep_alive() const {
    return parser_state_->response().keep_alive();
}

bool message_decoder::needs_eof() const {
    return !parser_state_->response().is_done() && parser_state_->response().need_eof();
}

} // namespace clementine::proxy
