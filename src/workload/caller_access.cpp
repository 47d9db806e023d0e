#include "workload/caller_access.h"

namespace clementine::workload {

caller_access check_access(const configuration& config, std::string_view host,
                           std::string_view path, const std::optional<key_digest>& key) {
    caller_access out;
    if (config.version == 0)
        return out;
    out.workspace = key ? find_by_key(config.workspaces, *key) : nullptr;
    const auto* queue = config.route(host, path);
    const bool is_open = !config.requires_keys || (queue && queue->is_public);
    if (!is_open && !out.workspace) {
        out.result = access_result::unauthorized;
        return out;
    }
    // Jobs of public queues belong to no workspace, whatever key their callers have.
    if (is_open)
        out.workspace = nullptr;
    out.queue = queue;
    out.result = queue ? access_result::granted : access_result::no_queue;
    return out;
}

bool is_owner(const caller_access& access, std::string_view workspace) {
    return workspace ==
           (access.workspace ? std::string_view(access.workspace->name) : std::string_view());
}

bool may_repeat(const caller_access& access, const std::optional<key_digest>& key,
                const job_origin& accepted) {
    if (key && accepted.key_tag != 0 && accepted.key_tag == key_tag_of(*key))
        return true;
    // A job without a workspace has no key tag: any caller may have submitted it.
    const bool has_no_owner = accepted.workspace.empty();
    switch (access.result) {
    case access_result::unconfigured:
    case access_result::unauthorized:
        return has_no_owner;
    case access_result::no_queue:
        return has_no_owner || is_owner(access, accepted.workspace);
    case access_result::granted:
        return has_no_owner && access.workspace && accepted.queue == access.queue->name;
    }
    return false;
}

} // namespace clementine::workload
