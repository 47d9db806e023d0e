// In-memory log of one replica: the last snapshot, the entries, and the memberships in them.
#pragma once

#include "consensus/types.h"

#include <deque>
#include <memory>
#include <utility>

namespace clementine::consensus {

class memory_log {
  public:
    explicit memory_log(durable_state& recovered);

    index_t first() const { return first_; }
    index_t last() const { return first_ + entries_.size() - 1; }
    term_t last_term() const { return term_at(last()); }
    // Term of the entry at `index`, or of the snapshot if it ends there; otherwise 0.
    term_t term_at(index_t index) const;
    // Entry at an index in [first(), last()].
    const entry& at(index_t index) const { return entries_[index - first_]; }
    const entry& back() const { return entries_.back(); }
    // First index with the same term as the entry at `index`, which must be in the log.
    index_t first_with_same_term(index_t index) const;
    // Last index at or before `bound` with this term, or 0.
    index_t last_with_term(term_t term, index_t bound) const;

    // Appends an entry, whose index must be last() + 1.
    void append(entry added);
    // Removes the entries from `from` on, and the memberships in them.
    void truncate(index_t from);
    // Replaces the whole log by a snapshot.
    void reset(std::shared_ptr<const snapshot> snap);
    // Sets a snapshot taken at an index in the log, and removes the entries before `first_kept`.
    void compact(std::shared_ptr<const snapshot> snap, index_t first_kept);

    const std::shared_ptr<const snapshot>& snap() const { return snap_; }
    // Current membership: that of the last membership entry, committed or not.
    const consensus::membership& members() const { return memberships_.back().second; }
    // Index of the entry or snapshot that contains the current membership.
    index_t members_index() const { return memberships_.back().first; }
    // Membership as of an index at or after the snapshot.
    const consensus::membership& members_at(index_t index) const;

  private:
    std::shared_ptr<const snapshot> snap_;
    index_t first_ = 1;
    std::deque<entry> entries_;
    std::deque<std::pair<index_t, consensus::membership>> memberships_;
};

} // namespace clementine::consensus
