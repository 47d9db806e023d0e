// Size limits of what the control nodes accept, forward, log and replicate. They follow from each
// other, so that an accepted request can always be forwarded and logged.
#pragma once

#include "consensus/replica.h"
#include "wire/codec.h"
#include "wire/frame.h"

#include <algorithm>
#include <cstddef>

namespace clementine::control {

// A request of an operator, worker or caller. It is forwarded to the leader in one frame.
inline constexpr std::size_t max_request_header_bytes = 16 * 1024;
inline constexpr std::size_t max_request_body_bytes = 4 * 1024 * 1024;

// An encoded operation. A configuration is logged as text and in parsed form, and the parsed form
// of a field takes less than twice the text.
inline constexpr std::size_t max_operation_bytes = 3 * max_request_body_bytes;

// A log entry with operations, or with a part of one. Larger entries would delay the heartbeats
// that are sent between them.
inline constexpr std::size_t max_command_bytes = consensus::replica_config{}.max_append_bytes;
static_assert(max_command_bytes <= consensus::max_entry_bytes);

// Other fields of a call, and of an entry or chunk in a message.
inline constexpr std::size_t max_call_fields_bytes = 1'024;
inline constexpr std::size_t max_entry_fields_bytes = 64;
inline constexpr std::size_t max_chunk_fields_bytes = 64 * 1024; // includes the membership

static_assert(wire::max_packed_bytes(max_request_body_bytes + max_request_header_bytes +
                                     max_call_fields_bytes) <= wire::max_payload_bytes);

// Entries in one append message: several up to its limit, or one of any size.
inline constexpr std::size_t max_append_message_bytes = wire::max_packed_bytes(
    std::max(consensus::replica_config{}.max_append_bytes, consensus::max_entry_bytes) +
    consensus::replica_config{}.max_append_entries * max_entry_fields_bytes);
static_assert(max_append_message_bytes <= wire::max_payload_bytes);
static_assert(wire::max_packed_bytes(consensus::snapshot_chunk_bytes + max_chunk_fields_bytes) <=
              wire::max_payload_bytes);
static_assert(consensus::max_entry_bytes <= consensus::replica_config{}.max_uncommitted_bytes);

// Frames that wait on a link: the appends in flight, and a forwarded request with its retry.
inline constexpr std::size_t link_queue_bytes =
    consensus::replica_config{}.max_inflight_appends * max_append_message_bytes +
    2 * (wire::frame_header_bytes + wire::max_payload_bytes);

} // namespace clementine::control
