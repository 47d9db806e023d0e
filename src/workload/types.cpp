#include "workload/types.h"

#include <algorithm>

namespace clementine::workload {

// Divides instead of multiplying, because the product may exceed any integer.
bool job_spec::has_allowed_size() const {
    std::uint64_t tasks = 0;
    for (const auto& step : steps)
        tasks += step.count;
    return tasks > 0 && tasks <= max_tasks_per_job / std::max<std::uint32_t>(1, times);
}

double job_spec::total_work() const {
    double out = 0;
    for (const auto& step : steps)
        out += static_cast<double>(step.count) * static_cast<double>(step.need.cpu) *
               static_cast<double>(step.estimate);
    return out * std::max<std::uint32_t>(1, times);
}

resources& resources::operator+=(const resources& other) {
    cpu += other.cpu;
    memory += other.memory;
    accelerators += other.accelerators;
    return *this;
}

resources& resources::operator-=(const resources& other) {
    cpu -= other.cpu;
    memory -= other.memory;
    accelerators -= other.accelerators;
    return *this;
}

bool resources::can_fit(const resources& other) const {
    return other.cpu <= cpu && other.memory <= memory && other.accelerators <= accelerators;
}

resources operator+(resources left, const resources& right) {
    left += right;
    return left;
}

resources operator-(resources left, const resources& right) {
    left -= right;
    return left;
}

resources operator*(resources left, std::int64_t count) {
    left.cpu *= count;
    left.memory *= count;
    left.accelerators *= count;
    return left;
}

void configuration::rebuild_index() {
    by_name_.clear();
    for (std::size_t i = 0; i < queues.size(); ++i)
        by_name_.emplace(queues[i].name, i);
}

const queue_config* configuration::find_queue(const std::string& name) const {
    const auto it = by_name_.find(name);
    return it == by_name_.end() ? nullptr : &queues[it->second];
}

const workspace_config* configuration::find_workspace(std::string_view name) const {
    const auto it = std::ranges::find(workspaces, name, &workspace_config::name);
    return it == workspaces.end() ? nullptr : &*it;
}

const queue_config* configuration::route(std::string_view host, std::string_view path) const {
    const queue_config* best = nullptr;
    for (const auto& queue : queues) {
        if (queue.host == host && path.starts_with(queue.prefix) &&
            (!best || queue.prefix.size() > best->prefix.size()))
            best = &queue;
    }
    return best;
}

} // namespace clementine::workload
