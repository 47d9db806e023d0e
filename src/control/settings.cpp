#include "control/settings.h"

#include "wire/connection.h"

#include <algorithm>
#include <array>

namespace clementine::control {

namespace {

constexpr std::array<std::string_view, 7> section_kinds{
    "node", "listen", "replicas", "entry-nodes", "data", "platform", "log"};

// Reads the sections in order and collects all faults.
class settings_parser {
  public:
    explicit settings_parser(std::string_view text) : document_(parse_ini(text)) {
        result_.faults = document_.faults;
    }

    settings_result parse() {
        report_unknown_sections();
        read_node();
        read_listen();
        read_replicas();
        read_entry_nodes();
        read_data();
        read_platform();
        read_log();
        return std::move(result_);
    }

  private:
    void fail(std::size_t line, std::string key, std::string reason) {
        result_.faults.push_back({line, std::move(key), std::move(reason)});
    }

    void report_unknown_sections() {
        for (const auto& section : document_.sections) {
            if (std::ranges::find(section_kinds, section.kind) == section_kinds.end() ||
                !section.name.empty())
                fail(section.line, "[" + section.kind + "]",
                     "unknown section; allowed values: node, listen, replicas, entry-nodes, data, "
                     "platform, log");
        }
    }

    // A missing section is treated as empty, so that each missing key is reported.
    const ini_section& section(std::string_view kind) {
        static const ini_section none;
        const auto* found = document_.find(kind);
        if (found == nullptr)
            fail(0, "[" + std::string(kind) + "]", "missing section");
        return found == nullptr ? none : *found;
    }

    void read_node() {
        ini_reader reader(section("node"), result_.faults);
        result_.value.node = reader.text("id");
        result_.value.availability_zone = reader.text("availability-zone");
        result_.value.cluster = reader.text_or("cluster", "clementine");
        reader.finish();
    }

    endpoint_text read_endpoint(ini_reader& reader, std::string_view key) {
        const auto text = reader.text(key);
        const auto parsed = parse_endpoint(text);
        if (!parsed && !text.empty())
            reader.fail(key, "not an IP address with a port: " + text);
        return parsed.value_or(endpoint_text{});
    }

    // Without TLS, manifests and votes must not be exposed to the network by accident (design 4.2).
    void check_plaintext(ini_reader& reader, std::string_view key, const endpoint_text& address) {
        if (!address.address.empty() &&
            !wire::may_listen_plaintext(address.address, result_.value.allow_plaintext_control))
            reader.fail(key, "not a loopback address; needs allow-plaintext-control = yes");
    }

    void read_listen() {
        auto& value = result_.value;
        ini_reader reader(section("listen"), result_.faults);
        value.allow_plaintext_control = reader.flag_or("allow-plaintext-control", false);
        value.control = read_endpoint(reader, "control");
        value.operators = read_endpoint(reader, "operators");
        value.admin = read_endpoint(reader, "admin");
        check_plaintext(reader, "control", value.control);
        check_plaintext(reader, "operators", value.operators);
        reader.finish();
    }

    void read_replicas() {
        auto& value = result_.value;
        const auto& replicas = section("replicas");
        for (const auto& item : replicas.values) {
            const auto address = parse_endpoint(item.value);
            if (address)
                value.replicas.push_back({item.key, *address});
            else
                fail(item.line, item.key, "not an IP address with a port: " + item.value);
        }
        // The order determines the initial replica ids, so it must not depend on the file.
        std::ranges::sort(value.replicas, {}, &replica_address::node);
        if (std::ranges::find(value.replicas, value.node, &replica_address::node) ==
            value.replicas.end())
            fail(replicas.line, "[replicas]", "does not list this node: " + value.node);
        const auto count = value.replicas.size();
        if (count != 1 && count != 3 && count != 5)
            fail(replicas.line, "[replicas]", "needs 3 or 5 replicas, or 1 for trials");
    }

    void read_entry_nodes() {
        const auto* nodes = document_.find("entry-nodes");
        if (nodes == nullptr)
            return;
        for (const auto& item : nodes->values)
            result_.value.entry_nodes.push_back(item.key);
    }

    void read_data() {
        ini_reader reader(section("data"), result_.faults);
        result_.value.data_folder = reader.text("folder");
        reader.finish();
    }

    void read_platform() {
        const auto* found = document_.find("platform");
        if (found == nullptr)
            return;
        ini_reader reader(*found, result_.faults);
        result_.value.platform = read_endpoint(reader, "address");
        reader.finish();
    }

    void read_log() {
        const auto* found = document_.find("log");
        if (found == nullptr)
            return;
        ini_reader reader(*found, result_.faults);
        const auto name = reader.text_or("level", "info");
        const auto level = from_name<log_level>(name);
        if (!level)
            reader.fail("level", "unknown; allowed values: " + allowed_names<log_level>());
        result_.value.level = level.value_or(log_level::info);
        reader.finish();
    }

    ini_document document_;
    settings_result result_;
};

} // namespace

settings_result parse_controld_settings(std::string_view text) {
    return settings_parser(text).parse();
}

} // namespace clementine::control
