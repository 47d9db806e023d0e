#include "workload/job_table.h"

#include <algorithm>
#include <utility>

namespace clementine::workload {

namespace {

step_progress new_progress(const step_spec& spec) {
    step_progress out;
    out.tasks.resize(spec.count);
    out.waiting = spec.count;
    return out;
}

} // namespace

bool dependencies_done(const job_spec& spec, const occurrence& in, std::size_t step) {
    return std::ranges::all_of(spec.steps[step].depends_on, [&](std::uint32_t earlier) {
        return in.steps[earlier].done == spec.steps[earlier].count;
    });
}

const task* find_task(const job& owner, const task_id& id) {
    if (id.occurrence >= owner.occurrences.size())
        return nullptr;
    const auto& steps = owner.occurrences[id.occurrence].steps;
    if (id.step >= steps.size() || id.index >= steps[id.step].tasks.size())
        return nullptr;
    return &steps[id.step].tasks[id.index];
}

std::uint32_t occurrence_count(const job_spec& spec) {
    return std::max<std::uint32_t>(1, spec.times);
}

bool job::long_running() const {
    return std::ranges::any_of(spec.steps, &step_spec::long_running);
}

bool wave::completed() const {
    return std::ranges::all_of(vms,
                               [](const auto& item) { return item.second == upkeep_phase::done; });
}

std::vector<bool> job_table::apply(const command& value, std::uint64_t term) {
    now_ = value.proposed_at;
    term_ = term;
    drop_expired();
    std::vector<bool> out;
    out.reserve(value.operations.size());
    for (const auto& item : value.operations)
        out.push_back(std::visit([this](const auto& op) { return apply_operation(op); }, item));
    return out;
}

const job* job_table::find_job(std::string_view id) const {
    const auto it = index_.find(id);
    return it == index_.end() ? nullptr : it->second;
}

void job_table::rebuild_index() {
    index_.clear();
    for (auto& [id, item] : jobs_)
        index_.emplace(id, &item);
}

const task* job_table::find_task(const task_id& id) const {
    const auto* owner = find_job(id.job);
    return owner ? workload::find_task(*owner, id) : nullptr;
}

task* job_table::task_of(const task_id& id, job** owner) {
    const auto it = index_.find(id.job);
    const auto* found = it == index_.end() ? nullptr : workload::find_task(*it->second, id);
    if (found)
        *owner = it->second;
    return const_cast<task*>(found); // NOLINT: shared look-up
}

bool job_table::apply_operation(const put_configuration& op) {
    if (op.value.version <= config_.version)
        return false;
    const auto former = std::exchange(config_, op.value);
    config_.rebuild_index();
    keep_removed_workspaces(former);
    return true;
}

// The cap of a workspace holds for its running tasks also after it was removed.
void job_table::keep_removed_workspaces(const configuration& former) {
    for (const auto& item : former.workspaces) {
        if (config_.find_workspace(item.name) ||
            std::ranges::none_of(
                open_, [&](const auto& entry) { return entry.second->workspace == item.name; }))
            continue;
        config_.workspaces.push_back(item);
        config_.workspaces.back().keys.clear();
    }
}

// The last part takes effect as the operation, unless an earlier part was lost.
bool job_table::apply_operation(const operation_part& op) {
    return !op.last;
}

job make_job(const submit_job& op, time_ms accepted_at) {
    job out;
    out.id = op.id;
    out.queue = op.queue;
    out.pool = op.pool;
    out.workspace = op.workspace;
    out.key_tag = op.key_tag;
    out.spec = op.spec;
    out.attempts = op.attempts;
    out.accepted_at = accepted_at;
    occurrence first;
    for (const auto& step : op.spec.steps)
        first.steps.push_back(new_progress(step));
    out.occurrences.assign(occurrence_count(op.spec), first);
    return out;
}

bool job_table::apply_operation(const submit_job& op) {
    // An earlier build accepted jobs whose tasks no memory holds; its log may still have them.
    if (!op.spec.has_allowed_size())
        return false;
    if (const auto it = jobs_.find(op.id); it != jobs_.end())
        return it->second.workspace == op.workspace;
    // The workspace was removed by an operation that was logged after the check of the key. Its job
    // would run without a cap.
    if (!op.workspace.empty() && !config_.find_workspace(op.workspace))
        return false;
    const auto it = jobs_.try_emplace(op.id).first;
    auto& added = it->second;
    index_.emplace(it->first, &added);
    added = make_job(op, now_);
    open_.emplace(op.id, &added);
    if (is_cancelled_early(op.id, op.workspace))
        end_job(added, job_state::canceled);
    return true;
}

void job_table::add_early_cancel(time_ms at, std::string id, std::string workspace) {
    early_cancel added{std::move(id), std::move(workspace)};
    early_cancels_.insert(added);
    early_cancel_times_.emplace_back(at, std::move(added));
}

bool job_table::apply_operation(const cancel_job& op) {
    const auto it = jobs_.find(op.id);
    if (it == jobs_.end()) {
        if (is_cancelled_early(op.id, op.workspace))
            return true;
        if (early_cancels_.size() >= max_early_cancels)
            return false;
        add_early_cancel(now_, op.id, op.workspace);
        return true;
    }
    if (it->second.workspace == op.workspace && !it->second.ended())
        end_job(it->second, job_state::canceled);
    return true;
}

bool job_table::apply_operation(const start_run& op) {
    job* owner = nullptr;
    auto* item = task_of(op.task, &owner);
    if (!item || owner->ended() || item->phase != task_phase::waiting || op.run <= item->run)
        return false;
    auto& in = owner->occurrences[op.task.occurrence];
    if (!dependencies_done(owner->spec, in, op.task.step))
        return false;
    item->phase = task_phase::assigned;
    item->run = op.run;
    item->worker = op.worker;
    item->address = op.address;
    item->fence = term_;
    --in.steps[op.task.step].waiting;
    owner->state = job_state::active;
    if (owner->started_at == 0)
        owner->started_at = now_;
    return true;
}

// The members of a gang resume from one checkpoint.
void job_table::save_checkpoint(job& owner, const task_id& id, const std::string& checkpoint) {
    auto& tasks = owner.occurrences[id.occurrence].steps[id.step].tasks;
    if (!owner.spec.steps[id.step].gang) {
        tasks[id.index].checkpoint = checkpoint;
        return;
    }
    for (auto& member : tasks)
        member.checkpoint = checkpoint;
}

// Returns an assigned task to the waiting tasks.
void job_table::release(job& owner, const task_id& id, task& item) {
    item.phase = task_phase::waiting;
    item.worker = {};
    item.address.clear();
    ++owner.occurrences[id.occurrence].steps[id.step].waiting;
}

void job_table::finish_task(job& owner, const task_id& id) {
    auto& in = owner.occurrences[id.occurrence];
    auto& step = in.steps[id.step];
    auto& item = step.tasks[id.index];
    if (item.phase == task_phase::done)
        return;
    if (item.phase == task_phase::waiting)
        --step.waiting;
    item.phase = task_phase::done;
    item.worker = {};
    item.address.clear();
    item.checkpoint.clear();
    if (++step.done < step.tasks.size())
        return;
    if (++in.steps_done == in.steps.size() && ++owner.occurrences_done == owner.occurrences.size())
        end_job(owner, job_state::completed);
}

// One successful end completes all members of a gang.
void job_table::finish_gang(job& owner, const task_id& id) {
    auto member = id;
    const auto count = owner.spec.steps[id.step].count; // the last end may clear the specification
    for (member.index = 0; member.index < count; ++member.index)
        finish_task(owner, member);
}

bool job_table::apply_operation(const end_run& op) {
    job* owner = nullptr;
    auto* item = task_of(op.task, &owner);
    if (!item)
        return false;
    const auto& spec = owner->spec.steps[op.task.step];
    const bool current = item->phase == task_phase::assigned && item->run == op.run;
    if (op.how == run_end::done && !spec.long_running) {
        // A run that was marked lost may have finished; its end is ignored once a newer run has
        // started.
        if (item->phase == task_phase::done || item->run != op.run || owner->ended()) {
            if (current) {
                release(*owner, op.task, *item);
                close_if_idle(*owner);
            }
            return current;
        }
        spec.gang ? finish_gang(*owner, op.task) : finish_task(*owner, op.task);
        close_if_idle(*owner);
        return true;
    }
    if (!current)
        return false;
    if (!op.checkpoint.empty())
        save_checkpoint(*owner, op.task, op.checkpoint);
    release(*owner, op.task, *item);
    if (op.how == run_end::failed && ++item->failures >= owner->attempts && !spec.long_running &&
        !owner->ended())
        end_job(*owner, job_state::failed);
    close_if_idle(*owner);
    return true;
}

bool job_table::apply_operation(const lose_run& op) {
    job* owner = nullptr;
    auto* item = task_of(op.task, &owner);
    if (!item || item->phase != task_phase::assigned || item->run != op.run)
        return false;
    // What a member had listed before it was lost is older than what the others saved at their end.
    const auto& step = owner->occurrences[op.task.occurrence].steps[op.task.step];
    const bool others_ended = owner->spec.steps[op.task.step].gang &&
                              !std::ranges::all_of(step.tasks, [&](const task& member) {
                                  return member.phase == task_phase::assigned;
                              });
    if (!op.checkpoint.empty() && !others_ended)
        save_checkpoint(*owner, op.task, op.checkpoint);
    release(*owner, op.task, *item);
    close_if_idle(*owner);
    return true;
}

bool job_table::apply_operation(const put_wave& op) {
    auto [it, added] = waves_.try_emplace(op.order.number);
    if (!added)
        return true;
    it->second.order = op.order;
    it->second.accepted_at = now_;
    for (const auto& vm : op.order.vms)
        it->second.vms[vm] = upkeep_phase::due;
    return true;
}

bool job_table::apply_operation(const mark_upkeep& op) {
    const auto it = waves_.find(op.wave);
    if (it == waves_.end())
        return false;
    const auto vm = it->second.vms.find(op.vm);
    if (vm == it->second.vms.end() || vm->second == upkeep_phase::done)
        return false;
    vm->second = op.phase;
    return true;
}

bool job_table::apply_operation(const announce_vm_order& op) {
    holders_[op.vm] = {op.node, now_};
    return true;
}

void job_table::end_job(job& owner, job_state state) {
    owner.state = state;
    owner.ended_at = now_;
    ended_[now_].push_back(owner.id);
    close_if_idle(owner);
}

// Removes an ended job from the open jobs once none of its tasks is assigned. Only its state can be
// asked for then, so that its tasks need not take memory and space in snapshots for minutes.
void job_table::close_if_idle(job& owner) {
    if (!owner.ended())
        return;
    for (const auto& in : owner.occurrences) {
        for (const auto& step : in.steps) {
            if (std::ranges::any_of(step.tasks, [](const task& item) {
                    return item.phase == task_phase::assigned;
                }))
                return;
        }
    }
    open_.erase(owner.id);
    owner.spec = {};
    owner.occurrences.clear();
    owner.occurrences.shrink_to_fit();
}

void job_table::drop_expired() {
    while (!ended_.empty() && ended_.begin()->first + ended_job_retention < now_) {
        for (const auto& id : ended_.begin()->second) {
            open_.erase(id);
            index_.erase(id);
            jobs_.erase(id);
        }
        ended_.erase(ended_.begin());
    }
    while (!early_cancel_times_.empty() &&
           early_cancel_times_.front().first + ended_job_retention < now_) {
        early_cancels_.erase(early_cancel_times_.front().second);
        early_cancel_times_.pop_front();
    }
}

} // namespace clementine::workload
