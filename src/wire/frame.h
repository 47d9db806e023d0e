// Frames: 4 bytes payload length, 4 bytes CRC-32C of the payload (both little-endian), payload.
#pragma once

#include "base/names.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace clementine::wire {

inline constexpr std::size_t frame_header_bytes = 8;
// Maximum size of the payload of a frame: a forwarded request of 4 MiB with its header. On a link
// of 200 Mbit/s it takes 190 ms, which heartbeats behind it wait.
inline constexpr std::size_t max_payload_bytes = 9U << 19;
// Maximum size of the payload of a frame from a peer that has not sent hello.
inline constexpr std::size_t max_hello_payload_bytes = 16U << 10;

struct frame_header {
    std::uint32_t length = 0;
    std::uint32_t checksum = 0;
};

// Builds a frame; nullopt if the payload is empty or longer than max_payload_bytes.
std::optional<std::string> make_frame(std::string_view payload);

// Decodes a header; nullopt if the length is 0 or above `max_bytes`.
std::optional<frame_header>
parse_frame_header(const std::array<unsigned char, frame_header_bytes>& bytes,
                   std::size_t max_bytes = max_payload_bytes);

// True if the checksum of the payload equals the one in the header.
bool checksum_matches(const frame_header& header, std::string_view payload);

} // namespace clementine::wire
