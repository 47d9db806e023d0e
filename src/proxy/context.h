// State shared by the components of one entryd.
#pragma once

#include "base/clock.h"
#include "base/metrics.h"
#include "manifest/manifest.h"
#include "proxy/backend_pool.h"
#include "proxy/key_claims.h"
#include "proxy/settings.h"
#include "routing/dispatcher.h"

#include <atomic>
#include <cstdint>
#include <memory>
#include <mutex>
#include <string>

namespace clementine::proxy {

// Immutable value that can be replaced while other threads read it.
template <class T>
class shared_value {
  public:
    std::shared_ptr<const T> get() const {
        std::lock_guard lock(mutex_);
        return value_;
    }
    void set(std::shared_ptr<const T> value) {
        std::lock_guard lock(mutex_);
        value_.swap(value);
    }

  private:
    mutable std::mutex mutex_;
    std::shared_ptr<const T> value_;
};

struct proxy_context {
    proxy_context(const clock_source& clock, metrics& counters, routing::dispatcher& dispatcher,
                  backend_pool& pool, std::string id_prefix)
        : clock(clock), counters(counters), dispatcher(dispatcher), pool(pool),
          id_prefix(std::move(id_prefix)) {}

    const clock_source& clock;
    metrics& counters;
    routing::dispatcher& dispatcher;
    backend_pool& pool;
    shared_value<timeout_settings> timeouts;
    shared_value<manifest::manifest> manifest; // empty until the first manifest is in force
    const std::string id_prefix;               // of request ids; differs at each process start
    key_claims* claims = nullptr;              // set before the start; if null, keys are refused
    std::atomic<std::uint64_t> next_id{1};
    std::atomic<bool> draining{false};

    std::uint64_t take_id() { return next_id.fetch_add(1); }
};

} // namespace clementine::proxy
