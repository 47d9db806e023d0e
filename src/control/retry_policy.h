// When a request is sent to the leader again.
//
// Load pattern: a leader that is short of processor time loses its lease for a moment and turns
// calls away. All other nodes then hold the open requests of their clients. Attempts at a fixed
// rate take the time that the leader needs to renew its lease: the overload outlasts its cause.
// Therefore the pauses between attempts grow.
#pragma once

#include "base/clock.h"

namespace clementine::control {

// Pause after an attempt that was declined: doubles from the first to the longest.
inline constexpr time_ms first_retry_pause{25};
inline constexpr time_ms max_retry_pause{200};
// A pause differs from its nominal length by up to this part of it.
inline constexpr double retry_jitter = 0.5;
// Less time than this is not enough for an answer; a commit takes about 15 ms.
inline constexpr time_ms min_answer_time{25};

// Pause after the given number of declined attempts, at least 1. `random` is in [0, 1).
time_ms retry_pause(unsigned declined, double random);

// True if an attempt at `now` can be answered by `deadline`.
bool leaves_time_for_an_answer(time_ms now, time_ms deadline);

} // namespace clementine::control
