#include "workload/placement.h"

#include <algorithm>
#include <limits>

namespace clementine::workload {

namespace {

// Costs in thousandths of a core, comparable with the processor left free on a worker.
// A task far from its data takes 1.5 to 3 times as long.
constexpr std::int64_t remote_data_cost = 20'000;
// A repeated failure on the same worker wastes one of the few attempts.
constexpr std::int64_t previous_failure_cost = 200'000;
// Each other long-running or best-effort task raises response times.
constexpr std::int64_t shared_with_long_running_cost = 40'000;
constexpr std::int64_t recent_failure_cost = 10'000;
// A VM with long-running tasks cannot be moved, so they share as few VMs as possible.
constexpr std::int64_t first_long_running_cost = 20'000;
// A worker that goes down takes all its tasks of a step with it.
constexpr std::int64_t same_step_cost = 100'000;
// Tasks on it will have to restart elsewhere, which takes a part of the step's availability limit
// for 1 to 2 s. It is worse than any number of neighbors and than remote data: tasks leave due VMs
// for room that is kept for them elsewhere.
constexpr std::int64_t upkeep_due_cost = 90'000;

struct occupancy {
    std::uint32_t of_step = 0;
    std::int64_t serving = 0; // long-running tasks that are not best-effort
    std::int64_t best_effort = 0;
};

occupancy count_runs(const worker& candidate, const placement_request& request) {
    occupancy out;
    for (const auto& [key, run] : candidate.runs) {
        const auto& id = run.task;
        if (id.step == request.step_index && id.occurrence == request.occurrence &&
            id.job == request.job)
            ++out.of_step;
        if (run.best_effort)
            ++out.best_effort;
        else if (run.long_running)
            ++out.serving;
    }
    return out;
}

std::int64_t long_running_cost(const step_spec& step, const occupancy& counts) {
    std::int64_t cost = counts.of_step * same_step_cost;
    if (step.target_tail_latency > 0 || counts.best_effort > 0)
        cost += (counts.serving + counts.best_effort) * shared_with_long_running_cost;
    else if (counts.serving == 0)
        cost += first_long_running_cost;
    return cost;
}

// Part of the costs that decides between a worker whose VM is due for maintenance and others.
std::int64_t cost_against_due(const worker& candidate, const placement_request& request,
                              const occupancy& counts) {
    std::int64_t cost = counts.of_step * same_step_cost;
    if (candidate.ref.id == request.avoid)
        cost += previous_failure_cost;
    return cost + (candidate.upkeep_due ? upkeep_due_cost : 0);
}

// Cheapest worker so far.
struct choice {
    worker* target = nullptr;
    std::int64_t cost = std::numeric_limits<std::int64_t>::max();
    // See cost_against_due: of `target` if its VM is due, otherwise the least of all others.
    std::int64_t against_due = std::numeric_limits<std::int64_t>::max();
};

// Counting visits all runs of a worker, so it is left out for tasks that share it with any others.
bool needs_run_counts(const step_spec& step) {
    return step.max_per_worker != 0 || step.best_effort || step.long_running;
}

bool comes_before(const worker& a, const worker& b) {
    const auto free_a = a.free().cpu;
    const auto free_b = b.free().cpu;
    return free_a != free_b ? free_a < free_b : a.ref.id < b.ref.id;
}

bool has_label(const worker& candidate, const std::string& label) {
    return label.empty() || candidate.kind == label || candidate.rack == label;
}

// As find_exclusion, without the limit on the tasks of a step, which needs a count of the runs.
exclusion find_fit_exclusion(const worker& candidate, const step_spec& step, const resources& need,
                             time_ms now) {
    if (const auto out = find_run_exclusion(candidate, now); out != exclusion::none)
        return out;
    if (!has_label(candidate, step.required_label))
        return exclusion::label;
    const auto free = candidate.free();
    if (!free.can_fit(need))
        return exclusion::no_room;
    if (!step.long_running && !(free - candidate.kept_room).can_fit(need))
        return exclusion::upkeep_room;
    // A long-running task is started again however it ends.
    if (!step.long_running && candidate.may_forget_ends(now))
        return exclusion::forgets_ends;
    return exclusion::none;
}

} // namespace

bool candidate_pool::is_unplaceable(const resources& need, time_ms ends_at) const {
    return std::ranges::any_of(unplaceable, [&](const unplaceable_task& known) {
        return ends_at >= known.ends_at && need.can_fit(known.need);
    });
}

void candidate_pool::add_unplaceable(const resources& need, time_ms ends_at) {
    unplaceable.push_back({need, reserved.empty() ? 0 : ends_at});
}

bool candidate_pool::allows(const worker* target, const resources& need, time_ms ends_at) const {
    const auto it = reserved.find(target);
    return it == reserved.end() || ends_at <= it->second.begins_at ||
           it->second.beside.can_fit(need);
}

void candidate_pool::use_reserved(const worker* target, const resources& need, time_ms ends_at) {
    const auto it = reserved.find(target);
    if (it != reserved.end() && ends_at > it->second.begins_at)
        it->second.beside -= need;
}

bool is_limited_by_room(const step_spec& step) {
    return step.required_label.empty() && step.max_per_worker == 0;
}

exclusion find_run_exclusion(const worker& candidate, time_ms now) {
    if (candidate.draining)
        return exclusion::draining;
    if (candidate.leaving)
        return exclusion::leaving;
    if (candidate.reserved || candidate.ordered_away_at != 0)
        return exclusion::reserved;
    if (!candidate.reported || !candidate.contacted || candidate.hold_unanswered ||
        candidate.unanswered_start_at != 0)
        return exclusion::silent;
    if (now < candidate.health.quarantined_until)
        return exclusion::quarantined;
    if (candidate.awaits_probation_run(now))
        return exclusion::on_probation;
    return exclusion::none;
}

exclusion find_exclusion(const worker& candidate, const placement_request& request, time_ms now) {
    const auto& step = *request.step;
    const auto out = find_fit_exclusion(candidate, step, occupied_resources(step), now);
    if (out == exclusion::none && step.max_per_worker != 0 &&
        count_runs(candidate, request).of_step >= step.max_per_worker)
        return exclusion::max_per_worker;
    return out;
}

bool may_have_room(const worker& candidate, const placement_request& request) {
    const auto& step = *request.step;
    if (!has_label(candidate, step.required_label))
        return false;
    auto possible = candidate.capacity;
    for (const auto& [key, run] : candidate.runs)
        possible -= run.long_running ? run.need : resources{};
    return possible.can_fit(occupied_resources(step)) &&
           (step.max_per_worker == 0 ||
            count_runs(candidate, request).of_step < step.max_per_worker);
}

bool accepts_runs(const worker& candidate, time_ms now) {
    return find_run_exclusion(candidate, now) == exclusion::none;
}

void candidate_pool::sort() {
    std::ranges::sort(workers,
                      [](const worker* a, const worker* b) { return comes_before(*a, *b); });
}

void candidate_pool::update(const worker* filled) {
    const auto it = std::ranges::find(workers, filled);
    if (it == workers.end())
        return;
    // Runs only take processor, so the worker moves to the front.
    const auto target =
        std::lower_bound(workers.begin(), it, filled,
                         [](const worker* a, const worker* b) { return comes_before(*a, *b); });
    std::rotate(target, it, it + 1);
}

worker* choose_worker(const candidate_pool& pool, const placement_request& request, time_ms now,
                      std::uint64_t& checked) {
    const auto& step = *request.step;
    const auto need = occupied_resources(step);
    const bool count = needs_run_counts(step);
    choice best;
    choice best_due; // for a step that avoids due VMs
    const bool prefers_full = !step.best_effort && !step.long_running;
    const auto has_less = [](const worker* item, std::int64_t cpu) {
        return item->free().cpu < cpu;
    };
    const auto& workers = pool.workers;
    auto it = std::lower_bound(workers.begin(), workers.end(), need.cpu, has_less);
    for (; it != workers.end(); ++it) {
        auto* candidate = *it;
        ++checked;
        // All others have more free processor, which costs more.
        if (prefers_full && best.target && candidate->free().cpu - need.cpu >= best.cost)
            break;
        if (find_fit_exclusion(*candidate, step, need, now) != exclusion::none)
            continue;
        if (!pool.reserved.empty() && !pool.allows(candidate, need, request.ends_at))
            continue;
        const auto counts = count ? count_runs(*candidate, request) : occupancy{};
        if (step.max_per_worker != 0 && counts.of_step >= step.max_per_worker)
            continue;
        std::int64_t cost = 0;
        if (!step.data_rack.empty() && candidate->rack != step.data_rack)
            cost += remote_data_cost;
        if (!request.rack.empty() && candidate->rack != request.rack)
            cost += remote_data_cost;
        if (candidate->ref.id == request.avoid)
            cost += previous_failure_cost;
        if (candidate->health.failed > 0)
            cost += recent_failure_cost;
        if (step.best_effort)
            cost += (counts.serving + counts.best_effort) * shared_with_long_running_cost;
        else if (step.long_running)
            cost += long_running_cost(step, counts);
        else
            cost += (candidate->free() - need).cpu;
        const bool avoids_due = step.long_running && !step.best_effort;
        const auto against_due = avoids_due ? cost_against_due(*candidate, request, counts) : 0;
        if (avoids_due && candidate->upkeep_due) {
            if (cost < best_due.cost)
                best_due = {candidate, cost, against_due};
            continue;
        }
        best.against_due = std::min(best.against_due, against_due);
        if (cost < best.cost) {
            best.cost = cost;
            best.target = candidate;
        }
    }
    return best_due.against_due < best.against_due ? best_due.target : best.target;
}

} // namespace clementine::workload
