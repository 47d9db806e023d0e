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

// A fleet with the pools and teams of design section 1.6; one fifth of it is the spare pool.
manifest::manifest fleet_of(std::int64_t workers) {
    manifest::manifest value;
    for (int i = 0; i < 27; ++i)
        value.availability_zones.push_back("az-" + std::to_string(i));
    value.vms = workers;
    const auto size = workers * 4 / 5 / (pool_count - 1);
    for (int i = 0; i < pool_count; ++i) {
        const auto name = "pool-" + std::to_string(i);
        const bool spare = i == pool_count - 1;
        const auto held = spare ? workers - size * (pool_count - 1) : size;
        value.pools.push_back({name, held, spare, held / 2});
        manifest::service service;
        service.name = name;
        service.pool = name;
        service.min_available = std::max<std::int64_t>(1, held / 2);
        value.services.push_back(service);
    }
    for (int i = 0; i < team_count; ++i)
        value.teams.push_back({"team-" + std::to_string(i), workers * 16 / team_count, true});
    value.maintenance_settings.enabled = true;
    value.maintenance_settings.max_concurrent = std::max<std::int64_t>(1, workers / 300);
    return value;
}

// Reports of all VMs as a healthy platform would send them: everything ordered is done.
void report_all(leader& acting, const state& s, std::uint64_t round, time_ms now) {
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
    const auto passed = [](clock::time_point since) {
        return std::chrono::duration<double, std::milli>(clock::now() - since).count();
    };
    auto s = make_state(fleet_of(workers));
    std::uint64_t index = 1;
    leader acting(s, 0);
    std::vector<double> decide;
    std::vector<double> commands;
    time_ms now = 0;
    constexpr int warm_up = 20;
    for (int round = 0; round < warm_up + measured_rounds; ++round) {
        now += 1'000;
        // A tenth of the workers gets a job while the fleet fills, then one in a thousand.
        const auto jobs = round < warm_up ? workers / 20 : workers / 1'000 + 1;
        for (std::int64_t i = 0; i < jobs; ++i) {
            submit_job job;
            job.team = static_cast<team_id>(i % team_count);
            job.pool = static_cast<pool_id>((i * 7 + round) % pool_count);
            job.declared = {2'000, 1'024, 0};
            apply(s, {job, "", now}, ++index);
        }
        report_all(acting, s, static_cast<std::uint64_t>(round), now);
        for (int pool = 0; pool < pool_count; ++pool) {
            const double slots = (round + pool) % 7 == 0 ? 60 : 2;
            acting.observe({static_cast<pool_id>(pool), slots, 0}, now);
        }
        const auto begin = clock::now();
        const auto batch = acting.decide(s, now, 12);
        const auto decided = passed(begin);
        for (const auto& entry : batch)
            apply(s, entry, ++index);
        const auto middle = clock::now();
        acting.commands(s, now);
        if (round >= warm_up) {
            decide.push_back(decided);
            commands.push_back(passed(middle));
        }
    }
    std::ranges::sort(decide);
    std::ranges::sort(commands);
    return {decide[decide.size() / 2], commands[commands.size() / 2], s.bytes() + acting.bytes()};
}

} // namespace

void print_round_times() {
    constexpr std::array<std::int64_t, 5> sizes{500, 2'000, 8'000, 16'000, 32'000};
    std::printf("round time, median of %d rounds, %d pools, %d teams; ratio 1 is linear\n",
                measured_rounds, pool_count, team_count);
    double first = 0;
    for (const auto workers : sizes) {
        const auto m = measure(workers);
        const double each = (m.decide_ms + m.commands_ms) / static_cast<double>(workers);
        if (first == 0)
            first = each;
        std::printf("workers=%lld decide_ms=%.2f commands_ms=%.2f time_per_worker_ratio=%.2f "
                    "core_share_at_1_round_per_s=%.2f%% bytes=%zu\n",
                    static_cast<long long>(workers), m.decide_ms, m.commands_ms, each / first,
                    (m.decide_ms + m.commands_ms) / 10, m.bytes);
    }
}

} // namespace clementine::scheduler
