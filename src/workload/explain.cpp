#include "workload/explain.h"

#include <algorithm>
#include <set>

namespace clementine::workload {

exclusion_counts count_exclusions(const std::vector<const worker*>& workers,
                                  const candidate_pool& open, const placement_request& request,
                                  time_ms now) {
    const std::set<const worker*> choosable(open.workers.begin(), open.workers.end());
    const auto need = occupied_resources(*request.step);
    exclusion_counts out{};
    for (const auto* item : workers) {
        auto why = find_exclusion(*item, request, now);
        if (why == exclusion::none &&
            (!choosable.contains(item) || !open.allows(item, need, request.ends_at)))
            why = exclusion::reservation;
        ++out.at(static_cast<std::size_t>(why));
    }
    return out;
}

void add_placed_task(step_explanation& step, const std::string& worker, std::size_t& named) {
    ++step.placed;
    const auto known =
        std::ranges::find(step.chosen, worker, [](const auto& item) { return item.first; });
    if (known != step.chosen.end()) {
        ++known->second;
    } else if (named < max_named_workers) {
        step.chosen.emplace_back(worker, 1);
        ++named;
    }
}

} // namespace clementine::workload
