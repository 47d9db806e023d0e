// Plain data shared by the request path: admissions, slots, announcements and ticks.
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

// What a caller learns about its request.
enum class request_outcome { answered, not_run, unknown };

inline constexpr name_table<3> request_outcome_names{"answered", "not-run", "unknown"};
constexpr const auto& names_of(request_outcome) {
    return request_outcome_names;
}

// Why a request was not admitted. Every refusal means "not run".
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

// A request that wants a slot.
struct admission {
    std::uint64_t request_id = 0;
    std::string service;
    std::string workspace;
    time_ms deadline = 0;           // absolute, on the clock passed to the dispatcher
    std::vector<std::string> avoid; // backend servers that this request has tried
};

// Permission to send one request to one backend server. Must be released exactly once.
struct slot {
    std::uint64_t id = 0;
    std::string service;
    std::string backend_server;
    std::string instance; // process start of the backend server
    std::string address;
    unsigned short port = 0;
};

using admission_result = std::variant<slot, refusal>;
using admission_handler = std::function<void(admission_result)>;

// How an attempt on a slot ended.
enum class attempt_result {
    answered, // whole answer, status below 500
    failed,   // whole answer, status 500 or above
    not_run,  // refused connection, or the backend server said "not run"
    lost,     // cut, timed out or broken answer
    abandoned // the caller went away; says nothing about the backend server
};

inline constexpr name_table<5> attempt_result_names{"answered", "failed", "not-run", "lost",
                                                    "abandoned"};
constexpr const auto& names_of(attempt_result) {
    return attempt_result_names;
}

// Body of an announcement or renewal by a backend server.
struct announcement {
    std::string id;
    std::string service;
    std::string address;
    unsigned short port = 0;
    int slots = 0;
    int connections = 0;
    std::string availability_zone;
    std::string instance;
    std::optional<int> busy; // requests in progress, if the backend server reports it
    std::string token;       // token of the former answer; empty at first
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
    std::string home;   // entryd id; for a redirect the live home
    server_state state = server_state::unknown;
    std::string token;
    time_ms renew_ms{500}; // when to renew; sooner while the lease has not begun
    int in_flight = 0;     // requests in progress over all entryds, as far as the home knows
};

// Reply that refuses an announcement.
inline announce_reply refuse(announce_status status, std::string reason) {
    announce_reply reply;
    reply.status = status;
    reply.reason = std::move(reason);
    return reply;
}

// One entryd's use of one backend server, as reported to a home of it. Epoch 0 withdraws the
// report.
struct share_report {
    std::string backend_server;
    std::uint64_t epoch = 0; // above the home's epoch if the sender has seen a newer claim
    int held = 0;            // slots of a valid share that another home or epoch granted
    int in_use = 0;          // requests in progress, if above the share or the server is leaving

    bool operator==(const share_report&) const = default;
};

// What a home says about a share.
enum class grant_kind {
    claim,  // the sender is the home but does not know the receiver's share yet
    extend, // the receiver keeps what it holds, at most `slots`, under the new home
    grant,  // the receiver may use `slots`
    gone    // the sender is no longer the home
};

inline constexpr name_table<4> grant_kind_names{"claim", "extend", "grant", "gone"};
constexpr const auto& names_of(grant_kind) {
    return grant_kind_names;
}

// Slots granted by the home to the receiver of the tick. The details from `instance` to
// `availability_zone` are left out once the receiver has confirmed them.
struct share_grant {
    std::string backend_server;
    grant_kind kind = grant_kind::grant;
    std::uint64_t epoch = 0;
    int slots = 0;
    int connections = 0;
    bool leaving = false;
    bool lapsing = false;  // not extended, because the home's own lease runs out
    bool released = false; // the home is draining and waits for another one to take over
    std::string service;
    std::string instance;
    std::string address;
    unsigned short port = 0;
    std::string availability_zone;

    bool operator==(const share_grant&) const = default;
};

// Demand of one entryd for one service; peaks of the last half second on a coarse scale.
struct service_demand {
    std::string service;
    int queued = 0;
    int in_use = 0;

    bool operator==(const service_demand&) const = default;
};

// Message between two entryds, in both directions. The three lists hold only the items that the
// receiver has not confirmed yet; all other items stay as they were.
struct entry_tick {
    std::string sender;
    std::uint64_t boot = 0;            // of the sender's process
    std::uint64_t sequence = 0;        // of the sender, rises with each tick to this receiver
    std::uint64_t base = 0;            // the receiver must have applied the sender's tick `base`
    std::uint64_t echoed_boot = 0;     // boot of the receiver as known to the sender
    std::uint64_t echoed_sequence = 0; // highest sequence applied from the receiver
    bool draining = false;             // the sender wants no new backend servers
    time_ms valid_for{0};              // life of the sender's shares, from the echoed tick
    std::vector<service_demand> demand;
    std::vector<share_report> held;
    std::vector<share_grant> grants; // shares of servers homed at the sender, for the receiver
};

} // namespace clementine::routing
