#include "control/worker_exchange.h"

#include "base/log.h"
#include "control/endpoint.h"

#include <utility>

namespace clementine::control {

using namespace clementine::workload;

namespace {

// Workers answer within a few ms; an unanswered order is sent again after this time.
constexpr time_ms order_timeout{400};
// A hold must be answered within its own wait time plus this margin.
constexpr time_ms hold_timeout_margin{600};
// One for the hold, the others for parallel orders, so that an unanswered one does not block them.
constexpr std::size_t max_connections_per_worker = 5;
// Connections beyond one that were opened for a burst of starts are closed after this time.
constexpr time_ms burst_connection_expiry{2'000};
// A worker in use is sent a hold at least every 2 s.
constexpr time_ms worker_expiry{4'000};
// A search for idle connections visits all workers, so it is not repeated at once in vain.
constexpr time_ms room_search_interval{20};

const std::string& address_of(const order& value) {
    static const std::string none;
    return std::visit(
        [](const auto& item) -> const std::string& {
            if constexpr (requires { item.address; })
                return item.address;
            else
                return none;
        },
        value);
}

} // namespace

order_answer answer_for(call_failure failure) {
    switch (failure) {
    case call_failure::not_sent:
        return order_answer::not_sent;
    case call_failure::refused:
        return order_answer::refused;
    case call_failure::timeout:
    case call_failure::connection_lost:
    case call_failure::stopped:
        break;
    }
    return order_answer::no_answer;
}

worker_exchange::worker_exchange(boost::asio::io_context& loop, const clock_source& clock,
                                 const fleet_protocol& protocol, std::string node,
                                 std::size_t max_connections)
    : loop_(loop), clock_(clock), protocol_(protocol), node_(std::move(node)),
      limit_(std::make_shared<connection_limit>(max_connections,
                                                [this] { return close_least_used(); })) {}

void worker_exchange::send(order value, std::function<bool()> may_send, done_handler done) {
    const auto encoded = protocol_.encode_order(value, node_, {});
    const auto* hold = std::get_if<hold_order>(&value);
    const auto limit = hold ? hold->wait + hold_timeout_margin : order_timeout;
    http_call call{encoded.method, encoded.target, encoded.headers, encoded.body};
    call.kind = hold ? urgency::lease : urgency::start;
    auto permitted = std::make_shared<bool>(true);
    if (may_send)
        call.may_send = [permitted, may_send = std::move(may_send)] {
            return *permitted = may_send();
        };
    auto& pool = pool_of(address_of(value));
    pool.request(std::move(call), limit,
                 [this, value = std::move(value), permitted,
                  done = std::move(done)](const http_result& exchange) {
                     if (stopped_)
                         return;
                     order_result result;
                     if (!*permitted)
                         result.answer = order_answer::undelivered;
                     else if (!exchange.failure)
                         result = protocol_.decode_answer(value, exchange.status, exchange.body);
                     else
                         result.answer = answer_for(*exchange.failure);
                     done(result, exchange.sent_at, exchange.received_at);
                 });
}

http_pool& worker_exchange::pool_of(const std::string& address) {
    auto& link = links_[address];
    if (!link.pool)
        link.pool = std::make_shared<http_pool>(loop_, clock_, checked_tcp_endpoint(address),
                                                max_connections_per_worker, limit_);
    link.used_at = clock_.now();
    return *link.pool;
}

void worker_exchange::close_unused() {
    const auto now = clock_.now();
    for (auto it = links_.begin(); it != links_.end();) {
        auto& [address, link] = *it;
        if (now - link.used_at < worker_expiry) {
            if (const auto idle = link.pool->idle_connections(); idle > 1)
                link.pool->close_idle(now - burst_connection_expiry, idle - 1);
            ++it;
            continue;
        }
        link.pool->stop();
        it = links_.erase(it);
    }
}

// Closes an idle connection of the worker that was used least recently.
bool worker_exchange::close_least_used() {
    const auto now = clock_.now();
    if (now < no_room_until_)
        return false;
    worker_link* best = nullptr;
    for (auto& [address, link] : links_) {
        if ((!best || link.used_at < best->used_at) && link.pool->idle_connections() > 0)
            best = &link;
    }
    if (best && best->pool->close_idle(now, 1) > 0)
        return true;
    no_room_until_ = now + room_search_interval;
    return false;
}

void worker_exchange::stop() {
    stopped_ = true;
    for (auto& [address, link] : links_)
        link.pool->stop();
}

} // namespace clementine::control
