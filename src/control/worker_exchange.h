// Sends orders to workers over HTTP and decodes their answers. Used by the leader, and by control
// nodes that carry out orders for it.
#pragma once

#include "control/http_pool.h"
#include "workload/fleet_protocol.h"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace clementine::control {

// What a failed HTTP exchange tells about the order in it.
workload::order_answer answer_for(call_failure failure);

class worker_exchange {
  public:
    // Times are those of the HTTP exchange.
    using done_handler = std::function<void(const workload::order_result& result, time_ms sent_at,
                                            time_ms received_at)>;

    // `node` is the name of this node. At most `max_connections` are open at any time.
    worker_exchange(boost::asio::io_context& loop, const clock_source& clock,
                    const workload::fleet_protocol& protocol, std::string node,
                    std::size_t max_connections);
    worker_exchange(const worker_exchange&) = delete;
    worker_exchange& operator=(const worker_exchange&) = delete;
    ~worker_exchange() = default;

    // Sends a worker order. `may_send` is called right before; if it returns false, the result is
    // `undelivered`. `done` is called exactly once, on the loop, unless `stop` is called before.
    void send(workload::order value, std::function<bool()> may_send, done_handler done);
    // Closes what has not been used for a while. To be called a few times a second.
    void close_unused();
    void stop();

    const connection_limit& connections() const { return *limit_; }
    std::size_t take_connection_peak() { return limit_->take_peak(); }

  private:
    struct worker_link {
        std::shared_ptr<http_pool> pool;
        time_ms used_at{0};
    };

    http_pool& pool_of(const std::string& address);
    bool close_least_used();

    boost::asio::io_context& loop_;
    const clock_source& clock_;
    const workload::fleet_protocol& protocol_;
    std::string node_;
    std::shared_ptr<connection_limit> limit_;
    std::map<std::string, worker_link> links_; // by address
    time_ms no_room_until_{0};                 // no connection was idle at the last search
    bool stopped_ = false;
};

} // namespace clementine::control
