// Binary encoding of orders to workers and of their results, for control nodes that exchange with
// workers on behalf of the leader.
#pragma once

#include "workload/fleet_protocol.h"
#include "workload/orders.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace clementine::workload {

// An order to a worker: a start, stop, hold or pace order.
struct relayed_order {
    std::uint64_t id = 0; // unique per sending process
    order value;
};

struct relayed_result {
    std::uint64_t id = 0; // of the order
    order_answer answer = order_answer::invalid;
    worker_lists lists;         // for a hold
    std::int64_t next_life = 0; // see order_result
};

// True if an order is one that a relay can carry out.
bool is_worker_order(const order& value);

// Appends the encoded form to `out`. Only worker orders are allowed.
void append_encoded(std::string& out, const relayed_order& value);
void append_encoded(std::string& out, const relayed_result& value);
// Decode a sequence of encoded values; nullopt if the bytes are malformed.
std::optional<std::vector<relayed_order>> decode_relayed_orders(std::string_view bytes);
std::optional<std::vector<relayed_result>> decode_relayed_results(std::string_view bytes);

} // namespace clementine::workload
