// Stand-in for a worker of the users' platform, on loopback: announces itself, runs tasks under a
// lease and records every run. The payload of a task is its run time in ms, or "fails" for a task
// that fails.
#pragma once

#include "control/http_pool.h"
#include "control/http_server.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/json.hpp>

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace clementine {

struct standin_worker_options {
    std::string id;
    std::string pool;
    std::string ip = "127.0.0.1";
    std::vector<std::string> controls; // IP:port of the control nodes
    std::int64_t cpu = 4'000;          // thousandths of a core
    time_ms tick_interval{10};         // between checks of runs and pending holds
    time_ms announce_interval{300};
    // Called when a run starts, and when it ends, with the reason.
    std::function<void(const std::string& task, std::int64_t run)> run_started =
        [](const std::string&, std::int64_t) {};
    std::function<void(const std::string& task, const std::string& reason)> run_ended =
        [](const std::string&, const std::string&) {};
    // Called when the control nodes acknowledge the end of a run, unless the lease has lapsed
    // since.
    std::function<void(const std::string& task, std::int64_t run, const std::string& reason)>
        end_acknowledged = [](const std::string&, std::int64_t, const std::string&) {};
};

class standin_worker {
  public:
    standin_worker(boost::asio::io_context& loop, const clock_source& clock,
                   standin_worker_options options);
    standin_worker(const standin_worker&) = delete;
    standin_worker& operator=(const standin_worker&) = delete;
    ~standin_worker() = default;

    // Returns an empty text, or the reason why the worker cannot listen.
    std::string start();
    void stop();
    // From now on announces the given address instead of its own, such as that of a relay.
    void announce_as(std::string address) { announced_address_ = std::move(address); }
    boost::asio::ip::tcp::endpoint endpoint() const;
    // Number of runs started, by task.
    const std::map<std::string, int>& starts() const { return starts_; }
    std::size_t running() const { return runs_.size(); }

  private:
    struct run {
        std::int64_t number = 0;
        time_ms started{0};
        time_ms run_time{0};
        bool fails = false;
    };
    struct ended_run {
        std::int64_t number = 0;
        std::string task;
        std::int64_t run = 0;
        std::string reason;
        bool lease_lapsed = false; // after the end
    };
    struct pending_hold {
        std::int64_t last_seen = 0;
        time_ms until{0};
        control::http_respond respond;
    };

    void handle(const control::http_request& request, const control::http_respond& respond);
    unsigned start_run(const boost::json::object& body, boost::json::object& reply);
    void stop_run(const boost::json::object& body);
    void handle_hold(const boost::json::object& body, const control::http_respond& respond);
    void respond_to_hold(const pending_hold& hold);
    void end_run(const std::string& task, const char* reason);
    void extend_lease(time_ms until);
    void mark_ends_if_lease_lapsed();
    void announce();
    void tick();
    time_ms now() const { return clock_.now(); }

    boost::asio::io_context& loop_;
    const clock_source& clock_;
    standin_worker_options options_;
    std::shared_ptr<control::http_server> server_;
    std::vector<std::shared_ptr<control::http_pool>> controls_;
    boost::asio::steady_timer timer_;
    std::map<std::string, run> runs_;
    // Highest run of each task that has ended or was stopped; it and earlier runs never start.
    std::map<std::string, std::int64_t> highest_closed_run_;
    std::vector<ended_run> ended_runs_;
    std::vector<pending_hold> pending_holds_;
    std::map<std::string, int> starts_;
    std::int64_t last_ended_number_ = 0;
    std::int64_t highest_fence_ = 0;
    time_ms lease_until_{0};
    time_ms announced_at_{0};
    std::size_t next_control_ = 0;
    std::int64_t sequence_ = 0;
    std::int64_t started_at_ = 0;
    std::string announced_address_; // if empty, the worker's own address
    bool stopped_ = false;
};

} // namespace clementine
