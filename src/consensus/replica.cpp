#include "consensus/replica.h"

#include "base/invariant.h"
#include "consensus/core.h"

#include <algorithm>
#include <iterator>

namespace clementine::consensus {

replica::core::core(const replica_config& settings, durable_state recovered, time_ms start_time)
    : config(settings), random(settings.seed), hard(recovered.state),
      last_taken_state(recovered.state), log(recovered), now(start_time) {
    commit = log.snap()->index;
    applied = commit;
    stable = log.last();
    persist_from = log.last() + 1;
    // Starts since_leader_contact at 0: a vote denial period from before a restart may still run.
    reset_election_timer();
}

void replica::core::send(replica_id to, message_body body, term_t message_term) {
    messages.push_back(
        {.from = config.id, .to = to, .term = message_term, .body = std::move(body)});
}

replica::replica(const replica_config& config, durable_state recovered, time_ms now)
    : core_(std::make_unique<core>(config, std::move(recovered), now)) {}

replica::~replica() = default;

void replica::step(const message& received, time_ms now) {
    auto& c = *core_;
    if (c.role == replica_role::stopped || received.to != c.config.id)
        return;
    c.advance_clock(now);
    if (!c.accept_term(received))
        return;
    std::visit([&](const auto& body) { c.on(received, body); }, received.body);
}

void replica::tick(time_ms now) {
    auto& c = *core_;
    if (c.role == replica_role::stopped)
        return;
    c.advance_clock(now);
    if (c.is_leader())
        c.tick_leader();
    else if (c.since_timer_reset >= c.election_timeout)
        c.campaign(true, false);
}

propose_result replica::propose(std::string data) {
    return core_->propose(entry_kind::command, std::move(data));
}

propose_result replica::propose_change(const membership_change& change) {
    return core_->change_members(change);
}

std::optional<refusal> replica::transfer_leadership(replica_id to) {
    return core_->start_transfer(to);
}

std::optional<refusal> replica::transfer_leadership() {
    const auto& c = *core_;
    replica_id best = 0;
    index_t best_match = 0;
    for (const auto& [id, member] : c.followers) {
        const bool eligible =
            c.log.members().is_voter(id) && c.now - member.last_reply_at < election_timeout_min;
        if (eligible && (best == 0 || member.match > best_match)) {
            best = id;
            best_match = member.match;
        }
    }
    if (c.is_leader() && best == 0)
        return refusal::not_caught_up;
    return core_->start_transfer(best);
}

read_result replica::read(time_ms now) const {
    const auto& c = *core_;
    if (c.role == replica_role::stopped)
        return refusal::stopped;
    if (!c.is_leader())
        return refusal::not_leader;
    if (!holds_lease(now))
        return refusal::no_lease;
    return read_index{.index = c.commit};
}

index_t replica::term_start_index() const {
    return core_->term_start_index;
}

bool replica::holds_lease(time_ms now) const {
    // Before its first commit in the term, a leader may not know all committed entries.
    return core_->lease_valid(now) && core_->committed_in_term();
}

bool replica::has_ready() const {
    const auto& c = *core_;
    if (c.ready_outstanding || c.role == replica_role::stopped)
        return false;
    if (c.hard != c.last_taken_state || c.snapshot_pending || c.persist_from <= c.log.last() ||
        !c.messages.empty() || std::min(c.commit, c.stable) > c.applied)
        return true;
    return std::any_of(c.followers.begin(), c.followers.end(),
                       [&](const auto& each) { return c.can_send(each.second); });
}

ready replica::take_ready() {
    auto& c = *core_;
    ready out;
    if (!has_ready())
        return out;
    c.ready_outstanding = true;
    for (auto& [id, member] : c.followers)
        c.send_entries(id, member);
    if (c.hard != c.last_taken_state) {
        out.state = c.hard;
        c.last_taken_state = c.hard;
    }
    if (c.snapshot_pending) {
        out.snap = *c.log.snap();
        out.install = c.install_pending;
        out.reset_log = c.install_pending;
        out.first_kept = c.log.first();
        c.snapshot_pending = false;
        c.install_pending = false;
    }
    for (; c.persist_from <= c.log.last(); ++c.persist_from)
        out.append.push_back(c.log.at(c.persist_from));
    out.committed = c.take_committed();
    out.messages.swap(c.messages);
    c.state_outstanding = out.state.has_value();
    c.install_outstanding = out.install;
    c.committed_outstanding = !out.committed.empty();
    return out;
}

immediate_work replica::take_immediate() {
    auto& c = *core_;
    immediate_work out;
    if (c.role == replica_role::stopped)
        return out;
    // Entries in the outstanding work are applied first, those after a received snapshot later.
    if (!c.install_pending && !c.install_outstanding && !c.committed_outstanding)
        out.committed = c.take_committed();
    // A leader of a term that is not durable may vote again in that term after a restart.
    if (!c.is_leader() || c.state_outstanding || c.hard != c.last_taken_state)
        return out;
    for (auto& [id, member] : c.followers)
        c.send_entries(id, member);
    const auto waits_for_writes = [&](const message& value) {
        return value.term != c.hard.term || !(std::holds_alternative<append_request>(value.body) ||
                                              std::holds_alternative<snapshot_chunk>(value.body));
    };
    const auto first =
        std::stable_partition(c.messages.begin(), c.messages.end(), waits_for_writes);
    out.messages.assign(std::make_move_iterator(first), std::make_move_iterator(c.messages.end()));
    c.messages.erase(first, c.messages.end());
    return out;
}

void replica::writes_synced(const ready& done) {
    auto& c = *core_;
    if (c.role == replica_role::stopped)
        return;
    c.ready_outstanding = c.state_outstanding = false;
    c.install_outstanding = c.committed_outstanding = false;
    if (!done.append.empty()) {
        const auto& last = done.append.back();
        // Entries that were replaced in the log since take_ready() do not count as durable.
        if (c.log.term_at(last.index) == last.term)
            c.stable = std::max(c.stable, last.index);
    }
    const bool own_vote_durable =
        done.state && done.state->term == c.hard.term && done.state->vote == c.config.id;
    if (own_vote_durable && c.role == replica_role::candidate) {
        c.votes.insert(c.config.id);
        c.check_votes();
    }
    c.advance_commit();
}

void replica::storage_failed() {
    auto& c = *core_;
    c.become_follower(c.hard.term, 0);
    c.role = replica_role::stopped;
    c.messages.clear();
}

void replica::take_snapshot(index_t index, std::string data) {
    auto& c = *core_;
    if (c.role == replica_role::stopped || index <= c.log.snap()->index || index > c.applied)
        return;
    auto taken = std::make_shared<const snapshot>(snapshot{.index = index,
                                                           .term = c.log.term_at(index),
                                                           .membership = c.log.members_at(index),
                                                           .data = std::move(data)});
    const auto trailing = std::min<index_t>(c.config.trailing_entries, index);
    const auto first_allowed = std::max(c.log.first(), index + 1 - trailing);
    auto first_kept = index + 1;
    for (std::size_t bytes = 0; first_kept > first_allowed; --first_kept) {
        bytes += c.log.at(first_kept - 1).data.size();
        if (bytes > max_trailing_bytes)
            break;
    }
    c.log.compact(std::move(taken), first_kept);
    c.snapshot_pending = true;
}

replica_status replica::status() const {
    const auto& c = *core_;
    replica_status out{.id = c.config.id,
                       .role = c.role,
                       .term = c.hard.term,
                       .leader = c.leader,
                       .first = c.log.first(),
                       .last = c.log.last(),
                       .commit = c.commit,
                       .applied = c.applied,
                       .snapshot = c.log.snap()->index,
                       .change_pending = c.log.members_index() > c.commit,
                       .membership = c.log.members(),
                       .progress = {}};
    for (const auto& [id, member] : c.followers) {
        out.progress.push_back({.id = id,
                                .match = member.match,
                                .active = c.now - member.last_reply_at < election_timeout_min,
                                .caught_up = c.caught_up(member),
                                .in_snapshot = member.state == progress_state::snapshot});
    }
    return out;
}

const membership& replica::members() const {
    return core_->log.members();
}

log_position replica::members_position() const {
    const auto index = core_->log.members_index();
    return {.index = index, .term = core_->log.term_at(index)};
}

const membership& replica::committed_members() const {
    return core_->log.members_at(core_->commit);
}

replica_role replica::role() const {
    return core_->role;
}

term_t replica::term() const {
    return core_->hard.term;
}

replica_id replica::leader() const {
    return core_->leader;
}

index_t replica::commit_index() const {
    return core_->commit;
}

term_t replica::term_at(index_t index) const {
    return core_->log.term_at(index);
}

replica_id random_replica_id(random_source& random) {
    for (;;) {
        const auto id = random.next();
        if (id >= first_random_id)
            return id;
    }
}

} // namespace clementine::consensus
