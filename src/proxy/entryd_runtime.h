// One entryd process without its command line: owns the dispatcher, the listeners, the I/O threads
// and optional parts, and starts and stops them in order.
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

// Something that runs along with an entryd, such as the links to its peers or the client that
// receives the manifest. Parts start after the listeners are bound, in the order in which they were
// added, and stop in reverse order once no request is in progress.
class runtime_component {
  public:
    runtime_component() = default;
    runtime_component(const runtime_component&) = delete;
    runtime_component& operator=(const runtime_component&) = delete;
    virtual ~runtime_component() = default;
    virtual void start() = 0;
    // Returns once none of its handlers runs any more, or will when the I/O threads have ended.
    virtual void stop() = 0;
};

class entryd_runtime {
  public:
    // Binds all listeners; throws std::runtime_error with the address if that fails.
    entryd_runtime(const entryd_settings& settings, const clock_source& clock);
    entryd_runtime(const entryd_runtime&) = delete;
    entryd_runtime& operator=(const entryd_runtime&) = delete;
    ~entryd_runtime();

    // Adds a part before `start`.
    void add_component(std::unique_ptr<runtime_component> component);
    // Sets what claims idempotency keys, before `start`. It must outlive the I/O threads. Without
    // it, requests with a key are refused with "not run".
    void set_key_claims(key_claims& claims);
    // Puts a manifest in force. Thread-safe.
    void apply_manifest(std::shared_ptr<const manifest::manifest> manifest);
    // Changes what may change while the process runs: times and log level.
    void apply_settings(const entryd_settings& settings);

    // Starts I/O threads, listeners and parts.
    void start();
    // Graceful stop: reports not ready, keeps listening for the drain time, lets requests in
    // progress complete, then ends all threads. Blocks; called from outside the I/O threads.
    void drain();
    // Stop without grace: ends all connections and threads.
    void stop();

    asio::io_context& io();
    proxy_context& context();
    routing::dispatcher& dispatcher();
    metrics& counters();
    // Number that differs at each process start.
    std::uint64_t boot() const;
    unsigned short caller_port() const;
    unsigned short backend_port() const;
    unsigned short admin_port() const;
    std::size_t callers() const;

  private:
    struct state;
    std::unique_ptr<state> state_;
};

// Reads and checks a manifest file; faults carry the lines of that file.
manifest::parse_result load_manifest(const std::string& file);

} // namespace clementine::proxy
