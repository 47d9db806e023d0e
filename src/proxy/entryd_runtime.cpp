#include "proxy/entryd_runtime.h"

#include "base/log.h"
#include "proxy/admin_api.h"
#include "proxy/announcement_api.h"
#include "proxy/api_server.h"
#include "proxy/caller_listener.h"
#include "proxy/silent_monitor.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/post.hpp>

#include <algorithm>
#include <array>
#include <atomic>
#include <cstdio>
#include <random>
#include <thread>

namespace clementine::proxy {

namespace {

constexpr time_ms advance_interval = 50;
constexpr time_ms trim_interval = 1'000;
constexpr time_ms drain_poll_interval = 20;
// Added to the longest request timeout, for responses that are still being written.
constexpr time_ms drain_margin = 1'000;
// Limit of the wait for aborted sessions, which end as soon as their strand runs.
constexpr time_ms abort_timeout = 5'000;

// Distinguishes the starts of this process.
std::uint64_t random_boot_number() {
    std::random_device device;
    return (static_cast<std::uint64_t>(device()) << 32U) | device();
}

std::string id_prefix(const std::string& node, std::uint64_t boot) {
    std::array<char, 32> text{};
    std::snprintf(text.data(), text.size(), "-%08x-", static_cast<unsigned>(boot));
    return node + text.data();
}

routing::dispatcher_settings dispatcher_settings_of(const entryd_settings& settings,
                                                    std::uint64_t boot) {
    routing::dispatcher_settings out;
    out.node = settings.node;
    out.availability_zone = settings.availability_zone;
    for (const auto& peer : settings.peers)
        out.peers.push_back(peer.name);
    out.boot = boot;
    out.seed = boot;
    return out;
}

std::string text_of(const endpoint_text& endpoint) {
    const bool is_ipv6 = endpoint.address.find(':') != std::string::npos;
    return (is_ipv6 ? '[' + endpoint.address + ']' : endpoint.address) + ':' +
           std::to_string(endpoint.port);
}

// Announcement address of a peer. Unless configured, the peer is assumed to use the same port as
// this node.
std::optional<std::string> announcement_address(const entryd_settings& settings,
                                                const std::string& node) {
    const auto configured = std::ranges::find(settings.peer_backends, node, &named_endpoint::name);
    if (configured != settings.peer_backends.end())
        return text_of(configured->endpoint);
    const auto peer = std::ranges::find(settings.peers, node, &named_endpoint::name);
    if (peer == settings.peers.end())
        return std::nullopt;
    return text_of({peer->endpoint.address, settings.backends.port});
}

} // namespace

// Members are destroyed in reverse order, so those used by handlers of `io` are declared before it.
struct entryd_runtime::state {
    state(const entryd_settings& s, const clock_source& c)
        : settings(s), clock(c), boot(random_boot_number()),
          dispatcher(dispatcher_settings_of(s, boot), c), pool(counters, c),
          context(c, counters, dispatcher, pool, id_prefix(s.node, boot)),
          announcements(
              dispatcher, s.node, routing::dispatcher_settings{}.home_lease,
              [this](const std::string& node) { return announcement_address(settings, node); }),
          io(s.threads), work_guard(asio::make_work_guard(io)),
          periodic_timer(asio::make_strand(io)), callers(io, s.callers, context, s.max_callers),
          backends(io, s.backends,
                   [this](const api_request& request) { return announcements.handle(request); }),
          admin(io, s.admin,
                [this](const api_request& request) { return handle_admin(context, request); }),
          monitor(std::make_shared<silent_monitor>(io, context)) {
        context.timeouts.set(std::make_shared<timeout_settings>(s.timeouts));
    }

    asio::awaitable<void> advance_periodically() {
        time_ms next_trim = 0;
        while (!stopping) {
            periodic_timer.expires_after(to_duration(advance_interval));
            co_await periodic_timer.async_wait(use_tuple);
            dispatcher.advance();
            if (clock.now() < next_trim)
                continue;
            next_trim = clock.now() + trim_interval;
            pool.trim(context.timeouts.get()->backend_idle);
            counters.set("clementine_caller_connections", {},
                         static_cast<double>(callers.sessions()));
            counters.set("clementine_slots_in_use", {},
                         static_cast<double>(dispatcher.in_flight()));
        }
    }

    // Waits until no caller is connected; false if some still are after `limit`.
    bool wait_for_callers(time_ms limit) const {
        const auto end = clock.now() + limit;
        while (callers.sessions() > 0 && clock.now() < end)
            std::this_thread::sleep_for(to_duration(drain_poll_interval));
        return callers.sessions() == 0;
    }

    time_ms longest_request_timeout() const {
        time_ms longest = 0;
        if (const auto manifest = context.manifest.get()) {
            for (const auto& service : manifest->services)
                longest = std::max(longest, service.timeout);
        }
        return longest;
    }

    const entryd_settings settings;
    const clock_source& clock;
    const std::uint64_t boot;
    metrics counters;
    routing::dispatcher dispatcher;
    backend_pool pool;
    proxy_context context;
    announcement_api announcements;
    std::atomic<bool> stopping{false};
    asio::io_context io;
    asio::executor_work_guard<asio::io_context::executor_type> work_guard;
    asio::steady_timer periodic_timer;
    caller_listener callers;
    api_server backends;
    api_server admin;
    std::shared_ptr<silent_monitor> monitor;
    std::vector<std::unique_ptr<runtime_component>> components;
    std::vector<std::thread> threads;
    bool started = false;
};

entryd_runtime::entryd_runtime(const entryd_settings& settings, const clock_source& clock)
    : state_(std::make_unique<state>(settings, clock)) {}

entryd_runtime::~entryd_runtime() {
    stop();
}

void entryd_runtime::add_component(std::unique_ptr<runtime_component> component) {
    state_->components.push_back(std::move(component));
}

void entryd_runtime::set_key_claims(key_claims& claims) {
    state_->context.claims = &claims;
}

void entryd_runtime::apply_manifest(std::shared_ptr<const manifest::manifest> manifest) {
    state_->dispatcher.configure(manifest);
    state_->context.manifest.set(std::move(manifest));
    log_event(log_level::info, "manifest_in_force");
}

void entryd_runtime::apply_settings(const entryd_settings& settings) {
    state_->context.timeouts.set(std::make_shared<timeout_settings>(settings.timeouts));
    set_log_level(settings.level);
}

void entryd_runtime::start() {
    auto& s = *state_;
    s.started = true;
    for (int i = 0; i < s.settings.threads; ++i)
        s.threads.emplace_back([&s] { s.io.run(); });
    asio::co_spawn(s.periodic_timer.get_executor(), s.advance_periodically(), asio::detached);
    s.callers.start();
    s.backends.start();
    s.admin.start();
    s.monitor->start();
    for (const auto& component : s.components)
        component->start();
    log_event(log_level::info, "started")
        .field("callers", static_cast<unsigned>(caller_port()))
        .field("backends", static_cast<unsigned>(backend_port()))
        .field("admin", static_cast<unsigned>(admin_port()));
}

void entryd_runtime::drain() {
    auto& s = *state_;
    const auto drain_time = s.context.timeouts.get()->drain;
    log_event(log_level::info, "drain_started")
        .field("drain_ms", drain_time)
        .field("callers", static_cast<std::uint64_t>(s.callers.sessions()));
    s.context.draining = true;
    s.dispatcher.start_draining();
    std::this_thread::sleep_for(to_duration(drain_time));
    s.callers.finish();
    if (!s.wait_for_callers(s.longest_request_timeout() + drain_margin))
        log_event(log_level::warning, "drain_incomplete")
            .field("callers", static_cast<std::uint64_t>(s.callers.sessions()));
    stop();
}

void entryd_runtime::stop() {
    auto& s = *state_;
    if (!s.started)
        return;
    s.started = false;
    s.stopping = true;
    s.callers.abort();
    // Sessions hold slots of the dispatcher and must end before it is destroyed.
    s.wait_for_callers(abort_timeout);
    for (auto component = s.components.rbegin(); component != s.components.rend(); ++component)
        (*component)->stop();
    s.monitor->stop();
    s.backends.stop();
    s.admin.stop();
    s.work_guard.reset();
    s.io.stop();
    for (auto& thread : s.threads)
        thread.join();
    s.threads.clear();
    s.pool.close_idle();
    log_event(log_level::info, "stopped");
}

asio::io_context& entryd_runtime::io() {
    return state_->io;
}

proxy_context& entryd_runtime::context() {
    return state_->context;
}

routing::dispatcher& entryd_runtime::dispatcher() {
    return state_->dispatcher;
}

metrics& entryd_runtime::counters() {
    return state_->counters;
}

std::uint64_t entryd_runtime::boot() const {
    return state_->boot;
}

unsigned short entryd_runtime::caller_port() const {
    return state_->callers.port();
}

unsigned short entryd_runtime::backend_port() const {
    return state_->backends.port();
}

unsigned short entryd_runtime::admin_port() const {
    return state_->admin.port();
}

std::size_t entryd_runtime::callers() const {
    return state_->callers.sessions();
}

manifest::parse_result load_manifest(const std::string& file) {
    const auto text = read_file(file);
    if (text)
        return manifest::parse_manifest(*text);
    manifest::parse_result out;
    out.faults.push_back({0, "", "cannot read the file"});
    return out;
}

} // namespace clementine::proxy
