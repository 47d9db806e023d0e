#include "proxy/caller_stream.h"

#include "proxy/request_checks.h"

#include <boost/asio/write.hpp>

#include <array>

namespace clementine::proxy {

namespace {

// Limit of bytes received but not consumed. With a body block of 16 KiB, a connection buffers less
// than 64 KiB.
constexpr std::size_t max_buffered_bytes = 32 * 1024;
// Most input discarded after the last response, so that the caller can read that response.
constexpr std::size_t max_linger_bytes = 1024 * 1024;
constexpr time_ms linger_timeout = 1'000;

std::string endpoint_name(const tcp::socket& socket) {
    error_code error;
    const auto endpoint = socket.remote_endpoint(error);
    if (error)
        return "?";
    return endpoint.address().to_string() + ':' + std::to_string(endpoint.port());
}

} // namespace

caller_stream::caller_stream(tcp::socket socket, const strand& strand)
    : socket_(std::move(socket)), buffer_(max_buffered_bytes), read_timeout_(strand,
                                                                             [this] {
                                                                                 timed_out_ = true;
                                                                                 cancel();
                                                                             }),
      write_timeout_(strand, [this] { cancel(); }), remote_(endpoint_name(socket_)) {
    error_code ignored;
    socket_.set_option(tcp::no_delay(true), ignored);
    // The peek in watch_for_close() must not block an I/O thread.
    socket_.non_blocking(true, ignored);
}

caller_stream::~caller_stream() {
    if (watching_)
        *watching_ = false;
}

asio::awaitable<read_status> caller_stream::receive(time_ms limit) {
    timed_out_ = false;
    read_timeout_.arm(limit);
    const auto [error, size] = co_await socket_.async_read_some(buffer_.prepare(), use_tuple);
    read_timeout_.disarm();
    buffer_.commit(size);
    if (size > 0)
        co_return read_status::ok;
    co_return timed_out_ ? read_status::timed_out : read_status::closed;
}

asio::awaitable<read_result> caller_stream::read_header(std::string& out,
                                                        const timeout_settings& timeouts) {
    decoder_.reset();
    idle_ = buffer_.empty();
    if (idle_)
        buffer_.shrink();
    auto header_deadline = std::chrono::steady_clock::now() + to_duration(timeouts.header);
    while (true) {
        const auto scan = scan_header(buffer_.view());
        if (scan.state == header_scan_state::malformed)
            co_return read_result{read_status::malformed, 0, std::string(scan.reason)};
        if (scan.state == header_scan_state::too_long)
            co_return read_result{read_status::too_long, 0, "header too long"};
        if (scan.state == header_scan_state::complete) {
            out = buffer_.view().substr(0, scan.size);
            buffer_.consume(scan.size);
            co_return read_result{};
        }
        time_ms limit = timeouts.idle;
        if (!idle_) {
            using std::chrono::duration_cast;
            const auto left = header_deadline - std::chrono::steady_clock::now();
            limit = std::max<time_ms>(1, duration_cast<std::chrono::milliseconds>(left).count());
        }
        const auto status = co_await receive(limit);
        if (status != read_status::ok)
            co_return read_result{idle_ ? read_status::closed : status, 0, {}};
        if (idle_)
            header_deadline = std::chrono::steady_clock::now() + to_duration(timeouts.header);
        idle_ = false;
    }
}

read_result caller_stream::begin_body(std::string_view header, std::uint64_t max_bytes) {
    decoder_.emplace(message_decoder::for_request(max_bytes));
    const auto step = decoder_->feed(header, {});
    if (step.state == decode_state::too_long)
        return {read_status::too_long, 0, "body too long"};
    if (!decoder_->header_done() || step.consumed != header.size())
        return {read_status::malformed, 0, step.reason.empty() ? "malformed header" : step.reason};
    return {};
}

asio::awaitable<read_result> caller_stream::read_body(std::span<char> out,
                                                      const timeout_settings& timeouts) {
    while (!decoder_->done()) {
        const auto step = decoder_->feed(buffer_.view(), out);
        buffer_.consume(step.consumed);
        if (step.state == decode_state::malformed)
            co_return read_result{read_status::malformed, 0, step.reason};
        if (step.state == decode_state::too_long)
            co_return read_result{read_status::too_long, 0, "body too long"};
        if (step.written > 0)
            co_return read_result{read_status::ok, step.written, {}};
        if (step.state != decode_state::need_more)
            continue;
        if (buffer_.full())
            co_return read_result{read_status::malformed, 0, "chunk header too long"};
        const auto status = co_await receive(timeouts.header);
        if (status != read_status::ok)
            co_return read_result{status, 0, "incomplete body"};
    }
    co_return read_result{};
}

bool caller_stream::body_done() const {
    return !decoder_ || decoder_->done();
}

asio::awaitable<bool> caller_stream::write(std::string_view bytes,
                                           const timeout_settings& timeouts) {
    while (!bytes.empty()) {
        write_timeout_.arm(timeouts.idle);
        const auto [error, size] = co_await socket_.async_write_some(
            asio::const_buffer(bytes.data(), bytes.size()), use_tuple);
        write_timeout_.disarm();
        if (error)
            co_return false;
        bytes.remove_prefix(size);
    }
    co_return true;
}

void caller_stream::watch_for_close(std::function<void()> on_close) {
    if (!buffer_.empty())
        return;
    watching_ = std::make_shared<bool>(true);
    socket_.async_wait(
        tcp::socket::wait_read,
        [this, watching = watching_, on_close = std::move(on_close)](const error_code& error) {
            if (!*watching || error)
                return;
            *watching = false;
            std::array<char, 1> byte{};
            error_code peek_error;
            const auto size =
                socket_.receive(asio::buffer(byte), tcp::socket::message_peek, peek_error);
            // Readable data is the next pipelined request, which is read after the current one.
            if (size == 0 && peek_error != asio::error::would_block)
                on_close();
        });
}

void caller_stream::stop_watch() {
    if (!watching_ || !*watching_)
        return;
    *watching_ = false;
    error_code ignored;
    socket_.cancel(ignored);
}

asio::awaitable<void> caller_stream::linger_close() {
    error_code ignored;
    socket_.shutdown(tcp::socket::shutdown_send, ignored);
    std::array<char, 4096> discarded{};
    std::size_t total = 0;
    timed_out_ = false;
    read_timeout_.arm(linger_timeout);
    while (total < max_linger_bytes) {
        const auto [error, size] =
            co_await socket_.async_read_some(asio::buffer(discarded), use_tuple);
        if (error || timed_out_)
            break;
        total += size;
    }
    read_timeout_.disarm();
    close();
}

void caller_stream::cancel() {
    error_code ignored;
    socket_.cancel(ignored);
}

void caller_stream::close() {
    error_code ignored;
    socket_.close(ignored);
}

} // namespace clementine::proxy
