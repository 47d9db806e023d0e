// Commands, results and state of the replicated state machine as plain structs.
#pragma once

#include "base/clock.h"
#include "base/names.h"
#include "scheduler/state.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace clementine::store {

// The latest request records, which are kept at any age; others are kept for request_retention.
inline constexpr std::size_t min_request_records = 10'000;
inline constexpr time_ms request_retention{24 * 3'600'000};
// A load of 10,000 changes a day needs 10,000 records. Beyond this limit changes are refused, so
// that a faulty client cannot grow the state without bound.
inline constexpr std::size_t max_request_records = 100'000;
// Maximum number of accepted manifest versions in the history.
inline constexpr std::size_t max_history_records = 1'000;
// Maximum manifest size; the command that holds it stays below consensus::max_entry_bytes.
inline constexpr std::size_t max_manifest_bytes = 500 * 1024;
inline constexpr std::size_t max_request_id_bytes = 128;

enum class maintenance_mode { running, paused };

inline constexpr name_table<2> maintenance_mode_names{"running", "paused"};
constexpr const auto& names_of(maintenance_mode) {
    return maintenance_mode_names;
}

// Replaces the manifest if `base_version` is the current version. The text is validated before it
// is proposed.
struct set_manifest {
    std::string request_id;
    std::uint64_t base_version = 0;
    std::string text;
    time_ms leader_time = 0; // wall clock of the proposing leader, ms since 1970
};

// Starts or pauses planned maintenance.
struct set_maintenance {
    std::string request_id;
    maintenance_mode mode = maintenance_mode::paused;
    time_ms leader_time = 0;
};

// Decisions of the leader's scheduler, encoded by scheduler::encode_decision. One entry holds all
// decisions of a round, so that a round costs one disk sync.
struct apply_decisions {
    std::vector<std::string> decisions;
    time_ms leader_time = 0;
};

using command = std::variant<set_manifest, set_maintenance, apply_decisions>;

struct accepted {
    std::uint64_t version = 0;
    bool operator==(const accepted&) const = default;
};

// The base version was not the current one. Holds the current version and the request that set it.
struct version_conflict {
    std::uint64_t version = 0;
    std::string request_id;
    bool operator==(const version_conflict&) const = default;
};

// A command that creates no manifest version was applied.
struct done {
    bool operator==(const done&) const = default;
};

// The request id belongs to an earlier command with different content.
struct request_id_reused {
    bool operator==(const request_id_reused&) const = default;
};

// The request table is full, and its records are younger than request_retention.
struct too_many_requests {
    bool operator==(const too_many_requests&) const = default;
};

// The entry holds no command known to this version. It changes nothing on any replica.
struct unknown_command {
    bool operator==(const unknown_command&) const = default;
};

// Results that are stored under a request id and returned for a resend.
using request_result = std::variant<accepted, version_conflict, done>;
using apply_result = std::variant<accepted, version_conflict, done, request_id_reused,
                                  too_many_requests, unknown_command>;

struct manifest_version {
    std::uint64_t version = 0; // 0 before the first manifest
    std::string request_id;
    std::string text;
};

struct request_record {
    std::string request_id;
    std::uint64_t digest = 0; // hash of the command without its time
    time_ms accepted_at = 0;
    request_result result;
};

struct history_record {
    std::uint64_t version = 0;
    std::uint64_t base_version = 0;
    std::string request_id;
    time_ms accepted_at = 0;
    std::uint64_t bytes = 0;
};

struct maintenance_state {
    maintenance_mode mode = maintenance_mode::running;
    std::string request_id; // of the last change; empty before the first
    time_ms changed_at = 0;
};

struct state {
    time_ms leader_time = 0; // latest leader time seen; never decreases
    manifest_version manifest;
    std::deque<request_record> requests; // oldest first
    std::deque<history_record> history;  // oldest first
    maintenance_state maintenance;
    // VMs, pools, jobs and maintenance; nullopt before the first manifest.
    std::optional<scheduler::state> fleet;
    // Number of decisions and reconfigurations applied; used as the fencing index.
    std::uint64_t decision_count = 0;
};

} // namespace clementine::store
