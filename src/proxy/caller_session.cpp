#include "proxy/caller_session.h"

#include "base/invariant.h"
#include "base/log.h"
#include "proxy/request_checks.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/dispatch.hpp>
#include <boost/asio/post.hpp>

#include <algorithm>
#include <array>

namespace clementine::proxy {

namespace {

// Body bytes buffered before a slot is requested. A body that fits is sent as a whole, so that a
// slow caller does not hold a slot and the request can be retried.
constexpr std::size_t max_buffered_body_bytes = 64 * 1024;
constexpr std::size_t body_block_bytes = 16 * 1024;
// Repeated admissions allowed when the lease expires between admission and dispatch.
constexpr int max_not_started = 3;

unsigned status_of(read_status status) {
    switch (status) {
    case read_status::timed_out:
        return 408;
    case read_status::too_long:
        return 413;
    default:
        return 400;
    }
}

} // namespace

// A wait for a slot. Shared with the dispatcher's handler, which may run after the session ended.
struct caller_session::pending_admission {
    explicit pending_admission(const strand& strand) : ready(strand) {}

    event ready;
    std::optional<routing::admission_result> result;
    bool withdrawn = false;
};

// Progress and result of the attempts of one request.
struct caller_session::attempt_history {
    time_ms started = 0;
    time_ms queue_wait = 0;
    std::vector<std::string> tried_servers;
    int attempts = 0;
    int not_started = 0;
    bool may_have_run = false;
    bool complete = false; // a whole response was forwarded
    bool deadline_passed = false;
    bool caller_gone = false;
    bool cut = false;          // a part of a response was forwarded
    unsigned caller_fault = 0; // status code for an invalid request body; 0 if none
    unsigned status = 0;
    std::string reason;
    std::string backend_server;
};

caller_session::caller_session(proxy_context& context, const strand& strand, tcp::socket socket,
                               std::function<void()> on_closed)
    : context_(context), strand_(strand), caller_(std::move(socket), strand),
      on_closed_(std::move(on_closed)) {}

void caller_session::start() {
    asio::co_spawn(
        strand_, [self = shared_from_this()] { return self->run(); },
        [self = shared_from_this()](const std::exception_ptr& error) {
            if (error)
                log_event(log_level::error, "session_failed")
                    .field("caller", self->caller_.remote());
            self->caller_.close();
            self->on_closed_();
        });
}

void caller_session::finish() {
    asio::post(strand_, [self = shared_from_this()] {
        self->closing_ = true;
        if (!self->in_request_ && self->caller_.idle())
            self->caller_.cancel();
    });
}

void caller_session::abort() {
    asio::post(strand_, [self = shared_from_this()] {
        self->closing_ = true;
        self->aborted_ = true;
        if (self->withdraw_admission_)
            self->withdraw_admission_();
        if (self->exchange_ != nullptr)
            self->exchange_->expire("the process is stopping");
        self->caller_.close();
    });
}

std::string caller_session::new_request_id() {
    return context_.id_prefix + std::to_string(context_.take_id());
}

asio::awaitable<void> caller_session::run() {
    while (!closing_) {
        const bool keep_open = co_await serve_request();
        in_request_ = false;
        if (!keep_open)
            break;
    }
    if (!aborted_)
        co_await caller_.linger_close();
}

// Serves one request; false if the connection must be closed.
asio::awaitable<bool> caller_session::serve_request() {
    timeouts_ = context_.timeouts.get();
    std::string header;
    const auto read = co_await caller_.read_header(header, *timeouts_);
    in_request_ = true;
    if (read.status == read_status::closed)
        co_return false;
    if (read.status != read_status::ok) {
        const unsigned status = read.status == read_status::too_long ? 431 : status_of(read.status);
        local_response response{.status = status, .reason = read.reason, .close = true};
        if (response.reason.empty())
            response.reason = "timeout while reading the header";
        co_return co_await refuse(std::move(response), "header");
    }
    if (const auto fault = check_header(header)) {
        local_response response{
            .status = fault->status, .reason = std::string(fault->reason), .close = true};
        co_return co_await refuse(std::move(response), "header");
    }
    const auto manifest = context_.manifest.get();
    const auto head = split_header(header);
    if (!manifest) {
        local_response response{.reason = "no manifest in force", .close = true};
        co_return co_await refuse(std::move(response), "no-manifest");
    }
    auto plan = plan_request(head, *manifest, new_request_id());
    if (const auto* rejected = std::get_if<rejection>(&plan))
        co_return co_await refuse_plan(*rejected, head);
    outgoing_request request;
    request.plan = std::move(std::get<request_plan>(plan));
    request.deadline = context_.clock.now() + request.plan.timeout;
    const auto body = caller_.begin_body(header, request.plan.max_body_bytes);
    if (body.status != read_status::ok) {
        local_response response{.status = status_of(body.status),
                                .reason = body.reason,
                                .request_id = request.plan.request_id,
                                .close = true};
        co_return co_await refuse(std::move(response), "header");
    }
    if (!co_await buffer_body(request))
        co_return false;
    co_return co_await serve_plan(std::move(request));
}

// Rejects a request that was not queued; false if the connection must be closed.
asio::awaitable<bool> caller_session::refuse(local_response response, std::string_view why) {
    context_.counters.add(
        "clementine_rejected_requests",
        {{"reason", std::string(why)}, {"status", std::to_string(response.status)}});
    log_event(log_level::info, "request_rejected")
        .field("caller", caller_.remote())
        .field("status", response.status)
        .field("reason", response.reason);
    response.close = response.close || closing();
    const bool written = co_await caller_.write(render(response), *timeouts_);
    co_return written && !response.close;
}

asio::awaitable<bool> caller_session::refuse_plan(const rejection& rejection,
                                                  const request_head& head) {
    local_response response{.status = rejection.status, .reason = rejection.reason};
    response.to_head = head.method == "HEAD";
    // The body of a rejected request is not read, so the connection cannot be reused after it.
    response.close = head.find("content-length").value_or("0") != "0" ||
                     head.find("transfer-encoding").has_value() ||
                     list_has(head.joined("connection"), "close");
    co_return co_await refuse(std::move(response), "plan");
}

// Buffers the start of the body; false if the connection must be closed.
asio::awaitable<bool> caller_session::buffer_body(outgoing_request& request) {
    if (request.plan.expects_continue && !caller_.body_done() && !caller_.has_buffered()) {
        if (!co_await caller_.write("HTTP/1.1 100 Continue\r\n\r\n", *timeouts_))
            co_return false;
    }
    std::array<char, body_block_bytes> block{};
    while (!caller_.body_done() && request.body.size() < max_buffered_body_bytes) {
        const auto read = co_await caller_.read_body(block, *timeouts_);
        if (read.status == read_status::closed)
            co_return false;
        if (read.status != read_status::ok) {
            local_response response{.status = status_of(read.status),
                                    .reason = read.reason,
                                    .request_id = request.plan.request_id,
                                    .close = true};
            co_return co_await refuse(std::move(response), "body");
        }
        request.body.append(block.data(), read.size);
    }
    request.body_complete = caller_.body_done();
    co_return true;
}

asio::awaitable<bool> caller_session::serve_plan(outgoing_request request) {
    attempt_history history;
    history.started = context_.clock.now();
    if (request.plan.idempotency_key.empty())
        co_return co_await serve_attempts(request, history);
    const auto claim = co_await claim_key(request.plan);
    if (!claim.won)
        co_return co_await refuse_claim(request, claim);
    const bool keep_open = co_await serve_attempts(request, history);
    // The key holders are told after the caller was answered, which saves the caller a round trip.
    auto result = routing::key_state::none;
    if (history.complete)
        result = routing::key_state::answered;
    else if (history.may_have_run)
        result = routing::key_state::unknown;
    context_.claims->finish(claim.claim_id, result);
    co_return keep_open;
}

// Claims the idempotency key of a request before any byte of the request is sent.
asio::awaitable<key_claim_result> caller_session::claim_key(const request_plan& plan) {
    if (context_.claims == nullptr)
        co_return key_claim_result{};
    struct pending_claim {
        explicit pending_claim(const strand& strand) : ready(strand) {}
        event ready;
        key_claim_result result;
    };
    const auto pending = std::make_shared<pending_claim>(strand_);
    context_.claims->claim({plan.service, plan.workspace, plan.idempotency_key},
                           [self = shared_from_this(), pending](key_claim_result result) {
                               asio::dispatch(self->strand_, [pending, result] {
                                   pending->result = result;
                                   pending->ready.set();
                               });
                           });
    co_await pending->ready.wait();
    co_return pending->result;
}

asio::awaitable<bool> caller_session::refuse_claim(const outgoing_request& request,
                                                   const key_claim_result& claim) {
    local_response response;
    response.request_id = request.plan.request_id;
    response.to_head = request.plan.is_head();
    response.close = request.plan.closes || !caller_.body_done();
    if (claim.first == routing::key_state::none) {
        response.reason = "the idempotency key cannot be claimed at the moment";
    } else {
        response.status = 409;
        response.reason = "the idempotency key is in use";
        response.first_outcome = to_name(claim.first);
    }
    co_return co_await refuse(std::move(response), "key");
}

// Runs the attempts and reports a failure; false if the connection must be closed.
asio::awaitable<bool> caller_session::serve_attempts(outgoing_request& request,
                                                     attempt_history& history) {
    history.complete = co_await run_attempts(request, history);
    if (history.complete) {
        record_outcome(request, history, to_name(routing::request_outcome::answered));
        co_return !request.plan.closes && caller_.body_done() && !closing_;
    }
    if (history.cut) {
        record_outcome(request, history, to_name(routing::request_outcome::unknown));
        co_return false;
    }
    if (history.caller_gone) {
        record_outcome(request, history, "caller-gone");
        co_return false;
    }
    co_return co_await answer_failure(request, history);
}

// Runs attempts until one completes or no further one is allowed. True if a complete response was
// forwarded.
asio::awaitable<bool> caller_session::run_attempts(outgoing_request& request,
                                                   attempt_history& history) {
    while (true) {
        const auto queued_at = context_.clock.now();
        const auto admitted = co_await admit(request, history);
        history.queue_wait += context_.clock.now() - queued_at;
        if (!admitted) {
            history.reason = "caller closed the connection";
            co_return false;
        }
        if (const auto* refused = std::get_if<routing::refusal>(&*admitted)) {
            if (history.reason.empty() || !history.may_have_run)
                history.reason = to_name(*refused);
            history.deadline_passed = *refused == routing::refusal::deadline_passed;
            co_return false;
        }
        const auto& slot = std::get<routing::slot>(*admitted);
        if (aborted_) {
            context_.dispatcher.release(slot, routing::attempt_result::abandoned, 0);
            co_return false;
        }
        const auto started_at = context_.clock.now();
        const auto report = co_await attempt(request, slot);
        context_.dispatcher.release(slot, report.result, context_.clock.now() - started_at);
        ++history.attempts;
        history.status = report.status;
        history.backend_server = slot.backend_server;
        context_.counters.add("clementine_attempts", {{"service", request.plan.service},
                                                      {"end", std::string(to_name(report.end))}});
        if (report.end == attempt_end::complete) {
            if (report.caller_must_close)
                closing_ = true;
            co_return true;
        }
        history.reason = report.reason;
        if (report.end == attempt_end::lost || report.end == attempt_end::cut)
            history.may_have_run = true;
        history.deadline_passed = context_.clock.now() >= request.deadline;
        if (report.end == attempt_end::cut) {
            // The status line was already sent, so only closing the connection can signal the
            // failure.
            history.caller_gone = report.result == routing::attempt_result::abandoned;
            history.cut = !history.caller_gone;
            caller_.close();
            co_return false;
        }
        if (report.caller_failed) {
            history.caller_fault = status_of(report.caller_status);
            history.caller_gone = report.caller_status == read_status::closed;
            co_return false;
        }
        if (aborted_ || history.deadline_passed || !may_retry(request, history, report))
            co_return false;
        if (report.end == attempt_end::not_started)
            ++history.not_started;
        else if (!report.silent)
            history.tried_servers.push_back(slot.backend_server);
    }
}

// A non-idempotent request is retried only if no attempt can have run. Every retry is charged to
// the retry budget of its service.
bool caller_session::may_retry(const outgoing_request& request, const attempt_history& history,
                               const attempt_report& report) {
    if (report.body_consumed)
        return false;
    if (history.may_have_run && !request.plan.idempotent)
        return false;
    // Nothing was sent if the lease had expired, so this is not a retry.
    if (report.end == attempt_end::not_started && history.not_started < max_not_started)
        return true;
    const bool granted = context_.dispatcher.take_retry(request.plan.service);
    context_.counters.add("clementine_retries", {{"service", request.plan.service},
                                                 {"workspace", request.plan.workspace},
                                                 {"granted", granted ? "yes" : "no"}});
    return granted;
}

// Waits for a slot; returns nothing if the wait was withdrawn.
asio::awaitable<std::optional<routing::admission_result>>
caller_session::admit(const outgoing_request& request, const attempt_history& history) {
    const auto pending = std::make_shared<pending_admission>(strand_);
    routing::admission admission_request;
    admission_request.request_id = context_.take_id();
    admission_request.service = request.plan.service;
    admission_request.workspace = request.plan.workspace;
    admission_request.deadline = request.deadline;
    admission_request.avoid = history.tried_servers;
    // The handler keeps the session alive, so that an admitted slot is always released.
    context_.dispatcher.admit(
        admission_request, [self = shared_from_this(), pending](routing::admission_result result) {
            asio::dispatch(self->strand_, [self, pending, result = std::move(result)]() mutable {
                CLEMENTINE_INVARIANT(!pending->result, "admission_answered_once");
                pending->result = std::move(result);
                pending->ready.set();
            });
        });
    if (!pending->result) {
        withdraw_admission_ = [this, pending, service = admission_request.service,
                               id = admission_request.request_id] {
            if (pending->withdrawn || pending->result || !context_.dispatcher.withdraw(service, id))
                return;
            pending->withdrawn = true;
            pending->ready.set();
        };
        // A caller that closed its connection needs no slot. If it only shut down its sending half,
        // it still receives the "not run" response.
        if (request.body_complete)
            caller_.watch_for_close(withdraw_admission_);
        co_await pending->ready.wait();
        caller_.stop_watch();
        withdraw_admission_ = nullptr;
    }
    if (pending->withdrawn)
        co_return std::nullopt;
    co_return pending->result;
}

asio::awaitable<attempt_report> caller_session::attempt(const outgoing_request& request,
                                                        const routing::slot& slot) {
    backend_exchange exchange(context_, strand_, caller_, request, slot, *timeouts_,
                              request.plan.closes || closing());
    exchange_ = &exchange;
    watchdog deadline(strand_, [&exchange] { exchange.expire("deadline passed"); });
    deadline.arm(std::max<time_ms>(1, request.deadline - context_.clock.now()));
    auto report = co_await exchange.run();
    exchange_ = nullptr;
    co_return report;
}

// Reports "not run" or "unknown" to the caller; false if the connection must be closed.
asio::awaitable<bool> caller_session::answer_failure(const outgoing_request& request,
                                                     const attempt_history& history) {
    local_response response;
    response.reason = history.reason;
    response.request_id = request.plan.request_id;
    response.to_head = request.plan.is_head();
    if (history.may_have_run) {
        response.outcome = routing::request_outcome::unknown;
        response.status = history.deadline_passed ? 504 : 502;
    }
    if (history.caller_fault != 0)
        response.status = history.caller_fault;
    response.close = request.plan.closes || closing() || !caller_.body_done();
    record_outcome(request, history, to_name(response.outcome));
    const bool written = co_await caller_.write(render(response), *timeouts_);
    co_return written && !response.close;
}

void caller_session::record_outcome(const outgoing_request& request, const attempt_history& history,
                                    std::string_view outcome) {
    const auto& plan = request.plan;
    const auto duration = context_.clock.now() - history.started;
    const metric_labels labels{{"service", plan.service}, {"workspace", plan.workspace}};
    auto outcome_labels = labels;
    outcome_labels.emplace_back("outcome", std::string(outcome));
    context_.counters.add("clementine_requests", outcome_labels);
    context_.counters.observe_ms("clementine_request_ms", labels, static_cast<double>(duration));
    context_.counters.observe_ms("clementine_queue_wait_ms", labels,
                                 static_cast<double>(history.queue_wait));
    const bool answered = outcome == to_name(routing::request_outcome::answered);
    log_event(answered ? log_level::debug : log_level::info, "request")
        .field("request_id", plan.request_id)
        .field("service", plan.service)
        .field("workspace", plan.workspace)
        .field("method", plan.method)
        .field("outcome", outcome)
        .field("status", history.status)
        .field("backend_server", history.backend_server)
        .field("attempts", history.attempts)
        .field("took_ms", duration)
        .field("queue_ms", history.queue_wait)
        .field("reason", history.reason);
}

} // namespace clementine::proxy
