#include "control/controld.h"

#include "base/log.h"

#include <boost/asio/ip/address.hpp>
#include <boost/asio/post.hpp>

#include <algorithm>
#include <chrono>
#include <utility>

namespace clementine::control {

namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace {

// A leadership transfer takes a few round trips. After this time an election replaces it.
constexpr time_ms leadership_transfer_timeout{3'000};
constexpr time_ms join_request_interval{1'000};

asio::ip::tcp::endpoint to_endpoint(const endpoint_text& value) {
    return {asio::ip::make_address(value.address), value.port};
}

std::string to_text(const endpoint_text& value) {
    const bool v6 = value.address.find(':') != std::string::npos;
    return (v6 ? "[" + value.address + "]" : value.address) + ":" + std::to_string(value.port);
}

} // namespace

controld::controld(asio::io_context& context, controld_settings settings, controld_options options,
                   consensus::file_system& files, const clock_source& clock,
                   std::function<void(const std::string& reason)> failed)
    : context_(context), settings_(std::move(settings)), clock_(clock),
      dissemination_(std::make_shared<dissemination>(context, clock, settings_.entry_nodes)),
      join_request_timer_(std::make_shared<asio::steady_timer>(asio::make_strand(context))) {
    create_host(options, files, std::move(failed));
    operators_api_ = std::make_unique<operators_api>(
        settings_.node, *host_, *dissemination_,
        [this](const std::string& node) { return operators_address(node); });
    if (settings_.platform)
        start_decisions();
}

controld::~controld() {
    stop();
}

void controld::create_host(const controld_options& options, consensus::file_system& files,
                           std::function<void(const std::string&)> failed) {
    host_settings settings;
    settings.node = settings_.node;
    settings.cluster = settings_.cluster;
    settings.folder = settings_.data_folder;
    settings.first_start = options.first_start;
    settings.seed = options.seed;
    settings.snapshot_entries = options.snapshot_entries;
    settings.trailing_entries = options.trailing_entries;
    for (const auto& replica : settings_.replicas)
        settings.replicas.push_back(replica.node);
    replica_host::callbacks callbacks;
    callbacks.send = [this](const std::string& node, const consensus::message& value) {
        send(node, value);
    };
    callbacks.manifest_changed = [this](const store::manifest_version& value) {
        dissemination_->publish(value, host_->status().role == consensus::replica_role::leader);
    };
    callbacks.failed = std::move(failed);
    host_ = std::make_unique<replica_host>(std::move(settings), files, clock_, callbacks);
}

std::string controld::start() {
    auto problem = start_links();
    if (problem.empty())
        problem = host_->start();
    if (problem.empty())
        problem = start_http();
    if (!problem.empty())
        return problem;
    for (const auto& [node, link] : peers_)
        link->start();
    schedule_join_request();
    if (decision_loop_)
        schedule_round();
    log_event(log_level::info, "started")
        .field("control_port", control_server_->port())
        .field("operators_port", operators_server_->port())
        .field("admin_port", admin_server_->port());
    return {};
}

wire::hello controld::make_hello() const {
    wire::hello out;
    out.cluster = settings_.cluster;
    out.node = settings_.node;
    out.role = wire::node_role::controld;
    out.availability_zone = settings_.availability_zone;
    out.boot_id = wire::new_boot_id();
    out.operators = to_text(settings_.operators);
    return out;
}

std::string controld::start_links() {
    const auto self = make_hello();
    wire::channel_server::handlers server_handlers;
    server_handlers.received = [this](const std::shared_ptr<wire::connection>& peer,
                                      wire::message&& value) {
        handle_message(peer, std::move(value));
    };
    server_handlers.closed = [this](const std::shared_ptr<wire::connection>& peer,
                                    const wire::close_info&) {
        dissemination_->remove_subscriber(peer);
    };
    control_server_ = std::make_shared<wire::channel_server>(context_, self, wire::link_settings{},
                                                             server_handlers, traffic_);
    for (const auto& replica : settings_.replicas) {
        if (replica.node == settings_.node)
            continue;
        wire::channel::handlers channel_handlers;
        channel_handlers.opened = [this, node = replica.node](const wire::hello& peer) {
            std::lock_guard lock(mutex_);
            operators_addresses_[node] = peer.operators;
        };
        peers_[replica.node] =
            std::make_shared<wire::channel>(context_, to_endpoint(replica.address), self,
                                            wire::link_settings{}, channel_handlers, traffic_);
    }
    const auto problem = control_server_->listen(to_endpoint(settings_.control));
    return problem.empty() ? problem
                           : "cannot listen on " + to_text(settings_.control) + ": " + problem;
}

std::string controld::start_http() {
    operators_server_ = std::make_shared<http_server>(
        context_, http_limits{}, [this](const http_request& request, const http_respond& respond) {
            operators_api_->handle(request, respond);
        });
    admin_server_ = std::make_shared<http_server>(
        context_, http_limits{}, [this](const http_request& request, const http_respond& respond) {
            handle_admin(request, respond);
        });
    auto problem = operators_server_->listen(to_endpoint(settings_.operators));
    if (!problem.empty())
        return "cannot listen on " + to_text(settings_.operators) + ": " + problem;
    problem = admin_server_->listen(to_endpoint(settings_.admin));
    return problem.empty() ? problem
                           : "cannot listen on " + to_text(settings_.admin) + ": " + problem;
}

void controld::handle_message(const std::shared_ptr<wire::connection>& peer,
                              wire::message&& value) {
    const auto& name = peer->peer().node;
    if (peer->peer().role == wire::node_role::entryd) {
        if (const auto* request = std::get_if<wire::subscribe>(&value))
            subscribe(peer, request->version);
        else if (const auto* report = std::get_if<wire::version_report>(&value))
            dissemination_->record_version(peer, report->version);
        else if (auto* demand = std::get_if<wire::demand_report>(&value))
            dissemination_->record_demand(name, std::move(demand->demand));
        return;
    }
    // Only replicas listed in the settings may vote or join.
    if (!peers_.contains(name))
        return;
    if (auto* consensus_message = std::get_if<consensus::message>(&value))
        host_->receive(name, std::move(*consensus_message));
    else if (const auto* join = std::get_if<wire::join_request>(&value))
        host_->request_join(name, join->replica_id);
}

// A successful linearizable read proves that this replica leads, so its manifest is the newest
// accepted one and the entry node needs no majority of answers.
void controld::subscribe(const std::shared_ptr<wire::connection>& peer, std::uint64_t version) {
    host_->read([this, peer, version](const store::state* state, host_refusal) {
        dissemination_->add_subscriber(peer, version, state != nullptr);
    });
}

// /ready fails while stopping or without a known leader, so that no operators' requests arrive.
void controld::handle_admin(const http_request& request, const http_respond& respond) {
    const auto status = host_->status();
    if (request.target() == "/health")
        return respond(make_response(http::status::ok, "ok\n", "text/plain"));
    if (request.target() == "/ready") {
        const bool ready = !stopping_ && !status.leader.empty();
        return respond(make_response(ready ? http::status::ok : http::status::service_unavailable,
                                     ready ? "ready\n" : "not ready\n", "text/plain"));
    }
    if (request.target() != "/metrics")
        return respond(make_response(http::status::not_found, "", "text/plain"));
    const auto in_force = dissemination_->report_in_force(status.version);
    metrics_.set("clementine_manifest_version", {}, static_cast<double>(status.version));
    metrics_.set("clementine_manifest_in_force_nodes", {},
                 static_cast<double>(in_force.nodes_in_force));
    metrics_.set("clementine_entry_nodes", {}, static_cast<double>(in_force.known_nodes));
    metrics_.set("clementine_replica_leader", {},
                 status.role == consensus::replica_role::leader ? 1 : 0);
    metrics_.set("clementine_replica_term", {}, static_cast<double>(status.term));
    metrics_.set("clementine_replica_commit_index", {}, static_cast<double>(status.commit));
    metrics_.set("clementine_replica_applied_index", {}, static_cast<double>(status.applied));
    metrics_.set("clementine_control_sent_bytes", {},
                 static_cast<double>(traffic_->bytes_sent.load()));
    metrics_.set("clementine_control_received_bytes", {},
                 static_cast<double>(traffic_->bytes_received.load()));
    if (decision_loop_) {
        const auto& counts = decision_loop_->counters();
        metrics_.set("clementine_decision_rounds", {}, static_cast<double>(counts.rounds.load()));
        metrics_.set("clementine_decisions", {}, static_cast<double>(counts.decisions.load()));
        metrics_.set("clementine_platform_commands", {},
                     static_cast<double>(counts.commands.load()));
        metrics_.set("clementine_platform_failures", {},
                     static_cast<double>(platform_->failures()));
    }
    respond(make_response(http::status::ok, metrics_.render(), "text/plain; version=0.0.4"));
}

void controld::send(const std::string& node, const consensus::message& value) {
    const auto it = peers_.find(node);
    if (it != peers_.end())
        it->second->send(value);
}

std::string controld::operators_address(const std::string& node) const {
    std::lock_guard lock(mutex_);
    const auto it = operators_addresses_.find(node);
    return it == operators_addresses_.end() ? std::string() : it->second;
}

void controld::start_decisions() {
    platform_ = std::make_unique<platform_client::http_platform>(context_,
                                                                 to_endpoint(*settings_.platform));
    decision_loop_ = std::make_unique<decision_loop>(*host_, *platform_, clock_,
                                                     [this] { return dissemination_->demand(); });
    operators_api_->set_decision_loop(decision_loop_.get());
    round_timer_ = std::make_shared<asio::steady_timer>(asio::make_strand(context_));
}

void controld::schedule_round() {
    round_timer_->expires_after(std::chrono::milliseconds(decision_interval));
    round_timer_->async_wait([this, timer = round_timer_](boost::system::error_code error) {
        if (error || stopping_)
            return;
        decision_loop_->start_round();
        schedule_round();
    });
}

void controld::schedule_join_request() {
    join_request_timer_->expires_after(std::chrono::milliseconds(join_request_interval));
    join_request_timer_->async_wait(
        [this, timer = join_request_timer_](boost::system::error_code error) {
            if (!error && !stopping_)
                request_join();
        });
}

// Asks all replicas to add this one if it has a new id; only the leader acts on the request.
void controld::request_join() {
    const auto status = host_->status();
    const auto self = std::ranges::find(status.members, status.id, &consensus::member::id);
    const bool voter = self != status.members.end() && self->voter;
    if (!voter && status.id >= consensus::first_random_id) {
        for (const auto& [node, link] : peers_)
            link->send(wire::join_request{status.id});
    }
    schedule_join_request();
}

void controld::stop_gracefully() {
    stopping_ = true;
    host_->stop_gracefully(leadership_transfer_timeout);
    stop();
}

void controld::stop() {
    stopping_ = true;
    // Timers are not thread-safe, so they are cancelled on their own executor.
    asio::post(join_request_timer_->get_executor(),
               [timer = join_request_timer_] { timer->cancel(); });
    if (decision_loop_) {
        asio::post(round_timer_->get_executor(), [timer = round_timer_] { timer->cancel(); });
        platform_->stop();
    }
    host_->stop();
    dissemination_->stop();
    stop_links();
    if (operators_server_)
        operators_server_->stop();
    if (admin_server_)
        admin_server_->stop();
}

void controld::stop_links() {
    if (control_server_)
        control_server_->stop();
    for (const auto& [node, link] : peers_)
        link->stop();
}

} // namespace clementine::control
