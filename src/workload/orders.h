// Orders that the leader gives to workers and to the platform, and how they are answered.
#pragma once

#include "workload/types.h"

#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace clementine::workload {

// Starts a run. Repeating it is harmless: a run that is there already stays as it is.
struct start_order {
    worker_ref worker;
    std::string address;
    task_id task;
    std::uint32_t run = 0;
    std::string payload;
    time_ms until{0}; // lease of everything on the worker, on the worker's clock
    std::uint64_t fence = 0;
    std::string checkpoint; // empty: from the beginning
    std::string ticket;     // from the placement advice; empty: none needed
};

// Stops a run, and bars its start if that is still on its way.
struct stop_order {
    worker_ref worker;
    std::string address;
    task_id task;
    std::uint32_t run = 0;
    std::uint64_t fence = 0;
};

// Asks for a worker's lists, extends its lease and acknowledges ends.
struct hold_order {
    worker_ref worker;
    std::string address;
    std::uint64_t fence = 0;
    std::uint64_t last_seen = 0;  // number of the last end that is in the log
    std::optional<time_ms> until; // new end of the lease, on the worker's clock
    time_ms wait{0};              // the answer waits this long for an end
};

// Limits a filler to a share of its processor time.
struct pace_order {
    worker_ref worker;
    std::string address;
    task_id task;
    std::uint32_t run = 0;
    int percent = 100;
    std::uint64_t fence = 0;
};

// Asks the advice service which of some workers may run a step.
struct advise_order {
    task_id step; // any task of it
    std::vector<std::string> workers;
    time_ms limit{0}; // for the answer, with calls that are before it
    std::uint64_t fence = 0;
};

struct list_vms_order {
    time_ms asked_at{0}; // what the answer says was true then or later
};

// Moves a VM to another pool; what runs on it ends at once.
struct move_order {
    std::string vm;
    std::string pool;
    std::uint64_t fence = 0;
};

// Takes a VM down for upkeep; what runs on it ends at once.
struct upkeep_order {
    std::string vm;
    std::uint64_t wave = 0;
    std::uint64_t fence = 0;
};

using order = std::variant<start_order, stop_order, hold_order, pace_order, advise_order,
                           list_vms_order, move_order, upkeep_order>;

// A worker that may run a step, with the proof that its start needs.
struct placement_ticket {
    std::string worker;
    std::string ticket;
};

enum class order_answer {
    done,
    not_sent,   // no connection: nothing has happened
    no_answer,  // it may have been carried out, or may be later
    fenced,     // a newer leader gave orders before
    superseded, // that run, or a later one, was stopped or ended there
    late,       // the lease in the order had run out
    no_room,
    no_ticket,
    unhealthy,  // the worker declined all work and has done nothing
    other_life, // another life of the worker answered
    busy,       // the VM is not up or about to leave
    other_wave, // the VM is not part of that wave
    overloaded, // too many calls to the platform
    invalid
};

inline constexpr name_table<14> order_answer_names{
    "done",      "not-sent",  "no-answer",  "fenced", "superseded", "late",       "no-room",
    "no-ticket", "unhealthy", "other-life", "busy",   "other-wave", "overloaded", "invalid"};
constexpr const auto& names_of(order_answer) {
    return order_answer_names;
}

} // namespace clementine::workload
