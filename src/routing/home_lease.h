// Lease of one backend server at its home entryd, counted from the issue of echoed tokens.
#pragma once

#include "base/clock.h"

#include <cstdint>
#include <deque>
#include <optional>
#include <string>

namespace clementine::routing {

// Content of a token: "EPOCH.SERIAL.BOOT.NODE".
struct lease_token {
    std::uint64_t epoch = 0;
    std::uint64_t serial = 0;
    std::uint64_t boot = 0;
    std::string node;

    std::string text() const;
};

// Parses a token; nothing if it is empty or malformed.
std::optional<lease_token> parse_token(const std::string& text);

// The lease is extended only by a token that comes back, and counts from the moment the token was
// issued. A frozen home that reads an old renewal after waking therefore cannot extend its lease.
class home_lease {
  public:
    home_lease(std::string node, std::uint64_t boot, std::uint64_t epoch, time_ms duration)
        : node_(std::move(node)), boot_(boot), epoch_(epoch), duration_(duration) {}

    std::uint64_t epoch() const { return epoch_; }
    // Later tokens carry the new epoch; tokens issued before stay valid.
    void raise_epoch(std::uint64_t epoch) { epoch_ = epoch; }
    // Issues the token of the next reply.
    std::string issue(time_ms now);
    // Takes an echoed token. Returns its time of issue, or nothing if it is not from this home.
    std::optional<time_ms> accept_echo(const std::string& token);
    // End of the lease; 0 if it has not begun.
    time_ms ends() const { return ends_; }
    bool valid(time_ms now) const { return now < ends_; }

  private:
    struct issued_token {
        std::uint64_t epoch = 0;
        std::uint64_t serial = 0;
        time_ms at = 0;
    };

    std::string node_;
    std::uint64_t boot_;
    std::uint64_t epoch_;
    time_ms duration_;
    std::uint64_t serial_ = 0;
    std::deque<issued_token> issued_;
    time_ms ends_ = 0;
};

} // namespace clementine::routing
