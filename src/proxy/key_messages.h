// Conversion of idempotency key messages between the types of src/routing and src/wire.
#pragma once

#include "routing/key_types.h"
#include "wire/messages.h"

namespace clementine::proxy {

wire::claim_request to_wire(const routing::key_claim_request& value);
wire::claim_reply to_wire(const routing::key_claim_reply& value);
wire::claim_release to_wire(const routing::key_claim_release& value);
wire::claim_outcome to_wire(const routing::key_claim_outcome& value);
wire::claim_sync to_wire(const routing::key_sync& value);

routing::key_claim_request from_wire(const wire::claim_request& value);
routing::key_claim_reply from_wire(const wire::claim_reply& value);
routing::key_claim_release from_wire(const wire::claim_release& value);
routing::key_claim_outcome from_wire(const wire::claim_outcome& value);
routing::key_sync from_wire(const wire::claim_sync& value);

} // namespace clementine::proxy
