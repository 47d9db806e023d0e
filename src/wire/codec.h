// Packed Cap'n Proto encoding of messages.
#pragma once

#include "wire/messages.h"

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace clementine::wire {

// Upper bound of the packed size of a message with this many bytes. Packing adds at most one byte
// to 16, where words with and without zeros alternate.
constexpr std::size_t max_packed_bytes(std::size_t bytes) {
    return bytes + bytes / 16 + 16;
}

// Encodes a message as the payload of one frame.
std::string encode(const message& value);

// Decodes a payload; nullopt if it is malformed, of unknown kind or too large once unpacked.
std::optional<message> decode(std::string_view payload);

} // namespace clementine::wire
