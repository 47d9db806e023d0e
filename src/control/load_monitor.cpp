#include "control/load_monitor.h"

#include <algorithm>
#include <utility>

namespace clementine::control {

load_monitor::timer::~timer() {
    const auto taken = std::chrono::duration_cast<std::chrono::microseconds>(
        std::chrono::steady_clock::now() - start_);
    auto& item = owner_.current_.work_done.at(static_cast<std::size_t>(kind_));
    ++item.count;
    item.total += taken;
    item.longest = std::max(item.longest, taken);
}

void load_monitor::observe_timer(time_ms due, time_ms now) {
    current_.max_loop_delay = std::max(current_.max_loop_delay, now - due);
}

void load_monitor::observe_commit(time_ms proposed_at, time_ms now) {
    current_.max_commit_delay = std::max(current_.max_commit_delay, now - proposed_at);
}

load_monitor::measurements load_monitor::take() {
    return std::exchange(current_, {});
}

} // namespace clementine::control
