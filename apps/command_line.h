// Command line shared by the daemons.
#pragma once

#include <string>
#include <variant>

namespace clementine {

inline constexpr int exit_failed = 1;
inline constexpr int exit_usage = 2;

struct command_line {
    std::string settings; // path of the settings file; never empty
    bool check_settings = false;
    bool first_start = false;
};

// Texts of a daemon for --help.
struct program_text {
    std::string name;
    std::string purpose;
    std::string first_start; // meaning of --first-start
};

// Returns the arguments, or the exit code if the program must not run: after --help, --version or a
// usage error, which is printed.
std::variant<command_line, int> parse_command_line(const program_text& program, int argc,
                                                   char** argv);

} // namespace clementine
