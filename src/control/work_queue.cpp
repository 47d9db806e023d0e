#include "control/work_queue.h"

#include <utility>

namespace clementine::control {

namespace {

// Items of worker traffic between two requests of callers, while both wait.
constexpr int worker_traffic_per_request = 4;

} // namespace

std::deque<work_queue::queued_work>& work_queue::items(work_class kind) {
    return queues_.at(static_cast<std::size_t>(kind));
}

void work_queue::push(work_class kind, time_ms now, work item) {
    items(kind).push_back({now, std::move(item)});
}

bool work_queue::run_one(time_ms now) {
    if (empty())
        return false;
    auto& traffic = items(work_class::worker_traffic);
    auto& requests = items(work_class::caller_request);
    const bool request_next =
        traffic.empty() ||
        (!requests.empty() && worker_traffic_in_turn_ >= worker_traffic_per_request);
    auto& next = request_next ? requests : traffic;
    worker_traffic_in_turn_ = request_next ? 0 : worker_traffic_in_turn_ + 1;
    auto item = std::move(next.front());
    next.pop_front();
    item.run(now - item.queued_at);
    return true;
}

bool work_queue::empty() const {
    return size() == 0;
}

std::size_t work_queue::size() const {
    std::size_t out = 0;
    for (const auto& queue : queues_)
        out += queue.size();
    return out;
}

time_ms work_queue::oldest_age(work_class kind, time_ms now) const {
    const auto& queue = queues_.at(static_cast<std::size_t>(kind));
    return queue.empty() ? 0 : now - queue.front().queued_at;
}

void work_queue::clear() {
    for (auto& queue : queues_)
        queue.clear();
}

} // namespace clementine::control
