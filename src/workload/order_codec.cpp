#include "workload/order_codec.h"

#include "base/invariant.h"
#include "consensus/codec.h"

#include <type_traits>
#include <utility>

namespace clementine::workload {

namespace {

using writer = consensus::byte_writer;
using reader = consensus::byte_reader;

enum class order_kind : std::uint8_t { start, stop, hold, pace };

void put(writer& out, const task_id& value) {
    out.text(value.job);
    out.u32(value.occurrence);
    out.u32(value.step);
    out.u32(value.index);
}

task_id read_task(reader& in) {
    task_id out;
    out.job = in.text();
    out.occurrence = in.u32();
    out.step = in.u32();
    out.index = in.u32();
    return out;
}

// Fields that all worker orders have.
template <class Order>
void put_common(writer& out, order_kind kind, const Order& value) {
    out.u8(static_cast<std::uint8_t>(kind));
    out.text(value.worker.id);
    out.u64(static_cast<std::uint64_t>(value.worker.started_at));
    out.text(value.address);
    out.u64(value.fence);
}

template <class Order>
Order read_common(reader& in) {
    Order out;
    out.worker.id = in.text();
    out.worker.started_at = static_cast<std::int64_t>(in.u64());
    out.address = in.text();
    out.fence = in.u64();
    return out;
}

void put(writer& out, const start_order& value) {
    put_common(out, order_kind::start, value);
    put(out, value.task);
    out.u32(value.run);
    out.text(value.payload);
    out.u64(static_cast<std::uint64_t>(value.lease_until));
    out.text(value.checkpoint);
    out.text(value.ticket);
}

void put(writer& out, const stop_order& value) {
    put_common(out, order_kind::stop, value);
    put(out, value.task);
    out.u32(value.run);
}

void put(writer& out, const hold_order& value) {
    put_common(out, order_kind::hold, value);
    out.u64(value.last_seen);
    out.u8(value.lease_until ? 1 : 0);
    out.u64(static_cast<std::uint64_t>(value.lease_until.value_or(0)));
    out.u64(static_cast<std::uint64_t>(value.wait));
}

void put(writer& out, const pace_order& value) {
    put_common(out, order_kind::pace, value);
    put(out, value.task);
    out.u32(value.run);
    out.u32(static_cast<std::uint32_t>(value.percent));
}

template <class Other>
void put(writer&, const Other&) {
    CLEMENTINE_INVARIANT(false, "only_worker_orders_are_relayed");
}

std::optional<order> read_order(reader& in) {
    switch (static_cast<order_kind>(in.u8())) {
    case order_kind::start: {
        auto out = read_common<start_order>(in);
        out.task = read_task(in);
        out.run = in.u32();
        out.payload = in.text();
        out.lease_until = static_cast<time_ms>(in.u64());
        out.checkpoint = in.text();
        out.ticket = in.text();
        return out;
    }
    case order_kind::stop: {
        auto out = read_common<stop_order>(in);
        out.task = read_task(in);
        out.run = in.u32();
        return out;
    }
    case order_kind::hold: {
        auto out = read_common<hold_order>(in);
        out.last_seen = in.u64();
        const bool extends_lease = in.u8() != 0;
        const auto until = static_cast<time_ms>(in.u64());
        if (extends_lease)
            out.lease_until = until;
        out.wait = static_cast<time_ms>(in.u64());
        return out;
    }
    case order_kind::pace: {
        auto out = read_common<pace_order>(in);
        out.task = read_task(in);
        out.run = in.u32();
        out.percent = static_cast<int>(in.u32());
        return out;
    }
    }
    return std::nullopt;
}

void put(writer& out, const worker_lists& value) {
    out.u64(static_cast<std::uint64_t>(value.clock));
    out.u32(static_cast<std::uint32_t>(value.running.size()));
    for (const auto& item : value.running) {
        put(out, item.task);
        out.u32(item.run);
        out.text(item.checkpoint);
        out.u32(static_cast<std::uint32_t>(item.percent));
        out.u64(static_cast<std::uint64_t>(item.load));
    }
    out.u32(static_cast<std::uint32_t>(value.ended.size()));
    for (const auto& item : value.ended) {
        out.u64(item.number);
        put(out, item.task);
        out.u32(item.run);
        out.u8(static_cast<std::uint8_t>(item.how));
        out.text(item.checkpoint);
    }
}

// False if a value is outside its enumeration.
bool read_lists(reader& in, worker_lists& out) {
    out.clock = static_cast<time_ms>(in.u64());
    for (auto count = in.u32(); count > 0 && in.good(); --count) {
        auto& item = out.running.emplace_back();
        item.task = read_task(in);
        item.run = in.u32();
        item.checkpoint = in.text();
        item.percent = static_cast<int>(in.u32());
        item.load = static_cast<std::int64_t>(in.u64());
    }
    for (auto count = in.u32(); count > 0 && in.good(); --count) {
        auto& item = out.ended.emplace_back();
        item.number = in.u64();
        item.task = read_task(in);
        item.run = in.u32();
        const auto how = in.u8();
        if (how >= run_end_names.size())
            return false;
        item.how = static_cast<run_end>(how);
        item.checkpoint = in.text();
    }
    return in.good();
}

} // namespace

bool is_worker_order(const order& value) {
    return std::holds_alternative<start_order>(value) ||
           std::holds_alternative<stop_order>(value) || std::holds_alternative<hold_order>(value) ||
           std::holds_alternative<pace_order>(value);
}

void append_encoded(std::string& out, const relayed_order& value) {
    writer bytes;
    bytes.u64(value.id);
    std::visit([&](const auto& item) { put(bytes, item); }, value.value);
    out += bytes.take();
}

void append_encoded(std::string& out, const relayed_result& value) {
    writer bytes;
    bytes.u64(value.id);
    bytes.u8(static_cast<std::uint8_t>(value.answer));
    if (value.answer == order_answer::other_life) {
        // Another life's clock has no use. Its place in the format, which nodes of earlier builds
        // skip, holds the start time.
        worker_lists lists;
        lists.clock = value.next_life;
        put(bytes, lists);
    } else
        put(bytes, value.lists);
    out += bytes.take();
}

std::optional<std::vector<relayed_order>> decode_relayed_orders(std::string_view bytes) {
    reader in(bytes);
    std::vector<relayed_order> out;
    while (!in.finished()) {
        const auto id = in.u64();
        auto value = read_order(in);
        if (!value || !in.good())
            return std::nullopt;
        out.push_back({id, std::move(*value)});
    }
    return out;
}

std::optional<std::vector<relayed_result>> decode_relayed_results(std::string_view bytes) {
    reader in(bytes);
    std::vector<relayed_result> out;
    while (!in.finished()) {
        relayed_result item;
        item.id = in.u64();
        const auto answer = in.u8();
        if (answer >= order_answer_names.size() || !read_lists(in, item.lists))
            return std::nullopt;
        item.answer = static_cast<order_answer>(answer);
        if (item.answer == order_answer::other_life)
            item.next_life = std::exchange(item.lists, {}).clock;
        out.push_back(std::move(item));
    }
    return out;
}

} // namespace clementine::workload
