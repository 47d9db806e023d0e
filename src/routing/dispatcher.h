// Request-path decisions of one entryd: which backend server gets which request, and when.
#pragma once

#include "manifest/manifest.h"
#include "routing/types.h"

#include <memory>
#include <string>
#include <vector>

namespace clementine::routing {

struct dispatcher_settings {
    std::string node;               // id of this entryd
    std::string availability_zone;  // of this entryd
    std::vector<std::string> peers; // ids of all other configured entryds
    time_ms home_lease{2'500};
    time_ms share_lease{2'000};
    std::uint64_t boot = 1; // differs at each process start; part of lease tokens
    std::uint64_t seed = 1; // for choices between equal candidates
};

// Thread-safe facade: state is sharded by service, a lock each. Handlers are called without locks
// held, from whichever thread made the slot free. Time comes from the clock only, so that tests and
// benchmarks can run it in virtual time.
class dispatcher {
  public:
    dispatcher(dispatcher_settings settings, const clock_source& clock);
    dispatcher(const dispatcher&) = delete;
    dispatcher& operator=(const dispatcher&) = delete;
    ~dispatcher();

    // Puts a manifest in force. Queues and shares of services that stay are kept.
    void configure(std::shared_ptr<const manifest::manifest> manifest);

    // Asks for a slot; `done` is called exactly once, at once or later.
    void admit(admission request, admission_handler done);
    // Withdraws a waiting admission, for example because the caller closed. True if it was waiting;
    // its handler is then not called.
    bool withdraw(const std::string& service, std::uint64_t request_id);
    // True if the lease behind a slot still holds. Checked right before the first byte goes out.
    bool may_start(const slot& slot) const;
    // Gives a slot back with the result of the attempt and the time it took.
    void release(const slot& slot, attempt_result result, time_ms duration);
    // Takes one retry from the budget of a service; false if it is spent.
    bool take_retry(const std::string& service);
    // Connections that this entryd may have open to a backend server; 0 without a valid share.
    int connection_limit(const std::string& backend_server) const;
    // Direct evidence from a response that a backend server is leaving.
    void observe_leaving(const std::string& backend_server);

    // Announcement interface for backend servers.
    announce_reply announce(const announcement& message);
    announce_reply leave(const std::string& id);
    announce_reply describe(const std::string& id) const;

    // Expires leases and deadlines, rebalances shares. Called about every 50 ms.
    void advance();
    // Tick for a peer, or nothing if none is due. Asked about every 50 ms and after each tick
    // received from the peer.
    std::optional<entry_tick> next_tick(const std::string& peer);
    void receive_tick(const entry_tick& tick);

    // Graceful stop: releases homed backend servers and admits no new announcements.
    void start_draining();
    // Slots in use at this entryd.
    int in_flight() const;
    // Requests that wait and that run at this entryd now, by service.
    std::vector<service_demand> demand() const;
    // Boot number from the settings.
    std::uint64_t boot() const;

  private:
    struct state;
    std::unique_ptr<state> state_;
};

} // namespace clementine::routing
