// The latest report of each VM and the worker leases granted by the current leader. Not replicated:
// a new leader starts empty and treats every VM as unavailable until it reports.
#pragma once

#include "scheduler/platform.h"
#include "scheduler/state.h"

#include <vector>

namespace clementine::scheduler {

// A VM without a report for this long counts as down. Reports are sent every second and may be
// delayed.
inline constexpr time_ms report_timeout{4'000};

class observations {
  public:
    // `start` is the time from which this leader holds the leader lease. Previous leaders may have
    // granted worker leases until then.
    observations(std::size_t vms, time_ms start);

    // Stores a report. Returns false if it is not newer than the last one or the VM is unknown.
    bool record(const vm_report& report, time_ms now);
    void record_grant(vm_id vm, time_ms now) { entries_[vm].granted_at = now; }

    const vm_report& report(vm_id vm) const { return entries_[vm].report; }
    bool has_report(vm_id vm) const { return entries_[vm].has_report; }
    bool up(vm_id vm, time_ms now) const;
    // True if the worker's lease has expired even by the worker's own clock.
    bool lease_expired(vm_id vm, time_ms now) const;
    time_ms last_grant(vm_id vm) const { return entries_[vm].granted_at; }
    std::size_t bytes() const;

  private:
    struct entry {
        vm_report report;
        time_ms received_at = 0;
        time_ms granted_at = 0;
        bool has_report = false;
    };

    std::vector<entry> entries_;
};

// VM counts of one pool in one round.
struct pool_view {
    std::uint32_t serving = 0;  // ready for requests
    std::uint32_t starting = 0; // up but not ready yet
    std::uint32_t down = 0;
    std::uint32_t incoming = 0; // VMs moving to this pool to serve
    std::uint32_t in_maintenance = 0;
    std::uint32_t lent = 0; // VMs with this home that are lent or about to be
};

// View of the fleet in one round. A planner that withdraws a VM records it here, so that the
// planners after it see it at once. Construction is linear in the number of VMs.
class fleet_view {
  public:
    fleet_view(const state& s, const observations& observed, time_ms now);

    const pool_view& pool(pool_id id) const { return pools_[id]; }
    pool_view& pool(pool_id id) { return pools_[id]; }
    // True if the VM is ready for requests of its pool.
    bool serving(vm_id id) const { return serving_[id]; }
    bool up(vm_id id) const { return up_[id]; }
    // True if the VM's pool keeps its availability budget without this VM even if the availability
    // zone with most of the pool's VMs fails. Reports lag by seconds, so a whole zone may be lost
    // before any report shows it. A pool that is too small for that margin at full size allows for
    // the loss of one VM instead, because it could never be maintained otherwise.
    bool may_withdraw(vm_id id) const;
    // Serving VMs of a pool in one availability zone.
    std::uint32_t serving_in_zone(pool_id pool, std::uint16_t zone) const {
        return zone_serving_[pool * s_.zones.size() + zone];
    }
    // Makes a VM unavailable to other planners for the rest of the round.
    void withdraw(vm_id id);
    bool withdrawn(vm_id id) const { return withdrawn_[id]; }
    const std::vector<vm_id>& moving() const { return moving_; }
    const std::vector<vm_id>& in_maintenance() const { return in_maintenance_; }

  private:
    void add(vm_id id, const observations& observed, time_ms now);
    std::uint32_t max_zone_serving_without(vm_id id) const;

    const state& s_;
    std::vector<pool_view> pools_;
    std::vector<std::uint32_t> zone_serving_; // by pool and zone
    std::vector<bool> serving_;
    std::vector<bool> up_;
    std::vector<bool> withdrawn_;
    std::vector<vm_id> moving_;
    std::vector<vm_id> in_maintenance_;
};

} // namespace clementine::scheduler
