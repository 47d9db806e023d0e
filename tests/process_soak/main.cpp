// Soak of the real programs: processes are killed, paused, stopped and lose their disks, links to
// workers are delayed, reset and silenced, operators race, and callers keep submitting. Checks what
// callers and workers see. Usage: process_soak --programs DIR [--seed N] [--seconds S] [--folder
// DIR]
#include "base/ini.h"
#include "base/random.h"
#include "control/http_pool.h"
#include "jobs/standin_worker.h"
#include "process_soak/process_fleet.h"
#include "process_soak/relay.h"

#include <boost/asio/ip/address.hpp>

#include <csignal>
#include <deque>
#include <iostream>
#include <map>
#include <set>

namespace {

using namespace clementine;
using namespace clementine::control;
using namespace clementine::process_soak;

constexpr int workers = 4;
constexpr int losses_at_once = 1;
constexpr time_ms job_interval{60};
constexpr time_ms config_interval{700};
constexpr time_ms fault_interval{600};
constexpr time_ms call_limit{4'000};
constexpr time_ms settle_time{30'000};
// A wiped node must be back as a voter before the next loss.
constexpr time_ms catch_up_time{6'000};
constexpr unsigned status_ok = 200;

struct arguments {
    std::string programs = "build/bin";
    std::string folder = "build/process-soak";
    std::uint64_t seed = 1;
    int seconds = 20;
};

struct submitted_job {
    bool accepted = false;
    bool refused_only = true; // every answer so far was a refusal
    int calls_open = 0;
    std::string state;
};

class soak {
  public:
    explicit soak(const arguments& options)
        : options_(options), random_(options.seed),
          fleet_({options.programs, options.folder, network(options.seed)}) {}

    int run();

  private:
    // Each seed has addresses of its own, so that runs can go side by side.
    static std::string network(std::uint64_t seed) {
        return "127." + std::to_string(60 + seed % 150);
    }
    http_pool& pool(const std::string& address);
    void call(const std::string& address, http_call value,
              std::function<void(const http_result&)> done);
    void start_worker(int index);
    void replace_worker(int index);
    void submit(const std::string& id);
    void configure();
    void read_configuration();
    void inject_fault();
    void heal();
    void lose(const std::string& name, int signal, bool wipe, time_ms pause);
    void run_due();
    void later(time_ms after, std::function<void()> action) {
        due_.emplace(clock_.now() + after, std::move(action));
    }
    void run_for(time_ms span);
    bool all_completed();
    void violation(const std::string& text) {
        std::cout << "process_soak: VIOLATION seed=" << options_.seed << " " << text << '\n';
        ++violations_;
    }
    static std::string configuration(std::uint64_t version) {
        return R"({"Version":)" + std::to_string(version) +
               R"(,"Routes":[{"Name":"r1","Host":"h","PathPrefix":"/q/","TimeoutMs":3000,)"
               R"("TargetLatencyMs":8000,"Service":"s1","Attempts":4,"Stretch":3.0}],)"
               R"("Services":[{"Name":"s1"}]})";
    }

    arguments options_;
    random_source random_;
    boost::asio::io_context loop_{1};
    steady_clock clock_;
    process_fleet fleet_;
    std::map<std::string, std::shared_ptr<http_pool>> pools_;
    std::vector<std::unique_ptr<standin_worker>> workers_;
    std::vector<std::unique_ptr<standin_worker>> retired_;
    std::vector<std::shared_ptr<relay>> relays_;
    std::multimap<time_ms, std::function<void()>> due_;
    std::map<std::string, submitted_job> jobs_;
    std::map<std::string, int> running_; // runs of each task at this moment
    std::map<std::string, int> done_;
    std::set<std::string> down_; // killed, stopped or paused processes
    time_ms next_loss_{0};
    std::uint64_t offered_version_ = 0;
    std::uint64_t acked_version_ = 0;
    int next_worker_ = 0;
    int faults_ = 0;
    int violations_ = 0;
};

http_pool& soak::pool(const std::string& address) {
    auto& item = pools_[address];
    if (!item) {
        const auto parsed = parse_endpoint(address).value_or(endpoint_text{"127.0.0.1", 1});
        item = std::make_shared<http_pool>(
            loop_, clock_,
            boost::asio::ip::tcp::endpoint(boost::asio::ip::make_address(parsed.address),
                                           parsed.port),
            16);
    }
    return *item;
}

void soak::call(const std::string& address, http_call value,
                std::function<void(const http_result&)> done) {
    pool(address).request(std::move(value), call_limit, std::move(done));
}

void soak::start_worker(int index) {
    standin_worker_options options;
    options.id = "i-" + std::to_string(next_worker_++);
    options.pool = "s1";
    options.ip = network(options_.seed) + ".1." + std::to_string(index + 1);
    for (int i = 0; i < 5; ++i)
        options.controls.push_back(fleet_.control_address(i));
    options.run_started = [this](const std::string& task) {
        if (++running_[task] > 1)
            violation("task " + task + " runs twice at the same time");
        const auto job = jobs_.find(task.substr(0, task.find('.')));
        if (job == jobs_.end())
            violation("task " + task + " was never submitted");
        else if (!job->second.accepted && job->second.refused_only && job->second.calls_open == 0)
            violation("task " + task + " starts, although its job was refused");
    };
    options.run_ended = [this](const std::string& task, const std::string& how) {
        --running_[task];
        done_[task] += how == "done" ? 1 : 0;
    };
    auto item = std::make_unique<standin_worker>(loop_, clock_, options);
    const auto problem = item->start();
    if (!problem.empty())
        violation("stand-in worker: " + problem);
    const auto link = std::make_shared<relay>(loop_, item->endpoint());
    link->listen(options.ip);
    item->announce_as(options.ip + ":" + std::to_string(link->port()));
    if (index < static_cast<int>(workers_.size())) {
        retired_.push_back(std::move(workers_[index]));
        relays_[index]->stop();
        workers_[index] = std::move(item);
        relays_[index] = link;
    } else {
        workers_.push_back(std::move(item));
        relays_.push_back(link);
    }
}

void soak::replace_worker(int index) {
    workers_[index]->stop();
    start_worker(index);
}

void soak::submit(const std::string& id) {
    auto& job = jobs_[id];
    ++job.calls_open;
    const int tasks = 1 + static_cast<int>(random_.below(4));
    const auto work = std::to_string(random_.between(20, 600));
    const auto body = R"({"Spec":")" + work + R"(","Steps":[{"Count":)" + std::to_string(tasks) +
                      R"(,"Cpu":300,"MemMb":16,"EstimateMs":300},{"Count":1,"Cpu":300,)"
                      R"("MemMb":16,"EstimateMs":300,"DependsOn":[0]}]})";
    const auto entry = fleet_.entry_address(static_cast<int>(random_.below(2)));
    call(entry, {"POST", "/q/" + id, {{"Host", "h"}}, body}, [this, id](const http_result& result) {
        auto& item = jobs_[id];
        --item.calls_open;
        constexpr unsigned not_found = 404;
        constexpr unsigned too_many = 429;
        constexpr unsigned unavailable = 503;
        const bool refused =
            !result.failure && (result.status == not_found || result.status == too_many ||
                                result.status == unavailable);
        if (!result.failure && result.status == status_ok)
            item.accepted = true;
        if (!refused)
            item.refused_only = false;
    });
}

// Two operators send at the same time, the second one an older version.
void soak::configure() {
    const auto version = ++offered_version_;
    for (const auto offered : {version, version > 1 ? version - 1 : version}) {
        const auto control = fleet_.control_address(static_cast<int>(random_.below(5)));
        call(control, {"PUT", "/clementineroad/config", {}, configuration(offered)},
             [this, offered](const http_result& result) {
                 if (!result.failure && result.status == status_ok)
                     acked_version_ = std::max(acked_version_, offered);
             });
    }
}

void soak::read_configuration() {
    const auto acked = acked_version_;
    const auto control = fleet_.control_address(static_cast<int>(random_.below(5)));
    call(control, {"GET", "/clementineroad/config", {}, {}},
         [this, acked, control](const http_result& result) {
             if (result.failure || result.status != status_ok)
                 return;
             boost::system::error_code error;
             const auto document = boost::json::parse(result.body, error);
             const auto* value = error || !document.is_object()
                                     ? nullptr
                                     : document.as_object().if_contains("Version");
             const auto version = value ? value->to_number<std::uint64_t>() : 0;
             if (version < acked)
                 violation(control + " reads version " + std::to_string(version) + " after " +
                           std::to_string(acked) + " was acknowledged");
         });
}

void soak::lose(const std::string& name, int signal, bool wipe, time_ms pause) {
    if (!fleet_.signal(name, signal))
        return;
    down_.insert(name);
    const auto restart = [this, name, wipe, pause, signal] {
        const int code = fleet_.reap(name);
        if (signal == SIGTERM && code != 0)
            violation(name + " ended with " + std::to_string(code) + " after SIGTERM");
        if (wipe)
            fleet_.wipe(name);
        later(pause, [this, name] {
            fleet_.start(name, false);
            down_.erase(name);
        });
    };
    // A process that was told to stop has 6 s.
    later(signal == SIGTERM ? 6'000 : 10, restart);
}

void soak::inject_fault() {
    ++faults_;
    const bool core_free = down_.size() < losses_at_once && clock_.now() >= next_loss_;
    const auto core = "core-" + std::to_string(random_.below(5));
    const auto edge = "edge-" + std::to_string(random_.below(2));
    const int worker = static_cast<int>(random_.below(workers));
    switch (random_.below(10)) {
    case 0:
    case 1:
        if (core_free)
            lose(core, SIGKILL, false, random_.between(0, 3'000));
        break;
    case 2:
        if (core_free) {
            next_loss_ = clock_.now() + 2'000 + catch_up_time;
            lose(core, SIGKILL, true, random_.between(0, 2'000));
        }
        break;
    case 3:
        if (core_free)
            lose(core, SIGTERM, false, random_.between(0, 1'000));
        break;
    case 4:
        if (core_free && fleet_.signal(core, SIGSTOP)) {
            down_.insert(core);
            later(random_.between(200, 5'000), [this, core] {
                fleet_.signal(core, SIGCONT);
                down_.erase(core);
            });
        }
        break;
    case 5:
        if (!down_.contains(edge))
            lose(edge, random_.chance(0.5) ? SIGTERM : SIGKILL, false, 200);
        break;
    case 6:
        replace_worker(worker);
        break;
    case 7:
        relays_[worker]->reset();
        break;
    default: {
        const auto mode = static_cast<relay_mode>(1 + random_.below(3));
        const auto link = relays_[worker];
        link->set_mode(mode);
        later(random_.between(300, 8'000), [link] { link->set_mode(relay_mode::pass); });
    }
    }
}

void soak::heal() {
    for (const auto& link : relays_)
        link->set_mode(relay_mode::pass);
}

void soak::run_due() {
    while (!due_.empty() && due_.begin()->first <= clock_.now()) {
        const auto action = std::move(due_.begin()->second);
        due_.erase(due_.begin());
        action();
    }
    for (const auto& name : fleet_.names()) {
        if (down_.contains(name) || !fleet_.has_ended(name))
            continue;
        violation(name + " ended by itself");
        fleet_.start(name, false);
    }
}

void soak::run_for(time_ms span) {
    const auto end = clock_.now() + span;
    while (clock_.now() < end) {
        run_due();
        loop_.run_for(std::chrono::milliseconds(10));
    }
}

// Asks for the state of every accepted job that is not known to be completed.
bool soak::all_completed() {
    bool all = true;
    for (auto& [id, job] : jobs_) {
        if (!job.accepted || job.state == "completed")
            continue;
        all = false;
        const auto entry = fleet_.entry_address(static_cast<int>(random_.below(2)));
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
    return all;
}

int soak::run() {
    fleet_.start_all();
    for (int i = 0; i < workers; ++i)
        start_worker(i);
    while (acked_version_ == 0) {
        configure();
        run_for(500);
    }
    run_for(3'000); // further voters join
    const auto end = clock_.now() + options_.seconds * time_ms{1'000};
    auto next_job = clock_.now();
    auto next_config = clock_.now();
    auto next_fault = clock_.now();
    int number = 0;
    std::deque<std::string> recent;
    while (clock_.now() < end) {
        run_for(10);
        if (clock_.now() >= next_job) {
            next_job += job_interval;
            auto digits = std::to_string(++number);
            const auto id = std::string(16 - digits.size(), '0') + digits;
            submit(id);
            recent.push_back(id);
            if (recent.size() > 20)
                recent.pop_front();
            // Callers send again, also seconds after an acknowledgement.
            if (random_.chance(0.3))
                submit(recent[random_.below(recent.size())]);
        }
        if (clock_.now() >= next_config) {
            next_config += config_interval;
            configure();
            read_configuration();
        }
        if (clock_.now() >= next_fault) {
            next_fault += random_.between(fault_interval / 2, 2 * fault_interval);
            inject_fault();
        }
    }
    heal();
    run_for(9'000); // what was told to stop or start does so
    const auto deadline = clock_.now() + settle_time;
    while (!all_completed() && clock_.now() < deadline)
        run_for(500);
    int accepted = 0;
    for (const auto& [id, job] : jobs_) {
        accepted += job.accepted ? 1 : 0;
        if (job.accepted && job.state != "completed")
            violation("job " + id + " was accepted and is " + job.state);
    }
    for (const auto& [task, count] : done_) {
        if (count > 1)
            std::cout << "process_soak: note: task " << task << " ended done " << count
                      << " times\n";
    }
    for (const auto& worker : workers_)
        worker->stop();
    for (const auto& name : fleet_.names()) {
        fleet_.signal(name, SIGTERM);
        const int code = fleet_.reap(name);
        if (code != 0)
            violation(name + " ended with " + std::to_string(code) + " at the end");
    }
    std::cout << "process_soak: seed=" << options_.seed << " jobs=" << jobs_.size()
              << " accepted=" << accepted << " faults=" << faults_ << " versions=" << acked_version_
              << " violations=" << violations_ << '\n';
    return violations_ == 0 ? 0 : 1;
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
        else {
            std::cerr << "process_soak: unknown option " << name << '\n';
            return 2;
        }
    }
    return soak(options).run();
}
