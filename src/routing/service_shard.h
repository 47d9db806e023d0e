// Request-path state of one service: its backend servers, its queue and its retry budget.
#pragma once

#include "base/random.h"
#include "manifest/manifest.h"
#include "routing/dispatcher.h"
#include "routing/retry_budget.h"
#include "routing/server_table.h"
#include "routing/workspace_queue.h"

#include <mutex>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace clementine::routing {

// A handler with its result, to be called once the lock is released.
struct pending_call {
    admission_handler done;
    admission_result result;
};
using pending_calls = std::vector<pending_call>;

// Calls the handlers. Must run without any lock of the dispatcher.
void run_calls(pending_calls calls);

// Highest value of a number over the last one to two windows, so that short peaks reach the peers.
class recent_peak {
  public:
    void sample(int value) { current_ = value > current_ ? value : current_; }
    // Starts a new window at `value`.
    void roll(int value) {
        last_ = current_;
        current_ = value;
    }
    int value() const { return current_ > last_ ? current_ : last_; }

  private:
    int current_ = 0;
    int last_ = 0;
};

class service_shard {
  public:
    service_shard(const dispatcher_settings& settings, std::string name);

    void configure(const manifest::service& service,
                   const std::vector<manifest::workspace>& workspaces);

    void admit(admission request, admission_handler done, time_ms now, pending_calls& calls);
    bool withdraw(std::uint64_t request_id);
    bool may_start(const slot& slot, time_ms now) const;
    void release(const slot& slot, attempt_result result, time_ms took, time_ms now,
                 pending_calls& calls);
    bool take_retry(time_ms now);
    int connection_limit(const std::string& id, time_ms now) const;
    void mark_leaving(const std::string& id);

    announce_reply announce(const announcement& message, const std::optional<live_claim>& other,
                            time_ms now, pending_calls& calls);
    announce_reply leave(const std::string& id, const std::optional<live_claim>& other,
                         time_ms now);
    announce_reply describe(const std::string& id, const std::optional<live_claim>& other,
                            time_ms now) const;
    void release_homes();

    // Adds what a peer must know about this service to its next tick.
    void collect(const std::string& peer, const peer_link& link, std::uint64_t sequence,
                 tick_content& content, time_ms now);
    // Takes what a peer's tick says about this service.
    void receive(const std::string& peer, const peer_link& link, const tick_effect& effect,
                 time_ms now, pending_calls& calls);

    void advance(time_ms now, pending_calls& calls);
    // Refuses everything that waits, because the service is no longer in the manifest.
    void close(refusal reason, pending_calls& calls);
    int in_flight() const;
    service_demand current_demand() const;

  private:
    slot hand_out(server_entry& entry);
    void serve_queue(time_ms now, pending_calls& calls);
    void sample_demand();
    void update_demand();

    const std::string name_;
    mutable std::mutex mutex_;
    random_source random_;
    server_table table_;
    std::unordered_map<std::uint64_t, std::string> slots_; // slot id to backend server
    std::uint64_t last_slot_ = 0;
    workspace_queue queue_;
    retry_budget budget_;
    double mean_service_ms_ = 0;
    recent_peak queued_;
    recent_peak in_use_;
    time_ms queue_window_since_ = 0;
    time_ms in_use_window_since_ = 0;
    member_demand demand_; // as divided here and reported to peers
};

} // namespace clementine::routing
