#include "standin/http_exchange.h"

#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <sstream>
#include <stdexcept>

namespace standin {

namespace asio = boost::asio;
namespace beast = boost::beast;
using asio::ip::tcp;

std::vector<tcp::endpoint> parse_endpoints(const std::string& text) {
    std::vector<tcp::endpoint> out;
    std::istringstream in(text);
    for (std::string item; std::getline(in, item, ',');) {
        const auto parsed = clementine::parse_endpoint(item);
        if (!parsed)
            throw std::invalid_argument("expected IP:PORT, got: " + item);
        out.emplace_back(asio::ip::make_address(parsed->address), parsed->port);
    }
    return out;
}

asio::awaitable<std::optional<http_response>> exchange(tcp::endpoint target, http_request request,
                                                       clementine::time_ms timeout) {
    beast::tcp_stream stream(co_await asio::this_coro::executor);
    stream.expires_after(std::chrono::milliseconds(timeout));
    try {
        co_await stream.async_connect(target, asio::use_awaitable);
        request.prepare_payload();
        co_await beast::http::async_write(stream, request, asio::use_awaitable);
        beast::flat_buffer buffer;
        http_response response;
        co_await beast::http::async_read(stream, buffer, response, asio::use_awaitable);
        co_return response;
    } catch (const boost::system::system_error&) {
        co_return std::nullopt;
    }
}

} // namespace standin
