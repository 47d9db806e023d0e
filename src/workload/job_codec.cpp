// Binary encoding of commands and of the saved job table.
#include "consensus/codec.h"
#include "workload/job_table.h"

#include <algorithm>
#include <bit>
#include <iterator>
#include <utility>

namespace clementine::workload {

namespace {

using writer = consensus::byte_writer;
using reader = consensus::byte_reader;

// First byte of a saved table; incremented with each incompatible change.
constexpr std::uint8_t table_format = 1;
// A table with an unfinished operation, which older versions cannot read.
constexpr std::uint8_t table_format_unfinished = 2;
// As above, with cancels of jobs that are not submitted.
constexpr std::uint8_t table_format_early_cancels = 3;
// As above, with workspaces.
constexpr std::uint8_t table_format_workspaces = 4;

// Types of operations that have more fields than an earlier build writes. All other types are the
// index in `operation`. They are written only if the fields are used, so that an earlier build can
// read the log of a deployment without workspaces.
constexpr std::uint8_t type_configuration_with_workspaces = 10;
constexpr std::uint8_t type_submission_with_workspace = 11;
constexpr std::uint8_t type_cancel_with_workspace = 12;

// Type, offset, last flag and length of an operation part.
constexpr std::size_t part_header_bytes = 1 + 8 + 1 + 4;

template <class Items, class Write>
void write_list(writer& out, const Items& items, Write write) {
    out.u32(static_cast<std::uint32_t>(items.size()));
    for (const auto& item : items)
        write(item);
}

template <class Read>
void read_list(reader& in, Read read) {
    const auto count = in.u32();
    for (std::uint32_t i = 0; i < count && in.good(); ++i)
        read();
}

void put(writer& out, time_ms value) {
    out.u64(static_cast<std::uint64_t>(value));
}

time_ms read_i64(reader& in) {
    return static_cast<time_ms>(in.u64());
}

void put(writer& out, const resources& value) {
    put(out, value.cpu);
    put(out, value.memory);
    put(out, value.accelerators);
}

resources read_resources(reader& in) {
    resources out;
    out.cpu = read_i64(in);
    out.memory = read_i64(in);
    out.accelerators = read_i64(in);
    return out;
}

void put(writer& out, const step_spec& value) {
    out.u32(value.count);
    put(out, value.need);
    put(out, value.estimate);
    write_list(out, value.depends_on, [&](std::uint32_t step) { out.u32(step); });
    const std::uint32_t flags = (value.checkpointing ? 1U : 0U) | (value.gang ? 2U : 0U) |
                                (value.colocate ? 4U : 0U) | (value.speculative ? 8U : 0U) |
                                (value.long_running ? 16U : 0U) | (value.best_effort ? 32U : 0U);
    out.u32(flags);
    out.text(value.required_label);
    out.text(value.data_rack);
    out.u32(value.max_per_worker);
    out.text(value.image);
    put(out, value.target_tail_latency);
    out.u32(value.max_unavailable);
}

step_spec read_step(reader& in) {
    step_spec out;
    out.count = in.u32();
    out.need = read_resources(in);
    out.estimate = read_i64(in);
    read_list(in, [&] { out.depends_on.push_back(in.u32()); });
    const auto flags = in.u32();
    out.checkpointing = (flags & 1U) != 0;
    out.gang = (flags & 2U) != 0;
    out.colocate = (flags & 4U) != 0;
    out.speculative = (flags & 8U) != 0;
    out.long_running = (flags & 16U) != 0;
    out.best_effort = (flags & 32U) != 0;
    out.required_label = in.text();
    out.data_rack = in.text();
    out.max_per_worker = in.u32();
    out.image = in.text();
    out.target_tail_latency = read_i64(in);
    out.max_unavailable = in.u32();
    return out;
}

void put(writer& out, const job_spec& value) {
    out.text(value.payload);
    write_list(out, value.steps, [&](const step_spec& step) { put(out, step); });
    out.u32(value.times);
    put(out, value.start_at);
    put(out, value.interval);
}

job_spec read_spec(reader& in) {
    job_spec out;
    out.payload = in.text();
    read_list(in, [&] { out.steps.push_back(read_step(in)); });
    out.times = in.u32();
    out.start_at = read_i64(in);
    out.interval = read_i64(in);
    return out;
}

// Ratios are stored in millionths.
constexpr double ratio_scale = 1e6;

void put(writer& out, const configuration& value) {
    out.u64(value.version);
    write_list(out, value.queues, [&](const queue_config& queue) {
        out.text(queue.name);
        out.text(queue.host);
        out.text(queue.prefix);
        out.text(queue.pool);
        put(out, queue.timeout);
        put(out, queue.target_latency);
        put(out, queue.priority);
        out.u32(queue.attempts);
        out.u64(static_cast<std::uint64_t>(queue.stretch * ratio_scale));
        out.u8(queue.needs_placement_advice ? 1 : 0);
        put(out, queue.advice_call_time);
        put(out, queue.advice_time_per_worker);
    });
    write_list(out, value.pools, [&](const pool_config& pool) {
        out.text(pool.name);
        out.u8((pool.rejects_overload ? 1 : 0) | (pool.standby ? 2 : 0));
    });
    out.text(value.document);
}

configuration read_configuration_value(reader& in) {
    configuration out;
    out.version = in.u64();
    read_list(in, [&] {
        queue_config queue;
        queue.name = in.text();
        queue.host = in.text();
        queue.prefix = in.text();
        queue.pool = in.text();
        queue.timeout = read_i64(in);
        queue.target_latency = read_i64(in);
        queue.priority = read_i64(in);
        queue.attempts = in.u32();
        queue.stretch = static_cast<double>(in.u64()) / ratio_scale;
        queue.needs_placement_advice = in.u8() != 0;
        queue.advice_call_time = read_i64(in);
        queue.advice_time_per_worker = read_i64(in);
        out.queues.push_back(std::move(queue));
    });
    read_list(in, [&] {
        pool_config pool;
        pool.name = in.text();
        const auto flags = in.u8();
        pool.rejects_overload = (flags & 1U) != 0;
        pool.standby = (flags & 2U) != 0;
        out.pools.push_back(std::move(pool));
    });
    out.document = in.text();
    return out;
}

bool has_workspaces(const configuration& value) {
    return value.requires_keys || !value.workspaces.empty();
}

// The fields of a configuration that an earlier build does not know.
void put_workspaces(writer& out, const configuration& value) {
    out.u8(value.requires_keys ? 1 : 0);
    write_list(out, value.queues,
               [&](const queue_config& queue) { out.u8(queue.is_public ? 1 : 0); });
    write_list(out, value.workspaces, [&](const workspace_config& item) {
        out.text(item.name);
        write_list(out, item.keys, [&](const key_digest& key) {
            out.text({reinterpret_cast<const char*>(key.data()), key.size()});
        });
        // Exact: rounding makes a small weight 0, and again at each save.
        out.u64(std::bit_cast<std::uint64_t>(item.weight));
        put(out, item.cap);
    });
}

// Returns false if the fields do not fit the rest of the configuration.
bool read_workspaces(reader& in, configuration& value) {
    value.requires_keys = in.u8() != 0;
    std::size_t queues = 0;
    bool fits = true;
    read_list(in, [&] {
        const bool is_public = in.u8() != 0;
        if (queues < value.queues.size())
            value.queues[queues].is_public = is_public;
        ++queues;
    });
    read_list(in, [&] {
        workspace_config item;
        item.name = in.text();
        read_list(in, [&] {
            const auto bytes = in.text();
            auto& key = item.keys.emplace_back();
            fits = fits && bytes.size() == key.size();
            std::copy_n(bytes.begin(), std::min(bytes.size(), key.size()), key.begin());
        });
        item.weight = std::bit_cast<double>(in.u64());
        item.cap = read_resources(in);
        value.workspaces.push_back(std::move(item));
    });
    return fits && queues == value.queues.size();
}

void put(writer& out, const worker_ref& value) {
    out.text(value.id);
    put(out, value.started_at);
}

worker_ref read_worker(reader& in) {
    worker_ref out;
    out.id = in.text();
    out.started_at = read_i64(in);
    return out;
}

void put(writer& out, const task_id& value) {
    out.text(value.job);
    out.u32(value.occurrence);
    out.u32(value.step);
    out.u32(value.index);
}

task_id read_task_id(reader& in) {
    task_id out;
    out.job = in.text();
    out.occurrence = in.u32();
    out.step = in.u32();
    out.index = in.u32();
    return out;
}

void put(writer& out, const wave_order& value) {
    out.u64(value.number);
    write_list(out, value.vms, [&](const std::string& vm) { out.text(vm); });
    put(out, value.duration);
    out.u32(value.max_down);
}

wave_order read_wave_order(reader& in) {
    wave_order out;
    out.number = in.u64();
    read_list(in, [&] { out.vms.push_back(in.text()); });
    out.duration = read_i64(in);
    out.max_down = in.u32();
    return out;
}

void put(writer& out, const put_configuration& op) {
    put(out, op.value);
}
void put(writer& out, const submit_job& op) {
    out.text(op.id);
    out.text(op.queue);
    out.text(op.pool);
    out.u32(op.attempts);
    put(out, op.spec);
}
void put(writer& out, const cancel_job& op) {
    out.text(op.id);
}
void put(writer& out, const start_run& op) {
    put(out, op.task);
    out.u32(op.run);
    put(out, op.worker);
    out.text(op.address);
}
void put(writer& out, const end_run& op) {
    put(out, op.task);
    out.u32(op.run);
    out.u8(static_cast<std::uint8_t>(op.how));
    out.text(op.checkpoint);
}
void put(writer& out, const lose_run& op) {
    put(out, op.task);
    out.u32(op.run);
    out.text(op.checkpoint);
}
void put(writer& out, const put_wave& op) {
    put(out, op.order);
}
void put(writer& out, const mark_upkeep& op) {
    out.u64(op.wave);
    out.text(op.vm);
    out.u8(static_cast<std::uint8_t>(op.phase));
}
void put(writer& out, const announce_vm_order& op) {
    out.text(op.vm);
    out.text(op.node);
}

void put(writer& out, const operation_part& op) {
    out.u64(op.offset);
    out.u8(op.last ? 1 : 0);
    out.text(op.bytes);
}

submit_job read_submission(reader& in) {
    submit_job op;
    op.id = in.text();
    op.queue = in.text();
    op.pool = in.text();
    op.attempts = in.u32();
    op.spec = read_spec(in);
    return op;
}

std::uint8_t type_of(const operation& value) {
    if (const auto* op = std::get_if<put_configuration>(&value); op && has_workspaces(op->value))
        return type_configuration_with_workspaces;
    if (const auto* op = std::get_if<submit_job>(&value); op && !op->workspace.empty())
        return type_submission_with_workspace;
    if (const auto* op = std::get_if<cancel_job>(&value); op && !op->workspace.empty())
        return type_cancel_with_workspace;
    return static_cast<std::uint8_t>(value.index());
}

operation read_operation(reader& in, bool& known) {
    switch (in.u8()) {
    case 0:
        return put_configuration{read_configuration_value(in)};
    case 1:
        return read_submission(in);
    case 2:
        return cancel_job{in.text()};
    case 3: {
        start_run op;
        op.task = read_task_id(in);
        op.run = in.u32();
        op.worker = read_worker(in);
        op.address = in.text();
        return op;
    }
    case 4: {
        end_run op;
        op.task = read_task_id(in);
        op.run = in.u32();
        op.how = static_cast<run_end>(in.u8());
        op.checkpoint = in.text();
        return op;
    }
    case 5: {
        lose_run op;
        op.task = read_task_id(in);
        op.run = in.u32();
        op.checkpoint = in.text();
        return op;
    }
    case 6:
        return put_wave{read_wave_order(in)};
    case 7: {
        mark_upkeep op;
        op.wave = in.u64();
        op.vm = in.text();
        op.phase = static_cast<upkeep_phase>(in.u8());
        return op;
    }
    case 8: {
        announce_vm_order op;
        op.vm = in.text();
        op.node = in.text();
        return op;
    }
    case 9: {
        operation_part op;
        op.offset = in.u64();
        op.last = in.u8() != 0;
        op.bytes = in.text();
        return op;
    }
    case type_configuration_with_workspaces: {
        put_configuration op{read_configuration_value(in)};
        known = read_workspaces(in, op.value) && known;
        return op;
    }
    case type_submission_with_workspace: {
        auto op = read_submission(in);
        op.workspace = in.text();
        op.key_tag = in.u64();
        return op;
    }
    case type_cancel_with_workspace: {
        cancel_job op{in.text()};
        op.workspace = in.text();
        return op;
    }
    default:
        known = false;
        return cancel_job{};
    }
}

void put(writer& out, const task& item) {
    out.u8(static_cast<std::uint8_t>(item.phase));
    out.u32(item.run);
    out.u32(item.failures);
    put(out, item.worker);
    out.text(item.address);
    out.u64(item.fence);
    out.text(item.checkpoint);
}

task read_task(reader& in) {
    task out;
    out.phase = static_cast<task_phase>(in.u8());
    out.run = in.u32();
    out.failures = in.u32();
    out.worker = read_worker(in);
    out.address = in.text();
    out.fence = in.u64();
    out.checkpoint = in.text();
    return out;
}

void put(writer& out, const job& item) {
    out.text(item.id);
    out.text(item.queue);
    out.text(item.pool);
    put(out, item.spec);
    out.u32(item.attempts);
    out.u8(static_cast<std::uint8_t>(item.state));
    put(out, item.accepted_at);
    put(out, item.started_at);
    put(out, item.ended_at);
    write_list(out, item.occurrences, [&](const occurrence& in) {
        write_list(out, in.steps, [&](const step_progress& step) {
            write_list(out, step.tasks, [&](const task& one) { put(out, one); });
        });
    });
}

// Derives the progress counts from the tasks.
void recount(job& item) {
    for (auto& in : item.occurrences) {
        for (auto& step : in.steps) {
            for (const auto& one : step.tasks) {
                step.waiting += one.phase == task_phase::waiting ? 1 : 0;
                step.done += one.phase == task_phase::done ? 1 : 0;
            }
            in.steps_done += step.done == step.tasks.size() ? 1 : 0;
        }
        item.occurrences_done += in.done() ? 1 : 0;
    }
}

job read_job(reader& in) {
    job out;
    out.id = in.text();
    out.queue = in.text();
    out.pool = in.text();
    out.spec = read_spec(in);
    out.attempts = in.u32();
    out.state = static_cast<job_state>(in.u8());
    out.accepted_at = read_i64(in);
    out.started_at = read_i64(in);
    out.ended_at = read_i64(in);
    read_list(in, [&] {
        occurrence item;
        read_list(in, [&] {
            step_progress step;
            read_list(in, [&] { step.tasks.push_back(read_task(in)); });
            item.steps.push_back(std::move(step));
        });
        out.occurrences.push_back(std::move(item));
    });
    recount(out);
    return out;
}

} // namespace

std::string encode_operation(const operation& value) {
    writer out;
    const auto type = type_of(value);
    out.u8(type);
    std::visit([&](const auto& op) { put(out, op); }, value);
    if (type == type_configuration_with_workspaces)
        put_workspaces(out, std::get<put_configuration>(value).value);
    if (type == type_submission_with_workspace) {
        out.text(std::get<submit_job>(value).workspace);
        out.u64(std::get<submit_job>(value).key_tag);
    }
    if (type == type_cancel_with_workspace)
        out.text(std::get<cancel_job>(value).workspace);
    return out.take();
}

std::string encode_command(time_ms proposed_at, const std::vector<std::string_view>& operations) {
    writer out;
    put(out, proposed_at);
    out.u32(static_cast<std::uint32_t>(operations.size()));
    auto bytes = out.take();
    for (const auto& item : operations)
        bytes += item;
    return bytes;
}

std::string encode(const command& value) {
    std::vector<std::string> encoded;
    std::ranges::transform(value.operations, std::back_inserter(encoded), encode_operation);
    return encode_command(value.proposed_at, {encoded.begin(), encoded.end()});
}

std::optional<command> decode_command(std::string_view bytes) {
    reader in(bytes);
    command out;
    bool known = true;
    out.proposed_at = read_i64(in);
    read_list(in, [&] { out.operations.push_back(read_operation(in, known)); });
    if (!known || !in.finished())
        return std::nullopt;
    return out;
}

std::vector<std::string> split_operation(std::string encoded, std::size_t max_bytes) {
    std::vector<std::string> out;
    if (encoded.size() <= max_bytes) {
        out.push_back(std::move(encoded));
        return out;
    }
    const auto part_bytes = max_bytes - part_header_bytes;
    for (std::size_t offset = 0; offset < encoded.size(); offset += part_bytes) {
        const bool last = encoded.size() - offset <= part_bytes;
        out.push_back(encode_operation(operation_part{
            .offset = offset, .last = last, .bytes = encoded.substr(offset, part_bytes)}));
    }
    return out;
}

std::optional<command> job_table::read_entry(std::string_view bytes, std::uint64_t term) {
    if (unfinished_.term != term)
        unfinished_ = {.term = term, .bytes = {}};
    auto out = decode_command(bytes);
    if (!out)
        return out;
    for (auto& item : out->operations) {
        const auto* part = std::get_if<operation_part>(&item);
        if (!part)
            continue;
        if (part->offset == 0)
            unfinished_.bytes.clear();
        if (part->offset != unfinished_.bytes.size())
            continue;
        unfinished_.bytes += part->bytes;
        if (!part->last)
            continue;
        const auto whole = std::exchange(unfinished_.bytes, {});
        reader in(whole);
        bool known = true;
        auto complete = read_operation(in, known);
        if (known && in.finished())
            item = std::move(complete);
    }
    return out;
}

std::string job_table::save() const {
    writer out;
    std::vector<const job*> owned;
    for (const auto& [id, item] : jobs_) {
        if (!item.workspace.empty())
            owned.push_back(&item);
    }
    const bool has_owners =
        !owned.empty() || std::ranges::any_of(early_cancels_, [](const early_cancel& item) {
            return !item.second.empty();
        });
    const auto format = has_workspaces(config_) || has_owners ? table_format_workspaces
                        : !early_cancels_.empty()             ? table_format_early_cancels
                        : !unfinished_.bytes.empty()          ? table_format_unfinished
                                                              : table_format;
    out.u8(format);
    put(out, now_);
    put(out, config_);
    write_list(out, holders_, [&](const auto& item) {
        out.text(item.first);
        out.text(item.second.node);
        put(out, item.second.announced_at);
    });
    write_list(out, jobs_, [&](const auto& item) { put(out, item.second); });
    write_list(out, open_, [&](const auto& item) { out.text(item.first); });
    write_list(out, ended_, [&](const auto& item) {
        put(out, item.first);
        write_list(out, item.second, [&](const std::string& id) { out.text(id); });
    });
    write_list(out, waves_, [&](const auto& item) {
        put(out, item.second.order);
        put(out, item.second.accepted_at);
        write_list(out, item.second.vms, [&](const auto& vm) {
            out.text(vm.first);
            out.u8(static_cast<std::uint8_t>(vm.second));
        });
    });
    if (format >= table_format_early_cancels)
        write_list(out, early_cancel_times_, [&](const auto& item) {
            put(out, item.first);
            out.text(item.second.first);
        });
    if (format != table_format) {
        out.u64(unfinished_.term);
        out.text(unfinished_.bytes);
    }
    if (format == table_format_workspaces) {
        put_workspaces(out, config_);
        write_list(out, owned, [&](const job* item) {
            out.text(item->id);
            out.text(item->workspace);
            out.u64(item->key_tag);
        });
        write_list(out, early_cancel_times_,
                   [&](const auto& item) { out.text(item.second.second); });
    }
    return out.take();
}

bool job_table::load(std::string_view bytes) {
    job_table loaded;
    if (!bytes.empty()) {
        reader in(bytes);
        const auto format = in.u8();
        if (format < table_format || format > table_format_workspaces)
            return false;
        loaded.now_ = read_i64(in);
        loaded.config_ = read_configuration_value(in);
        loaded.config_.rebuild_index();
        read_list(in, [&] {
            auto& holder = loaded.holders_[in.text()];
            holder.node = in.text();
            holder.announced_at = read_i64(in);
        });
        read_list(in, [&] {
            auto item = read_job(in);
            auto id = item.id;
            loaded.jobs_.emplace(std::move(id), std::move(item));
        });
        read_list(in, [&] {
            auto id = in.text();
            const auto it = loaded.jobs_.find(id);
            if (it != loaded.jobs_.end())
                loaded.open_.emplace(std::move(id), &it->second);
        });
        read_list(in, [&] {
            auto& ids = loaded.ended_[read_i64(in)];
            read_list(in, [&] { ids.push_back(in.text()); });
        });
        read_list(in, [&] {
            wave item;
            item.order = read_wave_order(in);
            item.accepted_at = read_i64(in);
            read_list(in, [&] {
                auto vm = in.text();
                item.vms[std::move(vm)] = static_cast<upkeep_phase>(in.u8());
            });
            const auto number = item.order.number;
            loaded.waves_.emplace(number, std::move(item));
        });
        std::vector<std::pair<time_ms, std::string>> cancels;
        if (format >= table_format_early_cancels)
            read_list(in, [&] {
                const auto at = read_i64(in);
                cancels.emplace_back(at, in.text());
            });
        std::vector<std::string> cancel_workspaces(cancels.size());
        if (format != table_format) {
            loaded.unfinished_.term = in.u64();
            loaded.unfinished_.bytes = in.text();
        }
        if (format == table_format_workspaces) {
            if (!read_workspaces(in, loaded.config_))
                return false;
            read_list(in, [&] {
                const auto it = loaded.jobs_.find(in.text());
                auto workspace = in.text();
                const auto key_tag = in.u64();
                if (it == loaded.jobs_.end())
                    return;
                it->second.workspace = std::move(workspace);
                it->second.key_tag = key_tag;
            });
            cancel_workspaces.clear();
            read_list(in, [&] { cancel_workspaces.push_back(in.text()); });
        }
        if (cancel_workspaces.size() != cancels.size())
            return false;
        for (std::size_t i = 0; i < cancels.size(); ++i)
            loaded.add_early_cancel(cancels[i].first, std::move(cancels[i].second),
                                    std::move(cancel_workspaces[i]));
        if (!in.finished())
            return false;
    }
    loaded.rebuild_index();
    *this = std::move(loaded);
    return true;
}

} // namespace clementine::workload
