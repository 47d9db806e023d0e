#include "platform_client/http_platform.h"

#include "base/log.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <atomic>
#include <mutex>
#include <utility>

namespace clementine::platform_client {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

namespace {

// The largest reply has the reports of all VMs, as after a restart: about 400 bytes for each of up
// to 32,000 VMs, with a margin.
constexpr std::uint64_t max_reply_bytes = 64ULL << 20;
// Queue limit while the platform does not answer; the leader repeats commands still needed.
constexpr std::size_t max_queued_commands = 100'000;
// Exchanges pause after this many in a row without a poll().
constexpr int max_exchanges_without_poll = 8;

// Sends one request on a persistent connection and returns the response body.
asio::awaitable<std::string> post(beast::tcp_stream& stream, asio::ip::tcp::endpoint address,
                                  std::string body) {
    stream.expires_after(std::chrono::milliseconds(exchange_timeout));
    if (!stream.socket().is_open())
        co_await stream.async_connect(address, asio::use_awaitable);
    http::request<http::string_body> request{http::verb::post, "/v1/exchange", 11};
    request.set(http::field::host, address.address().to_string());
    request.set(http::field::content_type, "application/json");
    request.body() = std::move(body);
    request.prepare_payload();
    co_await http::async_write(stream, request, asio::use_awaitable);
    beast::flat_buffer buffer;
    http::response_parser<http::string_body> parser;
    parser.body_limit(max_reply_bytes);
    co_await http::async_read(stream, buffer, parser, asio::use_awaitable);
    if (parser.get().result() != http::status::ok)
        throw boost::system::system_error(http::make_error_code(http::error::bad_status));
    if (!parser.get().keep_alive())
        stream.close();
    co_return std::move(parser.get().body());
}

} // namespace

struct http_platform::exchange_loop {
    explicit exchange_loop(asio::ip::tcp::endpoint platform_address) : address(platform_address) {}

    const asio::ip::tcp::endpoint address;
    std::atomic<bool> stopped = false;
    std::atomic<std::uint64_t> failures = 0;
    std::mutex mutex;
    std::vector<fenced_command> commands;
    std::vector<scheduler::vm_report> reports;
    std::uint64_t cursor = 0;
    bool polled_since_exchange = false;
    int exchanges_since_poll = 0;

    // Only a leader polls. Without polls exchanges pause, and the next one requests the reports of
    // all VMs.
    bool should_exchange() {
        std::lock_guard lock(mutex);
        exchanges_since_poll = polled_since_exchange ? 0 : exchanges_since_poll + 1;
        polled_since_exchange = false;
        if (exchanges_since_poll < max_exchanges_without_poll)
            return true;
        cursor = 0;
        reports.clear();
        return false;
    }

    exchange_request take_request() {
        std::lock_guard lock(mutex);
        exchange_request out{cursor, std::move(commands)};
        commands.clear();
        return out;
    }

    void store_reply(exchange_reply reply) {
        std::lock_guard lock(mutex);
        cursor = reply.cursor;
        for (auto& report : reply.reports)
            reports.push_back(std::move(report));
    }

    // Makes one exchange on the given connection.
    asio::awaitable<void> exchange_once(beast::tcp_stream& stream) {
        const auto body = co_await post(stream, address, encode(take_request()));
        auto reply = decode_reply(body);
        if (const auto* fault = std::get_if<codec_error>(&reply)) {
            log_event(log_level::error, "platform_reply_malformed").field("reason", fault->reason);
            throw boost::system::system_error(http::make_error_code(http::error::bad_value));
        }
        store_reply(std::get<exchange_reply>(std::move(reply)));
    }

    // Makes exchanges until stopped. Shares ownership of this state, so the client object may be
    // destroyed earlier.
    static asio::awaitable<void> run(std::shared_ptr<exchange_loop> self) {
        const auto executor = co_await asio::this_coro::executor;
        asio::steady_timer timer(executor);
        auto stream = std::make_unique<beast::tcp_stream>(executor);
        while (!self->stopped) {
            try {
                if (self->should_exchange())
                    co_await self->exchange_once(*stream);
            } catch (const boost::system::system_error& error) {
                ++self->failures;
                log_event(log_level::warning, "platform_exchange_failed")
                    .field("error", error.code().message());
                stream = std::make_unique<beast::tcp_stream>(executor);
            }
            timer.expires_after(std::chrono::milliseconds(exchange_interval));
            co_await timer.async_wait(asio::use_awaitable);
        }
    }
};

http_platform::http_platform(asio::io_context& context, asio::ip::tcp::endpoint address)
    : exchanges_(std::make_shared<exchange_loop>(address)) {
    asio::co_spawn(asio::make_strand(context), exchange_loop::run(exchanges_), asio::detached);
}

http_platform::~http_platform() {
    stop();
}

void http_platform::send(const scheduler::command& order, const scheduler::fencing& number) {
    std::lock_guard lock(exchanges_->mutex);
    if (!exchanges_->stopped && exchanges_->commands.size() < max_queued_commands)
        exchanges_->commands.push_back({order, number});
}

std::vector<scheduler::vm_report> http_platform::poll() {
    std::lock_guard lock(exchanges_->mutex);
    exchanges_->polled_since_exchange = true;
    return std::exchange(exchanges_->reports, {});
}

void http_platform::stop() {
    exchanges_->stopped = true;
}

std::uint64_t http_platform::failures() const {
    return exchanges_->failures;
}

} // namespace clementine::platform_client
