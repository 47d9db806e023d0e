#include "soak/register_machine.h"

#include "base/hash.h"
#include "consensus/codec.h"

namespace clementine::consensus {

register_answer register_machine::apply(const register_write& write) {
    const auto [found, inserted] = answers_.try_emplace(write.request_id);
    if (!inserted)
        return found->second;
    const bool accepted = write.base == version_;
    if (accepted) {
        ++version_;
        writer_ = write.request_id;
    }
    found->second = {.accepted = accepted, .version = version_, .writer = writer_};
    return found->second;
}

std::string register_machine::save(std::size_t padding) const {
    byte_writer out;
    out.u64(version_);
    out.u64(writer_);
    out.u64(answers_.size());
    for (const auto& [id, answer] : answers_) {
        out.u64(id);
        out.u8(answer.accepted ? 1 : 0);
        out.u64(answer.version);
        out.u64(answer.writer);
    }
    out.text(std::string(padding, 'p'));
    return out.take();
}

bool register_machine::load(std::string_view data) {
    *this = {};
    if (data.empty())
        return true;
    byte_reader in(data);
    version_ = in.u64();
    writer_ = in.u64();
    const auto count = in.u64();
    for (std::uint64_t i = 0; i < count && in.good(); ++i) {
        auto& answer = answers_[in.u64()];
        answer.accepted = in.u8() != 0;
        answer.version = in.u64();
        answer.writer = in.u64();
    }
    in.text();
    return in.finished();
}

std::uint64_t register_machine::state_hash() const {
    return hash64(save(0));
}

std::string encode(const register_write& write) {
    byte_writer out;
    out.u64(write.request_id);
    out.u64(write.base);
    return out.take();
}

std::optional<register_write> decode_write(std::string_view bytes) {
    byte_reader in(bytes);
    register_write out;
    out.request_id = in.u64();
    out.base = in.u64();
    return in.finished() ? std::optional(out) : std::nullopt;
}

} // namespace clementine::consensus
