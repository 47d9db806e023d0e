#include "routing/server_table.h"

#include "base/invariant.h"
#include "base/log.h"
#include "routing/share_targets.h"

#include <algorithm>

namespace clementine::routing {

namespace {

// A new backend server renews early, because its lease begins with the first echoed token.
constexpr time_ms first_renewal_interval{50};
constexpr time_ms renewal_interval{500};
// Margin for the difference in clock rate between two machines.
constexpr double clock_rate_margin = 1.1;
// Shares are not extended when less time is left of the home's lease. With renewals every 500 ms,
// at least 1,500 ms are left, and a holder needs about two idle ticks to get the next extension.
constexpr time_ms min_lease_for_extension{1'250};
// Unused entries are kept for this time, for their highest claim and their leaving state.
constexpr time_ms entry_retention{10'000};
// A peer is a member of the sharing group while its last tick is younger than a share lease.
constexpr time_ms member_timeout{2'000};

announce_reply redirect_to(const std::string& peer) {
    auto reply = refuse(announce_status::redirect, "homed at another entryd");
    reply.home = peer;
    return reply;
}

time_ms with_clock_margin(time_ms time) {
    return static_cast<time_ms>(static_cast<double>(time) * clock_rate_margin);
}

} // namespace

bool server_table::is_home(const server_entry& entry, time_ms now) const {
    return entry.record && entry.record->lease.valid(now);
}

claim_rank server_table::own_rank(const server_entry& entry) const {
    return {entry.record->lease.epoch(), settings_.node};
}

int server_table::usable_slots(const server_entry& entry, time_ms now) const {
    if (entry.leaving)
        return 0;
    if (is_home(entry, now))
        return entry.record->self_slots;
    return now < entry.share.valid_until ? entry.share.slots : 0;
}

int server_table::total_slots(time_ms now) const {
    int total = 0;
    for (const auto& [id, entry] : servers_)
        total += usable_slots(entry, now);
    return total;
}

// One connection more than slots, but at most the share's proportion of all connections.
int server_table::connections_for(const server_entry& entry, int slots) const {
    if (slots == 0 || entry.data.slots == 0)
        return 0;
    return std::min(slots + 1, entry.data.connections * slots / entry.data.slots);
}

int server_table::connection_limit(const std::string& id, time_ms now) const {
    const auto* entry = find(id);
    if (!entry)
        return 0;
    const int slots = usable_slots(*entry, now);
    if (is_home(*entry, now))
        return connections_for(*entry, slots);
    return slots == 0 ? 0 : entry->share.connections;
}

server_entry* server_table::find(const std::string& id) {
    const auto found = servers_.find(id);
    return found == servers_.end() ? nullptr : &found->second;
}

const server_entry* server_table::find(const std::string& id) const {
    const auto found = servers_.find(id);
    return found == servers_.end() ? nullptr : &found->second;
}

// Picks the less loaded of two random candidates with a free slot, by outstanding requests plus
// failure penalty. Candidates are preferred in this order: not yet tried by the request, not
// ejected, in the same availability zone. Nothing is ejected if more than half would be.
server_entry* server_table::choose(const std::vector<std::string>& avoid, random_source& random,
                                   time_ms now) {
    std::size_t usable = 0;
    std::size_t suspects = 0;
    for (const auto& [id, entry] : servers_) {
        if (usable_slots(entry, now) == 0)
            continue;
        ++usable;
        suspects += entry.health.suspect(now) ? 1 : 0;
    }
    const bool may_eject = 2 * suspects <= usable;
    std::vector<server_entry*> candidates;
    int best_class = 0;
    for (auto& [id, entry] : servers_) {
        if (entry.in_use >= usable_slots(entry, now))
            continue;
        const bool tried = std::find(avoid.begin(), avoid.end(), id) != avoid.end();
        const bool ejected = may_eject && entry.health.suspect(now);
        const bool remote = entry.data.availability_zone != settings_.availability_zone;
        const int candidate_class = (tried ? 4 : 0) + (ejected ? 2 : 0) + (remote ? 1 : 0);
        if (candidates.empty() || candidate_class < best_class) {
            candidates.clear();
            best_class = candidate_class;
        }
        if (candidate_class == best_class)
            candidates.push_back(&entry);
    }
    if (candidates.empty())
        return nullptr;
    auto* first = candidates[random.below(candidates.size())];
    auto* second = candidates[random.below(candidates.size())];
    const auto load = [&](const server_entry* entry) {
        return entry->in_use + entry->health.penalty(now);
    };
    return load(second) < load(first) ? second : first;
}

announce_reply server_table::reply_for(const server_entry& entry, time_ms now) const {
    announce_reply reply;
    reply.home = settings_.node;
    const bool home = is_home(entry, now);
    reply.in_flight = home ? entry.record->in_flight(entry.in_use) : entry.in_use;
    if (entry.leaving)
        reply.state = server_state::leaving;
    else
        reply.state =
            home && !entry.record->waiting() ? server_state::serving : server_state::waiting;
    reply.renew_ms = home ? renewal_interval : first_renewal_interval;
    return reply;
}

std::optional<announce_reply> server_table::find_conflict(const server_entry& entry,
                                                          const announcement& message,
                                                          time_ms now) const {
    if (!is_home(entry, now))
        return std::nullopt;
    if (entry.data.instance != message.instance)
        return refuse(announce_status::conflict, "another instance holds a live lease");
    if (entry.data.address != message.address || entry.data.port != message.port)
        return refuse(announce_status::conflict, "announced with another address");
    return std::nullopt;
}

announce_reply server_table::announce(const announcement& message,
                                      const std::optional<live_claim>& other_claim, time_ms now) {
    auto* known = find(message.id);
    if (known) {
        expire_lease(*known, now);
        if (auto conflict = find_conflict(*known, message, now))
            return *conflict;
    }
    if (other_claim) {
        const claim_rank other_rank{other_claim->epoch, other_claim->peer};
        if (!known || !is_home(*known, now) || own_rank(*known) < other_rank)
            return redirect_to(other_claim->peer);
    }
    auto& entry = servers_[message.id];
    apply_announcement(entry, message, now);
    apply_token(entry, message, now);
    check_takeover(entry, now);
    auto reply = reply_for(entry, now);
    reply.token = entry.record->lease.issue(now);
    return reply;
}

void server_table::apply_announcement(server_entry& entry, const announcement& message,
                                      time_ms now) {
    if (entry.data.instance != message.instance) {
        // A new process: the state of the old one no longer applies.
        entry.leaving = false;
        entry.share = {};
        entry.health = {};
    }
    entry.data = message;
    entry.last_seen_at = now;
    if (entry.record) {
        entry.record->slots = message.slots;
        return;
    }
    const auto token = parse_token(message.token);
    const std::uint64_t newest_epoch =
        std::max(entry.highest_claim.epoch, token ? token->epoch : 0);
    home_lease lease(settings_.node, settings_.boot, newest_epoch + 1, settings_.home_lease);
    entry.record.emplace(std::move(lease), message.slots);
    entry.record_created_at = now;
    entry.awaits_echo = true;
    entry.previous_token = token;
}

// The lease and the takeover begin when the first token of this home is echoed. A foreign token
// after that means that the server has been at another home in between.
void server_table::apply_token(server_entry& entry, const announcement& message, time_ms now) {
    auto& record = *entry.record;
    const auto issued = record.lease.accept_echo(message.token);
    if (!issued) {
        entry.awaits_echo = true;
        if (auto foreign = parse_token(message.token)) {
            record.lease.raise_epoch(std::max(record.lease.epoch(), foreign->epoch + 1));
            entry.previous_token = std::move(foreign);
        }
        if (record.lease.valid(now))
            begin_takeover(entry, now);
        return;
    }
    if (own_rank(entry) < entry.highest_claim) {
        record.lease.raise_epoch(entry.highest_claim.epoch + 1);
        entry.awaits_echo = true;
    }
    if (entry.awaits_echo) {
        entry.awaits_echo = false;
        begin_takeover(entry, now);
        log_event(log_level::info, "home_takeover_started")
            .field("backend_server", entry.data.id)
            .field("epoch", record.lease.epoch());
    }
    if (message.busy)
        record.apply_busy(*message.busy, *issued, entry.in_use);
}

void server_table::begin_takeover(server_entry& entry, time_ms now) {
    auto& record = *entry.record;
    if (!record.waiting() && record.self_slots == 0 && now < entry.share.valid_until)
        record.self_slots = entry.share.slots;
    record.begin_takeover(now, entry.previous_token);
}

// Ends the role of this entryd as home. Its own slots become a share until its lease would have
// ended.
void server_table::relinquish_home(server_entry& entry, time_ms now) {
    auto& record = *entry.record;
    if (record.lease.ends() > 0) {
        if (now < record.lease.ends())
            entry.share = {own_rank(entry), record.self_slots,
                           connections_for(entry, record.self_slots), record.lease.ends()};
        int orphans = record.orphans();
        for (const auto& [peer, holder] : record.holders)
            orphans += holder.expired() ? holder.taken_slots() : 0;
        if (record.waiting())
            orphans += record.free_slots(entry.in_use);
        entry.former_orphans = orphans;
        entry.former_orphans_until = now + max_request_time_ + max_request_transit;
        entry.highest_claim = std::max(entry.highest_claim, own_rank(entry));
    }
    entry.record.reset();
}

void server_table::expire_lease(server_entry& entry, time_ms now) {
    if (!entry.record || entry.record->lease.valid(now))
        return;
    const bool begun = entry.record->lease.ends() > 0;
    if (!begun && now < entry.record_created_at + settings_.home_lease)
        return;
    if (begun)
        log_event(log_level::info, "home_lease_ended").field("backend_server", entry.data.id);
    relinquish_home(entry, now);
}

// Ends the wait once every peer has confirmed the claim, which voids older grants, or once the
// lease of the previous home must have ended.
void server_table::check_takeover(server_entry& entry, time_ms now) {
    auto& record = *entry.record;
    if (!record.waiting() || entry.awaits_echo || !record.lease.valid(now))
        return;
    const bool all_confirmed =
        std::all_of(settings_.peers.begin(), settings_.peers.end(), [&](const std::string& peer) {
            const auto holder = record.holders.find(peer);
            return holder != record.holders.end() && holder->second.confirmed_claim;
        });
    if (!all_confirmed && now < record.takeover_at() + with_clock_margin(settings_.home_lease))
        return;
    const auto& previous = record.previous_token();
    // A new process has no earlier requests, and stray ones are counted in its `busy`.
    bool all_holders_known = !previous && (all_confirmed || record.reports_busy());
    if (previous && all_confirmed) {
        const auto issuer = peers_.find(previous->node);
        all_holders_known = previous->node == settings_.node
                                ? previous->boot == settings_.boot
                                : issuer != peers_.end() && issuer->second.boot == previous->boot;
    }
    record.end_takeover(now, all_holders_known, entry.in_use);
    if (all_holders_known && now < entry.former_orphans_until)
        record.add_orphans(std::min(entry.former_orphans, record.free_slots(entry.in_use)), now);
    entry.former_orphans = 0;
}

void server_table::expire_holders(server_entry& entry, time_ms now) {
    auto& record = *entry.record;
    for (auto& [peer, holder] : record.holders) {
        if (holder.expired() || holder.taken_slots() == 0)
            continue;
        if (now >= peers_[peer].last_tick_at + with_clock_margin(settings_.share_lease))
            holder.expire(now);
    }
    record.release_overdue(now, max_request_time_);
}

void server_table::withdraw_all_grants(server_entry& entry) {
    entry.record->self_slots = 0;
    for (auto& [peer, holder] : entry.record->holders)
        holder.granted = 0;
}

announce_reply server_table::leave(const std::string& id,
                                   const std::optional<live_claim>& other_claim, time_ms now) {
    auto* entry = find(id);
    if (entry)
        entry->leaving = true;
    if (other_claim && (!entry || !is_home(*entry, now) ||
                        own_rank(*entry) < claim_rank{other_claim->epoch, other_claim->peer}))
        return redirect_to(other_claim->peer);
    if (!entry)
        return {};
    if (entry->record)
        withdraw_all_grants(*entry);
    return reply_for(*entry, now);
}

announce_reply server_table::describe(const std::string& id,
                                      const std::optional<live_claim>& other_claim,
                                      time_ms now) const {
    const auto* entry = find(id);
    if (other_claim && (!entry || !is_home(*entry, now)))
        return redirect_to(other_claim->peer);
    return entry ? reply_for(*entry, now) : announce_reply{};
}

void server_table::mark_leaving(const std::string& id) {
    auto* entry = find(id);
    if (!entry)
        return;
    entry->leaving = true;
    if (entry->record)
        withdraw_all_grants(*entry);
}

void server_table::mark_all_leaving() {
    for (auto& [id, entry] : servers_)
        mark_leaving(id);
}

void server_table::release_homes() {
    for (auto& [id, entry] : servers_) {
        if (entry.record)
            entry.record->released = true;
    }
}

std::optional<share_report> server_table::report_for(const server_entry& entry,
                                                     const claim_rank& claim, time_ms now) const {
    share_report out;
    out.backend_server = entry.data.id;
    out.epoch = std::max(entry.highest_claim.epoch, claim.epoch);
    const bool newer_claim_seen = claim < entry.highest_claim;
    if (newer_claim_seen && out.epoch == claim.epoch)
        ++out.epoch;
    const int slots = now < entry.share.valid_until ? entry.share.slots : 0;
    const bool same_claim = entry.share.granted_by == claim;
    out.held = same_claim ? 0 : slots;
    const int in_use = entry.in_use + (now < entry.former_orphans_until ? entry.former_orphans : 0);
    out.in_use = entry.leaving || in_use > slots ? in_use : 0;
    if (!newer_claim_seen && out.held == 0 && out.in_use == 0)
        return std::nullopt;
    return out;
}

void server_table::collect(const std::string& peer, const peer_link& link, std::uint64_t sequence,
                           tick_content& content, time_ms now) {
    for (auto& [id, entry] : servers_) {
        const auto claim = link.claims().find(id);
        if (claim != link.claims().end()) {
            if (auto report = report_for(entry, {claim->second.epoch, peer}, now))
                content.held.emplace(id, std::move(*report));
        }
        if (!is_home(entry, now) || entry.awaits_echo)
            continue;
        auto& record = *entry.record;
        auto& holder = record.holders[peer];
        share_grant grant;
        grant.backend_server = id;
        if (record.reconciling())
            grant.kind = holder.confirmed_claim ? grant_kind::extend : grant_kind::claim;
        grant.epoch = record.lease.epoch();
        grant.slots = holder.granted;
        grant.connections = connections_for(entry, holder.granted);
        grant.leaving = entry.leaving;
        const time_ms left = record.lease.ends() - now;
        grant.lapsing = left < min_lease_for_extension;
        grant.released = record.released;
        grant.service = service_;
        grant.instance = entry.data.instance;
        grant.address = entry.data.address;
        grant.port = entry.data.port;
        grant.availability_zone = entry.data.availability_zone;
        if (!grant.lapsing)
            content.valid_for = std::min(content.valid_for, left);
        holder.mark_sent(sequence);
        if (holder.claim_sequence == 0)
            holder.claim_sequence = sequence;
        content.grants.emplace(id, std::move(grant));
    }
}

// Applies one claim of a peer. Claims below the highest one seen are ignored, so that a former home
// cannot change or extend a share after another home has taken over.
void server_table::apply_claim(const std::string& peer, const share_grant& grant,
                               time_ms valid_until, time_ms now) {
    auto& entry = servers_[grant.backend_server];
    const claim_rank rank{grant.epoch, peer};
    entry.last_seen_at = now;
    if (rank < entry.highest_claim)
        return;
    if (entry.record && entry.record->lease.ends() > 0) {
        if (rank < own_rank(entry))
            return;
        relinquish_home(entry, now);
    }
    entry.highest_claim = rank;
    if (entry.data.instance != grant.instance) {
        entry.leaving = false;
        entry.share = {};
        entry.health = {};
    }
    entry.data.id = grant.backend_server;
    entry.data.service = service_;
    entry.data.instance = grant.instance;
    entry.data.address = grant.address;
    entry.data.port = grant.port;
    entry.data.availability_zone = grant.availability_zone;
    entry.leaving = entry.leaving || grant.leaving;
    if (grant.kind == grant_kind::claim)
        return;
    const int held = now < entry.share.valid_until ? entry.share.slots : 0;
    const bool extend = grant.kind == grant_kind::extend;
    const int slots = extend ? std::min(held, grant.slots) : grant.slots;
    if (entry.share.granted_by != rank && !extend)
        entry.share.valid_until = 0;
    entry.share.granted_by = rank;
    entry.share.slots = slots;
    entry.share.connections = grant.connections;
    if (!grant.lapsing)
        entry.share.valid_until = std::max(entry.share.valid_until, valid_until);
}

void server_table::apply_report(const std::string& peer, const peer_link& link,
                                const tick_effect& effect, server_entry& entry) {
    auto& record = *entry.record;
    auto& holder = record.holders[peer];
    const auto report = link.reports().find(entry.data.id);
    const bool reported = report != link.reports().end();
    holder.reported_held = reported ? report->second.held : 0;
    holder.reported_in_use = reported ? report->second.in_use : 0;
    if (effect.confirmed > 0)
        holder.mark_applied(effect.confirmed);
    if (reported && report->second.epoch > record.lease.epoch()) {
        // The peer has seen a higher claim; the next renewal starts a takeover with an epoch above
        // it.
        holder.confirmed_claim = false;
        entry.highest_claim = std::max(entry.highest_claim, claim_rank{report->second.epoch, ""});
    }
    if (record.waiting() && holder.confirmed_claim && !entry.leaving)
        holder.granted = holder.max_held_slots();
}

void server_table::receive(const std::string& peer, const peer_link& link,
                           const tick_effect& effect, time_ms now) {
    auto& member = peers_[peer];
    for (auto& [id, entry] : servers_) {
        if (effect.restarted && entry.record)
            entry.record->add_orphans(entry.record->holders[peer].restart(), now);
    }
    if (!effect.applied)
        return;
    member.last_tick_at = now;
    member.boot = link.remote_boot();
    const auto demand = link.demand().find(service_);
    member.demand = demand == link.demand().end()
                        ? member_demand{}
                        : member_demand{demand->second.queued, demand->second.in_use};
    for (const auto& [id, grant] : link.claims()) {
        if (grant.service == service_)
            apply_claim(peer, grant, effect.shares_valid_until, now);
    }
    for (auto& [id, entry] : servers_) {
        if (is_home(entry, now))
            apply_report(peer, link, effect, entry);
    }
}

// Servers whose slots this entryd may currently divide.
std::vector<server_entry*> server_table::grantable_servers(time_ms now) {
    std::vector<server_entry*> out;
    for (auto& [id, entry] : servers_) {
        if (is_home(entry, now) && !entry.awaits_echo && !entry.record->reconciling() &&
            !entry.record->released && !entry.leaving)
            out.push_back(&entry);
    }
    return out;
}

int& server_table::granted_to(server_entry& entry, const member_plan& member) {
    return member.name.empty() ? entry.record->self_slots
                               : entry.record->holders[member.name].granted;
}

// Computes the target of each member over all `servers`, in proportion to demand above its floor.
std::vector<server_table::member_plan>
server_table::plan_members(const std::vector<server_entry*>& servers, const member_demand& own,
                           time_ms now) {
    std::vector<member_plan> members{{"", own, 0, 0, 0}};
    std::vector<std::string> names{settings_.node};
    for (const auto& [peer, state] : peers_) {
        if (state.last_tick_at + member_timeout <= now)
            continue;
        members.push_back({peer, state.demand, 0, 0, 0});
        names.push_back(peer);
    }
    int total = 0;
    for (auto* entry : servers) {
        const auto floors = slot_floors(entry->data.id, entry->record->slots, names);
        int available = entry->record->free_slots(entry->in_use);
        for (std::size_t i = 0; i < members.size(); ++i) {
            const int granted = granted_to(*entry, members[i]);
            members[i].granted += granted;
            members[i].floor += floors[i];
            available += granted;
        }
        total += std::min(available, entry->record->slots);
    }
    std::vector<double> weights;
    std::vector<double> dither;
    for (std::size_t i = 0; i < members.size(); ++i) {
        auto& member = members[i];
        total -= member.floor;
        weights.push_back(std::max(0, member.demand.queued + member.demand.in_use - member.floor));
        dither.push_back(rounding_dither(settings_.node, service_, names[i]));
    }
    const auto parts = largest_remainder(total, weights, dither);
    for (std::size_t i = 0; i < members.size(); ++i)
        members[i].target = members[i].floor + parts[i];
    return members;
}

// Grants free slots to the members that are furthest below their target.
void server_table::grant_free(const std::vector<server_entry*>& servers,
                              std::vector<member_plan>& members) {
    for (auto* entry : servers) {
        auto& record = *entry->record;
        bool granted = false;
        while (record.free_slots(entry->in_use) > 0) {
            auto& best =
                *std::max_element(members.begin(), members.end(), [](const auto& a, const auto& b) {
                    return a.target - a.granted < b.target - b.granted;
                });
            if (best.target <= best.granted)
                break;
            if (!best.name.empty() && record.holders[best.name].expired())
                break;
            ++granted_to(*entry, best);
            ++best.granted;
            granted = true;
        }
        CLEMENTINE_INVARIANT(!granted || record.taken_slots(entry->in_use) <= record.slots,
                             "granted_within_slots");
    }
}

// Takes slots from members above their target, as many as members below theirs need.
void server_table::reclaim(const std::vector<server_entry*>& servers,
                           std::vector<member_plan>& members) {
    int shortfall = 0;

    for (const auto& member : members) {
        // A third of the queue is enough, because every home adds its part.
        const int wanted = (member.demand.queued + 2) / 3;
        shortfall += std::max(0, member.floor - member.granted);
        if (member.needs_slots())
            shortfall += std::min(wanted, std::max(0, member.target - member.granted));
    }
    for (auto* entry : servers) {
        // Free slots and unconfirmed reductions become available without further reductions.
        shortfall -= entry->record->free_slots(entry->in_use) +
                     entry->record->returning_slots(entry->in_use);
    }
    while (shortfall > 0) {
        auto& donor =
            *std::max_element(members.begin(), members.end(), [](const auto& a, const auto& b) {
                return a.surplus() < b.surplus();
            });
        if (donor.surplus() <= 0)
            return;
        auto* entry = *std::max_element(servers.begin(), servers.end(), [&](auto* a, auto* b) {
            return granted_to(*a, donor) < granted_to(*b, donor);
        });
        --granted_to(*entry, donor);
        --donor.granted;
        --shortfall;
    }
}

void server_table::advance(const member_demand& own, time_ms now) {
    for (auto it = servers_.begin(); it != servers_.end();) {
        auto& entry = it->second;
        expire_lease(entry, now);
        if (entry.record) {
            entry.last_seen_at = now;
            check_takeover(entry, now);
            expire_holders(entry, now);
            entry.record->reconcile(entry.in_use);
            if (entry.leaving)
                withdraw_all_grants(entry);
        }
        const bool gone = entry.in_use == 0 && entry.last_seen_at + entry_retention < now;
        it = gone ? servers_.erase(it) : std::next(it);
    }
    const auto servers = grantable_servers(now);
    if (servers.empty())
        return;
    auto members = plan_members(servers, own, now);
    grant_free(servers, members);
    reclaim(servers, members);
}

} // namespace clementine::routing
