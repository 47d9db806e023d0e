// Plans maintenance waves, one failure domain at a time, within the availability budgets.
#pragma once

#include "scheduler/observations.h"

#include <functional>
#include <string>
#include <vector>

namespace clementine::scheduler {

// External inputs of one planning round.
struct maintenance_input {
    int hour = 0;                                // local hour of day, 0 to 23
    std::function<bool(pool_id)> needs_capacity; // true while a pool is in a surge or expects one
};

class maintenance_planner {
  public:
    explicit maintenance_planner(const state& s);

    void decide(const state& s, fleet_view& view, const observations& observed,
                const maintenance_input& input, time_ms now, std::vector<decision>& out);
    // Explains the maintenance phase of a VM, or why its maintenance has not begun.
    std::string explain(const state& s, const fleet_view& view, const maintenance_input& input,
                        vm_id vm, time_ms now) const;

  private:
    struct round;

    void advance_vms(round& r);
    void update_halts(round& r);
    void start_wave(round& r);
    bool start_rack(round& r, std::uint32_t rack);
    std::string blocking_reason(const round& r, vm_id vm) const;

    std::vector<std::vector<vm_id>> racks_;
    std::size_t next_rack_ = 0;
    std::vector<std::uint32_t> accepted_overdue_; // by pool: overdue VMs accepted by a resume
    std::uint32_t accepted_overdue_total_ = 0;
};

} // namespace clementine::scheduler
