#include "support/routing_simulation.h"

#include "base/hash.h"
#include "wire/codec.h"
#include "wire/frame.h"

#include <algorithm>
#include <cmath>
#include <cstdio>

namespace clementine::testing {

using namespace routing;

namespace {

constexpr time_ms poll_interval{50};
// IPv4 and TCP headers with the timestamp option.
constexpr std::uint64_t packet_bytes = 52;
// Linux acknowledges after 40 ms at the latest.
constexpr time_ms delayed_acknowledgement{40};
// A backend server that gets no reply to a renewal within this time tries another entryd.
constexpr time_ms reply_timeout{300};
// Latest arrival of a request after its backend server began to leave.
constexpr time_ms leaving_limit{3'000};
constexpr time_ms idle_sample_interval{10};

std::string entry_name(int index) {
    return "entry-" + std::to_string(index + 1);
}

std::string service_name(int index) {
    return "service-" + std::to_string(index + 1);
}

std::string zone_name(int index) {
    return "az-" + std::to_string(index % 4 + 1);
}

// A clock of virtual time with its own rate and offset.
class skewed_clock final : public clock_source {
  public:
    skewed_clock(const time_ms& now, double rate, time_ms offset)
        : now_(now), rate_(rate), offset_(offset) {}
    time_ms now() const override {
        return offset_ + static_cast<time_ms>(std::floor(static_cast<double>(now_) * rate_));
    }

  private:
    const time_ms& now_;
    double rate_;
    time_ms offset_;
};

} // namespace

std::uint64_t tick_wire_bytes(const entry_tick& tick) {
    // The hello message of a link carries sender and boot number once (proxy/entry_peers).
    auto sent = tick;
    sent.sender.clear();
    sent.boot = 0;
    return packet_bytes + wire::frame_header_bytes + wire::encode(wire::message(sent)).size();
}

struct routing_simulation::event {
    time_ms at = 0;
    std::uint64_t sequence = 0;
    std::function<void()> action;
};

bool routing_simulation::event_order::operator()(const event& a, const event& b) const {
    return a.at != b.at ? a.at > b.at : a.sequence > b.sequence;
}

struct routing_simulation::entry_node {
    std::unique_ptr<skewed_clock> clock;
    std::unique_ptr<routing::dispatcher> dispatcher; // null while the entryd is down
    std::uint64_t boot = 0;
    time_ms frozen_until = 0;
    std::deque<std::function<void()>> inbox; // messages that arrived while frozen
    std::uint64_t admitted = 0;
};

struct routing_simulation::server_node {
    announcement announced;
    int service = 0;
    std::uint64_t generation = 0; // of the server process, raised by a restart
    std::uint64_t attempt = 0;    // number of the last renewal, to detect missing replies
    bool up = true;
    int home = 0; // entryd that receives the next renewal
    int in_progress = 0;
    bool leaving = false;
    std::optional<time_ms> left_at;
    routing::server_state state = routing::server_state::unknown;
};

routing_simulation::routing_simulation(simulation_options options)
    : options_(options), random_(options.seed) {
    auto manifest = std::make_shared<manifest::manifest>();
    for (int zone = 0; zone < 4; ++zone)
        manifest->availability_zones.push_back(zone_name(zone));
    for (int i = 0; i < options_.services; ++i) {
        manifest::service service;
        service.name = service_name(i);
        service.timeout = options_.timeout;
        service.queue_length = options_.queue_length;
        manifest->services.push_back(service);
    }
    manifest_ = manifest;
    for (int i = 0; i < options_.entries; ++i) {
        entries_.push_back(std::make_unique<entry_node>());
        const double error = options_.max_clock_error * (2 * random_.unit() - 1);
        entries_[i]->clock =
            std::make_unique<skewed_clock>(now_, 1 + error, random_.between(1'000, 100'000));
        start_entry(i);
    }
    for (int i = 0; i < options_.services * options_.servers_per_service; ++i) {
        servers_.push_back(std::make_unique<server_node>());
        auto& server = *servers_.back();
        server.service = i / options_.servers_per_service;
        server.announced.id = "server-" + std::to_string(i + 1);
        server.announced.service = service_name(server.service);
        server.announced.address = "10.0.0." + std::to_string(i + 1);
        server.announced.port = 8080;
        server.announced.slots = options_.slots;
        server.announced.connections = options_.connections;
        server.announced.availability_zone = zone_name(i);
        server.announced.instance = server.announced.id + "-1";
        server.home = i % options_.entries;
        post(random_.between(0, 500), [this, i] { renew(i, servers_[i]->generation); });
    }
    rates_.assign(options_.services, 0);
    rate_generations_.assign(options_.services, 0);
    waiting_.assign(options_.services, 0);
    for (int i = 0; i < options_.services; ++i)
        set_rate(i, options_.requests_per_second);
    post(idle_sample_interval, [this] { sample_idle_slots(); });
}

routing_simulation::~routing_simulation() = default;

void routing_simulation::record_decision(const std::string& decision) {
    counts_.signature = hash64(decision, counts_.signature);
    if (trace_)
        std::fprintf(stderr, "%lld %s\n", static_cast<long long>(now_), decision.c_str());
}

// Prints the content of a tick, to analyze the failure of a seed.
void routing_simulation::trace_tick(const entry_tick& tick, int to) const {
    if (!trace_)
        return;
    std::fprintf(stderr, "%lld tick %s to %s seq=%llu echo=%llu valid=%lld",
                 static_cast<long long>(now_), tick.sender.c_str(), entry_name(to).c_str(),
                 static_cast<unsigned long long>(tick.sequence),
                 static_cast<unsigned long long>(tick.echoed_sequence),
                 static_cast<long long>(tick.valid_for));
    for (const auto& item : tick.grants)
        std::fprintf(stderr, " %s@%llu:%s=%d%s%s", item.backend_server.c_str(),
                     static_cast<unsigned long long>(item.epoch),
                     std::string(to_name(item.kind)).c_str(), item.slots,
                     item.leaving ? ",leaving" : "", item.lapsing ? ",lapsing" : "");
    for (const auto& item : tick.held)
        std::fprintf(stderr, " (%s@%llu held=%d in_use=%d)", item.backend_server.c_str(),
                     static_cast<unsigned long long>(item.epoch), item.held, item.in_use);
    std::fprintf(stderr, "\n");
}

void routing_simulation::at(time_ms when, std::function<void()> action) {
    events_.push({when, next_event_++, std::move(action)});
}

void routing_simulation::post(time_ms delay, std::function<void()> action) {
    at(now_ + delay, std::move(action));
}

void routing_simulation::run_until(time_ms end) {
    while (!events_.empty() && events_.top().at <= end) {
        auto next = events_.top();
        events_.pop();
        now_ = next.at;
        next.action();
    }
    now_ = end;
}

time_ms routing_simulation::packet_delay() {
    return random_.between(1, options_.max_packet_delay);
}

bool routing_simulation::connected(int a, int b) const {
    const auto found = disconnections_.find(std::minmax(a, b));
    return found == disconnections_.end() || found->second <= now_;
}

void routing_simulation::disconnect(int a, int b, time_ms duration) {
    record_decision("cut " + std::to_string(a + 1) + ' ' + std::to_string(b + 1) + " for " +
                    std::to_string(duration));
    auto& until = disconnections_[std::minmax(a, b)];
    until = std::max(until, now_ + duration);
}

void routing_simulation::deliver(int index, std::function<void()> action) {
    auto& node = *entries_[index];
    if (now_ < node.frozen_until)
        node.inbox.push_back(std::move(action));
    else if (node.dispatcher)
        action();
}

// Sends a message between machines. Entryds are 0 to entries - 1, servers follow.
void routing_simulation::send(int from, int to, bool lossy, std::function<void()> action) {
    if (!connected(from, to) || (lossy && random_.chance(options_.loss)))
        return;
    post(packet_delay(), [this, to, action = std::move(action)]() mutable {
        if (to < options_.entries)
            deliver(to, std::move(action));
        else
            action();
    });
}

void routing_simulation::start_entry(int index) {
    auto& node = *entries_[index];
    dispatcher_settings settings;
    settings.node = entry_name(index);
    settings.availability_zone = zone_name(index);
    settings.boot = hash64(settings.node, ++next_boot_);
    settings.seed = options_.seed + static_cast<std::uint64_t>(index);
    for (int i = 0; i < options_.entries; ++i) {
        if (i != index)
            settings.peers.push_back(entry_name(i));
    }
    node.boot = settings.boot;
    node.inbox.clear();
    node.frozen_until = 0;
    node.dispatcher = std::make_unique<dispatcher>(settings, *node.clock);
    node.dispatcher->configure(manifest_);
    const auto boot = node.boot;
    post(random_.between(0, poll_interval), [this, index, boot] { poll_entry(index, boot); });
}

// Sends the next tick if one is due and counts its packets. A tick sent within the delayed
// acknowledgement time after a received one carries its acknowledgement, which saves a packet.
void routing_simulation::send_tick(int index, int peer) {
    auto tick = entries_[index]->dispatcher->next_tick(entry_name(peer));
    if (!tick)
        return;
    ++counts_.ticks;
    counts_.tick_bytes += tick_wire_bytes(*tick);
    const auto received = unacknowledged_.find({index, peer});
    if (received != unacknowledged_.end() && now_ - received->second < delayed_acknowledgement)
        counts_.tick_bytes -= packet_bytes;
    if (received != unacknowledged_.end())
        unacknowledged_.erase(received);
    trace_tick(*tick, peer);
    send(index, peer, true, [this, index, peer, tick = std::move(*tick)] {
        counts_.tick_bytes += packet_bytes;
        unacknowledged_[{peer, index}] = now_;
        entries_[peer]->dispatcher->receive_tick(tick);
        send_tick(peer, index);
    });
}

void routing_simulation::poll_entry(int index, std::uint64_t boot) {
    auto& node = *entries_[index];
    if (node.boot != boot || !node.dispatcher)
        return;
    if (now_ < node.frozen_until) {
        at(node.frozen_until, [this, index, boot] { poll_entry(index, boot); });
        return;
    }
    node.dispatcher->advance();
    for (int peer = 0; peer < options_.entries; ++peer) {
        if (peer != index)
            send_tick(index, peer);
    }
    post(poll_interval, [this, index, boot] { poll_entry(index, boot); });
}

void routing_simulation::freeze(int index, time_ms duration) {
    auto& node = *entries_[index];
    if (!node.dispatcher || now_ < node.frozen_until)
        return;
    record_decision("freeze " + entry_name(index));
    node.frozen_until = now_ + duration;
    const auto boot = node.boot;
    at(node.frozen_until, [this, index, boot] {
        auto& resumed = *entries_[index];
        if (resumed.boot != boot)
            return;
        auto inbox = std::move(resumed.inbox);
        resumed.inbox.clear();
        for (auto& action : inbox)
            action();
    });
}

void routing_simulation::crash(int index, time_ms down_time) {
    auto& node = *entries_[index];
    if (!node.dispatcher)
        return;
    record_decision("crash " + entry_name(index));
    node.dispatcher.reset();
    node.inbox.clear();
    node.frozen_until = 0;
    node.boot = 0;
    post(down_time, [this, index] { start_entry(index); });
}

void routing_simulation::drain(int index) {
    deliver(index, [this, index] { entries_[index]->dispatcher->start_draining(); });
}

void routing_simulation::set_rate(int service, double requests_per_second) {
    rates_[service] = requests_per_second;
    schedule_request(service, ++rate_generations_[service]);
}

void routing_simulation::schedule_request(int service, std::uint64_t generation) {
    if (rates_[service] <= 0)
        return;
    const double gap = -std::log(1 - random_.unit()) * 1'000 / rates_[service];
    post(static_cast<time_ms>(std::llround(gap)), [this, service, generation] {
        if (generation != rate_generations_[service])
            return;
        start_request(service, static_cast<int>(random_.below(entries_.size())));
        schedule_request(service, generation);
    });
}

void routing_simulation::start_request(int service, int index) {
    deliver(index, [this, service, index] {
        auto& node = *entries_[index];
        const auto boot = node.boot;
        const time_ms arrived = now_;
        const time_ms deadline = now_ + options_.timeout;
        admission request;
        request.request_id = ++next_request_;
        request.service = service_name(service);
        request.workspace = "default";
        request.deadline = node.clock->now() + options_.timeout;
        ++waiting_[service];
        node.dispatcher->admit(std::move(request), [=, this](admission_result result) {
            --waiting_[service];
            if (std::holds_alternative<refusal>(result)) {
                ++counts_.refused;
                record_decision("refused " + entry_name(index));
                return;
            }
            ++counts_.admitted;
            ++entries_[index]->admitted;
            waits_.push_back({service, now_, now_ - arrived});
            const auto slot = std::get<routing::slot>(result);
            record_decision(entry_name(index) + ' ' + slot.backend_server);
            // The proxy takes up to 2 ms from the admission to the first byte sent.
            post(random_.between(0, 2), [=, this] {
                deliver(index, [=, this] { dispatch_to_server(index, boot, slot, deadline); });
            });
        });
    });
}

void routing_simulation::dispatch_to_server(int index, std::uint64_t boot, const slot& slot,
                                            time_ms deadline) {
    auto& node = *entries_[index];
    if (node.boot != boot)
        return;
    if (!node.dispatcher->may_start(slot)) {
        node.dispatcher->release(slot, attempt_result::not_run, 0);
        return;
    }
    const int server = std::stoi(slot.backend_server.substr(7)) - 1;
    const int machine = options_.entries + server;
    if (!connected(index, machine)) {
        finish(index, boot, slot, attempt_result::not_run, 1);
        return;
    }
    send(index, machine, false, [=, this] { run_on_server(server, index, boot, slot, deadline); });
}

void routing_simulation::run_on_server(int index, int entry, std::uint64_t boot, const slot& slot,
                                       time_ms deadline) {
    auto& server = *servers_[index];
    const time_ms started = now_;
    if (!server.up) {
        post(packet_delay(), [=, this] {
            deliver(entry, [=, this] { finish(entry, boot, slot, attempt_result::not_run, 1); });
        });
        return;
    }
    ++server.in_progress;
    if (server.in_progress > server.announced.slots) {
        ++counts_.limit_violations;
        record_decision("violation " + server.announced.id + " by " + entry_name(entry));
    }
    if (server.left_at && now_ > *server.left_at + leaving_limit) {
        ++counts_.late_after_leaving;
        record_decision("late on leaving " + server.announced.id + " by " + entry_name(entry));
    }
    const double sample =
        -std::log(1 - random_.unit()) * static_cast<double>(options_.mean_service_time);
    const time_ms service_time =
        std::min(options_.max_service_time, 1 + static_cast<time_ms>(std::llround(sample)));
    const time_ms duration = std::max(time_ms{1}, std::min(service_time, deadline - now_));
    const auto generation = server.generation;
    post(duration, [=, this] {
        auto& running = *servers_[index];
        const bool same_process = running.generation == generation;
        if (same_process)
            --running.in_progress;
        const auto result = same_process ? attempt_result::answered : attempt_result::lost;
        post(packet_delay(), [=, this] {
            deliver(entry, [=, this] { finish(entry, boot, slot, result, now_ - started); });
        });
    });
}

void routing_simulation::finish(int index, std::uint64_t boot, const slot& slot,
                                attempt_result result, time_ms took) {
    auto& node = *entries_[index];
    if (node.boot != boot)
        return;
    if (result == attempt_result::answered)
        ++counts_.answered;
    node.dispatcher->release(slot, result, took);
}

void routing_simulation::pick_home(int index) {
    servers_[index]->home = static_cast<int>(random_.below(entries_.size()));
}

void routing_simulation::renew(int index, std::uint64_t generation) {
    auto& server = *servers_[index];
    if (!server.up || server.generation != generation)
        return;
    const auto attempt = ++server.attempt;
    const int home = server.home;
    const int machine = options_.entries + index;
    auto message = server.announced;
    if (options_.report_busy)
        message.busy = server.in_progress;
    const bool leave = server.leaving && server.state != routing::server_state::leaving;
    send(machine, home, false, [=, this] {
        auto& dispatcher = *entries_[home]->dispatcher;
        const auto reply = leave ? dispatcher.leave(message.id) : dispatcher.announce(message);
        record_decision(entry_name(home) + (leave ? " leave " : " announce ") + message.id + ' ' +
                        std::string(to_name(reply.status)) + ' ' +
                        std::string(to_name(reply.state)) + ' ' + reply.token);
        auto& left_at = servers_[index]->left_at;
        if (leave && reply.state == routing::server_state::leaving && !left_at &&
            servers_[index]->generation == generation)
            left_at = now_;
        send(home, machine, false,
             [=, this] { handle_reply(index, generation, home, leave, reply); });
    });
    post(reply_timeout, [=, this] {
        auto& waiting = *servers_[index];
        if (waiting.generation != generation || waiting.attempt != attempt)
            return;
        pick_home(index);
        renew(index, generation);
    });
}

void routing_simulation::handle_reply(int index, std::uint64_t generation, int from, bool was_leave,
                                      const announce_reply& reply) {
    auto& server = *servers_[index];
    // Drops replies after the timeout, as a client that has closed the connection does.
    if (!server.up || server.generation != generation || server.home != from)
        return;
    const auto attempt = ++server.attempt;
    time_ms next = reply.renew_ms;
    if (reply.status == announce_status::redirect) {
        server.home = std::stoi(reply.home.substr(6)) - 1;
        next = 1;
    } else if (reply.status == announce_status::accepted) {
        server.state = reply.state;
        if (!was_leave)
            server.announced.token = reply.token;
        if (server.leaving && reply.state != routing::server_state::leaving)
            next = 1;
    } else {
        next = 500;
    }
    post(next, [=, this] {
        if (servers_[index]->attempt == attempt)
            renew(index, generation);
    });
}

void routing_simulation::move_server(int index) {
    auto& server = *servers_[index];
    record_decision("move " + server.announced.id);
    const int old = server.home;
    disconnect(options_.entries + index, old, 2'000);
    pick_home(index);
    renew(index, server.generation);
}

void routing_simulation::restart_server(int index) {
    auto& server = *servers_[index];
    record_decision("restart " + server.announced.id);
    ++server.generation;
    server.in_progress = 0;
    server.up = false;
    server.leaving = false;
    server.left_at.reset();
    server.state = routing::server_state::unknown;
    server.announced.token.clear();
    server.announced.instance = server.announced.id + '-' + std::to_string(server.generation + 1);
    const auto generation = server.generation;
    post(random_.between(200, 4'000), [this, index, generation] {
        auto& started = *servers_[index];
        if (started.generation != generation)
            return;
        started.up = true;
        pick_home(index);
        renew(index, generation);
    });
}

void routing_simulation::leave_server(int index) {
    auto& server = *servers_[index];
    if (!server.up || server.leaving)
        return;
    record_decision("leave " + server.announced.id);
    server.leaving = true;
    renew(index, server.generation);
}

int routing_simulation::server_count() const {
    return static_cast<int>(servers_.size());
}

bool routing_simulation::server_leaving(int server) const {
    return servers_[server]->leaving;
}

routing::server_state routing_simulation::server_state(int server) const {
    return servers_[server]->state;
}

bool routing_simulation::entry_up(int entry) const {
    return entries_[entry]->dispatcher != nullptr;
}

dispatcher& routing_simulation::entry(int index) {
    return *entries_[index]->dispatcher;
}

int routing_simulation::in_progress(int server) const {
    return servers_[server]->in_progress;
}

int routing_simulation::home_of(int server) const {
    return servers_[server]->home;
}

std::uint64_t routing_simulation::admitted_at(int entry) const {
    return entries_[entry]->admitted;
}

std::vector<double> routing_simulation::waits(int service, time_ms from, time_ms to) const {
    std::vector<double> out;
    for (const auto& sample : waits_) {
        if (sample.service == service && sample.at >= from && sample.at < to)
            out.push_back(static_cast<double>(sample.wait));
    }
    return out;
}

void routing_simulation::sample_idle_slots() {
    for (int service = 0; service < options_.services; ++service) {
        if (waiting_[service] == 0)
            continue;
        int idle = 0;
        for (const auto& server : servers_) {
            if (server->service == service && server->up && !server->leaving)
                idle += std::max(0, server->announced.slots - server->in_progress);
        }
        idle_slot_samples_while_waiting_ +=
            static_cast<std::uint64_t>(std::min(idle, waiting_[service]));
    }
    post(idle_sample_interval, [this] { sample_idle_slots(); });
}

} // namespace clementine::testing
