#include "control/retry_policy.h"

#include <algorithm>

namespace clementine::control {

time_ms retry_pause(unsigned declined, double random) {
    auto nominal = first_retry_pause;
    for (unsigned i = 1; i < declined && nominal < max_retry_pause; ++i)
        nominal *= 2;
    nominal = std::min(nominal, max_retry_pause);
    const double factor = 1.0 - retry_jitter + 2.0 * retry_jitter * random;
    return static_cast<time_ms>(static_cast<double>(nominal) * factor);
}

bool leaves_time_for_an_answer(time_ms now, time_ms deadline) {
    return now + min_answer_time <= deadline;
}

call_admission admit_call(std::size_t overdue, std::size_t held) {
    if (overdue < late_leader_calls)
        return call_admission::send;
    return held < max_held_calls ? call_admission::hold : call_admission::refuse;
}

} // namespace clementine::control
