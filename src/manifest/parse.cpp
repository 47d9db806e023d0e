// Parses the INI form of a manifest. Keys are the member names with '-' instead of '_', and keys of
// durations end in -ms.
#include "manifest/checks.h"
#include "manifest/manifest.h"

#include <algorithm>
#include <array>
#include <set>

namespace clementine::manifest {

namespace {

constexpr long long max_vms = 100'000;
constexpr long long max_time_ms = 30LL * 24 * 3'600'000; // 30 days
constexpr long long max_count = 1'000'000'000;
constexpr std::size_t max_name_length = 63;

constexpr std::array<std::string_view, 5> named_section_kinds{"service", "workspace", "pool",
                                                              "team", "job"};
constexpr std::array<std::string_view, 3> unnamed_section_kinds{"fleet", "objective",
                                                                "maintenance"};
constexpr std::array<std::string_view, 9> http_methods{
    "GET", "HEAD", "POST", "PUT", "DELETE", "OPTIONS", "PATCH", "TRACE", "CONNECT"};

bool is_valid_name(std::string_view text) {
    const auto allowed = [](char c) {
        return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') ||
               c == '-' || c == '_' || c == '.';
    };
    return !text.empty() && text.size() <= max_name_length && std::ranges::all_of(text, allowed);
}

// Reports duplicate list items.
void reject_duplicates(ini_reader& in, std::string_view key,
                       const std::vector<std::string>& items) {
    std::set<std::string_view> seen;
    for (const auto& item : items) {
        if (!seen.insert(item).second)
            in.fail(key, "repeated item \"" + item + "\"");
    }
}

template <class Enum>
Enum read_enum(ini_reader& in, std::string_view key, Enum fallback) {
    const auto text = in.text_or(key, to_name(fallback));
    const auto value = from_name<Enum>(text);
    if (!value)
        in.fail(key, "unknown value \"" + text + "\"; allowed values: " + allowed_names<Enum>());
    return value.value_or(fallback);
}

void read_fleet(ini_reader& in, manifest& out) {
    out.availability_zones = in.list_or("availability-zones", {});
    if (out.availability_zones.empty())
        in.fail("availability-zones", "missing key; expected at least one name");
    reject_duplicates(in, "availability-zones", out.availability_zones);
    out.vms = in.number("vms", 1, max_vms);
    out.cores_per_vm = in.number_or("cores-per-vm", out.cores_per_vm, 1, 4'096);
    out.memory_mb_per_vm = in.number_or("memory-mb-per-vm", out.memory_mb_per_vm, 1, 1LL << 30);
    out.accelerators_per_vm = in.number_or("accelerators-per-vm", 0, 0, 1'024);
    out.vms_per_rack = in.number_or("vms-per-rack", out.vms_per_rack, 1, max_vms);
}

void read_hosts(ini_reader& in, service& out) {
    out.hosts = in.list_or("hosts", {});
    if (out.hosts.empty())
        in.fail("hosts", "missing key; expected at least one host name");
    for (auto& host : out.hosts) {
        if (host.find_first_of(":/ ") != std::string::npos)
            in.fail("hosts", "host \"" + host + "\" must be a name without port or path");
        // Host names are case-insensitive, so they are stored in lower case.
        std::ranges::transform(host, host.begin(), [](char c) {
            return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c;
        });
    }
    reject_duplicates(in, "hosts", out.hosts);
}

service read_service(ini_reader& in, std::string name) {
    service out;
    out.name = std::move(name);
    read_hosts(in, out);
    out.pool = in.text("pool");
    out.timeout = in.number_or("timeout-ms", out.timeout, 1, max_time_ms);
    out.max_body_bytes = in.number_or("max-body-bytes", out.max_body_bytes, 0, 1LL << 40);
    out.queue_length = in.number_or("queue-length", out.queue_length, 0, 1'000'000);
    out.non_idempotent_methods = in.list_or("non-idempotent-methods", {});
    for (const auto& method : out.non_idempotent_methods) {
        if (std::ranges::find(http_methods, method) == http_methods.end())
            in.fail("non-idempotent-methods",
                    "unknown method \"" + method +
                        "\"; allowed values: GET, HEAD, POST, PUT, DELETE, OPTIONS, PATCH, TRACE, "
                        "CONNECT");
    }
    out.allow_default_workspace =
        in.flag_or("allow-default-workspace", out.allow_default_workspace);
    out.min_available = in.number_or("min-available", out.min_available, 1, max_vms);
    out.retry_budget = in.decimal_or("retry-budget", out.retry_budget, 0, 1);
    return out;
}

workspace read_workspace(ini_reader& in, std::string name) {
    return {std::move(name), in.number_or("weight", 1, 1, 10'000)};
}

pool read_pool(ini_reader& in, std::string name) {
    pool out;
    out.name = std::move(name);
    out.size = in.number("size", 0, max_vms);
    out.spare = in.flag_or("spare", out.spare);
    out.max_lent = in.number_or("max-lent", out.max_lent, 0, max_vms);
    return out;
}

team read_team(ini_reader& in, std::string name) {
    team out;
    out.name = std::move(name);
    out.quota_cores = in.number("quota-cores", 0, max_count);
    out.may_borrow = in.flag_or("may-borrow", out.may_borrow);
    return out;
}

job read_job(ini_reader& in, std::string name) {
    job out;
    out.name = std::move(name);
    out.team = in.text("team");
    out.pool = in.text("pool");
    out.kind = read_enum(in, "kind", out.kind);
    out.urgent = in.flag_or("urgent", out.urgent);
    out.cores = in.number_or("cores", out.cores, 1, max_count);
    out.memory_mb = in.number_or("memory-mb", out.memory_mb, 1, max_count);
    out.accelerators = in.number_or("accelerators", out.accelerators, 0, max_count);
    out.run_time = in.number_or("run-time-ms", out.run_time, 1, max_time_ms);
    return out;
}

objective read_objective(ini_reader& in) {
    objective out = weights_of(read_enum(in, "profile", objective_profile::custom));
    out.buffer_cost = in.decimal_or("buffer-cost", out.buffer_cost, 0, 1'000);
    out.lateness = in.decimal_or("lateness", out.lateness, 0, 1'000);
    out.moves = in.decimal_or("moves", out.moves, 0, 1'000);
    return out;
}

maintenance read_maintenance(ini_reader& in) {
    maintenance out;
    out.enabled = in.flag_or("enabled", out.enabled);
    out.period_days = in.number_or("period-days", out.period_days, 1, 3'650);
    out.max_concurrent = in.number_or("max-concurrent", out.max_concurrent, 1, max_vms);
    out.return_timeout = in.number_or("return-timeout-ms", out.return_timeout, 1, max_time_ms);
    out.window_start_hour = in.number_or("window-start-hour", out.window_start_hour, 0, 23);
    out.window_hours = in.number_or("window-hours", out.window_hours, 1, 24);
    return out;
}

void read_section(const ini_section& section, ini_reader& in, manifest& out) {
    if (section.kind == "fleet")
        read_fleet(in, out);
    else if (section.kind == "service")
        out.services.push_back(read_service(in, section.name));
    else if (section.kind == "workspace")
        out.workspaces.push_back(read_workspace(in, section.name));
    else if (section.kind == "pool")
        out.pools.push_back(read_pool(in, section.name));
    else if (section.kind == "team")
        out.teams.push_back(read_team(in, section.name));
    else if (section.kind == "job")
        out.jobs.push_back(read_job(in, section.name));
    else if (section.kind == "objective")
        out.weights = read_objective(in);
    else
        out.maintenance_settings = read_maintenance(in);
}

// Validates the kind and name of a section. Returns false if the section must be skipped.
bool check_section_header(const ini_section& section, std::vector<ini_fault>& faults) {
    const bool named =
        std::ranges::find(named_section_kinds, section.kind) != named_section_kinds.end();
    const bool unnamed =
        std::ranges::find(unnamed_section_kinds, section.kind) != unnamed_section_kinds.end();
    if (!named && !unnamed) {
        faults.push_back({section.line, section.kind,
                          "unknown section; allowed values: fleet, service, workspace, pool, team, "
                          "job, objective, maintenance"});
        return false;
    }
    if (named && !is_valid_name(section.name)) {
        faults.push_back({section.line, section.kind,
                          "section needs a name; allowed values: 1 to 63 letters, digits, '-', "
                          "'_' and '.'"});
        return false;
    }
    if (unnamed && !section.name.empty()) {
        faults.push_back({section.line, section.kind, "section takes no name"});
        return false;
    }
    return true;
}

} // namespace

parse_result parse_manifest(std::string_view text) {
    parse_result result;
    const auto document = parse_ini(text);
    result.faults = document.faults;
    for (const auto& section : document.sections) {
        if (!check_section_header(section, result.faults))
            continue;
        ini_reader in(section, result.faults);
        read_section(section, in, result.value);
        in.finish();
    }
    if (document.find("fleet") == nullptr)
        result.faults.push_back({0, "fleet", "missing section"});
    check_references(document, result);
    check_sizes(document, result);
    std::ranges::stable_sort(result.faults, {}, &ini_fault::line);
    return result;
}

} // namespace clementine::manifest
