// Access keys in requests of callers.
#pragma once

#include "base/digest.h"

#include <optional>
#include <string>
#include <string_view>

namespace clementine::control {

// Credential of a call for the value of an Authorization header: the SHA-256 digest of its bearer
// token, empty if there is none. Keys themselves do not leave the entry node.
std::string credential_of(std::string_view authorization);

// Digest in a credential; nothing if the credential is empty or malformed.
std::optional<sha256_digest> digest_in(std::string_view credential);

} // namespace clementine::control
