#include "consensus/types.h"

#include "consensus/codec.h"

#include <algorithm>

namespace clementine::consensus {

const member* membership::find(replica_id id) const {
    const auto found = std::find_if(members.begin(), members.end(),
                                    [id](const member& each) { return each.id == id; });
    return found == members.end() ? nullptr : &*found;
}

bool membership::is_voter(replica_id id) const {
    const auto* found = find(id);
    return found != nullptr && found->voter;
}

std::size_t membership::voter_count() const {
    return static_cast<std::size_t>(std::count_if(members.begin(), members.end(),
                                                  [](const member& each) { return each.voter; }));
}

std::string encode(const membership& value) {
    byte_writer out;
    out.u32(static_cast<std::uint32_t>(value.members.size()));
    for (const auto& each : value.members) {
        out.u64(each.id);
        out.text(each.node);
        out.u8(each.voter ? 1 : 0);
    }
    return out.take();
}

std::optional<membership> decode_membership(std::string_view bytes) {
    byte_reader in(bytes);
    membership out;
    const auto count = in.u32();
    for (std::uint32_t i = 0; i < count && in.good(); ++i) {
        member each;
        each.id = in.u64();
        each.node = in.text();
        each.voter = in.u8() != 0;
        out.members.push_back(std::move(each));
    }
    if (!in.finished())
        return std::nullopt;
    return out;
}

snapshot bootstrap_snapshot(membership initial) {
    std::sort(initial.members.begin(), initial.members.end(),
              [](const member& a, const member& b) { return a.id < b.id; });
    return {.index = 1, .term = 1, .membership = std::move(initial), .data = {}};
}

namespace {

struct body_size_estimator {
    std::size_t operator()(const vote_request&) const { return 18; }
    std::size_t operator()(const vote_reply&) const { return 2; }
    std::size_t operator()(const append_request& body) const {
        std::size_t bytes = 32;
        for (const auto& each : body.entries)
            bytes += 17 + each.data.size();
        return bytes;
    }
    std::size_t operator()(const append_reply&) const { return 41; }
    std::size_t operator()(const snapshot_chunk& body) const {
        return 44 + encode(body.membership).size() + body.data.size();
    }
    std::size_t operator()(const snapshot_reply&) const { return 25; }
    std::size_t operator()(const timeout_now&) const { return 0; }
};

} // namespace

std::size_t estimated_bytes(const message& value) {
    constexpr std::size_t frame_header_bytes = 8;
    constexpr std::size_t envelope_bytes = 25;
    return frame_header_bytes + envelope_bytes + std::visit(body_size_estimator{}, value.body);
}

bool ready::has_writes() const {
    return state.has_value() || snap.has_value() || !append.empty();
}

bool ready::empty() const {
    return !has_writes() && committed.empty() && messages.empty();
}

} // namespace clementine::consensus
