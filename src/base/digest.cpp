#include "base/digest.h"

#include <openssl/crypto.h>
#include <openssl/sha.h>

namespace clementine {

sha256_digest sha256(std::string_view bytes) {
    sha256_digest out{};
    SHA256(reinterpret_cast<const unsigned char*>(bytes.data()), bytes.size(), out.data());
    return out;
}

bool equal_in_constant_time(const sha256_digest& a, const sha256_digest& b) {
    return CRYPTO_memcmp(a.data(), b.data(), a.size()) == 0;
}

} // namespace clementine
