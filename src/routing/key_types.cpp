#include "routing/key_types.h"

#include "base/hash.h"

#include <algorithm>

namespace clementine::routing {

namespace {

constexpr std::size_t holders_per_key = 3;

} // namespace

std::vector<std::string> holders_of(const idempotency_key& key,
                                    const std::vector<key_member>& members) {
    const auto seed = hash64(key.key, hash64(key.workspace, hash64(key.service)));
    std::vector<std::pair<std::uint64_t, const key_member*>> ranked;
    for (const auto& member : members)
        ranked.emplace_back(hash64(member.node, seed), &member);
    std::sort(ranked.begin(), ranked.end(), [](const auto& a, const auto& b) {
        return a.first != b.first ? a.first > b.first : a.second->node < b.second->node;
    });
    std::vector<std::string> out;
    std::vector<std::string> zones;
    const auto add_holders = [&](bool any_zone) {
        for (const auto& [rank, member] : ranked) {
            if (out.size() == holders_per_key)
                return;
            const auto& zone = member->availability_zone;
            const bool new_zone = std::find(zones.begin(), zones.end(), zone) == zones.end();
            const bool taken = std::find(out.begin(), out.end(), member->node) != out.end();
            if (taken || (!any_zone && !new_zone))
                continue;
            out.push_back(member->node);
            zones.push_back(zone);
        }
    };
    add_holders(false);
    add_holders(true);
    return out;
}

} // namespace clementine::routing
