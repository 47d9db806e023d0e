// Case 11: a wave names the machine on which both tasks of a lasting step are at work; one of them may
// be away, and no other minion may run them. The system stops one, and keeps the minion free for an
// upkeep that never comes: it is up, nearly idle, gets no work, and the stopped task never runs again.
#include "harness.hh"

using namespace review;

namespace {

constexpr const char* prefix = "/puxa400/";
constexpr ms finish_time = 14'000; // `finish_s`
constexpr ms stalled_time = 3'000; // of LOST

int run(const std::string& root) {
    std::mutex mutex;
    std::vector<std::unique_ptr<minion>> minions;
    system_processes system({.controls = 3, .entries = 1}, root);
    platform cloud(system.platform_address());
    int next_address = 20;
    cloud.next_minion = [&](const minion_settings& former) {
        const std::lock_guard guard(mutex);
        auto one = former;
        one.id = "i-" + std::to_string(next_address);
        one.address = system.minion_address(next_address++);
        return minions.emplace_back(std::make_unique<minion>(one, system.controls())).get();
    };
    system.start_all();
    system.wait_until_ready();
    if (system.operate("PUT", "/clementineroad/config",
                       configuration(7, {{prefix, "huvo11a"}})).status != 200)
        throw cannot_run{"the configuration was refused"};
    // Seven minions, one of them of kind a.
    for (int i = 0; i < 7; ++i) {
        minion_settings one;
        one.id = "i-" + std::to_string(i);
        one.machine = "m-" + std::to_string(i);
        one.service = "huvo11a";
        one.address = system.minion_address(i);
        one.kind = i == 0 ? "a" : "b";
        one.rack = "r1-" + std::to_string(1 + i % 4);
        const std::lock_guard guard(mutex);
        minions.push_back(std::make_unique<minion>(one, system.controls()));
        cloud.add(minions.back().get());
    }
    const auto front = system.front(0);
    const auto lasting = new_job_id();
    if (!hand_in(front, prefix, lasting,
                 {"lasting",
                  {{.count = 2, .cpu = 3'000, .memory = 1'000, .work = 700, .lasts = true,
                    .label = "a", .may_miss = 1}}}))
        throw cannot_run{"the lasting job was not accepted"};
    wait_for([&] { return jobs.runs_of(lasting).size() == 2; }, 10'000,
             "the lasting tasks have not begun");
    const job_plan short_job{"short", {{.cpu = 1'000, .memory = 500, .work = 500, .label = "a"}}};
    const auto first = new_job_id();
    if (!hand_in(front, prefix, first, short_job))
        throw cannot_run{"the first job was not accepted"};
    wait_for([&] { return state_of(front, prefix, first) == "completed"; }, 10'000,
             "the first job was not completed");

    record.line(trouble() ? "the operator orders a wave over three of the seven machines"
                          : "no trouble");
    // Days have waves over 0.55 of the machines.
    if (trouble())
        system.operate("POST", "/clementineroad/wave-start",
                       R"({"Wave":1,"Machines":["m-0","m-4","m-5"],"DurationS":20,"Cap":1})");
    sleep_ms(22'000);
    if (trouble())
        system.operate("GET", "/clementineroad/wave-get/1", {});
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
    bool lasting_away = true; // a task of the lasting step, all the while
    const auto watch_until = now_ms() + stalled_time + 1'000;
    while (now_ms() < watch_until) {
        const std::lock_guard guard(mutex);
        int all_used = 0;
        for (const auto& one : minions)
            all_used += one->used().cpu;
        bool here = false; // room for the task twice over on a minion of kind a
        for (const auto& one : minions)
            here = here || (one->settings().kind == "a" && !one->is_dark() &&
                            16'000 - one->used().cpu >= 2 * 1'000);
        room = room && here && 2 * all_used < 7 * 16'000;
        int at_work = 0;
        for (const auto& one : jobs.runs_of(lasting))
            at_work += one.ended == 0 ? 1 : 0;
        lasting_away = lasting_away && at_work < 2;
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
    ms last_end = 0;
    for (const auto& one : jobs.runs_of(lasting))
        last_end = std::max(last_end, one.ended);
    // It counts from 6 s after the last run of the task.
    lasting_away = lasting_away && last_end != 0 && now_ms() - last_end > 6'000 + stalled_time;
    record.line("LOST: a lasting task is away: %s, since %lld ms", lasting_away ? "yes" : "no",
                static_cast<long long>(last_end == 0 ? 0 : now_ms() - last_end));
    if (!system.all_running())
        record.line("a process has ended");
    record.line("LOST: %d of %zu accepted jobs have nothing running %lld s after the end of the "
                "traffic, room for them all the while: %s",
                stalled, late.size(), static_cast<long long>((finish_time + stalled_time) / 1'000),
                room ? "yes" : "no");
    cloud.clear();
    return (stalled > 0 || lasting_away) && room ? broken : held;
}

} // namespace

int main(int argc, char** argv) {
    return run_case(argc, argv, run);
}
