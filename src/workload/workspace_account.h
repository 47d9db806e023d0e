// Use of the workers by workspaces: caps and shares. Pure code.
//
// Load pattern: 20 workspaces compete for pools that their queues fill in turn, and one of them
// sends up to ten times its usual load for some seconds.
#pragma once

#include "workload/worker_table.h"

#include <map>
#include <string>
#include <unordered_map>
#include <vector>

namespace clementine::workload {

// True if a workspace of the configuration has a cap or a weight, so that its use matters.
bool needs_account(const configuration& config);

// True if a job has a task, or a gang, that a cap never admits.
bool exceeds_cap(const job_spec& spec, const resources& cap);

// Waiting work of one workspace in a pool.
struct workspace_backlog {
    double weight = 1;
    std::int64_t work = 0;       // thousandths of a core times ms
    std::int64_t ready_work = 0; // part of `work` that may start now
};
using backlog_by_workspace = std::map<std::string, workspace_backlog>;

// Work that is served before new work of a workspace ends up first in its pool, while each
// backlogged workspace gets processor time in proportion to its weight. `own`: the new work. All
// work of no workspace counts, because it has no share. `part`: which work of the backlog is meant.
std::int64_t work_ahead(const backlog_by_workspace& backlog, const workspace_config& workspace,
                        std::int64_t own,
                        std::int64_t workspace_backlog::*part = &workspace_backlog::work);

// What the runs of each workspace occupy, including starts that may have been carried out.
class workspace_account {
  public:
    explicit workspace_account(const configuration& config);

    // Adds a worker's capacity, its runs, and its starts that may be carried out yet.
    void add(const worker& item, time_ms now, time_ms granted_lease);
    // Adds what a run occupies, or may occupy.
    void add(const std::string& workspace, const resources& need);
    // Counts a workspace among those that compete, because it has waiting tasks.
    void set_active(const std::string& workspace);

    // True if a task may start, or the whole of a gang, under the cap of its workspace.
    bool allows(const std::string& workspace, const resources& need) const;
    // True if the cap will admit them once all other runs than long-running ones have ended.
    bool allows_later(const std::string& workspace, const resources& need) const;
    // Records `count` tasks that wait for room. Returns how many of them the cap would admit beside
    // those recorded before.
    std::int64_t add_blocked(const std::string& workspace, const resources& need,
                             std::int64_t count);
    // Dominant share divided by the share by weight among the active workspaces; 0 if unknown.
    double share_ratio(const std::string& workspace) const;
    resources use_of(const std::string& workspace) const;

  private:
    struct entry {
        double weight = 1;
        resources cap;
        resources use;
        resources long_running; // part of `use`
        resources blocked;      // of tasks that wait for room and that the cap admits
        bool active = false;
    };

    std::unordered_map<std::string, entry> entries_;
    resources capacity_;
    double active_weight_ = 0;
};

} // namespace clementine::workload
