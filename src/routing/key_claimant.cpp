#include "routing/key_claimant.h"

#include "base/hash.h"

#include <algorithm>

namespace clementine::routing {

key_claimant::key_claimant(std::string node, std::vector<key_member> members, std::uint64_t seed)
    : node_(std::move(node)), members_(std::move(members)), next_id_(hash64(node_, seed)) {}

key_claim_start key_claimant::begin(idempotency_key key, time_ms now) {
    const std::uint64_t id = ++next_id_;
    open_claim claim;
    claim.holders = holders_of(key, members_);
    claim.sent_at = now;
    claim.key = key;
    key_claim_start out{{std::move(key), node_, id}, claim.holders};
    claims_.emplace(id, std::move(claim));
    return out;
}

key_claim_release key_claimant::make_release(std::uint64_t id, const open_claim& claim) const {
    return {claim.key, node_, id};
}

key_claim_decision key_claimant::make_decision(std::uint64_t id, const open_claim& claim,
                                               bool won) const {
    return {id, won, won ? key_state::none : claim.first_state, claim.holders,
            make_release(id, claim)};
}

std::optional<key_claim_decision> key_claimant::receive(const key_claim_reply& reply, time_ms now) {
    const auto found = claims_.find(reply.claim_id);
    if (found == claims_.end() || found->second.won)
        return std::nullopt;
    auto& claim = found->second;
    const auto& holders = claim.holders;
    if (std::find(holders.begin(), holders.end(), reply.sender) == holders.end())
        return std::nullopt;
    (reply.granted ? claim.granted : claim.refused).insert(reply.sender);
    if (!reply.granted && reply.state != key_state::none &&
        claim.first_state != key_state::answered)
        claim.first_state = reply.state;
    const auto quorum = claim_quorum(holders.size());
    // A late vote does not count: its holder may have restarted since and lost the claim.
    if (now < claim.sent_at + claim_timeout && claim.granted.size() >= quorum) {
        claim.won = true;
        return make_decision(reply.claim_id, claim, true);
    }
    if (claim.refused.size() <= holders.size() - quorum)
        return std::nullopt;
    auto decision = make_decision(reply.claim_id, claim, false);
    claims_.erase(found);
    return decision;
}

std::vector<key_claim_decision> key_claimant::advance(time_ms now) {
    std::vector<key_claim_decision> out;
    for (auto it = claims_.begin(); it != claims_.end();) {
        if (it->second.won || now < it->second.sent_at + claim_timeout) {
            ++it;
            continue;
        }
        out.push_back(make_decision(it->first, it->second, false));
        it = claims_.erase(it);
    }
    return out;
}

std::optional<key_claim_end> key_claimant::finish(std::uint64_t claim_id, key_state result) {
    const auto found = claims_.find(claim_id);
    if (found == claims_.end() || !found->second.won)
        return std::nullopt;
    key_claim_end out;
    out.holders = found->second.holders;
    out.release = make_release(claim_id, found->second);
    if (result != key_state::none)
        out.outcome = key_claim_outcome{found->second.key, node_, claim_id, result};
    claims_.erase(found);
    return out;
}

} // namespace clementine::routing
