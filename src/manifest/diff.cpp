#include "manifest/diff.h"

#include <array>
#include <charconv>
#include <map>

namespace clementine::manifest {

namespace {

// A section in canonical form. Empty values stand for keys that are left out.
struct plain_section {
    std::string kind;
    std::string name;
    std::vector<std::pair<std::string, std::string>> values;
};

std::string text_of(std::int64_t value) {
    return std::to_string(value);
}

std::string text_of(bool value) {
    return value ? "yes" : "no";
}

// Shortest decimal text that reads back as the same number.
std::string text_of(double value) {
    std::array<char, 32> buffer{};
    const auto result = std::to_chars(buffer.data(), buffer.data() + buffer.size(), value);
    return {buffer.data(), result.ptr};
}

std::string text_of(const std::vector<std::string>& items) {
    std::string out;
    for (const auto& item : items)
        out += (out.empty() ? "" : ", ") + item;
    return out;
}

plain_section describe_fleet(const manifest& value) {
    return {"fleet",
            "",
            {{"availability-zones", text_of(value.availability_zones)},
             {"vms", text_of(value.vms)},
             {"cores-per-vm", text_of(value.cores_per_vm)},
             {"memory-mb-per-vm", text_of(value.memory_mb_per_vm)},
             {"accelerators-per-vm", text_of(value.accelerators_per_vm)},
             {"vms-per-rack", text_of(value.vms_per_rack)}}};
}

plain_section describe(const service& item) {
    return {"service",
            item.name,
            {{"hosts", text_of(item.hosts)},
             {"pool", item.pool},
             {"timeout-ms", text_of(item.timeout)},
             {"max-body-bytes", text_of(item.max_body_bytes)},
             {"queue-length", text_of(item.queue_length)},
             {"non-idempotent-methods", text_of(item.non_idempotent_methods)},
             {"allow-default-workspace", text_of(item.allow_default_workspace)},
             {"min-available", text_of(item.min_available)},
             {"retry-budget", text_of(item.retry_budget)}}};
}

plain_section describe(const workspace& item) {
    return {"workspace", item.name, {{"weight", text_of(item.weight)}}};
}

plain_section describe(const pool& item) {
    return {"pool",
            item.name,
            {{"size", text_of(item.size)},
             {"spare", text_of(item.spare)},
             {"max-lent", text_of(item.max_lent)}}};
}

plain_section describe(const team& item) {
    return {"team",
            item.name,
            {{"quota-cores", text_of(item.quota_cores)}, {"may-borrow", text_of(item.may_borrow)}}};
}

plain_section describe(const job& item) {
    return {"job",
            item.name,
            {{"team", item.team},
             {"pool", item.pool},
             {"kind", std::string(to_name(item.kind))},
             {"urgent", text_of(item.urgent)},
             {"cores", text_of(item.cores)},
             {"memory-mb", text_of(item.memory_mb)},
             {"accelerators", text_of(item.accelerators)},
             {"run-time-ms", text_of(item.run_time)}}};
}

plain_section describe(const objective& item) {
    return {"objective",
            "",
            {{"profile", std::string(to_name(item.profile))},
             {"buffer-cost", text_of(item.buffer_cost)},
             {"lateness", text_of(item.lateness)},
             {"moves", text_of(item.moves)}}};
}

plain_section describe(const maintenance& item) {
    return {"maintenance",
            "",
            {{"enabled", text_of(item.enabled)},
             {"period-days", text_of(item.period_days)},
             {"max-concurrent", text_of(item.max_concurrent)},
             {"return-timeout-ms", text_of(item.return_timeout)},
             {"window-start-hour", text_of(item.window_start_hour)},
             {"window-hours", text_of(item.window_hours)}}};
}

template <class T>
void describe_all(const std::vector<T>& items, std::vector<plain_section>& out) {
    for (const auto& item : items)
        out.push_back(describe(item));
}

std::vector<plain_section> describe_manifest(const manifest& value) {
    std::vector<plain_section> out{describe_fleet(value)};
    describe_all(value.services, out);
    describe_all(value.workspaces, out);
    describe_all(value.pools, out);
    describe_all(value.teams, out);
    describe_all(value.jobs, out);
    out.push_back(describe(value.weights));
    out.push_back(describe(value.maintenance_settings));
    return out;
}

std::string header(const std::string& kind, const std::string& name) {
    return '[' + kind + (name.empty() ? "" : ' ' + name) + ']';
}

using section_index = std::map<std::pair<std::string, std::string>, const plain_section*>;

section_index index_of(const std::vector<plain_section>& sections) {
    section_index out;
    for (const auto& section : sections)
        out[{section.kind, section.name}] = &section;
    return out;
}

// Both sections are of one kind, so their keys are the same and in the same order.
void diff_values(const plain_section& before, const plain_section& after,
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
        return "+ " + header(item.kind, item.name);
    }
    std::string operator()(const section_removed& item) const {
        return "- " + header(item.kind, item.name);
    }
    std::string operator()(const value_changed& item) const {
        const auto shown = [](const std::string& value) { return value.empty() ? "none" : value; };
        return "~ " + header(item.kind, item.name) + ' ' + item.key + ": " + shown(item.before) +
               " -> " + shown(item.after);
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
        out += (out.empty() ? "" : "\n") + header(section.kind, section.name) + '\n';
        for (const auto& [key, text] : section.values) {
            if (!text.empty())
                out += key + " = " + text + '\n';
        }
    }
    return out;
}

} // namespace clementine::manifest
