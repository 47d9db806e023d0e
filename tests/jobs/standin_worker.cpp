#include "jobs/standin_worker.h"

#include "base/ini.h"

#include <boost/asio/ip/address.hpp>

#include <algorithm>
#include <chrono>
#include <cstdlib>

namespace clementine {

namespace json = boost::json;
namespace http = boost::beast::http;
using namespace clementine::control;

namespace {

constexpr int max_percent = 100;
constexpr unsigned status_conflict = 409;
constexpr unsigned status_ok = 200;

http_response json_response(unsigned status, const json::object& body) {
    return make_response(static_cast<http::status>(status), json::serialize(body),
                         "application/json");
}

std::int64_t number_at(const json::object& in, const char* name) {
    const auto* value = in.if_contains(name);
    return value && value->is_number() ? value->to_number<std::int64_t>() : 0;
}

} // namespace

standin_worker::standin_worker(boost::asio::io_context& loop, const clock_source& clock,
                               standin_worker_options options)
    : loop_(loop), clock_(clock), options_(std::move(options)), timer_(loop),
      started_at_(wall_clock_ms()) {
    for (const auto& address : options_.controls) {
        const auto parsed = parse_endpoint(address).value_or(endpoint_text{"127.0.0.1", 1});
        controls_.push_back(std::make_shared<http_pool>(
            loop_, clock_,
            boost::asio::ip::tcp::endpoint(boost::asio::ip::make_address(parsed.address),
                                           parsed.port),
            1));
    }
}

std::string standin_worker::start() {
    server_ = std::make_shared<http_server>(
        loop_, http_limits{}, [this](const http_request& request, const http_respond& respond) {
            handle(request, respond);
        });
    const auto problem = server_->listen({boost::asio::ip::make_address(options_.ip), 0});
    if (problem.empty())
        tick();
    return problem;
}

boost::asio::ip::tcp::endpoint standin_worker::endpoint() const {
    return {boost::asio::ip::make_address(options_.ip), server_->port()};
}

// All runs end with the worker.
void standin_worker::stop() {
    stopped_ = true;
    for (const auto& [task, item] : runs_)
        options_.run_ended(task, "gone");
    runs_.clear();
    timer_.cancel();
    server_->stop();
    for (const auto& item : controls_)
        item->stop();
    pending_holds_.clear();
}

void standin_worker::announce() {
    announced_at_ = now();
    const json::object body{
        {"Service", options_.pool},
        {"Address", announced_address_.empty() ? options_.ip + ":" + std::to_string(server_->port())
                                               : announced_address_},
        {"Zone", "z"},
        {"State", "ready"},
        {"Capacity", json::object{{"Cpu", options_.cpu}, {"MemMb", 4096}, {"Gpu", 0}}},
        {"Labels", json::array{"a", "r1"}},
        {"ClockMs", now()},
        {"Sequence", ++sequence_},
        {"born", started_at_}};
    auto& control = *controls_[next_control_ % controls_.size()];
    control.request({"PUT", "/clementineroad/instances/" + options_.id, {}, json::serialize(body)},
                    options_.announce_interval, [this](const http_result& result) {
                        if (result.failure || result.status != status_ok)
                            ++next_control_;
                    });
}

void standin_worker::tick() {
    if (stopped_)
        return;
    if (now() - announced_at_ >= options_.announce_interval)
        announce();
    std::vector<std::pair<std::string, const char*>> finished;
    for (const auto& [task, item] : runs_) {
        if (now() > lease_until_)
            finished.emplace_back(task, "lapsed");
        else if (now() - item.started >= item.run_time)
            finished.emplace_back(task, item.fails ? "failed" : "done");
    }
    for (const auto& [task, reason] : finished)
        end_run(task, reason);
    mark_ends_if_lease_lapsed();
    for (std::size_t i = 0; i < pending_holds_.size();) {
        const bool has_new_ends =
            !ended_runs_.empty() && ended_runs_.back().number > pending_holds_[i].last_seen;
        if (!has_new_ends && now() < pending_holds_[i].until) {
            ++i;
            continue;
        }
        respond_to_hold(pending_holds_[i]);
        pending_holds_.erase(pending_holds_.begin() + static_cast<std::ptrdiff_t>(i));
    }
    timer_.expires_after(std::chrono::milliseconds(options_.tick_interval));
    timer_.async_wait([this](boost::system::error_code error) {
        if (!error)
            tick();
    });
}

void standin_worker::end_run(const std::string& task, const char* reason) {
    const auto at = runs_.find(task);
    if (at == runs_.end())
        return;
    options_.run_ended(task, reason);
    ended_runs_.push_back({++last_ended_number_, task, at->second.number, reason});
    highest_closed_run_[task] = std::max(highest_closed_run_[task], at->second.number);
    runs_.erase(at);
}

void standin_worker::extend_lease(time_ms until) {
    mark_ends_if_lease_lapsed();
    lease_until_ = std::max(lease_until_, until);
}

void standin_worker::mark_ends_if_lease_lapsed() {
    if (now() <= lease_until_)
        return;
    for (auto& ended : ended_runs_)
        ended.lease_lapsed = true;
}

void standin_worker::handle(const http_request& request, const http_respond& respond) {
    boost::system::error_code error;
    const auto document = json::parse(request.body(), error);
    if (error || !document.is_object())
        return respond(json_response(400, {}));
    const auto& body = document.as_object();
    json::object reply{{"ClockMs", now()}};
    const auto fence = number_at(body, "Fence");
    if (fence < highest_fence_) {
        reply["Reason"] = "fence";
        return respond(json_response(status_conflict, reply));
    }
    highest_fence_ = fence;
    if (request.target() == "/clementineroad/hold")
        return handle_hold(body, respond);
    unsigned status = status_ok;
    if (request.target() == "/clementineroad/run-start")
        status = start_run(body, reply);
    else if (request.target() == "/clementineroad/run-stop")
        stop_run(body);
    respond(json_response(status, reply));
}

unsigned standin_worker::start_run(const json::object& body, json::object& reply) {
    const std::string task(body.at("Task").as_string());
    const auto number = number_at(body, "Run");
    const auto until = number_at(body, "UntilMs");
    const auto known = runs_.find(task);
    if (known != runs_.end() && known->second.number == number)
        return status_ok;
    if (number <= highest_closed_run_[task]) {
        reply["Reason"] = "old";
        return status_conflict;
    }
    if (until <= now()) {
        reply["Reason"] = "late";
        return status_conflict;
    }
    extend_lease(until);
    const std::string payload(body.at("Spec").as_string());
    runs_[task] = {number, now(), std::atol(payload.c_str()), payload == "fails"};
    ++starts_[task];
    options_.run_started(task, number);
    return status_ok;
}

void standin_worker::stop_run(const json::object& body) {
    const std::string task(body.at("Task").as_string());
    const auto number = number_at(body, "Run");
    highest_closed_run_[task] = std::max(highest_closed_run_[task], number);
    const auto known = runs_.find(task);
    if (known != runs_.end() && known->second.number <= number)
        end_run(task, "stopped");
}

void standin_worker::handle_hold(const json::object& body, const http_respond& respond) {
    const auto last_seen = number_at(body, "LastSeen");
    extend_lease(number_at(body, "UntilMs"));
    for (const auto& ended : ended_runs_) {
        if (ended.number <= last_seen && !ended.lease_lapsed)
            options_.end_acknowledged(ended.task, ended.run, ended.reason);
    }
    std::erase_if(ended_runs_, [&](const ended_run& item) { return item.number <= last_seen; });
    pending_holds_.push_back({last_seen, now() + number_at(body, "WaitMs"), respond});
}

void standin_worker::respond_to_hold(const pending_hold& hold) {
    json::array running;
    for (const auto& [task, item] : runs_) {
        const auto progress = item.run_time == 0 ? 1.0
                                                 : static_cast<double>(now() - item.started) /
                                                       static_cast<double>(item.run_time);
        running.push_back(json::array{task, item.number, "",
                                      static_cast<int>(max_percent * std::min(1.0, progress))});
    }
    json::array ended_runs;
    for (const auto& ended : ended_runs_)
        ended_runs.push_back(json::array{ended.number, ended.task, ended.run, ended.reason, ""});
    hold.respond(json_response(
        status_ok,
        {{"ClockMs", now()}, {"Running", running}, {"Ended", ended_runs}, {"born", started_at_}}));
}

} // namespace clementine
