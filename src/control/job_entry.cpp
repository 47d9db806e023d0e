#include "control/job_entry.h"

#include "base/log.h"
#include "control/endpoint.h"

#include <algorithm>
#include <charconv>
#include <chrono>
#include <utility>

namespace clementine::control {

namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace {

// Longest time without an answer, if the caller names no shorter one.
constexpr time_ms max_answer_time{2'500};
// The answer must reach the caller before it gives up.
constexpr time_ms answer_margin{150};
// A request that no control node can take waits for a leader this long. An election takes 0.8 to
// 1.4 s; a caller that is refused comes back after a second or more.
constexpr time_ms wait_for_leader{1'400};
// A leader that was last seen longer ago has no successor soon: more is wrong than its loss.
constexpr time_ms longest_election{1'700};
// After a refusal for want of a leader.
constexpr time_ms retry_without_leader{1'000};
// Other entry nodes lack a leader as well, so this one stays in rotation for this long without one.
constexpr time_ms ready_without_leader{8'000};
// Without any link, others can probably serve; links are restored within 0.4 s if that is possible.
constexpr time_ms ready_without_links{700};
constexpr time_ms stop_check_interval{50};
// Requests under way at a stop are given up after this much more time.
constexpr time_ms end_limit{2'500};
constexpr time_ms ms_per_second{1'000};
constexpr std::size_t max_callers = 2'000;

std::string last_segment(std::string_view target) {
    target = target.substr(0, target.find('?'));
    return std::string(target.substr(target.rfind('/') + 1));
}

} // namespace

job_entry::job_entry(asio::io_context& loop, job_entry_settings settings, const clock_source& clock)
    : loop_(loop), settings_(std::move(settings)), clock_(clock), stop_timer_(loop) {
    wire::hello self;
    self.cluster = "clementineroad";
    self.node = settings_.link_address;
    self.role = wire::node_role::entryd;
    self.availability_zone = settings_.availability_zone;
    self.boot_id = wire::new_boot_id();
    cluster_links::callbacks callbacks;
    callbacks.accepted = [](const std::shared_ptr<wire::connection>&, wire::message&&) {};
    callbacks.received = [this](const std::string& node, wire::message&& value) {
        if (const auto* reply = std::get_if<wire::call_reply>(&value))
            return router_->observe(node, *reply);
        if (const auto* known = std::get_if<wire::directory>(&value)) {
            for (const auto& item : known->members)
                links_->connect(item.node);
            router_->observe(node, *known);
        }
    };
    callbacks.opened = [this](const std::string& node) { router_->observe_opened(node); };
    callbacks.closed = [this](const std::string& node) { router_->observe_closed(node); };
    links_ = std::make_unique<cluster_links>(loop_, std::move(self), std::move(callbacks));
    router_ = std::make_unique<leader_router>(loop_, clock_, *links_, nullptr);
}

std::string job_entry::start() {
    for (const auto& seed : settings_.seeds)
        links_->connect(seed);
    http_limits limits;
    limits.connections = max_callers;
    callers_ = std::make_shared<http_server>(
        loop_, limits, [this](const http_request& request, const http_respond& respond) {
            handle(request, respond);
        });
    ready_ = std::make_shared<http_server>(
        loop_, http_limits{}, [this](const http_request& request, const http_respond& respond) {
            handle_ready(request, respond);
        });
    admin_ = std::make_shared<http_server>(
        loop_, http_limits{}, [this](const http_request& request, const http_respond& respond) {
            handle_admin(request, respond);
        });
    const std::pair<http_server&, const std::string&> servers[] = {
        {*callers_, settings_.callers_address},
        {*ready_, settings_.ready_address},
        {*admin_, settings_.admin_address}};
    for (const auto& [server, address] : servers) {
        const auto problem = server.listen(checked_tcp_endpoint(address));
        if (!problem.empty())
            return "cannot listen on " + address + ": " + problem;
    }
    return {};
}

void job_entry::set_seeds(const std::vector<std::string>& seeds) {
    for (const auto& seed : seeds)
        links_->connect(seed);
}

void job_entry::handle(const http_request& request, const http_respond& respond) {
    ++under_way_;
    wire::call call;
    call.origin = wire::call_origin::caller;
    call.method = std::string(request.method_string());
    call.host = std::string(request[http::field::host]);
    call.target = std::string(request.target());
    call.body = request.body();
    route_limits limits{max_answer_time, wait_for_leader, longest_election};
    const auto header = request[settings_.deadline_header];
    time_ms wait = 0;
    if (std::from_chars(header.data(), header.data() + header.size(), wait).ec == std::errc{} &&
        wait > 0)
        limits.total = std::clamp(wait - answer_margin, answer_margin, max_answer_time);
    const auto arrived = clock_.now();
    router_->route(std::move(call), limits,
                   [this, arrived, respond, id = last_segment(request.target()),
                    method = std::string(request.method_string())](const routed_reply& result) {
                       finish(id, method, arrived, result, respond);
                   });
}

void job_entry::finish(const std::string& id, const std::string& method, time_ms arrived,
                       const routed_reply& result, const http_respond& respond) {
    --under_way_;
    auto status = static_cast<http::status>(result.reply.status);
    auto retry_after = result.reply.retry_after;
    if (result.outcome == route_outcome::not_run) {
        status = http::status::service_unavailable;
        retry_after = retry_without_leader;
    } else if (result.outcome == route_outcome::unknown) {
        status = http::status::gateway_timeout;
    }
    metrics_.add("clementine_caller_requests",
                 {{"method", method}, {"status", std::to_string(static_cast<unsigned>(status))}});
    metrics_.observe_ms("clementine_caller_request_ms", {{"method", method}},
                        static_cast<double>(clock_.now() - arrived));
    if (method != "GET" || result.outcome != route_outcome::answered)
        log_event(log_level::info, "request_answered")
            .field("job", id)
            .field("method", method)
            .field("status", static_cast<unsigned>(status))
            .field("outcome", to_name(result.outcome))
            .field("took_ms", clock_.now() - arrived)
            .field("leader", router_->leader());
    auto response = make_response(status, result.reply.body, "application/json");
    if (retry_after > 0)
        response.set(http::field::retry_after,
                     std::to_string((retry_after + ms_per_second - 1) / ms_per_second));
    respond(std::move(response));
}

void job_entry::handle_ready(const http_request& request, const http_respond& respond) {
    if (request.target() != settings_.ready_path)
        return respond(make_response(http::status::not_found, "", "text/plain"));
    if (links_->any_open())
        linked_at_ = clock_.now();
    const bool linked = linked_at_ != 0 && clock_.now() - linked_at_ <= ready_without_links;
    const bool ready = !stopping_ && linked && router_->had_leader(ready_without_leader);
    if (ready != was_ready_)
        log_event(log_level::info, "readiness_changed")
            .field("ready", ready)
            .field("linked", linked)
            .field("leader", router_->leader());
    was_ready_ = ready;
    respond(make_response(ready ? http::status::ok : http::status::service_unavailable,
                          ready ? "ready\n" : "not ready\n", "text/plain"));
}

void job_entry::handle_admin(const http_request& request, const http_respond& respond) {
    if (request.target() != "/metrics")
        return respond(make_response(http::status::not_found, "", "text/plain"));
    metrics_.set("clementine_caller_requests_under_way", {}, static_cast<double>(under_way_));
    respond(make_response(http::status::ok, metrics_.render(), "text/plain; version=0.0.4"));
}

void job_entry::stop_gracefully(std::function<void()> stopped) {
    if (std::exchange(stopping_, true))
        return;
    log_event(log_level::info, "stopping").field("under_way", std::uint64_t{under_way_});
    stopped_ = std::move(stopped);
    stop_at_ = clock_.now() + settings_.drain_time;
    wait_for_end();
}

// Listens on until the load balancer has noticed, then until the last request has its answer.
void job_entry::wait_for_end() {
    const auto now = clock_.now();
    if (now >= stop_at_) {
        callers_->stop();
        if (under_way_ == 0 || now >= stop_at_ + end_limit) {
            ready_->stop();
            admin_->stop();
            router_->stop();
            links_->stop();
            return stopped_();
        }
    }
    stop_timer_.expires_after(std::chrono::milliseconds(stop_check_interval));
    stop_timer_.async_wait([this](boost::system::error_code error) {
        if (!error)
            wait_for_end();
    });
}

} // namespace clementine::control
