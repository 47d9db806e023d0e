// controld: control node with the replicated state, which makes the scheduling decisions.
// Usage: controld --settings FILE
#include "control/controld.h"

#include "base/ini.h"
#include "base/log.h"
#include "command_line.h"
#include "consensus/posix_files.h"
#include "control/settings.h"
#include "wire/connection.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>

#include <array>
#include <csignal>
#include <iostream>
#include <string>
#include <thread>

namespace {

using namespace clementine;
using namespace clementine::control;

// Runs until SIGTERM or SIGINT, or until the replica fails. Returns the exit code.
int run(const command_line& arguments, const controld_settings& settings) {
    steady_clock clock;
    consensus::posix_file_system files;
    boost::asio::io_context network_loop;
    boost::asio::io_context main_loop;
    bool failed = false;
    controld_options options;
    options.first_start = arguments.first_start;
    options.seed = wire::new_boot_id();
    controld process(network_loop, settings, options, files, clock, [&](const std::string&) {
        boost::asio::post(main_loop, [&] {
            failed = true;
            main_loop.stop();
        });
    });
    const auto problem = process.start();
    if (!problem.empty()) {
        std::cerr << "controld: " << problem << '\n';
        return exit_failed;
    }
    auto network_work = boost::asio::make_work_guard(network_loop);
    std::array<std::thread, 2> threads;
    for (auto& thread : threads)
        thread = std::thread([&network_loop] { network_loop.run(); });
    boost::asio::signal_set signals(main_loop, SIGTERM, SIGINT);
    signals.async_wait([&](const boost::system::error_code&, int) { main_loop.stop(); });
    auto main_work = boost::asio::make_work_guard(main_loop);
    main_loop.run();
    if (failed)
        process.stop();
    else
        process.stop_gracefully();
    network_loop.stop();
    for (auto& thread : threads)
        thread.join();
    log_event(log_level::info, "stopped").field("failed", failed);
    return failed ? exit_failed : 0;
}

int serve(const command_line& arguments) {
    const auto text = read_file(arguments.settings);
    if (!text) {
        std::cerr << "controld: cannot read " << arguments.settings << '\n';
        return exit_failed;
    }
    const auto parsed = parse_controld_settings(*text);
    for (const auto& fault : parsed.faults)
        std::cerr << format_fault(arguments.settings, fault) << '\n';
    if (!parsed.ok())
        return exit_failed;
    if (arguments.check_settings)
        return 0;
    init_logging(parsed.value.level, parsed.value.node);
    return run(arguments, parsed.value);
}

} // namespace

int main(int argc, char** argv) {
    const program_text program{"controld", "keeps the replicated state of clementineroad.",
                               "the cluster is new; without it, an empty data folder counts as a "
                               "lost disk and the replica joins under a new id"};
    const auto parsed = parse_command_line(program, argc, argv);
    if (const auto* code = std::get_if<int>(&parsed))
        return *code;
    return serve(std::get<command_line>(parsed));
}
