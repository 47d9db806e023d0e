// Workspaces of the workload: the customers whose jobs compete for the workers, and the access keys
// by which their callers are known.
#pragma once

#include "base/digest.h"
#include "workload/resources.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace clementine::workload {

using key_digest = sha256_digest;

struct workspace_config {
    std::string name;
    std::vector<key_digest> keys; // of the access keys; the keys themselves are not kept
    double weight = 1;            // share of the processor time when all is full
    resources cap;                // on all its running tasks together; 0 for no limit

    bool operator==(const workspace_config&) const = default;
};

// First bytes of a digest, to recognize a key without keeping its digest. 0 for no key.
std::uint64_t key_tag_of(const key_digest& digest);

// Returns the workspace that has the key, or nullptr. Looks at every key, so that the time does not
// depend on the keys.
const workspace_config* find_by_key(const std::vector<workspace_config>& workspaces,
                                    const key_digest& key);

// True if resources are within a cap.
bool is_within_cap(const resources& value, const resources& cap);

} // namespace clementine::workload
