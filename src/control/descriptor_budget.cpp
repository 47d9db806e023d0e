#include "control/descriptor_budget.h"

#include <algorithm>
#include <filesystem>
#include <iterator>
#include <sys/resource.h>
#include <system_error>

namespace clementine::control {

namespace {

// Segment, snapshot and term file with their folder, each twice while one replaces another.
constexpr std::size_t storage_descriptors = 16;
constexpr std::size_t process_descriptors = 32;
// Shares of the rest. Links carry the replicated log and all requests of callers, so they get more
// than the nodes of a deployment need: each node has one link or two to each control node.
constexpr std::size_t links_share_percent = 20;
constexpr std::size_t requests_share_percent = 25;
constexpr std::size_t percent = 100;

} // namespace

descriptor_budget plan_descriptors(std::size_t available) {
    descriptor_budget out;
    out.storage = storage_descriptors;
    out.process = process_descriptors;
    const auto rest = std::max(available, min_descriptors) - out.storage - out.process;
    out.links = rest * links_share_percent / percent;
    out.requests = rest * requests_share_percent / percent;
    out.workers = rest - out.links - out.requests;
    return out;
}

std::size_t open_file_limit() {
    rlimit limit{};
    if (::getrlimit(RLIMIT_NOFILE, &limit) != 0)
        return min_descriptors;
    return static_cast<std::size_t>(limit.rlim_cur);
}

std::size_t count_open_files() {
    std::error_code error;
    const std::filesystem::directory_iterator files("/proc/self/fd", error);
    return error ? 0 : static_cast<std::size_t>(std::distance(begin(files), end(files)));
}

} // namespace clementine::control
