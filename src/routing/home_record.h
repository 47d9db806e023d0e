// Slot accounting of a home entryd: how many slots of one backend server each entryd may use.
#pragma once

#include "routing/home_lease.h"
#include "routing/types.h"

#include <deque>
#include <map>
#include <optional>
#include <string>

namespace clementine::routing {

// Maximum time from the start of a request at its entryd until the backend server counts it. A
// `busy` value shows that a request has ended only if it was read this long after the end of the
// request's share.
inline constexpr time_ms max_request_transit{500};

// Slots that requests of a lost entryd or of an expired share may still occupy.
struct orphaned_slots {
    int count = 0;
    time_ms since = 0;
};

// State that the home keeps about one other entryd, the holder of a share.
class holder_state {
  public:
    // Slots that the home currently grants to the holder.
    int granted = 0;
    // Values of the holder's last report.
    int reported_held = 0;
    int reported_in_use = 0;
    // True once the holder has confirmed a tick in which this home claimed the backend server.
    bool confirmed_claim = false;
    // Sequence of the first tick with that claim; 0 if none was sent.
    std::uint64_t claim_sequence = 0;

    // Slots to count as taken: the largest grant that may still be in force, or the holder's
    // report if that is higher. A reduction takes effect only once the holder has confirmed it or
    // the share has expired.
    int taken_slots() const;
    // Largest share that the holder may have, without requests that outlived an earlier share.
    int max_held_slots() const;
    // Records that tick `sequence` carries the current grant.
    void mark_sent(std::uint64_t sequence);
    // Records that the holder has applied this home's tick `echoed`.
    void mark_applied(std::uint64_t echoed);
    // Ends the share because no tick of the holder arrived for the length of the share lease.
    void expire(time_ms now);
    bool expired() const { return expired_at_.has_value(); }
    std::optional<time_ms> expired_at() const { return expired_at_; }
    // Lowers the slots counted for an expired share to `count`, the most requests that can remain.
    void limit_expired(int count);
    // Resets the state after a restart of the holder's process. Returns the slots that requests of
    // the old process may still occupy.
    int restart();

  private:
    struct grant_change {
        std::uint64_t sequence = 0; // first tick with this grant
        int slots = 0;
    };

    std::deque<grant_change> outstanding_; // oldest first; only the first may be confirmed
    std::optional<time_ms> expired_at_;
    int expired_limit_ = 0;
    std::uint64_t expiry_sequence_ = 0; // first tick with the grant of 0 after the expiry
};

class home_record {
  public:
    home_record(home_lease home, int announced_slots)
        : lease(std::move(home)), slots(announced_slots) {}

    home_lease lease;
    int slots;
    bool released = false; // the home is draining and grants no more slots
    int self_slots = 0;    // slots that the home itself may use
    std::map<std::string, holder_state> holders;

    // Starts the wait for the lease of an earlier home to end. Called when the first token is
    // echoed.
    void begin_takeover(time_ms now, std::optional<lease_token> previous_token);
    bool waiting() const { return waiting_; }
    // True from the start of a takeover until no more slots are taken than announced. Meanwhile
    // holders may keep their shares but not get larger ones, because reports from different times
    // can add up to more slots than are really held.
    bool reconciling() const { return reconciling_; }
    // Reduces the largest shares while more slots are granted than announced, and ends the
    // reconciliation once no more slots are taken than announced.
    void reconcile(int self_in_use);
    time_ms takeover_at() const { return takeover_at_; }
    const std::optional<lease_token>& previous_token() const { return previous_token_; }
    // Ends the wait. Unless `all_holders_known`, slots that nobody has reported become orphaned.
    void end_takeover(time_ms now, bool all_holders_known, int self_in_use);

    // Applies the `busy` value of a renewal whose token was issued at `issued_at`.
    void apply_busy(int busy, time_ms issued_at, int self_in_use);
    // Frees orphaned slots whose requests must have passed their deadline.
    void release_overdue(time_ms now, time_ms max_request_time);
    void add_orphans(int count, time_ms now);
    int orphans() const { return orphans_.count; }
    int unattributed_busy() const { return unattributed_busy_; }
    // True once the backend server has reported `busy`.
    bool reports_busy() const { return reports_busy_; }
    // Slots whose grant was reduced but that their holders may still use.
    int returning_slots(int self_in_use) const;
    // Slots taken at all entryds, including orphaned slots and unattributed busy ones.
    int taken_slots(int self_in_use) const;
    // Slots available for new grants.
    int free_slots(int self_in_use) const;
    // Requests in progress at all entryds, as known to the home.
    int in_flight(int self_in_use) const;

  private:
    bool waiting_ = false;
    bool reconciling_ = false;
    time_ms takeover_at_ = 0;
    std::optional<lease_token> previous_token_;
    orphaned_slots orphans_;
    int unattributed_busy_ = 0; // reported busy beyond all slots counted as taken
    bool reports_busy_ = false;
};

} // namespace clementine::routing
