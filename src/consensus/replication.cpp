#include "base/hash.h"
#include "base/invariant.h"
#include "consensus/core.h"

#include <algorithm>
#include <functional>

namespace clementine::consensus {

namespace {

// True if the entries follow `prev_index` without gaps, each has a term, and memberships decode.
bool well_formed(const append_request& body) {
    auto expected = body.prev_index + 1;
    for (const auto& each : body.entries) {
        if (each.index != expected++ || each.term == 0)
            return false;
        if (each.kind == entry_kind::membership && !decode_membership(each.data))
            return false;
    }
    return body.prev_index != 0 || body.entries.empty();
}

} // namespace

// Handles an append at a follower. The reply is sent only after the entries are durable.
void replica::core::on(const message& received, const append_request& body) {
    CLEMENTINE_INVARIANT(!is_leader(), "one_leader_per_term");
    if (is_leader() || !well_formed(body))
        return;
    if (role != replica_role::follower || leader != received.from)
        become_follower(hard.term, received.from);
    since_leader_contact = 0;
    since_timer_reset = 0;

    append_reply reply{.prev_index = body.prev_index, .sent_at = body.sent_at};
    if (body.prev_index > log.last()) {
        reply.hint_index = log.last() + 1;
    } else if (body.prev_index > commit && log.term_at(body.prev_index) != body.prev_term) {
        reply.hint_term = log.term_at(body.prev_index);
        reply.hint_index = log.first_with_same_term(body.prev_index);
    } else {
        store_entries(body);
        reply.accepted = true;
        reply.match = body.prev_index + body.entries.size();
        set_commit(std::max(commit, std::min(body.commit, reply.match)));
    }
    send(received.from, reply, hard.term);
}

// Appends entries after a matching position, and truncates local entries that conflict.
void replica::core::store_entries(const append_request& body) {
    for (const auto& each : body.entries) {
        if (each.index <= commit)
            continue; // committed entries are the same on all replicas
        if (each.index <= log.last()) {
            if (log.term_at(each.index) == each.term)
                continue;
            CLEMENTINE_INVARIANT(each.index > commit, "committed_never_truncated");
            log.truncate(each.index);
            stable = std::min(stable, each.index - 1);
            persist_from = std::min(persist_from, each.index);
        }
        log.append(each);
    }
}

void replica::core::record_reply(progress& from, time_ms sent_at) {
    from.last_reply_at = now;
    // A send time in the future predates a backward clock step and must not renew the lease.
    if (sent_at <= now)
        from.acked_sent_at = std::max(from.acked_sent_at, sent_at);
}

void replica::core::on(const message& received, const append_reply& body) {
    const auto found = followers.find(received.from);
    if (!is_leader() || found == followers.end())
        return;
    auto& member = found->second;
    record_reply(member, body.sent_at);
    if (body.accepted) {
        if (body.match > log.last())
            return;
        member.on_accepted(body.match);
        advance_commit();
        advance_transfer();
        return;
    }
    const bool stale = member.state == progress_state::snapshot ||
                       body.prev_index <= member.match || body.prev_index >= member.next;
    if (stale)
        return;
    // Each mismatch skips one term of the member's log instead of one entry.
    auto next = body.hint_index;
    if (body.hint_term != 0) {
        const auto same_term = log.last_with_term(body.hint_term, body.prev_index);
        if (same_term != 0)
            next = same_term + 1;
    }
    member.on_rejected(std::clamp<index_t>(next, 1, body.prev_index));
}

void replica::core::on(const message& received, const snapshot_chunk& body) {
    CLEMENTINE_INVARIANT(!is_leader(), "one_leader_per_term");
    if (is_leader())
        return;
    if (role != replica_role::follower || leader != received.from)
        become_follower(hard.term, received.from);
    since_leader_contact = 0;
    since_timer_reset = 0;

    snapshot_reply reply{.index = body.index, .sent_at = body.sent_at};
    if (body.index <= commit) {
        reply.installed = true;
        send(received.from, reply, hard.term);
        return;
    }
    const bool same_transfer = incoming && incoming->from == received.from &&
                               incoming->index == body.index && incoming->term == body.term &&
                               incoming->checksum == body.checksum &&
                               incoming->total_bytes == body.total_bytes;
    if (!same_transfer) {
        incoming = incoming_snapshot{.from = received.from,
                                     .index = body.index,
                                     .term = body.term,
                                     .total_bytes = body.total_bytes,
                                     .checksum = body.checksum,
                                     .data = {}};
    }
    if (body.offset == incoming->data.size())
        incoming->data += body.data;
    if (incoming->data.size() >= body.total_bytes) {
        auto complete = std::move(*incoming);
        incoming.reset();
        if (complete.data.size() == body.total_bytes && crc32c(complete.data) == body.checksum) {
            install_snapshot(std::move(complete), body.membership);
            reply.installed = true;
        }
    }
    reply.next_offset = incoming ? incoming->data.size() : 0;
    send(received.from, reply, hard.term);
}

// Installs a complete snapshot that is past the commit index.
void replica::core::install_snapshot(incoming_snapshot complete, const membership& members) {
    if (log.term_at(complete.index) == complete.term) {
        // The log already contains the entries up to the snapshot, so they are applied instead.
        set_commit(complete.index);
        return;
    }
    CLEMENTINE_INVARIANT(complete.index > applied, "snapshot_never_backwards");
    log.reset(std::make_shared<const snapshot>(snapshot{.index = complete.index,
                                                        .term = complete.term,
                                                        .membership = members,
                                                        .data = std::move(complete.data)}));
    commit = complete.index;
    applied = complete.index;
    stable = complete.index;
    persist_from = complete.index + 1;
    snapshot_pending = true;
    install_pending = true;
}

void replica::core::on(const message& received, const snapshot_reply& body) {
    const auto found = followers.find(received.from);
    if (!is_leader() || found == followers.end())
        return;
    auto& member = found->second;
    record_reply(member, body.sent_at);
    if (member.state != progress_state::snapshot || member.transfer.snap->index != body.index)
        return;
    if (body.installed) {
        member.end_snapshot(body.index);
        advance_commit();
        return;
    }
    if (body.next_offset == member.transfer.offset ||
        body.next_offset > member.transfer.snap->data.size())
        return;
    member.transfer.offset = body.next_offset;
    send_chunk(received.from, member);
}

const entry& replica::core::append_as_leader(entry_kind kind, std::string data) {
    uncommitted_bytes += data.size();
    log.append({.index = log.last() + 1, .term = hard.term, .kind = kind, .data = std::move(data)});
    return log.back();
}

propose_result replica::core::propose(entry_kind kind, std::string data) {
    if (role == replica_role::stopped)
        return refusal::stopped;
    if (!is_leader())
        return refusal::not_leader;
    if (transfer_target != 0)
        return refusal::transferring;
    if (data.size() > max_entry_bytes)
        return refusal::too_large;
    if (uncommitted_bytes + data.size() > config.max_uncommitted_bytes ||
        log.last() - commit >= config.max_uncommitted_entries)
        return refusal::overloaded;
    const auto& added = append_as_leader(kind, std::move(data));
    return log_position{.index = added.index, .term = added.term};
}

namespace {

// Applies a change to a membership, or returns the reason for refusing it.
struct change_applier {
    membership& target;
    replica_id leader;

    std::optional<refusal> operator()(const add_learner& change) const {
        if (change.id == 0 || target.find(change.id) != nullptr)
            return refusal::duplicate_member;
        target.members.push_back({.id = change.id, .node = change.node, .voter = false});
        std::sort(target.members.begin(), target.members.end(),
                  [](const member& a, const member& b) { return a.id < b.id; });
        return std::nullopt;
    }
    std::optional<refusal> operator()(const promote_learner& change) const {
        for (auto& each : target.members) {
            if (each.id == change.id && !each.voter) {
                each.voter = true;
                return std::nullopt;
            }
        }
        return refusal::unknown_member;
    }
    std::optional<refusal> operator()(const remove_member& change) const {
        if (change.id == leader)
            return refusal::is_leader;
        const auto removed =
            std::erase_if(target.members, [&](const member& each) { return each.id == change.id; });
        if (removed == 0)
            return refusal::unknown_member;
        return target.voter_count() == 0 ? std::optional(refusal::last_voter) : std::nullopt;
    }
};

} // namespace

// Majorities of two memberships that differ by one change always overlap. They may not overlap with
// two pending changes, or with a change on top of an entry that an old term may still replace.
propose_result replica::core::change_members(const membership_change& change) {
    if (role == replica_role::stopped)
        return refusal::stopped;
    if (!is_leader())
        return refusal::not_leader;
    if (!committed_in_term() || log.members_index() > commit)
        return refusal::change_pending;
    if (const auto* promote = std::get_if<promote_learner>(&change)) {
        const auto found = followers.find(promote->id);
        if (found != followers.end() && !caught_up(found->second))
            return refusal::not_caught_up;
    }
    auto changed = log.members();
    if (auto refused = std::visit(change_applier{changed, config.id}, change))
        return *refused;
    const auto result = propose(entry_kind::membership, encode(changed));
    if (std::holds_alternative<log_position>(result)) {
        update_followers();
        advance_commit();
    }
    return result;
}

// Updates the set of followers to the current membership.
void replica::core::update_followers() {
    std::erase_if(followers,
                  [this](const auto& each) { return log.members().find(each.first) == nullptr; });
    for (const auto& each : log.members().members) {
        if (each.id == config.id || followers.contains(each.id))
            continue;
        progress added;
        added.next = log.last() + 1;
        followers.emplace(each.id, std::move(added));
    }
}

bool replica::core::caught_up(const progress& member) const {
    return member.match >= commit && now - member.last_reply_at < election_timeout_min;
}

// Commits entries that are durable at a majority of voters, including the leader's own disk. Only
// entries of the current term are counted; earlier ones are committed with them.
void replica::core::advance_commit() {
    if (!is_leader())
        return;
    std::vector<index_t> durable;
    for (const auto& each : log.members().members) {
        if (!each.voter)
            continue;
        const auto found = followers.find(each.id);
        durable.push_back(found == followers.end() ? stable : found->second.match);
    }
    std::sort(durable.begin(), durable.end(), std::greater<>());
    const auto index = durable[log.members().quorum() - 1];
    if (index > commit && log.term_at(index) == hard.term)
        set_commit(index);
}

// Takes committed entries that are durable here, up to `max_committed_bytes`.
std::vector<entry> replica::core::take_committed() {
    std::vector<entry> out;
    std::size_t bytes = 0;
    while (applied < std::min(commit, stable) && bytes < max_committed_bytes) {
        out.push_back(log.at(++applied));
        bytes += out.back().data.size();
    }
    return out;
}

void replica::core::set_commit(index_t to) {
    if (is_leader()) {
        for (auto i = commit + 1; i <= to; ++i)
            uncommitted_bytes -= log.at(i).data.size();
    }
    CLEMENTINE_INVARIANT(to >= commit && to <= log.last(), "commit_index_in_log");
    commit = to;
}

bool replica::core::can_send(const progress& member) const {
    switch (member.state) {
    case progress_state::probe:
        return !member.probe_in_flight && member.next <= log.last();
    case progress_state::replicate:
        return member.next <= log.last() && member.inflight.size() < config.max_inflight_appends;
    case progress_state::snapshot:
        return false;
    }
    return false;
}

void replica::core::send_entries(replica_id to, progress& member) {
    while (can_send(member))
        send_append(to, member, true);
}

void replica::core::send_append(replica_id to, progress& member, bool with_entries) {
    append_request request{.prev_index = member.next - 1,
                           .prev_term = log.term_at(member.next - 1),
                           .commit = commit,
                           .sent_at = now,
                           .entries = {}};
    if (request.prev_term == 0) {
        member.start_snapshot(log.snap(), crc32c(log.snap()->data));
        send_chunk(to, member);
        return;
    }
    std::size_t bytes = 0;
    for (auto i = member.next; with_entries && i <= log.last(); ++i) {
        const auto& each = log.at(i);
        bytes += each.data.size();
        const bool limit_reached =
            request.entries.size() >= config.max_append_entries || bytes > config.max_append_bytes;
        if (limit_reached && !request.entries.empty())
            break;
        request.entries.push_back(each);
    }
    if (member.state == progress_state::probe) {
        member.probe_in_flight = true;
    } else if (!request.entries.empty()) {
        member.next += request.entries.size();
        member.inflight.push_back(member.next - 1);
    }
    member.sent_at = now;
    send(to, std::move(request), hard.term);
}

// Sends an append without entries. It carries the commit index and renews the lease; its reply
// reveals whether earlier appends were lost.
void replica::core::send_heartbeat(replica_id to, progress& member) {
    if (member.state != progress_state::snapshot) {
        send_append(to, member, false);
        return;
    }
    // The member's log is unknown, so the heartbeat uses index 0, which matches every log.
    member.sent_at = now;
    append_request request;
    request.sent_at = now;
    send(to, std::move(request), hard.term);
}

void replica::core::send_chunk(replica_id to, progress& member) {
    auto& transfer = member.transfer;
    const auto& source = *transfer.snap;
    transfer.sent_at = now;
    member.sent_at = now;
    send(to,
         snapshot_chunk{.index = source.index,
                        .term = source.term,
                        .membership = source.membership,
                        .total_bytes = source.data.size(),
                        .checksum = transfer.checksum,
                        .offset = transfer.offset,
                        .sent_at = now,
                        .data = source.data.substr(transfer.offset, snapshot_chunk_bytes)},
         hard.term);
}

} // namespace clementine::consensus
