// Runtime of one entryd process: owns the dispatcher, the listeners, the I/O threads and optional
// components, and starts and stops them in order. Command-line handling is in apps/entryd.cpp.
#pragma once

#include "base/clock.h"
#include "base/metrics.h"
#include "manifest/manifest.h"
#include "proxy/backend_pool.h"
#include "proxy/context.h"
#include "proxy/settings.h"
#include "routing/dispatcher.h"

#include <memory>
#include <string>
#include <vector>

namespace clementine::proxy {

// Optional component of an entryd, such as the links to its peers or the client that receives the
// manifest. Components start after the listeners are bound, in the order in which they were added,
// and stop in reverse order once no request is in progress.
class runtime_component {
  public:
    runtime_component() = default;
    runtime_component(const runtime_component&) = delete;
    runtime_component& operator=(const runtime_component&) = delete;
    virtual ~runtime_component() = default;
    virtual void start() = 0;
    // On return no handler of the component runs, or none will once the I/O threads have ended.
    virtual void stop() = 0;
};

class entryd_runtime {
  public:
    // Binds all listeners; throws std::runtime_error naming the address on failure.
    entryd_runtime(const entryd_settings& settings, const clock_source& clock);
    entryd_runtime(const entryd_runtime&) = delete;
    entryd_runtime& operator=(const entryd_runtime&) = delete;
    ~entryd_runtime();

    // Adds a component; must be called before `start`.
    void add_component(std::unique_ptr<runtime_component> component);
    // Sets the implementation of idempotency key claims; must be called before `start`. It must
    // outlive the I/O threads. Without it, requests with a key are refused with "not run".
    void set_key_claims(key_claims& claims);
    // Puts a manifest in force. Thread-safe.
    void apply_manifest(std::shared_ptr<const manifest::manifest> manifest);
    // Applies the settings that may change while the process runs: timeouts and log level.
    void apply_settings(const entryd_settings& settings);

    // Starts I/O threads, listeners and components.
    void start();
    // Graceful stop: reports not ready, keeps accepting for the drain time, lets requests in
    // progress complete, then joins all threads. Blocks; must not be called on an I/O thread.
    void drain();
    // Immediate stop: closes all connections and joins all threads.
    void stop();

    asio::io_context& io();
    proxy_context& context();
    routing::dispatcher& dispatcher();
    metrics& counters();
    // Random number drawn at process start.
    std::uint64_t boot() const;
    unsigned short caller_port() const;
    unsigned short backend_port() const;
    unsigned short admin_port() const;
    std::size_t callers() const;

  private:
    struct state;
    std::unique_ptr<state> state_;
};

// Reads and checks a manifest file; faults carry line numbers of that file.
manifest::parse_result load_manifest(const std::string& file);

} // namespace clementine::proxy
