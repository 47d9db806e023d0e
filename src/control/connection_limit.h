// Bounds the open connections of several pools together. Pools that find no connection left wait;
// the most urgent is served first, then the one that waits longest. Performs no input or output.
//
// Load pattern: a surge sends several orders at once to each of hundreds of workers, while the
// descriptors of the process suffice for two or three connections to each. Leases go before starts:
// a lease that is not extended ends running work.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <utility>

namespace clementine::control {

enum class urgency { lease, start };

class connection_limit {
  public:
    // `make_room` closes an idle connection and returns true, or returns false if there is none.
    explicit connection_limit(std::size_t max_connections,
                              std::function<bool()> make_room = nullptr)
        : max_(max_connections), make_room_(std::move(make_room)) {}

    // Takes one connection; returns false if none is left.
    bool try_acquire();
    // Returns one connection; the first waiting pool is called back before this returns.
    void release();
    // Calls back once a connection may be free. The callback must call try_acquire or pass its turn
    // on with `skip_turn`.
    void wait(urgency kind, std::function<void()> ready);
    void skip_turn() { call_next(); }

    std::size_t open() const { return open_; }
    std::size_t max() const { return max_; }
    std::size_t waiting() const { return waiting_.size(); }
    // Returns the highest number of open connections since the last call.
    std::size_t take_peak() { return std::exchange(peak_, open_); }

  private:
    void call_next();

    std::size_t max_;
    std::function<bool()> make_room_;
    std::size_t open_ = 0;
    std::size_t peak_ = 0;
    std::uint64_t last_number_ = 0;
    std::map<std::pair<urgency, std::uint64_t>, std::function<void()>> waiting_;
};

} // namespace clementine::control
