// Starts the platform's programs as processes on loopback addresses, and stops, pauses, kills and
// restarts them by signals. Ends only what it started, by process id.
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
    std::string programs; // folder of the programs
    std::string folder;   // settings, data and logs
    std::string network;  // first two parts of the addresses, such as "127.50"
    int controls = 5;
    int entries = 2;
};

class process_fleet {
  public:
    explicit process_fleet(fleet_layout layout);
    process_fleet(const process_fleet&) = delete;
    process_fleet& operator=(const process_fleet&) = delete;
    // Kills what still runs.
    ~process_fleet();

    std::vector<std::string> names() const;
    std::string control_address(int index) const;
    std::string entry_address(int index) const;
    void start_all();
    void start(const std::string& name, bool first_start);
    // Sends a signal to a process that runs; false if it does not.
    bool signal(const std::string& name, int number);
    // Waits for the end of a process that was told to end; its exit code, or -1 if it was killed.
    int reap(const std::string& name);
    // True if the process has ended without being told to.
    bool has_ended(const std::string& name);
    bool is_running(const std::string& name) const { return pids_.contains(name); }
    // Processor time that a process has used so far; 0 if it does not run.
    time_ms processor_time(const std::string& name) const;
    void wipe(const std::string& name) const;

  private:
    std::string ip_of(const std::string& name) const;
    void write_settings(const std::string& name, bool first_start) const;

    fleet_layout layout_;
    std::map<std::string, pid_t> pids_;
};

} // namespace clementine::process_soak
