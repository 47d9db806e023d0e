// Forwards requests to the leading control node and retries across leader changes.
//
// Queries of callers go to another replica first, so that the leader is left to decide. A replica
// answers only what it knows and declines the rest, which then goes to the leader.
//
// The forwarded requests are idempotent, so an unanswered attempt is retried, but only after its
// link was lost or the term has changed: until then it is still queued at the leader, or the
// answer is on its way. A silent link is closed. A refusal after an unanswered attempt is not
// returned to the client, because that attempt may have been executed. If a leader of a later term
// refuses, the attempt has not been and never will be: each call names the term of the leader that
// it is sent to, and what earlier leaders have logged is known to the later one.
#pragma once

#include "base/clock.h"
#include "base/random.h"
#include "control/cluster_links.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace clementine::control {

// How a routed request ended.
enum class route_outcome {
    answered, // `reply` is the leader's answer
    not_run,  // no attempt was sent, or all were declined: the request has no effect
    unknown   // an attempt went unanswered
};

inline constexpr name_table<3> route_outcome_names{"answered", "not-run", "unknown"};
constexpr const auto& names_of(route_outcome) {
    return route_outcome_names;
}

struct routed_reply {
    route_outcome outcome = route_outcome::not_run;
    wire::call_reply reply;
    unsigned attempts = 0; // sent over a link
};

// Attempts over links. An attempt that is declined after a timeout counts as both.
struct attempt_counters {
    std::uint64_t sent = 0;
    std::uint64_t retried = 0;   // of those sent: not the first of their request
    std::uint64_t declined = 0;  // the receiver could not serve
    std::uint64_t timed_out = 0; // unanswered for the time limit of an attempt
};

struct route_limits {
    time_ms timeout{0};           // time after which an unanswered request ends as `unknown`
    time_ms leader_wait{0};       // time to wait for a leader before a request ends as `not_run`
    time_ms max_election_time{0}; // do not wait if the leader was lost longer ago; 0 for no limit
};

class leader_router {
  public:
    using done_handler = std::function<void(const routed_reply&)>;
    using reply_handler = std::function<void(const wire::call_reply&)>;
    // Executes a call on this node if it leads; returns false otherwise.
    using local_handler = std::function<bool(const wire::call&, const reply_handler&)>;

    // `seed` spreads the pauses between attempts.
    leader_router(boost::asio::io_context& loop, const clock_source& clock, cluster_links& links,
                  local_handler execute_locally, std::uint64_t seed = wire::new_boot_id());
    leader_router(const leader_router&) = delete;
    leader_router& operator=(const leader_router&) = delete;
    ~leader_router() = default;

    // `done` is called exactly once, on the loop.
    void route(wire::call request, route_limits limits, done_handler done);

    // Events from cluster_links.
    void observe(const std::string& node, const wire::directory& value);
    void observe(const std::string& node, const wire::call_reply& value);
    void observe_opened(const std::string& node);
    void observe_closed(const std::string& node);
    // Retries the requests that are not sent without a pause, for example after this node became
    // the leader.
    void retry_unsent();

    // The last known leader; empty if unknown.
    const std::string& leader() const { return leader_; }
    // The leader, if it announced itself recently; empty otherwise. Only this may be told to
    // others: nodes that repeat second-hand knowledge would advertise a dead leader forever.
    std::string confirmed_leader() const;
    std::uint64_t leader_term() const { return leader_term_; }
    // True if a leader was known at any time in the last `period` ms.
    bool had_leader(time_ms period) const;
    // The counts since the last call.
    attempt_counters take_counters() { return std::exchange(counters_, {}); }
    void stop() { timer_.cancel(); }

  private:
    struct pending_request {
        wire::call request;
        time_ms arrived_at{0};
        time_ms deadline{0};
        time_ms leader_deadline{0};
        time_ms sent_at{0};
        std::uint64_t sent_term = 0;
        std::string sent_to; // empty while not sent
        unsigned attempts = 0;
        unsigned declined = 0;          // since the last change of the leader
        time_ms retry_at{0};            // not sent again before
        std::uint64_t resumed_term = 0; // term in which its pause was cut short
        bool overdue = false;
        bool asked_replica = false;  // a query that a replica declined or did not answer
        bool may_have_run = false;   // an earlier attempt got no answer and may have been executed
        std::uint64_t lost_term = 0; // latest term in which that happened
        done_handler done;
    };

    void attempt(pending_request& item);
    bool ask_replica(pending_request& item);
    void pause(pending_request& item);
    void resume_paused();
    void retry_due();
    static void lose_attempt(pending_request& item);
    void finish(std::uint64_t id, route_outcome outcome, const wire::call_reply& reply);
    void process_timeouts();
    void schedule_timer();

    boost::asio::steady_timer timer_;
    const clock_source& clock_;
    cluster_links& links_;
    local_handler execute_locally_;
    std::string leader_;
    std::uint64_t leader_term_ = 0;
    time_ms leader_seen_at_{0};
    time_ms leader_confirmed_at_{0}; // last announcement by the leader itself
    std::uint64_t last_id_ = 0;
    std::vector<std::string> replicas_; // members other than the leader
    std::map<std::uint64_t, pending_request> pending_;
    attempt_counters counters_;
    random_source random_;
    // As of the last check.
    std::size_t overdue_calls_ = 0;
    std::size_t held_requests_ = 0;
};

} // namespace clementine::control
