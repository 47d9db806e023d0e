// Claimant side of idempotency keys: the claims that this entryd has sent to the holders of a key.
#pragma once

#include "routing/key_types.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace clementine::routing {

// A new claim. `request` must be sent to all holders.
struct key_claim_start {
    key_claim_request request;
    std::vector<std::string> holders;
};

// Decision on a claim. If it is not won, `release` must be sent to all holders and the request must
// not run.
struct key_claim_decision {
    std::uint64_t claim_id = 0;
    bool won = false;
    key_state first_state =
        key_state::none; // of the first request with the key; `none` if none is known
    std::vector<std::string> holders;
    key_claim_release release;
};

// Message to all holders at the end of a request whose claim was won.
struct key_claim_end {
    std::vector<std::string> holders;
    std::optional<key_claim_outcome> outcome; // if empty, the claim is released
    key_claim_release release;
};

// Not thread-safe.
class key_claimant {
  public:
    // `seed` must be unique to each process start, because claim ids must never repeat.
    key_claimant(std::string node, std::vector<key_member> members, std::uint64_t seed);

    key_claim_start begin(idempotency_key key, time_ms now);
    // Applies the vote of a holder. Returns a decision if the vote decides the claim.
    std::optional<key_claim_decision> receive(const key_claim_reply& reply, time_ms now);
    // Decides as lost the claims that have timed out.
    std::vector<key_claim_decision> advance(time_ms now);
    // Ends a won claim with the result of the request; `none` means that it did not run.
    std::optional<key_claim_end> finish(std::uint64_t claim_id, key_state result);
    std::size_t size() const { return claims_.size(); }

  private:
    struct open_claim {
        idempotency_key key;
        std::vector<std::string> holders;
        time_ms sent_at = 0;
        std::set<std::string> granted;
        std::set<std::string> refused;
        key_state first_state = key_state::none;
        bool won = false;
    };

    key_claim_decision make_decision(std::uint64_t id, const open_claim& claim, bool won) const;
    key_claim_release make_release(std::uint64_t id, const open_claim& claim) const;

    std::string node_;
    std::vector<key_member> members_;
    std::uint64_t next_id_;
    std::map<std::uint64_t, open_claim> claims_;
};

} // namespace clementine::routing
