// Decides what a caller may address: which queue, in the name of which workspace, and which jobs.
// Pure functions of the configuration in force.
#pragma once

#include "workload/job_table.h"

#include <optional>
#include <string_view>

namespace clementine::workload {

enum class access_result {
    unconfigured, // no configuration is known yet
    unauthorized, // the queue, if there is one, needs a valid key
    no_queue,
    granted
};

struct caller_access {
    access_result result = access_result::unconfigured;
    const queue_config* queue = nullptr;         // if granted
    const workspace_config* workspace = nullptr; // nullptr for public queues and without workspaces
};

// Checks a call to `host` and `path`. `key`: digest of the caller's access key, if it sent one.
// Without a valid key every path that is not of a public queue gets the same answer, so that it
// does not tell which other queues exist. The queue with the longest prefix decides: a queue that
// needs a key stays closed if a public queue has a shorter prefix of its path.
caller_access check_access(const configuration& config, std::string_view host,
                           std::string_view path, const std::optional<key_digest>& key);

// True if a job belongs to the workspace that a call was granted to. To all others the job does not
// exist.
bool is_owner(const caller_access& access, std::string_view workspace);

// What is recorded about the submission of a job.
struct job_origin {
    std::string_view queue;
    std::string_view workspace;
    std::uint64_t key_tag = 0;
};

// True if a submission that is not granted, or under an id of another owner, may repeat the
// submission of an accepted job: its queue was removed, its key withdrawn or given to another
// workspace, or its queue began to require keys, since then. Refusing it would say that the job
// never runs.
bool may_repeat(const caller_access& access, const std::optional<key_digest>& key,
                const job_origin& accepted);

} // namespace clementine::workload
