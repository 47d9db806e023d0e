// Replicated state machine of the soak test: a versioned register and the answers by request id.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace clementine::consensus {

// Increments the version if the register is at version `base`.
struct register_write {
    std::uint64_t request_id = 0;
    std::uint64_t base = 0;
};

// Answer to a write: the version after it and the id of the request that wrote that version.
struct register_answer {
    bool accepted = false;
    std::uint64_t version = 0;
    std::uint64_t writer = 0;

    bool operator==(const register_answer&) const = default;
};

class register_machine {
  public:
    // Applies a write once; a repeated request id returns the first answer.
    register_answer apply(const register_write& write);

    std::uint64_t version() const { return version_; }
    // Request id of the write that produced the current version.
    std::uint64_t writer() const { return writer_; }

    // Serializes the register and the answers. `padding` bytes make a snapshot span several chunks.
    std::string save(std::size_t padding) const;
    // Restores a snapshot; false if it is malformed. Empty data is the initial state.
    bool load(std::string_view data);
    // Hash of the register and the answers.
    std::uint64_t state_hash() const;

  private:
    std::uint64_t version_ = 0;
    std::uint64_t writer_ = 0;
    std::map<std::uint64_t, register_answer> answers_;
};

std::string encode(const register_write& write);
std::optional<register_write> decode_write(std::string_view bytes);

} // namespace clementine::consensus
