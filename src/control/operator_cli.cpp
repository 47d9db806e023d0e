#include "control/operator_cli.h"

#include "base/clock.h"
#include "base/ini.h"
#include "base/version.h"
#include "control/operator_client.h"
#include "control/placement_report.h"
#include "manifest/diff.h"
#include "manifest/manifest.h"

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <boost/json/value.hpp>
#include <boost/program_options.hpp>

#include <algorithm>
#include <chrono>
#include <cstdlib>
#include <optional>
#include <stdexcept>
#include <thread>

namespace clementine::control {

namespace json = boost::json;
namespace options = boost::program_options;

namespace {

constexpr const char* usage_text = R"(clementinectl [OPTIONS] COMMAND

Commands:
  check FILE                   check a manifest
  diff FILE                    compare a manifest with the accepted one
  apply FILE                   make a manifest the accepted one
  status                       accepted version and where it is in force
  history                      accepted versions
  wait                         wait until a version is in force everywhere
  maintenance start|pause|status
  vm|pool|job list|show ID|explain ID
  explain-placement FILE       how a job would be admitted and placed now, without submitting it;
                               --control names the admin addresses of the control nodes

Exit codes: 0 done, 1 failed, 2 usage, 3 invalid manifest, 4 version conflict, 5 unreachable,
6 timeout.

Options)";

constexpr unsigned status_ok = 200;
constexpr unsigned status_conflict = 409;
constexpr unsigned status_invalid = 422;
constexpr unsigned status_unavailable = 503;
// Time limit of one attempt of explain-placement at a control node.
constexpr time_ms attempt_timeout{3'000};
constexpr time_ms election_time{2'000};

// Polling interval of `wait`; a version is usually in force within seconds.
constexpr time_ms wait_interval{200};

struct cli_options {
    std::vector<std::string> arguments; // command and its arguments
    std::vector<endpoint_text> controls;
    bool as_json = false;
    placement_query placement;
    std::optional<std::uint64_t> base;
    std::string request_id;
    std::optional<std::uint64_t> version;
    time_ms timeout = 30'000;
};

class usage_error : public std::runtime_error {
  public:
    using std::runtime_error::runtime_error;
};

// Returns a numeric member of a JSON object; 0 if it is missing.
std::uint64_t number_at(const json::value& object, std::string_view key) {
    const auto* item = object.is_object() ? object.as_object().if_contains(key) : nullptr;
    return item != nullptr && item->is_number() ? item->to_number<std::uint64_t>() : 0;
}

std::string text_at(const json::value& object, std::string_view key) {
    const auto* item = object.is_object() ? object.as_object().if_contains(key) : nullptr;
    return item != nullptr && item->is_string() ? std::string(item->as_string()) : std::string();
}

json::value parse_body(const std::string& body) {
    boost::system::error_code error;
    auto out = json::parse(body, error);
    return error ? json::value() : out;
}

class cli {
  public:
    cli(cli_options settings, std::ostream& out, std::ostream& errors)
        : options_(std::move(settings)), out_(out), errors_(errors) {}

    exit_code run() {
        const auto& command = argument(0);
        if (command == "check")
            return check();
        if (command == "diff")
            return diff();
        if (command == "apply")
            return apply();
        if (command == "status")
            return status();
        if (command == "history")
            return history();
        if (command == "wait")
            return wait();
        if (command == "maintenance")
            return maintenance();
        if (command == "explain-placement")
            return explain_placement();
        if (command == "vm" || command == "pool" || command == "job")
            return inspect();
        throw usage_error("unknown command: " + command);
    }

  private:
    const std::string& argument(std::size_t index) const {
        if (index >= options_.arguments.size())
            throw usage_error("missing command or argument");
        return options_.arguments[index];
    }

    void expect_arguments(std::size_t count) const {
        if (options_.arguments.size() != count)
            throw usage_error(argument(0) + ": wrong number of arguments");
    }

    std::string read_input() const {
        expect_arguments(2);
        auto text = read_file(argument(1));
        if (!text)
            throw std::runtime_error("cannot read " + argument(1));
        return *text;
    }

    std::optional<operator_response> send(const operator_request& request, time_ms timeout) {
        if (options_.controls.empty())
            throw usage_error("--control IP:PORT[,IP:PORT...] is required");
        // Reuses one client, so that later requests go to the controld that answered.
        if (!client_)
            client_.emplace(options_.controls, clock_);
        return client_->send(request, timeout);
    }
    std::optional<operator_response> send(const operator_request& request) {
        return send(request, options_.timeout);
    }
    std::optional<operator_response> send_get(const std::string& target) {
        operator_request request;
        request.target = target;
        return send(request);
    }

    exit_code unreachable() {
        errors_ << "clementinectl: no controld answered within " << options_.timeout << " ms\n";
        return exit_code::unreachable;
    }

    // Prints the error of an unsuccessful response.
    exit_code report_failure(const operator_response& response, const std::string& file) {
        const auto body = parse_body(response.body);
        if (options_.as_json)
            out_ << response.body;
        if (response.status == status_conflict) {
            errors_ << "clementinectl: version conflict: version " << number_at(body, "version")
                    << " was accepted with request id " << text_at(body, "request_id") << '\n';
            return exit_code::version_conflict;
        }
        if (response.status == status_invalid) {
            print_faults(body, "errors", file);
            return exit_code::invalid_manifest;
        }
        const auto reason = text_at(body, "error");
        errors_ << "clementinectl: status " << response.status << ": " << reason << '\n';
        return exit_code::failed;
    }

    void print_faults(const json::value& body, std::string_view key, const std::string& file) {
        const auto* list = body.is_object() ? body.as_object().if_contains(key) : nullptr;
        if (list == nullptr || !list->is_array())
            return;
        for (const auto& item : list->as_array()) {
            const ini_fault fault{number_at(item, "line"), text_at(item, "key"),
                                  text_at(item, "reason")};
            errors_ << format_fault(file, fault) << '\n';
        }
    }

    // With --control a controld validates the manifest, otherwise this program does.
    exit_code check() {
        const auto text = read_input();
        if (!options_.controls.empty()) {
            operator_request request{"POST", "/v1/manifest/check", {}, text};
            const auto response = send(request);
            if (!response)
                return unreachable();
            if (response->status != status_ok)
                return report_failure(*response, argument(1));
            print_faults(parse_body(response->body), "warnings", argument(1));
            out_ << (options_.as_json ? response->body : "valid\n");
            return exit_code::done;
        }
        const auto parsed = manifest::parse_manifest(text);
        for (const auto& fault : parsed.faults)
            errors_ << format_fault(argument(1), fault) << '\n';
        for (const auto& warning : parsed.warnings)
            errors_ << format_fault(argument(1), warning) << " (warning)\n";
        if (!parsed.ok())
            return exit_code::invalid_manifest;
        out_ << (options_.as_json ? "{\"warnings\":[]}\n" : "valid\n");
        return exit_code::done;
    }

    exit_code diff() {
        const auto wanted = manifest::parse_manifest(read_input());
        for (const auto& fault : wanted.faults)
            errors_ << format_fault(argument(1), fault) << '\n';
        if (!wanted.ok())
            return exit_code::invalid_manifest;
        const auto response = send_get("/v1/manifest");
        if (!response)
            return unreachable();
        if (response->status != status_ok)
            return report_failure(*response, argument(1));
        const auto body = parse_body(response->body);
        manifest::manifest accepted;
        if (number_at(body, "version") > 0)
            accepted = manifest::parse_manifest(text_at(body, "manifest")).value;
        json::array lines;
        for (const auto& item : manifest::diff(accepted, wanted.value)) {
            const auto line = manifest::format_change(item);
            if (!options_.as_json)
                out_ << line << '\n';
            lines.emplace_back(line);
        }
        if (options_.as_json)
            out_ << json::serialize(json::object{{"base_version", number_at(body, "version")},
                                                 {"changes", std::move(lines)}})
                 << '\n';
        return exit_code::done;
    }

    exit_code apply() {
        const auto text = read_input();
        auto base = options_.base;
        if (!base) {
            const auto current = send_get("/v1/manifest");
            if (!current)
                return unreachable();
            if (current->status != status_ok)
                return report_failure(*current, argument(1));
            base = number_at(parse_body(current->body), "version");
        }
        const auto id = options_.request_id.empty() ? new_request_id() : options_.request_id;
        operator_request request{"POST",
                                 "/v1/manifest",
                                 {{"Clementine-Base-Version", std::to_string(*base)},
                                  {"Clementine-Request-Id", id},
                                  {"Content-Type", "text/plain"}},
                                 text};
        const auto response = send(request);
        if (!response) {
            errors_ << "clementinectl: it is unknown whether the manifest was accepted; repeat "
                       "with --base "
                    << *base << " --request-id " << id << '\n';
            return unreachable();
        }
        if (response->status != status_ok)
            return report_failure(*response, argument(1));
        if (options_.as_json)
            out_ << response->body;
        else
            out_ << "accepted version=" << number_at(parse_body(response->body), "version") << '\n';
        return exit_code::done;
    }

    exit_code status() {
        expect_arguments(1);
        const auto response = send_get("/v1/status");
        if (!response)
            return unreachable();
        if (response->status != status_ok)
            return report_failure(*response, "status");
        if (options_.as_json) {
            out_ << response->body;
            return exit_code::done;
        }
        print_status(parse_body(response->body));
        return exit_code::done;
    }

    void print_status(const json::value& body) {
        out_ << "leader=" << text_at(body, "leader") << " term=" << number_at(body, "term") << '\n';
        out_ << "accepted version=" << number_at(body, "accepted")
             << " request_id=" << text_at(body, "request_id") << '\n';
        const auto* in_force =
            body.is_object() ? body.as_object().if_contains("in_force") : nullptr;
        if (in_force != nullptr && in_force->is_object()) {
            out_ << "in force at " << number_at(*in_force, "nodes") << " of "
                 << number_at(*in_force, "of");
            const auto* missing = in_force->as_object().if_contains("missing");
            if (missing != nullptr && missing->is_array() && !missing->as_array().empty()) {
                out_ << " missing=";
                std::string_view separator;
                for (const auto& name : missing->as_array()) {
                    out_ << separator << (name.is_string() ? name.as_string().c_str() : "?");
                    separator = ",";
                }
            }
            out_ << '\n';
        }
        out_ << "maintenance=" << text_at(body, "maintenance") << '\n';
    }

    exit_code history() {
        expect_arguments(1);
        const auto response = send_get("/v1/history");
        if (!response)
            return unreachable();
        if (response->status != status_ok)
            return report_failure(*response, "history");
        if (options_.as_json) {
            out_ << response->body;
            return exit_code::done;
        }
        const auto body = parse_body(response->body);
        const auto* list = body.is_object() ? body.as_object().if_contains("history") : nullptr;
        if (list == nullptr || !list->is_array())
            return exit_code::failed;
        for (const auto& item : list->as_array())
            out_ << "version=" << number_at(item, "version")
                 << " accepted_at_ms=" << number_at(item, "accepted_at_ms")
                 << " bytes=" << number_at(item, "bytes")
                 << " request_id=" << text_at(item, "request_id") << '\n';
        return exit_code::done;
    }

    // Waits until the version is in force at all known entry nodes.
    exit_code wait() {
        expect_arguments(1);
        const auto deadline = clock_.now() + options_.timeout;
        auto version = options_.version;
        bool answered = false;
        while (clock_.now() < deadline) {
            operator_request request;
            request.target = "/v1/status" + (version ? "?version=" + std::to_string(*version) : "");
            const auto response = send(request, deadline - clock_.now());
            if (!response)
                break;
            if (response->status != status_ok)
                return report_failure(*response, "wait");
            answered = true;
            const auto body = parse_body(response->body);
            if (!version)
                version = number_at(body, "accepted");
            const auto in_force = body.is_object() && body.as_object().contains("in_force")
                                      ? body.as_object().at("in_force")
                                      : json::value();
            if (number_at(body, "accepted") >= *version &&
                number_at(in_force, "version") == *version &&
                number_at(in_force, "nodes") == number_at(in_force, "of")) {
                out_ << (options_.as_json
                             ? response->body
                             : "in force version=" + std::to_string(*version) +
                                   " nodes=" + std::to_string(number_at(in_force, "of")) + "\n");
                return exit_code::done;
            }
            std::this_thread::sleep_for(std::chrono::milliseconds(wait_interval));
        }
        if (!answered)
            return unreachable();
        errors_ << "clementinectl: not in force everywhere within " << options_.timeout << " ms\n";
        return exit_code::timeout;
    }

    exit_code maintenance() {
        expect_arguments(2);
        const auto& action = argument(1);
        if (action != "start" && action != "pause" && action != "status")
            throw usage_error("maintenance: expected start, pause or status");
        operator_request request;
        if (action == "status") {
            request.target = "/v1/maintenance";
        } else {
            const auto id = options_.request_id.empty() ? new_request_id() : options_.request_id;
            request = {"POST", "/v1/maintenance/" + action, {{"Clementine-Request-Id", id}}, {}};
        }
        return print_response(request);
    }

    exit_code inspect() {
        const auto& kind = argument(0);
        const auto& action = argument(1);
        operator_request request;
        if (action == "list") {
            expect_arguments(2);
            request.target = "/v1/" + kind + "s";
        } else if (action == "show") {
            expect_arguments(3);
            request.target = "/v1/" + kind + "s?id=" + argument(2);
        } else if (action == "explain") {
            expect_arguments(3);
            request.target = "/v1/explain/" + kind + "/" + argument(2);
        } else {
            throw usage_error(kind + ": expected list, show or explain");
        }
        if (request.target.find_first_of(" \t\r\n") != std::string::npos)
            throw usage_error("not an id: " + argument(2));
        return print_response(request);
    }

    exit_code explain_placement() {
        expect_arguments(2);
        if (options_.placement.queue.empty())
            throw usage_error("explain-placement: --queue NAME is required");
        if (options_.controls.empty())
            throw usage_error("--control IP:PORT[,IP:PORT...] is required");
        const operator_request request{"POST",
                                       placement_target(options_.placement),
                                       {{"Content-Type", "application/json"}},
                                       read_input()};
        const auto response = ask_leader(request);
        if (!response)
            return unreachable();
        if (response->status == status_unavailable) {
            const auto leader = text_at(parse_body(response->body), "leader");
            errors_ << "clementinectl: none of the nodes is the leader; the leader is "
                    << (leader.empty() ? "unknown" : leader) << '\n';
            return exit_code::unreachable;
        }
        if (response->status != status_ok)
            return report_failure(*response, argument(1));
        const auto body = parse_body(response->body);
        if (options_.as_json || !body.is_object())
            out_ << response->body << '\n';
        else
            print_placement(body.as_object(), out_);
        return exit_code::done;
    }

    // Asks the nodes in turn until one is the leader. That the leader is none of them is certain
    // only after the time of an election, during which nodes name the former or the next leader.
    std::optional<operator_response> ask_leader(const operator_request& request) {
        const auto started = clock_.now();
        const auto deadline = started + options_.timeout;
        std::optional<operator_response> refused;
        while (clock_.now() < deadline) {
            bool leader_known = true;
            for (const auto& control : options_.controls) {
                const auto left = deadline - clock_.now();
                if (left <= 0)
                    break;
                const auto response = exchange(control, request, std::min(left, attempt_timeout));
                if (response && response->status != status_unavailable)
                    return response;
                leader_known = leader_known && response &&
                               !text_at(parse_body(response->body), "leader").empty();
                if (response)
                    refused = response;
            }
            if (leader_known && clock_.now() - started >= election_time)
                break;
            std::this_thread::sleep_for(std::chrono::milliseconds(wait_interval));
        }
        return refused;
    }

    exit_code print_response(const operator_request& request) {
        const auto response = send(request);
        if (!response)
            return unreachable();
        if (response->status != status_ok)
            return report_failure(*response, request.target);
        print_body(response->body);
        return exit_code::done;
    }

    // Prints the JSON unchanged, or lists as tables and other members as "key: value" lines.
    void print_body(const std::string& text) {
        const auto body = parse_body(text);
        if (options_.as_json || !body.is_object()) {
            out_ << text;
            return;
        }
        for (const auto& [key, value] : body.as_object()) {
            if (value.is_array())
                print_table(value.as_array());
            else
                out_ << key << ": " << format_cell(value) << '\n';
        }
    }

    static std::string format_cell(const json::value& value) {
        return value.is_string() ? std::string(value.as_string()) : json::serialize(value);
    }

    // Prints a header and one row per object, with columns as wide as their longest cell.
    void print_table(const json::array& items) {
        if (items.empty() || !items.front().is_object())
            return;
        std::vector<std::vector<std::string>> rows(1);
        for (const auto& member : items.front().as_object())
            rows[0].emplace_back(member.key());
        for (const auto& item : items) {
            rows.emplace_back();
            for (const auto& member : item.as_object())
                rows.back().push_back(format_cell(member.value()));
        }
        std::vector<std::size_t> widths(rows[0].size());
        for (const auto& row : rows) {
            for (std::size_t i = 0; i < widths.size() && i < row.size(); ++i)
                widths[i] = std::max(widths[i], row[i].size());
        }
        for (const auto& row : rows) {
            for (std::size_t i = 0; i < widths.size() && i < row.size(); ++i)
                out_ << row[i] << std::string(widths[i] - row[i].size() + 2, ' ');
            out_ << '\n';
        }
    }

    cli_options options_;
    std::ostream& out_;
    std::ostream& errors_;
    steady_clock clock_;
    std::optional<operator_client> client_;
};

std::vector<endpoint_text> parse_controls(const std::string& list) {
    std::vector<endpoint_text> out;
    std::size_t start = 0;
    while (start <= list.size() && !list.empty()) {
        const auto end = std::min(list.find(',', start), list.size());
        const auto address = parse_endpoint(list.substr(start, end - start));
        if (!address)
            throw usage_error("--control: not an IP address with a port: " +
                              list.substr(start, end - start));
        out.push_back(*address);
        start = end + 1;
    }
    return out;
}

options::options_description describe(cli_options& settings, std::string& controls,
                                      std::string& output, double& seconds) {
    options::options_description out(usage_text);
    auto add = out.add_options();
    add("control", options::value(&controls)->value_name("IP:PORT,..."),
        "operators' addresses of the controlds; default $CLEMENTINE_CONTROL");
    add("output", options::value(&output)->value_name("json|text"), "output format");
    add("base", options::value<std::uint64_t>()->value_name("N"),
        "apply: version that the manifest replaces; default the accepted one");
    add("request-id", options::value(&settings.request_id)->value_name("ID"),
        "apply, maintenance: repeat an earlier request; default a new id");
    add("version", options::value<std::uint64_t>()->value_name("N"),
        "wait: version to wait for; without a command, print the version of this program");
    add("timeout", options::value(&seconds)->value_name("S"),
        "give up after S seconds; default 30");
    add("queue", options::value(&settings.placement.queue)->value_name("NAME"),
        "explain-placement: queue of the job");
    add("workspace", options::value(&settings.placement.workspace)->value_name("NAME"),
        "explain-placement: workspace that would submit the job; default none");
    add("json", options::bool_switch(&settings.as_json), "the same as --output json");
    add("help", "print this text");
    return out;
}

exit_code parse_and_run(const std::vector<std::string>& arguments, std::ostream& out,
                        std::ostream& errors) {
    if (arguments == std::vector<std::string>{"--version"}) {
        out << "clementinectl " << version_text << '\n';
        return exit_code::done;
    }
    cli_options settings;
    std::string controls;
    std::string output = "text";
    double seconds = 30;
    const auto visible = describe(settings, controls, output, seconds);
    options::options_description all;
    all.add(visible);
    all.add_options()("word", options::value(&settings.arguments), "");
    options::positional_options_description positions;
    positions.add("word", -1);
    options::variables_map values;
    options::store(options::command_line_parser(arguments).options(all).positional(positions).run(),
                   values);
    options::notify(values);
    if (values.contains("help")) {
        out << visible;
        return exit_code::done;
    }
    if (output != "json" && output != "text")
        throw usage_error("--output: expected json or text");
    if (controls.empty() && std::getenv("CLEMENTINE_CONTROL") != nullptr)
        controls = std::getenv("CLEMENTINE_CONTROL");
    settings.controls = parse_controls(controls);
    settings.as_json = settings.as_json || output == "json";
    const bool explains =
        !settings.arguments.empty() && settings.arguments.front() == "explain-placement";
    if (!explains && (values.contains("queue") || values.contains("workspace")))
        throw usage_error("--queue and --workspace belong to explain-placement");
    if (values.contains("base"))
        settings.base = values["base"].as<std::uint64_t>();
    if (values.contains("version"))
        settings.version = values["version"].as<std::uint64_t>();
    if (!(seconds > 0 && seconds <= 86'400))
        throw usage_error("--timeout: must be more than 0 and at most 86400 seconds");
    settings.timeout = static_cast<time_ms>(seconds * 1'000);
    return cli(std::move(settings), out, errors).run();
}

} // namespace

int run_operator_cli(const std::vector<std::string>& arguments, std::ostream& out,
                     std::ostream& errors) {
    exit_code code = exit_code::failed;
    try {
        code = parse_and_run(arguments, out, errors);
    } catch (const options::error& error) {
        errors << "clementinectl: " << error.what() << '\n';
        code = exit_code::usage;
    } catch (const usage_error& error) {
        errors << "clementinectl: " << error.what() << "; see --help\n";
        code = exit_code::usage;
    } catch (const std::exception& error) {
        errors << "clementinectl: " << error.what() << '\n';
    }
    return static_cast<int>(code);
}

} // namespace clementine::control
