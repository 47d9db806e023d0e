#include "workload/workspace.h"

#include <algorithm>
#include <cstring>

namespace clementine::workload {

std::uint64_t key_tag_of(const key_digest& digest) {
    std::uint64_t out = 0;
    std::memcpy(&out, digest.data(), sizeof out);
    return out;
}

const workspace_config* find_by_key(const std::vector<workspace_config>& workspaces,
                                    const key_digest& key) {
    const workspace_config* found = nullptr;
    for (const auto& item : workspaces) {
        for (const auto& known : item.keys) {
            if (equal_in_constant_time(known, key))
                found = &item;
        }
    }
    return found;
}

bool is_within_cap(const resources& value, const resources& cap) {
    const auto within = [](std::int64_t amount, std::int64_t limit) {
        return limit == 0 || amount <= limit;
    };
    return within(value.cpu, cap.cpu) && within(value.memory, cap.memory) &&
           within(value.accelerators, cap.accelerators);
}

} // namespace clementine::workload
