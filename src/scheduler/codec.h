// Serialization of decisions and scheduler state for the replicated log and its snapshots.
#pragma once

#include "scheduler/state.h"

#include <optional>
#include <string>
#include <string_view>

namespace clementine::scheduler {

std::string encode_decision(const decision& entry);
// Returns nullopt if the bytes are malformed or of an unknown kind or format version.
std::optional<decision> decode_decision(std::string_view bytes);

// Deterministic: equal states encode to equal bytes.
std::string encode_state(const state& value);
std::optional<state> decode_state(std::string_view bytes);

} // namespace clementine::scheduler
