#include "process_soak/process_fleet.h"

#include <boost/json.hpp>

#include <array>
#include <csignal>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <spawn.h>
#include <sys/resource.h>
#include <sys/wait.h>
#include <unistd.h>

namespace clementine::process_soak {

namespace json = boost::json;

namespace {

// The platform keeps as many descriptors of a process for itself.
constexpr std::size_t platform_descriptors = 200;
constexpr int first_entry_host_number = 100; // last octet of the first entry node's address

bool is_control(const std::string& name) {
    return name.starts_with("core-");
}

int index_of(const std::string& name) {
    return std::stoi(name.substr(name.rfind('-') + 1));
}

std::string with_port(const std::string& ip, unsigned short port) {
    return ip + ":" + std::to_string(port);
}

} // namespace

process_fleet::process_fleet(fleet_layout layout) : layout_(std::move(layout)) {
    std::filesystem::remove_all(layout_.folder);
    std::filesystem::create_directories(layout_.folder);
}

process_fleet::~process_fleet() {
    for (const auto& [name, pid] : pids_) {
        ::kill(pid, SIGKILL);
        ::waitpid(pid, nullptr, 0);
    }
}

std::vector<std::string> process_fleet::names() const {
    std::vector<std::string> result;
    for (int i = 0; i < layout_.controls; ++i)
        result.push_back("core-" + std::to_string(i));
    for (int i = 0; i < layout_.entries; ++i)
        result.push_back("edge-" + std::to_string(i));
    return result;
}

std::string process_fleet::ip_of(const std::string& name) const {
    const int base = is_control(name) ? 1 : first_entry_host_number;
    return layout_.network + ".0." + std::to_string(base + index_of(name));
}

std::string process_fleet::control_address(int index) const {
    return with_port(ip_of("core-" + std::to_string(index)), control_port);
}

std::string process_fleet::entry_address(int index) const {
    return with_port(ip_of("edge-" + std::to_string(index)), callers_port);
}

void process_fleet::write_settings(const std::string& name, bool first_start) const {
    const auto ip = ip_of(name);
    json::array seeds;
    for (int i = 0; i < 3; ++i)
        seeds.push_back(json::value(control_address(i)));
    json::object settings{{"Node", name},
                          {"Ip", ip},
                          {"Zone", "z"},
                          {"InternalPortRange", {first_internal_port, first_internal_port + 10}},
                          {"Seeds", seeds},
                          {"Bootstrap", first_start},
                          {"FaultTolerance", {{"Machines", layout_.tolerated_losses}}},
                          {"Bounds", {{"GraceS", 6}, {"StopMs", 400}, {"LeaseMs", 3000}}}};
    if (is_control(name) && layout_.open_files > 0)
        settings["Limits"] = {{"MaxFds", layout_.open_files + platform_descriptors}};
    if (is_control(name)) {
        settings["ListenAddrs"] = {{"Control", with_port(ip, control_port)}};
        settings["DataDir"] = layout_.folder + "/" + name;
    } else {
        settings["ListenAddrs"] = {{"Front", with_port(ip, callers_port)},
                                   {"Ready", with_port(ip, ready_port)}};
    }
    std::ofstream(layout_.folder + "/" + name + ".json") << json::serialize(settings);
}

void process_fleet::start_all() {
    for (const auto& name : names())
        start(name, true);
}

void process_fleet::start(const std::string& name, bool first_start) {
    write_settings(name, first_start);
    std::filesystem::create_directories(layout_.folder + "/" + name);
    auto program =
        layout_.programs + (is_control(name) ? "/platform-controld" : "/platform-entryd");
    auto variable = "CLEMENTINEROAD_CONFIG=" + layout_.folder + "/" + name + ".json";
    const auto log = layout_.folder + "/" + name + ".log";
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_addopen(&actions, 1, log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    posix_spawn_file_actions_adddup2(&actions, 1, 2);
    std::array<char*, 2> arguments{program.data(), nullptr};
    std::array<char*, 2> environment{variable.data(), nullptr};
    pid_t pid = 0;
    if (::posix_spawn(&pid, program.c_str(), &actions, nullptr, arguments.data(),
                      environment.data()) == 0) {
        pids_[name] = pid;
        const rlimit limit{layout_.open_files, layout_.open_files};
        if (is_control(name) && layout_.open_files > 0)
            ::prlimit(pid, RLIMIT_NOFILE, &limit, nullptr);
    }
    posix_spawn_file_actions_destroy(&actions);
}

bool process_fleet::signal(const std::string& name, int number) {
    const auto found = pids_.find(name);
    return found != pids_.end() && ::kill(found->second, number) == 0;
}

int process_fleet::reap(const std::string& name) {
    const auto found = pids_.find(name);
    if (found == pids_.end())
        return 0;
    int status = 0;
    ::waitpid(found->second, &status, 0);
    pids_.erase(found);
    return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
}

bool process_fleet::has_exited(const std::string& name) {
    const auto found = pids_.find(name);
    if (found == pids_.end() || ::waitpid(found->second, nullptr, WNOHANG) == 0)
        return false;
    pids_.erase(found);
    return true;
}

time_ms process_fleet::cpu_time(const std::string& name) const {
    const auto found = pids_.find(name);
    if (found == pids_.end())
        return 0;
    // Fields 14 and 15 are the clock ticks spent in user and in kernel mode.
    constexpr int user_ticks = 14;
    std::ifstream file("/proc/" + std::to_string(found->second) + "/stat");
    std::string skipped;
    for (int i = 1; i < user_ticks; ++i)
        file >> skipped;
    time_ms user = 0;
    time_ms kernel = 0;
    file >> user >> kernel;
    constexpr time_ms ms_per_second = 1'000;
    return (user + kernel) * ms_per_second / ::sysconf(_SC_CLK_TCK);
}

void process_fleet::wipe_data(const std::string& name) const {
    std::filesystem::remove_all(layout_.folder + "/" + name);
}

} // namespace clementine::process_soak
