// Operations that wait for the next log entry, batched because each entry costs a message per
// replica. An entry takes as many as fit; a group may be spread over several entries, and so may a
// large operation.
//
// Load pattern: two operators send large configurations at once, or a backlog builds up while the
// log accepts nothing. No batch may exceed the limit of an entry, because all that follows waits
// behind it.
#pragma once

#include "workload/job_table.h"

#include <cstddef>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace clementine::control {

// Whether each operation was accepted. Empty if leadership was lost: the result is unknown here.
using command_outcome = std::optional<std::vector<bool>>;

class proposal_queue {
  public:
    using done_handler = std::function<void(const command_outcome&)>;

    // Size limits of a log entry and of an encoded operation.
    proposal_queue(std::size_t max_entry_bytes, std::size_t max_operation_bytes)
        : max_entry_bytes_(max_entry_bytes), max_operation_bytes_(max_operation_bytes) {}

    // Queues operations that are logged in this order. `done` is called once with the outcome of
    // all of them, or never if the queue is cleared. Returns false and queues nothing if one of
    // them exceeds its limit.
    bool push(const std::vector<workload::operation>& operations, done_handler done);
    bool empty() const { return queue_.empty(); }
    void clear() { queue_.clear(); }

    // Bytes of the next log entry, proposed at `wall` (wall clock of this node). The operations
    // stay queued until `pop`.
    std::string next_entry(time_ms wall);
    // Removes the operations of the last `next_entry`, which was logged. Returns the handler for
    // the outcome of that entry.
    done_handler pop();

  private:
    struct group {
        std::size_t size = 0;
        std::vector<bool> results;
        done_handler done;
    };
    // An operation or a part of one.
    struct queued_operation {
        std::string bytes; // empty for a group without operations
        bool last_part = true;
        std::shared_ptr<group> owner;
    };

    std::size_t max_entry_bytes_;
    std::size_t max_operation_bytes_;
    std::deque<queued_operation> queue_;
    std::size_t in_next_entry_ = 0; // operations in the last `next_entry`
};

} // namespace clementine::control
