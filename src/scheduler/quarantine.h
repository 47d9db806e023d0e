// Detects workers on which all jobs fail while they succeed on other workers of the pool.
#pragma once

#include "scheduler/observations.h"

#include <unordered_map>
#include <vector>

namespace clementine::scheduler {

class quarantine_planner {
  public:
    explicit quarantine_planner(const state& s) : pools_(s.pools.size()) {}

    // Records the outcome of one attempt at a job.
    void record(const state& s, vm_id worker, job_id job, bool succeeded);
    void decide(const state& s, const fleet_view& view, const observations& observed, time_ms now,
                std::vector<decision>& out);

  private:
    struct worker_record {
        std::uint32_t failed_jobs = 0; // different jobs that failed in a row
        job_id last_failed = 0;
    };
    struct pool_record {
        double succeeded = 0; // outcome counts with exponential decay
        double failed = 0;
        double tokens = 1; // token bucket that limits the quarantine rate
        time_ms refilled_at = 0;
        std::uint32_t quarantined = 0;
    };
    struct probe_record {
        time_ms next_at = 0;
        time_ms interval = 0;
        std::uint32_t succeeded = 0; // consecutive successful probes
        bool pending = false;
    };

    bool is_suspicious(const state& s, vm_id worker, const worker_record& record) const;
    void probe(const state& s, const fleet_view& view, const observations& observed, vm_id worker,
               time_ms now, std::vector<decision>& out);

    std::vector<pool_record> pools_;
    std::unordered_map<vm_id, worker_record> suspects_;
    std::unordered_map<vm_id, probe_record> probes_;
};

} // namespace clementine::scheduler
