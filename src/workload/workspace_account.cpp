#include "workload/workspace_account.h"

#include "workload/demand.h"

#include <algorithm>
#include <limits>

namespace clementine::workload {

namespace {

// Number of tasks of `need` that a cap admits beside `use`.
std::int64_t count_within_cap(const resources& use, const resources& need, const resources& cap) {
    auto out = std::numeric_limits<std::int64_t>::max();
    const auto limit = [&](std::int64_t used, std::int64_t needed, std::int64_t allowed) {
        if (allowed == 0)
            return;
        if (used > allowed)
            out = 0;
        else if (needed > 0)
            out = std::min(out, (allowed - used) / needed);
    };
    limit(use.cpu, need.cpu, cap.cpu);
    limit(use.memory, need.memory, cap.memory);
    limit(use.accelerators, need.accelerators, cap.accelerators);
    return out;
}

double share_of(std::int64_t part, std::int64_t whole) {
    return whole > 0 ? static_cast<double>(part) / static_cast<double>(whole) : 0;
}

} // namespace

bool needs_account(const configuration& config) {
    return !config.workspaces.empty();
}

bool exceeds_cap(const job_spec& spec, const resources& cap) {
    return std::ranges::any_of(spec.steps, [&](const step_spec& step) {
        return !is_within_cap(step.gang ? step.need * step.count : step.need, cap);
    });
}

std::int64_t work_ahead(const backlog_by_workspace& backlog, const workspace_config& workspace,
                        std::int64_t own, std::int64_t workspace_backlog::*part) {
    const auto found = backlog.find(workspace.name);
    const auto earlier = found == backlog.end() ? 0 : found->second.*part;
    const auto work_per_weight = static_cast<double>(earlier + own) / workspace.weight;
    auto out = static_cast<double>(earlier);
    for (const auto& [name, other] : backlog) {
        if (name == workspace.name)
            continue;
        const auto work = static_cast<double>(other.*part);
        out += name.empty() ? work : std::min(work, work_per_weight * other.weight);
    }
    return static_cast<std::int64_t>(std::min(max_work_sum, out));
}

workspace_account::workspace_account(const configuration& config) {
    entries_.reserve(config.workspaces.size());
    for (const auto& item : config.workspaces)
        entries_.emplace(item.name, entry{item.weight, item.cap, {}, {}, {}, false});
}

void workspace_account::add(const worker& item, time_ms now, time_ms granted_lease) {
    capacity_ += item.capacity;
    for (const auto& [key, run] : item.runs) {
        add(run.charge.workspace, run.charge.need);
        const auto owner = run.long_running ? entries_.find(run.charge.workspace) : entries_.end();
        if (owner != entries_.end())
            owner->second.long_running += run.charge.need;
    }
    for (const auto& start : item.loose_starts) {
        if (item.may_be_carried_out(start, now, granted_lease) &&
            !item.runs.contains({start.task, start.run}))
            add(start.charge.workspace, start.charge.need);
    }
}

void workspace_account::add(const std::string& workspace, const resources& need) {
    if (workspace.empty())
        return;
    const auto it = entries_.find(workspace);
    if (it == entries_.end())
        return;
    it->second.use += need;
    if (!it->second.active) {
        it->second.active = true;
        active_weight_ += it->second.weight;
    }
}

void workspace_account::set_active(const std::string& workspace) {
    add(workspace, {});
}

bool workspace_account::allows(const std::string& workspace, const resources& need) const {
    const auto it = workspace.empty() ? entries_.end() : entries_.find(workspace);
    return it == entries_.end() || is_within_cap(it->second.use + need, it->second.cap);
}

bool workspace_account::allows_later(const std::string& workspace, const resources& need) const {
    const auto it = entries_.find(workspace);
    return it == entries_.end() || is_within_cap(it->second.long_running + need, it->second.cap);
}

std::int64_t workspace_account::add_blocked(const std::string& workspace, const resources& need,
                                            std::int64_t count) {
    const auto it = entries_.find(workspace);
    if (it == entries_.end())
        return count;
    auto& item = it->second;
    const auto admitted =
        std::min(count, count_within_cap(item.use + item.blocked, need, item.cap));
    item.blocked += need * admitted;
    return admitted;
}

double workspace_account::share_ratio(const std::string& workspace) const {
    const auto it = workspace.empty() ? entries_.end() : entries_.find(workspace);
    if (it == entries_.end())
        return 0;
    const auto& use = it->second.use;
    const auto dominant_share =
        std::max({share_of(use.cpu, capacity_.cpu), share_of(use.memory, capacity_.memory),
                  share_of(use.accelerators, capacity_.accelerators)});
    const auto others = it->second.active ? 0 : it->second.weight;
    return dominant_share * (active_weight_ + others) / it->second.weight;
}

resources workspace_account::use_of(const std::string& workspace) const {
    const auto it = entries_.find(workspace);
    return it == entries_.end() ? resources{} : it->second.use;
}

} // namespace clementine::workload
