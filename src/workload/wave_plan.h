// Plans which VMs of a maintenance wave go down now, and which long-running tasks leave VMs that
// are due before that. Pure functions.
//
// Load pattern: a wave over two fifths of a fleet, most of whose VMs hold tasks of several
// long-running steps, while pools surge in turn. A step may lack only a few tasks at a time, and
// each needs a second or more to be at work elsewhere. A VM that goes down with all its tasks needs
// room in the limits of all its steps at once, so such VMs follow each other nearly one by one.
// Tasks that leave one by one need room in the limit of their own step only.
#pragma once

#include "workload/resources.h"
#include "workload/types.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <tuple>
#include <vector>

namespace clementine::workload {

// Job, occurrence and number of a step.
using step_key = std::tuple<std::string, std::uint32_t, std::uint32_t>;

// A long-running step with an availability limit.
struct limited_step {
    std::uint32_t unavailable = 0;
    std::uint32_t max_unavailable = 1;
    std::string required_label;
    bool gang = false;       // its tasks run only together, so none leaves alone
    std::uint32_t count = 1; // of its tasks
    std::uint32_t max_per_worker = 0;
};

// A run of a limited step on a due VM.
struct limited_run {
    step_key step;
    resources need;
    bool available = false;
    bool leaving = false;  // it is being stopped, and will need room elsewhere
    bool has_room = false; // which an earlier plan has kept for it
};

// A VM that may be ordered down now.
struct due_vm {
    std::size_t runs = 0; // of all kinds
    bool has_short_runs = false;
    bool answers = true; // its worker answers; true if it has none
    std::string pool;
    std::vector<limited_run> limited;
    std::string kind;
    std::string rack;
    resources room;             // for long-running tasks; nothing if it accepts no runs
    time_ms short_runs_left{0}; // until its short runs are expected to have ended
    time_ms reserved_for{0};    // age of its reservation; 0 if it is not reserved
    bool reservable = true;     // false for some time after a reservation was given up
};

// A worker that accepts runs and whose VM is not due in any wave.
struct wave_target {
    std::string pool;
    std::string kind;
    std::string rack;
    resources free;           // now
    resources free_of_short;  // once its short runs have ended
    std::set<step_key> steps; // that have a task there, or are about to
};

struct wave_situation {
    std::vector<due_vm> due;
    std::map<step_key, limited_step> steps; // of all `limited` runs
    std::vector<wave_target> targets;
    std::uint32_t down = 0; // VMs of the wave that are down or ordered down
    std::uint32_t max_down = 1;
    bool shortage = false;  // a pool lacks capacity
    time_ms time_left{0};   // until the last VM should be back
    time_ms time_per_vm{0}; // from the order until the VM is back
};

struct evacuation {
    std::size_t vm = 0;  // index in `due`
    std::size_t run = 0; // index in its `limited`
};

// Room that a target keeps for a run until it has started again.
struct room_claim {
    std::size_t vm = 0;     // index in `due`
    std::size_t run = 0;    // index in its `limited`
    std::size_t target = 0; // index in `targets`
};

struct wave_actions {
    std::vector<room_claim> claims; // of leaving runs that had no room yet, and of `evacuations`
    // Processor of runs that may leave now and have no room elsewhere, by pool.
    std::map<std::string, std::int64_t> lacking_cpu;
    std::vector<std::size_t> go_down;    // indices in `due`
    std::vector<std::size_t> reserve;    // to go down once their short runs have ended
    std::vector<std::size_t> give_up;    // reserved in vain: they accept runs for some time
    std::vector<evacuation> evacuations; // runs to stop, to start again elsewhere
};

// A reserved VM accepts no runs. What the VM waits for may never come, so a reservation that leads
// to no order is given up: after this time if the limit of a step does not allow the order,
inline constexpr time_ms max_blocked_reservation{2'500};
// and after this time if short runs have not ended.
inline constexpr time_ms max_short_run_reservation{8'000};
// Time for which the VM then accepts runs again.
inline constexpr time_ms reservation_pause{1'000};

// Least time in which all runs of each step can leave the due VMs.
std::map<step_key, time_ms> chain_times(const wave_situation& in);

wave_actions plan_wave(wave_situation in);

} // namespace clementine::workload
