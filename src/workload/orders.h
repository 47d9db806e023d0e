// Orders that the leader sends to workers and to the platform, and the answers to them.
#pragma once

#include "workload/types.h"

#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace clementine::workload {

// Starts a run. Idempotent: a run that already exists is left unchanged.
struct start_order {
    worker_ref worker;
    std::string address;
    task_id task;
    std::uint32_t run = 0;
    std::string payload;
    time_ms lease_until{0}; // end of the lease of the whole worker, on the worker's clock
    std::uint64_t fence = 0;
    std::string checkpoint; // empty to start from the beginning
    std::string ticket;     // from the advice service; empty if not needed
};

// Stops a run, and bars its start if that has not arrived yet.
struct stop_order {
    worker_ref worker;
    std::string address;
    task_id task;
    std::uint32_t run = 0;
    std::uint64_t fence = 0;
};

// Requests a worker's lists, extends its lease and acknowledges ends.
struct hold_order {
    worker_ref worker;
    std::string address;
    std::uint64_t fence = 0;
    std::uint64_t last_seen = 0;        // ends up to this number are acknowledged; 0 for none
    std::optional<time_ms> lease_until; // new end of the lease, on the worker's clock
    time_ms wait{0}; // longest time the worker may delay the answer to wait for an end
};

// Limits a best-effort run to a share of its processor time.
struct pace_order {
    worker_ref worker;
    std::string address;
    task_id task;
    std::uint32_t run = 0;
    int percent = 100;
    std::uint64_t fence = 0;
};

// Asks the advice service which of the named workers may run a step.
struct advise_order {
    task_id step; // any task of the step
    std::vector<std::string> workers;
    time_ms timeout{0}; // timeout of the answer, including calls queued before it
    std::uint64_t fence = 0;
};

struct list_vms_order {
    time_ms requested_at{0}; // the answer describes this time or a later one
};

// Moves a VM to another pool; its runs end at once.
struct move_order {
    std::string vm;
    std::string pool;
    std::uint64_t fence = 0;
};

// Takes a VM down for maintenance (upkeep); its runs end at once.
struct upkeep_order {
    std::string vm;
    std::uint64_t wave = 0;
    std::uint64_t fence = 0;
};

using order = std::variant<start_order, stop_order, hold_order, pace_order, advise_order,
                           list_vms_order, move_order, upkeep_order>;

// A worker that may run a step, with the ticket that its start requires.
struct placement_ticket {
    std::string worker;
    std::string ticket;
};

enum class order_answer {
    done,
    not_sent,   // no connection in time: the order was not carried out
    no_answer,  // the order may have been carried out, or may be later
    fenced,     // a newer leader has sent orders
    superseded, // that run or a later one was stopped or has ended
    late,       // the lease in the order had expired
    no_room,
    no_ticket,
    unhealthy,  // the worker declined all work and carried out nothing
    other_life, // another life of the worker answered
    busy,       // the VM is not up or is about to leave
    other_wave, // the VM is not part of that wave
    overloaded, // too many calls to the platform
    invalid,
    undelivered, // lost inside this system: nothing is known about the worker
    refused      // nothing listens at the address: the order was not carried out
};

inline constexpr name_table<16> order_answer_names{
    "done",       "not-sent",  "no-answer",   "fenced",     "superseded", "late",
    "no-room",    "no-ticket", "unhealthy",   "other-life", "busy",       "other-wave",
    "overloaded", "invalid",   "undelivered", "refused"};
constexpr const auto& names_of(order_answer) {
    return order_answer_names;
}

} // namespace clementine::workload
