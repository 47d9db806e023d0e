// A TCP relay. On SIGUSR1 it starts to drop all bytes of the open connections without closing them,
// as a middlebox that has lost their state does; new connections work.
#include "standin/http_exchange.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include <array>
#include <csignal>
#include <iostream>
#include <memory>

namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

// Connections opened in an earlier generation are silent.
struct relay_state {
    unsigned generation = 0;
};

struct relayed_pair {
    relayed_pair(tcp::socket client, tcp::socket server, unsigned opened_in)
        : downstream(std::move(client)), upstream(std::move(server)), generation(opened_in) {}

    tcp::socket downstream;
    tcp::socket upstream;
    unsigned generation;
};

asio::awaitable<void> forward_bytes(std::shared_ptr<relayed_pair> pair, tcp::socket& from,
                                    tcp::socket& to, const relay_state& state) {
    std::array<char, 16'384> buffer{};
    try {
        while (true) {
            const auto size =
                co_await from.async_read_some(asio::buffer(buffer), asio::use_awaitable);
            if (pair->generation == state.generation)
                co_await asio::async_write(to, asio::buffer(buffer.data(), size),
                                           asio::use_awaitable);
        }
    } catch (const boost::system::system_error&) {
        // A close is forwarded, except on a silent connection.
        boost::system::error_code ignored;
        if (pair->generation == state.generation)
            to.close(ignored);
    }
}

asio::awaitable<void> relay(tcp::socket downstream, tcp::endpoint target,
                            const relay_state& state) {
    const auto executor = co_await asio::this_coro::executor;
    auto pair = std::make_shared<relayed_pair>(std::move(downstream), tcp::socket(executor),
                                               state.generation);
    boost::system::error_code error;
    co_await pair->upstream.async_connect(target, asio::redirect_error(asio::use_awaitable, error));
    if (error)
        co_return;
    asio::co_spawn(executor, forward_bytes(pair, pair->downstream, pair->upstream, state),
                   asio::detached);
    asio::co_spawn(executor, forward_bytes(pair, pair->upstream, pair->downstream, state),
                   asio::detached);
}

asio::awaitable<void> accept_all(tcp::acceptor acceptor, tcp::endpoint target,
                                 const relay_state& state) {
    while (true) {
        auto socket = co_await acceptor.async_accept(asio::use_awaitable);
        asio::co_spawn(acceptor.get_executor(), relay(std::move(socket), target, state),
                       asio::detached);
    }
}

asio::awaitable<void> watch_signal(relay_state& state) {
    asio::signal_set signals(co_await asio::this_coro::executor, SIGUSR1);
    while (true) {
        co_await signals.async_wait(asio::use_awaitable);
        ++state.generation;
    }
}

} // namespace

int main(int argc, char** argv) {
    if (argc != 3) {
        std::cerr << "usage: standin_link LISTEN_IP:PORT TARGET_IP:PORT\n";
        return 2;
    }
    try {
        asio::io_context context(1);
        relay_state state;
        const auto target = standin::parse_endpoints(argv[2]).at(0);
        tcp::acceptor acceptor(context, standin::parse_endpoints(argv[1]).at(0));
        asio::co_spawn(context, accept_all(std::move(acceptor), target, state), asio::detached);
        asio::co_spawn(context, watch_signal(state), asio::detached);
        asio::signal_set stop(context, SIGTERM, SIGINT);
        stop.async_wait([&](const boost::system::error_code&, int) { context.stop(); });
        context.run();
        return 0;
    } catch (const std::exception& error) {
        std::cerr << "standin_link: " << error.what() << '\n';
        return 1;
    }
}
