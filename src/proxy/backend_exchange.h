// One attempt: sends a request to the backend server of a slot and forwards the response.
#pragma once

#include "proxy/asio.h"
#include "proxy/caller_stream.h"
#include "proxy/context.h"
#include "proxy/request_plan.h"
#include "proxy/watchdog.h"
#include "routing/types.h"

#include <memory>
#include <optional>
#include <string>

namespace clementine::proxy {

// How an attempt ended; determines the outcome reported to the caller.
enum class attempt_end {
    not_started, // the lease of the slot had expired; nothing was sent
    not_run,     // no byte of the request arrived, or the backend server reported "not run"
    lost,        // may have run, and no byte of a response was forwarded
    complete,    // the whole response was forwarded
    cut          // only a part of the response was forwarded
};

inline constexpr name_table<5> attempt_end_names{"not-started", "not-run", "lost", "complete",
                                                 "cut"};
constexpr const auto& names_of(attempt_end) {
    return attempt_end_names;
}

struct attempt_report {
    attempt_end end = attempt_end::lost;
    routing::attempt_result result = routing::attempt_result::lost; // for the dispatcher
    std::string reason;
    unsigned status = 0;        // of the backend server's response; 0 if none was received
    bool caller_failed = false; // the request body ended early or was malformed
    read_status caller_status = read_status::ok;
    bool silent = false; // aborted because its connection was replaced as silent
    bool caller_must_close = false;
    bool body_consumed = false; // body bytes were read that are not buffered for another attempt
};

// A request ready to be sent: its plan and the part of the body read so far.
struct outgoing_request {
    request_plan plan;
    std::string body;           // read before the first attempt and kept for retries
    bool body_complete = false; // `body` is the whole body
    time_ms deadline = 0;       // on the context's clock
};

class backend_exchange {
  public:
    backend_exchange(proxy_context& context, const strand& strand, caller_stream& caller,
                     const outgoing_request& request, const routing::slot& slot,
                     const timeout_settings& timeouts, bool close_after);
    backend_exchange(const backend_exchange&) = delete;
    backend_exchange& operator=(const backend_exchange&) = delete;

    // Runs the attempt to its end. The caller of this function releases the slot.
    asio::awaitable<attempt_report> run();

    // Aborts the attempt because the deadline has passed or the process stops.
    void expire(std::string reason);

  private:
    struct response_state;

    asio::awaitable<bool> obtain_connection();
    asio::awaitable<connection_ptr> connect();
    std::string request_bytes() const;
    asio::awaitable<std::optional<attempt_report>> send_request();
    asio::awaitable<void> send_body();
    asio::awaitable<void> stop_sending_body();
    asio::awaitable<attempt_report> read_response();
    asio::awaitable<bool> read_header(response_state& response);
    std::optional<attempt_report> check_response(const response_state& response);
    bool discard_buffered_response(response_state& response) const;
    asio::awaitable<attempt_report> forward_response(response_state& response);
    asio::awaitable<bool> receive(response_state& response);
    attempt_report fail(attempt_end end, const std::string& reason) const;
    void begin_use();
    void close_connection();

    proxy_context& context_;
    strand strand_;
    caller_stream& caller_;
    const outgoing_request& request_;
    const routing::slot& slot_;
    const timeout_settings& timeouts_;
    const server_key key_;
    connection_ptr connection_;
    bool reused_ = false;
    bool close_after_ = false;
    bool reusable_ = false; // nothing is pending on the connection after the response
    bool expired_ = false;
    std::string expire_reason_;
    std::shared_ptr<bool> silent_ = std::make_shared<bool>(false);
    event send_body_done_;
    bool sending_body_ = false;
    bool stop_sending_body_ = false;
    bool head_forwarded_ = false;
    read_status body_read_status_ = read_status::ok;
    std::string body_read_error_;
};

} // namespace clementine::proxy
