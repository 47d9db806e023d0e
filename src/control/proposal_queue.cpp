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
        auto encoded = encode_operation(item);
        if (encoded.size() > max_operation_bytes_)
            return false;
        for (auto& part :
             split_operation(std::move(encoded), max_entry_bytes_ - command_header_bytes))
            added.push_back({std::move(part), false, owner});
        added.back().last_part = true;
    }
    // A group without operations completes with the next entry.
    if (added.empty())
        added.push_back({{}, true, owner});
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
    // Groups in this entry; for each of their operations, whether it is complete with this entry.
    std::vector<std::pair<std::shared_ptr<group>, std::vector<bool>>> parts;
    for (; in_next_entry_ > 0; --in_next_entry_) {
        auto item = std::move(queue_.front());
        queue_.pop_front();
        if (parts.empty() || parts.back().first != item.owner)
            parts.emplace_back(std::move(item.owner), std::vector<bool>());
        if (!item.bytes.empty())
            parts.back().second.push_back(item.last_part);
    }
    return [parts = std::move(parts)](const command_outcome& outcome) {
        std::size_t at = 0;
        for (const auto& [owner, complete] : parts) {
            const auto first = at;
            at += complete.size();
            if (!owner->done)
                continue; // an earlier part was lost
            if (!outcome) {
                std::exchange(owner->done, nullptr)(std::nullopt);
                continue;
            }
            for (std::size_t i = 0; i < complete.size(); ++i) {
                if (complete[i])
                    owner->results.push_back((*outcome)[first + i]);
            }
            if (owner->results.size() == owner->size)
                std::exchange(owner->done, nullptr)(owner->results);
        }
    };
}

} // namespace clementine::control
