// Passes requests on to the leading control node and tries again while leadership moves.
//
// The requests that are passed on may be carried out more than once without harm, so that a lost
// answer is followed by another attempt. A refusal that follows an attempt without an answer is
// not passed on: that attempt may have been carried out.
#pragma once

#include "base/clock.h"
#include "control/cluster_links.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <map>
#include <string>

namespace clementine::control {

// How a routed request ended.
enum class route_outcome {
    answered, // `reply` is the leader's answer
    not_run,  // no attempt was sent, or each was declined: the request has no effect
    unknown   // an attempt went unanswered
};

inline constexpr name_table<3> route_outcome_names{"answered", "not-run", "unknown"};
constexpr const auto& names_of(route_outcome) {
    return route_outcome_names;
}

struct routed_reply {
    route_outcome outcome = route_outcome::not_run;
    wire::call_reply reply;
};

struct route_limits {
    time_ms total{0};          // from the arrival of the request to the answer "unknown"
    time_ms without_leader{0}; // wait for a leader before the answer "not run"
    time_ms election{0};       // no leader for longer: none is waited for; 0: no such limit
};

class leader_router {
  public:
    using done_handler = std::function<void(const routed_reply&)>;
    using reply_handler = std::function<void(const wire::call_reply&)>;
    // Carries a call out here if this node leads; false otherwise.
    using local_handler = std::function<bool(const wire::call&, const reply_handler&)>;

    leader_router(boost::asio::io_context& loop, const clock_source& clock, cluster_links& links,
                  local_handler local);
    leader_router(const leader_router&) = delete;
    leader_router& operator=(const leader_router&) = delete;
    ~leader_router() = default;

    // `done` is called exactly once, from the loop.
    void route(wire::call request, route_limits limits, done_handler done);

    // From cluster_links.
    void observe(const std::string& node, const wire::directory& value);
    void observe(const std::string& node, const wire::call_reply& value);
    void observe_opened(const std::string& node);
    void observe_closed(const std::string& node);
    // Calls again what waits, for example when this node became the leader.
    void retry_waiting();

    // Node that leads as far as known; empty if unknown.
    const std::string& leader() const { return leader_; }
    // The leader, if it said so itself a moment ago; empty otherwise. Only this may be passed on:
    // nodes that repeat what others say would keep a dead leader alive.
    std::string confirmed_leader() const;
    std::uint64_t leader_term() const { return leader_term_; }
    // True if a leader was known at some time in the last `within` ms.
    bool had_leader(time_ms within) const;
    void stop() { timer_.cancel(); }

  private:
    struct pending {
        wire::call request;
        time_ms arrived{0};
        time_ms deadline{0};
        time_ms leader_deadline{0};
        time_ms sent_at{0};
        std::string sent_to; // empty while it waits
        bool unsure = false; // an earlier attempt went unanswered
        done_handler done;
    };

    void attempt(pending& item);
    void finish(std::uint64_t id, route_outcome outcome, const wire::call_reply& reply);
    void check_time();
    void schedule();

    boost::asio::steady_timer timer_;
    const clock_source& clock_;
    cluster_links& links_;
    local_handler local_;
    std::string leader_;
    std::uint64_t leader_term_ = 0;
    time_ms leader_seen_{0};
    time_ms leader_confirmed_{0}; // by itself
    std::uint64_t last_id_ = 0;
    std::map<std::uint64_t, pending> pending_;
};

} // namespace clementine::control
