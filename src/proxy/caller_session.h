// Serves the requests of one caller connection in order.
#pragma once

#include "proxy/asio.h"
#include "proxy/backend_exchange.h"
#include "proxy/caller_stream.h"
#include "proxy/context.h"
#include "proxy/request_plan.h"
#include "proxy/response_head.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace clementine::proxy {

class caller_session : public std::enable_shared_from_this<caller_session> {
  public:
    // `on_closed` is called once, on the strand, when the connection has ended.
    caller_session(proxy_context& context, const strand& strand, tcp::socket socket,
                   std::function<void()> on_closed);
    caller_session(const caller_session&) = delete;
    caller_session& operator=(const caller_session&) = delete;

    void start();
    // Closes the connection once no request is in progress. Thread-safe.
    void finish();
    // Aborts the request in progress and closes the connection. Thread-safe.
    void abort();

  private:
    struct pending_admission;
    struct attempt_history;

    asio::awaitable<void> run();
    asio::awaitable<bool> serve_request();
    asio::awaitable<bool> refuse(local_response response, std::string_view why);
    asio::awaitable<bool> refuse_plan(const rejection& rejection, const request_head& head);
    asio::awaitable<bool> buffer_body(outgoing_request& request);
    asio::awaitable<bool> serve_plan(outgoing_request request);
    asio::awaitable<key_claim_result> claim_key(const request_plan& plan);
    asio::awaitable<bool> refuse_claim(const outgoing_request& request,
                                       const key_claim_result& claim);
    asio::awaitable<bool> serve_attempts(outgoing_request& request, attempt_history& history);
    asio::awaitable<bool> run_attempts(outgoing_request& request, attempt_history& history);
    asio::awaitable<std::optional<routing::admission_result>> admit(const outgoing_request& request,
                                                                    const attempt_history& history);
    asio::awaitable<attempt_report> attempt(const outgoing_request& request,
                                            const routing::slot& slot);
    asio::awaitable<bool> answer_failure(const outgoing_request& request,
                                         const attempt_history& history);
    bool may_retry(const outgoing_request& request, const attempt_history& history,
                   const attempt_report& report);
    void record_outcome(const outgoing_request& request, const attempt_history& history,
                        std::string_view outcome);
    bool closing() const { return closing_ || context_.draining.load(); }
    std::string new_request_id();

    proxy_context& context_;
    strand strand_;
    caller_stream caller_;
    std::function<void()> on_closed_;
    std::shared_ptr<const timeout_settings> timeouts_;
    backend_exchange* exchange_ = nullptr;     // the attempt in progress, if any
    std::function<void()> withdraw_admission_; // cancels the wait for a slot, if any
    bool in_request_ = false;
    bool closing_ = false;
    bool aborted_ = false;
};

} // namespace clementine::proxy
