#include "control/cluster.h"

#include <boost/asio/ip/tcp.hpp>

#include <chrono>
#include <filesystem>
#include <stdexcept>

namespace clementine::control {

namespace asio = boost::asio;

loop_threads::loop_threads() {
    for (auto& thread : threads_)
        thread = std::thread([this] { context.run(); });
}

loop_threads::~loop_threads() {
    join();
}

void loop_threads::join() {
    context.stop();
    for (auto& thread : threads_) {
        if (thread.joinable())
            thread.join();
    }
}

std::vector<unsigned short> free_ports(std::size_t count) {
    asio::io_context context;
    std::vector<asio::ip::tcp::acceptor> held;
    std::vector<unsigned short> out;
    for (std::size_t i = 0; i < count; ++i) {
        held.emplace_back(context, asio::ip::tcp::endpoint(asio::ip::address_v4::loopback(), 0));
        out.push_back(held.back().local_endpoint().port());
    }
    return out;
}

std::string sample_manifest(std::uint64_t number) {
    return "[fleet]\navailability-zones = az-1\nvms = 10\n"
           "[service tickets]\nhosts = tickets.example\npool = tickets\ntimeout-ms = " +
           std::to_string(1'000 + number) +
           "\n[pool tickets]\nsize = 6\n[pool tools]\nsize = 4\nspare = yes\nmax-lent = 2\n";
}

bool eventually(const std::function<bool()>& condition) {
    const steady_clock clock;
    const auto deadline = clock.now() + 15'000;
    while (clock.now() < deadline) {
        if (condition())
            return true;
        std::this_thread::sleep_for(std::chrono::milliseconds(10));
    }
    return condition();
}

std::string fresh_folder(const std::string& name) {
    const auto out = std::string(TEST_DATA_FOLDER) + "/" + name;
    std::filesystem::remove_all(out);
    std::filesystem::create_directories(out);
    return out;
}

cluster::cluster(const std::string& name, std::vector<std::string> entry_nodes) : nodes_(3) {
    const auto ports = free_ports(9);
    const auto folder = fresh_folder(name);
    std::vector<replica_address> replicas;
    for (std::size_t i = 0; i < 3; ++i)
        replicas.push_back({"c-" + std::to_string(i + 1), {"127.0.0.1", ports[i]}});
    for (std::size_t i = 0; i < 3; ++i) {
        controld_settings item;
        item.node = replicas[i].node;
        item.availability_zone = "az-1";
        item.cluster = name;
        item.control = replicas[i].address;
        item.operators = {"127.0.0.1", ports[3 + i]};
        item.admin = {"127.0.0.1", ports[6 + i]};
        item.replicas = replicas;
        item.entry_nodes = entry_nodes;
        item.data_folder = folder + "/" + item.node;
        settings_.push_back(item);
    }
}

cluster::~cluster() {
    for (std::size_t i = 0; i < nodes_.size(); ++i) {
        if (nodes_[i].process)
            kill(i);
    }
}

void cluster::start(std::size_t index) {
    auto& item = nodes_[index];
    auto own = options;
    own.seed = options.seed * 10 + index;
    own.first_start = !started_before_[index];
    started_before_[index] = true;
    item.loop = std::make_unique<loop_threads>();
    item.process = std::make_unique<controld>(item.loop->context, settings_[index], own, files_,
                                              clock_, [](const std::string&) {});
    const auto problem = item.process->start();
    if (!problem.empty())
        throw std::runtime_error(problem);
}

void cluster::start_all() {
    for (std::size_t i = 0; i < nodes_.size(); ++i)
        start(i);
}

void cluster::kill(std::size_t index) {
    auto& item = nodes_[index];
    item.loop->join();
    item.process.reset();
    item.loop.reset();
}

void cluster::stop_gracefully(std::size_t index) {
    nodes_[index].process->stop_gracefully();
    kill(index);
}

void cluster::wipe_disk(std::size_t index) {
    std::filesystem::remove_all(settings_[index].data_folder);
}

std::size_t cluster::leader() {
    std::size_t found = nodes_.size();
    const auto leads = [&] {
        for (std::size_t i = 0; i < nodes_.size(); ++i) {
            if (nodes_[i].process && nodes_[i].process->status().holds_lease)
                found = i;
        }
        return found < nodes_.size();
    };
    if (!eventually(leads))
        throw std::runtime_error("no leader");
    return found;
}

std::size_t cluster::follower() {
    const auto leading = leader();
    for (std::size_t i = 0; i < nodes_.size(); ++i) {
        if (i != leading && nodes_[i].process)
            return i;
    }
    throw std::runtime_error("no follower");
}

std::vector<endpoint_text> cluster::operators(std::size_t first) const {
    std::vector<endpoint_text> out;
    for (std::size_t i = 0; i < settings_.size(); ++i)
        out.push_back(settings_[(first + i) % settings_.size()].operators);
    return out;
}

std::vector<asio::ip::tcp::endpoint> cluster::controls() const {
    std::vector<asio::ip::tcp::endpoint> out;
    for (const auto& item : settings_)
        out.emplace_back(asio::ip::make_address(item.control.address), item.control.port);
    return out;
}

operator_response cluster::apply(std::uint64_t base, const std::string& id, const std::string& text,
                                 std::size_t first) {
    operator_client client(operators(first), clock_);
    operator_request request{
        "POST",
        "/v1/manifest",
        {{"Clementine-Base-Version", std::to_string(base)}, {"Clementine-Request-Id", id}},
        text};
    return client.send(request, 15'000).value_or(operator_response{});
}

operator_response cluster::get(const std::string& target) {
    operator_client client(operators(), clock_);
    operator_request request;
    request.target = target;
    return client.send(request, 15'000).value_or(operator_response{});
}

entry_node::entry_node(const std::string& name, std::vector<asio::ip::tcp::endpoint> controls,
                       std::string folder,
                       std::function<std::vector<routing::service_demand>()> demand) {
    node_client_settings settings;
    settings.demand = std::move(demand);
    settings.self.node = name;
    settings.self.role = wire::node_role::entryd;
    settings.self.availability_zone = "az-1";
    // Entry node names start with the cluster name.
    settings.self.cluster = name.substr(0, name.find('/'));
    settings.controls = std::move(controls);
    settings.data_folder = std::move(folder);
    settings.counters = counters;
    client_ = std::make_unique<node_client>(
        loop_.context, std::move(settings), clock_, values,
        [this](std::uint64_t version, const std::shared_ptr<const manifest::manifest>&) {
            std::lock_guard lock(mutex_);
            versions_.push_back(version);
        });
    client_->start();
}

entry_node::~entry_node() {
    client_->stop();
    loop_.join();
}

std::vector<std::uint64_t> entry_node::versions() const {
    std::lock_guard lock(mutex_);
    return versions_;
}

} // namespace clementine::control
