#include "base/invariant.h"
#include "consensus/core.h"

#include <algorithm>
#include <functional>

namespace clementine::consensus {

// Advances the clock. Voters count a jump only in part, so that neither a frozen process nor a
// clock step shortens the vote denial period; the leader counts it in full, which ends its lease
// early.
void replica::core::advance_clock(time_ms to) {
    // A backward step invalidates the send times that the lease is based on.
    if (to < now && is_leader())
        become_follower(hard.term, 0);
    const auto elapsed = std::max<time_ms>(to - now, 0);
    const auto counted = elapsed > max_tick_interval ? counted_clock_jump : elapsed;
    since_leader_contact += counted;
    since_timer_reset += counted;
    now = to;
}

void replica::core::reset_election_timer() {
    since_timer_reset = 0;
    election_timeout = random.between(election_timeout_min, election_timeout_max);
}

void replica::core::become_follower(term_t new_term, replica_id new_leader) {
    if (new_term > hard.term)
        hard = {.term = new_term, .vote = 0};
    role = replica_role::follower;
    leader = new_leader;
    votes.clear();
    followers.clear();
    transfer_target = 0;
    timeout_now_sent = false;
    reset_election_timer();
}

void replica::core::campaign(bool pre_vote, bool transfer) {
    reset_election_timer();
    if (!is_voter())
        return;
    leader = 0;
    votes.clear();
    auto term = hard.term + 1;
    if (pre_vote) {
        role = replica_role::pre_candidate;
        votes.insert(config.id);
    } else {
        // The own vote counts once it is durable; see writes_synced().
        role = replica_role::candidate;
        hard = {.term = term, .vote = config.id};
    }
    const vote_request request{.last_index = log.last(),
                               .last_term = log.last_term(),
                               .pre_vote = pre_vote,
                               .transfer = transfer};
    for (const auto& each : log.members().members) {
        if (each.voter && each.id != config.id)
            send(each.id, request, term);
    }
    check_votes();
}

bool replica::core::is_quorum(const std::set<replica_id>& ids) const {
    const auto count = std::count_if(ids.begin(), ids.end(),
                                     [this](replica_id id) { return log.members().is_voter(id); });
    return static_cast<std::size_t>(count) >= log.members().quorum();
}

void replica::core::check_votes() {
    if (!is_quorum(votes))
        return;
    if (role == replica_role::pre_candidate)
        campaign(false, false);
    else if (role == replica_role::candidate)
        become_leader();
}

void replica::core::become_leader() {
    role = replica_role::leader;
    leader = config.id;
    elected_at = now;
    uncommitted_bytes = 0;
    for (index_t i = std::max(commit + 1, log.first()); i <= log.last(); ++i)
        uncommitted_bytes += log.at(i).data.size();
    followers.clear();
    update_followers();
    // Entries of earlier terms can only be committed together with an entry of this term.
    term_start_index = append_as_leader(entry_kind::no_op, {}).index;
    for (auto& [id, member] : followers)
        send_append(id, member, true);
}

bool replica::core::log_up_to_date(const vote_request& request) const {
    if (request.last_term != log.last_term())
        return request.last_term > log.last_term();
    return request.last_index >= log.last();
}

// Adopts a newer term from a message. False if the message must not be handled.
bool replica::core::accept_term(const message& received) {
    if (const auto* vote = std::get_if<vote_request>(&received.body)) {
        const bool leader_active =
            is_leader() ? lease_valid(now) : since_leader_contact < vote_denial_period;
        // Otherwise a replica returning from a partition would end the lease of a working leader.
        if (leader_active && !vote->transfer && received.term > hard.term)
            return false;
        if (vote->pre_vote)
            return true;
    }
    if (received.term < hard.term) {
        reject_stale_term(received);
        return false;
    }
    if (const auto* reply = std::get_if<vote_reply>(&received.body)) {
        if (reply->pre_vote && reply->granted)
            return true; // carries the term of an election that has not started yet
    }
    if (received.term > hard.term)
        become_follower(received.term, 0);
    return true;
}

// Replies with the newer term, so that a stale leader or candidate steps down.
void replica::core::reject_stale_term(const message& received) {
    if (std::holds_alternative<append_request>(received.body) ||
        std::holds_alternative<snapshot_chunk>(received.body))
        send(received.from, append_reply{}, hard.term);
    else if (std::holds_alternative<vote_request>(received.body))
        send(received.from, vote_reply{}, hard.term);
}

void replica::core::on(const message& received, const vote_request& body) {
    const bool up_to_date = log_up_to_date(body);
    if (body.pre_vote) {
        const bool granted = received.term > hard.term && up_to_date;
        send(received.from, vote_reply{.granted = granted, .pre_vote = true},
             granted ? received.term : hard.term);
        return;
    }
    const bool can_vote = hard.vote == 0 || hard.vote == received.from;
    const bool granted = can_vote && up_to_date && !is_leader();
    if (granted) {
        hard.vote = received.from;
        reset_election_timer();
    }
    send(received.from, vote_reply{.granted = granted, .pre_vote = false}, hard.term);
}

void replica::core::on(const message& received, const vote_reply& body) {
    if (!body.granted)
        return;
    const bool counts_as_pre_vote =
        role == replica_role::pre_candidate && body.pre_vote && received.term == hard.term + 1;
    const bool counts_as_vote =
        role == replica_role::candidate && !body.pre_vote && received.term == hard.term;
    if (!counts_as_pre_vote && !counts_as_vote)
        return;
    votes.insert(received.from);
    check_votes();
}

void replica::core::on(const message& received, const timeout_now&) {
    if (role == replica_role::follower && leader == received.from)
        campaign(false, true);
}

time_ms replica::core::quorum_sent_at(time_ms at) const {
    std::vector<time_ms> times;
    for (const auto& each : log.members().members) {
        if (!each.voter)
            continue;
        const auto found = followers.find(each.id);
        times.push_back(found == followers.end() ? at : found->second.acked_sent_at);
    }
    std::sort(times.begin(), times.end(), std::greater<>());
    return times[log.members().quorum() - 1];
}

bool replica::core::lease_valid(time_ms at) const {
    if (!is_leader() || at < now || transfer_target != 0)
        return false;
    return at < quorum_sent_at(at) + lease_duration;
}

void replica::core::tick_leader() {
    // A leader without replies from a majority steps down, so that clients look for another one.
    const auto last_quorum_contact = std::max(quorum_sent_at(now), elected_at);
    if (now - last_quorum_contact >= election_timeout_min) {
        become_follower(hard.term, 0);
        return;
    }
    if (transfer_target != 0 && now - transfer_started_at >= transfer_timeout) {
        // After timeout_now the lease cannot resume in this term, so the leader steps down.
        if (timeout_now_sent) {
            become_follower(hard.term, 0);
            return;
        }
        transfer_target = 0;
    }
    for (auto& [id, member] : followers) {
        if (now - member.sent_at >= heartbeat_interval)
            send_heartbeat(id, member);
        const bool responsive = now - member.last_reply_at < election_timeout_min;
        if (member.state == progress_state::snapshot && responsive &&
            now - member.transfer.sent_at >= chunk_resend_interval)
            send_chunk(id, member);
    }
}

std::optional<refusal> replica::core::start_transfer(replica_id to) {
    if (!is_leader())
        return role == replica_role::stopped ? refusal::stopped : refusal::not_leader;
    if (transfer_target != 0)
        return refusal::transferring;
    const auto found = followers.find(to);
    if (found == followers.end() || !log.members().is_voter(to))
        return refusal::unknown_member;
    if (now - found->second.last_reply_at >= election_timeout_min)
        return refusal::not_caught_up;
    transfer_target = to;
    transfer_started_at = now;
    advance_transfer();
    return std::nullopt;
}

// Tells the transfer target to campaign once it has the whole log.
void replica::core::advance_transfer() {
    if (transfer_target == 0 || timeout_now_sent)
        return;
    const auto found = followers.find(transfer_target);
    if (found == followers.end()) {
        transfer_target = 0;
        return;
    }
    if (found->second.match != log.last())
        return;
    timeout_now_sent = true;
    send(transfer_target, timeout_now{}, hard.term);
}

} // namespace clementine::consensus
