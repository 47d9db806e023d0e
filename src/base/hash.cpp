#include "base/hash.h"

#include <boost/crc.hpp>
#include <xxhash.h>

namespace clementine {

std::uint64_t hash64(std::string_view bytes, std::uint64_t seed) {
    return XXH64(bytes.data(), bytes.size(), seed);
}

std::uint32_t crc32c(std::string_view bytes) {
    boost::crc_optimal<32, 0x1EDC6F41, 0xFFFFFFFF, 0xFFFFFFFF, true, true> crc;
    crc.process_bytes(bytes.data(), bytes.size());
    return crc.checksum();
}

} // namespace clementine
