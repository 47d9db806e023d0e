// Case 14: for 4 s the tail of a serving task is over its target. The system pauses the tasks that fill
// beside it, then takes them for stalled, because they do not go on, and the sound minion for one that
// fails. The minion gets no run any more.
#include "harness.hh"

using namespace review;

namespace {

constexpr const char* prefix = "/puxa400/";
constexpr ms high_tail_time = 4'000; // as long as a `burst` of the site
constexpr int target_tail = 200;
constexpr ms finish_time = 14'000; // `finish_s`
constexpr ms stalled_time = 3'000; // of LOST

int run(const std::string& root) {
    system_processes system({.controls = 3, .entries = 1}, root);
    platform cloud(system.platform_address());
    system.start_all();
    system.wait_until_ready();
    if (system.operate("PUT", "/clementineroad/config",
                       configuration(7, {{prefix, "huvo11a"}})).status != 200)
        throw cannot_run{"the configuration was refused"};
    // Seven minions, one of them of kind a.
    std::vector<std::unique_ptr<minion>> minions;
    for (int i = 0; i < 7; ++i) {
        minion_settings one;
        one.id = "i-" + std::to_string(i);
        one.machine = "m-" + std::to_string(i);
        one.service = "huvo11a";
        one.address = system.minion_address(i);
        one.kind = i == 0 ? "a" : "b";
        one.rack = i < 4 ? "r1-1" : "r1-2";
        minions.push_back(std::make_unique<minion>(one, system.controls()));
        cloud.add(minions.back().get());
    }
    auto& target = *minions[0];
    const auto front = system.front(0);
    const auto serving = new_job_id();
    if (!hand_in(front, prefix, serving,
                 {"serving",
                  {{.cpu = 3'000, .memory = 1'000, .work = 700, .lasts = true, .label = "a",
                    .target = target_tail}}}))
        throw cannot_run{"the serving job was not accepted"};
    wait_for([&] { return jobs.has_begun(serving); }, 10'000, "the serving task has not begun");
    const job_plan short_job{"short", {{.cpu = 1'000, .memory = 500, .work = 500, .label = "a"}}};
    const auto first = new_job_id();
    if (!hand_in(front, prefix, first, short_job))
        throw cannot_run{"the first job was not accepted"};
    wait_for([&] { return state_of(front, prefix, first) == "completed"; }, 10'000,
             "the first job was not completed");
    std::vector<std::string> filling;
    for (int i = 0; i < 4; ++i) {
        filling.push_back(new_job_id());
        if (!hand_in(front, prefix, filling.back(),
                     {"filling",
                      {{.cpu = 2'000, .memory = 500, .work = 12'000, .label = "a", .fills = true}}}))
            throw cannot_run{"a filling job was not accepted"};
    }
    for (const auto& id : filling)
        wait_for([&] { return jobs.has_begun(id); }, 10'000, "a filling task has not begun");
    sleep_ms(1'000);

    const auto high_until = now_ms() + high_tail_time;
    record.line(trouble() ? "the tail of the serving task is 300 ms" : "no trouble");
    if (trouble())
        target.set_tail(target_tail * 3 / 2);
    sleep_ms(high_until - now_ms());
    target.set_tail(50);
    record.line("the tail of the serving task is 50 ms");

    sleep_ms(4'000);
    std::vector<std::string> late;
    for (int i = 0; i < 3; ++i) {
        late.push_back(new_job_id());
        if (!hand_in(front, prefix, late.back(), short_job))
            late.pop_back();
    }
    if (late.empty())
        throw cannot_run{"no job was accepted after the trouble"};
    record.line("end of the traffic");
    sleep_ms(finish_time);
    bool room = true;
    const auto watch_until = now_ms() + stalled_time + 1'000;
    while (now_ms() < watch_until) {
        int all_used = 0;
        for (const auto& one : minions)
            all_used += one->used().cpu;
        // Room for the task twice over, and less than half of the service's capacity in use.
        room = room && 16'000 - target.used().cpu >= 2 * 1'000 && 2 * all_used < 7 * 16'000;
        sleep_ms(100);
    }
    int stalled = 0;
    for (const auto* list : {&late, &filling}) {
        for (const auto& id : *list) {
            const auto state = state_of(front, prefix, id);
            const auto runs = jobs.runs_of(id);
            record.line("job %s: state %s, %zu runs", id.c_str(), state.c_str(), runs.size());
            const bool running = !runs.empty() && runs.back().ended == 0;
            if (!running && (state == "queued" || state == "active"))
                ++stalled;
        }
    }
    if (!system.all_running())
        record.line("a process has ended");
    record.line("LOST: %d of %zu accepted jobs have nothing running %lld s after the end of the "
                "traffic, room for them all the while: %s",
                stalled, late.size() + filling.size(),
                static_cast<long long>((finish_time + stalled_time) / 1'000), room ? "yes" : "no");
    cloud.clear();
    return stalled > 0 && room ? broken : held;
}

} // namespace

int main(int argc, char** argv) {
    return run_case(argc, argv, run);
}
