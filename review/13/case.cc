// Case 13: a minion fails all that it starts for 6.5 s while a lasting task is at work on it. After
// that it is sound. Jobs that only it may run are accepted and never started.
#include "harness.hh"

using namespace review;

namespace {

constexpr const char* prefix = "/puxa400/";
constexpr ms grey_time = 6'500;     // `srv_grey`, errors: as long as in the site file
constexpr ms finish_time = 14'000;  // `finish_s`
constexpr ms stalled_time = 3'000;  // of LOST

int run(const std::string& root) {
    system_processes system({.controls = 3, .entries = 1}, root);
    platform cloud(system.platform_address());
    system.start_all();
    system.wait_until_ready();
    if (system.operate("PUT", "/clementineroad/config",
                       configuration(7, {{prefix, "huvo11a"}})).status != 200)
        throw cannot_run{"the configuration was refused"};
    // Seven minions, of which one is of kind b: its share is 0.143, `srv_grey` allows 0.15.
    std::vector<std::unique_ptr<minion>> minions;
    for (int i = 0; i < 7; ++i) {
        minion_settings one;
        one.id = "i-" + std::to_string(i);
        one.machine = "m-" + std::to_string(i);
        one.service = "huvo11a";
        one.address = system.minion_address(i);
        one.kind = i == 0 ? "b" : "a";
        one.rack = i < 4 ? "r1-1" : "r1-2";
        minions.push_back(std::make_unique<minion>(one, system.controls()));
        cloud.add(minions.back().get());
    }
    auto& target = *minions[0];
    const auto front = system.front(0);

    const auto lasting = new_job_id();
    if (!hand_in(front, prefix, lasting,
                 {"lasting", {{.cpu = 3'000, .memory = 1'000, .work = 700, .lasts = true, .label = "b"}}}))
        throw cannot_run{"the lasting job was not accepted"};
    wait_for([&] { return jobs.has_begun(lasting); }, 10'000, "the lasting task has not begun");
    const job_plan short_job{"short", {{.cpu = 1'000, .memory = 500, .work = 500, .label = "b"}}};
    const auto first = new_job_id();
    if (!hand_in(front, prefix, first, short_job))
        throw cannot_run{"the first job was not accepted"};
    wait_for([&] { return state_of(front, prefix, first) == "completed"; }, 10'000,
             "the first job was not completed");

    record.line(trouble() ? "i-0 fails all that it starts for 6.5 s, its health check is good"
                          : "no trouble");
    const auto grey_until = now_ms() + grey_time;
    if (trouble())
        target.set_mode(minion_mode::failing);
    while (now_ms() < grey_until) {
        hand_in(front, prefix, new_job_id(), short_job);
        sleep_ms(700);
    }
    target.set_mode(minion_mode::sound);
    record.line("i-0 is sound");

    sleep_ms(3'000);
    std::vector<std::string> late;
    for (int i = 0; i < 3; ++i) {
        late.push_back(new_job_id());
        if (!hand_in(front, prefix, late.back(), short_job))
            late.pop_back();
    }
    if (late.empty())
        throw cannot_run{"no job was accepted after the trouble"};
    const auto other = new_job_id();
    const bool other_accepted = hand_in(
        front, prefix, other, {"other", {{.cpu = 1'000, .memory = 500, .work = 500}}});

    record.line("end of the traffic");
    sleep_ms(finish_time);
    int stalled = 0;
    const auto watch_until = now_ms() + stalled_time + 1'000;
    bool room = true;
    while (now_ms() < watch_until) {
        const auto used = target.used();
        int all_used = 0;
        for (const auto& one : minions)
            all_used += one->used().cpu;
        // Room for the task twice over, and less than half of the service's capacity in use.
        room = room && 16'000 - used.cpu >= 2 * 1'000 && 32'768 - used.memory >= 2 * 500 &&
               2 * all_used < 7 * 16'000;
        sleep_ms(100);
    }
    for (const auto& id : late) {
        const auto state = state_of(front, prefix, id);
        const auto runs = jobs.runs_of(id);
        record.line("job %s: state %s, %zu runs", id.c_str(), state.c_str(), runs.size());
        if (runs.empty() && (state == "queued" || state == "active"))
            ++stalled;
    }
    if (other_accepted)
        record.line("job %s without a label: state %s", other.c_str(),
                    state_of(front, prefix, other).c_str());
    if (!system.all_running())
        record.line("a process has ended");
    record.line("LOST: %d of %zu accepted jobs have nothing running %lld s after the end of the "
                "traffic, room for them all the while: %s",
                stalled, late.size(), static_cast<long long>((finish_time + stalled_time) / 1'000),
                room ? "yes" : "no");
    cloud.clear();
    return stalled > 0 && room ? broken : held;
}

} // namespace

int main(int argc, char** argv) {
    return run_case(argc, argv, run);
}
