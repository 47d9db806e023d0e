// Load measurement and admission control of the controller.
#include "workload/controller.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace clementine::workload {

namespace {

// Loads are measured again after this time; jobs accepted in between are added to them.
constexpr time_ms load_age_limit{20};
constexpr time_ms load_age_limit_large_fleet{60};
// Allowance for uneven packing of tasks on workers.
constexpr double packing_allowance = 1.2;
// Part of the wanted capacity whose lack is not worth moves; the packing allowance covers it.
constexpr double tolerated_shortage = 0.1;
// Highest to mean rate of a turn; 1.2 if the rate follows a sine.
constexpr double peak_ratio = 1.25;
// Shorter waits say little about how long the work of a pool takes.
constexpr time_ms min_measured_wait{150};
constexpr double wait_ratio_weight = 0.05;
constexpr double max_wait_ratio = 3;

// Demand of the open jobs of each workspace, in all pools and by pool.
struct workspace_demand {
    resources total;
    std::map<std::string, std::int64_t> cpu_by_pool;
};
using demand_by_workspace = std::map<std::string, workspace_demand>;

// Largest part of a demand that a cap admits at once.
double part_within_cap(const resources& demand, const resources& cap) {
    double out = 1;
    const auto limit = [&out](std::int64_t amount, std::int64_t allowed) {
        if (allowed > 0 && amount > allowed)
            out = std::min(out, static_cast<double>(allowed) / static_cast<double>(amount));
    };
    limit(demand.cpu, cap.cpu);
    limit(demand.memory, cap.memory);
    limit(demand.accelerators, cap.accelerators);
    return out;
}

// Expected duration of a task; never 0, also without an estimate, so that its work counts.
time_ms expected_duration(const step_spec& step, double rate) {
    const auto duration = std::ceil(rate * static_cast<double>(step.estimate));
    return std::max<time_ms>(1, static_cast<time_ms>(duration));
}

// Takes from the demand of the pools what no workspace could run under its cap.
void limit_demand_to_caps(const demand_by_workspace& demands, const configuration& config,
                          std::map<std::string, pool_load>& loads) {
    for (const auto& workspace : config.workspaces) {
        const auto found = demands.find(workspace.name);
        if (found == demands.end())
            continue;
        const auto part = part_within_cap(found->second.total, workspace.cap);
        if (part == 1)
            continue;
        for (const auto& [pool, cpu] : found->second.cpu_by_pool)
            loads[pool].in_demand -=
                static_cast<std::int64_t>((1 - part) * static_cast<double>(cpu));
    }
}

} // namespace

// Counts the jobs that earlier leaders accepted recently as offered load.
void controller::inherit_load(time_ms now, time_ms wall) {
    constexpr time_ms recent{3'000};
    offered_load_ = {};
    arrivals_ = {};
    std::vector<const job*> jobs;
    for (const auto& [id, item] : table_.jobs()) {
        // Of jobs that have ended, the size is no longer known.
        if (!item.spec.steps.empty() && !item.long_running() && item.spec.times == 0 &&
            item.accepted_at > wall - recent && item.accepted_at <= wall)
            jobs.push_back(&item);
    }
    std::ranges::sort(jobs, {}, &job::accepted_at);
    for (const auto* item : jobs) {
        const auto work = estimated_work(item->spec, estimate_rate(item->queue));
        const auto at = now - (wall - item->accepted_at);
        offered_load_.offered(pool_of(*item), item->id, work, at);
        arrivals_.offered(item->queue, pool_of(*item), work, at);
    }
}

void controller::record_offered_job(const queue_config& queue, const workspace_config* workspace,
                                    const std::string& id, const job_spec& spec, time_ms now) {
    if (workspace && exceeds_cap(spec, workspace->cap))
        return;
    if (std::ranges::any_of(spec.steps, &step_spec::long_running) || spec.times != 0)
        return;
    auto work = estimated_work(spec, estimate_rate(queue.name));
    auto* const allowance =
        workspace && workspace->cap.cpu > 0 ? &refill_allowance(*workspace, now) : nullptr;
    if (allowance)
        work = std::min(work, allowance->work);
    if (!offered_load_.offered(queue.pool, id, work, now))
        return;
    const auto mean_work = arrivals_.offered(queue.name, queue.pool, work, now);
    // Turns show in the counts; the sizes of single jobs would hide them.
    turns_.offered(queue.pool, settings_.demand == demand_model::counted_jobs ? mean_work : work,
                   now);
    if (allowance)
        allowance->work -= work;
}

// Load pattern: a workspace sends several times what its cap lets it run. VMs for the rest would
// have nothing to do.
controller::work_allowance& controller::refill_allowance(const workspace_config& workspace,
                                                         time_ms now) {
    constexpr time_ms burst{1'000};
    auto [it, added] = work_allowances_.try_emplace(workspace.name);
    auto& item = it->second;
    const auto elapsed = added ? burst : std::min(burst, now - item.refilled_at);
    item.work = std::min(item.work + workspace.cap.cpu * elapsed, workspace.cap.cpu * burst);
    item.refilled_at = now;
    return item;
}

std::size_t controller::active_pools() const {
    return static_cast<std::size_t>(
        std::ranges::count(table_.config().pools, false, &pool_config::standby));
}

// Work per ms offered to a pool while its VMs are kept, when ordered VMs arrive, and before VMs
// that rest could be back.
controller::offered_rates controller::estimate_offered_rates(const std::string& pool, time_ms now,
                                                             time_ms ahead,
                                                             time_ms rest_time) const {
    if (settings_.known_rate) {
        const auto soon = settings_.known_rate(pool, now, now + rest_time);
        return {settings_.known_rate(pool, now, now + ahead),
                settings_.known_rate(pool, now + ahead, now + ahead), soon, true};
    }
    const auto pools = active_pools();
    if (settings_.demand == demand_model::measured_work) {
        auto rate = offered_load_.expected_rate(pool, now, ahead);
        if (!settings_.forecast_turns)
            return {rate, rate, 0, false};
        rate = std::max(rate, turns_.expected_rate(pool, pools, now, ahead));
        return {rate, rate, turns_.expected_rate(pool, pools, now, rest_time), false};
    }
    const auto turn = settings_.forecast_turns ? turns_.find_turn(pool, pools, now) : std::nullopt;
    if (!turn || !turn->level) {
        const auto rate = arrivals_.expected_rate(pool, now, ahead);
        return {rate, rate, 0, turn && turn->start > now + rest_time};
    }
    const auto turn_level = *turn->level;
    // The level of the turn is known, so a rise is not extrapolated far beyond it.
    const auto measured = arrivals_.expected_rate(pool, now, 0);
    const auto peak = static_cast<std::int64_t>(peak_ratio * static_cast<double>(turn_level));
    const auto level =
        std::max({measured, turn_level, std::min(arrivals_.expected_rate(pool, now, ahead), peak)});
    const auto rate_at = [&](time_ms at) {
        return at >= turn->start && at < turn->end ? level : std::int64_t{0};
    };
    offered_rates out;
    out.kept = std::max(measured, rate_at(now + ahead));
    out.arrival = now + ahead < turn->start ? measured : rate_at(now + ahead);
    out.soon = turn->start > now && turn->start <= now + rest_time ? turn_level : 0;
    out.turn_over = turn->start > now + rest_time;
    return out;
}

// Ready tasks without a worker, by pool, as far as the caps of their workspaces admit them.
std::map<std::string, std::vector<waiting_step>> controller::waiting_steps(time_ms wall) {
    refresh_views(wall);
    std::map<std::string, std::vector<waiting_step>> out;
    std::unordered_map<std::string, std::int64_t> free_under_cap;
    for (const auto& [id, view] : views_) {
        for (const auto& step : view.steps) {
            const auto& spec = step.owner->spec.steps[step.step];
            const auto& in = step.owner->occurrences[step.occurrence];
            if (step.owner->long_running() || step.owner->spec.times != 0)
                continue;
            const auto duration = expected_duration(spec, estimate_rate(step.owner->queue));
            auto cpu = in.steps[step.step].waiting * spec.need.cpu;
            const auto* workspace = table_.config().find_workspace(step.owner->workspace);
            if (workspace && workspace->cap.cpu > 0) {
                const auto used = account_ ? account_->use_of(workspace->name).cpu : 0;
                const auto free = std::max<std::int64_t>(0, workspace->cap.cpu - used);
                auto& left = free_under_cap.try_emplace(workspace->name, free).first->second;
                cpu = std::min(cpu, left);
                left -= cpu;
            }
            out[pool_of(*step.owner)].push_back({view.due - wall, duration, cpu});
        }
    }
    return out;
}

// Processor that tasks without room ask for; `cpu` is what they occupy together. Load pattern: in a
// surge most short tasks wait for others to end, and need no VM of their own.
std::int64_t controller::blocked_demand(const ready_step& item, std::int64_t cpu) const {
    if (item.long_running || settings_.demand == demand_model::measured_work)
        return cpu;
    const auto duration =
        expected_duration(item.owner->spec.steps[item.step], estimate_rate(item.owner->queue));
    return capacity_in_time({}, {{item.slack, duration, cpu}});
}

// Load patterns: see demand.h and vm_manager.h.
std::map<std::string, pool_demand> controller::measure_demand(time_ms now) {
    constexpr time_ms first_contact_time{300};
    // A shorter rest saves less than the moves cost.
    constexpr time_ms standby_rest{1'500};
    const bool counted = settings_.demand == demand_model::counted_jobs;
    auto waiting = counted ? waiting_steps(now + wall_offset_)
                           : std::map<std::string, std::vector<waiting_step>>{};
    std::map<std::string, pool_demand> out;
    const auto with_allowance = [](std::int64_t cpu) {
        return static_cast<std::int64_t>(packing_allowance * static_cast<double>(cpu));
    };
    for (const auto& pool : table_.config().pools) {
        const auto ahead = vms_.move_time() + first_contact_time;
        const auto& load = load_of(pool.name, now);
        const auto open = counted ? capacity_in_time(load.running, std::move(waiting[pool.name]))
                                  : load.in_demand;
        // A VM that rests is away for two moves.
        const auto rates = estimate_offered_rates(pool.name, now, ahead, 2 * ahead + standby_rest);
        const auto blocked = blocked_cpu_.find(pool.name);
        auto& demand = out[pool.name];
        demand.blocked = blocked == blocked_cpu_.end() ? 0 : blocked->second;
        demand.wanted = with_allowance(std::max(rates.kept, open));
        demand.arrival = with_allowance(std::max(rates.arrival, open));
        demand.soon = with_allowance(rates.soon);
        demand.tolerance = counted ? static_cast<std::int64_t>(tolerated_shortage *
                                                               static_cast<double>(demand.arrival))
                                   : 0;
        demand.turn_over = rates.turn_over;
    }
    return out;
}

double controller::estimate_rate(const std::string& queue) const {
    const auto it = estimate_rates_.find(queue);
    return it == estimate_rates_.end() ? 1.0 : it->second;
}

const std::string& controller::pool_of(const job& item) const {
    const auto* queue = table_.config().find_queue(item.queue);
    return queue ? queue->pool : item.pool;
}

// Measures all pools in one pass over the workers and jobs.
std::map<std::string, pool_load> controller::measure_loads() const {
    std::map<std::string, pool_load> out;
    for (const auto& [id, item] : workers_) {
        if (item.draining || item.leaving || item.reserved || item.hold_unanswered)
            continue;
        auto& load = out[item.pool];
        ++load.workers;
        load.capacity += item.capacity.cpu - item.long_running_cpu;
    }
    const auto idle_standby_cpu = vms_.idle_standby_cpu();
    for (const auto& pool : table_.config().pools)
        out[pool.name].arriving_cpu = vms_.arriving_cpu(pool.name) + idle_standby_cpu;
    demand_by_workspace demands;
    for (const auto& [id, item] : table_.open_jobs()) {
        if (item->ended() || item->long_running() || item->spec.times != 0)
            continue;
        const auto& pool = pool_of(*item);
        const auto demand = add_job_load(*item, out[pool]);
        if (item->workspace.empty())
            continue;
        auto& owned = demands[item->workspace];
        owned.total += demand;
        owned.cpu_by_pool[pool] += demand.cpu;
    }
    for (const auto& workspace : table_.config().workspaces) {
        for (auto& [pool, load] : out) {
            const auto own = load.backlog.find(workspace.name);
            if (own != load.backlog.end())
                own->second.weight = workspace.weight;
        }
    }
    limit_demand_to_caps(demands, table_.config(), out);
    return out;
}

const pool_load& controller::load_of(const std::string& pool, time_ms now) {
    if (now - loads_measured_at_ >= load_limit() || loads_.empty()) {
        loads_ = measure_loads();
        loads_measured_at_ = now;
    }
    return loads_[pool];
}

// Returns the demand of the job, which it adds to the load of its pool.
resources controller::add_job_load(const job& item, pool_load& load) const {
    resources demand;
    std::int64_t waiting_work = 0;
    std::int64_t ready_work = 0;
    const auto rate = estimate_rate(item.queue);
    for (const auto& in : item.occurrences) {
        for (std::size_t i = 0; i < in.steps.size(); ++i) {
            const auto& spec = item.spec.steps[i];
            const auto& progress = in.steps[i];
            const auto work = rate * static_cast<double>(progress.waiting * spec.need.cpu) *
                              static_cast<double>(spec.estimate);
            add_work(waiting_work, work);
            if (!dependencies_done(item.spec, in, i))
                continue;
            add_work(ready_work, work);
            demand += spec.need * (spec.count - progress.done);
            const auto running = (spec.count - progress.done - progress.waiting) * spec.need.cpu;
            load.running.cpu += running;
            // On average, running tasks are half done.
            add_work(load.running.work,
                     rate * static_cast<double>(running) * static_cast<double>(spec.estimate) / 2);
        }
    }
    load.in_demand += demand.cpu;
    add_work(load.waiting_work, static_cast<double>(waiting_work));
    add_work(load.ready_work, static_cast<double>(ready_work));
    if (needs_account(table_.config())) {
        auto& own = load.backlog[item.workspace];
        add_work(own.work, static_cast<double>(waiting_work));
        add_work(own.ready_work, static_cast<double>(ready_work));
    }
    return demand;
}

admission controller::check_admission(const queue_config& queue, const workspace_config* workspace,
                                      const std::string& id, const job_spec& spec,
                                      time_ms order_delay, time_ms now) {
    if (workspace && exceeds_cap(spec, workspace->cap))
        return {.reason = refusal::over_cap};
    load_of(queue.pool, now);
    auto& load = loads_[queue.pool];
    const auto rate = estimate_rate(queue.name);
    admission_input input;
    input.critical_path = critical_path_length(spec, rate);
    input.target_latency = queue.target_latency;
    input.stretch = queue.stretch;
    input.long_running = std::ranges::any_of(spec.steps, &step_spec::long_running);
    input.scheduled = spec.times > 0;
    const auto work = estimated_work(spec, rate);
    const auto first = first_work(spec, rate);
    const auto ahead = load_ahead(queue, workspace, work, first);
    wait_causes causes;
    causes.pool_work = expected_delay(load, input.critical_path, vms_.move_time());
    causes.share_work = expected_delay(ahead, input.critical_path, vms_.move_time());
    causes.cap = workspace ? wait_for_cap(*workspace) : 0;
    causes.wait_ratio = wait_ratio(queue.pool, workspace ? workspace->name : std::string());
    const auto delay = std::max(causes.share_work, causes.cap);
    input.wait = static_cast<time_ms>(causes.wait_ratio * static_cast<double>(delay));
    if (settings_.placement != lookahead::best_fit && !input.long_running && !input.scheduled)
        causes.room = room_wait(queue.pool, spec, load, now);
    input.wait = std::max(input.wait, causes.room);
    input.order_delay = std::max(order_delay, static_cast<time_ms>(start_latency_));
    input.chained_steps = longest_step_chain(spec);
    input.capacity_known = vms_.capacity_known();
    input.paid = workspace && !input.long_running && !input.scheduled &&
                 paid_rate_.take(workspace->name, id, workspace->weight, now);
    causes.order_delay = input.order_delay * static_cast<time_ms>(input.chained_steps);
    causes.total = total_wait(input);
    causes.allowed = allowed_wait(input);
    causes.paid = input.paid;
    auto decision = admit(input);
    decision.wait = causes;
    // A late job runs behind all that can be on time, so its wait tells nothing about the pool.
    decision.expected_wait =
        decision.late ? 0 : expected_wait(ahead, ahead.ready_work, vms_.move_time());
    // Included until the next measurement.
    if (decision.accepted && !input.long_running && !input.scheduled) {
        add_work(load.waiting_work, static_cast<double>(work));
        add_work(load.ready_work, static_cast<double>(first));
        if (needs_account(table_.config())) {
            auto& own = load.backlog[workspace ? workspace->name : std::string()];
            add_work(own.work, static_cast<double>(work));
            add_work(own.ready_work, static_cast<double>(first));
            own.weight = workspace ? workspace->weight : own.weight;
        }
    }
    return decision;
}

pool_load controller::load_ahead(const queue_config& queue, const workspace_config* workspace,
                                 std::int64_t work, std::int64_t first) const {
    auto out = loads_.at(queue.pool);
    if (!workspace)
        return out;
    out.waiting_work = work_ahead(out.backlog, *workspace, work);
    out.ready_work = work_ahead(out.backlog, *workspace, first, &workspace_backlog::ready_work);
    return out;
}

// Time that the waiting work of a workspace takes within its cap.
time_ms controller::wait_for_cap(const workspace_config& workspace) const {
    if (workspace.cap.cpu == 0)
        return 0;
    std::int64_t waiting_work = 0;
    for (const auto& [pool, item] : loads_) {
        const auto own = item.backlog.find(workspace.name);
        waiting_work += own == item.backlog.end() ? 0 : own->second.work;
    }
    return waiting_work / workspace.cap.cpu;
}

// Time until the widest task of a job's first steps has room on a worker of the pool; 0 if no
// expected end makes room, because then only VMs on their way or the load can tell.
time_ms controller::room_wait(const std::string& pool, const job_spec& spec, const pool_load& load,
                              time_ms now) {
    resources need;
    for (const auto& step : spec.steps) {
        const auto one = occupied_resources(step);
        if (step.depends_on.empty() && one.cpu >= need.cpu)
            need = one;
    }
    const bool has_room = std::ranges::any_of(workers_, [&](const auto& entry) {
        const auto& item = entry.second;
        return item.free().can_fit(need) && item.pool == pool && accepts_runs(item, now);
    });
    if (has_room)
        return 0;
    const auto at = room_of(pool, now).earliest(need);
    if (at == never)
        return 0;
    const auto wait = std::max<time_ms>(0, at - now);
    return load.arriving_cpu >= need.cpu ? std::min(wait, vms_.move_time()) : wait;
}

// Forecast of a pool, as old as the loads may be.
pool_room& controller::room_of(const std::string& pool, time_ms now) {
    auto& out = rooms_[pool];
    if (out.forecast_at() != 0 && now - out.forecast_at() < load_limit())
        return out;
    std::vector<const worker*> workers;
    for (const auto& [id, item] : workers_) {
        if (item.pool == pool)
            workers.push_back(&item);
    }
    out = pool_room(std::move(workers), settings_.stop_time, now);
    return out;
}

time_ms controller::load_limit() const {
    return workers_.size() < large_fleet_workers ? load_age_limit : load_age_limit_large_fleet;
}

// Load pattern: in a surge tasks of uneven sizes leave part of each worker unused, and each end
// takes time to be reported and followed by a start. Jobs that were accepted for a wait that the
// nominal capacity promises are then late, and take the place of those that could be on time.
void controller::record_accepted_job(const std::string& id, const std::string& pool, time_ms wait,
                                     time_ms now) {
    if (wait >= min_measured_wait)
        expected_starts_[id] = {pool, wait, now};
}

void controller::record_first_start(const std::string& id, time_ms now) {
    const auto it = expected_starts_.find(id);
    if (it == expected_starts_.end())
        return;
    const auto& expected = it->second;
    const auto actual = static_cast<double>(now - expected.accepted_at);
    const auto* started = table_.find_job(id);
    const std::pair key{expected.pool, started ? started->workspace : std::string()};
    auto& ratio = wait_ratios_.try_emplace(key, 1.0).first->second;
    ratio += wait_ratio_weight *
             (std::clamp(actual / static_cast<double>(expected.wait), 1.0, max_wait_ratio) - ratio);
    expected_starts_.erase(it);
}

double controller::wait_ratio(const std::string& pool, const std::string& workspace) const {
    const auto it = wait_ratios_.find({pool, workspace});
    return it == wait_ratios_.end() ? 1.0 : it->second;
}

time_ms expected_wait(const pool_load& load, std::int64_t work, time_ms move_time) {
    // No worker is known yet, or all are gone: the work waits for them.
    constexpr time_ms unknown_wait{60'000};
    const auto work_before_arrival = load.capacity * move_time;
    if (work <= work_before_arrival && load.capacity > 0)
        return work / load.capacity;
    const auto capacity_after_arrival = load.capacity + load.arriving_cpu;
    if (capacity_after_arrival <= 0)
        return work > 0 ? unknown_wait : 0;
    return move_time + (work - work_before_arrival) / capacity_after_arrival;
}

// The job's first tasks wait for the work that is ready. All waiting work is done by the time that
// it takes; the job has its critical path to run meanwhile.
time_ms expected_delay(const pool_load& load, time_ms critical_path, time_ms move_time) {
    const auto all = expected_wait(load, load.waiting_work, move_time);
    return std::max(expected_wait(load, load.ready_work, move_time), all - critical_path);
}

std::size_t controller::pending_jobs(const std::string& queue) const {
    std::size_t out = 0;
    for (const auto& [id, open] : table_.open_jobs()) {
        const auto& item = *open;
        out += item.queue == queue && item.state == job_state::queued ? 1U : 0U;
    }
    return out;
}

} // namespace clementine::workload
