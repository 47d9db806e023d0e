// Admission and routing of requests at one entryd: chooses the backend server of each request and
// when the request starts.
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
    std::uint64_t boot = 1; // unique to each process start; part of lease tokens
    std::uint64_t seed = 1; // seeds the choice between equal candidates
};

// Thread-safe facade over one shard per service, each with its own lock. Handlers run without any
// lock held, on the thread that freed the slot. All times come from the clock, so that tests and
// benchmarks can run in virtual time.
class dispatcher {
  public:
    dispatcher(dispatcher_settings settings, const clock_source& clock);
    dispatcher(const dispatcher&) = delete;
    dispatcher& operator=(const dispatcher&) = delete;
    ~dispatcher();

    // Applies a manifest. Services that remain keep their queues and shares.
    void configure(std::shared_ptr<const manifest::manifest> manifest);

    // Requests a slot. `done` is called exactly once, unless withdraw() removes the request first.
    void admit(admission request, admission_handler done);
    // Removes a waiting admission, for example because the caller disconnected. Returns true if it
    // was waiting; its handler is then not called.
    bool withdraw(const std::string& service, std::uint64_t request_id);
    // True while the lease behind a slot is valid. Must be checked right before the first byte is
    // sent.
    bool may_start(const slot& slot) const;
    // Returns a slot, with the result and the duration of the attempt.
    void release(const slot& slot, attempt_result result, time_ms duration);
    // Consumes one retry from the budget of a service; returns false if none is left.
    bool take_retry(const std::string& service);
    // Maximum number of open connections to a backend server; 0 without a valid share.
    int connection_limit(const std::string& backend_server) const;
    // Marks a backend server as leaving because one of its responses said so.
    void observe_leaving(const std::string& backend_server);

    // Requests of the announcement interface for backend servers.
    announce_reply announce(const announcement& message);
    announce_reply leave(const std::string& id);
    announce_reply describe(const std::string& id) const;

    // Expires leases and deadlines and rebalances shares. Called about every 50 ms.
    void advance();
    // Returns the next tick for a peer, or nothing if none is due. Called about every 50 ms and
    // after each tick received from the peer.
    std::optional<entry_tick> next_tick(const std::string& peer);
    void receive_tick(const entry_tick& tick);

    // Begins a graceful stop: releases the backend servers homed here and redirects announcements
    // to a reachable peer.
    void start_draining();
    // Slots in use at this entryd.
    int in_flight() const;
    // Requests waiting and in progress at this entryd, by service.
    std::vector<service_demand> demand() const;
    // The boot number of the settings.
    std::uint64_t boot() const;

  private:
    struct state;
    std::unique_ptr<state> state_;
};

} // namespace clementine::routing
