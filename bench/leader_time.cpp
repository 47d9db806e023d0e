// Measures the processor time of the leading control node under the load of a large deployment: the
// platform's programs run as processes, the stand-in workers in this process. Usage: time_leader
// --programs DIR [--folder DIR] [--workers N] [--jobs-per-second N] [--seconds N]
#include "base/ini.h"
#include "control/http_pool.h"
#include "jobs/standin_worker.h"
#include "process_soak/process_fleet.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/ip/address.hpp>
#include <boost/program_options.hpp>

#include <algorithm>
#include <csignal>
#include <iostream>
#include <map>
#include <memory>

namespace {

using namespace clementine;
using namespace clementine::control;

constexpr auto network_prefix = "127.58";
constexpr int pool_count = 4;
constexpr std::int64_t worker_millicores = 16'000;
constexpr time_ms call_timeout{3'000};
constexpr time_ms warm_up{4'000};
constexpr unsigned status_ok = 200;
// Two steps of eight tasks of 0.8 s each, like the short jobs of the large deployments.
constexpr auto job_body =
    R"({"Spec":"800","Steps":[{"Count":8,"Cpu":1500,"MemMb":64,"EstimateMs":800},)"
    R"({"Count":8,"Cpu":1500,"MemMb":64,"EstimateMs":800,"DependsOn":[0]}]})";

struct arguments {
    std::string programs = "build/bin";
    std::string folder = "build/time-leader";
    int workers = 350;
    int jobs_per_second = 60;
    int seconds = 10;
};

class load_run {
  public:
    explicit load_run(const arguments& options)
        : options_(options), fleet_({options.programs, options.folder, network_prefix}) {}

    int run() {
        fleet_.start_all();
        run_for(1'500);
        for (const auto& name : fleet_.names()) {
            if (fleet_.has_exited(name)) {
                std::cerr << name << " has ended; see its log in " << options_.folder << '\n';
                return 1;
            }
        }
        configure();
        for (int i = 0; i < options_.workers; ++i)
            add_worker(i);
        run_for(warm_up);
        std::map<std::string, time_ms> cpu_time_before;
        for (const auto& name : fleet_.names())
            cpu_time_before[name] = fleet_.cpu_time(name);
        const auto starts_before = starts_;
        const auto began = clock_.now();
        const auto end = began + options_.seconds * time_ms{1'000};
        for (int i = 0; clock_.now() < end; ++i) {
            submit(i);
            const auto next = began + time_ms{1'000} * (i + 1) / options_.jobs_per_second;
            run_for(std::max<time_ms>(1, next - clock_.now()));
        }
        const auto elapsed = clock_.now() - began;
        time_ms leader_cpu_time = 0;
        for (const auto& name : fleet_.names())
            leader_cpu_time =
                std::max(leader_cpu_time, fleet_.cpu_time(name) - cpu_time_before[name]);
        std::cout << "time_leader: workers=" << options_.workers << " jobs=" << submitted_
                  << " accepted=" << accepted_
                  << " starts_per_s=" << (starts_ - starts_before) * time_ms{1'000} / elapsed
                  << " cores="
                  << static_cast<double>(leader_cpu_time) / static_cast<double>(elapsed)
                  << " us_per_start="
                  << static_cast<double>(leader_cpu_time) * 1'000.0 /
                         static_cast<double>(std::max<std::int64_t>(1, starts_ - starts_before))
                  << " (target: below half of 0.35 cores at 1000 starts a second)\n";
        for (const auto& item : workers_)
            item->stop();
        return accepted_ > 0 ? 0 : 1;
    }

  private:
    static std::string pool_name(int index) { return "s" + std::to_string(index % pool_count); }

    void run_for(time_ms span) { loop_.run_for(std::chrono::milliseconds(span)); }

    void configure() {
        std::string routes;
        std::string services;
        for (int i = 0; i < pool_count; ++i) {
            const auto number = std::to_string(i);
            routes += (i > 0 ? "," : "") + (R"({"Name":"r)" + number) +
                      R"(","Host":"h","PathPrefix":"/q)" + number +
                      R"(/","TimeoutMs":3000,"TargetLatencyMs":600,"Service":"s)" + number +
                      R"(","Attempts":3,"Stretch":1.6})";
            services += (i > 0 ? "," : "") + (R"({"Name":"s)" + number) + R"("})";
        }
        const auto body =
            R"({"Version":1,"Routes":[)" + routes + R"(],"Services":[)" + services + "]}";
        bool done = false;
        while (!done) {
            http_pool_for(fleet_.control_address(0))
                .request({"PUT", "/clementineroad/config", {}, body}, call_timeout,
                         [&done](const http_result& result) {
                             done = done || result.status == status_ok;
                         });
            run_for(1'000);
        }
    }

    void add_worker(int index) {
        standin_worker_options options;
        options.id = "i-" + std::to_string(index);
        options.pool = pool_name(index);
        options.ip = std::string(network_prefix) + ".1." + std::to_string(1 + index % 250);
        options.cpu = worker_millicores;
        options.announce_interval = 1'500;
        for (int i = 0; i < 5; ++i)
            options.controls.push_back(fleet_.control_address((index + i) % 5));
        options.run_started = [this](const std::string&, std::int64_t) { ++starts_; };
        workers_.push_back(std::make_unique<standin_worker>(loop_, clock_, std::move(options)));
        workers_.back()->start();
    }

    void submit(int number) {
        auto id = std::to_string(number);
        id.insert(0, 16 - id.size(), '0');
        ++submitted_;
        http_pool_for(fleet_.entry_address(number % 2))
            .request({"POST",
                      "/q" + std::to_string(number % pool_count) + "/" + id,
                      {{"Host", "h"}},
                      job_body},
                     call_timeout, [this](const http_result& result) {
                         accepted_ += result.status == status_ok ? 1 : 0;
                     });
    }

    http_pool& http_pool_for(const std::string& address) {
        auto& item = http_pools_[address];
        if (!item) {
            const auto parsed = parse_endpoint(address).value_or(endpoint_text{"127.0.0.1", 1});
            constexpr std::size_t connections = 32;
            item = std::make_shared<http_pool>(
                loop_, clock_,
                boost::asio::ip::tcp::endpoint(boost::asio::ip::make_address(parsed.address),
                                               parsed.port),
                connections);
        }
        return *item;
    }

    arguments options_;
    boost::asio::io_context loop_{1};
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work_{
        loop_.get_executor()};
    steady_clock clock_;
    process_soak::process_fleet fleet_;
    std::map<std::string, std::shared_ptr<http_pool>> http_pools_;
    std::vector<std::unique_ptr<standin_worker>> workers_;
    std::int64_t starts_ = 0;
    int submitted_ = 0;
    int accepted_ = 0;
};

} // namespace

int main(int argc, char** argv) {
    namespace po = boost::program_options;
    arguments options;
    po::options_description command_line("time_leader");
    auto add = command_line.add_options();
    add("programs", po::value(&options.programs), "folder of the programs");
    add("folder", po::value(&options.folder), "settings, data and logs");
    add("workers", po::value(&options.workers), "stand-in workers");
    add("jobs-per-second", po::value(&options.jobs_per_second), "jobs submitted each second");
    add("seconds", po::value(&options.seconds), "length of the load");
    try {
        po::variables_map values;
        po::store(po::parse_command_line(argc, argv, command_line), values);
        po::notify(values);
    } catch (const po::error& error) {
        std::cerr << error.what() << '\n' << command_line;
        return 2;
    }
    return load_run(options).run();
}
