// The commands of clementinectl, separate from its main function so that tests can call them.
#pragma once

#include <ostream>
#include <string>
#include <vector>

namespace clementine::control {

// Exit codes of clementinectl (design 4.1).
enum class exit_code {
    done = 0,
    failed = 1,
    usage = 2,
    invalid_manifest = 3,
    version_conflict = 4,
    unreachable = 5,
    timeout = 6
};

// Runs one command line, given without the program name. Returns the exit code.
int run_operator_cli(const std::vector<std::string>& arguments, std::ostream& out,
                     std::ostream& errors);

} // namespace clementine::control
