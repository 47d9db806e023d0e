#include "consensus/memory_log.h"

#include <algorithm>

namespace clementine::consensus {

memory_log::memory_log(durable_state& recovered) {
    // Entries that end before the snapshot would leave a gap before the next entry.
    if (!recovered.entries.empty() && recovered.entries.back().index < recovered.snap.index)
        recovered.entries.clear();
    first_ = recovered.entries.empty() ? recovered.snap.index + 1 : recovered.entries.front().index;
    snap_ = std::make_shared<const snapshot>(std::move(recovered.snap));
    memberships_.emplace_back(snap_->index, snap_->membership);
    for (auto& each : recovered.entries)
        append(std::move(each));
}

term_t memory_log::term_at(index_t index) const {
    if (index >= first_ && index <= last())
        return at(index).term;
    return index == snap_->index ? snap_->term : 0;
}

index_t memory_log::first_with_same_term(index_t index) const {
    // Terms never decrease along the log, so binary search applies.
    const auto found =
        std::lower_bound(entries_.begin(), entries_.end(), term_at(index),
                         [](const entry& each, term_t wanted) { return each.term < wanted; });
    return first_ + static_cast<index_t>(found - entries_.begin());
}

index_t memory_log::last_with_term(term_t term, index_t bound) const {
    const auto found =
        std::upper_bound(entries_.begin(), entries_.end(), term,
                         [](term_t wanted, const entry& each) { return wanted < each.term; });
    const auto end_index = first_ + static_cast<index_t>(found - entries_.begin());
    const auto index = std::min(end_index - 1, bound);
    return term_at(index) == term ? index : 0;
}

void memory_log::append(entry added) {
    if (added.kind == entry_kind::membership && added.index > snap_->index) {
        if (auto decoded = decode_membership(added.data))
            memberships_.emplace_back(added.index, std::move(*decoded));
    }
    entries_.push_back(std::move(added));
}

void memory_log::truncate(index_t from) {
    while (!entries_.empty() && last() >= from)
        entries_.pop_back();
    while (memberships_.size() > 1 && memberships_.back().first >= from)
        memberships_.pop_back();
}

void memory_log::reset(std::shared_ptr<const snapshot> snap) {
    snap_ = std::move(snap);
    entries_.clear();
    first_ = snap_->index + 1;
    memberships_.clear();
    memberships_.emplace_back(snap_->index, snap_->membership);
}

void memory_log::compact(std::shared_ptr<const snapshot> snap, index_t first_kept) {
    snap_ = std::move(snap);
    while (!entries_.empty() && first_ < first_kept) {
        entries_.pop_front();
        ++first_;
    }
    while (memberships_.size() > 1 && memberships_[1].first <= snap_->index)
        memberships_.pop_front();
    memberships_.front().first = snap_->index;
}

const membership& memory_log::members_at(index_t index) const {
    const auto* found = &memberships_.front().second;
    for (const auto& [at, value] : memberships_) {
        if (at <= index)
            found = &value;
    }
    return *found;
}

} // namespace clementine::consensus
