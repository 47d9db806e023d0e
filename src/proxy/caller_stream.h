// Connection of one caller: reads requests, writes responses and enforces timeouts.
#pragma once

#include "proxy/asio.h"
#include "proxy/message_decoder.h"
#include "proxy/read_buffer.h"
#include "proxy/settings.h"
#include "proxy/watchdog.h"

#include <optional>
#include <span>
#include <string>
#include <string_view>

namespace clementine::proxy {

enum class read_status { ok, closed, timed_out, malformed, too_long };

struct read_result {
    read_status status = read_status::ok;
    std::size_t size = 0; // body bytes
    std::string reason;   // malformed: what is wrong
};

// Must be used on the strand of the socket only.
class caller_stream {
  public:
    caller_stream(tcp::socket socket, const strand& strand);
    caller_stream(const caller_stream&) = delete;
    caller_stream& operator=(const caller_stream&) = delete;
    ~caller_stream();

    // Reads the next request header into `out`. The status is `closed` if the caller closed the
    // connection or stayed idle, and `timed_out` if it sent only part of a header.
    asio::awaitable<read_result> read_header(std::string& out, const timeout_settings& timeouts);

    // Prepares to read the body of the request with this header.
    read_result begin_body(std::string_view header, std::uint64_t max_bytes);
    // Reads some body bytes; the size is 0 once the body is complete.
    asio::awaitable<read_result> read_body(std::span<char> out, const timeout_settings& timeouts);
    bool body_done() const;
    // True if received bytes have not been consumed yet.
    bool has_buffered() const { return !buffer_.empty(); }

    // Writes all bytes; false if the caller has closed or accepts no byte within the idle timeout.
    asio::awaitable<bool> write(std::string_view bytes, const timeout_settings& timeouts);

    // Calls `on_close` once if the caller closes while nothing is read, until `stop_watch`.
    void watch_for_close(std::function<void()> on_close);
    void stop_watch();

    // Closes the connection after discarding input for a while, so that the caller can still read
    // the last response: closing with unread input would reset the connection and lose it.
    asio::awaitable<void> linger_close();
    // Cancels all pending operations.
    void cancel();
    void close();

    // True while no byte of the next request has arrived.
    bool idle() const { return idle_; }
    const std::string& remote() const { return remote_; }

  private:
    // Receives more bytes; the status tells why none arrived.
    asio::awaitable<read_status> receive(time_ms limit);

    tcp::socket socket_;
    read_buffer buffer_;
    std::optional<message_decoder> decoder_;
    watchdog read_timeout_;
    watchdog write_timeout_; // separate: a body may be read while a response is written
    std::string remote_;
    std::shared_ptr<bool> watching_;
    bool timed_out_ = false;
    bool idle_ = true;
};

} // namespace clementine::proxy
