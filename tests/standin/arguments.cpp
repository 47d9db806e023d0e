#include "standin/arguments.h"

#include <boost/program_options.hpp>

#include <iostream>

namespace standin {

bool read_arguments(boost::program_options::options_description& known, int argc, char** argv) {
    namespace options = boost::program_options;
    known.add_options()("help", "print this help text");
    options::variables_map values;
    options::store(options::parse_command_line(argc, argv, known), values);
    if (values.contains("help")) {
        std::cout << known;
        return false;
    }
    options::notify(values);
    return true;
}

} // namespace standin
