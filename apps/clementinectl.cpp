// clementinectl: command-line client for operators. See --help for its commands.
#include "control/operator_cli.h"

#include <iostream>
#include <string>
#include <vector>

int main(int argc, char** argv) {
    const std::vector<std::string> arguments(argv + 1, argv + argc);
    return clementine::control::run_operator_cli(arguments, std::cout, std::cerr);
}
