#include "control/credential.h"

#include <boost/beast/core/string.hpp>

#include <algorithm>

namespace clementine::control {

std::string credential_of(std::string_view authorization) {
    constexpr std::string_view scheme = "Bearer ";
    if (!boost::beast::iequals(authorization.substr(0, scheme.size()), scheme))
        return {};
    auto token = authorization.substr(scheme.size());
    token.remove_prefix(std::min(token.find_first_not_of(' '), token.size()));
    token = token.substr(0, token.find_last_not_of(' ') + 1);
    if (token.empty())
        return {};
    const auto digest = sha256(token);
    return {reinterpret_cast<const char*>(digest.data()), digest.size()};
}

std::optional<sha256_digest> digest_in(std::string_view credential) {
    sha256_digest out{};
    if (credential.size() != out.size())
        return std::nullopt;
    std::ranges::copy(credential, out.begin());
    return out;
}

} // namespace clementine::control
