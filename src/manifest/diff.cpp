#include "manifest/diff.h"

#include <array>
#include <charconv>
#include <map>

namespace clementine::manifest {

namespace {

// Section in canonical form. An empty value denotes an omitted key.
struct canonical_section {
    std::string kind;
    std::string name;
    std::vector<std::pair<std::string, std::string>> values;
};

std::string to_text(std::int64_t value) {
    return std::to_string(value);
}

std::string to_text(bool value) {
    return value ? "yes" : "no";
}

// Shortest decimal text that parses to the same number.
std::string to_text(double value) {
    std::array<char, 32> buffer{};
    const auto result = std::to_chars(buffer.data(), buffer.data() + buffer.size(), value);
    return {buffer.data(), result.ptr};
}

std::string to_text(const std::vector<std::string>& items) {
    std::string out;
    for (const auto& item : items)
        out += (out.empty() ? "" : ", ") + item;
    return out;
}

canonical_section describe_fleet(const manifest& value) {
    return {"fleet",
            "",
            {{"availability-zones", to_text(value.availability_zones)},
             {"vms", to_text(value.vms)},
             {"cores-per-vm", to_text(value.cores_per_vm)},
             {"memory-mb-per-vm", to_text(value.memory_mb_per_vm)},
             {"accelerators-per-vm", to_text(value.accelerators_per_vm)},
             {"vms-per-rack", to_text(value.vms_per_rack)}}};
}

canonical_section describe(const service& item) {
    return {"service",
            item.name,
            {{"hosts", to_text(item.hosts)},
             {"pool", item.pool},
             {"timeout-ms", to_text(item.timeout)},
             {"max-body-bytes", to_text(item.max_body_bytes)},
             {"queue-length", to_text(item.queue_length)},
             {"non-idempotent-methods", to_text(item.non_idempotent_methods)},
             {"allow-default-workspace", to_text(item.allow_default_workspace)},
             {"min-available", to_text(item.min_available)},
             {"retry-budget", to_text(item.retry_budget)}}};
}

canonical_section describe(const workspace& item) {
    return {"workspace", item.name, {{"weight", to_text(item.weight)}}};
}

canonical_section describe(const pool& item) {
    return {"pool",
            item.name,
            {{"size", to_text(item.size)},
             {"spare", to_text(item.spare)},
             {"max-lent", to_text(item.max_lent)}}};
}

canonical_section describe(const team& item) {
    return {"team",
            item.name,
            {{"quota-cores", to_text(item.quota_cores)}, {"may-borrow", to_text(item.may_borrow)}}};
}

canonical_section describe(const job& item) {
    return {"job",
            item.name,
            {{"team", item.team},
             {"pool", item.pool},
             {"kind", std::string(to_name(item.kind))},
             {"urgent", to_text(item.urgent)},
             {"cores", to_text(item.cores)},
             {"memory-mb", to_text(item.memory_mb)},
             {"accelerators", to_text(item.accelerators)},
             {"run-time-ms", to_text(item.run_time)}}};
}

canonical_section describe(const objective& item) {
    return {"objective",
            "",
            {{"profile", std::string(to_name(item.profile))},
             {"buffer-cost", to_text(item.buffer_cost)},
             {"lateness", to_text(item.lateness)},
             {"moves", to_text(item.moves)}}};
}

canonical_section describe(const maintenance& item) {
    return {"maintenance",
            "",
            {{"enabled", to_text(item.enabled)},
             {"period-days", to_text(item.period_days)},
             {"max-concurrent", to_text(item.max_concurrent)},
             {"return-timeout-ms", to_text(item.return_timeout)},
             {"window-start-hour", to_text(item.window_start_hour)},
             {"window-hours", to_text(item.window_hours)}}};
}

template <class T>
void describe_all(const std::vector<T>& items, std::vector<canonical_section>& out) {
    for (const auto& item : items)
        out.push_back(describe(item));
}

std::vector<canonical_section> describe_manifest(const manifest& value) {
    std::vector<canonical_section> out{describe_fleet(value)};
    describe_all(value.services, out);
    describe_all(value.workspaces, out);
    describe_all(value.pools, out);
    describe_all(value.teams, out);
    describe_all(value.jobs, out);
    out.push_back(describe(value.weights));
    out.push_back(describe(value.maintenance_settings));
    return out;
}

std::string section_header(const std::string& kind, const std::string& name) {
    return '[' + kind + (name.empty() ? "" : ' ' + name) + ']';
}

using section_index = std::map<std::pair<std::string, std::string>, const canonical_section*>;

section_index index_of(const std::vector<canonical_section>& sections) {
    section_index out;
    for (const auto& section : sections)
        out[{section.kind, section.name}] = &section;
    return out;
}

// Both sections must be of the same kind, so that they have the same keys in the same order.
void diff_values(const canonical_section& before, const canonical_section& after,
                 std::vector<change>& out) {
    for (std::size_t i = 0; i < after.values.size(); ++i) {
        const auto& [key, value] = after.values[i];
        if (before.values[i].second != value)
            out.emplace_back(
                value_changed{after.kind, after.name, key, before.values[i].second, value});
    }
}

struct change_formatter {
    std::string operator()(const section_added& item) const {
        return "+ " + section_header(item.kind, item.name);
    }
    std::string operator()(const section_removed& item) const {
        return "- " + section_header(item.kind, item.name);
    }
    std::string operator()(const value_changed& item) const {
        const auto display_text = [](const std::string& value) {
            return value.empty() ? "none" : value;
        };
        return "~ " + section_header(item.kind, item.name) + ' ' + item.key + ": " +
               display_text(item.before) + " -> " + display_text(item.after);
    }
};

} // namespace

std::vector<change> diff(const manifest& before, const manifest& after) {
    const auto old_sections = describe_manifest(before);
    const auto new_sections = describe_manifest(after);
    const auto old_index = index_of(old_sections);
    const auto new_index = index_of(new_sections);
    std::vector<change> out;
    for (const auto& section : old_sections) {
        if (!new_index.contains({section.kind, section.name}))
            out.emplace_back(section_removed{section.kind, section.name});
    }
    for (const auto& section : new_sections) {
        const auto it = old_index.find({section.kind, section.name});
        if (it == old_index.end())
            out.emplace_back(section_added{section.kind, section.name});
        else
            diff_values(*it->second, section, out);
    }
    return out;
}

std::string format_change(const change& item) {
    return std::visit(change_formatter{}, item);
}

std::string format_manifest(const manifest& value) {
    std::string out;
    for (const auto& section : describe_manifest(value)) {
        out += (out.empty() ? "" : "\n") + section_header(section.kind, section.name) + '\n';
        for (const auto& [key, text] : section.values) {
            if (!text.empty())
                out += key + " = " + text + '\n';
        }
    }
    return out;
}

} // namespace clementine::manifest
