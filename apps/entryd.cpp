// entryd: entry node, forwards callers' requests to backend servers. Usage: entryd --settings FILE
#include "base/log.h"
#include "command_line.h"
#include "control/node_client.h"
#include "proxy/entry_peers.h"
#include "proxy/entryd_runtime.h"
#include "proxy/settings.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/address.hpp>
#include <boost/asio/signal_set.hpp>

#include <csignal>
#include <iostream>
#include <memory>
#include <stdexcept>
#include <string>

namespace {

using namespace clementine;
using namespace clementine::proxy;

void print_faults(const std::string& file, const std::vector<ini_fault>& faults) {
    for (const auto& fault : faults)
        std::cerr << format_fault(file, fault) << '\n';
}

// Settings and manifest as read from their files; unusable unless `ok`. Faults are printed.
struct loaded_files {
    entryd_settings settings;
    std::shared_ptr<const manifest::manifest> manifest;
    bool ok = false;
};

loaded_files load_files(const std::string& file) {
    loaded_files out;
    auto settings = load_settings(file);
    print_faults(file, settings.faults);
    out.settings = std::move(settings.value);
    out.ok = settings.faults.empty();
    const auto& manifest_file = out.settings.manifest_file;
    if (manifest_file.empty())
        return out;
    auto manifest = load_manifest(manifest_file);
    print_faults(manifest_file, manifest.faults);
    out.ok = out.ok && manifest.ok();
    out.manifest = std::make_shared<manifest::manifest>(std::move(manifest.value));
    return out;
}

// Receives the manifest from the controlds. The manifest file that the settings name is only used
// until the first one arrives.
class manifest_client final : public runtime_component {
  public:
    manifest_client(entryd_runtime& runtime, const entryd_settings& settings,
                    const clock_source& clock)
        : client_(runtime.io(), client_settings(settings, runtime), clock, runtime.counters(),
                  [&runtime](std::uint64_t, std::shared_ptr<const manifest::manifest> manifest) {
                      runtime.apply_manifest(std::move(manifest));
                  }) {}

    void start() override { client_.start(); }
    void stop() override { client_.stop(); }

  private:
    static control::node_client_settings client_settings(const entryd_settings& settings,
                                                         entryd_runtime& runtime) {
        control::node_client_settings out;
        out.self.cluster = settings.cluster;
        out.self.node = settings.node;
        out.self.role = wire::node_role::entryd;
        out.self.availability_zone = settings.availability_zone;
        out.self.boot_id = runtime.boot();
        for (const auto& control : settings.controls)
            out.controls.emplace_back(boost::asio::ip::make_address(control.endpoint.address),
                                      control.endpoint.port);
        out.data_folder = settings.data_folder;
        out.demand = [&runtime] { return runtime.dispatcher().demand(); };
        return out;
    }

    control::node_client client_;
};

// Runs until SIGTERM or SIGINT; SIGHUP reloads the settings.
class entryd_process {
  public:
    entryd_process(const command_line& arguments, const loaded_files& files)
        : arguments_(arguments), settings_(files.settings), runtime_(files.settings, clock_),
          signals_(loop_, SIGTERM, SIGINT, SIGHUP) {
        if (settings_.control) {
            auto peers = std::make_unique<entry_peers>(
                runtime_.io(), peers_settings_of(settings_, arguments.first_start),
                runtime_.dispatcher(), clock_);
            runtime_.set_key_claims(*peers);
            runtime_.add_component(std::move(peers));
        }
        if (files.manifest)
            runtime_.apply_manifest(files.manifest);
        if (!settings_.controls.empty())
            runtime_.add_component(std::make_unique<manifest_client>(runtime_, settings_, clock_));
    }

    void run() {
        runtime_.start();
        wait_for_signal();
        loop_.run();
        runtime_.drain();
    }

  private:
    void wait_for_signal() {
        signals_.async_wait([this](const boost::system::error_code& error, int signal) {
            if (error)
                return;
            if (signal != SIGHUP) {
                loop_.stop();
                return;
            }
            reload();
            wait_for_signal();
        });
    }

    void reload() {
        const auto files = load_files(arguments_.settings);
        const auto faults = check_reload(settings_, files.settings);
        print_faults(arguments_.settings, faults);
        if (!files.ok || !faults.empty()) {
            log_event(log_level::error, "reload_rejected").field("file", arguments_.settings);
            return;
        }
        settings_ = files.settings;
        runtime_.apply_settings(settings_);
        // The file may be older than the manifest received from controld, whose version never goes
        // back.
        if (files.manifest && settings_.controls.empty())
            runtime_.apply_manifest(files.manifest);
        log_event(log_level::info, "reloaded").field("file", arguments_.settings);
    }

    command_line arguments_;
    entryd_settings settings_;
    steady_clock clock_;
    entryd_runtime runtime_;
    boost::asio::io_context loop_;
    boost::asio::signal_set signals_;
};

// Runs the program and returns the exit code.
int serve(const command_line& arguments) {
    const auto files = load_files(arguments.settings);
    if (!files.ok)
        return exit_failed;
    if (arguments.check_settings)
        return 0;
    init_logging(files.settings.level, files.settings.node);
    try {
        entryd_process(arguments, files).run();
    } catch (const std::exception& error) {
        std::cerr << "entryd: " << error.what() << '\n';
        return exit_failed;
    }
    return 0;
}

} // namespace

int main(int argc, char** argv) {
    const program_text program{
        "entryd", "forwards callers' requests to backend servers.",
        "no entryd of this deployment has served within the retention time of idempotency keys"};
    const auto parsed = parse_command_line(program, argc, argv);
    if (const auto* code = std::get_if<int>(&parsed))
        return *code;
    return serve(std::get<command_line>(parsed));
}
