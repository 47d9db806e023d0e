#include "control/replica_reads.h"

#include <utility>

namespace clementine::control {

namespace {

// The asking node sends its query to the leader after 150 ms.
constexpr time_ms request_timeout{120};

} // namespace

std::optional<std::uint64_t> replica_reads::next_request(time_ms now) {
    if (waiting_.empty() || !asked_.empty())
        return std::nullopt;
    asked_ = std::exchange(waiting_, {});
    asked_at_ = now;
    index_ = 0;
    return ++sequence_;
}

void replica_reads::observe(const wire::read_index& value) {
    if (value.sequence != sequence_)
        return;
    index_ = value.index;
    if (index_ == 0)
        decline_asked();
}

void replica_reads::answer(consensus::index_t applied) {
    if (asked_.empty() || index_ == 0 || applied < index_)
        return;
    for (const auto& item : std::exchange(asked_, {}))
        handlers_.answer(item.request, item.reply);
}

void replica_reads::check_deadline(time_ms now) {
    if (!asked_.empty() && now - asked_at_ >= request_timeout)
        decline_asked();
}

void replica_reads::decline_asked() {
    for (const auto& item : std::exchange(asked_, {}))
        handlers_.decline(item.request, item.reply);
}

} // namespace clementine::control
