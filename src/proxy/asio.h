// Aliases for the Asio types used here, and the completion token of the coroutines.
#pragma once

#include "base/clock.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <chrono>

namespace clementine::proxy {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;
using error_code = boost::system::error_code;
using strand = asio::strand<asio::io_context::executor_type>;

// Completion token that returns errors in a tuple instead of throwing them.
inline constexpr auto use_tuple = asio::as_tuple(asio::use_awaitable);

inline std::chrono::milliseconds to_duration(time_ms value) {
    return std::chrono::milliseconds(value);
}

} // namespace clementine::proxy
