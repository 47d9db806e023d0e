// Runs the platform's programs as child processes on loopback addresses and stops, pauses, kills
// and restarts them. Signals go only to its own children, by process id.
#pragma once

#include "base/clock.h"

#include <map>
#include <string>
#include <sys/types.h>
#include <vector>

namespace clementine::process_soak {

inline constexpr unsigned short first_internal_port = 47'510;
inline constexpr unsigned short control_port = 47'530;
inline constexpr unsigned short callers_port = 47'531;
inline constexpr unsigned short ready_port = 47'532;

struct fleet_layout {
    std::string programs; // folder of the executables
    std::string folder;   // settings, data and logs
    std::string network;  // first two octets of the addresses, such as "127.50"
    int controls = 5;
    int entries = 2;
    int tolerated_losses = 1;
    std::size_t open_files = 0; // limit of each control node; 0 for that of this process
};

class process_fleet {
  public:
    explicit process_fleet(fleet_layout layout);
    process_fleet(const process_fleet&) = delete;
    process_fleet& operator=(const process_fleet&) = delete;
    // Kills the processes that still run.
    ~process_fleet();

    std::vector<std::string> names() const;
    std::string control_address(int index) const;
    std::string entry_address(int index) const;
    void start_all();
    void start(const std::string& name, bool first_start);
    // Sends a signal to a process; false if it is not running.
    bool signal(const std::string& name, int number);
    // Waits for a process that was told to stop. Returns its exit code, or -1 if a signal ended it.
    int reap(const std::string& name);
    // True if the process has exited without having been reaped; it is then reaped.
    bool has_exited(const std::string& name);
    bool is_running(const std::string& name) const { return pids_.contains(name); }
    // CPU time that a process has used so far; 0 if it is not running.
    time_ms cpu_time(const std::string& name) const;
    void wipe_data(const std::string& name) const;

  private:
    std::string ip_of(const std::string& name) const;
    void write_settings(const std::string& name, bool first_start) const;

    fleet_layout layout_;
    std::map<std::string, pid_t> pids_;
};

} // namespace clementine::process_soak
