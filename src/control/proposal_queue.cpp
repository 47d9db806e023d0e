#include "control/proposal_queue.h"

#include <algorithm>
#include <iterator>
#include <string_view>

namespace clementine::control {

using namespace clementine::workload;

bool proposal_queue::push(const std::vector<operation>& operations, done_handler done) {
    const auto owner = std::make_shared<group>();
    owner->size = operations.size();
    owner->done = std::move(done);
    std::vector<queued_operation> added;
    added.reserve(operations.size());
    for (const auto& item : operations) {
        added.push_back({encode_operation(item), owner});
        if (command_header_bytes + added.back().bytes.size() > max_entry_bytes_)
            return false;
    }
    // A group without operations completes with the next entry.
    if (added.empty())
        added.push_back({{}, owner});
    std::ranges::move(added, std::back_inserter(queue_));
    return true;
}

std::string proposal_queue::next_entry(time_ms wall) {
    std::vector<std::string_view> operations;
    std::size_t bytes = command_header_bytes;
    in_next_entry_ = 0;
    for (const auto& item : queue_) {
        bytes += item.bytes.size();
        if (bytes > max_entry_bytes_)
            break;
        ++in_next_entry_;
        if (!item.bytes.empty())
            operations.push_back(item.bytes);
    }
    return encode_command(wall, operations);
}

proposal_queue::done_handler proposal_queue::pop() {
    // Groups with the number of their operations in this entry.
    std::vector<std::pair<std::shared_ptr<group>, std::size_t>> parts;
    for (; in_next_entry_ > 0; --in_next_entry_) {
        auto item = std::move(queue_.front());
        queue_.pop_front();
        if (parts.empty() || parts.back().first != item.owner)
            parts.emplace_back(std::move(item.owner), 0);
        parts.back().second += item.bytes.empty() ? 0U : 1U;
    }
    return [parts = std::move(parts)](const command_outcome& outcome) {
        std::size_t at = 0;
        for (const auto& [owner, count] : parts) {
            const auto first = at;
            at += count;
            if (!owner->done)
                continue; // an earlier part was lost
            if (!outcome) {
                std::exchange(owner->done, nullptr)(std::nullopt);
                continue;
            }
            for (auto i = first; i < at; ++i)
                owner->results.push_back((*outcome)[i]);
            if (owner->results.size() == owner->size)
                std::exchange(owner->done, nullptr)(owner->results);
        }
    };
}

} // namespace clementine::control
