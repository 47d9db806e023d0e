// Interface through which the request path claims idempotency keys. entry_peers implements it.
#pragma once

#include "routing/key_types.h"

#include <cstdint>
#include <functional>

namespace clementine::proxy {

struct key_claim_result {
    bool won = false;
    std::uint64_t claim_id = 0;
    // If not won: state of the request that holds the key, or `none` if too few holders voted.
    routing::key_state first = routing::key_state::none;
};

class key_claims {
  public:
    key_claims() = default;
    key_claims(const key_claims&) = delete;
    key_claims& operator=(const key_claims&) = delete;
    virtual ~key_claims() = default;

    // Claims a key; `done` is called exactly once, on any thread, possibly before this returns.
    virtual void claim(const routing::idempotency_key& key,
                       std::function<void(key_claim_result)> done) = 0;
    // Ends a won claim with the result of the request; `none` means that it did not run.
    virtual void finish(std::uint64_t claim_id, routing::key_state result) = 0;
};

} // namespace clementine::proxy
