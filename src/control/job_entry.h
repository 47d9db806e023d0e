// Job service of an entry node: forwards callers' requests to the leading control node. Keeps no
// persistent state, so that a restart loses nothing.
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
    // IP:port that identifies this node on its links; nothing listens there.
    std::string link_address;
    std::string callers_address; // IP:port for callers
    std::string ready_address;   // IP:port of the readiness check of the load balancer
    std::string ready_path;
    std::string admin_address; // IP:port for metrics
    std::string availability_zone;
    std::string deadline_header; // request header with the caller's timeout in ms
    std::vector<std::string> seeds;
    time_ms drain_time{0}; // the node keeps accepting requests for this long after a stop
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
    // Reports not ready, completes the open requests, then calls `stopped`.
    void stop_gracefully(std::function<void()> stopped);

  private:
    void handle_request(const http_request& request, const http_respond& respond);
    void respond_to_caller(const std::string& id, const std::string& method, time_ms arrived_at,
                           const routed_reply& result, const http_respond& respond);
    void handle_ready(const http_request& request, const http_respond& respond);
    void handle_admin(const http_request& request, const http_respond& respond);
    void continue_stop();

    boost::asio::io_context& loop_;
    job_entry_settings settings_;
    const clock_source& clock_;
    metrics metrics_;
    std::unique_ptr<cluster_links> links_;
    std::unique_ptr<leader_router> router_;
    std::shared_ptr<http_server> callers_server_;
    std::shared_ptr<http_server> ready_server_;
    std::shared_ptr<http_server> admin_server_;
    boost::asio::steady_timer stop_timer_;
    std::function<void()> stopped_;
    time_ms stop_at_{0};
    std::size_t open_requests_ = 0;
    time_ms last_linked_at_{0}; // last time a link was open
    bool was_ready_ = false;
    bool stopping_ = false;
};

} // namespace clementine::control
