// The replicated state machine: applies committed commands in log order, identically on each
// replica.
#pragma once

#include "store/types.h"

#include <string>
#include <string_view>
#include <unordered_map>

namespace clementine::store {

// Not thread-safe. Deterministic: uses no clock and no random numbers; times come with the
// commands.
class state_machine {
  public:
    // Applies the command in the data of one committed entry.
    apply_result apply(std::string_view data);
    // Returns a snapshot of the whole state.
    std::string save() const;
    // Replaces the state by a snapshot; empty data is the initial state. False if the snapshot is
    // malformed; the state is then unchanged.
    bool load(std::string_view snapshot);

    const state& current() const { return state_; }

  private:
    apply_result apply_once(const apply_decisions& round);
    template <class Change>
    apply_result apply_once(const Change& change);
    apply_result apply_command(const set_manifest& change);
    apply_result apply_command(const set_maintenance& change);
    void reconfigure_fleet();
    void apply_maintenance_mode();
    const request_record* find_request(const std::string& request_id) const;
    void record_request(const std::string& request_id, std::uint64_t digest, request_result result);
    void expire_requests();

    state state_;
    // Number of records removed from the front of `state_.requests`; keeps request_positions_
    // valid.
    std::uint64_t dropped_requests_ = 0;
    // By request id: index in `state_.requests` + dropped_requests_.
    std::unordered_map<std::string, std::uint64_t> request_positions_;
};

} // namespace clementine::store
