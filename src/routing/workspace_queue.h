// Bounded queue of the waiting admissions of one service, fair between workspaces by deficit round
// robin.
#pragma once

#include "routing/types.h"

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace clementine::routing {

// An admission with the handler that gets its result.
struct waiting_admission {
    admission request;
    admission_handler done;
    time_ms queued_at = 0;
};

class workspace_queue {
  public:
    explicit workspace_queue(std::size_t capacity) : capacity_(capacity) {}

    void set_capacity(std::size_t capacity) { capacity_ = capacity; }
    // Sets the weights by workspace; a workspace that is not listed has weight 1.
    void set_weights(std::map<std::string, int> weights) { weights_ = std::move(weights); }

    std::size_t size() const { return size_; }
    bool empty() const { return size_ == 0; }
    bool full() const { return size_ >= capacity_; }

    void push(waiting_admission item);
    // Removes the next admission in deficit round robin order; returns nothing if the queue is
    // empty. Every request costs 1, and a workspace is served `weight` requests per round.
    std::optional<waiting_admission> pop();
    // Puts an admission that pop() returned back at the front of its workspace.
    void push_front(waiting_admission item);
    // Removes one admission by its request id.
    std::optional<waiting_admission> remove(std::uint64_t request_id);
    // Removes all admissions whose deadline has passed.
    std::vector<waiting_admission> remove_expired(time_ms now);
    // Removes all admissions.
    std::vector<waiting_admission> remove_all();

  private:
    struct workspace_backlog {
        std::deque<waiting_admission> items;
        int deficit = 0;
    };

    int weight_of(const std::string& workspace) const;
    void select_next_workspace();

    std::size_t capacity_;
    std::size_t size_ = 0;
    std::map<std::string, int> weights_;
    std::map<std::string, workspace_backlog> backlogs_; // only workspaces with waiting admissions
    std::string current_workspace_;                     // workspace whose turn it is
};

} // namespace clementine::routing
