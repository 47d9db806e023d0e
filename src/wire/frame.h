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
// Maximum size of the payload of a frame.
inline constexpr std::size_t max_payload_bytes = 1U << 20;
// Maximum size of the data of one snapshot chunk.
inline constexpr std::size_t max_chunk_bytes = 256U << 10;

struct frame_header {
    std::uint32_t length = 0;
    std::uint32_t checksum = 0;
};

// Builds a frame; nullopt if the payload is empty or longer than max_payload_bytes.
std::optional<std::string> make_frame(std::string_view payload);

// Decodes a header; nullopt if the length is 0 or above max_payload_bytes.
std::optional<frame_header>
parse_frame_header(const std::array<unsigned char, frame_header_bytes>& bytes);

// True if the checksum of the payload equals the one in the header.
bool checksum_matches(const frame_header& header, std::string_view payload);

} // namespace clementine::wire
