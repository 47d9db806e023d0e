#include "proxy/silent_monitor.h"

#include "base/log.h"
#include "proxy/message_decoder.h"
#include "proxy/read_buffer.h"
#include "proxy/watchdog.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>

#include <array>
#include <set>

namespace clementine::proxy {

namespace {

// Much shorter than the default silence limit of 1,500 ms, so that silence is detected promptly.
constexpr time_ms observe_interval = 100;
constexpr std::size_t probe_buffer_bytes = 32 * 1024;

std::string_view probe_name(probe_target target) {
    return target == probe_target::new_connection ? "new" : "idle";
}

} // namespace

silent_monitor::silent_monitor(asio::io_context& io, proxy_context& context)
    : io_(io), strand_(asio::make_strand(io)), context_(context), timer_(strand_) {}

void silent_monitor::start() {
    asio::co_spawn(
        strand_, [self = shared_from_this()] { return self->run(); }, asio::detached);
}

void silent_monitor::stop() {
    stopping_ = true;
    asio::post(strand_, [self = shared_from_this()] { self->timer_.cancel(); });
}

asio::awaitable<void> silent_monitor::run() {
    const auto self = shared_from_this();
    while (!stopping_) {
        timer_.expires_after(to_duration(observe_interval));
        co_await timer_.async_wait(use_tuple);
        observe_all();
    }
}

void silent_monitor::observe_all() {
    const auto timeouts = context_.timeouts.get();
    std::set<server_key> current_servers;
    for (const auto& [key, endpoint] : context_.pool.servers()) {
        current_servers.insert(key);
        const silent_settings settings{timeouts->silent, timeouts->probe};
        auto& item =
            servers_.try_emplace(key, watched_server{silent_detector(settings), {}}).first->second;
        item.endpoint = endpoint;
        perform(key, item.detector.observe(context_.clock.now(), context_.pool.view(key)));
    }
    std::erase_if(servers_, [&](const auto& item) {
        return current_servers.count(item.first) == 0 && !item.second.detector.suspect_since();
    });
}

void silent_monitor::perform(const server_key& key, const std::vector<silent_action>& actions) {
    const auto it = servers_.find(key);
    if (it == servers_.end())
        return;
    auto& item = it->second;
    const auto since = item.detector.suspect_since();
    // Routine probes may use any idle connection.
    const auto opened_before = since.value_or(context_.clock.now() + 1);
    if (since)
        context_.pool.block_before(key, *since);
    for (const auto action : actions) {
        switch (action) {
        case silent_action::probe_new:
            asio::co_spawn(strand_,
                           probe(key, probe_target::new_connection, item.endpoint, opened_before),
                           asio::detached);
            break;
        case silent_action::probe_idle:
            asio::co_spawn(strand_,
                           probe(key, probe_target::idle_connection, item.endpoint, opened_before),
                           asio::detached);
            break;
        case silent_action::replace_old: {
            const auto count = context_.pool.replace_before(key, item.detector.replaced_before());
            context_.counters.add("clementine_silent_connections_replaced",
                                  {{"backend_server", key.backend_server}}, count);
            log_event(log_level::warning, "silent_connections_replaced")
                .field("backend_server", key.backend_server)
                .field("count", static_cast<std::uint64_t>(count));
            break;
        }
        case silent_action::clear:
            context_.pool.block_before(key, 0);
            break;
        }
    }
}

// Sends OPTIONS * and reads the whole response; any status counts as an answer.
asio::awaitable<probe_result> silent_monitor::exchange_probe(tcp::socket& socket, bool& reusable,
                                                             const bool& timed_out) {
    static constexpr std::string_view request =
        "OPTIONS * HTTP/1.1\r\nHost: probe\r\nContent-Length: 0\r\n\r\n";
    // A closed connection is not a silent one.
    const auto failure = [&timed_out] {
        return timed_out ? probe_result::failed : probe_result::unavailable;
    };
    const auto [write_error, written] = co_await asio::async_write(
        socket, asio::const_buffer(request.data(), request.size()), use_tuple);
    if (write_error)
        co_return failure();
    auto decoder = message_decoder::for_response(false);
    read_buffer buffer(probe_buffer_bytes);
    std::array<char, 1024> discarded{};
    while (!decoder.done()) {
        const auto step = decoder.feed(buffer.view(), discarded);
        buffer.consume(step.consumed);
        if (decoder.header_done() && decoder.needs_eof())
            co_return probe_result::answered;
        if (step.state == decode_state::malformed || buffer.full())
            co_return probe_result::answered;
        if (step.state != decode_state::need_more)
            continue;
        const auto [error, size] = co_await socket.async_read_some(buffer.prepare(), use_tuple);
        if (error)
            co_return decoder.header_done() ? probe_result::answered : failure();
        buffer.commit(size);
    }
    reusable = decoder.keep_alive() && buffer.empty();
    co_return probe_result::answered;
}

asio::awaitable<void> silent_monitor::probe(server_key key, probe_target target,
                                            tcp::endpoint endpoint, time_ms opened_before) {
    const auto self = shared_from_this();
    connection_ptr connection;
    auto result = probe_result::unavailable;
    bool reusable = false;
    bool timed_out = false;
    if (target == probe_target::idle_connection)
        connection = context_.pool.take_for_probe(key, opened_before);
    else
        connection = std::make_shared<backend_connection>(tcp::socket(io_), context_.clock.now());
    if (connection) {
        watchdog guard(strand_, [connection, &timed_out] {
            timed_out = true;
            error_code ignored;
            connection->socket.close(ignored);
        });
        guard.arm(context_.timeouts.get()->probe);
        bool open = true;
        if (target == probe_target::new_connection) {
            const auto [error] = co_await connection->socket.async_connect(endpoint, use_tuple);
            open = !error && !timed_out;
            if (open)
                configure_backend_socket(connection->socket);
        }
        if (open)
            result = co_await exchange_probe(connection->socket, reusable, timed_out);
        guard.disarm();
    }
    if (connection && reusable && !timed_out)
        context_.pool.add_idle(key, connection);
    probe_ended(key, target, result);
}

void silent_monitor::probe_ended(const server_key& key, probe_target target, probe_result result) {
    log_event(result == probe_result::failed ? log_level::warning : log_level::debug, "probe")
        .field("backend_server", key.backend_server)
        .field("connection", probe_name(target))
        .field("answered", result == probe_result::answered);
    const auto it = servers_.find(key);
    if (it == servers_.end())
        return;
    perform(key, it->second.detector.probe_ended(context_.clock.now(), target, result,
                                                 context_.pool.view(key)));
}

} // namespace clementine::proxy
