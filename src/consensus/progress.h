// The leader's view of the replication to one member, including flow control.
#pragma once

#include "consensus/types.h"

#include <deque>
#include <limits>
#include <memory>

namespace clementine::consensus {

enum class progress_state {
    probe,     // one append at a time, until the matching log position is found
    replicate, // several appends may be in flight
    snapshot   // the member needs entries that were compacted away
};

// Sentinel earlier than any time; halved so that differences from it do not overflow.
inline constexpr time_ms never = std::numeric_limits<time_ms>::min() / 2;

// Transfer of a snapshot to one member, with at most one chunk in flight.
struct snapshot_transfer {
    std::shared_ptr<const snapshot> snap;
    std::uint32_t checksum = 0;
    std::uint64_t offset = 0;
    time_ms sent_at = never;
};

struct progress {
    progress_state state = progress_state::probe;
    index_t match = 0; // last index durable at the member and equal to the leader's log
    index_t next = 1;
    bool probe_in_flight = false;  // a probe awaits its reply
    std::deque<index_t> inflight;  // last index of each append without a reply
    time_ms sent_at = never;       // send time of the last append or chunk
    time_ms acked_sent_at = never; // send time of the latest message with a reply
    time_ms last_reply_at = never; // time of the last reply
    snapshot_transfer transfer;

    // Records that the member's log durably matches the leader's up to `index`.
    void on_accepted(index_t index);
    // Records a log mismatch: the member's log matches at most up to `next_index` - 1.
    void on_rejected(index_t next_index);
    void start_snapshot(std::shared_ptr<const snapshot> snap, std::uint32_t checksum);
    void end_snapshot(index_t index);
};

} // namespace clementine::consensus
