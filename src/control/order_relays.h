// The leader's side of exchanging with workers through other control nodes. Performs no input or
// output: batches are passed to callbacks.
//
// Load pattern: a surge on hundreds of workers needs thousands of HTTP exchanges a second, which
// take more of the leader's processor than its decisions, while the other control nodes are idle.
// The log still decides and every order carries the leader's fence, so a relay only carries out
// what the leader has decided. Each worker has one relay at a time, chosen by hash, so that a
// change of the relays moves few workers. An order whose relay is lost may have been carried out; a
// hold whose relay is lost says nothing about the worker.
#pragma once

#include "base/clock.h"
#include "wire/messages.h"
#include "workload/order_codec.h"

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace clementine::control {

class order_relays {
  public:
    struct callbacks {
        // Sends a batch to a node; false if it was certainly not sent.
        std::function<bool(const std::string& node, const wire::order_batch&)> send;
        // Result of an order. `sent_at` is not after the time at which the relay sent it.
        std::function<void(const workload::order&, const workload::order_result&, time_ms sent_at,
                           time_ms received_at)>
            done;
    };

    explicit order_relays(callbacks handlers) : handlers_(std::move(handlers)) {}

    // Handles a node's statement whether it carries out orders.
    void observe_offer(const std::string& node, bool offers);
    void observe_closed(const std::string& node, time_ms now);
    void observe(const std::string& node, const wire::result_batch& value, time_ms now);

    // Node that exchanges with a worker; empty if there is no relay.
    const std::string& relay_of(const std::string& worker);
    // Adds an order to the next batch of its worker's relay. There must be one.
    void add(const workload::order& value, const std::string& worker, time_ms now);
    // Sends what was added.
    void flush(std::uint64_t term, time_ms now);
    bool has_unsent() const { return !unsent_.empty(); }
    // Resolves orders left unanswered.
    void check_deadlines(time_ms now);
    // Forgets all orders without results, for example after the loss of leadership.
    void clear();

    std::size_t relays() const { return relays_.size(); }
    std::size_t outstanding() const { return outstanding_.size(); }

  private:
    struct outstanding_order {
        std::string relay;
        workload::order value;
        time_ms sent_at{0};
        time_ms deadline{0};
    };

    void resolve(const std::vector<std::uint64_t>& ids, bool delivered, time_ms now);

    callbacks handlers_;
    std::set<std::string> relays_;
    std::unordered_map<std::string, std::string> assignments_; // worker id to relay
    std::map<std::uint64_t, outstanding_order> outstanding_;   // by id
    std::map<std::string, std::vector<std::uint64_t>> unsent_; // by relay
    std::uint64_t last_id_ = 0;
};

// Decides at a relay whether a batch was delayed so long that the permission of its sender may have
// run out, for example while this process was frozen.
class batch_age {
  public:
    // Returns false if the batch took longer than the fastest one by more than the allowed delay.
    bool is_recent(time_ms sent_at, time_ms now);

  private:
    bool known_ = false;
    time_ms least_offset_{0}; // least difference of the clocks seen, transport included
};

} // namespace clementine::control
