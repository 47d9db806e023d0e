// When a request is sent to the leader, sent again, held back or refused.
//
// Load pattern: a leader that is short of processor time answers late, loses its lease for a moment
// and turns calls away. All other nodes then hold the open requests of their clients. Attempts at a
// fixed rate, repeats of calls that are still queued at the leader, and new calls without a limit
// take the time that the leader needs to renew its lease: the overload outlasts its cause.
// Therefore the pauses between attempts grow, and a node adds calls to the queue of a late leader
// up to a limit only. Further calls are held, because most delays are shorter than the second after
// which a refused client asks again. What was never sent is known not to have run, so that the
// client gets a clear refusal instead of a timeout.
#pragma once

#include "base/clock.h"

#include <cstddef>

namespace clementine::control {

// Pause after an attempt that was declined: doubles from the first to the longest.
inline constexpr time_ms first_retry_pause{25};
inline constexpr time_ms max_retry_pause{200};
// A pause differs from its nominal length by up to this part of it.
inline constexpr double retry_jitter = 0.5;
// Less time than this is not enough for an answer; a commit takes about 15 ms.
inline constexpr time_ms min_answer_time{25};
// The leader is late if this many of this node's calls are overdue.
inline constexpr std::size_t late_leader_calls = 64;
// Requests that a node holds while the leader is late.
inline constexpr std::size_t max_held_calls = 256;

enum class call_admission { send, hold, refuse };

// Pause after the given number of declined attempts, at least 1. `random` is in [0, 1).
time_ms retry_pause(unsigned declined, double random);

// True if an attempt at `now` can be answered by `deadline`.
bool leaves_time_for_an_answer(time_ms now, time_ms deadline);

// Decides on a new request. `overdue` calls are unanswered for longer than the time limit of an
// attempt, `held` requests are not sent.
call_admission admit_call(std::size_t overdue, std::size_t held);

} // namespace clementine::control
