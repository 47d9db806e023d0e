// Incremental HTTP/1.1 decoder on top of Boost.Beast, whose templates stay out of the interface.
#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace clementine::proxy {

enum class decode_state {
    need_more,   // all usable input was consumed; feed more bytes
    header_done, // the header is complete; feed again for the body
    output_full, // no space is left for body bytes
    done,        // the message is complete
    malformed,
    too_long // the body is longer than allowed
};

struct decode_step {
    decode_state state = decode_state::need_more;
    std::size_t consumed = 0; // input bytes consumed
    std::size_t written = 0;  // body bytes stored in the output
    std::string reason;       // malformed: what is wrong
};

// Decodes one message. Unconsumed bytes must be fed again, followed by further input.
class message_decoder {
  public:
    // For a request whose header has passed check_header.
    static message_decoder for_request(std::uint64_t max_body_bytes);
    // For a response; `to_head` if it answers a HEAD request and so has no body.
    static message_decoder for_response(bool to_head);

    message_decoder(message_decoder&&) noexcept;
    message_decoder& operator=(message_decoder&&) noexcept;
    ~message_decoder();

    decode_step feed(std::string_view input, std::span<char> output);

    bool header_done() const;
    bool done() const;
    // The accessors below are valid for a response whose header is complete.
    unsigned status() const;
    std::string_view reason() const;
    std::vector<std::pair<std::string_view, std::string_view>> fields() const;
    std::optional<std::uint64_t> content_length() const;
    bool chunked() const;
    bool keep_alive() const;
    // True if the body ends with the connection, which is indistinguishable from a crash.
    bool needs_eof() const;

  private:
    struct parser_state;
    explicit message_decoder(std::unique_ptr<parser_state> parser_state);

    std::unique_ptr<parser_state> parser_state_;
};

} // namespace clementine::proxy
