#include "routing/workspace_queue.h"

#include <algorithm>

namespace clementine::routing {

void workspace_queue::push(waiting_admission item) {
    auto& backlog = backlogs_[item.request.workspace];
    backlog.items.push_back(std::move(item));
    ++size_;
}

void workspace_queue::push_front(waiting_admission item) {
    auto& backlog = backlogs_[item.request.workspace];
    backlog.items.push_front(std::move(item));
    ++backlog.deficit;
    ++size_;
}

int workspace_queue::weight_of(const std::string& workspace) const {
    const auto found = weights_.find(workspace);
    return found == weights_.end() ? 1 : std::max(1, found->second);
}

// Selects the next workspace in name order and adds its quantum to its deficit.
void workspace_queue::select_next_workspace() {
    auto next = backlogs_.upper_bound(current_workspace_);
    if (next == backlogs_.end())
        next = backlogs_.begin();
    current_workspace_ = next->first;
    next->second.deficit += weight_of(current_workspace_);
}

std::optional<waiting_admission> workspace_queue::pop() {
    if (size_ == 0)
        return std::nullopt;
    auto backlog = backlogs_.find(current_workspace_);
    if (backlog == backlogs_.end() || backlog->second.deficit <= 0) {
        select_next_workspace();
        backlog = backlogs_.find(current_workspace_);
    }
    auto item = std::move(backlog->second.items.front());
    backlog->second.items.pop_front();
    --backlog->second.deficit;
    --size_;
    // A workspace without waiting requests loses its deficit, as deficit round robin requires.
    if (backlog->second.items.empty())
        backlogs_.erase(backlog);
    return item;
}

std::optional<waiting_admission> workspace_queue::remove(std::uint64_t request_id) {
    for (auto backlog = backlogs_.begin(); backlog != backlogs_.end(); ++backlog) {
        auto& items = backlog->second.items;
        const auto found = std::find_if(items.begin(), items.end(), [&](const auto& item) {
            return item.request.request_id == request_id;
        });
        if (found == items.end())
            continue;
        auto item = std::move(*found);
        items.erase(found);
        --size_;
        if (items.empty())
            backlogs_.erase(backlog);
        return item;
    }
    return std::nullopt;
}

std::vector<waiting_admission> workspace_queue::remove_expired(time_ms now) {
    std::vector<waiting_admission> out;
    for (auto backlog = backlogs_.begin(); backlog != backlogs_.end();) {
        auto& items = backlog->second.items;
        std::deque<waiting_admission> kept;
        for (auto& item : items)
            (item.request.deadline <= now ? out.emplace_back() : kept.emplace_back()) =
                std::move(item);
        items = std::move(kept);
        backlog = items.empty() ? backlogs_.erase(backlog) : std::next(backlog);
    }
    size_ -= out.size();
    return out;
}

std::vector<waiting_admission> workspace_queue::remove_all() {
    std::vector<waiting_admission> out;
    for (auto& [workspace, backlog] : backlogs_) {
        for (auto& item : backlog.items)
            out.push_back(std::move(item));
    }
    backlogs_.clear();
    size_ = 0;
    return out;
}

} // namespace clementine::routing
