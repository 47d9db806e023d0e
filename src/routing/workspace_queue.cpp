#include "routing/workspace_queue.h"

#include <algorithm>

namespace clementine::routing {

void workspace_queue::push(waiting_admission item) {
    auto& line = lines_[item.request.workspace];
    line.items.push_back(std::move(item));
    ++size_;
}

void workspace_queue::push_front(waiting_admission item) {
    auto& line = lines_[item.request.workspace];
    line.items.push_front(std::move(item));
    ++line.deficit;
    ++size_;
}

int workspace_queue::weight_of(const std::string& workspace) const {
    const auto found = weights_.find(workspace);
    return found == weights_.end() ? 1 : std::max(1, found->second);
}

// Moves the turn to the next workspace in name order and adds its quantum.
void workspace_queue::advance_turn() {
    auto next = lines_.upper_bound(turn_);
    if (next == lines_.end())
        next = lines_.begin();
    turn_ = next->first;
    next->second.deficit += weight_of(turn_);
}

std::optional<waiting_admission> workspace_queue::pop() {
    if (size_ == 0)
        return std::nullopt;
    auto line = lines_.find(turn_);
    if (line == lines_.end() || line->second.deficit <= 0) {
        advance_turn();
        line = lines_.find(turn_);
    }
    auto item = std::move(line->second.items.front());
    line->second.items.pop_front();
    --line->second.deficit;
    --size_;
    // A workspace without waiting requests loses its deficit, as deficit round robin prescribes.
    if (line->second.items.empty())
        lines_.erase(line);
    return item;
}

std::optional<waiting_admission> workspace_queue::remove(std::uint64_t request_id) {
    for (auto line = lines_.begin(); line != lines_.end(); ++line) {
        auto& items = line->second.items;
        const auto found = std::find_if(items.begin(), items.end(), [&](const auto& item) {
            return item.request.request_id == request_id;
        });
        if (found == items.end())
            continue;
        auto item = std::move(*found);
        items.erase(found);
        --size_;
        if (items.empty())
            lines_.erase(line);
        return item;
    }
    return std::nullopt;
}

std::vector<waiting_admission> workspace_queue::take_expired(time_ms now) {
    std::vector<waiting_admission> out;
    for (auto line = lines_.begin(); line != lines_.end();) {
        auto& items = line->second.items;
        std::deque<waiting_admission> kept;
        for (auto& item : items)
            (item.request.deadline <= now ? out.emplace_back() : kept.emplace_back()) =
                std::move(item);
        items = std::move(kept);
        line = items.empty() ? lines_.erase(line) : std::next(line);
    }
    size_ -= out.size();
    return out;
}

std::vector<waiting_admission> workspace_queue::take_all() {
    std::vector<waiting_admission> out;
    for (auto& [workspace, line] : lines_) {
        for (auto& item : line.items)
            out.push_back(std::move(item));
    }
    lines_.clear();
    size_ = 0;
    return out;
}

} // namespace clementine::routing
