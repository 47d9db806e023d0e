#include "control/log_node.h"

#include "base/invariant.h"
#include "base/log.h"

#include <boost/asio/post.hpp>

#include <algorithm>
#include <chrono>
#include <utility>

namespace clementine::control {

namespace asio = boost::asio;

namespace {

// Well below consensus::max_tick_interval.
constexpr time_ms tick_interval{20};
// A leader whose write takes longer sends nothing until it is done.
constexpr time_ms max_write_time{300};
// A snapshot is taken after this many applied entries or bytes.
constexpr consensus::index_t snapshot_entries = 4'000;
constexpr std::size_t snapshot_bytes = 8 * 1024 * 1024;
// Entries kept before a snapshot for slow followers.
constexpr consensus::index_t trailing_entries = 2'000;
// A voter that is silent for longer is removed, and rejoins if it recovers. Longer than the usual
// freeze or network partition of a node, which lasts 3 to 8 s.
constexpr time_ms silent_voter_timeout{9'000};
// A voter that is silent for this long is replaced if another node requests to join. A lost node
// must be replaced within 4 s of its successor's start.
constexpr time_ms replaced_voter_timeout{1'500};

// A node repeats its request every 200 ms. One that has not done so is gone, and as a voter it
// would be one more loss.
constexpr time_ms join_request_expiry{1'500};

} // namespace

log_node::log_node(asio::io_context& loop, log_node_settings settings,
                   consensus::file_system& files, const clock_source& clock, callbacks handlers)
    : loop_(loop), timer_(loop), settings_(std::move(settings)), files_(files), clock_(clock),
      handlers_(std::move(handlers)), random_(settings_.seed),
      disk_work_(asio::make_work_guard(disk_loop_)) {}

log_node::~log_node() {
    stop();
}

std::string log_node::start() {
    consensus::durable_state durable;
    auto problem = open_storage(durable);
    if (!problem.empty())
        return problem;
    if (!handlers_.load_snapshot(durable.snap.data))
        return "the snapshot in " + settings_.folder + " cannot be read";
    create_core(std::move(durable));
    disk_thread_ = std::thread([this] { disk_loop_.run(); });
    schedule_tick();
    process_ready();
    return {};
}

void log_node::create_core(consensus::durable_state durable) {
    applied_ = last_snapshot_ = durable.snap.index;
    bytes_since_snapshot_ = 0;
    consensus::replica_config config;
    config.id = id_;
    config.seed = settings_.seed;
    config.trailing_entries = trailing_entries;
    core_ = std::make_unique<consensus::replica>(config, std::move(durable), clock_.now());
}

// Opens the data folder. An empty or corrupt one is initialized with a new id.
std::string log_node::open_storage(consensus::durable_state& durable) {
    storage_ = std::make_unique<consensus::storage>(
        files_, consensus::storage_config{settings_.folder, settings_.cluster});
    auto report = storage_->open();
    log_event(log_level::info, "data_folder_opened")
        .field("status", to_name(report.status))
        .field("reason", report.reason)
        .field("cut_bytes", report.truncated_bytes);
    const bool founder =
        settings_.first_start &&
        std::ranges::find(settings_.founders, settings_.node) != settings_.founders.end();
    switch (report.status) {
    case consensus::storage_status::ready:
        id_ = report.id;
        durable = std::move(report.state);
        return {};
    case consensus::storage_status::corrupt:
        log_event(log_level::error, "data_folder_damaged")
            .field("reason", report.reason)
            .field("answer", "this replica rejoins under a new id");
        return initialize_storage(durable, false);
    case consensus::storage_status::empty:
        return initialize_storage(durable, founder);
    default:
        return settings_.folder + ": " + std::string(to_name(report.status)) + ": " + report.reason;
    }
}

// Founders get ids 1, 2, ... in the order of their names; other nodes get a random id.
std::string log_node::initialize_storage(consensus::durable_state& durable, bool founder) {
    durable = {};
    if (founder) {
        auto names = settings_.founders;
        std::ranges::sort(names);
        consensus::membership first;
        for (std::size_t i = 0; i < names.size(); ++i) {
            first.members.push_back({i + 1, names[i], true});
            if (names[i] == settings_.node)
                id_ = i + 1;
        }
        durable.snap = consensus::bootstrap_snapshot(first);
        durable.state.term = durable.snap.term;
    } else {
        id_ = consensus::random_replica_id(random_);
    }
    log_event(log_level::info, "replica_set_up")
        .field("id", std::uint64_t{id_})
        .field("founder", founder);
    if (const auto error = storage_->set_up(id_, durable.snap))
        return error->reason;
    return {};
}

void log_node::stop() {
    if (std::exchange(stopped_, true))
        return;
    timer_.cancel();
    disk_work_.reset();
    if (disk_thread_.joinable())
        disk_thread_.join();
}

void log_node::receive(const std::string& node, const consensus::message& value) {
    if (failed_ || stopped_ || rejoin_due_)
        return;
    sender_nodes_[value.from] = node;
    core_->step(value, clock_.now());
    process_ready();
}

consensus::propose_result log_node::propose(std::string data) {
    if (failed_ || stopped_)
        return consensus::refusal::stopped;
    auto result = core_->propose(std::move(data));
    process_ready();
    return result;
}

void log_node::request_join(const std::string& node, consensus::replica_id id) {
    if (core_->role() == consensus::replica_role::leader)
        join_requests_[node] = {id, clock_.now()};
}

void log_node::observe_members(std::uint64_t term, consensus::index_t commit_index,
                               const std::vector<consensus::member>& members) {
    if (failed_ || term < core_->term() || members.empty())
        return;
    // Messages on several connections can overtake each other. An own membership of an earlier term
    // is either committed, and then older, or was never committed.
    const auto own = core_->members_position();
    if (commit_index != 0 && own.term == term && commit_index < own.index)
        return;
    if (std::ranges::find(members, id_, &consensus::member::id) != members.end()) {
        was_member_ = true;
        return;
    }
    // A voter that saw no published membership with its id, such as a founder, missed its removal.
    if (was_member_ || is_voter()) {
        rejoin_due_ = true;
        if (!writing_)
            rejoin_under_new_id();
    }
}

void log_node::rejoin_under_new_id() {
    rejoin_due_ = false;
    was_member_ = false;
    consensus::durable_state durable;
    log_event(log_level::warning, "replica_removed")
        .field("id", std::uint64_t{id_})
        .field("answer", "this replica rejoins under a new id");
    const auto problem = initialize_storage(durable, false);
    if (!problem.empty())
        return fail(problem);
    handlers_.load_snapshot(durable.snap.data);
    create_core(std::move(durable));
}

void log_node::transfer_leadership() {
    if (!failed_ && core_->role() == consensus::replica_role::leader) {
        core_->transfer_leadership();
        process_ready();
    }
}

bool log_node::serving() const {
    if (failed_ || stopped_)
        return false;
    return core_->holds_lease(clock_.now()) && applied_ >= core_->term_start_index();
}

bool log_node::holds_lease() const {
    return !failed_ && !stopped_ && core_->holds_lease(clock_.now());
}

std::string log_node::leader() const {
    const auto id = core_->leader();
    if (const auto* item = core_->members().find(id))
        return item->node;
    const auto sender = sender_nodes_.find(id);
    return sender == sender_nodes_.end() ? std::string() : sender->second;
}

void log_node::schedule_tick() {
    timer_.expires_after(std::chrono::milliseconds(tick_interval));
    timer_.async_wait([this](boost::system::error_code error) {
        if (error || stopped_)
            return;
        tick();
        schedule_tick();
    });
}

void log_node::tick() {
    if (failed_)
        return;
    core_->tick(clock_.now());
    process_ready();
    advance_membership();
    snapshot_if_due();
    process_ready();
}

// Processes the core's output. Writes are made one at a time; the completion of `persist`
// continues with the next.
void log_node::process_ready() {
    if (processing_ready_)
        return;
    processing_ready_ = true;
    bool more = true;
    while (more && !failed_) {
        more = process_immediate();
        if (failed_ || writing_ || !core_->has_ready())
            continue;
        more = true;
        auto work = core_->take_ready();
        if (work.has_writes())
            persist(std::move(work));
        else
            complete_ready(work);
    }
    processing_ready_ = false;
}

// Sends and applies what does not depend on a pending write, unless the disk is stalled: another
// replica leads sooner if this one falls silent. Returns true if there was anything.
bool log_node::process_immediate() {
    if (writing_ && clock_.now() - writing_since_ > max_write_time)
        return false;
    const auto work = core_->take_immediate();
    send(work.messages);
    apply(work.committed);
    return !work.empty();
}

void log_node::persist(consensus::ready work) {
    writing_ = true;
    writing_since_ = clock_.now();
    asio::post(disk_loop_, [this, work = std::move(work)]() mutable {
        const auto started = clock_.now();
        auto error = storage_->save(work);
        const auto took = clock_.now() - started;
        asio::post(loop_, [this, work = std::move(work), error = std::move(error), took] {
            writing_ = false;
            handlers_.synced(took);
            if (stopped_ || failed_)
                return;
            if (error)
                return fail(error->reason);
            if (rejoin_due_)
                return rejoin_under_new_id();
            complete_ready(work);
            process_ready();
        });
    });
}

void log_node::complete_ready(const consensus::ready& work) {
    if (work.install && work.snap) {
        if (!handlers_.load_snapshot(work.snap->data))
            return fail("a snapshot from the leader cannot be read");
        CLEMENTINE_INVARIANT(work.snap->index >= applied_, "state_never_goes_back");
        applied_ = last_snapshot_ = work.snap->index;
        bytes_since_snapshot_ = 0;
        log_event(log_level::info, "snapshot_installed").field("index", std::uint64_t{applied_});
    }
    send(work.messages);
    // Before the core hands out later entries to a proposal that an entry causes.
    apply(work.committed);
    core_->writes_synced(work);
}

void log_node::send(const std::vector<consensus::message>& messages) {
    for (const auto& item : messages) {
        const auto* known = core_->members().find(item.to);
        const auto sender = sender_nodes_.find(item.to);
        if (known)
            handlers_.send(known->node, item);
        else if (sender != sender_nodes_.end())
            handlers_.send(sender->second, item);
    }
}

void log_node::apply(const std::vector<consensus::entry>& committed) {
    for (const auto& item : committed) {
        applied_ = item.index;
        bytes_since_snapshot_ += item.data.size();
        if (item.kind == consensus::entry_kind::command)
            handlers_.apply(item);
    }
}

void log_node::snapshot_if_due() {
    if (applied_ - last_snapshot_ < snapshot_entries && bytes_since_snapshot_ < snapshot_bytes)
        return;
    core_->take_snapshot(applied_, handlers_.save_snapshot());
    last_snapshot_ = applied_;
    bytes_since_snapshot_ = 0;
}

// Proposes one membership change at a time; the core refuses others until it is committed.
void log_node::advance_membership() {
    if (core_->role() != consensus::replica_role::leader) {
        join_requests_.clear();
        silent_since_.clear();
        return;
    }
    const auto status = core_->status();
    if (status.change_pending || !core_->holds_lease(clock_.now()))
        return;
    for (const auto& item : status.progress) {
        if (item.active)
            silent_since_.erase(item.id);
        else
            silent_since_.try_emplace(item.id, clock_.now());
    }
    std::erase_if(silent_since_,
                  [&](const auto& item) { return !status.membership.find(item.first); });
    std::erase_if(join_requests_, [this](const auto& item) {
        return clock_.now() - item.second.received_at > join_request_expiry;
    });
    for (auto it = join_requests_.begin(); it != join_requests_.end();) {
        const auto& node = it->first;
        const auto id = it->second.id;
        if (replace_old_id(node, id))
            return;
        const auto* known = status.membership.find(id);
        if (!known && !has_room_for(node)) {
            ++it; // a spare
            continue;
        }
        if (!known) {
            core_->propose_change(consensus::add_learner{id, node});
            return;
        }
        if (!known->voter) {
            const auto result = core_->propose_change(consensus::promote_learner{id});
            if (std::holds_alternative<consensus::log_position>(result))
                return;
            ++it;
            continue;
        }
        log_event(log_level::info, "replica_joined").field("node", node).field("id", id);
        it = join_requests_.erase(it);
    }
    remove_silent_voter();
}

// Lost members do not count towards the limit. They are removed once their replacements are voters.
bool log_node::has_room_for(const std::string& node) const {
    const auto& members = core_->members().members;
    if (std::ranges::find(members, node, &consensus::member::node) != members.end())
        return true;
    const auto lost = std::ranges::count_if(silent_since_, [this](const auto& item) {
        return clock_.now() - item.second >= replaced_voter_timeout;
    });
    return members.size() < settings_.max_voters + static_cast<std::size_t>(lost);
}

// Removes the older ids of a node that joins under a new id, because their disk is lost.
bool log_node::replace_old_id(const std::string& node, consensus::replica_id id) {
    for (const auto& member : core_->members().members) {
        if (member.node != node || member.id == id || member.id == id_)
            continue;
        // At the minimum number of voters, the old id stays until the new one is a voter.
        const auto* successor = core_->members().find(id);
        const bool enough = core_->members().voter_count() > settings_.min_voters;
        if (member.voter && !enough && !(successor && successor->voter))
            continue;
        const auto result = core_->propose_change(consensus::remove_member{member.id});
        if (std::holds_alternative<consensus::log_position>(result)) {
            log_event(log_level::info, "replica_replaced")
                .field("node", node)
                .field("old_id", member.id)
                .field("new_id", id);
            return true;
        }
    }
    return false;
}

void log_node::remove_silent_voter() {
    const auto& members = core_->members();
    const bool replacing = !join_requests_.empty();
    for (const auto& [id, since] : silent_since_) {
        const auto limit = replacing ? replaced_voter_timeout : silent_voter_timeout;
        const auto* member = members.find(id);
        if (!member || clock_.now() - since < limit)
            continue;
        if (member->voter && members.voter_count() <= settings_.min_voters)
            continue;
        const auto result = core_->propose_change(consensus::remove_member{id});
        if (std::holds_alternative<consensus::log_position>(result)) {
            log_event(log_level::warning, "silent_replica_removed")
                .field("node", member->node)
                .field("id", id)
                .field("silent_ms", clock_.now() - since);
            return;
        }
    }
}

void log_node::fail(const std::string& reason) {
    failed_ = true;
    core_->storage_failed();
    log_event(log_level::error, "replica_failed").field("reason", reason);
    handlers_.failed(reason);
}

} // namespace clementine::control
