// Explanation part of the controller: the decisions about one job that is not submitted.
#include "workload/controller.h"

#include <algorithm>
#include <set>

namespace clementine::workload {

namespace {

// Differs from the id of every submitted job, because it is no hexadecimal number.
constexpr const char* explained_id = "explained";

} // namespace

placement_explanation controller::explain(const queue_config& queue,
                                          const workspace_config* workspace, const job_spec& spec,
                                          time_ms order_delay, time_ms now) const {
    auto trial = *this;
    trial.pending_decisions_ = {};
    placement_explanation out;
    out.pool = queue.pool;
    out.needs_advice = queue.needs_placement_advice;
    out.workers = static_cast<std::size_t>(std::ranges::count_if(
        workers_, [&](const auto& item) { return item.second.pool == queue.pool; }));
    out.arriving_vms = vms_.count_arriving(queue.pool);
    out.arriving_cpu = vms_.arriving_cpu(queue.pool);
    out.idle_standby_cpu = vms_.idle_standby_cpu();
    out.move_time = vms_.move_time();
    out.decision = trial.check_admission(queue, workspace, explained_id, spec, order_delay, now);
    const auto wall = now + wall_offset_;
    submit_job op{explained_id, queue.name, queue.pool, queue.attempts, spec};
    if (workspace) {
        op.workspace = workspace->name;
        out.cap = workspace->cap;
        auto account = count_use(now);
        out.use = account.use_of(workspace->name);
    }
    const auto added = make_job(op, wall);
    trial.refresh_views(wall);
    trial.views_.insert_or_assign(explained_id, trial.view_of(added, wall));
    explained_job explained{added, out};
    trial.place(now, wall, &explained);
    return out;
}

void controller::explain_in_turn(const ready_step& item, std::size_t turn, placement_round& round,
                                 explained_job& explained, time_ms now) {
    auto& out = explained.out;
    // The share before the first start of the job.
    if (account_ && out.steps.empty())
        out.share_ratio = account_->share_ratio(item.owner->workspace);
    if (out.steps.size() == max_explained_steps) {
        ++out.omitted_steps;
        return place_in_turn(item, round, now);
    }
    const auto& spec = item.owner->spec.steps[item.step];
    placement_request request;
    request.step = &spec;
    request.job = item.owner->id;
    request.occurrence = item.occurrence;
    request.step_index = item.step;
    request.ends_at = latest_run_end(item, now);
    std::vector<const worker*> workers;
    for (const auto& [id, one] : workers_) {
        if (one.pool == out.pool)
            workers.push_back(&one);
    }
    step_explanation added;
    added.step = item.step;
    added.tasks = item.unplaced;
    added.turn = turn;
    added.over_share = item.over_share;
    added.workers = count_exclusions(workers, pool_in(round, item), request, now);
    std::size_t named = 0;
    for (const auto& earlier : out.steps)
        named += earlier.chosen.size();
    const auto proposed = pending_decisions_.log.size();
    place_in_turn(item, round, now);
    std::set<std::string> used;
    for (auto i = proposed; i < pending_decisions_.log.size(); ++i) {
        const auto* start = std::get_if<start_run>(&pending_decisions_.log[i]);
        if (!start)
            continue;
        used.insert(start->worker.id);
        add_placed_task(added, start->worker.id, named);
    }
    added.unnamed_workers = used.size() - added.chosen.size();
    const auto waiting = added.tasks - added.placed;
    if (waiting > 0 && is_held_by_cap(item))
        added.held_by_cap = waiting;
    else
        added.without_room = waiting;
    out.steps.push_back(std::move(added));
}

} // namespace clementine::workload
