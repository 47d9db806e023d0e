// Plans moves of VMs between pools. A move goes through draining, empty_confirmed and the
// reassignment; until the reassignment the VM belongs to its old pool.
#pragma once

#include "scheduler/demand.h"
#include "scheduler/observations.h"

#include <string>
#include <unordered_map>
#include <vector>

namespace clementine::scheduler {

// Lending rules derived from the weights in the manifest's objective; see docs/scheduling.md.
struct pool_policy {
    bool rotate = false;        // move VMs ahead of forecast surges, release them in between
    time_ms shortage_delay = 0; // wait before covering a shortage that was not forecast
    time_ms surplus_delay = 0;  // wait before returning a surplus
    double late_share = 0.1;    // accepted share of surges that start before their VMs arrive
};

// Chooses a policy by comparing the costs of a VM that moves in and out for each surge, of one that
// stays, and of one that is missing. The arguments are the typical time between surges and their
// typical length. `rotates` is the current choice; switching requires a clear gain, which prevents
// oscillation.
pool_policy make_policy(const manifest::objective& weights, double gap_ms, double surge_length_ms,
                        bool rotates);

class pool_planner {
  public:
    explicit pool_planner(const state& s);

    void observe(const pool_demand& demand, time_ms now);
    // Appends decisions to `out` and withdraws the VMs they use from `view`.
    void decide(const state& s, fleet_view& view, const observations& observed, time_ms now,
                std::vector<decision>& out);
    // Explains the current size of a pool.
    std::string explain(const state& s, pool_id pool) const;
    // Target number of VMs of a pool, from the last round.
    std::uint32_t target(pool_id pool) const { return targets_[pool].vms; }
    // True while a pool is in a surge or prepares for one.
    bool needs_capacity(pool_id pool, std::uint32_t home_size) const;
    std::size_t bytes() const;

  private:
    enum class target_reason { surge, forecast, sustained, home };
    struct pool_target {
        std::uint32_t vms = 0;
        target_reason reason = target_reason::home;
        time_ms needed_at = 0; // for forecasts
        time_ms missing_since = 0;
        time_ms surplus_since = 0;
        bool predictable = false; // takes part in the rotation: its surges can be forecast
    };
    struct round;

    void update_policy(const state& s);
    void update_targets(const state& s, const fleet_view& view, time_ms now);
    bool ends_soon(const demand_model& model, time_ms now) const;
    void set_target(const state& s, pool_id pool, time_ms now);
    void advance_moves(round& r);
    void measure_moves(const fleet_view& view, time_ms now);
    void fill_shortage(round& r, pool_id pool);
    void release_surplus(round& r, pool_id pool);
    void update_buffer(round& r);
    std::uint32_t missing_vms(const fleet_view& view, pool_id pool) const;
    std::uint32_t surplus_vms(const fleet_view& view, pool_id pool) const;
    std::uint32_t move_open_vms(round& r, pool_id pool, std::uint32_t count);
    std::uint32_t move_surplus_vms(round& r, pool_id pool, std::uint32_t count);
    std::uint32_t move_serving_vms(round& r, pool_id from, pool_id to, bool serve,
                                   std::uint32_t count);
    bool start_move(round& r, vm_id vm, pool_id to, bool serve, const std::string& reason);
    time_ms lead_time(bool open) const;
    std::string reason_for(const state& s, pool_id pool) const;

    struct started_move {
        time_ms at = 0;
        bool open = false; // the VM was open and had no requests to drain
    };

    std::vector<demand_model> models_;
    surge_sequence sequence_;
    std::vector<pool_target> targets_;
    pool_policy policy_;
    std::unordered_map<vm_id, started_move> pending_moves_;
    recent_values open_moves_;    // move times of open VMs until they serve, in ms
    recent_values serving_moves_; // likewise for VMs that had to drain first
};

} // namespace clementine::scheduler
