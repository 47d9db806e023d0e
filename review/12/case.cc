// Case 12: the one minion of kind b is lost for good, so that the lasting tasks that need it wait.
// From then on no minion of kind a that is at work gets a further task, although most of it is free.
#include "harness.hh"

using namespace review;

namespace {

constexpr const char* prefix = "/puxa400/";
constexpr int minions_of_kind_a = 6;
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
    // Seven minions, of which one is of kind b, with more memory: `srv_crash` allows a share of 0.15.
    std::vector<std::unique_ptr<minion>> minions;
    for (int i = 0; i <= minions_of_kind_a; ++i) {
        minion_settings one;
        one.id = "i-" + std::to_string(i);
        one.machine = "m-" + std::to_string(i);
        one.service = "huvo11a";
        one.address = system.minion_address(i);
        one.kind = i == 0 ? "b" : "a";
        one.rack = i < 4 ? "r1-1" : "r1-2";
        one.memory = i == 0 ? 262'144 : 32'768;
        minions.push_back(std::make_unique<minion>(one, system.controls()));
        cloud.add(minions.back().get());
    }
    const auto front = system.front(0);

    std::vector<std::string> lasting;
    for (int i = 0; i < minions_of_kind_a; ++i) {
        lasting.push_back(new_job_id());
        if (!hand_in(front, prefix, lasting.back(),
                     {"lasting",
                      {{.cpu = 1'000, .memory = 30'000, .work = 700, .lasts = true, .label = "b"}}}))
            throw cannot_run{"a lasting job was not accepted"};
    }
    const auto long_job = new_job_id();
    if (!hand_in(front, prefix, long_job,
                 {"long",
                  {{.count = minions_of_kind_a, .cpu = 2'000, .memory = 4'000, .work = 60'000,
                    .label = "a", .max_per_server = 1}}}))
        throw cannot_run{"the long job was not accepted"};
    wait_for([&] { return jobs.runs_of(long_job).size() == minions_of_kind_a; }, 10'000,
             "the tasks of the long job have not begun");
    for (const auto& id : lasting)
        wait_for([&] { return jobs.has_begun(id); }, 10'000, "a lasting task has not begun");
    const job_plan short_job{"short", {{.cpu = 1'000, .memory = 500, .work = 500}}};
    const auto first = new_job_id();
    if (!hand_in(front, prefix, first, short_job))
        throw cannot_run{"the first job was not accepted"};
    wait_for([&] { return state_of(front, prefix, first) == "completed"; }, 10'000,
             "the first job was not completed");

    record.line(trouble() ? "i-0 is lost for good" : "no trouble");
    if (trouble())
        minions[0]->set_mode(minion_mode::dark);
    sleep_ms(4'000);
    std::vector<std::string> late;
    for (int i = 0; i < 3; ++i) {
        late.push_back(new_job_id());
        if (!hand_in(front, prefix, late.back(), short_job))
            late.pop_back();
    }
    if (late.empty())
        throw cannot_run{"no job was accepted after the trouble"};
    const auto late_lasting = new_job_id();
    const bool lasting_accepted =
        hand_in(front, prefix, late_lasting,
                {"small", {{.cpu = 1'000, .memory = 500, .work = 700, .lasts = true}}});

    record.line("end of the traffic");
    sleep_ms(finish_time);
    bool room = true;
    const auto watch_until = now_ms() + stalled_time + 1'000;
    while (now_ms() < watch_until) {
        int all_used = 0;
        for (const auto& one : minions)
            all_used += one->used().cpu;
        const auto used = minions[1]->used();
        // Room for the task twice over, and less than half of the service's capacity in use.
        room = room && 16'000 - used.cpu >= 2 * 1'000 && 32'768 - used.memory >= 2 * 500 &&
               2 * all_used < minions_of_kind_a * 16'000;
        sleep_ms(100);
    }
    int stalled = 0;
    for (const auto& id : late) {
        const auto state = state_of(front, prefix, id);
        const auto runs = jobs.runs_of(id);
        record.line("job %s: state %s, %zu runs", id.c_str(), state.c_str(), runs.size());
        if (runs.empty() && (state == "queued" || state == "active"))
            ++stalled;
    }
    // `finish_s` doesn't matter for a task that lasts.
    const bool lasting_stalled = lasting_accepted && !jobs.has_begun(late_lasting);
    record.line("LOST: the small lasting job was %s and has %s", lasting_accepted ? "accepted" : "refused",
                lasting_stalled ? "never had a run" : "a run");
    if (!system.all_running())
        record.line("a process has ended");
    record.line("LOST: %d of %zu accepted jobs have nothing running %lld s after the end of the "
                "traffic, room for them all the while: %s",
                stalled, late.size(), static_cast<long long>((finish_time + stalled_time) / 1'000),
                room ? "yes" : "no");
    cloud.clear();
    return (stalled > 0 || lasting_stalled) && room ? broken : held;
}

} // namespace

int main(int argc, char** argv) {
    return run_case(argc, argv, run);
}
