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

// Reports of the whole fleet at once, as after a restart: about 400 bytes for each of 32,000 VMs.
constexpr std::uint64_t max_reply_bytes = 64ULL << 20;
// Commands kept while the platform does not answer; the leader repeats what is still needed.
constexpr std::size_t max_queued_commands = 100'000;
// Exchanges without a poll before they pause.
constexpr int max_idle_rounds = 8;

// Sends one request on a kept connection and returns the response body.
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

struct http_platform::link {
    explicit link(asio::ip::tcp::endpoint where) : address(where) {}

    const asio::ip::tcp::endpoint address;
    std::atomic<bool> stopped = false;
    std::atomic<std::uint64_t> failures = 0;
    std::mutex mutex;
    std::vector<numbered_command> commands;
    std::vector<scheduler::vm_report> reports;
    std::uint64_t cursor = 0;
    bool polled = false; // since the last exchange
    int idle_rounds = 0;

    // Only a leader polls. While nobody does, no exchange is made, and the next one asks for the
    // reports of all VMs.
    bool wanted() {
        std::lock_guard lock(mutex);
        idle_rounds = polled ? 0 : idle_rounds + 1;
        polled = false;
        if (idle_rounds < max_idle_rounds)
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

    void store(exchange_reply reply) {
        std::lock_guard lock(mutex);
        cursor = reply.cursor;
        for (auto& report : reply.reports)
            reports.push_back(std::move(report));
    }

    // One exchange over the given connection.
    asio::awaitable<void> exchange_once(beast::tcp_stream& stream) {
        const auto body = co_await post(stream, address, encode(take_request()));
        auto reply = decode_reply(body);
        if (const auto* fault = std::get_if<codec_error>(&reply)) {
            log_event(log_level::error, "platform_reply_malformed").field("reason", fault->reason);
            throw boost::system::system_error(http::make_error_code(http::error::bad_value));
        }
        store(std::get<exchange_reply>(std::move(reply)));
    }

    // Runs exchanges until stopped. Holds the link alive, so that the adapter may go first.
    static asio::awaitable<void> run(std::shared_ptr<link> self) {
        const auto executor = co_await asio::this_coro::executor;
        asio::steady_timer timer(executor);
        auto stream = std::make_unique<beast::tcp_stream>(executor);
        while (!self->stopped) {
            try {
                if (self->wanted())
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
    : link_(std::make_shared<link>(address)) {
    asio::co_spawn(asio::make_strand(context), link::run(link_), asio::detached);
}

http_platform::~http_platform() {
    stop();
}

void http_platform::send(const scheduler::command& order, const scheduler::fencing& number) {
    std::lock_guard lock(link_->mutex);
    if (!link_->stopped && link_->commands.size() < max_queued_commands)
        link_->commands.push_back({order, number});
}

std::vector<scheduler::vm_report> http_platform::poll() {
    std::lock_guard lock(link_->mutex);
    link_->polled = true;
    return std::exchange(link_->reports, {});
}

void http_platform::stop() {
    link_->stopped = true;
}

std::uint64_t http_platform::failures() const {
    return link_->failures;
}

} // namespace clementine::platform_client
