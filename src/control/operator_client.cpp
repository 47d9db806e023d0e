#include "control/operator_client.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>

#include <algorithm>
#include <chrono>
#include <random>
#include <thread>

namespace clementine::control {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

namespace {

// Timeout of one attempt; a controld needs a few disk writes to answer.
constexpr time_ms attempt_timeout{3'000};
// Delay after all controlds were tried; an election takes up to 5 s.
constexpr time_ms retry_delay{250};
constexpr int max_redirects = 3;
constexpr std::uint64_t max_response_bytes = 16U << 20;
constexpr unsigned status_redirect = 307;
constexpr unsigned status_unavailable = 503;

// Performs one HTTP exchange on its own io_context.
class http_exchange {
  public:
    http_exchange(const endpoint_text& target, const operator_request& request, time_ms limit)
        : stream_(context_) {
        request_.method_string(request.method);
        request_.target(request.target);
        request_.version(11);
        request_.set(http::field::host, target.address);
        request_.keep_alive(false);
        for (const auto& [name, value] : request.headers)
            request_.set(name, value);
        request_.body() = request.body;
        request_.prepare_payload();
        parser_.body_limit(max_response_bytes);
        stream_.expires_after(std::chrono::milliseconds(limit));
        stream_.async_connect({asio::ip::make_address(target.address), target.port},
                              [this](beast::error_code error) {
                                  if (!error)
                                      write();
                              });
    }

    std::optional<operator_response> run() {
        context_.run();
        if (!done_)
            return std::nullopt;
        const auto& response = parser_.get();
        return operator_response{response.result_int(),
                                 std::string(response[http::field::location]), response.body()};
    }

  private:
    void write() {
        http::async_write(stream_, request_, [this](beast::error_code error, std::size_t) {
            if (!error)
                read();
        });
    }

    void read() {
        http::async_read(stream_, buffer_, parser_,
                         [this](beast::error_code error, std::size_t) { done_ = !error; });
    }

    asio::io_context context_;
    beast::tcp_stream stream_;
    http::request<http::string_body> request_;
    beast::flat_buffer buffer_;
    http::response_parser<http::string_body> parser_;
    bool done_ = false;
};

// Extracts the address from "http://IP:port/...".
std::optional<endpoint_text> address_of(std::string_view location) {
    constexpr std::string_view scheme = "http://";
    if (!location.starts_with(scheme))
        return std::nullopt;
    location.remove_prefix(scheme.size());
    return parse_endpoint(location.substr(0, location.find('/')));
}

} // namespace

std::optional<operator_response> exchange(const endpoint_text& target,
                                          const operator_request& request, time_ms limit) {
    return http_exchange(target, request, limit).run();
}

operator_client::operator_client(std::vector<endpoint_text> controlds, const clock_source& clock)
    : controlds_(std::move(controlds)), clock_(clock) {}

std::optional<operator_response> operator_client::send(const operator_request& request,
                                                       time_ms timeout) {
    const auto deadline = clock_.now() + timeout;
    for (std::size_t attempt = 1; clock_.now() < deadline; ++attempt) {
        auto response = send_following_redirects(controlds_[current_], request, deadline);
        if (response && response->status != status_unavailable)
            return response;
        current_ = (current_ + 1) % controlds_.size();
        if (attempt % controlds_.size() == 0)
            std::this_thread::sleep_for(std::chrono::milliseconds(
                std::clamp<time_ms>(deadline - clock_.now(), 0, retry_delay)));
    }
    return std::nullopt;
}

// An invalid redirect counts as no answer.
std::optional<operator_response>
operator_client::send_following_redirects(endpoint_text target, const operator_request& request,
                                          time_ms deadline) {
    for (int i = 0; i <= max_redirects; ++i) {
        const auto limit = std::min(attempt_timeout, deadline - clock_.now());
        if (limit <= 0)
            return std::nullopt;
        auto response = exchange(target, request, limit);
        if (!response || response->status != status_redirect)
            return response;
        const auto leader = address_of(response->location);
        if (!leader)
            return std::nullopt;
        target = *leader;
    }
    return std::nullopt;
}

std::string new_request_id() {
    std::random_device device;
    constexpr std::string_view digits = "0123456789abcdef";
    std::string out;
    for (int i = 0; i < 32; ++i)
        out.push_back(digits[device() % digits.size()]);
    return out;
}

} // namespace clementine::control
