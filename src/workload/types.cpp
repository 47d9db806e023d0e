#include "workload/types.h"

namespace clementine::workload {

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

void configuration::rebuild_index() {
    by_name_.clear();
    for (std::size_t i = 0; i < queues.size(); ++i)
        by_name_.emplace(queues[i].name, i);
}

const queue_config* configuration::find_queue(const std::string& name) const {
    const auto it = by_name_.find(name);
    return it == by_name_.end() ? nullptr : &queues[it->second];
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
