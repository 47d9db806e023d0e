#include "soak/checks.h"

#include "base/hash.h"

#include <algorithm>

namespace clementine::consensus {

namespace {

std::string format_fields(std::initializer_list<std::pair<const char*, std::uint64_t>> fields) {
    std::string out;
    for (const auto& [name, value] : fields)
        out += (out.empty() ? "" : " ") + std::string(name) + "=" + std::to_string(value);
    return out;
}

std::uint64_t hash_of(const entry& value) {
    return hash64(value.data, static_cast<std::uint64_t>(value.kind));
}

} // namespace

void invariant_checker::expect(bool condition, const char* invariant, const std::string& details) {
    ++check_count_;
    if (condition || failed())
        return;
    failed_invariant_ = invariant;
    details_ = details;
}

void invariant_checker::entries_appended(replica_id id, const replica& core, const ready& work) {
    for (const auto& each : work.append) {
        const auto hash = hash_of(each);
        const auto previous = core.term_at(each.index - 1);
        const auto [found, inserted] =
            entries_.try_emplace({each.index, each.term}, std::pair(hash, previous));
        const auto& [known_hash, known_previous] = found->second;
        const bool same_previous =
            previous == 0 || known_previous == 0 || previous == known_previous;
        expect(known_hash == hash && same_previous, "log_matching",
               format_fields({{"replica", id}, {"index", each.index}, {"term", each.term}}));
    }
}

void invariant_checker::message_sent(replica_id id, const message& value) {
    const auto* reply = std::get_if<vote_reply>(&value.body);
    if (reply == nullptr || !reply->granted || reply->pre_vote)
        return;
    const auto [found, inserted] = votes_.try_emplace({id, value.term}, value.to);
    expect(
        found->second == value.to, "one_vote_per_term",
        format_fields(
            {{"replica", id}, {"term", value.term}, {"for", value.to}, {"before", found->second}}));
}

void invariant_checker::leader_observed(replica_id id, const replica& core) {
    const auto [found, inserted] = leaders_.try_emplace(core.term(), id);
    expect(found->second == id, "one_leader_per_term",
           format_fields({{"term", core.term()}, {"first", found->second}, {"second", id}}));
    if (!compared_leaders_.insert({id, core.term()}).second)
        return;
    // A new leader must have every entry committed in an earlier term. A replica that receives its
    // votes late may lead an old term without the entries of a newer one.
    index_t committed = 0;
    for (const auto& [leader, commit] : leader_commits_) {
        if (leader.second < core.term())
            committed = std::max(committed, commit);
    }
    const auto status = core.status();
    bool all = status.last >= committed;
    for (auto at = committed_.lower_bound(status.first);
         all && at != committed_.end() && at->first <= committed; ++at)
        all = core.term_at(at->first) == at->second.term;
    expect(all, "committed_never_lost",
           format_fields({{"leader", id},
                          {"term", core.term()},
                          {"last", status.last},
                          {"committed", committed}}));
}

void invariant_checker::commit_advanced(replica_id id, const replica& core) {
    auto& known = leader_commits_[{id, core.term()}];
    const auto commit = core.commit_index();
    // An entry of an earlier term was checked when its own leader committed it.
    if (commit <= known || core.term_at(commit) != core.term())
        return;
    known = commit;
    const auto& members = core.members();
    const auto synced_voters =
        std::count_if(members.members.begin(), members.members.end(), [&](const member& each) {
            return each.voter && durable_[each.id] >= commit;
        });
    expect(static_cast<std::size_t>(synced_voters) >= members.quorum(), "committed_on_majority",
           format_fields({{"leader", id}, {"commit", commit}, {"synced_by", synced_voters}}));
}

void invariant_checker::entry_applied(replica_id id, const entry& value) {
    const stored_entry now{.term = value.term, .hash = hash_of(value)};
    const auto [found, inserted] = committed_.try_emplace(value.index, now);
    expect(found->second.term == now.term && found->second.hash == now.hash, "committed_never_lost",
           format_fields({{"replica", id},
                          {"index", value.index},
                          {"term", value.term},
                          {"committed_term", found->second.term}}));
}

void invariant_checker::state_reached(replica_id id, index_t index, std::uint64_t hash) {
    const auto [found, inserted] = states_.try_emplace(index, hash);
    expect(found->second == hash, "equal_state_at_equal_index",
           format_fields({{"replica", id}, {"index", index}}));
}

void invariant_checker::learner_promoted(replica_id learner, index_t durable, index_t commit) {
    expect(durable >= commit, "learner_synced_before_it_votes",
           format_fields({{"learner", learner}, {"durable", durable}, {"commit", commit}}));
}

std::uint64_t invariant_checker::operation_started(std::uint64_t request_id, std::int64_t now) {
    operations_[request_id] = {.started_at = now, .min_version = highest_version_};
    return highest_version_;
}

void invariant_checker::check_version(std::uint64_t request_id, std::uint64_t version,
                                      std::uint64_t writer, std::int64_t now) {
    const auto& own = operations_[request_id];
    expect(version >= own.min_version, "linearizable",
           format_fields(
               {{"request", request_id}, {"version", version}, {"ended_before", own.min_version}}));
    if (version > 0) {
        const auto [found, inserted] = writers_.try_emplace(version, writer);
        expect(found->second == writer, "one_writer_per_version",
               format_fields({{"version", version}, {"first", found->second}, {"second", writer}}));
        const auto made = operations_.find(writer);
        expect(made != operations_.end() && made->second.started_at <= now, "linearizable",
               format_fields({{"request", request_id}, {"version", version}, {"writer", writer}}));
    }
    highest_version_ = std::max(highest_version_, version);
    ++finished_operations_;
}

void invariant_checker::write_finished(std::uint64_t request_id, const register_answer& answer,
                                       std::int64_t now) {
    const auto [found, inserted] = answers_.try_emplace(request_id, answer);
    expect(found->second == answer, "one_answer_per_request",
           format_fields({{"request", request_id},
                          {"version", answer.version},
                          {"first_version", found->second.version}}));
    if (!inserted)
        return;
    if (answer.accepted) {
        ++accepted_writes_;
        expect(answer.version > operations_[request_id].min_version && answer.writer == request_id,
               "linearizable", format_fields({{"request", request_id}, {"wrote", answer.version}}));
    }
    check_version(request_id, answer.version, answer.writer, now);
}

void invariant_checker::read_finished(std::uint64_t request_id, std::uint64_t version,
                                      std::uint64_t writer, std::int64_t now) {
    check_version(request_id, version, writer, now);
}

} // namespace clementine::consensus
