// Command line parsing of the stand-in programs.
#pragma once

#include <boost/program_options/options_description.hpp>

namespace standin {

// Stores the arguments in the variables that `known` refers to. Prints the help text and returns
// false if --help is given. Throws boost::program_options::error on invalid arguments.
bool read_arguments(boost::program_options::options_description& known, int argc, char** argv);

} // namespace standin
