#include "control/announcement_cache.h"

namespace clementine::control {

namespace {

// The leader drops a worker that is silent in every way after 20 s.
constexpr time_ms repetition_interval{4'000};

} // namespace

bool announcement_cache::covers(const workload::worker_report& report, std::uint64_t term,
                                time_ms now) const {
    const auto it = known_.find(report.worker.id);
    // While a worker drains, the time that it has left changes.
    if (it == known_.end() || report.draining || it->second.term != term ||
        now - it->second.acknowledged_at >= repetition_interval)
        return false;
    const auto& known = it->second.report;
    return known.worker == report.worker && known.pool == report.pool &&
           known.address == report.address && known.capacity == report.capacity &&
           known.labels == report.labels && known.availability_zone == report.availability_zone &&
           !known.draining;
}

void announcement_cache::acknowledged(const workload::worker_report& report, std::uint64_t term,
                                      time_ms now) {
    known_[report.worker.id] = {report, term, now};
}

void announcement_cache::drop_expired(time_ms now) {
    std::erase_if(known_, [&](const auto& item) {
        return now - item.second.acknowledged_at >= repetition_interval;
    });
}

} // namespace clementine::control
