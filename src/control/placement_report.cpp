#include "control/placement_report.h"

#include <boost/json/array.hpp>
#include <boost/json/serialize.hpp>

#include <charconv>

namespace clementine::control {

namespace json = boost::json;
using namespace clementine::workload;

namespace {

constexpr int hexadecimal = 16;

bool is_unreserved(char c) {
    return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') ||
           std::string_view("-._~").find(c) != std::string_view::npos;
}

std::string percent_encode(std::string_view text) {
    constexpr std::string_view digits = "0123456789ABCDEF";
    std::string out;
    for (const char c : text) {
        if (is_unreserved(c)) {
            out.push_back(c);
            continue;
        }
        const auto byte = static_cast<unsigned char>(c);
        out.push_back('%');
        out.push_back(digits[byte / digits.size()]);
        out.push_back(digits[byte % digits.size()]);
    }
    return out;
}

std::optional<std::string> percent_decode(std::string_view text) {
    std::string out;
    for (std::size_t i = 0; i < text.size(); ++i) {
        if (text[i] != '%') {
            out.push_back(text[i]);
            continue;
        }
        const auto code = text.substr(i + 1, 2);
        unsigned byte = 0;
        const auto end = code.data() + code.size();
        if (code.size() != 2 || std::from_chars(code.data(), end, byte, hexadecimal).ptr != end)
            return std::nullopt;
        out.push_back(static_cast<char>(byte));
        i += 2;
    }
    return out;
}

json::object render(const resources& value) {
    return {{"cpu", value.cpu}, {"memory", value.memory}, {"accelerators", value.accelerators}};
}

json::object render(const step_explanation& step) {
    json::array chosen;
    for (const auto& [worker, tasks] : step.chosen)
        chosen.push_back(json::object{{"worker", worker}, {"tasks", tasks}});
    json::object excluded;
    for (std::size_t i = 1; i < exclusion_names.size(); ++i) {
        if (step.workers.at(i) > 0)
            excluded[exclusion_names.at(i)] = step.workers.at(i);
    }
    return {{"step", step.step},
            {"tasks", step.tasks},
            {"steps_before", step.turn},
            {"over_share", step.over_share},
            {"placed", step.placed},
            {"held_by_cap", step.held_by_cap},
            {"without_room", step.without_room},
            {"candidates", step.workers.front()},
            {"excluded", std::move(excluded)},
            {"chosen", std::move(chosen)},
            {"unnamed_workers", step.unnamed_workers}};
}

json::object render(const wait_causes& wait) {
    return {{"pool_work_ms", wait.pool_work},
            {"share_work_ms", wait.share_work},
            {"cap_ms", wait.cap},
            {"room_ms", wait.room},
            {"wait_ratio", wait.wait_ratio},
            {"order_delay_ms", wait.order_delay},
            {"total_ms", wait.total},
            {"allowed_ms", wait.allowed},
            {"paid", wait.paid}};
}

// Member of an answer as text; strings without quotes.
std::string text_of(const json::object& object, std::string_view key) {
    const auto* item = object.if_contains(key);
    if (item == nullptr)
        return "?";
    return item->is_string() ? std::string(item->as_string()) : json::serialize(*item);
}

const json::object& object_in(const json::object& object, std::string_view key) {
    static const json::object none;
    const auto* item = object.if_contains(key);
    return item != nullptr && item->is_object() ? item->as_object() : none;
}

bool is_true(const json::object& object, std::string_view key) {
    const auto* item = object.if_contains(key);
    return item != nullptr && item->is_bool() && item->as_bool();
}

void print_step(const json::object& step, std::ostream& out) {
    out << "step " << text_of(step, "step") << ": " << text_of(step, "placed") << " of "
        << text_of(step, "tasks") << " tasks would start, behind " << text_of(step, "steps_before")
        << " steps" << (is_true(step, "over_share") ? " (workspace over its share)" : "") << '\n'
        << "  not started: held by the cap " << text_of(step, "held_by_cap") << ", without room "
        << text_of(step, "without_room") << '\n'
        << "  workers: " << text_of(step, "candidates") << " candidates";
    for (const auto& [why, count] : object_in(step, "excluded"))
        out << ", " << json::serialize(count) << ' ' << std::string_view(why);
    out << '\n';
    const auto* chosen = step.if_contains("chosen");
    if (chosen == nullptr || !chosen->is_array())
        return;
    for (const auto& item : chosen->as_array()) {
        if (item.is_object())
            out << "  " << text_of(item.as_object(), "worker") << ": "
                << text_of(item.as_object(), "tasks") << " tasks\n";
    }
    if (const auto more = text_of(step, "unnamed_workers"); more != "0")
        out << "  and " << more << " more workers\n";
}

void print_amounts(const char* name, const json::object& value, std::ostream& out) {
    out << name << " cpu " << text_of(value, "cpu") << ", memory " << text_of(value, "memory")
        << ", accelerators " << text_of(value, "accelerators");
}

} // namespace

std::string placement_target(const placement_query& query) {
    auto out = std::string(placement_path) + "?queue=" + percent_encode(query.queue);
    if (!query.workspace.empty())
        out += "&workspace=" + percent_encode(query.workspace);
    return out;
}

std::optional<placement_query> parse_placement_query(std::string_view target,
                                                     std::string& problem) {
    placement_query out;
    auto rest = target.substr(std::min(target.size(), target.find('?')));
    while (!rest.empty()) {
        rest.remove_prefix(1);
        const auto part = rest.substr(0, rest.find('&'));
        rest.remove_prefix(part.size());
        const auto split = std::min(part.size(), part.find('='));
        const auto name = part.substr(0, split);
        auto* const to = name == "queue"       ? &out.queue
                         : name == "workspace" ? &out.workspace
                                               : nullptr;
        const auto value = percent_decode(part.substr(std::min(part.size(), split + 1)));
        if (to == nullptr || !to->empty() || !value || value->empty()) {
            problem = "query: expected queue=NAME and at most one workspace=NAME";
            return std::nullopt;
        }
        *to = *value;
    }
    if (out.queue.empty()) {
        problem = "query: queue=NAME is missing";
        return std::nullopt;
    }
    return out;
}

std::string render_placement(const placement_query& query, const placement_explanation& value) {
    const auto& decision = value.decision;
    json::array steps;
    for (const auto& step : value.steps)
        steps.push_back(render(step));
    return json::serialize(
        json::object{{"queue", query.queue},
                     {"workspace", query.workspace},
                     {"pool", value.pool},
                     {"accepted", decision.accepted},
                     {"late", decision.late},
                     {"reason", to_name(decision.accepted ? refusal::none : decision.reason)},
                     {"retry_after_ms", decision.retry_after},
                     {"wait", render(decision.wait)},
                     {"use", render(value.use)},
                     {"cap", render(value.cap)},
                     {"share_ratio", value.share_ratio},
                     {"workers", value.workers},
                     {"arriving_vms", value.arriving_vms},
                     {"arriving_cpu", value.arriving_cpu},
                     {"idle_standby_cpu", value.idle_standby_cpu},
                     {"move_time_ms", value.move_time},
                     {"needs_placement_advice", value.needs_advice},
                     {"steps", std::move(steps)},
                     {"omitted_steps", value.omitted_steps}});
}

void print_placement(const json::object& answer, std::ostream& out) {
    const auto& wait = object_in(answer, "wait");
    if (is_true(answer, "accepted"))
        out << (is_true(answer, "late") ? "accepted, expected to be late\n" : "accepted\n");
    else
        out << "refused: " << text_of(answer, "reason") << ", retry after "
            << text_of(answer, "retry_after_ms") << " ms\n";
    out << "wait: " << text_of(wait, "total_ms") << " ms, allowed " << text_of(wait, "allowed_ms")
        << " ms" << (is_true(wait, "paid") ? ", within the paid rate" : "") << '\n'
        << "  by cause: work in the pool " << text_of(wait, "pool_work_ms") << " ms, share "
        << text_of(wait, "share_work_ms") << " ms, cap " << text_of(wait, "cap_ms") << " ms, room "
        << text_of(wait, "room_ms") << " ms (x " << text_of(wait, "wait_ratio")
        << " as measured), order delay " << text_of(wait, "order_delay_ms") << " ms\n";
    if (!text_of(answer, "workspace").empty()) {
        out << "workspace " << text_of(answer, "workspace") << ": ";
        print_amounts("use", object_in(answer, "use"), out);
        print_amounts("; cap", object_in(answer, "cap"), out);
        out << " (0: none); share ratio " << text_of(answer, "share_ratio") << '\n';
    }
    out << "pool " << text_of(answer, "pool") << ": " << text_of(answer, "workers") << " workers; "
        << text_of(answer, "arriving_vms") << " VMs with cpu " << text_of(answer, "arriving_cpu")
        << " on their way; idle in standby pools: cpu " << text_of(answer, "idle_standby_cpu")
        << "; a move takes " << text_of(answer, "move_time_ms") << " ms\n";
    if (is_true(answer, "needs_placement_advice"))
        out << "the queue needs placement advice, which is asked for after the submission\n";
    const auto* steps = answer.if_contains("steps");
    if (steps != nullptr && steps->is_array()) {
        for (const auto& step : steps->as_array()) {
            if (step.is_object())
                print_step(step.as_object(), out);
        }
        if (steps->as_array().empty())
            out << "no step may start now\n";
    }
    if (const auto more = text_of(answer, "omitted_steps"); more != "0")
        out << "and " << more << " more steps\n";
}

} // namespace clementine::control
