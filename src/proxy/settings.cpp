#include "proxy/settings.h"

#include "proxy/request_checks.h"
#include "wire/connection.h"

#include <algorithm>
#include <array>

namespace clementine::proxy {

namespace {

constexpr time_ms max_timeout_ms = 3'600'000;

constexpr std::array<std::string_view, 10> section_kinds{
    "node",     "listen",   "peers",  "peer-backends", "control",
    "manifest", "timeouts", "limits", "log",           "data"};

class settings_parser {
  public:
    settings_parser(const ini_document& document, settings_result& out)
        : document_(document), out_(out) {}

    void parse() {
        record_lines();
        report_unknown_sections();
        parse_node();
        parse_listen();
        out_.value.peers = parse_endpoints("peers");
        out_.value.peer_backends = parse_endpoints("peer-backends");
        out_.value.controls = parse_endpoints("control");
        parse_files();
        parse_timeouts();
        parse_limits();
        parse_log();
        check_consistency();
    }

  private:
    // Section of a kind; empty if the file does not have it.
    const ini_section& section(std::string_view kind) {
        const auto* found = document_.find(kind);
        if (found != nullptr)
            return *found;
        empty_.kind = kind;
        return empty_;
    }

    void fail(std::size_t line, std::string_view key, std::string reason) {
        out_.faults.push_back({line, std::string(key), std::move(reason)});
    }

    void record_lines() {
        for (const auto& section : document_.sections) {
            const auto name = '[' + section.kind + ']';
            out_.value.lines[name] = section.line;
            for (const auto& value : section.values)
                out_.value.lines[name + ' ' + value.key] = value.line;
        }
    }

    void report_unknown_sections() {
        std::string allowed;
        for (const auto kind : section_kinds)
            allowed += (allowed.empty() ? "" : ", ") + std::string(kind);
        for (const auto& section : document_.sections) {
            if (std::ranges::find(section_kinds, section.kind) == section_kinds.end())
                fail(section.line, '[' + section.kind + ']',
                     "unknown section; allowed values: " + allowed);
            else if (!section.name.empty())
                fail(section.line, '[' + section.kind + ' ' + section.name + ']',
                     "this section has no name");
        }
    }

    void parse_node() {
        ini_reader reader(section("node"), out_.faults);
        out_.value.node = reader.text("id");
        out_.value.cluster = reader.text_or("cluster", "clementine");
        out_.value.availability_zone = reader.text("availability-zone");
        out_.value.threads = static_cast<int>(reader.number_or("threads", 2, 1, 64));
        if (!out_.value.node.empty() && !is_token(out_.value.node))
            reader.fail("id", "not a token; allowed values: letters, digits and !#$%&'*+-.^_`|~");
        reader.finish();
    }

    endpoint_text endpoint_or(ini_reader& reader, std::string_view key, const std::string& text) {
        const auto endpoint = parse_endpoint(text);
        if (!endpoint && !text.empty())
            reader.fail(key, "not an address; expected IP:port");
        return endpoint.value_or(endpoint_text{});
    }

    void parse_listen() {
        ini_reader reader(section("listen"), out_.faults);
        out_.value.callers = endpoint_or(reader, "callers", reader.text("callers"));
        out_.value.backends = endpoint_or(reader, "backends", reader.text("backends"));
        out_.value.admin = endpoint_or(reader, "admin", reader.text("admin"));
        const auto control = reader.text_or("control", "");
        if (!control.empty())
            out_.value.control = endpoint_or(reader, "control", control);
        out_.value.allow_plaintext_control = reader.flag_or("allow-plaintext-control", false);
        if (out_.value.control && !wire::may_listen_plaintext(out_.value.control->address,
                                                              out_.value.allow_plaintext_control))
            reader.fail("control", "not a loopback address; needs allow-plaintext-control = yes");
        reader.finish();
    }

    std::vector<named_endpoint> parse_endpoints(std::string_view kind) {
        std::vector<named_endpoint> out;
        for (const auto& value : section(kind).values) {
            const auto endpoint = parse_endpoint(value.value);
            if (!endpoint || endpoint->port == 0)
                fail(value.line, value.key, "not an address; expected IP:port");
            else
                out.push_back({value.key, *endpoint});
        }
        return out;
    }

    void parse_files() {
        ini_reader manifest(section("manifest"), out_.faults);
        out_.value.manifest_file = manifest.text_or("file", "");
        manifest.finish();
        ini_reader data(section("data"), out_.faults);
        out_.value.data_folder = data.text_or("folder", "");
        data.finish();
    }

    void parse_timeouts() {
        ini_reader reader(section("timeouts"), out_.faults);
        auto& times = out_.value.timeouts;
        const auto read = [&reader](std::string_view key, time_ms& value) {
            value = reader.number_or(key, value, 1, max_timeout_ms);
        };
        read("header-ms", times.header);
        read("idle-ms", times.idle);
        read("connect-ms", times.connect);
        read("silent-ms", times.silent);
        read("probe-ms", times.probe);
        read("backend-idle-ms", times.backend_idle);
        times.drain = reader.number_or("drain-ms", times.drain, 0, max_timeout_ms);
        reader.finish();
    }

    void parse_limits() {
        ini_reader reader(section("limits"), out_.faults);
        out_.value.max_callers =
            static_cast<std::size_t>(reader.number_or("callers", 10'000, 1, 1'000'000));
        reader.finish();
    }

    void parse_log() {
        ini_reader reader(section("log"), out_.faults);
        const auto name = reader.text_or("level", "info");
        const auto level = from_name<log_level>(name);
        if (!level)
            reader.fail("level", "unknown level; allowed values: " + allowed_names<log_level>());
        out_.value.level = level.value_or(log_level::info);
        reader.finish();
    }

    void check_consistency() {
        const auto& value = out_.value;
        for (const auto& peer : value.peers) {
            if (peer.name == value.node)
                fail(section("peers").find(peer.name)->line, peer.name,
                     "a node cannot be its own peer");
        }
        if (value.manifest_file.empty() && value.controls.empty())
            fail(0, "[manifest] file", "missing key; needed because [control] names no controld");
        if (!value.peers.empty() && !value.control)
            fail(section("listen").line, "control", "missing key; needed because there are peers");
    }

    const ini_document& document_;
    settings_result& out_;
    ini_section empty_;
};

std::string text_of(const endpoint_text& endpoint) {
    return endpoint.address + ':' + std::to_string(endpoint.port);
}

std::string text_of(const std::optional<endpoint_text>& endpoint) {
    return endpoint ? text_of(*endpoint) : std::string{};
}

std::string text_of(const std::vector<named_endpoint>& endpoints) {
    std::string out;
    for (const auto& item : endpoints)
        out += item.name + '=' + text_of(item.endpoint) + ' ';
    return out;
}

} // namespace

settings_result parse_settings(const std::string& file, std::string_view text) {
    settings_result out;
    out.value.file = file;
    const auto document = parse_ini(text);
    out.faults = document.faults;
    settings_parser(document, out).parse();
    std::ranges::stable_sort(out.faults, {}, &ini_fault::line);
    return out;
}

settings_result load_settings(const std::string& file) {
    const auto text = read_file(file);
    if (text)
        return parse_settings(file, *text);
    settings_result out;
    out.value.file = file;
    out.faults.push_back({0, "", "cannot read the file"});
    return out;
}

std::vector<ini_fault> check_reload(const entryd_settings& current, const entryd_settings& next) {
    std::vector<ini_fault> faults;
    const auto check_unchanged = [&](const std::string& key, const std::string& before,
                                     const std::string& after) {
        const auto line = next.lines.find(key);
        if (before != after)
            faults.push_back({line == next.lines.end() ? 0 : line->second, key,
                              "needs a restart to change; allowed values: " +
                                  (before.empty() ? std::string("none") : before)});
    };
    check_unchanged("[node] id", current.node, next.node);
    check_unchanged("[node] cluster", current.cluster, next.cluster);
    check_unchanged("[node] availability-zone", current.availability_zone, next.availability_zone);
    check_unchanged("[node] threads", std::to_string(current.threads),
                    std::to_string(next.threads));
    check_unchanged("[listen] callers", text_of(current.callers), text_of(next.callers));
    check_unchanged("[listen] backends", text_of(current.backends), text_of(next.backends));
    check_unchanged("[listen] admin", text_of(current.admin), text_of(next.admin));
    check_unchanged("[listen] control", text_of(current.control), text_of(next.control));
    check_unchanged("[peers]", text_of(current.peers), text_of(next.peers));
    check_unchanged("[peer-backends]", text_of(current.peer_backends), text_of(next.peer_backends));
    check_unchanged("[control]", text_of(current.controls), text_of(next.controls));
    check_unchanged("[data] folder", current.data_folder, next.data_folder);
    return faults;
}

} // namespace clementine::proxy
