#include "workload/types.h"

#include <algorithm>

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

bool resources::holds(const resources& other) const {
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

const queue_config* configuration::find_queue(std::string_view name) const {
    const auto at = std::ranges::find(queues, name, &queue_config::name);
    return at == queues.end() ? nullptr : &*at;
}

const pool_config* configuration::find_pool(std::string_view name) const {
    const auto at = std::ranges::find(pools, name, &pool_config::name);
    return at == pools.end() ? nullptr : &*at;
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
