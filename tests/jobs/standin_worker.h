// A worker of the users' platform on loopback: announces itself, runs tasks under a lease and keeps
// a record of every run. The payload of a task is the time in ms that it takes; "fails" fails.
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
    time_ms tick_interval{10};         // runs and waiting answers are looked at this often
    time_ms announce_interval{300};
    // Called when a run begins, and when it ends, with how it ended.
    std::function<void(const std::string& task)> run_started = [](const std::string&) {};
    std::function<void(const std::string& task, const std::string& how)> run_ended =
        [](const std::string&, const std::string&) {};
};

class standin_worker {
  public:
    standin_worker(boost::asio::io_context& loop, const clock_source& clock,
                   standin_worker_options options);
    standin_worker(const standin_worker&) = delete;
    standin_worker& operator=(const standin_worker&) = delete;
    ~standin_worker() = default;

    // Empty, or why it cannot listen.
    std::string start();
    void stop();
    // Announces another address than its own from now on, such as that of a relay.
    void announce_as(std::string address) { announced_ = std::move(address); }
    boost::asio::ip::tcp::endpoint endpoint() const;
    // Runs that were started, by task.
    const std::map<std::string, int>& starts() const { return starts_; }
    std::size_t running() const { return runs_.size(); }

  private:
    struct run {
        std::int64_t number = 0;
        time_ms started{0};
        time_ms work{0};
        bool fails = false;
    };
    struct ended {
        std::int64_t number = 0;
        std::string task;
        std::int64_t run = 0;
        std::string how;
    };
    struct waiting_hold {
        std::int64_t last_seen = 0;
        time_ms until{0};
        control::http_respond respond;
    };

    void handle(const control::http_request& request, const control::http_respond& respond);
    unsigned start_run(const boost::json::object& body, boost::json::object& reply);
    void stop_run(const boost::json::object& body);
    void hold(const boost::json::object& body, const control::http_respond& respond);
    void answer_hold(const waiting_hold& item);
    void end(const std::string& task, const char* how);
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
    std::map<std::string, std::int64_t> barred_;
    std::vector<ended> ended_;
    std::vector<waiting_hold> holds_;
    std::map<std::string, int> starts_;
    std::int64_t last_end_ = 0;
    std::int64_t fence_ = 0;
    time_ms lease_until_{0};
    time_ms announced_at_{0};
    std::size_t next_control_ = 0;
    std::int64_t sequence_ = 0;
    std::int64_t born_ = 0;
    std::string announced_; // empty: its own address
    bool stopped_ = false;
};

} // namespace clementine
