// The controld process without its main function: replica, links, manifest distribution and HTTP.
#pragma once

#include "base/metrics.h"
#include "control/decision_loop.h"
#include "control/dissemination.h"
#include "control/http_server.h"
#include "control/operators_api.h"
#include "control/replica_host.h"
#include "control/settings.h"
#include "platform_client/http_platform.h"
#include "wire/channel.h"
#include "wire/channel_server.h"

#include <boost/asio/io_context.hpp>

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>

namespace clementine::control {

struct controld_options {
    bool first_start = false; // the cluster is new: replicas take their initial ids
    std::uint64_t seed = 1;
    std::uint64_t snapshot_entries = 1'000;
    consensus::index_t trailing_entries = 1'000;
};

class controld {
  public:
    // `failed` is called on an unrecoverable replica error; the process should then exit.
    controld(boost::asio::io_context& context, controld_settings settings, controld_options options,
             consensus::file_system& files, const clock_source& clock,
             std::function<void(const std::string& reason)> failed);
    controld(const controld&) = delete;
    controld& operator=(const controld&) = delete;
    // Stops without transferring leadership. No thread may still run the io_context.
    ~controld();

    // Opens the data folder and the listeners. Returns the error text, empty on success.
    std::string start();
    // Transfers leadership, then closes everything. Blocks for up to 3 s.
    void stop_gracefully();
    void stop();

    host_status status() const { return host_->status(); }
    replica_host& host() { return *host_; }
    const wire::traffic& counters() const { return *traffic_; }
    // The bound ports, which differ from the settings if those say 0.
    unsigned short control_port() const { return control_server_->port(); }
    unsigned short operators_port() const { return operators_server_->port(); }
    unsigned short admin_port() const { return admin_server_->port(); }

  private:
    wire::hello make_hello() const;
    void create_host(const controld_options& options, consensus::file_system& files,
                     std::function<void(const std::string&)> failed);
    std::string start_links();
    std::string start_http();
    void handle_message(const std::shared_ptr<wire::connection>& peer, wire::message&& value);
    void subscribe(const std::shared_ptr<wire::connection>& peer, std::uint64_t version);
    void handle_admin(const http_request& request, const http_respond& respond);
    void send(const std::string& node, const consensus::message& value);
    std::string operators_address(const std::string& node) const;
    void start_decisions();
    void schedule_round();
    void schedule_join_request();
    void request_join();
    void stop_links();

    boost::asio::io_context& context_;
    controld_settings settings_;
    const clock_source& clock_;
    metrics metrics_;
    std::shared_ptr<wire::traffic> traffic_ = std::make_shared<wire::traffic>();
    std::shared_ptr<dissemination> dissemination_;
    std::unique_ptr<replica_host> host_;
    std::unique_ptr<operators_api> operators_api_;
    std::shared_ptr<wire::channel_server> control_server_;
    std::map<std::string, std::shared_ptr<wire::channel>> peers_; // fixed after start
    std::shared_ptr<http_server> operators_server_;
    std::shared_ptr<http_server> admin_server_;
    std::shared_ptr<boost::asio::steady_timer> join_request_timer_;
    std::unique_ptr<platform_client::http_platform> platform_;
    std::unique_ptr<decision_loop> decision_loop_; // only if the settings name a platform
    std::shared_ptr<boost::asio::steady_timer> round_timer_;
    std::atomic<bool> stopping_{false};
    mutable std::mutex mutex_; // guards operators_addresses_
    std::map<std::string, std::string> operators_addresses_;
};

} // namespace clementine::control
