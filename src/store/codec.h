// Binary encoding of commands and snapshots (store.capnp).
#pragma once

#include "store/types.h"

#include <optional>
#include <string>
#include <string_view>

namespace clementine::store {

std::string encode(const command& value);
// Returns nullopt if the bytes are malformed or hold an unknown command.
std::optional<command> decode_command(std::string_view bytes);

// Deterministic: equal states give equal bytes.
std::string encode(const state& value);
std::optional<state> decode_state(std::string_view bytes);

} // namespace clementine::store
