#include "control/leader_router.h"

#include "base/log.h"

#include <algorithm>
#include <chrono>
#include <utility>
#include <vector>

namespace clementine::control {

namespace {

constexpr time_ms check_interval{25};
// An attempt without an answer is repeated after this time; a commit takes some 15 ms.
constexpr time_ms attempt_timeout{450};
// Knowledge of a leader that was not confirmed for this long counts as unknown.
constexpr time_ms leader_memory{1'500};

} // namespace

leader_router::leader_router(boost::asio::io_context& loop, const clock_source& clock,
                             cluster_links& links, local_handler local)
    : timer_(loop), clock_(clock), links_(links), local_(std::move(local)) {
    schedule();
}

void leader_router::route(wire::call request, route_limits limits, done_handler done) {
    const auto now = clock_.now();
    request.id = ++last_id_;
    auto& item = pending_[last_id_];
    item.request = std::move(request);
    item.arrived = now;
    item.deadline = now + limits.total;
    item.leader_deadline = now + limits.without_leader;
    if (limits.election > 0)
        item.leader_deadline = std::min(item.leader_deadline, leader_seen_ + limits.election);
    item.done = std::move(done);
    attempt(item);
}

// `item` may be finished and gone afterwards.
void leader_router::attempt(pending& item) {
    const auto id = item.request.id;
    const auto answer = [this, id](const wire::call_reply& reply) {
        if (reply.handled)
            finish(id, route_outcome::answered, reply);
    };
    if (local_) {
        item.sent_to.clear();
        // The answer may come before the call returns.
        if (local_(item.request, answer)) {
            const auto at = pending_.find(id);
            if (at != pending_.end()) {
                at->second.sent_to = "local";
                at->second.sent_at = clock_.now();
            }
            return;
        }
    }
    if (leader_.empty() || !links_.send(leader_, item.request))
        return;
    item.sent_to = leader_;
    item.sent_at = clock_.now();
}

void leader_router::finish(std::uint64_t id, route_outcome outcome, const wire::call_reply& reply) {
    const auto at = pending_.find(id);
    if (at == pending_.end())
        return;
    constexpr std::uint32_t first_refusal = 400;
    if (outcome == route_outcome::answered && reply.status >= first_refusal && at->second.unsure)
        outcome = route_outcome::unknown;
    const auto done = std::move(at->second.done);
    pending_.erase(at);
    done({outcome, reply});
}

void leader_router::observe(const std::string& node, const wire::directory& value) {
    if (value.term < leader_term_ || value.leader.empty())
        return;
    // Only the leader itself confirms that it leads; others point to it.
    if (value.leader == node || value.term > leader_term_ || leader_.empty())
        leader_seen_ = clock_.now();
    if (value.leader == node)
        leader_confirmed_ = clock_.now();
    const bool changed = value.leader != leader_;
    leader_term_ = value.term;
    if (!changed)
        return;
    log_event(log_level::info, "leader_changed")
        .field("leader", value.leader)
        .field("term", value.term)
        .field("told_by", node);
    leader_ = value.leader;
    links_.connect(leader_);
    retry_waiting();
}

void leader_router::observe(const std::string& node, const wire::call_reply& value) {
    const auto at = pending_.find(value.id);
    if (at == pending_.end())
        return;
    if (value.handled)
        return finish(value.id, route_outcome::answered, value);
    // The node does not lead and has done nothing.
    if (at->second.sent_to == node)
        at->second.sent_to.clear();
}

void leader_router::observe_opened(const std::string& node) {
    if (node == leader_)
        retry_waiting();
}

void leader_router::observe_closed(const std::string& node) {
    for (auto& [id, item] : pending_) {
        if (item.sent_to == node) {
            item.unsure = true;
            item.sent_to.clear();
        }
    }
}

void leader_router::retry_waiting() {
    std::vector<std::uint64_t> waiting;
    for (const auto& [id, item] : pending_) {
        if (item.sent_to.empty())
            waiting.push_back(id);
    }
    for (const auto id : waiting) {
        const auto at = pending_.find(id);
        if (at != pending_.end())
            attempt(at->second);
    }
}

std::string leader_router::confirmed_leader() const {
    const bool recent = clock_.now() - leader_confirmed_ <= leader_memory;
    return leader_confirmed_ != 0 && recent ? leader_ : std::string();
}

bool leader_router::had_leader(time_ms within) const {
    return leader_seen_ != 0 && clock_.now() - leader_seen_ <= within;
}

void leader_router::check_time() {
    const auto now = clock_.now();
    if (!leader_.empty() && now - leader_seen_ > leader_memory) {
        log_event(log_level::warning, "leader_unknown").field("last", leader_);
        leader_.clear();
    }
    std::vector<std::pair<std::uint64_t, route_outcome>> over;
    for (auto& [id, item] : pending_) {
        const bool waits = item.sent_to.empty();
        if (now >= item.deadline)
            over.emplace_back(id, waits && !item.unsure ? route_outcome::not_run
                                                        : route_outcome::unknown);
        else if (waits && !item.unsure && now >= item.leader_deadline)
            over.emplace_back(id, route_outcome::not_run);
        else if (!waits && now - item.sent_at >= attempt_timeout) {
            item.unsure = true;
            item.sent_to.clear();
        }
    }
    for (const auto& [id, outcome] : over)
        finish(id, outcome, {});
    retry_waiting();
}

void leader_router::schedule() {
    timer_.expires_after(std::chrono::milliseconds(check_interval));
    timer_.async_wait([this](boost::system::error_code error) {
        if (error)
            return;
        if (!pending_.empty() || !leader_.empty())
            check_time();
        schedule();
    });
}

} // namespace clementine::control
