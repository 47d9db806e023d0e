// Data types of the request path: admissions, slots, announcements and ticks.
#pragma once

#include "base/clock.h"
#include "base/names.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace clementine::routing {

// Outcome of a request as reported to its caller.
enum class request_outcome { answered, not_run, unknown };

inline constexpr name_table<3> request_outcome_names{"answered", "not-run", "unknown"};
constexpr const auto& names_of(request_outcome) {
    return request_outcome_names;
}

// Why a request was not admitted. A refused request has not run.
enum class refusal {
    queue_full,
    deadline_unreachable,
    deadline_passed,
    no_backend_server,
    draining
};

inline constexpr name_table<5> refusal_names{"queue-full", "deadline-unreachable",
                                             "deadline-passed", "no-backend-server", "draining"};
constexpr const auto& names_of(refusal) {
    return refusal_names;
}

// A request for a slot.
struct admission {
    std::uint64_t request_id = 0;
    std::string service;
    std::string workspace;
    time_ms deadline = 0;           // absolute time on the dispatcher's clock
    std::vector<std::string> avoid; // backend servers that this request has already tried
};

// Permission to send one request to a backend server. Must be released exactly once.
struct slot {
    std::uint64_t id = 0;
    std::string service;
    std::string backend_server;
    std::string instance; // identifies the process start of the backend server
    std::string address;
    unsigned short port = 0;
};

using admission_result = std::variant<slot, refusal>;
using admission_handler = std::function<void(admission_result)>;

// How an attempt on a slot ended.
enum class attempt_result {
    answered, // complete response, status below 500
    failed,   // complete response, status 500 or above
    not_run,  // connection refused, or the backend server answered "not run"
    lost,     // connection lost, timeout, or incomplete or malformed response
    abandoned // the caller disconnected; says nothing about the backend server
};

inline constexpr name_table<5> attempt_result_names{"answered", "failed", "not-run", "lost",
                                                    "abandoned"};
constexpr const auto& names_of(attempt_result) {
    return attempt_result_names;
}

// Body of an announcement or renewal sent by a backend server.
struct announcement {
    std::string id;
    std::string service;
    std::string address;
    unsigned short port = 0;
    int slots = 0;
    int connections = 0;
    std::string availability_zone;
    std::string instance;
    std::optional<int> busy; // requests in progress, if the backend server reports them
    std::string token;       // token of the previous reply; empty at first
};

enum class announce_status { accepted, redirect, malformed, conflict, unknown_target };

inline constexpr name_table<5> announce_status_names{"accepted", "redirect", "malformed",
                                                     "conflict", "unknown-target"};
constexpr const auto& names_of(announce_status) {
    return announce_status_names;
}

enum class server_state { unknown, waiting, serving, leaving };

inline constexpr name_table<4> server_state_names{"unknown", "waiting", "serving", "leaving"};
constexpr const auto& names_of(server_state) {
    return server_state_names;
}

struct announce_reply {
    announce_status status = announce_status::accepted;
    std::string reason; // set if refused
    std::string home;   // entryd id of the home; in a redirect, the one to announce to
    server_state state = server_state::unknown;
    std::string token;
    time_ms renew_ms{500}; // time until the next renewal; shorter until the lease begins
    int in_flight = 0;     // requests in progress at all entryds, as known to the home
};

// Makes a reply that refuses an announcement.
inline announce_reply refuse(announce_status status, std::string reason) {
    announce_reply reply;
    reply.status = status;
    reply.reason = std::move(reason);
    return reply;
}

// Use of one backend server by one entryd, as reported to its home. Epoch 0 withdraws the report.
struct share_report {
    std::string backend_server;
    std::uint64_t epoch = 0; // above the home's epoch if the sender has seen a higher claim
    int held = 0;            // slots of a valid share granted by another home or epoch
    int in_use = 0; // requests in progress, if more than the share or the server is leaving

    bool operator==(const share_report&) const = default;
};

// Kind of statement that a home makes about a share.
enum class grant_kind {
    claim,  // the sender is the home but does not know the receiver's share yet
    extend, // the receiver keeps the slots it holds, at most `slots`, under the new home
    grant,  // the receiver may use `slots`
    gone    // the sender is no longer the home
};

inline constexpr name_table<4> grant_kind_names{"claim", "extend", "grant", "gone"};
constexpr const auto& names_of(grant_kind) {
    return grant_kind_names;
}

// Slots granted by the home to the receiver of the tick. The details from `service` to
// `availability_zone` are omitted once the receiver has confirmed them.
struct share_grant {
    std::string backend_server;
    grant_kind kind = grant_kind::grant;
    std::uint64_t epoch = 0;
    int slots = 0;
    int connections = 0;
    bool leaving = false;
    bool lapsing = false;  // not extended, because the home's own lease is about to end
    bool released = false; // the home is draining and another one should take over
    std::string service;
    std::string instance;
    std::string address;
    unsigned short port = 0;
    std::string availability_zone;

    bool operator==(const share_grant&) const = default;
};

// Demand of one entryd for one service: peaks of the last 0.5 s for the queue and of the last 2 s
// for slots in use, rounded up to coarse steps.
struct service_demand {
    std::string service;
    int queued = 0;
    int in_use = 0;

    bool operator==(const service_demand&) const = default;
};

// Periodic message between two entryds, sent in both directions. The three lists hold only items
// that the receiver has not confirmed yet; all other items are unchanged.
struct entry_tick {
    std::string sender;
    std::uint64_t boot = 0;            // of the sender's process
    std::uint64_t sequence = 0;        // of the sender, incremented with each tick to this receiver
    std::uint64_t base = 0;            // the receiver must have applied the sender's tick `base`
    std::uint64_t echoed_boot = 0;     // boot of the receiver as known to the sender
    std::uint64_t echoed_sequence = 0; // highest sequence applied from the receiver
    bool draining = false;             // the sender wants no new backend servers
    time_ms valid_for{0}; // validity of the sender's shares, from the send time of the echoed tick
    std::vector<service_demand> demand;
    std::vector<share_report> held;
    std::vector<share_grant> grants; // shares of the receiver at servers homed at the sender
};

} // namespace clementine::routing
