#include "control/job_control.h"

#include "base/log.h"
#include "control/credential.h"
#include "control/endpoint.h"
#include "control/placement_report.h"

#include <boost/asio/post.hpp>
#include <boost/json/serialize.hpp>

#include <algorithm>
#include <chrono>
#include <set>
#include <utility>

namespace clementine::control {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using namespace clementine::workload;

namespace {

constexpr time_ms tick_interval{25};
constexpr time_ms load_log_interval{1'000};
// A round waits this long for further observations, so that one log entry holds several decisions.
// With many workers each round costs more, and a longer delay saves log entries and syncs.
constexpr time_ms round_delay{3};
constexpr time_ms round_delay_many_workers{15};
// A round follows the last one after a pause of this multiple of its duration, which leaves most of
// the time to the execution of decisions.
constexpr time_ms round_pause_factor = 3;
constexpr time_ms max_round_delay{60};
// Queued work is executed for this long before other events are handled.
constexpr time_ms work_slice{3};
// A submission that waited longer is refused, before its entry node counts it as overdue (450 ms).
constexpr time_ms max_submission_wait{300};
constexpr time_ms overload_retry_after{1'000};
// Operations wait this long to be batched into one log entry.
constexpr time_ms flush_delay{2};
constexpr time_ms flush_delay_many_workers{5};
constexpr time_ms flush_retry_delay{20};
constexpr time_ms directory_interval{150};
// With many entry nodes, whose links of 2 Mbit/s carry the announcements of all control nodes. A
// change is announced at once; an entry node takes the leader for lost after 1.5 s.
constexpr time_ms directory_interval_many_links{300};
constexpr std::size_t many_links = 60;
constexpr time_ms join_request_interval{200};
// The platform answers within a few ms; unanswered orders are sent again after this time.
constexpr time_ms order_timeout{400};
// An order for the leader is not sent any more if it waited here for this long.
constexpr time_ms max_relay_wait{1'000};
constexpr std::size_t max_batch_ages = 64;
// Below the 1,000 ms after which operators and workers try another node.
constexpr route_limits control_route_limits{.timeout = 900, .leader_wait = 700};
constexpr time_ms leadership_transfer_timeout{1'200};
constexpr time_ms transfer_check_interval{20};
// Parallel calls to the platform, so that an unanswered one does not block the others.
constexpr std::size_t max_platform_connections = 4;
// Of the connections that are not links: metrics readers.
constexpr std::size_t max_admin_connections = 16;
// Of the links: those that this node opens.
constexpr std::size_t max_outgoing_links = 32;

// Number of voters if there are enough nodes, so that overlapping losses are tolerated.
constexpr std::size_t preferred_voters = 5;

constexpr unsigned status_ok = 200;
constexpr unsigned status_bad_request = 400;
constexpr unsigned status_unauthorized = 401;
constexpr unsigned status_not_found = 404;
constexpr unsigned status_conflict = 409;
constexpr unsigned status_gone = 410;
constexpr unsigned status_payload_too_large = 413;
constexpr unsigned status_unavailable = 503;
constexpr unsigned status_gateway_timeout = 504;

wire::call_reply make_reply(std::uint64_t id, unsigned status, std::string body = {},
                            time_ms retry_after = 0) {
    wire::call_reply out;
    out.id = id;
    out.handled = true;
    out.status = status;
    out.retry_after = retry_after;
    out.body = std::move(body);
    return out;
}

std::string_view without_port(std::string_view host) {
    return host.substr(0, host.find(':'));
}

std::string_view without_query(std::string_view target) {
    return target.substr(0, target.find('?'));
}

} // namespace

job_control::job_control(asio::io_context& loop, job_control_settings settings,
                         const fleet_protocol& protocol, consensus::file_system& files,
                         const clock_source& clock, std::function<void(const std::string&)> failed)
    : loop_(loop), settings_(std::move(settings)), protocol_(protocol), clock_(clock),
      failed_(std::move(failed)), controller_(table_, settings_.decisions),
      descriptors_(plan_descriptors(settings_.max_open_files > 0 ? settings_.max_open_files
                                                                 : open_file_limit())),
      exchange_(loop, clock, protocol, settings_.node,
                descriptors_.workers - max_platform_connections - 1),
      relays_(
          {.send = [this](const std::string& node,
                          const wire::order_batch& batch) { return links_->send(node, batch); },
           .done =
               [this](const order& value, const order_result& result, time_ms sent_at,
                      time_ms received_at) { queue_result(value, result, sent_at, received_at); }}),
      reads_({.answer = [this](const wire::call& request,
                               const reply_handler& reply) { answer_query(request, reply); },
              .decline =
                  [](const wire::call& request, const reply_handler& reply) {
                      wire::call_reply declined;
                      declined.id = request.id;
                      reply(declined);
                  }}),
      flush_timer_(loop), tick_timer_(loop), round_timer_(loop) {
    create_links();
    log_node_settings log;
    log.node = settings_.link_address;
    log.cluster = "clementineroad";
    log.folder = settings_.data_folder;
    log.founders = settings_.seeds;
    log.first_start = settings_.first_start;
    log.seed = wire::new_boot_id();
    log.min_voters = 2 * settings_.tolerated_losses + 1;
    log.max_voters = std::max(preferred_voters, log.min_voters);
    log_node::callbacks callbacks;
    callbacks.send = [this](const std::string& node, const consensus::message& value) {
        links_->connect(node);
        links_->send(node, value);
    };
    callbacks.apply = [this](const consensus::entry& item) { apply(item); };
    callbacks.load_snapshot = [this](std::string_view bytes) { return table_.load(bytes); };
    callbacks.save_snapshot = [this] { return table_.save(); };
    callbacks.failed = failed_;
    callbacks.synced = [this](time_ms took) {
        metrics_.observe_ms("clementine_log_sync_ms", {}, static_cast<double>(took));
    };
    log_ = std::make_unique<log_node>(loop_, std::move(log), files, clock_, callbacks);
}

job_control::~job_control() = default;

void job_control::create_links() {
    wire::hello self;
    self.cluster = "clementineroad";
    self.node = settings_.link_address;
    self.role = wire::node_role::controld;
    self.availability_zone = settings_.availability_zone;
    self.boot_id = wire::new_boot_id();
    cluster_links::callbacks callbacks;
    callbacks.received_incoming = [this](const std::shared_ptr<wire::connection>& peer,
                                         wire::message&& value) {
        handle_incoming_link(peer, std::move(value));
    };
    callbacks.received_outgoing = [this](const std::string& node, wire::message&& value) {
        handle_outgoing_link(node, std::move(value));
    };
    callbacks.opened = [this](const std::string& node) { router_->observe_opened(node); };
    callbacks.closed = [this](const std::string& node) {
        router_->observe_closed(node);
        relays_.observe_closed(node, clock_.now());
    };
    links_ = std::make_unique<cluster_links>(loop_, std::move(self), std::move(callbacks),
                                             descriptors_.links - max_outgoing_links);
    router_ = std::make_unique<leader_router>(
        loop_, clock_, *links_, [this](const wire::call& request, const reply_handler& reply) {
            return handle_call(request, reply);
        });
}

std::string job_control::start() {
    auto problem = log_->start();
    if (problem.empty())
        problem = listen();
    if (!problem.empty())
        return problem;
    for (const auto& seed : settings_.seeds)
        links_->connect(seed);
    if (!settings_.vm_api_address.empty())
        vm_api_ = std::make_shared<http_pool>(loop_, clock_,
                                              checked_tcp_endpoint(settings_.vm_api_address),
                                              max_platform_connections);
    // The advice service accepts one request per node at a time.
    if (!settings_.advice_address.empty())
        advice_api_ = std::make_shared<http_pool>(
            loop_, clock_, checked_tcp_endpoint(settings_.advice_address), 1);
    schedule_tick();
    return {};
}

std::string job_control::listen() {
    auto problem = links_->listen(settings_.link_address);
    if (!problem.empty())
        return "cannot listen on " + settings_.link_address + ": " + problem;
    http_limits limits;
    limits.max_body_bytes = max_request_body_bytes;
    limits.max_connections = descriptors_.requests - max_admin_connections;
    http_server_ = std::make_shared<http_server>(
        loop_, limits, [this](const http_request& request, const http_respond& respond) {
            handle_http(request, respond);
        });
    problem = http_server_->listen(checked_tcp_endpoint(settings_.http_address));
    if (!problem.empty())
        return "cannot listen on " + settings_.http_address + ": " + problem;
    http_limits admin_limits;
    admin_limits.max_connections = max_admin_connections;
    admin_limits.max_body_bytes = max_request_body_bytes;
    admin_server_ = std::make_shared<http_server>(
        loop_, admin_limits, [this](const http_request& request, const http_respond& respond) {
            handle_admin(request, respond);
        });
    problem = admin_server_->listen(checked_tcp_endpoint(settings_.admin_address));
    return problem.empty() ? problem
                           : "cannot listen on " + settings_.admin_address + ": " + problem;
}

void job_control::set_seeds(const std::vector<std::string>& seeds) {
    settings_.seeds = seeds;
    for (const auto& seed : seeds)
        links_->connect(seed);
}

void job_control::stop_gracefully(std::function<void()> stopped) {
    stopping_ = true;
    publish_directory(); // no longer a relay
    log_->transfer_leadership();
    const auto deadline = clock_.now() + leadership_transfer_timeout;
    auto timer = std::make_shared<asio::steady_timer>(loop_);
    // Sends the replies to pending commands while leadership is transferred.
    // Owned by the handler that waits for the timer.
    auto check = std::make_shared<std::function<void()>>();
    *check = [this, timer, weak_check = std::weak_ptr(check), deadline,
              stopped = std::move(stopped)] {
        const bool leads = log_->role() == consensus::replica_role::leader;
        if ((!leads && pending_commands_.empty()) || clock_.now() >= deadline) {
            stop();
            return stopped();
        }
        timer->expires_after(std::chrono::milliseconds(transfer_check_interval));
        timer->async_wait([check = weak_check.lock()](boost::system::error_code) { (*check)(); });
    };
    timer->expires_after(std::chrono::milliseconds(transfer_check_interval * 10));
    timer->async_wait([check](boost::system::error_code) { (*check)(); });
}

void job_control::stop() {
    if (std::exchange(stopped_, true))
        return;
    stopping_ = true;
    tick_timer_.cancel();
    round_timer_.cancel();
    flush_timer_.cancel();
    router_->stop();
    links_->stop();
    for (const auto& server : {http_server_, admin_server_}) {
        if (server) // not if the start failed before
            server->stop();
    }
    exchange_.stop();
    if (vm_api_)
        vm_api_->stop();
    if (advice_api_)
        advice_api_->stop();
    log_->stop();
}

// Handles a message on an incoming link.
void job_control::handle_incoming_link(const std::shared_ptr<wire::connection>& peer,
                                       wire::message&& value) {
    if (const auto* request = std::get_if<wire::call>(&value)) {
        // The peer waits for an answer as long as the link is there.
        const auto answer = [peer](const wire::call_reply& reply) {
            if (!peer->send(reply))
                peer->stop();
        };
        if (!handle_call(*request, answer)) {
            wire::call_reply declined;
            declined.id = request->id;
            answer(declined);
        }
        return;
    }
    if (peer->peer().role != wire::node_role::controld)
        return;
    const auto& node = peer->peer().node;
    if (const auto* inner = std::get_if<consensus::message>(&value)) {
        log_->receive(node, *inner);
        check_leadership();
    } else if (const auto* join = std::get_if<wire::join_request>(&value)) {
        links_->connect(node);
        log_->request_join(node, join->replica_id);
    } else if (const auto* batch = std::get_if<wire::order_batch>(&value)) {
        carry_out(peer, *batch);
    } else if (const auto* read = std::get_if<wire::read_request>(&value)) {
        // What this node acknowledges is committed and applied here before.
        const bool serving = !stopping_ && log_->serving();
        peer->send(wire::read_index{read->sequence, serving ? log_->applied_index() : 0});
    }
}

// Handles a message on an outgoing link.
void job_control::handle_outgoing_link(const std::string& node, wire::message&& value) {
    if (const auto* reply = std::get_if<wire::call_reply>(&value))
        return router_->observe(node, *reply);
    if (const auto* results = std::get_if<wire::result_batch>(&value))
        return relays_.observe(node, *results, clock_.now());
    if (const auto* index = std::get_if<wire::read_index>(&value)) {
        reads_.observe(*index);
        reads_.answer(log_->applied_index());
        return ask_read_index();
    }
    const auto* directory = std::get_if<wire::directory>(&value);
    if (!directory)
        return;
    relays_.observe_offer(node, directory->relays);
    router_->observe(node, *directory);
    if (directory->leader != node)
        return;
    for (const auto& member : directory->members)
        links_->connect(member.node);
    log_->observe_members(directory->term, directory->commit_index, directory->members);
}

void job_control::apply(const consensus::entry& entry) {
    const load_monitor::timer timer(load_, activity::apply);
    const auto value = table_.read_entry(entry.data, entry.term);
    command_outcome result;
    if (value) {
        result = table_.apply(*value, entry.term);
        controller_.applied(*value, clock_.now(), wall_clock_ms());
        record_progress(*value, *result);
    } else
        log_event(log_level::error, "command_unreadable")
            .field("index", std::uint64_t{entry.index});
    const auto range = pending_commands_.equal_range(entry.index);
    std::vector<pending_command> done;
    for (auto it = range.first; it != range.second; ++it)
        done.push_back(std::move(it->second));
    pending_commands_.erase(range.first, range.second);
    for (const auto& pending : done) {
        load_.observe_commit(pending.proposed_at, clock_.now());
        pending.done(pending.term == entry.term ? result : std::nullopt);
    }
    reads_.answer(entry.index);
}

// Logs and counts the job changes of a committed command. Only the leader does this.
void job_control::record_progress(const command& value, const std::vector<bool>& accepted) {
    if (!controller_.leading())
        return;
    std::set<std::string> begun;
    for (std::size_t i = 0; i < value.operations.size(); ++i) {
        if (!accepted[i])
            continue;
        if (const auto* start = std::get_if<start_run>(&value.operations[i])) {
            log_event(log_level::info, "run_started")
                .field("job", start->task.job)
                .field("step", start->task.step)
                .field("index", start->task.index)
                .field("run", start->run)
                .field("worker", start->worker.id);
            const auto* owner = table_.find_job(start->task.job);
            if (owner && owner->started_at == value.proposed_at && begun.insert(owner->id).second)
                metrics_.observe_ms("clementine_first_start_ms", {{"queue", owner->queue}},
                                    static_cast<double>(owner->started_at - owner->accepted_at));
        } else if (const auto* end = std::get_if<end_run>(&value.operations[i])) {
            record_job_end(end->task.job, value.proposed_at);
        } else if (const auto* cancel = std::get_if<cancel_job>(&value.operations[i])) {
            record_job_end(cancel->id, value.proposed_at);
        }
    }
}

void job_control::record_job_end(const std::string& id, time_ms at) {
    const auto* job = table_.find_job(id);
    if (!job || job->ended_at != at || !job->ended())
        return;
    log_event(log_level::info, "job_ended")
        .field("job", id)
        .field("queue", job->queue)
        .field("state", to_name(job->state))
        .field("waited_ms",
               job->started_at == 0 ? at - job->accepted_at : job->started_at - job->accepted_at)
        .field("took_ms", at - job->accepted_at);
    metrics_.add("clementine_jobs_ended",
                 {{"queue", job->queue}, {"state", std::string(to_name(job->state))}});
    metrics_.observe_ms("clementine_job_ms", {{"queue", job->queue}},
                        static_cast<double>(at - job->accepted_at));
}

bool job_control::propose(const std::vector<operation>& operations,
                          proposal_queue::done_handler done) {
    if (!proposals_.push(operations, std::move(done))) {
        log_event(log_level::error, "operation_too_large")
            .field("limit", std::uint64_t{max_operation_bytes});
        return false;
    }
    schedule_flush(controller_.workers().size() < large_fleet_workers ? flush_delay
                                                                      : flush_delay_many_workers);
    return true;
}

void job_control::schedule_flush(time_ms delay) {
    if (std::exchange(flush_due_, true))
        return;
    flush_timer_.expires_after(std::chrono::milliseconds(delay));
    flush_timer_.async_wait([this](boost::system::error_code error) {
        flush_due_ = false;
        if (!error && !stopped_)
            flush_operations();
    });
}

void job_control::flush_operations() {
    while (!proposals_.empty()) {
        const auto result = log_->propose(proposals_.next_entry(wall_clock_ms()));
        const auto* position = std::get_if<consensus::log_position>(&result);
        if (!position) {
            const auto reason = std::get<consensus::refusal>(result);
            log_event(log_level::warning, "proposal_refused").field("reason", to_name(reason));
            // Otherwise this node no longer leads; check_leadership drops the operations.
            if (reason == consensus::refusal::overloaded)
                schedule_flush(flush_retry_delay);
            return;
        }
        pending_commands_.emplace(position->index,
                                  pending_command{position->term, clock_.now(), proposals_.pop()});
    }
}

void job_control::check_leadership() {
    const bool serving = !stopping_ && log_->serving();
    const bool leads = log_->role() == consensus::replica_role::leader;
    if (controller_.leading() && (!leads || controller_.fence() != log_->term())) {
        log_event(log_level::warning, "leadership_lost").field("term", log_->term());
        controller_.stop_leading();
        // The next leader decides about them; waiting clients retry there.
        pending_commands_.clear();
        proposals_.clear();
        submissions_.clear();
        work_.clear();
        relays_.clear();
        proposed_configurations_.clear();
    }
    if (serving && !controller_.leading()) {
        metrics_.add("clementine_leaderships", {});
        log_event(log_level::info, "leadership_taken")
            .field("term", log_->term())
            .field("commit", std::uint64_t{log_->commit_index()})
            .field("version", table_.config().version)
            .field("open_jobs", std::uint64_t{table_.open_jobs().size()});
        controller_.start_leading(log_->term(), clock_.now(), wall_clock_ms());
        publish_directory();
        router_->retry_unsent();
        request_round();
    }
    was_serving_ = serving;
}

void job_control::publish_directory() {
    wire::directory directory;
    const bool serving = log_->serving();
    directory.leader = serving ? settings_.link_address : log_->leader();
    if (log_->role() == consensus::replica_role::leader && !serving)
        directory.leader.clear();
    directory.term = log_->term();
    if (directory.leader.empty() && !router_->confirmed_leader().empty()) {
        directory.leader = router_->confirmed_leader();
        directory.term = router_->leader_term();
    }
    if (serving) {
        directory.members = log_->committed_members().members;
        directory.commit_index = log_->commit_index();
    }
    directory.relays = !stopping_;
    directory_published_at_ = clock_.now();
    router_->observe(settings_.link_address, directory);
    links_->broadcast(directory);
}

void job_control::connect_members() {
    std::set<std::string> wanted(settings_.seeds.begin(), settings_.seeds.end());
    for (const auto& member : log_->committed_members().members)
        wanted.insert(member.node);
    for (const auto& node : wanted)
        links_->connect(node);
}

void job_control::schedule_tick() {
    tick_timer_.expires_after(std::chrono::milliseconds(tick_interval));
    tick_timer_.async_wait(
        [this, due = clock_.now() + tick_interval](boost::system::error_code error) {
            if (error || stopped_)
                return;
            const auto now = clock_.now();
            load_.observe_timer(due, now);
            check_leadership();
            log_load(now);
            const auto interval = links_->incoming() < many_links ? directory_interval
                                                                  : directory_interval_many_links;
            if (now - directory_published_at_ >= interval) {
                publish_directory();
                connect_members();
                exchange_.close_unused();
                announcements_.drop_expired(now);
                relays_.check_deadlines(now);
            }
            if (!log_->is_voter() && now - join_requested_at_ >= join_request_interval &&
                !router_->leader().empty()) {
                join_requested_at_ = now;
                links_->send(router_->leader(), wire::join_request{log_->id()});
            }
            if (was_serving_)
                request_round();
            if (!work_.empty())
                schedule_work();
            if (relays_.has_unsent())
                flush_relayed_orders();
            reads_.check_deadline(now);
            ask_read_index();
            schedule_tick();
        });
}

// One line per second with what the leader's time went to.
void job_control::log_load(time_ms now) {
    if (now - load_logged_at_ < load_log_interval)
        return;
    load_logged_at_ = now;
    const auto load = load_.take();
    metrics_.observe_ms("clementine_loop_delay_ms", {}, static_cast<double>(load.max_loop_delay));
    if (!controller_.leading())
        return;
    metrics_.observe_ms("clementine_commit_ms", {}, static_cast<double>(load.max_commit_delay));
    log_event line(log_level::info, "leader_load");
    line.field("loop_delay_ms", load.max_loop_delay)
        .field("commit_ms", load.max_commit_delay)
        .field("lease", log_->holds_lease())
        .field("declined_calls", load.declined_calls)
        .field("uncommitted", std::uint64_t{pending_commands_.size()})
        .field("queued_work", std::uint64_t{work_.size()})
        .field("order_age_ms", work_.oldest_age(work_class::worker_traffic, now))
        .field("request_age_ms", work_.oldest_age(work_class::caller_request, now));
    for (std::size_t i = 0; i < load.work_done.size(); ++i) {
        const auto& item = load.work_done[i];
        const std::string name(activity_names[i]);
        line.field(name + "_count", item.count)
            .field(name + "_ms", static_cast<double>(item.total.count()) / 1'000)
            .field(name + "_longest_ms", static_cast<double>(item.longest.count()) / 1'000);
    }
}

// The use of what may run short. The peak is the one since the metrics were read last.
void job_control::record_resources() {
    const auto open_files = count_open_files();
    metrics_.set("clementine_open_files", {}, static_cast<double>(open_files));
    metrics_.set("clementine_open_files_planned", {}, static_cast<double>(descriptors_.total()));
    const auto& connections = exchange_.connections();
    metrics_.set("clementine_worker_connections", {}, static_cast<double>(connections.open()));
    metrics_.set("clementine_worker_connections_limit", {}, static_cast<double>(connections.max()));
    metrics_.set("clementine_worker_connections_waiting", {},
                 static_cast<double>(connections.waiting()));
    metrics_.set("clementine_worker_connections_peak", {},
                 static_cast<double>(exchange_.take_connection_peak()));
    metrics_.set("clementine_relays", {}, static_cast<double>(relays_.relays()));
    metrics_.set("clementine_relayed_orders_outstanding", {},
                 static_cast<double>(relays_.outstanding()));
}

// Request handlers.

bool job_control::handle_call(const wire::call& request, const reply_handler& reply) {
    check_leadership();
    const bool query = request.origin == wire::call_origin::caller && request.method == "GET";
    // Its sender may have told the client meanwhile that the request was not executed.
    if (was_serving_ && request.term != 0 && request.term != log_->term()) {
        load_.observe_declined_call();
        return false;
    }
    if (!was_serving_ && query && !stopping_ && !router_->confirmed_leader().empty()) {
        reads_.add({request, reply});
        ask_read_index();
        return true;
    }
    if (!was_serving_) {
        load_.observe_declined_call();
        return false;
    }
    if (request.origin == wire::call_origin::caller) {
        queue_work(work_class::caller_request, [this, request, reply](time_ms waited) {
            const load_monitor::timer timer(load_, activity::caller_request);
            handle_caller(request, reply, waited);
        });
        return true;
    }
    const load_monitor::timer timer(load_, activity::fleet_request);
    handle_fleet(request, reply);
    return true;
}

// A query of an unknown path goes to the leader like any other request that changes nothing here.
void job_control::answer_query(const wire::call& request, const reply_handler& reply) {
    if (stopping_ || table_.config().version == 0) {
        wire::call_reply declined;
        declined.id = request.id;
        return reply(declined);
    }
    metrics_.add("clementine_queries_answered", {});
    const auto access = access_of(request);
    if (access.result != access_result::granted)
        return refuse_caller(access, request, reply);
    const auto path = without_query(request.target);
    const std::string id(path.substr(access.queue->prefix.size()));
    if (id.empty())
        return reply(
            make_reply(request.id, status_ok,
                       protocol_.encode_pending(controller_.pending_jobs(access.queue->name))));
    if (!protocol_.is_job_id(id))
        return reply(make_reply(request.id, status_bad_request));
    const auto* job = table_.find_job(id);
    if (!job || !is_owner(access, job->workspace))
        return reply(make_reply(request.id, status_gone));
    reply(make_reply(request.id, status_ok, protocol_.encode_job_state(job->state)));
}

caller_access job_control::access_of(const wire::call& request) const {
    return check_access(table_.config(), without_port(request.host), without_query(request.target),
                        digest_in(request.credential));
}

// A refusal says that the job never runs. A submission may be accepted and its answer lost before
// its queue is removed or its key withdrawn, so that its repetition gets no clear answer.
void job_control::refuse_caller(const caller_access& access, const wire::call& request,
                                const reply_handler& reply) {
    if (request.method == "POST") {
        const auto accepted = origin_of(job_id_in(without_query(request.target)));
        if (accepted && may_repeat(access, digest_in(request.credential), *accepted))
            return reply(make_reply(request.id, status_gateway_timeout));
    }
    if (access.result != access_result::unauthorized)
        return reply(make_reply(request.id, status_not_found));
    metrics_.add("clementine_calls_unauthorized", {});
    reply(make_reply(request.id, status_unauthorized));
}

std::optional<job_origin> job_control::origin_of(const std::string& id) const {
    if (const auto* job = table_.find_job(id))
        return job_origin{job->queue, job->workspace, job->key_tag};
    if (const auto at = submissions_.find(id); at != submissions_.end())
        return job_origin{at->second.queue, at->second.workspace, at->second.key_tag};
    return std::nullopt;
}

// The queue of the path may be removed, so that the length of its prefix is not known.
std::string job_control::job_id_in(std::string_view path) const {
    for (std::size_t at = 0; at < path.size(); ++at) {
        if (protocol_.is_job_id(path.substr(at)))
            return std::string(path.substr(at));
    }
    return {};
}

unsigned job_control::refused_submission_status(const std::string& id,
                                                const std::string& workspace) const {
    if (table_.find_job(id))
        return status_conflict;
    if (!workspace.empty() && !table_.config().find_workspace(workspace))
        return status_unauthorized;
    return status_bad_request;
}

void job_control::ask_read_index() {
    if (const auto sequence = reads_.next_request(clock_.now()))
        if (!links_->send(router_->leader(), wire::read_request{*sequence}))
            reads_.observe({*sequence, 0});
}

void job_control::handle_caller(const wire::call& request, const reply_handler& reply,
                                time_ms waited) {
    if (stopping_ || !log_->serving()) {
        load_.observe_declined_call();
        wire::call_reply declined;
        declined.id = request.id;
        return reply(declined);
    }
    if (table_.config().version == 0)
        return reply(make_reply(request.id, status_unavailable));
    if (request.method == "GET")
        return answer_query(request, reply);
    const auto access = access_of(request);
    if (access.result != access_result::granted)
        return refuse_caller(access, request, reply);
    const auto path = without_query(request.target);
    const std::string id(path.substr(access.queue->prefix.size()));
    if (!protocol_.is_job_id(id))
        return reply(make_reply(request.id, status_bad_request));
    if (request.method == "POST")
        return submit(access, id, request, reply, waited);
    if (request.method == "DELETE")
        return cancel(access, id, request, reply);
    answer_query(request, reply);
}

void job_control::submit(const caller_access& access, const std::string& id,
                         const wire::call& request, const reply_handler& reply, time_ms waited) {
    const auto& queue = *access.queue;
    const auto workspace = access.workspace ? access.workspace->name : std::string();
    // The names of tasks contain the id, so two workspaces cannot use the same one.
    const auto accepted = origin_of(id);
    if (accepted && !is_owner(access, accepted->workspace)) {
        const bool unclear = may_repeat(access, digest_in(request.credential), *accepted);
        return reply(make_reply(request.id, unclear ? status_gateway_timeout : status_conflict));
    }
    if (table_.find_job(id))
        return reply(make_reply(request.id, status_ok));
    // A resent submission shares the result of the first: refusing it would be wrong if the first
    // is committed.
    if (const auto first = submissions_.find(id); first != submissions_.end()) {
        first->second.callers.push_back({request.id, reply});
        return;
    }
    if (waited > max_submission_wait) {
        log_event(log_level::info, "job_refused")
            .field("job", id)
            .field("queue", queue.name)
            .field("waited_ms", waited)
            .field("retry_after_ms", overload_retry_after);
        metrics_.add("clementine_jobs", {{"queue", queue.name}, {"outcome", "refused"}});
        return reply(make_reply(request.id, status_unavailable, {}, overload_retry_after));
    }
    std::string reason;
    auto spec = protocol_.decode_job(request.body, reason);
    if (!spec) {
        log_event(log_level::info, "job_invalid").field("job", id).field("reason", reason);
        return reply(make_reply(request.id, status_bad_request));
    }
    controller_.record_offered_job(queue, access.workspace, id, *spec, clock_.now());
    // Before this job, which may lead to another measurement.
    const auto& load = controller_.load_of(queue.pool, clock_.now());
    const auto waiting_work = load.waiting_work;
    const auto capacity = load.capacity;
    const auto arriving = load.arriving_cpu;
    const auto delay = order_delay();
    const auto decision =
        controller_.check_admission(queue, access.workspace, id, *spec, delay, clock_.now());
    log_event(log_level::info, decision.accepted ? "job_accepted" : "job_refused")
        .field("job", id)
        .field("queue", queue.name)
        .field("workspace", workspace)
        .field("reason", to_name(decision.accepted ? refusal::none : decision.reason))
        .field("version", table_.config().version)
        .field("waiting_work", waiting_work)
        .field("late", decision.late)
        .field("expected_wait_ms", decision.expected_wait)
        .field("capacity", capacity)
        .field("arriving", arriving)
        .field("order_delay_ms", delay)
        .field("retry_after_ms", decision.retry_after);
    metrics_.add("clementine_jobs",
                 {{"queue", queue.name}, {"outcome", decision.accepted ? "accepted" : "refused"}});
    if (!decision.accepted && access.workspace)
        metrics_.add("clementine_workspace_jobs_refused",
                     {{"workspace", workspace}, {"reason", std::string(to_name(decision.reason))}});
    if (!decision.accepted && decision.reason == refusal::over_cap)
        return reply(make_reply(request.id, status_bad_request));
    if (!decision.accepted)
        return reply(make_reply(request.id, status_unavailable, {}, decision.retry_after));
    controller_.record_accepted_job(id, queue.pool, decision.expected_wait, clock_.now());
    submit_job op{id, queue.name, queue.pool, queue.attempts, std::move(*spec)};
    if (access.workspace) {
        op.workspace = access.workspace->name;
        op.key_tag = key_tag_of(*digest_in(request.credential));
    }
    submissions_[id] = {op.queue, op.workspace, op.key_tag, {{request.id, reply}}};
    const bool proposed = propose({std::move(op)}, [this, id](const command_outcome& result) {
        const auto callers = submissions_.extract(id);
        if (!result || callers.empty())
            return; // sent again to the next leader
        const auto status =
            result->front() ? status_ok : refused_submission_status(id, callers.mapped().workspace);
        for (const auto& caller : callers.mapped().callers)
            caller.reply(make_reply(caller.request_id, status));
        request_round();
    });
    if (!proposed) {
        submissions_.erase(id);
        reply(make_reply(request.id, status_payload_too_large));
    }
}

void job_control::cancel(const caller_access& access, const std::string& id,
                         const wire::call& request, const reply_handler& reply) {
    if (const auto known = origin_of(id); known && !is_owner(access, known->workspace))
        return reply(make_reply(request.id, status_gone));
    const auto* job = table_.find_job(id);
    const auto workspace = access.workspace ? access.workspace->name : std::string();
    if (job && job->ended())
        return reply(make_reply(request.id, status_ok));
    if (table_.is_cancelled_early(id, workspace))
        return reply(make_reply(request.id, status_gone));
    // An unknown job may still arrive: a node that is frozen holds submissions of its callers.
    const auto status = job || submissions_.contains(id) ? status_ok : status_gone;
    log_event(log_level::info, "job_cancelled").field("job", id).field("committed", !!job);
    propose({cancel_job{id, workspace}}, [this, reply, status,
                                          request_id = request.id](const command_outcome& result) {
        if (!result)
            return;
        if (!result->front())
            return reply(make_reply(request_id, status_unavailable, {}, overload_retry_after));
        reply(make_reply(request_id, status));
        request_round();
    });
}

void job_control::handle_fleet(const wire::call& call, const reply_handler& reply) {
    const auto decoded = protocol_.decode_control(
        {call.method, call.host, std::string(without_query(call.target)), call.body});
    std::visit([&](const auto& request) { handle(request, call.id, reply); }, decoded);
}

void job_control::handle(const announce_worker& request, std::uint64_t id,
                         const reply_handler& reply) {
    controller_.observe(request.report, clock_.now());
    request_round();
    reply(make_reply(id, status_ok, "{}"));
}

void job_control::handle(const worker_leaves& request, std::uint64_t id,
                         const reply_handler& reply) {
    controller_.observe_leaving(request.id, clock_.now());
    request_round();
    reply(make_reply(id, status_ok));
}

void job_control::handle(const apply_configuration& request, std::uint64_t id,
                         const reply_handler& reply) {
    const auto version = request.value.version;
    if (version <= table_.config().version) {
        log_event(log_level::info, "configuration_kept")
            .field("offered", version)
            .field("version", table_.config().version);
        return reply(make_reply(id, status_ok));
    }
    // A request that is sent again while the first is being committed would take the log a second
    // time.
    auto& waiting = proposed_configurations_[version];
    waiting.push_back({id, reply});
    if (waiting.size() > 1)
        return;
    const bool proposed =
        propose({put_configuration{request.value}}, [this, version](const command_outcome& result) {
            const auto callers = proposed_configurations_.extract(version);
            if (!result || callers.empty())
                return; // sent again to the next leader
            if (table_.config().version < version) {
                for (const auto& caller : callers.mapped())
                    caller.reply(make_reply(caller.request_id, status_gateway_timeout));
                return;
            }
            log_event(log_level::info, "configuration_in_force").field("version", version);
            for (const auto& caller : callers.mapped())
                caller.reply(make_reply(caller.request_id, status_ok));
            request_round();
        });
    if (!proposed) {
        proposed_configurations_.erase(version);
        reply(make_reply(id, status_payload_too_large));
    }
}

void job_control::handle(const read_configuration&, std::uint64_t id, const reply_handler& reply) {
    if (table_.config().version == 0)
        return reply(make_reply(id, status_unavailable));
    reply(make_reply(id, status_ok, table_.config().document));
}

void job_control::handle(const start_wave& request, std::uint64_t id, const reply_handler& reply) {
    log_event(log_level::info, "wave_ordered")
        .field("wave", request.order.number)
        .field("vms", std::uint64_t{request.order.vms.size()})
        .field("cap", request.order.max_down);
    const bool proposed =
        propose({put_wave{request.order}}, [this, reply, id](const command_outcome& result) {
            if (!result)
                return;
            reply(make_reply(id, status_ok));
            request_round();
        });
    if (!proposed)
        reply(make_reply(id, status_payload_too_large));
}

void job_control::handle(const read_wave& request, std::uint64_t id, const reply_handler& reply) {
    const auto at = table_.waves().find(request.number);
    if (at == table_.waves().end())
        return reply(make_reply(id, status_not_found));
    reply(make_reply(id, status_ok, protocol_.encode_wave_state(at->second.completed())));
}

void job_control::handle(const malformed_request& request, std::uint64_t id,
                         const reply_handler& reply) {
    log_event(log_level::warning, "request_malformed").field("reason", request.reason);
    reply(make_reply(id, status_bad_request, protocol_.encode_error(request.reason)));
}

void job_control::handle(const unknown_request&, std::uint64_t id, const reply_handler& reply) {
    reply(make_reply(id, status_not_found));
}

void job_control::handle_http(const http_request& request, const http_respond& respond) {
    wire::call call;
    call.origin = wire::call_origin::fleet;
    call.method = std::string(request.method_string());
    call.host = std::string(request[http::field::host]);
    call.target = std::string(request.target());
    call.body = request.body();
    std::optional<worker_report> report;
    if (acknowledge_repeated(request, respond, report))
        return;
    const auto term = router_->leader_term();
    router_->route(std::move(call), control_route_limits,
                   [this, respond, report, term](const routed_reply& result) {
                       auto status = result.reply.status;
                       if (report && result.outcome == route_outcome::answered &&
                           status == status_ok)
                           announcements_.acknowledged(*report, term, clock_.now());
                       if (result.outcome == route_outcome::not_run)
                           status = status_unavailable;
                       else if (result.outcome == route_outcome::unknown)
                           status = status_gateway_timeout;
                       respond(make_response(static_cast<http::status>(status), result.reply.body,
                                             "application/json"));
                   });
}

// Acknowledges an announcement that the leader knows already, without passing it on. Otherwise sets
// `report` if the request is an announcement that may be repeated.
bool job_control::acknowledge_repeated(const http_request& request, const http_respond& respond,
                                       std::optional<worker_report>& report) {
    if (request.method() != http::verb::put || was_serving_ || router_->confirmed_leader().empty())
        return false;
    const auto decoded = protocol_.decode_control(
        {std::string(request.method_string()), std::string(request[http::field::host]),
         std::string(without_query({request.target().data(), request.target().size()})),
         request.body()});
    const auto* announced = std::get_if<announce_worker>(&decoded);
    if (!announced)
        return false;
    if (announcements_.covers(announced->report, router_->leader_term(), clock_.now())) {
        respond(make_response(http::status::ok, "{}", "application/json"));
        return true;
    }
    if (!announced->report.draining)
        report = announced->report;
    return false;
}

// At the leader only, because the others do not know what runs.
void job_control::record_workspaces() {
    if (!controller_.leading())
        return;
    const auto account = controller_.count_use(clock_.now());
    for (const auto& item : table_.config().workspaces) {
        const auto set = [&](const char* name, const char* resource, std::int64_t value) {
            metrics_.set(name, {{"workspace", item.name}, {"resource", resource}},
                         static_cast<double>(value));
        };
        const auto use = account.use_of(item.name);
        set("clementine_workspace_use", "cpu", use.cpu);
        set("clementine_workspace_use", "memory", use.memory);
        set("clementine_workspace_use", "accelerators", use.accelerators);
        set("clementine_workspace_cap", "cpu", item.cap.cpu);
        set("clementine_workspace_cap", "memory", item.cap.memory);
        set("clementine_workspace_cap", "accelerators", item.cap.accelerators);
        metrics_.set("clementine_workspace_share_ratio", {{"workspace", item.name}},
                     account.share_ratio(item.name));
    }
}

// Answers from the present state of the leader; the call changes nothing and is not logged.
http_response job_control::explain_placement(const http_request& request) const {
    constexpr const char* content_type = "application/json";
    const auto refuse = [&](http::status status, boost::json::object body) {
        return make_response(status, boost::json::serialize(body), content_type);
    };
    const auto refuse_input = [&](const std::string& problem) {
        return refuse(http::status::bad_request, {{"error", problem}});
    };
    if (request.method() != http::verb::post)
        return refuse(http::status::method_not_allowed, {{"error", "expected POST"}});
    std::string problem;
    const auto query =
        parse_placement_query({request.target().data(), request.target().size()}, problem);
    if (!query)
        return refuse_input(problem);
    // Only the leader knows the workers and the load.
    if (!controller_.leading() || !log_->serving())
        return refuse(http::status::service_unavailable,
                      {{"error", "not the leader"}, {"leader", log_->leader()}});
    const auto& config = table_.config();
    const auto* queue = config.find_queue(query->queue);
    if (!queue)
        return refuse_input("unknown queue: " + query->queue);
    const auto* workspace =
        query->workspace.empty() ? nullptr : config.find_workspace(query->workspace);
    if (!query->workspace.empty() && !workspace)
        return refuse_input("unknown workspace: " + query->workspace);
    if (workspace && queue->is_public)
        return refuse_input("jobs of a public queue belong to no workspace");
    if (!workspace && config.requires_keys && !queue->is_public)
        return refuse_input("a job of this queue needs a workspace");
    const auto spec = protocol_.decode_job(request.body(), problem);
    if (!spec)
        return refuse_input("job: " + problem);
    const auto explanation =
        controller_.explain(*queue, workspace, *spec, order_delay(), clock_.now());
    return make_response(http::status::ok, render_placement(*query, explanation), content_type);
}

void job_control::handle_admin(const http_request& request, const http_respond& respond) {
    if (without_query({request.target().data(), request.target().size()}) == placement_path)
        return respond(explain_placement(request));
    if (request.target() != "/metrics")
        return respond(make_response(http::status::not_found, "", "text/plain"));
    record_resources();
    metrics_.set("clementine_replica_leader", {}, was_serving_ ? 1 : 0);
    metrics_.set("clementine_replica_term", {}, static_cast<double>(log_->term()));
    metrics_.set("clementine_replica_commit_index", {}, static_cast<double>(log_->commit_index()));
    metrics_.set("clementine_configuration_version", {},
                 static_cast<double>(table_.config().version));
    const auto& counts = controller_.counters();
    metrics_.set("clementine_run_starts", {}, static_cast<double>(counts.starts));
    metrics_.set("clementine_run_starts_unconfirmed", {},
                 static_cast<double>(counts.unconfirmed_starts));
    for (std::size_t i = 0; i < counts.ends.size(); ++i)
        metrics_.set("clementine_run_ends", {{"how", std::string(run_end_names[i])}},
                     static_cast<double>(counts.ends[i]));
    metrics_.set("clementine_runs_lost", {}, static_cast<double>(counts.lost_runs));
    metrics_.set("clementine_runs_stalled", {}, static_cast<double>(counts.stalled_runs));
    metrics_.set("clementine_workers_shunned", {}, static_cast<double>(counts.quarantined_workers));
    metrics_.set("clementine_workers_silent", {}, static_cast<double>(counts.silent_workers));
    metrics_.set("clementine_log_lines_dropped", {}, static_cast<double>(dropped_log_lines()));
    record_workspaces();
    metrics_.set("clementine_open_jobs", {}, static_cast<double>(table_.open_jobs().size()));
    metrics_.set("clementine_workers", {}, static_cast<double>(controller_.workers().size()));
    respond(make_response(http::status::ok, metrics_.render(), "text/plain; version=0.0.4"));
}

// Decisions and orders.

void job_control::request_round() {
    if (std::exchange(round_due_, true))
        return;
    const auto batching =
        controller_.workers().size() < large_fleet_workers ? round_delay : round_delay_many_workers;
    const auto delay =
        std::max(batching, std::min(round_pause_factor * last_round_time_, max_round_delay));
    round_timer_.expires_after(std::chrono::milliseconds(delay));
    round_timer_.async_wait([this](boost::system::error_code error) {
        round_due_ = false;
        if (!error && !stopped_)
            run_round();
    });
}

void job_control::run_round() {
    check_leadership();
    if (!was_serving_)
        return;
    const load_monitor::timer timer(load_, activity::round);
    const auto started = clock_.now();
    auto planned = controller_.decide(started, wall_clock_ms());
    last_round_time_ = clock_.now() - started;
    auto orders = std::move(planned.orders);
    planned.orders.clear();
    if (!planned.log.empty() || !planned.ends.empty()) {
        propose(planned.log, [this, planned](const command_outcome& result) {
            if (!result)
                return;
            for (auto& item : controller_.committed(planned, *result, clock_.now()))
                send(std::move(item));
            request_round();
        });
    }
    for (auto& item : orders)
        send(std::move(item));
}

void job_control::queue_work(work_class kind, work_queue::work item) {
    work_.push(kind, clock_.now(), std::move(item));
    schedule_work();
}

void job_control::schedule_work() {
    if (std::exchange(work_due_, true))
        return;
    asio::post(loop_, [this] {
        work_due_ = false;
        // Without the lease another node may lead already, and a worker that it has not reached yet
        // would obey. The tick continues when the lease is back.
        if (stopped_ || !log_->serving())
            return;
        const auto end = clock_.now() + work_slice;
        while (work_.run_one(clock_.now()) && clock_.now() < end) {
        }
        if (!work_.empty())
            schedule_work();
    });
}

time_ms job_control::order_delay() const {
    const auto now = clock_.now();
    const auto uncommitted =
        pending_commands_.empty() ? 0 : now - pending_commands_.begin()->second.proposed_at;
    return uncommitted + work_.oldest_age(work_class::worker_traffic, now);
}

void job_control::send(order value) {
    if (std::holds_alternative<list_vms_order>(value) ||
        std::holds_alternative<move_order>(value) || std::holds_alternative<upkeep_order>(value))
        return send_vm_order(std::move(value), {}, {});
    if (std::holds_alternative<advise_order>(value))
        return send_advise_order(std::move(value));
    send_worker_order(value);
}

void job_control::send_worker_order(const order& value) {
    const auto& worker = std::visit(
        [](const auto& item) -> const std::string& {
            static const std::string none;
            if constexpr (requires { item.worker.id; })
                return item.worker.id;
            else
                return none;
        },
        value);
    if (controller_.workers().size() >= settings_.relay_min_workers &&
        !relays_.relay_of(worker).empty()) {
        relays_.add(value, worker, clock_.now());
        if (!std::exchange(relay_flush_due_, true))
            asio::post(loop_, [this] {
                relay_flush_due_ = false;
                flush_relayed_orders();
            });
        return;
    }
    const auto shared = std::make_shared<const order>(value);
    queue_work(work_class::worker_traffic, [this, shared, fence = controller_.fence()](time_ms) {
        // Another leader, or a later term, decides anew.
        if (controller_.fence() != fence)
            return;
        // The order may wait for a connection until the lease of this node, or the life of the
        // worker, has ended.
        exchange_.send(
            *shared, [this, shared] { return log_->serving() && controller_.is_wanted(*shared); },
            [this, shared](const order_result& result, time_ms sent_at, time_ms received_at) {
                queue_result(*shared, result, sent_at, received_at);
            });
    });
}

// Without the lease another node may lead already; the tick continues when the lease is back.
void job_control::flush_relayed_orders() {
    if (!stopped_ && controller_.leading() && log_->serving())
        relays_.flush(controller_.fence(), clock_.now());
}

void job_control::queue_result(const order& value, const order_result& result, time_ms sent_at,
                               time_ms received_at) {
    queue_work(work_class::worker_traffic, [this, value, result, sent_at, received_at](time_ms) {
        observe_result(value, result, sent_at, received_at);
    });
}

void job_control::carry_out(const std::shared_ptr<wire::connection>& peer,
                            const wire::order_batch& batch) {
    const auto now = clock_.now();
    auto orders = decode_relayed_orders(batch.orders);
    if (!orders) {
        log_event(log_level::error, "orders_unreadable").field("leader", peer->peer().node);
        return;
    }
    const auto newest_term = [this] { return std::max(log_->term(), router_->leader_term()); };
    if (batch_ages_.size() > max_batch_ages)
        batch_ages_.clear(); // of processes that have ended, for the most part
    auto& age = batch_ages_[{peer->peer().node, peer->peer().boot_id}];
    const bool recent = age.is_recent(batch.sent_at, now);
    const bool current = batch.term >= newest_term();
    if (!recent || !current)
        log_event(log_level::warning, "orders_not_carried_out")
            .field("leader", peer->peer().node)
            .field("term", batch.term)
            .field("newest_term", newest_term())
            .field("delayed", !recent)
            .field("orders", std::uint64_t{orders->size()});
    metrics_.add("clementine_relayed_orders",
                 {{"outcome", recent && current ? "carried-out" : "declined"}}, orders->size());
    for (auto& item : *orders) {
        if (!recent || !current || stopped_) {
            add_result(peer, {.id = item.id, .answer = order_answer::undelivered, .lists = {}});
            continue;
        }
        const auto may_send = [this, now, newest_term, term = batch.term] {
            return clock_.now() - now <= max_relay_wait && term >= newest_term();
        };
        exchange_.send(std::move(item.value), may_send,
                       [this, peer, id = item.id](const order_result& result, time_ms, time_ms) {
                           add_result(peer, {id, result.answer, result.lists, result.next_life});
                       });
    }
}

// Results of one pass of the event loop share a message.
void job_control::add_result(const std::shared_ptr<wire::connection>& peer,
                             const relayed_result& result) {
    if (peer->is_closed())
        return;
    if (unsent_results_.empty())
        asio::post(loop_, [this] { flush_results(); });
    append_encoded(unsent_results_[peer], result);
}

void job_control::flush_results() {
    for (auto& [peer, results] : std::exchange(unsent_results_, {})) {
        // The leader would wait for what is lost here.
        if (!peer->send(wire::result_batch{std::move(results)}))
            peer->stop();
    }
}

void job_control::send_advise_order(order value) {
    const auto limit = std::get<advise_order>(value).timeout;
    if (!advice_api_) {
        order_result result;
        result.answer = order_answer::not_sent;
        return observe_result(value, result, clock_.now(), clock_.now());
    }
    const auto encoded = protocol_.encode_order(value, settings_.node, {});
    advice_api_->request({encoded.method, encoded.target, encoded.headers, encoded.body}, limit,
                         [this, value = std::move(value)](const http_result& exchange) {
                             observe_result(value, decode_result(value, exchange), exchange.sent_at,
                                            exchange.received_at);
                         });
}

order_result job_control::decode_result(const order& value, const http_result& exchange) const {
    order_result result;
    if (!exchange.failure)
        return protocol_.decode_answer(value, exchange.status, exchange.body);
    result.answer = answer_for(*exchange.failure);
    return result;
}

void job_control::send_vm_order(order value, const std::string& page, std::vector<vm_report> vms) {
    if (!vm_api_)
        return;
    const auto encoded = protocol_.encode_order(value, settings_.node, page);
    // A node that was frozen with queued orders may no longer lead when it resumes, and the
    // platform may not check fencing numbers.
    const auto still_leads = [this, term = log_->term()] {
        return log_->serving() && log_->term() == term;
    };
    vm_api_->request(
        {encoded.method, encoded.target, encoded.headers, encoded.body, still_leads}, order_timeout,
        [this, value = std::move(value),
         vms = std::move(vms)](const http_result& exchange) mutable {
            order_result result;
            if (exchange.failure)
                result.answer = answer_for(*exchange.failure);
            else
                result = protocol_.decode_answer(value, exchange.status, exchange.body);
            vms.insert(vms.end(), result.vms.begin(), result.vms.end());
            if (result.answer == order_answer::done && !result.next_page.empty())
                return send_vm_order(std::move(value), result.next_page, std::move(vms));
            result.vms = std::move(vms);
            metrics_.add("clementine_platform_calls",
                         {{"answer", std::string(to_name(result.answer))}});
            // Behind the answers of workers that came before it.
            queue_result(value, result, exchange.sent_at, exchange.received_at);
        });
}

void job_control::observe_result(const order& value, const order_result& result, time_ms sent_at,
                                 time_ms received_at) {
    if (stopped_ || !controller_.leading())
        return;
    const load_monitor::timer timer(load_, activity::exchange);
    const auto now = received_at;
    if (result.next_life != 0)
        std::visit(
            [&](const auto& item) {
                if constexpr (requires { item.worker; })
                    controller_.observe_next_life(item.worker, result.next_life, item.fence, now);
            },
            value);
    if (const auto* hold = std::get_if<hold_order>(&value))
        controller_.observe(*hold, result.answer, result.lists, sent_at, now);
    else if (const auto* start = std::get_if<start_order>(&value))
        controller_.observe(*start, result.answer, now);
    else if (const auto* stop = std::get_if<stop_order>(&value))
        controller_.observe(*stop, result.answer, now);
    else if (const auto* pace = std::get_if<pace_order>(&value))
        controller_.observe(*pace, result.answer, now);
    else if (const auto* advise = std::get_if<advise_order>(&value))
        controller_.observe(*advise, result.answer, result.tickets, result.ticket_validity, now);
    else if (const auto* move = std::get_if<move_order>(&value))
        controller_.observe(*move, result.answer, now);
    else if (const auto* upkeep = std::get_if<upkeep_order>(&value))
        controller_.observe(*upkeep, result.answer, now);
    else
        controller_.observe(std::get<list_vms_order>(value), result.vms, result.answer, now);
    request_round();
}

} // namespace clementine::control
