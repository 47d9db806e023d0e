// Structured logging: one line of key=value pairs for each event.
#pragma once

#include "base/names.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace clementine {

enum class log_level { debug, info, warning, error };

inline constexpr name_table<4> log_level_names{"debug", "info", "warning", "error"};
constexpr const auto& names_of(log_level) {
    return log_level_names;
}

// Sends logs to standard output through Boost.Log, with time, level and node on each line. A slow
// reader never delays the process: lines are dropped and counted instead. Each event writes at most
// 300 lines per second; `omitted` on its next line is the number of lines that were left out.
void init_logging(log_level minimum, std::string_view node);

// Writes a line if that does not block. Otherwise counts the line as dropped and returns false.
bool write_line_unless_blocked(int fd, std::string line);
// Number of lines dropped because the reader did not keep up.
std::uint64_t dropped_log_lines();

// Sets the lowest level that is written.
void set_log_level(log_level minimum);

// Builds one line and writes it when destroyed:
//   log_event(log_level::info, "lease_expired").field("backend_server", id).field("epoch", 3);
class log_event {
  public:
    log_event(log_level level, std::string_view event);
    log_event(const log_event&) = delete;
    log_event& operator=(const log_event&) = delete;
    ~log_event();

    log_event& field(std::string_view key, std::string_view value);
    log_event& field(std::string_view key, const char* value);
    log_event& field(std::string_view key, std::int64_t value);
    log_event& field(std::string_view key, std::uint64_t value);
    log_event& field(std::string_view key, int value);
    log_event& field(std::string_view key, unsigned value);
    log_event& field(std::string_view key, double value);
    log_event& field(std::string_view key, bool value);

  private:
    log_level level_;
    std::string line_;
};

// Formats a value for a log line: quoted and escaped unless it consists of printable ASCII
// characters other than blanks, double quotes, backslashes and equals signs.
std::string format_log_value(std::string_view value);

} // namespace clementine
