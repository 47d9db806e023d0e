// Fuzzes request headers and bodies: a header that passes the strict checks must be parsed in the
// same way (no request smuggling), and the decoder must not loop endlessly.
#include "proxy/message_decoder.h"
#include "proxy/request_checks.h"

#include <algorithm>
#include <array>
#include <cstdint>
#include <cstdlib>
#include <string>

namespace {

using namespace clementine::proxy;

constexpr std::uint64_t max_body = 1 << 20;

void require(bool condition) {
    if (!condition)
        std::abort();
}

// Feeds a body in pieces of a given size until the message or the input ends.
void decode_body(message_decoder& decoder, std::string_view input, std::size_t piece_size) {
    std::array<char, 7> output{};
    std::size_t available = 0;
    std::size_t consumed = 0;
    while (!decoder.done()) {
        const auto step = decoder.feed(input.substr(consumed, available - consumed), output);
        require(step.consumed <= available - consumed && step.written <= output.size());
        consumed += step.consumed;
        if (step.state == decode_state::malformed || step.state == decode_state::too_long)
            return;
        if (step.state != decode_state::need_more)
            continue;
        if (available == input.size())
            return;
        available = std::min(input.size(), available + piece_size);
    }
}

} // namespace

// The name is given by libFuzzer.
// NOLINTNEXTLINE(readability-identifier-naming)
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
    const std::string input(reinterpret_cast<const char*>(data), size);
    const auto scan = scan_header(input);
    require(scan.size <= size && scan.size <= max_header_bytes);
    if (scan.state != header_scan_state::complete)
        return 0;
    const auto header = std::string_view(input).substr(0, scan.size);
    if (check_header(header))
        return 0;
    auto decoder = message_decoder::for_request(max_body);
    const auto step = decoder.feed(header, {});
    // A header that passes the checks may fail in the parser only because of a malformed Connection
    // field or a long body. Otherwise the parser consumes the whole header.
    if (step.state == decode_state::malformed || step.state == decode_state::too_long)
        return 0;
    require(decoder.header_done() && step.consumed == header.size());
    decode_body(decoder, std::string_view(input).substr(scan.size), 1 + size % 13);
    return 0;
}
