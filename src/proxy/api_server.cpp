#include "proxy/api_server.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>

#include <atomic>
#include <list>
#include <mutex>
#include <stdexcept>

namespace clementine::proxy {

namespace http = boost::beast::http;

namespace {

constexpr std::uint32_t max_request_header = 8 * 1024;
constexpr std::uint64_t max_request_body = 64 * 1024;
// Backend servers renew every 500 ms, so a connection idle for this long is no longer used.
constexpr time_ms idle_timeout = 60'000;
constexpr time_ms accept_retry_delay = 100; // a failed accept, for example for lack of descriptors

} // namespace

tcp::acceptor open_listener(const strand& strand, const endpoint_text& address) {
    try {
        const tcp::endpoint endpoint(asio::ip::make_address(address.address), address.port);
        return tcp::acceptor(strand, endpoint, true);
    } catch (const boost::system::system_error& error) {
        throw std::runtime_error("cannot listen on " + address.address + ':' +
                                 std::to_string(address.port) + ": " + error.code().message());
    }
}

struct api_server::state : std::enable_shared_from_this<api_server::state> {
    using stream = boost::beast::tcp_stream;

    state(asio::io_context& io, const endpoint_text& address, api_handler handler)
        : io(io), accept_strand(asio::make_strand(io)),
          acceptor(open_listener(accept_strand, address)), handler(std::move(handler)) {}

    asio::awaitable<void> accept_loop() {
        while (!stopping) {
            const auto connection_strand = asio::make_strand(io);
            tcp::socket socket(connection_strand);
            const auto [error] = co_await acceptor.async_accept(socket, use_tuple);
            if (stopping)
                break;
            if (error) {
                asio::steady_timer pause(accept_strand, to_duration(accept_retry_delay));
                co_await pause.async_wait(use_tuple);
                continue;
            }
            auto connection = std::make_shared<stream>(std::move(socket));
            asio::co_spawn(connection_strand, serve(connection), asio::detached);
        }
    }

    asio::awaitable<void> serve(std::shared_ptr<stream> connection) {
        const auto self = shared_from_this();
        const auto position = add(connection);
        boost::beast::flat_buffer buffer;
        while (!stopping) {
            http::request_parser<http::string_body> parser;
            parser.header_limit(max_request_header);
            parser.body_limit(max_request_body);
            connection->expires_after(to_duration(idle_timeout));
            const auto [header_error, header_size] =
                co_await http::async_read_header(*connection, buffer, parser, use_tuple);
            // Chunked bodies are rejected, because Boost.Beast 1.81 aborts the process on a last
            // chunk that arrives in small pieces. No client of these interfaces needs them.
            if (header_error || parser.chunked())
                break;
            const auto [error, size] =
                co_await http::async_read(*connection, buffer, parser, use_tuple);
            if (error)
                break;
            const auto response = respond(parser.get());
            const auto [failed, written] =
                co_await http::async_write(*connection, response, use_tuple);
            if (failed || !response.keep_alive())
                break;
        }
        error_code ignored;
        connection->socket().shutdown(tcp::socket::shutdown_both, ignored);
        remove(position);
    }

    http::response<http::string_body> respond(const http::request<http::string_body>& request) {
        api_request plain;
        plain.method = std::string(request.method_string());
        plain.target = std::string(request.target());
        plain.body = request.body();
        auto answer = handler(plain);
        http::response<http::string_body> response(http::int_to_status(answer.status),
                                                   request.version());
        response.set(http::field::content_type, answer.content_type);
        for (const auto& [name, value] : answer.fields)
            response.set(name, value);
        response.keep_alive(request.keep_alive() && !stopping);
        response.content_length(answer.body.size());
        if (request.method() != http::verb::head)
            response.body() = std::move(answer.body);
        return response;
    }

    std::list<std::weak_ptr<stream>>::iterator add(const std::shared_ptr<stream>& connection) {
        std::lock_guard lock(mutex);
        return connections.insert(connections.end(), connection);
    }

    void remove(std::list<std::weak_ptr<stream>>::iterator position) {
        std::lock_guard lock(mutex);
        connections.erase(position);
    }

    void stop() {
        stopping = true;
        asio::post(accept_strand, [self = shared_from_this()] {
            error_code ignored;
            self->acceptor.close(ignored);
        });
        std::lock_guard lock(mutex);
        for (const auto& item : connections) {
            if (const auto connection = item.lock())
                asio::post(connection->get_executor(), [connection] { connection->cancel(); });
        }
    }

    asio::io_context& io;
    strand accept_strand;
    tcp::acceptor acceptor;
    api_handler handler;
    std::atomic<bool> stopping{false};
    std::mutex mutex;
    std::list<std::weak_ptr<stream>> connections;
};

api_server::api_server(asio::io_context& io, const endpoint_text& address, api_handler handler)
    : state_(std::make_shared<state>(io, address, std::move(handler))) {}

api_server::~api_server() = default;

void api_server::start() {
    asio::co_spawn(
        state_->accept_strand, [self = state_] { return self->accept_loop(); }, asio::detached);
}

void api_server::stop() {
    state_->stop();
}

unsigned short api_server::port() const {
    error_code ignored;
    return state_->acceptor.local_endpoint(ignored).port();
}

} // namespace clementine::proxy
