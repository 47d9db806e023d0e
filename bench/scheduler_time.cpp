#include "scheduler_time.h"

#include "scheduler/leader.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <cstdio>
#include <map>

namespace clementine::scheduler {

namespace {

constexpr int pool_count = 172;
constexpr int team_count = 69;
constexpr int measured_rounds = 10;

// Fleet with the pool and team counts of design section 1.6. One fifth of the VMs are spare.
manifest::manifest make_fleet(std::int64_t workers) {
    manifest::manifest value;
    for (int i = 0; i < 27; ++i)
        value.availability_zones.push_back("az-" + std::to_string(i));
    value.vms = workers;
    const auto size = workers * 4 / 5 / (pool_count - 1);
    for (int i = 0; i < pool_count; ++i) {
        const auto name = "pool-" + std::to_string(i);
        const bool spare = i == pool_count - 1;
        const auto pool_size = spare ? workers - size * (pool_count - 1) : size;
        value.pools.push_back({name, pool_size, spare, pool_size / 2});
        manifest::service service;
        service.name = name;
        service.pool = name;
        service.min_available = std::max<std::int64_t>(1, pool_size / 2);
        value.services.push_back(service);
    }
    for (int i = 0; i < team_count; ++i)
        value.teams.push_back({"team-" + std::to_string(i), workers * 16 / team_count, true});
    value.maintenance_settings.enabled = true;
    value.maintenance_settings.max_concurrent = std::max<std::int64_t>(1, workers / 300);
    return value;
}

// Reports all VMs as a healthy platform would, with every command carried out.
void report_all_vms(leader& acting, const state& s, std::uint64_t round, time_ms now) {
    for (vm_id id = 0; id < s.vms.size(); ++id) {
        const auto& vm = s.vms[id];
        vm_report report;
        report.vm = id;
        report.sequence = round + 1;
        report.lease_epoch = 1;
        report.assignment = vm.assignment_index;
        report.drain =
            vm.activity == vm_activity::draining || vm.activity == vm_activity::maintenance_draining
                ? vm.activity_index
                : 0;
        report.restart = vm.activity == vm_activity::rebooting ? vm.activity_index : 0;
        report.ready = !vm.open;
        for (const auto job : s.tasks[id]) {
            const auto& record = s.jobs.at(job);
            report.tasks.push_back(
                {job, record.attempt, task_phase::running, 0, 100, record.request.declared});
            report.used += record.request.declared;
        }
        acting.observe(s, report, now);
    }
}

struct measurement {
    double decide_ms = 0;
    double commands_ms = 0;
    std::size_t bytes = 0;
};

measurement measure(std::int64_t workers) {
    using clock = std::chrono::steady_clock;
    const auto elapsed_ms = [](clock::time_point since) {
        return std::chrono::duration<double, std::milli>(clock::now() - since).count();
    };
    auto s = make_state(make_fleet(workers));
    std::uint64_t index = 1;
    leader acting(s, 0);
    std::vector<double> decide_times;
    std::vector<double> command_times;
    time_ms now = 0;
    constexpr int warm_up = 20;
    for (int round = 0; round < warm_up + measured_rounds; ++round) {
        now += 1'000;
        // Submits one job per 20 workers in each warm-up round, then one per 1,000.
        const auto jobs = round < warm_up ? workers / 20 : workers / 1'000 + 1;
        for (std::int64_t i = 0; i < jobs; ++i) {
            submit_job job;
            job.team = static_cast<team_id>(i % team_count);
            job.pool = static_cast<pool_id>((i * 7 + round) % pool_count);
            job.declared = {2'000, 1'024, 0};
            apply(s, {job, "", now}, ++index);
        }
        report_all_vms(acting, s, static_cast<std::uint64_t>(round), now);
        for (int pool = 0; pool < pool_count; ++pool) {
            const double slots = (round + pool) % 7 == 0 ? 60 : 2;
            acting.observe({static_cast<pool_id>(pool), slots, 0}, now);
        }
        const auto decide_start = clock::now();
        const auto batch = acting.decide(s, now, 12);
        const auto decide_ms = elapsed_ms(decide_start);
        for (const auto& entry : batch)
            apply(s, entry, ++index);
        const auto commands_start = clock::now();
        acting.commands(s, now);
        if (round >= warm_up) {
            decide_times.push_back(decide_ms);
            command_times.push_back(elapsed_ms(commands_start));
        }
    }
    std::ranges::sort(decide_times);
    std::ranges::sort(command_times);
    return {decide_times[decide_times.size() / 2], command_times[command_times.size() / 2],
            s.bytes() + acting.bytes()};
}

} // namespace

void print_round_times() {
    constexpr std::array<std::int64_t, 5> worker_counts{500, 2'000, 8'000, 16'000, 32'000};
    std::printf("round time, median of %d rounds, %d pools, %d teams; ratio 1 is linear\n",
                measured_rounds, pool_count, team_count);
    double baseline_ms_per_worker = 0;
    for (const auto workers : worker_counts) {
        const auto result = measure(workers);
        const double ms_per_worker =
            (result.decide_ms + result.commands_ms) / static_cast<double>(workers);
        if (baseline_ms_per_worker == 0)
            baseline_ms_per_worker = ms_per_worker;
        std::printf("workers=%lld decide_ms=%.2f commands_ms=%.2f time_per_worker_ratio=%.2f "
                    "core_share_at_1_round_per_s=%.2f%% bytes=%zu\n",
                    static_cast<long long>(workers), result.decide_ms, result.commands_ms,
                    ms_per_worker / baseline_ms_per_worker,
                    (result.decide_ms + result.commands_ms) / 10, result.bytes);
    }
}

} // namespace clementine::scheduler
