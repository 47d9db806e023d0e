#include "control/job_entry.h"

#include "base/log.h"
#include "control/credential.h"
#include "control/endpoint.h"

#include <algorithm>
#include <charconv>
#include <chrono>
#include <utility>

namespace clementine::control {

namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace {

// Upper bound of the response time; the caller may request a shorter one.
constexpr time_ms max_response_time{2'500};
// Subtracted from the caller's timeout, so that the response arrives in time.
constexpr time_ms response_margin{150};
// A request waits this long for a leader. An election takes 0.8 to 1.4 s, and a refused caller
// retries only after a second or more.
constexpr time_ms leader_wait_limit{1'400};
// If the last leader was seen longer ago than this, no election is about to succeed, and new
// requests are refused at once.
constexpr time_ms max_election_time{1'700};
// Retry-After of a request that was refused because there is no leader.
constexpr time_ms no_leader_retry_after{1'000};
// Stays ready for this long without a leader, because the other entry nodes lack one as well.
constexpr time_ms no_leader_ready_time{8'000};
// Stays ready for this long without any link: other entry nodes can probably serve. Links that can
// be restored are back within 0.4 s.
constexpr time_ms no_links_ready_time{700};
constexpr time_ms stop_check_interval{50};
// Requests that are still open this long after the drain time are abandoned.
constexpr time_ms stop_timeout{2'500};
constexpr time_ms ms_per_second{1'000};
constexpr std::size_t max_caller_connections = 2'000;

std::string job_id_of(std::string_view target) {
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
    callbacks.received_incoming = [](const std::shared_ptr<wire::connection>&, wire::message&&) {};
    callbacks.received_outgoing = [this](const std::string& node, wire::message&& value) {
        if (const auto* reply = std::get_if<wire::call_reply>(&value))
            return router_->observe(node, *reply);
        if (const auto* directory = std::get_if<wire::directory>(&value)) {
            for (const auto& member : directory->members)
                links_->connect(member.node);
            router_->observe(node, *directory);
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
    limits.max_connections = max_caller_connections;
    callers_server_ = std::make_shared<http_server>(
        loop_, limits, [this](const http_request& request, const http_respond& respond) {
            handle_request(request, respond);
        });
    ready_server_ = std::make_shared<http_server>(
        loop_, http_limits{}, [this](const http_request& request, const http_respond& respond) {
            handle_ready(request, respond);
        });
    admin_server_ = std::make_shared<http_server>(
        loop_, http_limits{}, [this](const http_request& request, const http_respond& respond) {
            handle_admin(request, respond);
        });
    const std::pair<http_server&, const std::string&> servers[] = {
        {*callers_server_, settings_.callers_address},
        {*ready_server_, settings_.ready_address},
        {*admin_server_, settings_.admin_address}};
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

void job_entry::handle_request(const http_request& request, const http_respond& respond) {
    ++open_requests_;
    wire::call call;
    call.origin = wire::call_origin::caller;
    call.method = std::string(request.method_string());
    call.host = std::string(request[http::field::host]);
    call.target = std::string(request.target());
    call.body = request.body();
    const auto authorization = request[http::field::authorization];
    call.credential = credential_of({authorization.data(), authorization.size()});
    route_limits limits{max_response_time, leader_wait_limit, max_election_time};
    const auto header = request[settings_.deadline_header];
    time_ms wait = 0;
    if (std::from_chars(header.data(), header.data() + header.size(), wait).ec == std::errc{} &&
        wait > 0)
        limits.timeout = std::clamp(wait - response_margin, response_margin, max_response_time);
    const auto arrived_at = clock_.now();
    router_->route(std::move(call), limits,
                   [this, arrived_at, respond, id = job_id_of(request.target()),
                    method = std::string(request.method_string())](const routed_reply& result) {
                       respond_to_caller(id, method, arrived_at, result, respond);
                   });
}

void job_entry::respond_to_caller(const std::string& id, const std::string& method,
                                  time_ms arrived_at, const routed_reply& result,
                                  const http_respond& respond) {
    --open_requests_;
    auto status = static_cast<http::status>(result.reply.status);
    auto retry_after = result.reply.retry_after;
    if (result.outcome == route_outcome::not_run) {
        status = http::status::service_unavailable;
        retry_after = no_leader_retry_after;
    } else if (result.outcome == route_outcome::unknown) {
        status = http::status::gateway_timeout;
    }
    metrics_.add("clementine_caller_requests",
                 {{"method", method}, {"status", std::to_string(static_cast<unsigned>(status))}});
    metrics_.observe_ms("clementine_caller_request_ms", {{"method", method}},
                        static_cast<double>(clock_.now() - arrived_at));
    if (method != "GET" || result.outcome != route_outcome::answered)
        log_event(log_level::info, "request_answered")
            .field("job", id)
            .field("method", method)
            .field("status", static_cast<unsigned>(status))
            .field("outcome", to_name(result.outcome))
            .field("took_ms", clock_.now() - arrived_at)
            .field("attempts", std::uint64_t{result.attempts})
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
        last_linked_at_ = clock_.now();
    const bool linked =
        last_linked_at_ != 0 && clock_.now() - last_linked_at_ <= no_links_ready_time;
    const bool ready = !stopping_ && linked && router_->had_leader(no_leader_ready_time);
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
    metrics_.set("clementine_caller_requests_under_way", {}, static_cast<double>(open_requests_));
    const auto attempts = router_->take_counters();
    const std::pair<std::string, std::uint64_t> counts[] = {{"sent", attempts.sent},
                                                            {"retried", attempts.retried},
                                                            {"declined", attempts.declined},
                                                            {"timed-out", attempts.timed_out}};
    for (const auto& [outcome, count] : counts)
        metrics_.add("clementine_caller_attempts", {{"outcome", outcome}}, count);
    respond(make_response(http::status::ok, metrics_.render(), "text/plain; version=0.0.4"));
}

void job_entry::stop_gracefully(std::function<void()> stopped) {
    if (std::exchange(stopping_, true))
        return;
    log_event(log_level::info, "stopping").field("under_way", std::uint64_t{open_requests_});
    stopped_ = std::move(stopped);
    stop_at_ = clock_.now() + settings_.drain_time;
    continue_stop();
}

// Keeps listening for the drain time, so that the load balancer notices, and then waits for the
// open requests.
void job_entry::continue_stop() {
    const auto now = clock_.now();
    if (now >= stop_at_) {
        callers_server_->stop();
        if (open_requests_ == 0 || now >= stop_at_ + stop_timeout) {
            ready_server_->stop();
            admin_server_->stop();
            router_->stop();
            links_->stop();
            return stopped_();
        }
    }
    stop_timer_.expires_after(std::chrono::milliseconds(stop_check_interval));
    stop_timer_.async_wait([this](boost::system::error_code error) {
        if (!error)
            continue_stop();
    });
}

} // namespace clementine::control
