// HTTP client of the platform: one POST /v1/exchange at a time sends commands and returns reports.
#pragma once

#include "platform_client/codec.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <memory>

namespace clementine::platform_client {

// Pause between two exchanges, and the time limit for one of them.
inline constexpr time_ms exchange_interval{250};
inline constexpr time_ms exchange_timeout{2'000};

// Thread-safe. Exchanges run on the given io_context from construction to destruction; the context
// must be stopped, or run until idle, before the object is destroyed.
class http_platform final : public scheduler::platform {
  public:
    http_platform(boost::asio::io_context& context, boost::asio::ip::tcp::endpoint address);
    ~http_platform() override;

    // Queues a command for the next exchange. A failed exchange loses it; the leader repeats it.
    void send(const scheduler::command& order, const scheduler::fencing& number) override;
    std::vector<scheduler::vm_report> poll() override;
    // Ends the exchanges; afterwards send() and poll() do nothing.
    void stop();
    // Exchanges that failed since the start.
    std::uint64_t failures() const;

  private:
    struct exchange_loop;
    std::shared_ptr<exchange_loop> exchanges_;
};

} // namespace clementine::platform_client
