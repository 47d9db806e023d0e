#include "scheduler/placement.h"

#include <algorithm>
#include <bit>
#include <tuple>

namespace clementine::scheduler {

namespace {

// Weight of the newest observation in a team's moving average.
constexpr double ratio_weight = 0.1;
// Declared sizes are wrong by a factor of up to 4 in either direction.
constexpr double min_ratio = 0.25;
constexpr double max_ratio = 4;
// Share of a worker's processors and memory that placement leaves unassigned.
constexpr std::int64_t headroom_percent = 5;
constexpr std::size_t candidates_per_bucket = 16;

double update_ratio(double old_value, std::int64_t used, std::int64_t declared) {
    if (declared <= 0)
        return old_value;
    const double ratio = static_cast<double>(used) / static_cast<double>(declared);
    return std::clamp(old_value + ratio_weight * (ratio - old_value), min_ratio, max_ratio);
}

// Key of a team's job count in one failure domain (rack or availability zone) of a pool.
std::uint64_t domain_key(team_id team, pool_id pool, std::uint32_t domain) {
    return std::uint64_t{team} << 48 | std::uint64_t{pool} << 32 | domain;
}

} // namespace

resources without_headroom(const resources& capacity) {
    auto out = capacity;
    out.millicores -= capacity.millicores * headroom_percent / 100;
    out.memory_mb -= capacity.memory_mb * headroom_percent / 100;
    return out;
}

void size_estimates::observe(const submit_job& job, const resources& used) {
    auto& item = ratios_[job.team];
    item.millicores = update_ratio(item.millicores, used.millicores, job.declared.millicores);
    item.memory = update_ratio(item.memory, used.memory_mb, job.declared.memory_mb);
}

resources size_estimates::expected(const submit_job& job) const {
    const auto& item = ratios_[job.team];
    return {
        static_cast<std::int64_t>(static_cast<double>(job.declared.millicores) * item.millicores),
        static_cast<std::int64_t>(static_cast<double>(job.declared.memory_mb) * item.memory),
        job.declared.accelerators};
}

placement_index::placement_index(const state& s, const fleet_view& view,
                                 const observations& observed, const size_estimates& sizes)
    : s_(s), view_(view), observed_(observed), sizes_(sizes), indexed_(s.pools.size()),
      free_(s.vms.size()), usable_(s.vms.size()), bucket_position_(s.vms.size()),
      buckets_by_pool_(s.pools.size()), occupied_(s.vms.size()) {}

void placement_index::index_pool(pool_id pool) {
    if (indexed_[pool])
        return;
    indexed_[pool] = true;
    std::int64_t open = 0;
    std::int64_t open_occupied = 0;
    for (const auto id : s_.pools[pool].members) {
        index_worker(id);
        open += s_.vms[id].open ? 1 : 0;
        open_occupied += s_.vms[id].open && occupied_[id] ? 1 : 0;
    }
    if (pool == s_.spare)
        open_vms_left_ = open - open_occupied - static_cast<std::int64_t>(s_.buffer_vms);
}

void placement_index::index_worker(vm_id worker) {
    const auto& vm = s_.vms[worker];
    const auto& report = observed_.report(worker);
    auto& free = free_[worker];
    occupied_[worker] = !s_.tasks[worker].empty();
    free = without_headroom(vm.capacity);
    free -= report.used;
    // Jobs that the report does not show yet count with their expected size.
    for (const auto job : s_.tasks[worker]) {
        const auto& request = s_.jobs.at(job).request;
        team_in_rack_[domain_key(request.team, vm.pool, vm.rack)] += 1;
        team_in_zone_[domain_key(request.team, vm.pool, vm.zone)] += 1;
        if (std::ranges::find(report.tasks, job, &task_report::job) == report.tasks.end())
            free -= sizes_.expected(request);
        else
            free.accelerators -= request.declared.accelerators;
    }
    free.accelerators += report.used.accelerators;
    usable_[worker] = view_.up(worker) && !view_.withdrawn(worker) &&
                      vm.activity == vm_activity::none && !vm.quarantined;
    if (usable_[worker])
        insert(worker);
}

bool placement_index::usable(vm_id worker) {
    index_pool(s_.vms[worker].pool);
    return usable_[worker];
}

const resources& placement_index::free(vm_id worker) {
    index_pool(s_.vms[worker].pool);
    return free_[worker];
}

void placement_index::reserve(vm_id worker, const resources& need) {
    index_pool(s_.vms[worker].pool);
    subtract(worker, need);
}

std::size_t placement_index::bucket_of(std::int64_t millicores) {
    if (millicores <= 0)
        return 0;
    const auto width = std::bit_width(static_cast<std::uint64_t>(millicores));
    return std::min<std::size_t>(static_cast<std::size_t>(width), bucket_count - 1);
}

void placement_index::insert(vm_id worker) {
    auto& bucket = buckets_by_pool_[s_.vms[worker].pool][bucket_of(free_[worker].millicores)];
    bucket_position_[worker] = static_cast<std::uint32_t>(bucket.size());
    bucket.push_back(worker);
}

void placement_index::erase(vm_id worker) {
    auto& bucket = buckets_by_pool_[s_.vms[worker].pool][bucket_of(free_[worker].millicores)];
    const auto last = bucket.back();
    bucket[bucket_position_[worker]] = last;
    bucket_position_[last] = bucket_position_[worker];
    bucket.pop_back();
}

void placement_index::subtract(vm_id worker, const resources& need) {
    if (usable_[worker])
        erase(worker);
    free_[worker] -= need;
    if (usable_[worker])
        insert(worker);
}

void placement_index::unreserve(vm_id worker, const resources& need) {
    subtract(worker, {-need.millicores, -need.memory_mb, -need.accelerators});
}

int placement_index::colocation_penalty(vm_id worker, team_id team) const {
    const auto count = [](const auto& map, std::uint64_t key) {
        const auto it = map.find(key);
        return it == map.end() ? 0 : it->second;
    };
    const auto& vm = s_.vms[worker];
    // Racks fail far more often than availability zones, so sharing one weighs more.
    return 4 * count(team_in_rack_, domain_key(team, vm.pool, vm.rack)) +
           count(team_in_zone_, domain_key(team, vm.pool, vm.zone));
}

// Placing a first job on an open VM must leave enough open VMs without jobs for the buffer.
bool placement_index::open_vm_allowed(vm_id worker) const {
    return !s_.vms[worker].open || occupied_[worker] || open_vms_left_ > 0;
}

vm_id placement_index::find(const query& wanted) {
    index_pool(wanted.pool);
    const auto& pool = buckets_by_pool_[wanted.pool];
    for (auto i = bucket_of(wanted.need.millicores); i < bucket_count; ++i) {
        vm_id best = no_vm;
        std::tuple<int, std::int64_t, vm_id> best_score;
        const auto limit = std::min(pool[i].size(), candidates_per_bucket);
        for (std::size_t k = 0; k < limit; ++k) {
            const auto worker = pool[i][k];
            if (worker == wanted.excluded || !free_[worker].covers(wanted.need) ||
                !open_vm_allowed(worker))
                continue;
            const std::tuple score{colocation_penalty(worker, wanted.team),
                                   free_[worker].millicores, worker};
            if (best == no_vm || score < best_score) {
                best = worker;
                best_score = score;
            }
        }
        if (best != no_vm)
            return best;
    }
    return no_vm;
}

void placement_index::occupy(vm_id worker, const resources& need, team_id team) {
    subtract(worker, need);
    const auto& vm = s_.vms[worker];
    team_in_rack_[domain_key(team, vm.pool, vm.rack)] += 1;
    team_in_zone_[domain_key(team, vm.pool, vm.zone)] += 1;
    if (vm.open && !occupied_[worker])
        --open_vms_left_;
    occupied_[worker] = true;
}

} // namespace clementine::scheduler
