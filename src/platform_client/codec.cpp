#include "platform_client/codec.h"

#include <boost/json.hpp>

#include <array>
#include <concepts>
#include <limits>
#include <stdexcept>

namespace clementine::platform_client {

namespace {

namespace json = boost::json;
using namespace scheduler;

// Thrown and caught in this file only; callers get a codec_error.
struct invalid_member : std::runtime_error {
    explicit invalid_member(std::string_view name)
        : std::runtime_error("missing or invalid member \"" + std::string(name) + "\"") {}
};

// Names in the order of the alternatives of scheduler::command.
constexpr std::array<std::string_view, std::variant_size_v<command>> command_names{
    "grant-lease",      "dispatch-task", "checkpoint-task", "throttle-task", "stop-task",
    "acknowledge-task", "run-probe",     "drain-vm",        "assign-vm",     "restart-vm"};

// Each message type lists its members once, for both encoding and decoding: `Archive` is a writer
// or a reader.
template <class Archive, class Task>
void serialize_task_members(Archive& archive, Task& value) {
    archive("vm", value.vm);
    archive("job", value.job);
    archive("attempt", value.attempt);
}

template <class Archive>
void serialize_members(Archive& archive, grant_lease& value) {
    archive("vm", value.vm);
    archive("report", value.report);
}

template <class Archive>
void serialize_members(Archive& archive, dispatch_task& value) {
    serialize_task_members(archive, value);
    archive("lease_epoch", value.lease_epoch);
    archive("checkpoint", value.checkpoint);
}

template <class Archive>
void serialize_members(Archive& archive, checkpoint_task& value) {
    serialize_task_members(archive, value);
}

template <class Archive>
void serialize_members(Archive& archive, throttle_task& value) {
    serialize_task_members(archive, value);
    archive("percent", value.percent);
}

template <class Archive>
void serialize_members(Archive& archive, stop_task& value) {
    serialize_task_members(archive, value);
}

template <class Archive>
void serialize_members(Archive& archive, acknowledge_task& value) {
    serialize_task_members(archive, value);
}

template <class Archive>
void serialize_members(Archive& archive, run_probe& value) {
    archive("vm", value.vm);
    archive("probe", value.probe);
}

template <class Archive>
void serialize_members(Archive& archive, drain_vm& value) {
    archive("vm", value.vm);
    archive("request", value.request);
}

template <class Archive>
void serialize_members(Archive& archive, assign_vm& value) {
    archive("vm", value.vm);
    archive("pool", value.pool);
    archive("serve", value.serve);
    archive("request", value.request);
}

template <class Archive>
void serialize_members(Archive& archive, restart_vm& value) {
    archive("vm", value.vm);
    archive("request", value.request);
}

template <class Archive>
void serialize_members(Archive& archive, resources& value) {
    archive("millicores", value.millicores);
    archive("memory_mb", value.memory_mb);
    archive("accelerators", value.accelerators);
}

template <class Archive>
void serialize_members(Archive& archive, task_report& value) {
    archive("job", value.job);
    archive("attempt", value.attempt);
    archive("phase", value.phase);
    archive("checkpoint", value.checkpoint);
    archive("throttle_percent", value.throttle_percent);
    archive("used", value.used);
}

template <class Archive>
void serialize_members(Archive& archive, vm_report& value) {
    archive("vm", value.vm);
    archive("sequence", value.sequence);
    archive("lease_epoch", value.lease_epoch);
    archive("assignment", value.assignment);
    archive("drain", value.drain);
    archive("restart", value.restart);
    archive("ready", value.ready);
    archive("requests", value.requests);
    archive("probe_succeeded", value.probe_succeeded);
    archive("used", value.used);
    archive("tasks", value.tasks);
}

template <class Archive>
void serialize_members(Archive& archive, exchange_reply& value) {
    archive("cursor", value.cursor);
    archive("refused", value.refused);
    archive("reports", value.reports);
}

class writer {
  public:
    template <class T>
    void operator()(std::string_view name, T& value) {
        object_[name] = to_json(value);
    }

    template <class T>
    static json::object to_object(T& value) {
        writer out;
        serialize_members(out, value);
        return std::move(out.object_);
    }

  private:
    static json::value to_json(bool value) { return value; }
    template <std::integral T>
    static json::value to_json(T value) {
        return value;
    }
    static json::value to_json(task_phase value) { return json::string(to_name(value)); }
    template <class T>
    static json::value to_json(std::vector<T>& values) {
        json::array out;
        for (auto& value : values)
            out.push_back(to_object(value));
        return out;
    }
    template <class T>
    requires std::is_class_v<T>
    static json::value to_json(T& value) { return to_object(value); }

    json::object object_;
};

class reader {
  public:
    explicit reader(const json::value& value) {
        if (!value.is_object())
            throw invalid_member("object");
        object_ = &value.as_object();
    }

    template <class T>
    void operator()(std::string_view name, T& value) {
        const auto* member = object_->if_contains(name);
        if (member == nullptr || !from_json(*member, value))
            throw invalid_member(name);
    }

    template <class T>
    static void read(const json::value& from, T& value) {
        reader in(from);
        serialize_members(in, value);
    }

  private:
    static bool from_json(const json::value& from, bool& value) {
        if (from.is_bool())
            value = from.as_bool();
        return from.is_bool();
    }
    template <std::integral T>
    static bool from_json(const json::value& from, T& value) {
        json::error_code error;
        value = from.to_number<T>(error);
        return !error;
    }
    static bool from_json(const json::value& from, task_phase& value) {
        if (!from.is_string())
            return false;
        const auto phase = from_name<task_phase>(std::string_view(from.as_string()));
        value = phase.value_or(task_phase::running);
        return phase.has_value();
    }
    template <class T>
    static bool from_json(const json::value& from, std::vector<T>& values) {
        if (!from.is_array())
            return false;
        for (const auto& item : from.as_array())
            read(item, values.emplace_back());
        return true;
    }
    template <class T>
    requires std::is_class_v<T>
    static bool from_json(const json::value& from, T& value) {
        read(from, value);
        return true;
    }

    const json::object* object_ = nullptr;
};

// Default-constructed command of the alternative with this index.
template <std::size_t I = 0>
command make_command(std::size_t index) {
    if constexpr (I + 1 < std::variant_size_v<command>) {
        if (index != I)
            return make_command<I + 1>(index);
    }
    return command(std::in_place_index<I>);
}

json::object write_command(fenced_command message) {
    auto out = std::visit([](auto& value) { return writer::to_object(value); }, message.command);
    out["kind"] = json::string(command_names[message.command.index()]);
    out["term"] = message.fencing.term;
    out["index"] = message.fencing.index;
    return out;
}

fenced_command read_command(const json::value& from) {
    fenced_command out;
    reader in(from);
    in("term", out.fencing.term);
    in("index", out.fencing.index);
    const auto* kind = from.as_object().if_contains("kind");
    if (kind == nullptr || !kind->is_string())
        throw invalid_member("kind");
    for (std::size_t i = 0; i < command_names.size(); ++i) {
        if (command_names[i] != std::string_view(kind->as_string()))
            continue;
        out.command = make_command(i);
        std::visit([&](auto& value) { reader::read(from, value); }, out.command);
        return out;
    }
    throw invalid_member("kind");
}

exchange_request read_request(const json::value& from) {
    exchange_request out;
    reader in(from);
    in("cursor", out.cursor);
    const auto* commands = from.as_object().if_contains("commands");
    if (commands == nullptr || !commands->is_array())
        throw invalid_member("commands");
    for (const auto& item : commands->as_array())
        out.commands.push_back(read_command(item));
    return out;
}

// Parses a JSON text and decodes it with `decoder`; every failure becomes a codec_error.
template <class Result, class Decoder>
std::variant<Result, codec_error> decode(std::string_view text, Decoder decoder) {
    json::error_code error;
    const auto value = json::parse(json::string_view(text.data(), text.size()), error);
    if (error)
        return codec_error{"invalid JSON: " + error.message()};
    try {
        return decoder(value);
    } catch (const invalid_member& fault) {
        return codec_error{fault.what()};
    }
}

} // namespace

std::string encode(const exchange_request& message) {
    json::array commands;
    for (const auto& item : message.commands)
        commands.push_back(write_command(item));
    return json::serialize(
        json::object{{"cursor", message.cursor}, {"commands", std::move(commands)}});
}

std::string encode(const exchange_reply& message) {
    auto copy = message;
    return json::serialize(writer::to_object(copy));
}

std::variant<exchange_request, codec_error> decode_request(std::string_view text) {
    return decode<exchange_request>(text, read_request);
}

std::variant<exchange_reply, codec_error> decode_reply(std::string_view text) {
    return decode<exchange_reply>(text, [](const json::value& from) {
        exchange_reply out;
        reader::read(from, out);
        return out;
    });
}

} // namespace clementine::platform_client
