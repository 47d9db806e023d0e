// Selects workers for jobs by observed rather than declared resource use.
#pragma once

#include "scheduler/observations.h"

#include <array>
#include <cstdint>
#include <unordered_map>
#include <vector>

namespace clementine::scheduler {

// Capacity of a worker that placement may assign: all but a small headroom.
resources without_headroom(const resources& capacity);

// Estimates job sizes by the ratio of observed to declared use. The ratio is kept by team, because
// the declarations of one team tend to be wrong by the same factor.
class size_estimates {
  public:
    explicit size_estimates(std::size_t teams) : ratios_(teams) {}

    void observe(const submit_job& job, const resources& used);
    // Expected use of a job: its declared size scaled by its team's ratio.
    resources expected(const submit_job& job) const;

  private:
    struct ratio {
        double millicores = 1;
        double memory = 1;
    };
    std::vector<ratio> ratios_;
};

// Index of the free worker capacity in one round. Workers are in buckets by the power of two of
// their free processors, so that placing a job examines a bounded number of them. Pools are indexed
// on first use, because in most rounds few pools have queued jobs.
class placement_index {
  public:
    placement_index(const state& s, const fleet_view& view, const observations& observed,
                    const size_estimates& sizes);

    struct query {
        resources need;
        pool_id pool = no_pool;
        team_id team = 0;
        vm_id excluded = no_vm; // worker of a failed attempt
    };

    // Returns the best worker, or no_vm if none fits. Searches the buckets from the tightest fit
    // upwards and prefers workers with few jobs of the team in their rack and availability zone.
    vm_id find(const query& wanted);
    void occupy(vm_id worker, const resources& need, team_id team);
    // Reserves capacity for a job that waits for preempted jobs to stop.
    void reserve(vm_id worker, const resources& need);
    void unreserve(vm_id worker, const resources& need);
    bool usable(vm_id worker);
    const resources& free(vm_id worker);

  private:
    static constexpr std::size_t bucket_count = 24;
    using buckets = std::array<std::vector<vm_id>, bucket_count>;

    void index_pool(pool_id pool);
    void index_worker(vm_id worker);
    static std::size_t bucket_of(std::int64_t millicores);
    void subtract(vm_id worker, const resources& need);
    void insert(vm_id worker);
    void erase(vm_id worker);
    int colocation_penalty(vm_id worker, team_id team) const;
    bool open_vm_allowed(vm_id worker) const;

    const state& s_;
    const fleet_view& view_;
    const observations& observed_;
    const size_estimates& sizes_;
    std::vector<bool> indexed_; // by pool
    std::vector<resources> free_;
    std::vector<bool> usable_;
    std::vector<std::uint32_t> bucket_position_; // by worker: index in its bucket
    std::vector<buckets> buckets_by_pool_;
    // Job counts by team, pool and rack, and by team, pool and availability zone.
    std::unordered_map<std::uint64_t, int> team_in_rack_;
    std::unordered_map<std::uint64_t, int> team_in_zone_;
    std::vector<bool> occupied_;
    std::int64_t open_vms_left_ = 0; // open VMs that may still get their first job
};

} // namespace clementine::scheduler
