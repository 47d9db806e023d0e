#include "control/order_relays.h"

#include "base/hash.h"
#include "base/log.h"

#include <algorithm>
#include <utility>

namespace clementine::control {

using namespace clementine::workload;

namespace {

// A relay resolves an order within the time that the worker has, including its own delays. A link
// that is silent is closed before.
constexpr time_ms result_timeout{8'000};
// Payload of one batch: it must not hold up the heartbeats of the replicated log on the same link.
constexpr std::size_t max_batch_bytes = 64U << 10;
// Workers that are gone stay in the table of assignments until it is filled.
constexpr std::size_t max_assignments = 1U << 16;
// The leader's lease lasts 600 ms, and a successor that is elected needs some 100 ms to act.
constexpr time_ms max_batch_delay{700};

} // namespace

void order_relays::observe_offer(const std::string& node, bool offers) {
    const bool changed = offers ? relays_.insert(node).second : relays_.erase(node) > 0;
    if (!changed)
        return;
    log_event(log_level::info, offers ? "relay_added" : "relay_withdrawn").field("node", node);
    assignments_.clear();
}

void order_relays::observe_closed(const std::string& node, time_ms now) {
    if (relays_.erase(node) > 0)
        assignments_.clear();
    const auto unsent = unsent_.extract(node);
    if (!unsent.empty())
        resolve(unsent.mapped(), false, now);
    std::vector<std::uint64_t> sent;
    for (const auto& [id, item] : outstanding_) {
        if (item.relay == node)
            sent.push_back(id);
    }
    if (sent.empty())
        return;
    log_event(log_level::warning, "relay_lost")
        .field("node", node)
        .field("outstanding", std::uint64_t{sent.size()});
    resolve(sent, true, now);
}

// Ends orders without a result.
void order_relays::resolve(const std::vector<std::uint64_t>& ids, bool delivered, time_ms now) {
    for (const auto id : ids) {
        const auto item = outstanding_.extract(id);
        if (item.empty())
            continue;
        order_result result;
        const bool hold = std::holds_alternative<hold_order>(item.mapped().value);
        result.answer = delivered && !hold ? order_answer::no_answer : order_answer::undelivered;
        handlers_.done(item.mapped().value, result, item.mapped().sent_at, now);
    }
}

void order_relays::observe(const std::string& node, const wire::result_batch& value, time_ms now) {
    const auto results = decode_relayed_results(value.results);
    if (!results) {
        log_event(log_level::error, "results_unreadable").field("relay", node);
        return;
    }
    for (const auto& item : *results) {
        const auto found = outstanding_.extract(item.id);
        if (found.empty())
            continue; // resolved before
        order_result result;
        result.answer = item.answer;
        result.next_life = item.next_life;
        result.lists = item.lists;
        handlers_.done(found.mapped().value, result, found.mapped().sent_at, now);
    }
}

const std::string& order_relays::relay_of(const std::string& worker) {
    if (assignments_.size() > max_assignments)
        assignments_.clear();
    auto& out = assignments_[worker];
    if (!out.empty() || relays_.empty())
        return out;
    // Highest hash of node and worker: the loss of a relay moves only its own workers.
    std::uint64_t best = 0;
    for (const auto& node : relays_) {
        const auto weight = hash64(worker, hash64(node));
        if (out.empty() || weight > best) {
            best = weight;
            out = node;
        }
    }
    return out;
}

void order_relays::add(const order& value, const std::string& worker, time_ms now) {
    const auto& relay = relay_of(worker);
    const auto id = ++last_id_;
    outstanding_.emplace(id, outstanding_order{relay, value, now, now + result_timeout});
    unsent_[relay].push_back(id);
}

void order_relays::flush(std::uint64_t term, time_ms now) {
    for (const auto& [relay, ids] : std::exchange(unsent_, {})) {
        wire::order_batch batch{.term = term, .sent_at = now, .orders = {}};
        std::vector<std::uint64_t> in_batch;
        const auto send_batch = [&, &relay = relay] {
            if (!in_batch.empty() && !handlers_.send(relay, batch))
                resolve(in_batch, false, now);
            batch.orders.clear();
            in_batch.clear();
        };
        for (const auto id : ids) {
            const auto it = outstanding_.find(id);
            if (it == outstanding_.end())
                continue;
            append_encoded(batch.orders, relayed_order{id, it->second.value});
            in_batch.push_back(id);
            if (batch.orders.size() >= max_batch_bytes)
                send_batch();
        }
        send_batch();
    }
}

void order_relays::check_deadlines(time_ms now) {
    // Ids rise with the time of sending.
    std::vector<std::uint64_t> overdue;
    for (const auto& [id, item] : outstanding_) {
        if (item.deadline > now)
            break;
        overdue.push_back(id);
    }
    resolve(overdue, true, now);
}

void order_relays::clear() {
    outstanding_.clear();
    unsent_.clear();
}

bool batch_age::is_recent(time_ms sent_at, time_ms now) {
    const auto offset = now - sent_at;
    least_offset_ = std::exchange(known_, true) ? std::min(least_offset_, offset) : offset;
    return offset - least_offset_ <= max_batch_delay;
}

} // namespace clementine::control
