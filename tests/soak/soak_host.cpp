#include "soak/soak_host.h"

#include <algorithm>

namespace clementine::consensus {

namespace {

constexpr index_t state_check_interval = 8;

} // namespace

soak_host::soak_host(std::size_t number, host_environment& environment, const host_tuning& tuning,
                     std::uint64_t seed)
    : files(seed), number_(number), environment_(environment), tuning_(tuning), seed_(seed) {}

void soak_host::start(const std::optional<std::pair<replica_id, snapshot>>& first) {
    if (running())
        return;
    ++incarnation_;
    storage_ = std::make_unique<storage>(
        files, storage_config{
                   .folder = "data", .cluster = "soak", .segment_bytes = tuning_.segment_bytes});
    auto report = storage_->open();
    if (report.status == storage_status::empty || report.status == storage_status::corrupt) {
        corrupt_starts += report.status == storage_status::corrupt ? 1 : 0;
        const auto id = first ? first->first : random_replica_id(*environment_.random);
        const auto snap = first ? first->second : snapshot{};
        if (storage_->set_up(id, snap)) {
            stop(files.stopped());
            return;
        }
        report.id = id;
        report.state = {.state = {.term = snap.term, .vote = 0}, .snap = snap, .entries = {}};
        report.status = storage_status::ready;
    }
    if (report.status != storage_status::ready) {
        stop(files.stopped());
        return;
    }
    if (report.id != id_)
        synced_ = {};
    id_ = report.id;
    environment_.checker->expect(machine_.load(report.state.snap.data), "snapshot_readable",
                                 node());
    applied_ = report.state.snap.index;
    snapshot_at_ = applied_;
    check_recovered(report.state);
    replica_config config{.id = id_, .seed = seed_ + incarnation_};
    config.trailing_entries = tuning_.trailing_entries;
    config.max_append_entries = 16;
    core_ = std::make_unique<replica>(config, std::move(report.state), local_time());
    state_ = host_state::running;
    check_replica();
}

void soak_host::stop(bool lose_unsynced) {
    state_ = host_state::down;
    ++incarnation_;
    core_.reset();
    storage_.reset();
    // An interrupted save may have replaced entries from this index on.
    if (work_ && !work_->append.empty() && work_->append.front().index <= synced_.last)
        synced_.last = 0;
    if (work_ && work_->reset_log)
        synced_.last = 0;
    work_.reset();
    writes_.clear();
    reads_.clear();
    if (lose_unsynced)
        files.crash();
    else
        files.kill();
}

// Checks that state reported as synced, or newer state, is there after a restart.
void soak_host::check_recovered(const durable_state& found) {
    const auto last = found.entries.empty() ? found.snap.index : found.entries.back().index;
    const auto last_term = found.entries.empty() ? found.snap.term : found.entries.back().term;
    const auto& old = synced_;
    const bool same_vote = found.state.vote == old.state.vote || old.state.vote == 0;
    environment_.checker->expect(found.state.term > old.state.term ||
                                     (found.state.term == old.state.term && same_vote),
                                 "synced_state_survives", node());
    bool has_last = last >= old.last;
    if (has_last && old.last > found.snap.index)
        has_last = found.entries[old.last - found.entries.front().index].term == old.last_term;
    environment_.checker->expect(has_last, "synced_entries_survive", node());
    synced_ = {.state = found.state, .last = last, .last_term = last_term};
    environment_.checker->log_synced(id_, last);
}

void soak_host::record_synced(const ready& work) {
    if (work.state)
        synced_.state = *work.state;
    if (work.reset_log) {
        synced_.last = work.snap->index;
        synced_.last_term = work.snap->term;
    }
    if (!work.append.empty()) {
        synced_.last = work.append.back().index;
        synced_.last_term = work.append.back().term;
    }
    environment_.checker->log_synced(id_, synced_.last);
}

// Checks the replica after each input.
void soak_host::check_replica() {
    if (core_->members() != members_)
        members_ = core_->members();
    if (core_->role() == replica_role::leader)
        environment_.checker->leader_observed(id_, *core_);
    if (core_->role() == replica_role::leader)
        environment_.checker->commit_advanced(id_, *core_);
}

void soak_host::receive(const message& received) {
    core_->step(received, local_time());
    check_replica();
}

void soak_host::tick() {
    core_->tick(local_time());
    check_replica();
}

void soak_host::serve(const client_request& request) {
    if (!request.write) {
        const auto result = core_->read(local_time());
        if (const auto* point = std::get_if<read_index>(&result)) {
            reads_.push_back({point->index, request.client, request.request_id});
            answer_reads();
            return;
        }
    } else {
        const auto result = core_->propose(
            encode(register_write{.request_id = request.request_id, .base = request.base}));
        if (const auto* place = std::get_if<log_position>(&result)) {
            writes_[place->index] = {place->term, request.client, request.request_id};
            return;
        }
    }
    environment_.answer(number_, request.client,
                        {.request_id = request.request_id,
                         .write = request.write,
                         .result = {},
                         .redirect = core_->leader()});
}

// A replacement joins as a learner, catches up and then replaces the old replicas of its node. If
// the old replica is removed before the promotion, a second loss right after it happens with three
// voters.
void soak_host::join(replica_id id, const std::string& node) {
    if (core_->role() != replica_role::leader)
        return;
    const auto status = core_->status();
    const auto* own = status.membership.find(id);
    const bool caught_up =
        std::any_of(status.progress.begin(), status.progress.end(),
                    [id](const auto& each) { return each.id == id && each.caught_up; });
    const bool may_remove =
        own != nullptr && (own->voter || (caught_up && !environment_.promote_before_removal));
    bool replaces_voter = false;
    for (const auto& each : status.membership.members) {
        const bool replaced = each.node == node && each.id != id;
        if (replaced && (!each.voter || may_remove)) {
            change(remove_member{each.id});
            return;
        }
        replaces_voter = replaces_voter || replaced;
    }
    if (own == nullptr)
        change(add_learner{.id = id, .node = node});
    else if (!own->voter &&
             (replaces_voter || status.membership.voter_count() < environment_.max_voters))
        promote(id, status.commit);
    check_replica();
}

bool soak_host::change(const membership_change& wanted) {
    const auto before = core_->status();
    const bool settled = !before.change_pending && core_->term_at(before.commit) == before.term;
    const bool accepted = std::holds_alternative<log_position>(core_->propose_change(wanted));
    environment_.checker->expect(!accepted || settled, "one_membership_change", node());
    return accepted;
}

void soak_host::promote(replica_id id, index_t commit) {
    const auto durable = environment_.durable_index(id);
    // A learner that has stopped since its last reply has no index to check.
    if (change(promote_learner{id}) && durable)
        environment_.checker->learner_promoted(id, *durable, commit);
}

bool soak_host::wants_to_join() const {
    const auto& members = core_->members();
    if (!members.is_voter(id_))
        return true;
    return std::any_of(members.members.begin(), members.members.end(),
                       [this](const auto& each) { return each.node == node() && each.id != id_; });
}

bool soak_host::take_work() {
    if (!running() || work_ || !core_->has_ready())
        return false;
    work_ = core_->take_ready();
    environment_.checker->entries_appended(id_, *core_, *work_);
    return true;
}

std::vector<message> soak_host::do_immediate_work() {
    if (!running())
        return {};
    auto work = core_->take_immediate();
    for (const auto& each : work.messages)
        environment_.checker->message_sent(id_, each);
    for (const auto& each : work.committed)
        apply(each);
    answer_reads();
    check_replica();
    return std::move(work.messages);
}

save_result soak_host::finish_work(std::vector<message>& outgoing) {
    const auto error = storage_->save(*work_);
    if (error && files.stopped())
        return save_result::machine_crashed;
    if (error) {
        core_->storage_failed();
        environment_.checker->expect(!core_->has_ready(), "stopped_replica_is_silent", node());
        return save_result::storage_failed;
    }
    const auto work = std::move(*work_);
    work_.reset();
    record_synced(work);
    if (work.install) {
        environment_.checker->expect(work.snap->index > applied_, "snapshot_never_backwards",
                                     node());
        environment_.checker->expect(machine_.load(work.snap->data), "snapshot_readable", node());
        applied_ = work.snap->index;
        snapshot_at_ = applied_;
        environment_.checker->state_reached(id_, applied_, machine_.state_hash());
        ++snapshot_installs;
    }
    for (const auto& each : work.committed)
        apply(each);
    answer_reads();
    for (const auto& each : work.messages)
        environment_.checker->message_sent(id_, each);
    outgoing = work.messages;
    core_->writes_synced(work);
    if (applied_ >= snapshot_at_ + tuning_.snapshot_interval) {
        snapshot_at_ = applied_;
        environment_.checker->state_reached(id_, applied_, machine_.state_hash());
        core_->take_snapshot(applied_, machine_.save(tuning_.snapshot_padding));
    }
    check_replica();
    return save_result::saved;
}

void soak_host::apply(const entry& value) {
    environment_.checker->expect(value.index == applied_ + 1, "applied_without_gap", node());
    environment_.checker->entry_applied(id_, value);
    applied_ = value.index;
    std::optional<register_answer> answer;
    if (value.kind == entry_kind::command) {
        const auto before = machine_.version();
        answer = machine_.apply(*decode_write(value.data));
        environment_.checker->expect(machine_.version() >= before, "applied_versions_rise", node());
    }
    if (applied_ % state_check_interval == 0)
        environment_.checker->state_reached(id_, applied_, machine_.state_hash());
    const auto waiting = writes_.find(value.index);
    if (waiting == writes_.end())
        return;
    // Another term at this index means that the client's write was lost.
    if (answer && waiting->second.term == value.term)
        environment_.answer(number_, waiting->second.client,
                            {.request_id = waiting->second.request_id,
                             .write = true,
                             .result = *answer,
                             .redirect = {}});
    writes_.erase(waiting);
}

void soak_host::answer_reads() {
    std::erase_if(reads_, [this](const waiting_read& read) {
        if (read.index > applied_)
            return false;
        environment_.answer(number_, read.client,
                            {.request_id = read.request_id,
                             .write = false,
                             .result = {.accepted = true,
                                        .version = machine_.version(),
                                        .writer = machine_.writer()},
                             .redirect = {}});
        return true;
    });
}

} // namespace clementine::consensus
