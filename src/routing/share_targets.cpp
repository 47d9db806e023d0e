#include "routing/share_targets.h"

#include "base/hash.h"

#include <algorithm>
#include <numeric>

namespace clementine::routing {

namespace {

// With 9 entryds and 10 servers of 8 slots, a quarter makes 20 floor slots, about 2 per entryd.
constexpr int floor_divisor = 4;

} // namespace

std::vector<int> largest_remainder(int total, const std::vector<double>& weights,
                                   const std::vector<double>& dither) {
    std::vector<int> out(weights.size(), 0);
    if (weights.empty() || total <= 0)
        return out;
    const double sum = std::accumulate(weights.begin(), weights.end(), 0.0);
    std::vector<double> remainders(weights.size());
    int remaining = total;
    for (std::size_t i = 0; i < weights.size(); ++i) {
        const double quota = sum > 0
                                 ? total * weights[i] / sum
                                 : static_cast<double>(total) / static_cast<double>(weights.size());
        out[i] = static_cast<int>(quota);
        remainders[i] = quota - out[i] + dither[i];
        remaining -= out[i];
    }
    std::vector<std::size_t> order(weights.size());
    std::iota(order.begin(), order.end(), std::size_t{0});
    std::stable_sort(order.begin(), order.end(),
                     [&](std::size_t a, std::size_t b) { return remainders[a] > remainders[b]; });
    for (std::size_t i = 0; remaining > 0; i = (i + 1) % order.size(), --remaining)
        ++out[order[i]];
    return out;
}

double rounding_dither(const std::string& home, const std::string& service,
                       const std::string& member) {
    const auto hash = hash64(member, hash64(service, hash64(home)));
    return static_cast<double>(hash >> 11) * 0x1.0p-53;
}

std::vector<int> slot_floors(const std::string& backend_server, int slots,
                             const std::vector<std::string>& members) {
    std::vector<int> out(members.size(), 0);
    std::vector<std::pair<std::uint64_t, std::size_t>> ranks;
    for (std::size_t i = 0; i < members.size(); ++i)
        ranks.emplace_back(hash64(members[i], hash64(backend_server)), i);
    std::sort(ranks.begin(), ranks.end());
    const auto count = std::min(ranks.size(), static_cast<std::size_t>(slots / floor_divisor));
    for (std::size_t i = 0; i < count; ++i)
        ++out[ranks[i].second];
    return out;
}

} // namespace clementine::routing
