// Books of a home: which entryd may use how many slots of one backend server.
#pragma once

#include "routing/home_lease.h"
#include "routing/types.h"

#include <deque>
#include <map>
#include <optional>
#include <string>

namespace clementine::routing {

// Time for which a request may be under way to a backend server. A `busy` value is evidence against
// a request only if it was read that long after the request's share had ended.
inline constexpr time_ms max_request_transit{500};

// Slots that requests of a lost entryd or an expired share may still use.
struct orphaned_slots {
    int count = 0;
    time_ms since = 0;
};

// The home's view of one other entryd.
class holder_state {
  public:
    // Slots that the home wants the holder to have.
    int granted = 0;
    // Last report of the holder.
    int reported_held = 0;
    int reported_in_use = 0;
    // True once the holder has confirmed a tick that claimed the backend server for this home.
    bool confirmed_claim = false;
    // Sequence of the first tick that claimed it.
    std::uint64_t claim_sequence = 0;

    // Slots that count as taken: the largest grant that may still be in force, or what the holder
    // reports. A reduction counts only once the holder has confirmed it or the share has expired.
    int taken_slots() const;
    // Slots that the holder may hold, without requests that outlived an earlier share.
    int max_held_slots() const;
    // Notes that the tick `sequence` carries the present grant.
    void mark_sent(std::uint64_t sequence);
    // Notes that the holder has applied our tick `echoed`.
    void mark_applied(std::uint64_t echoed);
    // The holder has been silent for so long that its share has ended.
    void expire(time_ms now);
    bool expired() const { return expired_at_.has_value(); }
    std::optional<time_ms> expired_at() const { return expired_at_; }
    // Lowers what an expired share counts, by evidence that fewer requests are left.
    void limit_expired(int count);
    // The holder's process has restarted: returns the slots that its old requests may still use.
    int restart();

  private:
    struct grant_change {
        std::uint64_t sequence = 0; // first tick with this grant
        int slots = 0;
    };

    std::deque<grant_change> outstanding_; // oldest first; the first is confirmed or was never
    std::optional<time_ms> expired_at_;
    int expired_limit_ = 0;
    std::uint64_t expiry_sequence_ = 0; // tick that carries the grant of 0 after expiry
};

class home_record {
  public:
    home_record(home_lease home, int announced_slots)
        : lease(std::move(home)), slots(announced_slots) {}

    home_lease lease;
    int slots;
    bool released = false; // draining: nothing is granted any more
    int self_slots = 0;    // slots that the home itself may use
    std::map<std::string, holder_state> holders;

    // Starts the wait for an older lease to end. Called when the first token comes back.
    void begin_takeover(time_ms now, std::optional<lease_token> previous_token);
    bool waiting() const { return waiting_; }
    // True from the start of a takeover until no more slots are taken than announced. Until then
    // holders may keep shares but not get larger ones, because reports of two points in time can
    // add up to more than the truth.
    bool reconciling() const { return reconciling_; }
    // Reduces the largest shares if more slots are taken than announced, and ends the settling.
    void reconcile(int self_in_use);
    time_ms takeover_at() const { return takeover_at_; }
    const std::optional<lease_token>& previous_token() const { return previous_token_; }
    // Ends the wait. Slots that nobody has reported are orphaned unless `all_known`.
    void end_takeover(time_ms now, bool all_holders_known, int self_in_use);

    // Takes `busy` of a renewal whose token was issued at `issued`.
    void apply_busy(int busy, time_ms issued_at, int self_in_use);
    // Frees orphaned slots whose requests must have reached their deadline.
    void release_overdue(time_ms now, time_ms max_request_time);
    void add_orphans(int count, time_ms now);
    int orphans() const { return orphans_.count; }
    int unattributed_busy() const { return unattributed_busy_; }
    // True if the backend server reports `busy`.
    bool reports_busy() const { return reports_busy_; }
    // Slots of reductions that are on their way back.
    int returning_slots(int self_in_use) const;
    // Slots taken over all entryds, orphaned and unexplained ones included.
    int taken_slots(int self_in_use) const;
    // Slots that may be granted.
    int free_slots(int self_in_use) const;
    // Requests in progress as far as the home knows.
    int in_flight(int self_in_use) const;

  private:
    bool waiting_ = false;
    bool reconciling_ = false;
    time_ms takeover_at_ = 0;
    std::optional<lease_token> previous_token_;
    orphaned_slots orphans_;
    int unattributed_busy_ = 0; // busy slots that no book explains
    bool reports_busy_ = false;
};

} // namespace clementine::routing
