#include "proxy/backend_exchange.h"

#include "base/log.h"
#include "proxy/response_head.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>

#include <array>
#include <cstdio>

namespace clementine::proxy {

namespace {

constexpr std::size_t body_block_bytes = 16 * 1024;
constexpr std::size_t max_response_buffer_bytes = 32 * 1024;
// A non-idempotent request cannot be retried if the backend server closes the idle connection while
// the request is sent, so it only uses recently used connections.
constexpr time_ms non_idempotent_max_idle = 1'000;
// More 1xx responses than this to one request are treated as an error.
constexpr int max_interim_responses = 16;

// Chunk size line of the chunked transfer coding.
std::string chunk_header(std::size_t size) {
    std::array<char, 32> text{};
    std::snprintf(text.data(), text.size(), "%zx\r\n", size);
    return text.data();
}

void append_body(std::string& out, body_framing framing, std::string_view bytes) {
    if (bytes.empty())
        return;
    if (framing == body_framing::chunked)
        out += chunk_header(bytes.size());
    out += bytes;
    if (framing == body_framing::chunked)
        out += "\r\n";
}

std::string_view find_field(const message_decoder& response, std::string_view name) {
    for (const auto& [key, value] : response.fields()) {
        if (same_field_name(key, name))
            return value;
    }
    return {};
}

// True unless the response carries a request id that differs from the one of the request.
bool request_id_matches(const message_decoder& response, std::string_view id) {
    for (const auto& [key, value] : response.fields()) {
        if (same_field_name(key, field_name::request_id) && value != id)
            return false;
    }
    return true;
}

} // namespace

// State of a response that is being read.
struct backend_exchange::response_state {
    explicit response_state(bool to_head)
        : decoder(message_decoder::for_response(to_head)), buffer(max_response_buffer_bytes) {}

    message_decoder decoder;
    read_buffer buffer;
    std::string fault; // why the response could not be read
};

backend_exchange::backend_exchange(proxy_context& context, const strand& strand,
                                   caller_stream& caller, const outgoing_request& request,
                                   const routing::slot& slot, const timeout_settings& timeouts,
                                   bool close_after)
    : context_(context), strand_(strand), caller_(caller), request_(request), slot_(slot),
      timeouts_(timeouts), key_{slot.backend_server, slot.instance}, close_after_(close_after),
      send_body_done_(strand) {}

attempt_report backend_exchange::fail(attempt_end end, const std::string& reason) const {
    attempt_report report;
    report.end = end;
    report.reason = expired_ ? expire_reason_ : reason;
    report.result = end == attempt_end::not_run ? routing::attempt_result::not_run
                                                : routing::attempt_result::lost;
    if (body_read_status_ != read_status::ok) {
        // The caller failed to send its request, which is no failure of the backend server.
        report.caller_failed = true;
        report.caller_status = body_read_status_;
        report.reason = body_read_error_;
        report.result = routing::attempt_result::abandoned;
    }
    if (*silent_) {
        report.silent = true;
        report.reason = "the connection to the backend server stalled";
        report.result = routing::attempt_result::abandoned;
    }
    return report;
}

void backend_exchange::expire(std::string reason) {
    if (expired_)
        return;
    expired_ = true;
    expire_reason_ = std::move(reason);
    close_connection();
    if (head_forwarded_ || sending_body_)
        caller_.cancel();
}

void backend_exchange::close_connection() {
    if (!connection_)
        return;
    error_code ignored;
    connection_->socket.close(ignored);
}

void backend_exchange::begin_use() {
    auto abort = [strand = strand_, connection = std::weak_ptr(connection_), silent = silent_] {
        asio::post(strand, [connection, silent] {
            const auto locked = connection.lock();
            if (!locked)
                return;
            *silent = true;
            error_code ignored;
            locked->socket.close(ignored);
        });
    };
    context_.pool.begin_use(key_, connection_, request_.plan.idempotent, std::move(abort));
}

asio::awaitable<connection_ptr> backend_exchange::connect() {
    error_code address_error;
    const auto address = asio::ip::make_address(slot_.address, address_error);
    if (address_error)
        co_return nullptr;
    auto connection = std::make_shared<backend_connection>(
        tcp::socket(strand_.get_inner_executor()), context_.clock.now());
    connection_ = connection; // lets expire() cancel the connect
    watchdog connect_timeout(strand_, [this] { close_connection(); });
    connect_timeout.arm(timeouts_.connect);
    const auto [error] =
        co_await connection->socket.async_connect({address, slot_.port}, use_tuple);
    connection_ = nullptr;
    if (error || expired_)
        co_return nullptr;
    configure_backend_socket(connection->socket);
    co_return connection;
}

asio::awaitable<bool> backend_exchange::obtain_connection() {
    const auto max_idle = request_.plan.idempotent
                              ? timeouts_.backend_idle
                              : std::min(timeouts_.backend_idle, non_idempotent_max_idle);
    connection_ = context_.pool.take(key_, max_idle);
    reused_ = connection_ != nullptr;
    if (!reused_)
        connection_ = co_await connect();
    if (!connection_)
        co_return false;
    begin_use();
    co_return true;
}

std::string backend_exchange::request_bytes() const {
    const auto& plan = request_.plan;
    std::string out = plan.forwarded;
    const auto remaining = std::max<time_ms>(1, request_.deadline - context_.clock.now());
    out += field_name::timeout;
    out += ": " + std::to_string(remaining) + "\r\n";
    if (request_.body_complete) {
        // A chunked body that was read completely is sent with its length.
        if (plan.chunked || plan.content_length)
            out += "Content-Length: " + std::to_string(request_.body.size()) + "\r\n";
        return out + "\r\n" + request_.body;
    }
    if (plan.chunked)
        out += "Transfer-Encoding: chunked\r\n\r\n";
    else
        out += "Content-Length: " + std::to_string(plan.content_length.value_or(0)) + "\r\n\r\n";
    append_body(out, plan.chunked ? body_framing::chunked : body_framing::length, request_.body);
    return out;
}

// Sends the header and the body read so far. Returns a report only if the attempt has ended.
// "Not run" may be reported only while the kernel has accepted no byte of the request.
asio::awaitable<std::optional<attempt_report>> backend_exchange::send_request() {
    while (true) {
        if (!co_await obtain_connection())
            co_return fail(attempt_end::not_run, "cannot connect to the backend server");
        if (!context_.dispatcher.may_start(slot_)) {
            reusable_ = true;
            co_return fail(attempt_end::not_started, "the share of the backend server expired");
        }
        const auto bytes = request_bytes();
        const auto [error, size] =
            co_await asio::async_write(connection_->socket, asio::buffer(bytes), use_tuple);
        if (size > 0)
            co_return std::nullopt;
        if (!reused_ || expired_ || *silent_)
            co_return fail(attempt_end::not_run, "cannot send to the backend server");
        // The idle connection was already closed. Nothing was sent, so another one can be used.
        context_.pool.end_use(key_, connection_, false);
        connection_ = nullptr;
    }
}

asio::awaitable<void> backend_exchange::send_body() {
    std::array<char, body_block_bytes> block{};
    const auto framing = request_.plan.chunked ? body_framing::chunked : body_framing::length;
    const auto connection = connection_;
    while (!stop_sending_body_ && !caller_.body_done()) {
        const auto read = co_await caller_.read_body(block, timeouts_);
        if (read.status != read_status::ok) {
            if (!stop_sending_body_) {
                body_read_status_ = read.status;
                body_read_error_ = read.reason;
                close_connection();
            }
            co_return;
        }
        std::string out;
        append_body(out, framing, {block.data(), read.size});
        if (caller_.body_done() && framing == body_framing::chunked)
            out += "0\r\n\r\n";
        const auto [error, size] =
            co_await asio::async_write(connection->socket, asio::buffer(out), use_tuple);
        // The backend server may already have responded, so the response is still read.
        if (error)
            co_return;
        connection->waiting_since = context_.clock.now();
    }
}

// Stops send_body() and waits until it no longer uses the caller or the backend connection.
asio::awaitable<void> backend_exchange::stop_sending_body() {
    if (!sending_body_)
        co_return;
    if (!send_body_done_.is_set()) {
        stop_sending_body_ = true;
        close_connection();
        caller_.cancel();
    }
    co_await send_body_done_.wait();
    sending_body_ = false;
}

asio::awaitable<bool> backend_exchange::receive(response_state& response) {
    if (response.buffer.full()) {
        response.fault = "response header or chunk header too long";
        co_return false;
    }
    const auto [error, size] =
        co_await connection_->socket.async_read_some(response.buffer.prepare(), use_tuple);
    if (error) {
        response.fault = "backend server closed the connection";
        co_return false;
    }
    response.buffer.commit(size);
    connection_->byte_received(context_.clock.now());
    co_return true;
}

// Reads the header of the final response and skips interim responses.
asio::awaitable<bool> backend_exchange::read_header(response_state& response) {
    int interim_count = 0;
    while (true) {
        const auto step = response.decoder.feed(response.buffer.view(), {});
        response.buffer.consume(step.consumed);
        if (step.state == decode_state::malformed) {
            response.fault = "malformed response: " + step.reason;
            co_return false;
        }
        if (!response.decoder.header_done()) {
            if (!co_await receive(response))
                co_return false;
            continue;
        }
        const auto status = response.decoder.status();
        if (status >= 200)
            co_return true;
        if (status == 101 || ++interim_count > max_interim_responses) {
            response.fault = "unexpected interim response";
            co_return false;
        }
        response.decoder = message_decoder::for_response(request_.plan.is_head());
    }
}

// Checks whether the response may be forwarded; returns a report if not.
std::optional<attempt_report> backend_exchange::check_response(const response_state& response) {
    const auto& decoder = response.decoder;
    const auto& plan = request_.plan;
    if (!request_id_matches(decoder, plan.request_id)) {
        log_event(log_level::warning, "wrong_request_id")
            .field("request_id", plan.request_id)
            .field("backend_server", slot_.backend_server);
        return fail(attempt_end::lost, "response to another request");
    }
    const bool has_request_id = !find_field(decoder, field_name::request_id).empty();
    // Servers send an unsolicited 408 when they close an idle connection; it answers no request.
    if (decoder.status() == 408 && reused_ && !has_request_id)
        return fail(attempt_end::lost, "backend server closed an idle connection");
    const auto transfer_encoding = find_field(decoder, "transfer-encoding");
    if (!transfer_encoding.empty() && !same_field_name(transfer_encoding, "chunked"))
        return fail(attempt_end::lost, "unsupported transfer encoding of the response");
    if (decoder.needs_eof())
        return fail(attempt_end::lost, "response without length");
    if (find_field(decoder, field_name::leaving) == "1")
        context_.dispatcher.observe_leaving(slot_.backend_server);
    if (decoder.status() == 503 && find_field(decoder, field_name::not_run) == "1") {
        auto report = fail(attempt_end::not_run, "backend server refused the request");
        report.status = 503;
        return report;
    }
    return std::nullopt;
}

// Consumes the buffered rest of a "not run" response; true if the connection can be reused.
bool backend_exchange::discard_buffered_response(response_state& response) const {
    std::array<char, body_block_bytes> discarded{};
    auto& decoder = response.decoder;
    while (!decoder.done()) {
        const auto step = decoder.feed(response.buffer.view(), discarded);
        response.buffer.consume(step.consumed);
        if (step.state == decode_state::need_more || step.state == decode_state::malformed)
            return false;
    }
    return decoder.keep_alive() && find_field(decoder, field_name::leaving) != "1" &&
           response.buffer.empty() && !sending_body_;
}

asio::awaitable<attempt_report> backend_exchange::forward_response(response_state& response) {
    const auto& decoder = response.decoder;
    const auto framing = framing_of(decoder, request_.plan.is_head());
    const bool leaving = find_field(decoder, field_name::leaving) == "1";
    // If the response starts before the request body was sent completely, the rest of the body is
    // not read, so the caller's connection must be closed.
    const bool close = close_after_ || (sending_body_ && !send_body_done_.is_set());
    attempt_report report;
    report.status = decoder.status();
    report.caller_must_close = close;
    std::string out =
        forwarded_head(decoder, request_.plan.request_id, request_.plan.is_head(), close);
    std::array<char, body_block_bytes> block{};
    while (true) {
        const auto step = response.decoder.feed(response.buffer.view(), block);
        response.buffer.consume(step.consumed);
        if (step.state == decode_state::malformed)
            response.fault = "malformed response body: " + step.reason;
        append_body(out, framing, {block.data(), step.written});
        const bool done = decoder.done();
        if (done && framing == body_framing::chunked)
            out += "0\r\n\r\n";
        const bool needs_input = step.state == decode_state::need_more;
        if (!out.empty() && (done || needs_input || out.size() >= body_block_bytes)) {
            head_forwarded_ = true;
            if (!co_await caller_.write(out, timeouts_)) {
                auto cut = fail(attempt_end::cut, "caller closed the connection");
                if (!expired_ && !*silent_)
                    cut.result = routing::attempt_result::abandoned;
                co_return cut;
            }
            out.clear();
        }
        if (done)
            break;
        if (!response.fault.empty() || (needs_input && !co_await receive(response)))
            co_return fail(head_forwarded_ ? attempt_end::cut : attempt_end::lost, response.fault);
    }
    report.end = attempt_end::complete;
    report.result = decoder.status() >= 500 ? routing::attempt_result::failed
                                            : routing::attempt_result::answered;
    // Bytes after the response belong to no request, so such a connection is not reused.
    reusable_ = decoder.keep_alive() && !leaving && response.buffer.empty() &&
                (!sending_body_ || send_body_done_.is_set());
    co_return report;
}

asio::awaitable<attempt_report> backend_exchange::read_response() {
    response_state response(request_.plan.is_head());
    if (!co_await read_header(response))
        co_return fail(attempt_end::lost, response.fault);
    if (auto report = check_response(response)) {
        if (report->end == attempt_end::not_run)
            reusable_ = discard_buffered_response(response);
        co_return *report;
    }
    co_return co_await forward_response(response);
}

asio::awaitable<attempt_report> backend_exchange::run() {
    auto failed = co_await send_request();
    attempt_report report;
    if (failed) {
        report = *failed;
    } else {
        if (!request_.body_complete) {
            sending_body_ = true;
            // stop_sending_body() below waits for this coroutine, so `this` outlives it.
            asio::co_spawn(strand_, send_body(),
                           [this](const std::exception_ptr&) { send_body_done_.set(); });
        }
        report = co_await read_response();
        report.body_consumed = sending_body_;
        co_await stop_sending_body();
    }
    if (connection_) {
        context_.pool.end_use(key_, connection_, reusable_ && !expired_);
        connection_ = nullptr;
    }
    co_return report;
}

} // namespace clementine::proxy
