// Divides the file descriptors of a process among its uses, so that their limits add up to what the
// process may open. Pure functions.
//
// Load pattern: a surge on a deployment of hundreds of workers opens several connections to each,
// while VMs that move end their workers and leave connections behind, and operators and workers
// call. If each use has a limit of its own, their sum exceeds what the process may open, and the
// one that fails is whichever comes next, such as the replicated log.
#pragma once

#include <cstddef>

namespace clementine::control {

// Numbers of descriptors.
struct descriptor_budget {
    std::size_t storage = 0;  // files of the replicated log, held in reserve
    std::size_t process = 0;  // event loop, standard streams, listening sockets, log
    std::size_t links = 0;    // connections between nodes
    std::size_t requests = 0; // connections of operators, workers and metrics readers
    std::size_t workers = 0;  // connections to workers and to the platform's services

    std::size_t total() const { return storage + process + links + requests + workers; }
};

// Fewest descriptors with which a control node can work.
inline constexpr std::size_t min_descriptors = 256;

// Plans for `available` descriptors; fewer than min_descriptors are planned for as if they were
// that many.
descriptor_budget plan_descriptors(std::size_t available);

// Soft limit of this process on open files.
std::size_t open_file_limit();
// Number of open files of this process; 0 if it cannot be read.
std::size_t count_open_files();

} // namespace clementine::control
