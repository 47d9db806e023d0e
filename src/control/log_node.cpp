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
// Entries applied, and bytes of them, between two snapshots.
constexpr consensus::index_t snapshot_entries = 4'000;
constexpr std::size_t snapshot_bytes = 8 * 1024 * 1024;
// Kept before a snapshot for slow followers.
constexpr consensus::index_t trailing_entries = 2'000;
// A voter that is silent for longer is removed, and joins again if it comes back. Longer than the
// usual freeze or cut of a node, which lasts 3 to 8 s.
constexpr time_ms silent_voter_limit{9'000};
// A voter that is silent for this long makes room for a node that asks to join. A lost node must
// be replaced within 4 s of its successor's start.
constexpr time_ms replaced_voter_limit{1'500};

} // namespace

log_node::log_node(asio::io_context& loop, log_node_settings settings,
                   consensus::file_system& files, const clock_source& clock, callbacks handlers)
    : loop_(loop), timer_(loop), settings_(std::move(settings)), files_(files), clock_(clock),
      handlers_(std::move(handlers)), random_(settings_.seed),
      disk_work_(asio::make_work_guard(disk_)) {}

log_node::~log_node() {
    stop();
}

std::string log_node::start() {
    consensus::durable_state disk;
    auto problem = open_storage(disk);
    if (!problem.empty())
        return problem;
    if (!handlers_.load(disk.snap.data))
        return "the snapshot in " + settings_.folder + " cannot be read";
    create_core(std::move(disk));
    disk_thread_ = std::thread([this] { disk_.run(); });
    schedule_tick();
    pump();
    return {};
}

void log_node::create_core(consensus::durable_state disk) {
    applied_ = last_snapshot_ = disk.snap.index;
    bytes_since_snapshot_ = 0;
    consensus::replica_config config;
    config.id = id_;
    config.seed = settings_.seed;
    config.trailing_entries = trailing_entries;
    core_ = std::make_unique<consensus::replica>(config, std::move(disk), clock_.now());
}

// Opens the folder; an empty or damaged one is set up again under a new id.
std::string log_node::open_storage(consensus::durable_state& disk) {
    storage_ = std::make_unique<consensus::storage>(
        files_, consensus::storage_config{settings_.folder, settings_.cluster});
    auto report = storage_->open();
    log_event(log_level::info, "data_folder_opened")
        .field("status", to_name(report.status))
        .field("reason", report.reason)
        .field("cut_bytes", report.truncated_bytes);
    const bool founder =
        settings_.first_start &&
        std::ranges::find(settings_.founders, settings_.self) != settings_.founders.end();
    switch (report.status) {
    case consensus::storage_status::ready:
        id_ = report.id;
        disk = std::move(report.state);
        return {};
    case consensus::storage_status::corrupt:
        log_event(log_level::error, "data_folder_damaged")
            .field("reason", report.reason)
            .field("answer", "this replica rejoins under a new id");
        return set_up(disk, false);
    case consensus::storage_status::empty:
        return set_up(disk, founder);
    default:
        return settings_.folder + ": " + std::string(to_name(report.status)) + ": " + report.reason;
    }
}

// Founders have ids 1, 2, ... in the order of their names; everyone else gets a random id.
std::string log_node::set_up(consensus::durable_state& disk, bool founder) {
    disk = {};
    if (founder) {
        auto names = settings_.founders;
        std::ranges::sort(names);
        consensus::membership first;
        for (std::size_t i = 0; i < names.size(); ++i) {
            first.members.push_back({i + 1, names[i], true});
            if (names[i] == settings_.self)
                id_ = i + 1;
        }
        disk.snap = consensus::bootstrap_snapshot(first);
        disk.state.term = disk.snap.term;
    } else {
        id_ = consensus::random_replica_id(random_);
    }
    log_event(log_level::info, "replica_set_up")
        .field("id", std::uint64_t{id_})
        .field("founder", founder);
    if (const auto error = storage_->set_up(id_, disk.snap))
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
    if (failed_ || stopped_ || start_over_due_)
        return;
    senders_[value.from] = node;
    core_->step(value, clock_.now());
    pump();
}

consensus::propose_result log_node::propose(std::string data) {
    if (failed_ || stopped_)
        return consensus::refusal::stopped;
    auto result = core_->propose(std::move(data));
    pump();
    return result;
}

void log_node::request_join(const std::string& node, consensus::replica_id id) {
    if (core_->role() == consensus::replica_role::leader)
        joins_[node] = id;
}

void log_node::observe_members(std::uint64_t term, const std::vector<consensus::member>& members) {
    if (failed_ || term < core_->term() || members.empty())
        return;
    if (std::ranges::find(members, id_, &consensus::member::id) != members.end()) {
        was_member_ = true;
        return;
    }
    // A founder that never became part of a published membership has missed its own removal.
    if (was_member_ || is_voter()) {
        start_over_due_ = true;
        if (!writing_)
            start_over();
    }
}

void log_node::start_over() {
    start_over_due_ = false;
    was_member_ = false;
    consensus::durable_state disk;
    log_event(log_level::warning, "replica_removed")
        .field("id", std::uint64_t{id_})
        .field("answer", "this replica rejoins under a new id");
    const auto problem = set_up(disk, false);
    if (!problem.empty())
        return fail(problem);
    handlers_.load(disk.snap.data);
    create_core(std::move(disk));
}

void log_node::hand_over() {
    if (!failed_ && core_->role() == consensus::replica_role::leader) {
        core_->transfer_leadership();
        pump();
    }
}

bool log_node::serving() const {
    if (failed_ || stopped_)
        return false;
    const auto result = core_->read(clock_.now());
    const auto* point = std::get_if<consensus::read_index>(&result);
    return point != nullptr && point->index <= applied_;
}

bool log_node::holds_lease() const {
    return !failed_ && !stopped_ && core_->holds_lease(clock_.now());
}

std::string log_node::leader() const {
    const auto id = core_->leader();
    if (const auto* item = core_->members().find(id))
        return item->node;
    const auto sender = senders_.find(id);
    return sender == senders_.end() ? std::string() : sender->second;
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
    pump();
    advance_membership();
    snapshot_if_due();
    pump();
}

// Hands out work until a part of it has to be written; `persist` goes on from there.
void log_node::pump() {
    if (pumping_)
        return;
    pumping_ = true;
    while (!failed_ && !writing_ && core_->has_ready()) {
        auto work = core_->take_ready();
        if (work.has_writes())
            persist(std::move(work));
        else
            finish(work);
    }
    pumping_ = false;
}

void log_node::persist(consensus::ready work) {
    writing_ = true;
    asio::post(disk_, [this, work = std::move(work)]() mutable {
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
            if (start_over_due_)
                return start_over();
            finish(work);
            pump();
        });
    });
}

void log_node::finish(const consensus::ready& work) {
    if (work.install && work.snap) {
        if (!handlers_.load(work.snap->data))
            return fail("a snapshot from the leader cannot be read");
        CLEMENTINE_INVARIANT(work.snap->index >= applied_, "state_never_goes_back");
        applied_ = last_snapshot_ = work.snap->index;
        bytes_since_snapshot_ = 0;
        log_event(log_level::info, "snapshot_installed").field("index", std::uint64_t{applied_});
    }
    for (const auto& item : work.messages) {
        const auto* known = core_->members().find(item.to);
        const auto sender = senders_.find(item.to);
        if (known)
            handlers_.send(known->node, item);
        else if (sender != senders_.end())
            handlers_.send(sender->second, item);
    }
    core_->writes_synced(work);
    for (const auto& item : work.committed) {
        applied_ = item.index;
        bytes_since_snapshot_ += item.data.size();
        if (item.kind == consensus::entry_kind::command)
            handlers_.apply(item);
    }
}

void log_node::snapshot_if_due() {
    if (applied_ - last_snapshot_ < snapshot_entries && bytes_since_snapshot_ < snapshot_bytes)
        return;
    core_->take_snapshot(applied_, handlers_.save());
    last_snapshot_ = applied_;
    bytes_since_snapshot_ = 0;
}

// One membership change at a time; the core refuses further ones until it is committed.
void log_node::advance_membership() {
    if (core_->role() != consensus::replica_role::leader) {
        joins_.clear();
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
    for (auto it = joins_.begin(); it != joins_.end();) {
        const auto& [node, id] = *it;
        if (replace_old_id(node, id))
            return;
        const auto* known = status.membership.find(id);
        if (!known && !has_place_for(node)) {
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
        it = joins_.erase(it);
    }
    remove_silent_voter();
}

// Members that are lost make room for others at once; they are removed once those are voters.
bool log_node::has_place_for(const std::string& node) const {
    const auto& members = core_->members().members;
    if (std::ranges::find(members, node, &consensus::member::node) != members.end())
        return true;
    const auto lost = std::ranges::count_if(silent_since_, [this](const auto& item) {
        return clock_.now() - item.second >= replaced_voter_limit;
    });
    return members.size() < settings_.max_voters + static_cast<std::size_t>(lost);
}

// A node that joins under a new id has lost the disk of its older ids.
bool log_node::replace_old_id(const std::string& node, consensus::replica_id id) {
    for (const auto& item : core_->members().members) {
        if (item.node != node || item.id == id || item.id == id_)
            continue;
        // The last but one voter goes only once its successor has its place.
        const auto* successor = core_->members().find(id);
        const bool enough = core_->members().voter_count() > settings_.min_voters;
        if (item.voter && !enough && !(successor && successor->voter))
            continue;
        const auto result = core_->propose_change(consensus::remove_member{item.id});
        if (std::holds_alternative<consensus::log_position>(result)) {
            log_event(log_level::info, "replica_replaced")
                .field("node", node)
                .field("old_id", item.id)
                .field("new_id", id);
            return true;
        }
    }
    return false;
}

void log_node::remove_silent_voter() {
    const auto& members = core_->members();
    const bool replacing = !joins_.empty();
    for (const auto& [id, since] : silent_since_) {
        const auto limit = replacing ? replaced_voter_limit : silent_voter_limit;
        const auto* item = members.find(id);
        if (!item || clock_.now() - since < limit)
            continue;
        if (item->voter && members.voter_count() <= settings_.min_voters)
            continue;
        const auto result = core_->propose_change(consensus::remove_member{id});
        if (std::holds_alternative<consensus::log_position>(result)) {
            log_event(log_level::warning, "silent_replica_removed")
                .field("node", item->node)
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
