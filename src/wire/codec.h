// Packed Cap'n Proto encoding of messages.
#pragma once

#include "wire/messages.h"

#include <optional>
#include <string>
#include <string_view>

namespace clementine::wire {

// Encodes a message as the payload of one frame.
std::string encode(const message& value);

// Decodes a payload; nullopt if it is malformed, of unknown kind or too large once unpacked.
std::optional<message> decode(std::string_view payload);

} // namespace clementine::wire
