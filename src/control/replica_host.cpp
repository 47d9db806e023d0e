#include "control/replica_host.h"

#include "base/invariant.h"
#include "base/log.h"
#include "store/codec.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace clementine::control {

namespace {

// Well below consensus::max_tick_interval, so that a slow disk write does not exceed it.
constexpr time_ms tick_interval{20};
// Upper bound of queued tasks; more mean that the disk is far too slow.
constexpr std::size_t max_inbox_tasks = 8'192;

consensus::membership initial_membership(const std::vector<std::string>& replicas) {
    consensus::membership out;
    for (std::size_t i = 0; i < replicas.size(); ++i)
        out.members.push_back({i + 1, replicas[i], true});
    return out;
}

host_refusal to_host_refusal(consensus::refusal reason) {
    switch (reason) {
    case consensus::refusal::not_leader:
        return host_refusal::not_leader;
    case consensus::refusal::stopped:
        return host_refusal::stopped;
    default:
        return host_refusal::busy;
    }
}

} // namespace

replica_host::replica_host(host_settings settings, consensus::file_system& files,
                           const clock_source& clock, callbacks handlers)
    : settings_(std::move(settings)), files_(files), clock_(clock), handlers_(std::move(handlers)) {
}

replica_host::~replica_host() {
    stop();
}

std::string replica_host::start() {
    consensus::durable_state durable;
    auto problem = open_storage(durable);
    if (!problem.empty())
        return problem;
    if (!state_machine_.load(durable.snap.data))
        return "the snapshot in " + settings_.folder + " cannot be read";
    applied_ = last_snapshot_ = durable.snap.index;
    consensus::replica_config config;
    config.id = id_;
    config.seed = settings_.seed;
    config.trailing_entries = settings_.trailing_entries;
    core_ = std::make_unique<consensus::replica>(config, std::move(durable), clock_.now());
    publish_status();
    thread_ = std::thread([this] { run(); });
    return {};
}

// Opens the data folder. An empty or corrupt one is initialized with a new id.
std::string replica_host::open_storage(consensus::durable_state& durable) {
    storage_ = std::make_unique<consensus::storage>(
        files_, consensus::storage_config{settings_.folder, settings_.cluster});
    auto report = storage_->open();
    log_event(log_level::info, "data_folder_opened")
        .field("folder", settings_.folder)
        .field("status", to_name(report.status))
        .field("reason", report.reason)
        .field("cut_bytes", report.truncated_bytes);
    switch (report.status) {
    case consensus::storage_status::ready:
        id_ = report.id;
        durable = std::move(report.state);
        return {};
    case consensus::storage_status::corrupt:
        log_event(log_level::error, "data_folder_damaged")
            .field("reason", report.reason)
            .field("answer", "this replica rejoins under a new id");
        // Under its old id it could vote again in a term in which it has voted.
        return initialize_storage(durable, false);
    case consensus::storage_status::empty:
        return initialize_storage(durable, settings_.first_start);
    default:
        return settings_.folder + ": " + std::string(to_name(report.status)) + ": " + report.reason;
    }
}

std::string replica_host::initialize_storage(consensus::durable_state& durable, bool may_found) {
    const auto position = std::ranges::find(settings_.replicas, settings_.node);
    if (may_found && position != settings_.replicas.end()) {
        id_ = static_cast<consensus::replica_id>(position - settings_.replicas.begin()) + 1;
        durable.snap = consensus::bootstrap_snapshot(initial_membership(settings_.replicas));
        durable.state.term = durable.snap.term;
    } else {
        random_source random(settings_.seed);
        id_ = consensus::random_replica_id(random);
    }
    log_event(log_level::info, "replica_set_up")
        .field("id", std::uint64_t{id_})
        .field("first_start", settings_.first_start);
    if (const auto error = storage_->set_up(id_, durable.snap))
        return error->reason;
    return {};
}

void replica_host::stop() {
    {
        std::lock_guard lock(mutex_);
        stopping_ = true;
    }
    wake_condition_.notify_all();
    if (thread_.joinable())
        thread_.join();
}

void replica_host::stop_gracefully(time_ms limit) {
    post([this] {
        if (core_->role() == consensus::replica_role::leader)
            core_->transfer_leadership();
    });
    const auto deadline = clock_.now() + limit;
    // The published status may lag one loop iteration behind the transfer.
    while (clock_.now() < deadline && status().role == consensus::replica_role::leader)
        std::this_thread::sleep_for(std::chrono::milliseconds(tick_interval));
    stop();
}

void replica_host::post(task work) {
    {
        std::lock_guard lock(mutex_);
        inbox_.push_back(std::move(work));
    }
    wake_condition_.notify_one();
}

void replica_host::receive(const std::string& node, consensus::message value) {
    {
        // The protocol tolerates lost messages, so the queue is bounded.
        std::lock_guard lock(mutex_);
        if (inbox_.size() >= max_inbox_tasks)
            return;
    }
    post([this, node, value = std::move(value)] {
        sender_nodes_[value.from] = node;
        core_->step(value, clock_.now());
    });
}

void replica_host::propose(store::command value, std::function<void(const propose_outcome&)> done) {
    post([this, value = std::move(value), done = std::move(done)] {
        if (failed_)
            return done(host_refusal::stopped);
        const auto result = core_->propose(store::encode(value));
        if (const auto* reason = std::get_if<consensus::refusal>(&result))
            return done(to_host_refusal(*reason));
        const auto& place = std::get<consensus::log_position>(result);
        proposals_.emplace(place.index, pending_proposal{place.term, done});
    });
}

void replica_host::read(read_handler done) {
    post([this, done = std::move(done)] {
        if (failed_)
            return done(nullptr, host_refusal::stopped);
        const auto result = core_->read(clock_.now());
        if (const auto* reason = std::get_if<consensus::refusal>(&result))
            return done(nullptr, to_host_refusal(*reason));
        reads_.push_back({std::get<consensus::read_index>(result).index, done});
    });
}

void replica_host::change_members(const consensus::membership_change& change) {
    post([this, change] { core_->propose_change(change); });
}

void replica_host::request_join(const std::string& node, consensus::replica_id id) {
    post([this, node, id] { join_requests_[node] = id; });
}

host_status replica_host::status() const {
    std::lock_guard lock(mutex_);
    return status_;
}

void replica_host::run() {
    handlers_.manifest_changed(state_machine_.current().manifest);
    auto next_tick = clock_.now();
    while (true) {
        std::vector<task> work;
        {
            std::unique_lock lock(mutex_);
            const auto wait = std::max<time_ms>(0, next_tick - clock_.now());
            wake_condition_.wait_for(lock, std::chrono::milliseconds(wait),
                                     [this] { return stopping_ || !inbox_.empty(); });
            if (stopping_)
                break;
            work.swap(inbox_);
        }
        for (const auto& item : work)
            item();
        if (!failed_) {
            core_->tick(clock_.now());
            next_tick = clock_.now() + tick_interval;
            handle_ready();
        }
        if (!failed_) {
            answer_reads();
            drop_lost_proposals();
            snapshot_if_due();
            advance_joins();
        }
        publish_status();
        if (failed_)
            next_tick = clock_.now() + tick_interval;
    }
    refuse_pending();
}

void replica_host::handle_ready() {
    while (!failed_ && core_->has_ready()) {
        const auto work = core_->take_ready();
        if (!persist(work) || !install_snapshot(work))
            return;
        for (const auto& item : work.committed)
            apply(item);
        for (const auto& item : work.messages)
            send(item);
        core_->writes_synced(work);
    }
}

bool replica_host::persist(const consensus::ready& work) {
    if (!work.has_writes())
        return true;
    const auto error = storage_->save(work);
    if (!error)
        return true;
    fail(error->reason);
    return false;
}

bool replica_host::install_snapshot(const consensus::ready& work) {
    if (!work.install || !work.snap)
        return true;
    if (!state_machine_.load(work.snap->data)) {
        fail("a snapshot from the leader cannot be read");
        return false;
    }
    CLEMENTINE_INVARIANT(work.snap->index >= applied_, "state_never_goes_back");
    applied_ = last_snapshot_ = work.snap->index;
    bytes_since_snapshot_ = 0;
    log_event(log_level::info, "snapshot_installed").field("index", std::uint64_t{applied_});
    handlers_.manifest_changed(state_machine_.current().manifest);
    return true;
}

void replica_host::apply(const consensus::entry& entry) {
    CLEMENTINE_INVARIANT(entry.index == applied_ + 1, "entries_applied_in_order");
    applied_ = entry.index;
    bytes_since_snapshot_ += entry.data.size();
    std::optional<store::apply_result> result;
    if (entry.kind == consensus::entry_kind::command) {
        const auto version = state_machine_.current().manifest.version;
        result = state_machine_.apply(entry.data);
        CLEMENTINE_INVARIANT(state_machine_.current().manifest.version >= version,
                             "manifest_version_never_goes_back");
        if (state_machine_.current().manifest.version != version)
            handlers_.manifest_changed(state_machine_.current().manifest);
    }
    const auto [first, last] = proposals_.equal_range(entry.index);
    for (auto it = first; it != last; ++it) {
        if (result && it->second.term == entry.term)
            it->second.done(*result);
        else
            it->second.done(host_refusal::lost);
    }
    proposals_.erase(first, last);
}

void replica_host::send(const consensus::message& value) {
    const auto* to = core_->members().find(value.to);
    const auto sender = sender_nodes_.find(value.to);
    if (to != nullptr)
        handlers_.send(to->node, value);
    else if (sender != sender_nodes_.end())
        handlers_.send(sender->second, value);
}

// Only a leader with a lease answers; the lease is checked again right before the answer.
void replica_host::answer_reads() {
    auto waiting = std::exchange(reads_, {});
    for (auto& item : waiting) {
        const auto result = core_->read(clock_.now());
        if (const auto* reason = std::get_if<consensus::refusal>(&result))
            item.done(nullptr, to_host_refusal(*reason));
        else if (applied_ >= item.index)
            item.done(&state_machine_.current(), host_refusal::busy);
        else
            reads_.push_back(std::move(item));
    }
}

// A replica that no longer leads does not know the result of its proposals.
void replica_host::drop_lost_proposals() {
    if (core_->role() == consensus::replica_role::leader)
        return;
    auto lost = std::exchange(proposals_, {});
    for (auto& [index, item] : lost)
        item.done(host_refusal::lost);
}

void replica_host::snapshot_if_due() {
    const auto entries = applied_ - last_snapshot_;
    if (entries == 0 ||
        (entries < settings_.snapshot_entries && bytes_since_snapshot_ < settings_.snapshot_bytes))
        return;
    core_->take_snapshot(applied_, state_machine_.save());
    last_snapshot_ = applied_;
    bytes_since_snapshot_ = 0;
    handle_ready();
}

// Adds a node's new id as a learner, promotes it to a voter, then removes the node's old id. The
// core refuses a step until the previous one is committed and the learner has caught up, so each
// step is retried.
void replica_host::advance_joins() {
    if (core_->role() != consensus::replica_role::leader)
        return;
    for (auto it = join_requests_.begin(); it != join_requests_.end();) {
        const auto& node = it->first;
        const auto id = it->second;
        const auto& members = core_->members();
        const auto* joining = members.find(id);
        const auto old_member =
            std::ranges::find_if(members.members, [&](const consensus::member& member) {
                return member.node == node && member.id != id;
            });
        if (joining == nullptr)
            core_->propose_change(consensus::add_learner{id, node});
        else if (!joining->voter)
            core_->propose_change(consensus::promote_learner{id});
        else if (old_member != members.members.end())
            core_->propose_change(consensus::remove_member{old_member->id});
        else {
            log_event(log_level::info, "replica_joined").field("node", node);
            it = join_requests_.erase(it);
            continue;
        }
        ++it;
    }
    handle_ready();
}

void replica_host::publish_status() {
    const auto core_status = core_->status();
    host_status out;
    out.role = core_status.role;
    out.id = core_status.id;
    out.term = core_status.term;
    if (const auto* leader = core_status.membership.find(core_status.leader))
        out.leader = leader->node;
    out.holds_lease = core_->holds_lease(clock_.now());
    out.commit = core_status.commit;
    out.applied = applied_;
    out.snapshot = core_status.snapshot;
    out.version = state_machine_.current().manifest.version;
    out.members = core_status.membership.members;
    out.progress = core_status.progress;
    std::lock_guard lock(mutex_);
    if (out.role != status_.role)
        log_event(log_level::info, "role_changed")
            .field("role", to_name(out.role))
            .field("term", std::uint64_t{out.term});
    status_ = std::move(out);
}

void replica_host::fail(const std::string& reason) {
    failed_ = true;
    core_->storage_failed();
    log_event(log_level::error, "replica_failed").field("reason", reason);
    refuse_pending();
    handlers_.failed(reason);
}

void replica_host::refuse_pending() {
    auto proposals = std::exchange(proposals_, {});
    for (auto& [index, item] : proposals)
        item.done(host_refusal::lost);
    auto reads = std::exchange(reads_, {});
    for (auto& item : reads)
        item.done(nullptr, host_refusal::stopped);
}

} // namespace clementine::control
