#include "wire/frame.h"

#include "base/hash.h"

namespace clementine::wire {

namespace {

void append_u32_le(std::string& out, std::uint32_t value) {
    for (int shift = 0; shift < 32; shift += 8)
        out.push_back(static_cast<char>((value >> shift) & 0xFFU));
}

std::uint32_t read_u32_le(const unsigned char* bytes) {
    std::uint32_t value = 0;
    for (int i = 3; i >= 0; --i)
        value = (value << 8) | bytes[i];
    return value;
}

} // namespace

std::optional<std::string> make_frame(std::string_view payload) {
    if (payload.empty() || payload.size() > max_payload_bytes)
        return std::nullopt;
    std::string frame;
    frame.reserve(frame_header_bytes + payload.size());
    append_u32_le(frame, static_cast<std::uint32_t>(payload.size()));
    append_u32_le(frame, crc32c(payload));
    frame.append(payload);
    return frame;
}

std::optional<frame_header>
parse_frame_header(const std::array<unsigned char, frame_header_bytes>& bytes,
                   std::size_t max_bytes) {
    const frame_header header{read_u32_le(bytes.data()), read_u32_le(bytes.data() + 4)};
    if (header.length == 0 || header.length > max_bytes)
        return std::nullopt;
    return header;
}

bool checksum_matches(const frame_header& header, std::string_view payload) {
    return crc32c(payload) == header.checksum;
}

} // namespace clementine::wire
