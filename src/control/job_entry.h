// The entry node's part in running jobs: takes callers' requests and has the leading control node
// answer them. Keeps no state of its own that matters, so that a restart loses nothing.
#pragma once

#include "base/metrics.h"
#include "control/cluster_links.h"
#include "control/http_server.h"
#include "control/leader_router.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace clementine::control {

struct job_entry_settings {
    std::string node;
    std::string link_address;    // IP:port that names this node on its links; nothing listens there
    std::string callers_address; // IP:port for callers
    std::string ready_address;   // IP:port and path that the load balancer asks
    std::string ready_path;
    std::string admin_address; // IP:port for metrics
    std::string availability_zone;
    std::string deadline_header; // request header with the time that the caller waits, in ms
    std::vector<std::string> seeds;
    time_ms drain_time{0}; // listening goes on for this long after a stop was asked for
};

class job_entry {
  public:
    job_entry(boost::asio::io_context& loop, job_entry_settings settings,
              const clock_source& clock);
    job_entry(const job_entry&) = delete;
    job_entry& operator=(const job_entry&) = delete;
    ~job_entry() = default;

    std::string start();
    void set_seeds(const std::vector<std::string>& seeds);
    // Turns new callers away, ends what is under way, then calls `stopped`.
    void stop_gracefully(std::function<void()> stopped);

  private:
    void handle(const http_request& request, const http_respond& respond);
    void finish(const std::string& id, const std::string& method, time_ms arrived,
                const routed_reply& result, const http_respond& respond);
    void handle_ready(const http_request& request, const http_respond& respond);
    void handle_admin(const http_request& request, const http_respond& respond);
    void wait_for_end();

    boost::asio::io_context& loop_;
    job_entry_settings settings_;
    const clock_source& clock_;
    metrics metrics_;
    std::unique_ptr<cluster_links> links_;
    std::unique_ptr<leader_router> router_;
    std::shared_ptr<http_server> callers_;
    std::shared_ptr<http_server> ready_;
    std::shared_ptr<http_server> admin_;
    boost::asio::steady_timer stop_timer_;
    std::function<void()> stopped_;
    time_ms stop_at_{0};
    std::size_t under_way_ = 0;
    time_ms linked_at_{0}; // when a link was last seen open
    bool was_ready_ = false;
    bool stopping_ = false;
};

} // namespace clementine::control
