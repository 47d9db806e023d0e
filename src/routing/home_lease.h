// Lease of a home entryd on one backend server, measured from the issue time of echoed tokens.
#pragma once

#include "base/clock.h"

#include <cstdint>
#include <deque>
#include <optional>
#include <string>

namespace clementine::routing {

// Contents of a token: "EPOCH.SERIAL.BOOT.NODE".
struct lease_token {
    std::uint64_t epoch = 0;
    std::uint64_t serial = 0;
    std::uint64_t boot = 0;
    std::string node;

    std::string text() const;
};

// Parses a token; returns nothing if it is empty or malformed.
std::optional<lease_token> parse_token(const std::string& text);

// Only an echoed token extends the lease, and the extension counts from the time the token was
// issued. A home that was frozen and then reads an old renewal therefore cannot extend its lease.
class home_lease {
  public:
    home_lease(std::string node, std::uint64_t boot, std::uint64_t epoch, time_ms duration)
        : node_(std::move(node)), boot_(boot), epoch_(epoch), duration_(duration) {}

    std::uint64_t epoch() const { return epoch_; }
    // Sets the epoch of later tokens; tokens that were issued before stay valid.
    void raise_epoch(std::uint64_t epoch) { epoch_ = epoch; }
    // Issues the token for the next reply.
    std::string issue(time_ms now);
    // Extends the lease by an echoed token. Returns the time at which the token was issued, or
    // nothing if this home did not issue it or no longer remembers it.
    std::optional<time_ms> accept_echo(const std::string& token);
    // End of the lease; 0 before the first echoed token.
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
