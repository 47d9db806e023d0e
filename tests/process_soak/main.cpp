// Soak test of the real programs under injected faults: processes are killed, paused, stopped and
// lose their data, links to workers are delayed, reset and dropped, and operators send concurrent
// configurations while callers submit jobs. Checks the results that callers and workers observe.
// Usage: process_soak --programs DIR [--seed N] [--seconds S] [--folder DIR] [--size small|large]
#include "base/ini.h"
#include "base/random.h"
#include "control/http_pool.h"
#include "jobs/standin_worker.h"
#include "process_soak/process_fleet.h"
#include "process_soak/relay.h"

#include <boost/asio/ip/address.hpp>

#include <algorithm>
#include <csignal>
#include <deque>
#include <iostream>
#include <map>
#include <set>
#include <utility>

namespace {

using namespace clementine;
using namespace clementine::control;
using namespace clementine::process_soak;

constexpr time_ms job_interval{60};
constexpr time_ms config_interval{700};
constexpr time_ms fault_interval{600};
constexpr time_ms call_timeout{4'000};
constexpr time_ms completion_timeout{30'000};
// A wiped control node must be a voter again before the next control node fault.
constexpr time_ms catch_up_time{6'000};
constexpr unsigned status_ok = 200;

// Less than what connections to workers, entry nodes and operators would take without a budget. The
// odd seeds of the small size run with it.
constexpr std::size_t few_open_files = 256;

struct deployment_size {
    int controls = 5;
    int entries = 2;
    int workers = 4;
    int tolerated_losses = 1;
};
constexpr deployment_size small_size;
constexpr deployment_size large_size{
    .controls = 9, .entries = 16, .workers = 100, .tolerated_losses = 2};

struct arguments {
    std::string programs = "build/bin";
    std::string folder = "build/process-soak";
    std::uint64_t seed = 1;
    int seconds = 20;
    bool large = false;
};

struct submitted_job {
    bool accepted = false;
    bool only_refusals = true; // every response so far was a refusal
    int open_calls = 0;
    std::string state;
};

class soak {
  public:
    explicit soak(const arguments& options)
        : options_(options), size_(options.large ? large_size : small_size), random_(options.seed),
          fleet_({options.programs, options.folder, network_prefix(options.seed), size_.controls,
                  size_.entries, size_.tolerated_losses,
                  options.seed % 2 == 1 && !options.large ? few_open_files : 0}) {}

    int run();

  private:
    // Each seed has its own addresses, so that several runs can share a machine.
    static std::string network_prefix(std::uint64_t seed) {
        return "127." + std::to_string(60 + seed % 150);
    }
    http_pool& pool(const std::string& address);
    // A caller reaches an entry node, an operator a control node.
    std::string random_entry() {
        return fleet_.entry_address(static_cast<int>(random_.below(size_.entries)));
    }
    std::string random_control() {
        return fleet_.control_address(static_cast<int>(random_.below(size_.controls)));
    }
    void call(const std::string& address, http_call request,
              std::function<void(const http_result&)> on_result);
    void start_worker(int index);
    void replace_worker(int index);
    void submit(const std::string& id);
    void send_configurations();
    void read_configuration();
    void inject_fault();
    void restore_links();
    void stop_process(const std::string& name, int signal, bool wipe, time_ms pause);
    void pause_process(const std::string& name, time_ms pause);
    void send_signals(const std::string& name);
    void lose_power();
    int control_nodes_down() const;
    void run_due_actions();
    void run_after(time_ms after, std::function<void()> action) {
        scheduled_actions_.emplace(clock_.now() + after, std::move(action));
    }
    // For an action on a process, which a loss of power makes void.
    void run_if_powered(time_ms after, std::function<void()> action) {
        run_after(after, [this, count = power_losses_, action = std::move(action)] {
            if (count == power_losses_)
                action();
        });
    }
    // Requests that are open within this time may stay without an answer.
    void mark_disturbed(const std::string& name, time_ms duration = 0) {
        const auto index = std::stoi(name.substr(name.rfind('-') + 1));
        disturbed_at_[name.starts_with("core-") ? fleet_.control_address(index)
                                                : fleet_.entry_address(index)] =
            clock_.now() + duration;
    }
    // Right after an acknowledgement, or up to 100 ms later.
    void acknowledged() {
        if (std::exchange(power_loss_awaited_, false))
            run_after(random_.chance(0.5) ? 0 : random_.between(0, 100), [this] { lose_power(); });
    }
    void run_for(time_ms duration);
    bool query_open_jobs();
    void report_violation(const std::string& text) {
        std::cout << "process_soak: VIOLATION seed=" << options_.seed << " " << text << '\n';
        ++violation_count_;
    }
    static std::string configuration(std::uint64_t version) {
        return R"({"Version":)" + std::to_string(version) +
               R"(,"Routes":[{"Name":"r1","Host":"h","PathPrefix":"/q/","TimeoutMs":3000,)"
               R"("TargetLatencyMs":8000,"Service":"s1","Attempts":4,"Stretch":3.0}],)"
               R"("Services":[{"Name":"s1"}]})";
    }

    arguments options_;
    deployment_size size_;
    random_source random_;
    boost::asio::io_context loop_{1};
    steady_clock clock_;
    process_fleet fleet_;
    std::map<std::string, std::shared_ptr<http_pool>> pools_;
    std::vector<std::unique_ptr<standin_worker>> workers_;
    std::vector<std::unique_ptr<standin_worker>> replaced_workers_;
    std::vector<std::shared_ptr<relay>> relays_;
    std::multimap<time_ms, std::function<void()>> scheduled_actions_;
    std::map<std::string, submitted_job> jobs_;
    std::map<std::string, int> active_runs_; // concurrent runs by task
    std::map<std::string, int> completed_runs_;
    std::map<std::string, std::int64_t> latest_run_; // highest run that has started, by task
    std::set<std::string> done_acknowledged_;        // tasks
    std::set<std::string> unavailable_processes_;    // killed, stopped or paused processes
    std::map<std::string, time_ms> disturbed_at_;    // by address
    time_ms next_control_fault_at_{0};
    bool power_loss_awaited_ = false;
    int power_losses_ = 0;
    std::uint64_t sent_version_ = 0;
    std::uint64_t acknowledged_version_ = 0;
    int next_worker_id_ = 0;
    int fault_count_ = 0;
    int violation_count_ = 0;
};

http_pool& soak::pool(const std::string& address) {
    auto& found = pools_[address];
    if (!found) {
        const auto parsed = parse_endpoint(address).value_or(endpoint_text{"127.0.0.1", 1});
        found = std::make_shared<http_pool>(
            loop_, clock_,
            boost::asio::ip::tcp::endpoint(boost::asio::ip::make_address(parsed.address),
                                           parsed.port),
            16);
    }
    return *found;
}

void soak::call(const std::string& address, http_call request,
                std::function<void(const http_result&)> on_result) {
    const auto description = request.method + " " + request.target;
    const auto check = [this, address, description, asked_at = clock_.now(),
                        on_result = std::move(on_result)](const http_result& result) {
        if (result.failure == call_failure::timeout &&
            std::max(asked_at, result.sent_at) > disturbed_at_[address])
            report_violation(address + " left " + description + " without an answer");
        on_result(result);
    };
    pool(address).request(std::move(request), call_timeout, check);
}

void soak::start_worker(int index) {
    standin_worker_options options;
    options.id = "i-" + std::to_string(next_worker_id_++);
    options.pool = "s1";
    options.ip = network_prefix(options_.seed) + ".1." + std::to_string(index + 1);
    for (int i = 0; i < size_.controls; ++i)
        options.controls.push_back(fleet_.control_address(i));
    options.run_started = [this](const std::string& task, std::int64_t run) {
        if (++active_runs_[task] > 1)
            report_violation("task " + task + " has two concurrent runs");
        latest_run_[task] = std::max(latest_run_[task], run);
        if (done_acknowledged_.contains(task))
            report_violation("task " + task + " started after its end was acknowledged");
        const auto job = jobs_.find(task.substr(0, task.find('.')));
        if (job == jobs_.end())
            report_violation("task " + task + " was never submitted");
        else if (!job->second.accepted && job->second.only_refusals && job->second.open_calls == 0)
            report_violation("task " + task + " started although its job was refused");
    };
    options.run_ended = [this](const std::string& task, const std::string& outcome) {
        --active_runs_[task];
        completed_runs_[task] += outcome == "done" ? 1 : 0;
    };
    options.end_acknowledged = [this](const std::string& task, std::int64_t run,
                                      const std::string& outcome) {
        if (outcome != "done")
            return;
        done_acknowledged_.insert(task);
        if (latest_run_[task] > run)
            report_violation("the end of run " + std::to_string(run) + " of task " + task +
                             " was acknowledged after run " + std::to_string(latest_run_[task]) +
                             " had started");
    };
    auto worker = std::make_unique<standin_worker>(loop_, clock_, options);
    const auto error = worker->start();
    if (!error.empty())
        report_violation("stand-in worker: " + error);
    const auto worker_relay = std::make_shared<relay>(loop_, worker->endpoint());
    worker_relay->listen(options.ip);
    worker->announce_as(options.ip + ":" + std::to_string(worker_relay->port()));
    if (index < static_cast<int>(workers_.size())) {
        replaced_workers_.push_back(std::move(workers_[index]));
        relays_[index]->stop();
        workers_[index] = std::move(worker);
        relays_[index] = worker_relay;
    } else {
        workers_.push_back(std::move(worker));
        relays_.push_back(worker_relay);
    }
}

void soak::replace_worker(int index) {
    workers_[index]->stop();
    start_worker(index);
}

void soak::submit(const std::string& id) {
    auto& job = jobs_[id];
    ++job.open_calls;
    const int tasks = 1 + static_cast<int>(random_.below(4));
    const auto work = std::to_string(random_.between(20, 600));
    const auto body = R"({"Spec":")" + work + R"(","Steps":[{"Count":)" + std::to_string(tasks) +
                      R"(,"Cpu":300,"MemMb":16,"EstimateMs":300},{"Count":1,"Cpu":300,)"
                      R"("MemMb":16,"EstimateMs":300,"DependsOn":[0]}]})";
    const auto entry = random_entry();
    call(entry, {"POST", "/q/" + id, {{"Host", "h"}}, body}, [this, id](const http_result& result) {
        auto& answered_job = jobs_[id];
        --answered_job.open_calls;
        constexpr unsigned not_found = 404;
        constexpr unsigned too_many = 429;
        constexpr unsigned unavailable = 503;
        const bool refused =
            !result.failure && (result.status == not_found || result.status == too_many ||
                                result.status == unavailable);
        if (!result.failure && result.status == status_ok) {
            answered_job.accepted = true;
            acknowledged();
        }
        if (!refused)
            answered_job.only_refusals = false;
    });
}

// Two operators send configurations at the same time, the second one an older version.
void soak::send_configurations() {
    const auto version = ++sent_version_;
    for (const auto sent : {version, version > 1 ? version - 1 : version}) {
        const auto control = random_control();
        call(control, {"PUT", "/clementineroad/config", {}, configuration(sent)},
             [this, sent](const http_result& result) {
                 if (result.failure || result.status != status_ok)
                     return;
                 acknowledged_version_ = std::max(acknowledged_version_, sent);
                 acknowledged();
             });
    }
}

void soak::read_configuration() {
    const auto acknowledged = acknowledged_version_;
    const auto control = random_control();
    call(control, {"GET", "/clementineroad/config", {}, {}},
         [this, acknowledged, control](const http_result& result) {
             if (result.failure || result.status != status_ok)
                 return;
             boost::system::error_code error;
             const auto document = boost::json::parse(result.body, error);
             const auto* version_field = error || !document.is_object()
                                             ? nullptr
                                             : document.as_object().if_contains("Version");
             const auto version = version_field ? version_field->to_number<std::uint64_t>() : 0;
             if (version < acknowledged)
                 report_violation(control + " reads version " + std::to_string(version) +
                                  " after " + std::to_string(acknowledged) + " was acknowledged");
             // What was shown once is not taken back either.
             acknowledged_version_ = std::max(acknowledged_version_, version);
         });
}

void soak::stop_process(const std::string& name, int signal, bool wipe, time_ms pause) {
    if (!fleet_.signal(name, signal))
        return;
    unavailable_processes_.insert(name);
    if (signal == SIGKILL)
        mark_disturbed(name);
    const auto restart = [this, name, wipe, pause, signal] {
        const int code = fleet_.reap(name);
        if (signal == SIGTERM && code != 0)
            report_violation(name + " exited with code " + std::to_string(code) + " after SIGTERM");
        if (wipe)
            fleet_.wipe_data(name);
        run_if_powered(pause, [this, name] {
            fleet_.start(name, false);
            unavailable_processes_.erase(name);
        });
    };
    // After SIGTERM a process has 6 s to exit.
    run_if_powered(signal == SIGTERM ? 6'000 : 10, restart);
}

void soak::pause_process(const std::string& name, time_ms pause) {
    if (!fleet_.signal(name, SIGSTOP))
        return;
    unavailable_processes_.insert(name);
    mark_disturbed(name, pause);
    run_if_powered(pause, [this, name] {
        fleet_.signal(name, SIGCONT);
        mark_disturbed(name);
        unavailable_processes_.erase(name);
    });
}

// Signals in quick succession while the configuration changes, until the process is stopped.
void soak::send_signals(const std::string& name) {
    unavailable_processes_.insert(name);
    time_ms after = 0;
    for (auto count = 1 + random_.below(5); count > 0; --count) {
        const bool hang_up = random_.chance(0.5);
        run_if_powered(after, [this, name, hang_up] {
            fleet_.signal(name, hang_up ? SIGHUP : SIGSTOP);
            send_configurations();
        });
        after += random_.between(0, 300);
        run_if_powered(after, [this, name] {
            fleet_.signal(name, SIGCONT);
            mark_disturbed(name);
        });
    }
    const int last = random_.chance(0.5) ? SIGTERM : SIGKILL;
    run_if_powered(
        after, [this, name, last] { stop_process(name, last, false, random_.between(0, 1'000)); });
}

// Kills all processes at one moment and wipes as many control nodes as are tolerated. Half of the
// time these are the seeds, which have been voters longest.
void soak::lose_power() {
    ++power_losses_;
    unavailable_processes_.clear();
    std::set<int> wiped;
    if (clock_.now() >= next_control_fault_at_) {
        const auto wipes = random_.below(size_.tolerated_losses + 1);
        const int candidates = random_.chance(0.5) ? 3 : size_.controls;
        while (wiped.size() < wipes)
            wiped.insert(static_cast<int>(random_.below(candidates)));
        if (wipes > 0)
            next_control_fault_at_ = clock_.now() + 2'000 + catch_up_time;
    }
    for (const auto& name : fleet_.names()) {
        fleet_.signal(name, SIGKILL);
        mark_disturbed(name);
        unavailable_processes_.insert(name);
    }
    for (const auto& name : fleet_.names())
        fleet_.reap(name);
    for (const int index : wiped)
        fleet_.wipe_data("core-" + std::to_string(index));
    for (const auto& name : fleet_.names()) {
        run_if_powered(random_.between(0, 2'000), [this, name] {
            fleet_.start(name, false);
            unavailable_processes_.erase(name);
        });
    }
}

int soak::control_nodes_down() const {
    return static_cast<int>(std::ranges::count_if(
        unavailable_processes_, [](const auto& name) { return name.starts_with("core-"); }));
}

void soak::inject_fault() {
    ++fault_count_;
    const auto control_node = "core-" + std::to_string(random_.below(size_.controls));
    const bool control_fault_allowed = control_nodes_down() < size_.tolerated_losses &&
                                       !unavailable_processes_.contains(control_node) &&
                                       clock_.now() >= next_control_fault_at_;
    const auto entry_node = "edge-" + std::to_string(random_.below(size_.entries));
    const int worker_index = static_cast<int>(random_.below(size_.workers));
    switch (random_.below(14)) {
    case 0:
    case 1:
        if (control_fault_allowed)
            stop_process(control_node, SIGKILL, false, random_.between(0, 3'000));
        break;
    case 2:
        if (control_fault_allowed) {
            next_control_fault_at_ = clock_.now() + 2'000 + catch_up_time;
            stop_process(control_node, SIGKILL, true, random_.between(0, 2'000));
        }
        break;
    case 3:
        if (control_fault_allowed)
            stop_process(control_node, SIGTERM, false, random_.between(0, 1'000));
        break;
    case 4:
        if (control_fault_allowed)
            pause_process(control_node, random_.between(200, 5'000));
        break;
    case 5:
        if (!unavailable_processes_.contains(entry_node))
            stop_process(entry_node, random_.chance(0.5) ? SIGTERM : SIGKILL, false, 200);
        break;
    case 6:
        replace_worker(worker_index);
        break;
    case 7:
        relays_[worker_index]->reset();
        break;
    case 8:
        if (!unavailable_processes_.contains(entry_node))
            send_signals(entry_node);
        break;
    case 9:
        if (control_fault_allowed)
            send_signals(control_node);
        break;
    case 10:
        power_loss_awaited_ = true;
        break;
    case 11:
        if (random_.chance(0.5))
            lose_power();
        break;
    default: {
        const auto mode = static_cast<relay_mode>(1 + random_.below(3));
        const auto worker_relay = relays_[worker_index];
        worker_relay->set_mode(mode);
        run_after(random_.between(300, 8'000),
                  [worker_relay] { worker_relay->set_mode(relay_mode::pass); });
    }
    }
}

void soak::restore_links() {
    for (const auto& worker_relay : relays_)
        worker_relay->set_mode(relay_mode::pass);
}

void soak::run_due_actions() {
    while (!scheduled_actions_.empty() && scheduled_actions_.begin()->first <= clock_.now()) {
        const auto action = std::move(scheduled_actions_.begin()->second);
        scheduled_actions_.erase(scheduled_actions_.begin());
        action();
    }
    for (const auto& name : fleet_.names()) {
        if (unavailable_processes_.contains(name) || !fleet_.has_exited(name))
            continue;
        report_violation(name + " exited unexpectedly");
        fleet_.start(name, false);
    }
}

void soak::run_for(time_ms duration) {
    const auto end = clock_.now() + duration;
    while (clock_.now() < end) {
        run_due_actions();
        loop_.run_for(std::chrono::milliseconds(10));
    }
}

// Requests the state of every accepted job not known to be completed; true if there is none.
bool soak::query_open_jobs() {
    bool every_job_completed = true;
    for (auto& [id, job] : jobs_) {
        if (!job.accepted || job.state == "completed")
            continue;
        every_job_completed = false;
        const auto entry = random_entry();
        call(entry, {"GET", "/q/" + id, {{"Host", "h"}}, {}},
             [this, id = id](const http_result& result) {
                 if (result.failure)
                     return;
                 constexpr unsigned gone = 410;
                 if (result.status == gone)
                     jobs_[id].state = "gone";
                 if (result.status == status_ok)
                     jobs_[id].state = result.body.find("completed") != std::string::npos
                                           ? "completed"
                                           : result.body;
             });
    }
    return every_job_completed;
}

int soak::run() {
    fleet_.start_all();
    for (int i = 0; i < size_.workers; ++i)
        start_worker(i);
    while (acknowledged_version_ == 0) {
        send_configurations();
        run_for(500);
    }
    run_for(3'000); // the other voters join
    const auto end = clock_.now() + options_.seconds * time_ms{1'000};
    auto next_job = clock_.now();
    auto next_config = clock_.now();
    auto next_fault = clock_.now();
    int job_number = 0;
    std::deque<std::string> recent_jobs;
    while (clock_.now() < end) {
        run_for(10);
        if (clock_.now() >= next_job) {
            next_job += job_interval;
            auto digits = std::to_string(++job_number);
            const auto id = std::string(16 - digits.size(), '0') + digits;
            submit(id);
            recent_jobs.push_back(id);
            if (recent_jobs.size() > 20)
                recent_jobs.pop_front();
            // Callers repeat requests, also seconds after an acknowledgement.
            if (random_.chance(0.3))
                submit(recent_jobs[random_.below(recent_jobs.size())]);
        }
        if (clock_.now() >= next_config) {
            next_config += config_interval;
            send_configurations();
            read_configuration();
        }
        if (clock_.now() >= next_fault) {
            next_fault += random_.between(fault_interval / 2, 2 * fault_interval);
            inject_fault();
        }
    }
    restore_links();
    run_for(9'000); // pending stops and restarts finish
    const auto deadline = clock_.now() + completion_timeout;
    while (!query_open_jobs() && clock_.now() < deadline)
        run_for(500);
    int accepted = 0;
    for (const auto& [id, job] : jobs_) {
        accepted += job.accepted ? 1 : 0;
        if (job.accepted && job.state != "completed")
            report_violation("accepted job " + id + " did not complete; its state is " + job.state);
    }
    for (const auto& [task, count] : completed_runs_) {
        if (count > 1) // allowed if only the last end was acknowledged
            std::cout << "process_soak: note: task " << task << " ended done " << count
                      << " times\n";
    }
    for (const auto& worker : workers_)
        worker->stop();
    for (const auto& name : fleet_.names()) {
        fleet_.signal(name, SIGTERM);
        const int code = fleet_.reap(name);
        if (code != 0)
            report_violation(name + " exited with code " + std::to_string(code) + " at the end");
    }
    std::cout << "process_soak: seed=" << options_.seed << " jobs=" << jobs_.size()
              << " accepted=" << accepted << " faults=" << fault_count_
              << " versions=" << acknowledged_version_ << " violations=" << violation_count_
              << '\n';
    return violation_count_ == 0 ? 0 : 1;
}

} // namespace

int main(int argc, char** argv) {
    arguments options;
    for (int i = 1; i + 1 < argc; i += 2) {
        const std::string name = argv[i];
        if (name == "--programs")
            options.programs = argv[i + 1];
        else if (name == "--folder")
            options.folder = argv[i + 1];
        else if (name == "--seed")
            options.seed = std::stoull(argv[i + 1]);
        else if (name == "--seconds")
            options.seconds = std::stoi(argv[i + 1]);
        else if (name == "--size" &&
                 (argv[i + 1] == std::string("small") || argv[i + 1] == std::string("large")))
            options.large = argv[i + 1] == std::string("large");
        else {
            std::cerr << "process_soak: unknown option " << name << '\n';
            return 2;
        }
    }
    return soak(options).run();
}
