// Job service of a control node: keeps the job table in the replicated log, serves callers,
// operators and workers, and executes scheduling decisions while leading. Runs on one Asio loop.
#pragma once

#include "base/metrics.h"
#include "control/announcement_cache.h"
#include "control/cluster_links.h"
#include "control/descriptor_budget.h"
#include "control/http_pool.h"
#include "control/http_server.h"
#include "control/leader_router.h"
#include "control/limits.h"
#include "control/load_monitor.h"
#include "control/log_node.h"
#include "control/order_relays.h"
#include "control/proposal_queue.h"
#include "control/replica_reads.h"
#include "control/work_queue.h"
#include "control/worker_exchange.h"
#include "workload/caller_access.h"
#include "workload/controller.h"
#include "workload/fleet_protocol.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace clementine::control {

struct job_control_settings {
    std::string node;           // name of this node, sent as the holder in VM orders
    std::string link_address;   // IP:port for links between nodes
    std::string http_address;   // IP:port for operators and workers
    std::string admin_address;  // IP:port for metrics
    std::string vm_api_address; // IP:port of the platform's VM API; empty if there is none
    std::string advice_address; // IP:port of the placement advice service; empty if none
    std::string availability_zone;
    std::string data_folder;
    std::vector<std::string> seeds; // link addresses of some control nodes
    bool first_start = false;
    std::size_t tolerated_losses = 1;
    std::size_t max_open_files = 0; // 0 for the limit of the process
    // With at least this many workers, other control nodes exchange with them for the leader.
    std::size_t relay_min_workers = workload::large_fleet_workers;
    workload::controller_settings decisions;
};

class job_control {
  public:
    job_control(boost::asio::io_context& loop, job_control_settings settings,
                const workload::fleet_protocol& protocol, consensus::file_system& files,
                const clock_source& clock, std::function<void(const std::string&)> failed);
    job_control(const job_control&) = delete;
    job_control& operator=(const job_control&) = delete;
    ~job_control();

    // Starts all components. Returns the error text, empty on success.
    std::string start();
    // Applies changed seeds from the settings.
    void set_seeds(const std::vector<std::string>& seeds);
    // Transfers leadership, stops, then calls `stopped`.
    void stop_gracefully(std::function<void()> stopped);
    void stop();

  private:
    using reply_handler = leader_router::reply_handler;
    struct pending_command {
        consensus::term_t term = 0;
        time_ms proposed_at{0};
        proposal_queue::done_handler done;
    };

    // A caller whose submission is not committed yet.
    struct pending_caller {
        std::uint64_t request_id = 0;
        reply_handler reply;
    };
    // A submission that is not committed yet, with all callers that sent it.
    struct pending_submission {
        std::string queue;
        std::string workspace;
        std::uint64_t key_tag = 0;
        std::vector<pending_caller> callers;
    };

    // Links, membership and the log.
    void create_links();
    std::string listen();
    void handle_incoming_link(const std::shared_ptr<wire::connection>& peer, wire::message&& value);
    void handle_outgoing_link(const std::string& node, wire::message&& value);
    void apply(const consensus::entry& entry);
    void publish_directory();
    void connect_members();
    // `done` is called once the operations are committed. It may never be called if leadership is
    // lost. Returns false if an operation exceeds max_operation_bytes; nothing is logged then.
    bool propose(const std::vector<workload::operation>& operations,
                 proposal_queue::done_handler done);
    void schedule_flush(time_ms delay);
    void flush_operations();
    void record_progress(const workload::command& value, const std::vector<bool>& accepted);
    void record_job_end(const std::string& id, time_ms at);
    void check_leadership();
    void schedule_tick();
    void log_load(time_ms now);

    // Requests.
    bool handle_call(const wire::call& request, const reply_handler& reply);
    // `waited`: time in the queue.
    void handle_caller(const wire::call& request, const reply_handler& reply, time_ms waited);
    // Answers a call that addresses no queue that it may use.
    void refuse_caller(const workload::caller_access& access, const wire::call& request,
                       const reply_handler& reply);
    void submit(const workload::caller_access& access, const std::string& id,
                const wire::call& request, const reply_handler& reply, time_ms waited);
    void cancel(const workload::caller_access& access, const std::string& id,
                const wire::call& request, const reply_handler& reply);
    workload::caller_access access_of(const wire::call& request) const;
    // Origin of a job that is accepted or about to be. Valid until the next operation.
    std::optional<workload::job_origin> origin_of(const std::string& id) const;
    // Job id that a path ends with, whichever queue it is of; empty if none.
    std::string job_id_in(std::string_view path) const;
    // Status of a submission that the log did not take.
    unsigned refused_submission_status(const std::string& id, const std::string& workspace) const;
    void handle_fleet(const wire::call& request, const reply_handler& reply);
    void handle(const workload::announce_worker& request, std::uint64_t id,
                const reply_handler& reply);
    void handle(const workload::worker_leaves& request, std::uint64_t id,
                const reply_handler& reply);
    void handle(const workload::apply_configuration& request, std::uint64_t id,
                const reply_handler& reply);
    void handle(const workload::read_configuration& request, std::uint64_t id,
                const reply_handler& reply);
    void handle(const workload::start_wave& request, std::uint64_t id, const reply_handler& reply);
    void handle(const workload::read_wave& request, std::uint64_t id, const reply_handler& reply);
    void handle(const workload::malformed_request& request, std::uint64_t id,
                const reply_handler& reply);
    void handle(const workload::unknown_request& request, std::uint64_t id,
                const reply_handler& reply);
    // Answers a query from the applied state.
    void answer_query(const wire::call& request, const reply_handler& reply);
    void ask_read_index();
    void handle_http(const http_request& request, const http_respond& respond);
    bool acknowledge_repeated(const http_request& request, const http_respond& respond,
                              std::optional<workload::worker_report>& report);
    void handle_admin(const http_request& request, const http_respond& respond);
    http_response explain_placement(const http_request& request) const;

    // Decisions and orders.
    void request_round();
    void run_round();
    // Executes `item` soon; see work_queue.h.
    void queue_work(work_class kind, work_queue::work item);
    void schedule_work();
    // Time that an order decided now waits until it leaves.
    time_ms order_delay() const;
    void send(workload::order value);
    void send_worker_order(const workload::order& value);
    void flush_relayed_orders();
    void queue_result(const workload::order& value, const workload::order_result& result,
                      time_ms sent_at, time_ms received_at);
    // Carries out orders for the leader.
    void carry_out(const std::shared_ptr<wire::connection>& peer, const wire::order_batch& batch);
    void add_result(const std::shared_ptr<wire::connection>& peer,
                    const workload::relayed_result& result);
    void flush_results();
    void send_advise_order(workload::order value);
    workload::order_result decode_result(const workload::order& value,
                                         const http_result& exchange) const;
    void send_vm_order(workload::order value, const std::string& page,
                       std::vector<workload::vm_report> vms);
    void observe_result(const workload::order& value, const workload::order_result& result,
                        time_ms sent_at, time_ms received_at);
    void record_resources();
    void record_workspaces();

    boost::asio::io_context& loop_;
    job_control_settings settings_;
    const workload::fleet_protocol& protocol_;
    const clock_source& clock_;
    std::function<void(const std::string&)> failed_;
    metrics metrics_;
    load_monitor load_;
    time_ms load_logged_at_{0};
    workload::job_table table_;
    workload::controller controller_;
    std::unique_ptr<cluster_links> links_;
    std::unique_ptr<leader_router> router_;
    std::unique_ptr<log_node> log_;
    std::shared_ptr<http_server> http_server_;
    std::shared_ptr<http_server> admin_server_;
    std::shared_ptr<http_pool> vm_api_;
    std::shared_ptr<http_pool> advice_api_;
    descriptor_budget descriptors_;
    worker_exchange exchange_;
    order_relays relays_;
    bool relay_flush_due_ = false;
    // Encoded results of orders carried out for leaders, not sent yet.
    std::map<std::shared_ptr<wire::connection>, std::string> unsent_results_;
    // Age of batches, by node and by start of its process.
    std::map<std::pair<std::string, std::uint64_t>, batch_age> batch_ages_;
    announcement_cache announcements_;
    replica_reads reads_;
    std::multimap<consensus::index_t, pending_command> pending_commands_;
    work_queue work_;
    bool work_due_ = false;
    proposal_queue proposals_{max_command_bytes, max_operation_bytes};
    std::map<std::string, pending_submission> submissions_; // by job
    // Configurations that are not committed yet, by version, with all callers that sent them.
    std::map<std::uint64_t, std::vector<pending_caller>> proposed_configurations_;
    boost::asio::steady_timer flush_timer_;
    bool flush_due_ = false;
    boost::asio::steady_timer tick_timer_;
    boost::asio::steady_timer round_timer_;
    bool round_due_ = false;
    time_ms last_round_time_{0}; // time that the last round took
    bool was_serving_ = false;
    time_ms directory_published_at_{0};
    time_ms join_requested_at_{0};
    bool stopping_ = false;
    bool stopped_ = false;
};

} // namespace clementine::control
