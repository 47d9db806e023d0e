#include "consensus/progress.h"

#include <algorithm>

namespace clementine::consensus {

void progress::on_accepted(index_t index) {
    match = std::max(match, index);
    if (state == progress_state::snapshot)
        return;
    while (!inflight.empty() && inflight.front() <= match)
        inflight.pop_front();
    // A reply to an earlier message does not complete the current probe.
    if (state == progress_state::probe && index + 1 >= next) {
        state = progress_state::replicate;
        probe_in_flight = false;
        next = match + 1;
    }
    next = std::max(next, match + 1);
}

void progress::on_rejected(index_t next_index) {
    state = progress_state::probe;
    probe_in_flight = false;
    inflight.clear();
    next = std::max(next_index, match + 1);
}

void progress::start_snapshot(std::shared_ptr<const snapshot> snap, std::uint32_t checksum) {
    state = progress_state::snapshot;
    inflight.clear();
    probe_in_flight = false;
    transfer = {std::move(snap), checksum, 0, never};
}

void progress::end_snapshot(index_t index) {
    transfer = {};
    state = progress_state::probe;
    probe_in_flight = false;
    match = std::max(match, index);
    next = match + 1;
}

} // namespace clementine::consensus
