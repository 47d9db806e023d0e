// Serves the platform API (docs/platform-api.md) for the VMs of a manifest. Runs the fake platform
// of the scheduler tests in real time.
#include "base/clock.h"
#include "manifest/manifest.h"
#include "platform_client/codec.h"
#include "scheduler/state.h"
#include "standin/arguments.h"
#include "standin/http_exchange.h"
#include "support/fake_platform.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <boost/program_options.hpp>

#include <iostream>
#include <map>

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
namespace platform_client = clementine::platform_client;
namespace scheduler = clementine::scheduler;
using asio::ip::tcp;
using clementine::time_ms;

constexpr time_ms simulation_step{100};
constexpr std::uint64_t max_request_bytes = 64ULL << 20;

struct options {
    std::string listen;
    std::string manifest;
    std::uint64_t seed = 1;
    int task_ms = 2'000;
};

class platform_server {
  public:
    platform_server(asio::io_context& context, const options& settings,
                    const scheduler::state& fleet)
        : context_(context), acceptor_(context, standin::parse_endpoints(settings.listen).at(0)),
          fake_(fleet, settings.seed, scheduler::fake_platform_options{},
                [run_time = settings.task_ms](scheduler::job_id) {
                    scheduler::job_behavior out;
                    out.run_time = run_time;
                    return out;
                }) {}

    void start() {
        asio::co_spawn(context_, accept(), asio::detached);
        asio::co_spawn(context_, simulate(), asio::detached);
    }

    int violations() const { return fake_.violations().total(); }
    std::string text() const { return fake_.violations().text(); }

  private:
    asio::awaitable<void> simulate() {
        asio::steady_timer timer(context_);
        time_ms virtual_now = 0;
        const auto start = clock_.now();
        while (true) {
            while (virtual_now + simulation_step <= clock_.now() - start) {
                virtual_now += simulation_step;
                fake_.advance(virtual_now);
            }
            for (auto& report : fake_.poll()) {
                auto& latest = latest_[report.vm];
                latest.change = ++change_;
                latest.report = std::move(report);
            }
            timer.expires_after(std::chrono::milliseconds(simulation_step));
            co_await timer.async_wait(asio::use_awaitable);
        }
    }

    asio::awaitable<void> accept() {
        while (true) {
            auto socket = co_await acceptor_.async_accept(asio::use_awaitable);
            asio::co_spawn(context_, serve(beast::tcp_stream(std::move(socket))), asio::detached);
        }
    }

    asio::awaitable<void> serve(beast::tcp_stream stream) {
        beast::flat_buffer buffer;
        try {
            while (true) {
                http::request_parser<http::string_body> parser;
                parser.body_limit(max_request_bytes);
                co_await http::async_read(stream, buffer, parser, asio::use_awaitable);
                auto response = handle_request(parser.get());
                co_await http::async_write(stream, response, asio::use_awaitable);
            }
        } catch (const boost::system::system_error&) {
            // The leader closed the connection.
        }
    }

    standin::http_response handle_request(const http::request<http::string_body>& request) {
        standin::http_response response{http::status::ok, request.version()};
        response.keep_alive(request.keep_alive());
        const auto message = platform_client::decode_request(request.body());
        if (const auto* fault = std::get_if<platform_client::codec_error>(&message)) {
            response.result(http::status::bad_request);
            response.body() = fault->reason;
        } else {
            response.body() = platform_client::encode(
                exchange(std::get<platform_client::exchange_request>(message)));
        }
        response.prepare_payload();
        return response;
    }

    platform_client::exchange_reply exchange(const platform_client::exchange_request& request) {
        platform_client::exchange_reply reply;
        for (const auto& item : request.commands) {
            if (item.fencing.term < highest_term_)
                ++reply.refused;
            highest_term_ = std::max(highest_term_, item.fencing.term);
            fake_.send(item.command, item.fencing);
        }
        reply.cursor = change_;
        for (const auto& [vm, entry] : latest_) {
            if (entry.change > request.cursor)
                reply.reports.push_back(entry.report);
        }
        return reply;
    }

    struct latest_report {
        std::uint64_t change = 0;
        scheduler::vm_report report;
    };

    asio::io_context& context_;
    tcp::acceptor acceptor_;
    clementine::steady_clock clock_;
    scheduler::fake_platform fake_;
    std::map<scheduler::vm_id, latest_report> latest_;
    std::uint64_t change_ = 0;
    std::uint64_t highest_term_ = 0;
};

std::optional<options> parse_options(int argc, char** argv) {
    namespace po = boost::program_options;
    options out;
    po::options_description help("standin_platform");
    auto add = help.add_options();
    add("listen", po::value(&out.listen)->required(), "listen address as IP:PORT");
    add("manifest", po::value(&out.manifest)->required(), "path of the manifest file");
    add("seed", po::value(&out.seed)->default_value(1), "random seed");
    add("task-ms", po::value(&out.task_ms)->default_value(2'000), "run time of a task");
    if (!standin::read_arguments(help, argc, argv))
        return std::nullopt;
    return out;
}

} // namespace

int main(int argc, char** argv) {
    try {
        const auto settings = parse_options(argc, argv);
        if (!settings)
            return 0;
        const auto text = clementine::read_file(settings->manifest);
        const auto parsed = clementine::manifest::parse_manifest(text.value_or(""));
        if (!parsed.ok()) {
            std::cerr << "standin_platform: invalid manifest\n";
            return 1;
        }
        asio::io_context context(1);
        platform_server server(context, *settings, scheduler::make_state(parsed.value));
        server.start();
        asio::signal_set stop(context, SIGTERM, SIGINT);
        stop.async_wait([&](const boost::system::error_code&, int) { context.stop(); });
        context.run();
        std::cout << "platform: violations=" << server.violations() << ' ' << server.text() << '\n';
        return server.violations() == 0 ? 0 : 1;
    } catch (const std::exception& error) {
        std::cerr << "standin_platform: " << error.what() << '\n';
        return 1;
    }
}
