// Holder side of idempotency keys: the table of claims that one entryd keeps.
#pragma once

#include "routing/key_types.h"

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace clementine::routing {

struct key_holder_settings {
    std::string node;
    std::vector<key_member> members; // all configured entryds, this one included
    time_ms retention{600'000};
    time_ms max_request_time{30'000}; // an older claim without an outcome is unknown
    bool first_start = false;         // no entryd has run within the retention time
};

// A sync request to send to a member.
struct outgoing_sync {
    std::string to;
    key_sync message;
};

// Not thread-safe. The table is lost in a restart. A restarted holder does not vote for a key until
// both other holders of the key have sent their records or the retention time has passed.
class key_holder {
  public:
    key_holder(key_holder_settings settings, std::uint64_t boot, time_ms now);

    key_claim_reply claim(const key_claim_request& request, time_ms now);
    void release(const key_claim_release& message);
    void record(const key_claim_outcome& message, time_ms now);

    // True if this entryd may vote on claims for a key.
    bool can_vote(const idempotency_key& key, time_ms now) const;
    // Sync requests that are due.
    std::vector<outgoing_sync> due_syncs(time_ms now);
    // Answers a sync request with all records of keys that the requester holds too.
    std::vector<key_sync> answer_sync(const key_sync& request, time_ms now) const;
    // Stores the records of an answer.
    void apply_sync(const key_sync& answer, time_ms now);
    // Removes records whose retention time has ended.
    void advance(time_ms now);
    std::size_t size() const { return records_.size(); }

  private:
    struct stored_record {
        std::string claimant;
        std::uint64_t claim_id = 0;
        key_state state = key_state::in_progress;
        time_ms stored_at = 0;
    };
    // Progress of the sync with one member.
    struct sync_state {
        std::uint64_t id = 0;
        time_ms requested_at = 0;
        bool done = false;
        std::set<std::string> complete_with;
    };

    bool is_complete(time_ms now) const;
    bool is_holder(const std::string& node, const idempotency_key& key) const;
    void store(const idempotency_key& key, stored_record value);
    key_state effective_state(const stored_record& value, time_ms now) const;

    key_holder_settings settings_;
    time_ms started_at_;
    std::uint64_t last_sync_id_;
    std::map<idempotency_key, stored_record> records_;
    std::deque<std::pair<time_ms, idempotency_key>> expiry_queue_;
    std::map<std::string, sync_state> syncs_;
};

} // namespace clementine::routing
