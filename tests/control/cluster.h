// Test fixtures: a cluster of three replicas in one process on loopback, and entry nodes.
#pragma once

#include "base/metrics.h"
#include "consensus/posix_files.h"
#include "control/controld.h"
#include "control/node_client.h"
#include "control/operator_client.h"

#include <array>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace clementine::control {

// Runs an io_context on two threads until it is destroyed.
class loop_threads {
  public:
    loop_threads();
    loop_threads(const loop_threads&) = delete;
    loop_threads& operator=(const loop_threads&) = delete;
    ~loop_threads();
    // Stops and joins the threads; the io_context stays valid.
    void join();

    boost::asio::io_context context;

  private:
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work_ =
        boost::asio::make_work_guard(context);
    std::array<std::thread, 2> threads_;
};

// Returns loopback ports that were free when probed.
std::vector<unsigned short> free_ports(std::size_t count);

// Returns a valid manifest whose text differs by number.
std::string sample_manifest(std::uint64_t number);

// Waits up to 15 s for a condition; returns whether it holds.
bool eventually(const std::function<bool()>& condition);

// Creates an empty folder under the build folder.
std::string fresh_folder(const std::string& name);

class cluster {
  public:
    explicit cluster(const std::string& name, std::vector<std::string> entry_nodes = {});
    cluster(const cluster&) = delete;
    cluster& operator=(const cluster&) = delete;
    ~cluster();

    void start(std::size_t index);
    void start_all();
    // Stops a replica without a leadership transfer, to simulate a crash.
    void kill(std::size_t index);
    void stop_gracefully(std::size_t index);
    void wipe_disk(std::size_t index);

    controld* at(std::size_t index) { return nodes_[index].process.get(); }
    // Waits for a replica to hold the leader lease and returns its index.
    std::size_t leader();
    // Index of a running follower.
    std::size_t follower();

    // Addresses of the operators' APIs, starting with that of replica `first`.
    std::vector<endpoint_text> operators(std::size_t first = 0) const;
    std::vector<boost::asio::ip::tcp::endpoint> controls() const;

    // Sends POST /v1/manifest, starting with replica `first`.
    operator_response apply(std::uint64_t base, const std::string& id, const std::string& text,
                            std::size_t first = 0);
    operator_response get(const std::string& target);

    // Options for replicas that are started later.
    controld_options options;

  private:
    struct node {
        std::unique_ptr<loop_threads> loop;
        std::unique_ptr<controld> process;
    };

    steady_clock clock_;
    consensus::posix_file_system files_;
    std::vector<controld_settings> settings_;
    std::vector<node> nodes_;
    std::map<std::size_t, bool> started_before_;
};

// An entry node that only receives manifests and, if `demand` is given, reports it.
class entry_node {
  public:
    entry_node(const std::string& name, std::vector<boost::asio::ip::tcp::endpoint> controls,
               std::string folder = {},
               std::function<std::vector<routing::service_demand>()> demand = {});
    entry_node(const entry_node&) = delete;
    entry_node& operator=(const entry_node&) = delete;
    ~entry_node();

    std::uint64_t version() const { return client_->version(); }
    std::vector<std::uint64_t> versions() const;

    metrics values;
    std::shared_ptr<wire::traffic> counters = std::make_shared<wire::traffic>();

  private:
    steady_clock clock_;
    loop_threads loop_;
    mutable std::mutex mutex_; // guards versions_
    std::vector<std::uint64_t> versions_;
    std::unique_ptr<node_client> client_;
};

} // namespace clementine::control
