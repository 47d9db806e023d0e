#include "routing/dispatcher.h"

#include "base/hash.h"
#include "routing/peer_link.h"
#include "routing/service_shard.h"

#include <algorithm>
#include <atomic>
#include <map>
#include <mutex>
#include <shared_mutex>

namespace clementine::routing {

namespace {

constexpr std::size_t max_id_length = 128;
constexpr int max_slots = 65'535;

// Returns why an announcement is malformed, or an empty text if it is valid.
std::string validation_error(const announcement& message) {
    if (message.id.empty() || message.id.size() > max_id_length)
        return "id must have 1 to 128 characters";
    if (message.instance.empty() || message.instance.size() > max_id_length)
        return "instance must have 1 to 128 characters";
    if (message.address.empty() || message.port == 0)
        return "address and port are required";
    if (message.slots < 1 || message.slots > max_slots)
        return "slots must be between 1 and 65535";
    if (message.connections < message.slots || message.connections > max_slots)
        return "connections must be between slots and 65535";
    if (message.busy && *message.busy < 0)
        return "busy must not be negative";
    return {};
}

} // namespace

struct dispatcher::state {
    state(dispatcher_settings s, const clock_source& c) : settings(std::move(s)), clock(c) {}

    using shard_ptr = std::shared_ptr<service_shard>;

    shard_ptr find_shard(const std::string& service) const {
        std::shared_lock lock(mutex);
        const auto found = shards.find(service);
        return found == shards.end() ? nullptr : found->second;
    }

    shard_ptr find_shard_of_server(const std::string& id) const {
        std::shared_lock lock(mutex);
        const auto found = service_by_server.find(id);
        if (found == service_by_server.end())
            return nullptr;
        const auto shard = shards.find(found->second);
        return shard == shards.end() ? nullptr : shard->second;
    }

    std::vector<shard_ptr> all_shards() const {
        std::shared_lock lock(mutex);
        std::vector<shard_ptr> out;
        for (const auto& [name, shard] : shards)
            out.push_back(shard);
        return out;
    }

    // Newest claim on a backend server by a reachable peer that is not draining and has not
    // released it.
    std::optional<live_claim> find_claim(const std::string& id, time_ms now) const {
        std::lock_guard lock(links_mutex);
        std::optional<live_claim> out;
        for (const auto& [peer, link] : links) {
            const auto claim = link.claims().find(id);
            if (claim == link.claims().end() || claim->second.released || link.draining() ||
                !link.reachable(now))
                continue;
            if (!out || claim_rank{out->epoch, out->peer} < claim_rank{claim->second.epoch, peer})
                out = live_claim{peer, claim->second.epoch};
        }
        return out;
    }

    // Peer that takes over a backend server from this draining entryd, by rendezvous hash; empty if
    // none is reachable.
    std::string find_successor(const std::string& id, time_ms now) const {
        std::lock_guard lock(links_mutex);
        std::string out;
        std::uint64_t best_rank = 0;
        for (const auto& [peer, link] : links) {
            const std::uint64_t rank = hash64(peer, hash64(id));
            if (link.reachable(now) && !link.draining() && (out.empty() || rank > best_rank)) {
                out = peer;
                best_rank = rank;
            }
        }
        return out;
    }

    bool has_zone(const std::string& zone) const {
        std::shared_lock lock(mutex);
        const auto& zones = current_manifest->availability_zones;
        return std::find(zones.begin(), zones.end(), zone) != zones.end();
    }

    void map_server(const std::string& id, const std::string& service) {
        std::unique_lock lock(mutex);
        service_by_server[id] = service;
    }

    // Adds the backend servers claimed by a peer to service_by_server.
    void map_claimed_servers(const peer_link& link) {
        std::unique_lock lock(mutex);
        for (const auto& [id, grant] : link.claims())
            service_by_server[id] = grant.service;
    }

    const dispatcher_settings settings;
    const clock_source& clock;
    std::atomic<bool> draining{false};
    // Lock order: before the lock of any shard.
    mutable std::mutex links_mutex;
    std::map<std::string, peer_link> links;
    mutable std::shared_mutex mutex; // guards the members below; alone or after links_mutex
    std::shared_ptr<const manifest::manifest> current_manifest;
    std::map<std::string, shard_ptr> shards;
    std::map<std::string, std::string> service_by_server; // backend server to service
};

dispatcher::dispatcher(dispatcher_settings settings, const clock_source& clock)
    : state_(std::make_unique<state>(std::move(settings), clock)) {
    for (const auto& peer : state_->settings.peers)
        state_->links.try_emplace(peer, state_->settings.node, state_->settings.boot, peer);
}

dispatcher::~dispatcher() = default;

void dispatcher::configure(std::shared_ptr<const manifest::manifest> manifest) {
    std::vector<state::shard_ptr> removed;
    {
        std::unique_lock lock(state_->mutex);
        std::map<std::string, state::shard_ptr> kept;
        for (const auto& service : manifest->services) {
            auto& shard = kept[service.name];
            const auto old = state_->shards.find(service.name);
            shard = old != state_->shards.end()
                        ? old->second
                        : std::make_shared<service_shard>(state_->settings, service.name);
            shard->configure(service, manifest->workspaces);
        }
        for (const auto& [name, shard] : state_->shards) {
            if (kept.count(name) == 0)
                removed.push_back(shard);
        }
        state_->shards = std::move(kept);
        state_->current_manifest = std::move(manifest);
    }
    pending_callbacks callbacks;
    for (const auto& shard : removed)
        shard->close(refusal::no_backend_server, callbacks);
    run_callbacks(std::move(callbacks));
}

void dispatcher::admit(admission request, admission_handler done) {
    pending_callbacks callbacks;
    const auto shard = state_->find_shard(request.service);
    if (shard)
        shard->admit(std::move(request), std::move(done), state_->clock.now(), callbacks);
    else
        callbacks.push_back({std::move(done), refusal::no_backend_server});
    run_callbacks(std::move(callbacks));
}

bool dispatcher::withdraw(const std::string& service, std::uint64_t request_id) {
    const auto shard = state_->find_shard(service);
    return shard && shard->withdraw(request_id);
}

bool dispatcher::may_start(const slot& slot) const {
    const auto shard = state_->find_shard(slot.service);
    return shard && shard->may_start(slot, state_->clock.now());
}

void dispatcher::release(const slot& slot, attempt_result result, time_ms duration) {
    pending_callbacks callbacks;
    if (const auto shard = state_->find_shard(slot.service))
        shard->release(slot, result, duration, state_->clock.now(), callbacks);
    run_callbacks(std::move(callbacks));
}

bool dispatcher::take_retry(const std::string& service) {
    const auto shard = state_->find_shard(service);
    return shard && shard->take_retry(state_->clock.now());
}

void dispatcher::observe_leaving(const std::string& backend_server) {
    if (const auto shard = state_->find_shard_of_server(backend_server))
        shard->mark_leaving(backend_server);
}

int dispatcher::connection_limit(const std::string& backend_server) const {
    const auto shard = state_->find_shard_of_server(backend_server);
    return shard ? shard->connection_limit(backend_server, state_->clock.now()) : 0;
}

announce_reply dispatcher::announce(const announcement& message) {
    if (auto error = validation_error(message); !error.empty())
        return refuse(announce_status::malformed, std::move(error));
    const auto known_shard = state_->find_shard_of_server(message.id);
    const auto shard = state_->find_shard(message.service);
    if (!shard)
        return refuse(announce_status::unknown_target, "unknown service");
    if (!state_->has_zone(message.availability_zone))
        return refuse(announce_status::unknown_target, "unknown availability zone");
    if (known_shard && known_shard != shard &&
        known_shard->describe(message.id, std::nullopt, state_->clock.now()).state !=
            server_state::unknown)
        return refuse(announce_status::conflict, "announced for another service");
    state_->map_server(message.id, message.service);
    const time_ms now = state_->clock.now();
    const auto other_claim = state_->find_claim(message.id, now);
    if (state_->draining) {
        auto successor = other_claim ? other_claim->peer : state_->find_successor(message.id, now);
        if (!successor.empty()) {
            auto reply = refuse(announce_status::redirect, "draining");
            reply.home = std::move(successor);
            return reply;
        }
    }
    pending_callbacks callbacks;
    auto reply = shard->announce(message, other_claim, now, callbacks);
    run_callbacks(std::move(callbacks));
    return reply;
}

announce_reply dispatcher::leave(const std::string& id) {
    const time_ms now = state_->clock.now();
    const auto shard = state_->find_shard_of_server(id);
    return shard ? shard->leave(id, state_->find_claim(id, now), now) : announce_reply{};
}

announce_reply dispatcher::describe(const std::string& id) const {
    const time_ms now = state_->clock.now();
    const auto shard = state_->find_shard_of_server(id);
    return shard ? shard->describe(id, state_->find_claim(id, now), now) : announce_reply{};
}

void dispatcher::advance() {
    pending_callbacks callbacks;
    for (const auto& shard : state_->all_shards())
        shard->advance(state_->clock.now(), callbacks);
    run_callbacks(std::move(callbacks));
}

std::optional<entry_tick> dispatcher::next_tick(const std::string& peer) {
    std::lock_guard lock(state_->links_mutex);
    const auto found = state_->links.find(peer);
    if (found == state_->links.end())
        return std::nullopt;
    auto& link = found->second;
    const time_ms now = state_->clock.now();
    tick_content content;
    content.draining = state_->draining;
    content.valid_for = state_->settings.share_lease;
    for (const auto& shard : state_->all_shards())
        shard->collect(peer, link, link.next_sequence(), content, now);
    return link.compose(std::move(content), now);
}

void dispatcher::receive_tick(const entry_tick& tick) {
    pending_callbacks callbacks;
    {
        std::lock_guard lock(state_->links_mutex);
        const auto found = state_->links.find(tick.sender);
        if (found == state_->links.end())
            return;
        auto& link = found->second;
        const time_ms now = state_->clock.now();
        const auto effect = link.receive(tick, now, state_->settings.share_lease);
        if (!effect.applied && !effect.restarted)
            return;
        if (!tick.grants.empty())
            state_->map_claimed_servers(link);
        for (const auto& shard : state_->all_shards())
            shard->receive(tick.sender, link, effect, now, callbacks);
    }
    run_callbacks(std::move(callbacks));
}

void dispatcher::start_draining() {
    state_->draining = true;
    for (const auto& shard : state_->all_shards())
        shard->release_homes();
}

int dispatcher::in_flight() const {
    int total = 0;
    for (const auto& shard : state_->all_shards())
        total += shard->in_flight();
    return total;
}

std::vector<service_demand> dispatcher::demand() const {
    std::vector<service_demand> out;
    for (const auto& shard : state_->all_shards())
        out.push_back(shard->current_demand());
    return out;
}

std::uint64_t dispatcher::boot() const {
    return state_->settings.boot;
}

} // namespace clementine::routing
