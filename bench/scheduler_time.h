// Wall-clock cost of a decision round at several fleet sizes.
#pragma once

namespace clementine::scheduler {

// Prints round times, their ratio to the smallest fleet, and state sizes. Checks no bounds.
void print_round_times();

} // namespace clementine::scheduler
