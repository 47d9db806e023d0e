#include "command_line.h"

#include "base/version.h"

#include <boost/program_options.hpp>

#include <iostream>

namespace clementine {

std::variant<command_line, int> parse_command_line(const program_text& program, int argc,
                                                   char** argv) {
    namespace options = boost::program_options;
    command_line arguments;
    options::options_description all(program.name + ' ' + program.purpose + "\n\nOptions");
    auto add = all.add_options();
    add("settings", options::value(&arguments.settings)->value_name("FILE"), "settings file");
    add("check-settings", options::bool_switch(&arguments.check_settings),
        "check the settings file and exit");
    add("first-start", options::bool_switch(&arguments.first_start), program.first_start.c_str());
    add("help", "print this text");
    add("version", "print the version");
    try {
        options::variables_map values;
        options::store(options::parse_command_line(argc, argv, all), values);
        options::notify(values);
        if (values.contains("help")) {
            std::cout << all;
            return 0;
        }
        if (values.contains("version")) {
            std::cout << program.name << ' ' << version_text << '\n';
            return 0;
        }
    } catch (const options::error& error) {
        std::cerr << program.name << ": " << error.what() << '\n';
        return exit_usage;
    }
    if (arguments.settings.empty()) {
        std::cerr << program.name << ": --settings FILE is required; see --help\n";
        return exit_usage;
    }
    return arguments;
}

} // namespace clementine
