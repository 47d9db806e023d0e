// Hashing and checksums: xxHash for placement, CRC-32C for integrity.
#pragma once

#include <cstdint>
#include <string_view>

namespace clementine {

// 64-bit xxHash (XXH64) of a byte string; the same on every machine.
std::uint64_t hash64(std::string_view bytes, std::uint64_t seed = 0);

// CRC-32C (Castagnoli) of a byte string, as stored in records and frames.
std::uint32_t crc32c(std::string_view bytes);

} // namespace clementine
