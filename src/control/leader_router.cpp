#include "control/leader_router.h"

#include "base/log.h"
#include "control/retry_policy.h"

#include <algorithm>
#include <chrono>
#include <utility>
#include <vector>

namespace clementine::control {

namespace {

constexpr time_ms check_interval{25};
// In place of a node's name: the request is being executed here.
constexpr std::string_view local_node = "local";
// An unanswered attempt is overdue after this time; a commit takes about 15 ms.
constexpr time_ms attempt_timeout{450};
// A query that a replica leaves unanswered for this long goes to the leader; a replica answers
// within a few ms.
constexpr time_ms replica_timeout{150};
// The leader counts as unknown if it was not confirmed for this long.
constexpr time_ms leader_expiry{1'500};

// Lowest status of an answer that says that a request was not executed.
constexpr std::uint32_t first_refusal = 400;

bool is_query(const wire::call& request) {
    return request.origin == wire::call_origin::caller && request.method == "GET";
}

} // namespace

leader_router::leader_router(boost::asio::io_context& loop, const clock_source& clock,
                             cluster_links& links, local_handler execute_locally,
                             std::uint64_t seed)
    : timer_(loop), clock_(clock), links_(links), execute_locally_(std::move(execute_locally)),
      random_(seed) {
    schedule_timer();
}

void leader_router::route(wire::call request, route_limits limits, done_handler done) {
    if (!is_query(request) && admit_call(overdue_calls_, held_requests_) == call_admission::refuse)
        return done({});
    const auto now = clock_.now();
    request.id = ++last_id_;
    auto& item = pending_[last_id_];
    item.request = std::move(request);
    item.arrived_at = now;
    item.deadline = now + limits.timeout;
    item.leader_deadline = now + limits.leader_wait;
    if (limits.max_election_time > 0)
        item.leader_deadline =
            std::min(item.leader_deadline, leader_seen_at_ + limits.max_election_time);
    item.done = std::move(done);
    attempt(item);
}

// Returns true if a query was sent to a replica.
bool leader_router::ask_replica(pending_request& item) {
    if (!is_query(item.request) || item.asked_replica || replicas_.empty())
        return false;
    item.asked_replica = true;
    const auto& replica = replicas_[item.request.id % replicas_.size()];
    if (!links_.is_open(replica) || !links_.send(replica, item.request))
        return false;
    ++counters_.sent;
    ++item.attempts;
    item.sent_to = replica;
    item.sent_at = clock_.now();
    item.sent_term = leader_term_;
    item.overdue = false;
    return true;
}

// May finish and erase `item`.
void leader_router::attempt(pending_request& item) {
    if (!leaves_time_for_an_answer(clock_.now(), item.deadline) || ask_replica(item))
        return;
    const auto id = item.request.id;
    const auto answer = [this, id](const wire::call_reply& reply) {
        const auto it = pending_.find(id);
        if (reply.handled)
            finish(id, route_outcome::answered, reply);
        else if (it != pending_.end() && it->second.sent_to == local_node) {
            it->second.sent_to.clear();
            pause(it->second);
        }
    };
    if (execute_locally_) {
        // Marked as sent before: the execution may find that this node leads now, which sends all
        // requests that are not. The reply may arrive before the call returns.
        auto request = item.request;
        request.term = 0;
        item.sent_to = local_node;
        item.sent_at = clock_.now();
        item.sent_term = leader_term_;
        item.overdue = false;
        if (execute_locally_(request, answer))
            return;
        item.sent_to.clear();
    }
    if (admit_call(overdue_calls_, 0) != call_admission::send) {
        ++held_requests_;
        return;
    }
    item.request.term = leader_term_;
    if (leader_.empty() || !links_.send(leader_, item.request)) {
        // Nothing was sent, but this node has declined.
        if (execute_locally_)
            pause(item);
        return;
    }
    ++counters_.sent;
    if (item.attempts > 0)
        ++counters_.retried;
    ++item.attempts;
    item.sent_to = leader_;
    item.sent_at = clock_.now();
    item.sent_term = leader_term_;
    item.overdue = false;
}

void leader_router::pause(pending_request& item) {
    item.retry_at = clock_.now() + retry_pause(++item.declined, random_.unit());
}

void leader_router::finish(std::uint64_t id, route_outcome outcome, const wire::call_reply& reply) {
    const auto it = pending_.find(id);
    if (it == pending_.end())
        return;
    if (outcome == route_outcome::answered && reply.status >= first_refusal &&
        it->second.may_have_run && it->second.sent_term <= it->second.lost_term)
        outcome = route_outcome::unknown;
    const auto attempts = it->second.attempts;
    const auto done = std::move(it->second.done);
    pending_.erase(it);
    done({outcome, reply, attempts});
}

void leader_router::observe(const std::string& node, const wire::directory& value) {
    if (value.term < leader_term_ || value.leader.empty())
        return;
    // Only the leader itself can confirm its leadership; other nodes just name it.
    if (value.leader == node || value.term > leader_term_ || leader_.empty())
        leader_seen_at_ = clock_.now();
    if (value.leader == node)
        leader_confirmed_at_ = clock_.now();
    const bool changed = value.leader != leader_ || value.term != leader_term_;
    leader_term_ = value.term;
    // Only a leader that may serve lists the members.
    if (value.leader == node && !value.members.empty()) {
        replicas_.clear();
        for (const auto& member : value.members) {
            if (member.node != node)
                replicas_.push_back(member.node);
        }
    }
    if (!changed) {
        if (value.leader == node && !value.members.empty())
            resume_paused();
        return;
    }
    log_event(log_level::info, "leader_changed")
        .field("leader", value.leader)
        .field("term", value.term)
        .field("source", node);
    leader_ = value.leader;
    overdue_calls_ = 0;
    links_.connect(leader_);
    retry_unsent();
}

void leader_router::observe(const std::string& node, const wire::call_reply& value) {
    const auto it = pending_.find(value.id);
    if (it == pending_.end())
        return;
    auto& item = it->second;
    // A refusal of an earlier attempt says nothing about the one that is under way.
    const bool refusal = value.handled && value.status >= first_refusal;
    if (value.handled && (!refusal || item.sent_to == node))
        return finish(value.id, route_outcome::answered, value);
    // The node does not lead and has not executed the request.
    if (item.sent_to != node)
        return;
    ++counters_.declined;
    item.sent_to.clear();
    if (node == leader_ && item.sent_term == leader_term_)
        pause(item);
    else if (is_query(item.request))
        attempt(item);
}

void leader_router::observe_opened(const std::string& node) {
    if (node == leader_)
        retry_unsent();
}

// Queries change nothing, so it does not matter whether they were executed.
void leader_router::lose_attempt(pending_request& item) {
    if (!is_query(item.request)) {
        item.may_have_run = true;
        item.lost_term = std::max(item.lost_term, item.sent_term);
    }
    item.sent_to.clear();
}

void leader_router::observe_closed(const std::string& node) {
    if (node == leader_)
        overdue_calls_ = 0;
    for (auto& [id, item] : pending_) {
        if (item.sent_to == node) {
            lose_attempt(item);
        }
    }
}

void leader_router::retry_unsent() {
    for (auto& [id, item] : pending_) {
        item.declined = 0;
        item.retry_at = 0;
    }
    retry_due();
}

// Once in a term for each request, so that a leader that loses its lease again and again is not
// sent all of them with each announcement.
void leader_router::resume_paused() {
    const auto now = clock_.now();
    for (auto& [id, item] : pending_) {
        const bool paused = item.sent_to.empty() && item.retry_at > now;
        if (!paused || item.resumed_term == leader_term_)
            continue;
        item.resumed_term = leader_term_;
        item.retry_at = 0;
    }
    retry_due();
}

void leader_router::retry_due() {
    const auto now = clock_.now();
    held_requests_ = 0;
    std::vector<std::uint64_t> due_ids;
    for (const auto& [id, item] : pending_) {
        if (item.sent_to.empty() && now >= item.retry_at)
            due_ids.push_back(id);
    }
    for (const auto id : due_ids) {
        const auto it = pending_.find(id);
        if (it != pending_.end())
            attempt(it->second);
    }
}

std::string leader_router::confirmed_leader() const {
    const bool recent = clock_.now() - leader_confirmed_at_ <= leader_expiry;
    return leader_confirmed_at_ != 0 && recent ? leader_ : std::string();
}

bool leader_router::had_leader(time_ms period) const {
    return leader_seen_at_ != 0 && clock_.now() - leader_seen_at_ <= period;
}

void leader_router::process_timeouts() {
    const auto now = clock_.now();
    if (!leader_.empty() && now - leader_seen_at_ > leader_expiry) {
        log_event(log_level::warning, "leader_unknown").field("last", leader_);
        leader_.clear();
    }
    overdue_calls_ = 0;
    std::vector<std::pair<std::uint64_t, route_outcome>> ended;
    for (auto& [id, item] : pending_) {
        const bool unsent = item.sent_to.empty();
        if (now >= item.deadline || (unsent && !leaves_time_for_an_answer(now, item.deadline)))
            ended.emplace_back(id, unsent && !item.may_have_run ? route_outcome::not_run
                                                                : route_outcome::unknown);
        else if (unsent && !item.may_have_run && now >= item.leader_deadline)
            ended.emplace_back(id, route_outcome::not_run);
        else if (!unsent && item.sent_to != leader_ && is_query(item.request) &&
                 now - item.sent_at >= replica_timeout)
            item.sent_to.clear();
        else if (!unsent && now - item.sent_at >= attempt_timeout) {
            if (!std::exchange(item.overdue, true))
                ++counters_.timed_out;
            if (item.sent_term < leader_term_) {
                // The leader of that term drops what it had not committed.
                lose_attempt(item);
            } else if (item.sent_to == leader_)
                ++overdue_calls_;
        }
    }
    for (const auto& [id, outcome] : ended)
        finish(id, outcome, {});
    retry_due();
}

void leader_router::schedule_timer() {
    timer_.expires_after(std::chrono::milliseconds(check_interval));
    timer_.async_wait([this](boost::system::error_code error) {
        if (error)
            return;
        if (!pending_.empty() || !leader_.empty())
            process_timeouts();
        schedule_timer();
    });
}

} // namespace clementine::control
