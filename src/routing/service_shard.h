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

// A handler with its result, to be called after the lock is released.
struct pending_callback {
    admission_handler done;
    admission_result result;
};
using pending_callbacks = std::vector<pending_callback>;

// Calls the handlers. Must be called without any lock of the dispatcher held.
void run_callbacks(pending_callbacks callbacks);

// Maximum of a value over the current and the previous window, so that short peaks reach the peers.
class recent_peak {
  public:
    void sample(int value) { current_ = value > current_ ? value : current_; }
    // Starts a new window at `value`.
    void start_window(int value) {
        previous_ = current_;
        current_ = value;
    }
    int value() const { return current_ > previous_ ? current_ : previous_; }

  private:
    int current_ = 0;
    int previous_ = 0;
};

class service_shard {
  public:
    service_shard(const dispatcher_settings& settings, std::string name);

    void configure(const manifest::service& service,
                   const std::vector<manifest::workspace>& workspaces);

    void admit(admission request, admission_handler done, time_ms now,
               pending_callbacks& callbacks);
    bool withdraw(std::uint64_t request_id);
    bool may_start(const slot& slot, time_ms now) const;
    void release(const slot& slot, attempt_result result, time_ms duration, time_ms now,
                 pending_callbacks& callbacks);
    bool take_retry(time_ms now);
    int connection_limit(const std::string& id, time_ms now) const;
    void mark_leaving(const std::string& id);

    announce_reply announce(const announcement& message,
                            const std::optional<live_claim>& other_claim, time_ms now,
                            pending_callbacks& callbacks);
    announce_reply leave(const std::string& id, const std::optional<live_claim>& other_claim,
                         time_ms now);
    announce_reply describe(const std::string& id, const std::optional<live_claim>& other_claim,
                            time_ms now) const;
    void release_homes();

    // Adds the grants, reports and demand of this service to the next tick for a peer.
    void collect(const std::string& peer, const peer_link& link, std::uint64_t sequence,
                 tick_content& content, time_ms now);
    // Applies the parts of a peer's tick that concern this service.
    void receive(const std::string& peer, const peer_link& link, const tick_effect& effect,
                 time_ms now, pending_callbacks& callbacks);

    void advance(time_ms now, pending_callbacks& callbacks);
    // Refuses all waiting admissions, because the service is no longer in the manifest.
    void close(refusal reason, pending_callbacks& callbacks);
    int in_flight() const;
    service_demand current_demand() const;

  private:
    slot allocate_slot(server_entry& entry);
    void serve_queue(time_ms now, pending_callbacks& callbacks);
    void sample_demand();
    void update_demand();

    const std::string name_;
    mutable std::mutex mutex_;
    random_source random_;
    server_table table_;
    std::unordered_map<std::uint64_t, std::string> slots_; // backend server id by slot id
    std::uint64_t last_slot_id_ = 0;
    workspace_queue queue_;
    retry_budget retry_budget_;
    double mean_service_ms_ = 0;
    recent_peak queued_peak_;
    recent_peak in_use_peak_;
    time_ms queue_window_began_at_ = 0;
    time_ms in_use_window_began_at_ = 0;
    member_demand demand_; // as used for shares here and reported to peers
};

} // namespace clementine::routing
