// SHA-256 digests of access keys.
#pragma once

#include <array>
#include <cstdint>
#include <string_view>

namespace clementine {

using sha256_digest = std::array<std::uint8_t, 32>;

// SHA-256 of a byte string.
sha256_digest sha256(std::string_view bytes);
// Compares two digests in a time that does not depend on their contents.
bool equal_in_constant_time(const sha256_digest& a, const sha256_digest& b);

} // namespace clementine
