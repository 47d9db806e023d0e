#include "manifest/manifest.h"

#include <algorithm>

namespace clementine::manifest {

namespace {

template <class T>
const T* find_by_name(const std::vector<T>& items, std::string_view name) {
    const auto it = std::ranges::find(items, name, &T::name);
    return it == items.end() ? nullptr : &*it;
}

} // namespace

const service* manifest::find_service(std::string_view name) const {
    return find_by_name(services, name);
}

const service* manifest::find_service_by_host(std::string_view host) const {
    const auto has_host = [host](const service& item) {
        return std::ranges::find(item.hosts, host) != item.hosts.end();
    };
    const auto it = std::ranges::find_if(services, has_host);
    return it == services.end() ? nullptr : &*it;
}

const workspace* manifest::find_workspace(std::string_view name) const {
    return find_by_name(workspaces, name);
}

const pool* manifest::find_pool(std::string_view name) const {
    return find_by_name(pools, name);
}

objective weights_of(objective_profile profile) {
    switch (profile) {
    case objective_profile::lean_buffer:
        return {profile, 4, 3, 1};
    case objective_profile::few_moves:
        return {profile, 1, 2, 6};
    case objective_profile::custom:
        break;
    }
    return {};
}

} // namespace clementine::manifest
