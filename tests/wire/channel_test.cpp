// Tests that a link replaces a silent connection, rejects peers of another protocol version and
// closes a connection on malformed input.
#include "wire/channel.h"
#include "wire/channel_server.h"
#include "wire/codec.h"

#include <boost/asio/connect.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <condition_variable>
#include <thread>

namespace {

using namespace clementine;
using namespace clementine::wire;
namespace asio = boost::asio;
using asio::ip::tcp;
using std::chrono::steady_clock;

// Runs an io_context on two threads until destruction.
class io_threads {
  public:
    io_threads() {
        for (auto& thread : threads_)
            thread = std::thread([this] { context.run(); });
    }
    io_threads(const io_threads&) = delete;
    io_threads& operator=(const io_threads&) = delete;
    ~io_threads() {
        work_.reset();
        context.stop();
        for (auto& thread : threads_)
            thread.join();
    }

    asio::io_context context;

  private:
    asio::executor_work_guard<asio::io_context::executor_type> work_ =
        asio::make_work_guard(context);
    std::array<std::thread, 2> threads_;
};

// Records the callbacks of one end of a link as text.
class event_recorder {
  public:
    void add(std::string event) {
        std::lock_guard lock(mutex_);
        events_.push_back(std::move(event));
        changed_.notify_all();
    }
    // The first event that starts with a prefix; an empty string if there is none.
    std::string find(const std::string& prefix) {
        std::lock_guard lock(mutex_);
        const auto match = std::find_if(events_.begin(), events_.end(), [&](const auto& event) {
            return event.rfind(prefix, 0) == 0;
        });
        return match == events_.end() ? std::string() : *match;
    }
    // Waits for the nth event that starts with a prefix; an empty string after 10 s.
    std::string wait_for(const std::string& prefix, int nth = 1) {
        std::unique_lock lock(mutex_);
        std::string match;
        changed_.wait_for(lock, std::chrono::seconds(10), [&] {
            int seen = 0;
            for (const auto& event : events_) {
                if (event.rfind(prefix, 0) == 0 && ++seen == nth) {
                    match = event;
                    return true;
                }
            }
            return false;
        });
        return match;
    }

  private:
    std::mutex mutex_;
    std::condition_variable changed_;
    std::vector<std::string> events_;
};

channel::handlers record_events(event_recorder& events) {
    channel::handlers callbacks;
    callbacks.opened = [&events](const hello& peer) { events.add("opened " + peer.node); };
    callbacks.received = [&events](message&& value) {
        const auto* report = std::get_if<version_report>(&value);
        events.add("received " + (report ? std::to_string(report->version) : std::string("?")));
    };
    callbacks.closed = [&events](const close_info& info) {
        events.add("closed " + std::string(to_name(info.reason)));
    };
    return callbacks;
}

hello hello_of(const std::string& node, node_role role = node_role::controld) {
    return {protocol_version, "test", node, role, "az-1", new_boot_id(), {}};
}

// An address from which no other program connects, so that a port can be listened on again.
const tcp::endpoint loopback_any_port(asio::ip::make_address_v4("127.47.9.1"), 0);

std::string read_frame(tcp::socket& socket) {
    std::array<unsigned char, frame_header_bytes> bytes{};
    asio::read(socket, asio::buffer(bytes));
    const auto header = parse_frame_header(bytes);
    CPPUNIT_ASSERT(header.has_value());
    std::string payload(header->length, '\0');
    asio::read(socket, asio::buffer(payload));
    return payload;
}

void write_frame(tcp::socket& socket, const message& value) {
    asio::write(socket, asio::buffer(*make_frame(encode(value))));
}

class channel_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(channel_test);
    CPPUNIT_TEST(exchanges_messages_and_reconnects_to_a_new_server);
    CPPUNIT_TEST(rejects_another_protocol_version_and_reports_both);
    CPPUNIT_TEST(replaces_a_silent_connection_within_3_s);
    CPPUNIT_TEST(heartbeats_keep_an_idle_connection);
    CPPUNIT_TEST(malformed_input_closes_only_its_own_connection);
    CPPUNIT_TEST(messages_of_one_sender_do_not_overtake_each_other);
    CPPUNIT_TEST(refuses_messages_beyond_the_send_queue);
    CPPUNIT_TEST(plaintext_requires_loopback_or_permission);
    CPPUNIT_TEST_SUITE_END();

    // The former listener closes on another thread soon after `stop`; until then the address is in
    // use.
    static std::shared_ptr<channel_server>
    listen_after_stop(io_threads& threads, const tcp::endpoint& address,
                      const channel_server::handlers& callbacks) {
        constexpr auto timeout = std::chrono::seconds(5);
        const auto end = std::chrono::steady_clock::now() + timeout;
        for (;;) {
            auto server = std::make_shared<channel_server>(threads.context, hello_of("s-2"),
                                                           link_settings{}, callbacks);
            const auto problem = server->listen(address);
            if (problem.empty())
                return server;
            CPPUNIT_ASSERT_MESSAGE(problem, std::chrono::steady_clock::now() < end);
            std::this_thread::sleep_for(std::chrono::milliseconds(10));
        }
    }

  public:
    void exchanges_messages_and_reconnects_to_a_new_server() {
        event_recorder events;
        io_threads threads;
        channel_server::handlers callbacks;
        callbacks.received = [](const std::shared_ptr<connection>& peer, message&& value) {
            peer->send(value);
        };
        auto server = std::make_shared<channel_server>(threads.context, hello_of("s-1"),
                                                       link_settings{}, callbacks);
        CPPUNIT_ASSERT_EQUAL(std::string(), server->listen(loopback_any_port));
        const tcp::endpoint address(loopback_any_port.address(), server->port());
        auto client = std::make_shared<channel>(threads.context, address, hello_of("c-1"),
                                                link_settings{}, record_events(events));
        client->start();
        CPPUNIT_ASSERT_EQUAL(std::string("opened s-1"), events.wait_for("opened"));
        CPPUNIT_ASSERT(client->send(version_report{1}));
        CPPUNIT_ASSERT_EQUAL(std::string("received 1"), events.wait_for("received"));
        server->stop();
        CPPUNIT_ASSERT_EQUAL(std::string("closed peer-closed"), events.wait_for("closed"));
        const auto second_server = listen_after_stop(threads, address, callbacks);
        CPPUNIT_ASSERT_EQUAL(std::string("opened s-2"), events.wait_for("opened s-2"));
        client->stop();
        second_server->stop();
    }

    void rejects_another_protocol_version_and_reports_both() {
        io_threads threads;
        auto server = std::make_shared<channel_server>(threads.context, hello_of("s-1"),
                                                       link_settings{}, channel_server::handlers{});
        CPPUNIT_ASSERT_EQUAL(std::string(), server->listen(loopback_any_port));
        tcp::socket socket(threads.context);
        socket.connect({loopback_any_port.address(), server->port()});
        auto self = hello_of("c-1");
        self.version = protocol_version + 1;
        event_recorder closes;
        auto peer = std::make_shared<connection>(std::move(socket), self, link_settings{}, nullptr);
        connection::handlers callbacks;
        callbacks.opened = [&closes](const hello&) { closes.add("opened"); };
        callbacks.received = [](message&&) {};
        callbacks.closed = [&closes](const close_info& info) {
            closes.add("closed " + std::string(to_name(info.reason)) + " " + info.detail);
        };
        peer->start(callbacks);
        CPPUNIT_ASSERT_EQUAL(
            std::string(
                "closed version-mismatch own protocol version 2, peer's protocol version 1"),
            closes.wait_for("closed"));
        server->stop();
    }

    // The first connection answers hello and then sends nothing more.
    void replaces_a_silent_connection_within_3_s() {
        event_recorder events;
        io_threads threads;
        tcp::acceptor acceptor(threads.context, loopback_any_port);
        auto client =
            std::make_shared<channel>(threads.context, acceptor.local_endpoint(), hello_of("c-1"),
                                      link_settings{}, record_events(events));
        client->start();
        auto silent = acceptor.accept();
        read_frame(silent);
        write_frame(silent, hello_of("s-1"));
        CPPUNIT_ASSERT(!events.wait_for("opened s-1").empty());
        const auto start = steady_clock::now();
        auto replacement = acceptor.accept();
        read_frame(replacement);
        write_frame(replacement, hello_of("s-2"));
        CPPUNIT_ASSERT(!events.wait_for("opened s-2").empty());
        const auto elapsed = steady_clock::now() - start;
        CPPUNIT_ASSERT_EQUAL(std::string("closed silent"), events.wait_for("closed"));
        CPPUNIT_ASSERT(elapsed >= std::chrono::milliseconds(2'400));
        CPPUNIT_ASSERT(elapsed < std::chrono::milliseconds(3'000));
        client->stop();
    }

    void heartbeats_keep_an_idle_connection() {
        event_recorder events;
        io_threads threads;
        link_settings short_intervals;
        short_intervals.heartbeat_interval = 100;
        short_intervals.silence_limit = 400;
        auto server = std::make_shared<channel_server>(threads.context, hello_of("s-1"),
                                                       short_intervals, channel_server::handlers{});
        CPPUNIT_ASSERT_EQUAL(std::string(), server->listen(loopback_any_port));
        auto client = std::make_shared<channel>(
            threads.context, tcp::endpoint{loopback_any_port.address(), server->port()},
            hello_of("c-1"), short_intervals, record_events(events));
        client->start();
        CPPUNIT_ASSERT(!events.wait_for("opened").empty());
        std::this_thread::sleep_for(std::chrono::milliseconds(1'200));
        CPPUNIT_ASSERT(client->is_open());
        client->stop();
        server->stop();
    }

    void malformed_input_closes_only_its_own_connection() {
        event_recorder events;
        io_threads threads;
        auto server = std::make_shared<channel_server>(threads.context, hello_of("s-1"),
                                                       link_settings{}, channel_server::handlers{});
        CPPUNIT_ASSERT_EQUAL(std::string(), server->listen(loopback_any_port));
        const tcp::endpoint address(loopback_any_port.address(), server->port());
        auto client = std::make_shared<channel>(threads.context, address, hello_of("c-1"),
                                                link_settings{}, record_events(events));
        client->start();
        CPPUNIT_ASSERT(!events.wait_for("opened").empty());
        auto wrong_checksum = *make_frame(encode(hello_of("c-2")));
        wrong_checksum.back() = static_cast<char>(wrong_checksum.back() ^ 1);
        const std::string before_hello = *make_frame(encode(version_report{1}));
        const std::string undecodable = *make_frame("not a message");
        for (const auto& bytes : {std::string("GET / HTTP/1.1\r\n\r\n"), std::string(64, '\0'),
                                  wrong_checksum, before_hello, undecodable}) {
            tcp::socket socket(threads.context);
            socket.connect(address);
            asio::write(socket, asio::buffer(bytes));
            std::array<char, 4096> answer{};
            boost::system::error_code error;
            while (!error)
                socket.read_some(asio::buffer(answer), error);
            CPPUNIT_ASSERT(error != asio::error::would_block);
        }
        CPPUNIT_ASSERT(client->is_open());
        client->stop();
        server->stop();
    }

    // Guards against a message sent on a thread of the loop that passes one which still waits for
    // the strand: two senders take turns on the threads of the loop, one has a thread of its own.
    void messages_of_one_sender_do_not_overtake_each_other() {
        constexpr std::uint64_t senders = 3;
        constexpr std::uint64_t messages = 1'000;
        event_recorder events;
        std::array<std::uint64_t, senders> received{};
        std::uint64_t total = 0;
        io_threads threads;
        channel_server::handlers callbacks;
        callbacks.received = [&](const std::shared_ptr<connection>&, message&& value) {
            const auto version = std::get<version_report>(value).version;
            auto& next = received.at(version / messages);
            if (version % messages != next++)
                events.add("overtaken " + std::to_string(version));
            if (++total == senders * messages)
                events.add("all");
        };
        auto server = std::make_shared<channel_server>(threads.context, hello_of("s-1"),
                                                       link_settings{}, callbacks);
        CPPUNIT_ASSERT_EQUAL(std::string(), server->listen(loopback_any_port));
        auto client = std::make_shared<channel>(
            threads.context, tcp::endpoint{loopback_any_port.address(), server->port()},
            hello_of("c-1"), link_settings{}, record_events(events));
        client->start();
        CPPUNIT_ASSERT(!events.wait_for("opened").empty());
        std::function<void(std::uint64_t, std::uint64_t)> send_in_turns = [&](std::uint64_t sender,
                                                                              std::uint64_t count) {
            if (!client->send(version_report{sender * messages + count}))
                events.add("refused");
            if (count + 1 < messages)
                asio::post(threads.context,
                           [&, sender, count] { send_in_turns(sender, count + 1); });
        };
        asio::post(threads.context, [&] { send_in_turns(0, 0); });
        asio::post(threads.context, [&] { send_in_turns(1, 0); });
        for (std::uint64_t i = 0; i < messages; ++i)
            CPPUNIT_ASSERT(client->send(version_report{2 * messages + i}));
        CPPUNIT_ASSERT_EQUAL(std::string("all"), events.wait_for("all"));
        client->stop();
        server->stop();
        CPPUNIT_ASSERT_EQUAL(std::string(), events.find("overtaken"));
        CPPUNIT_ASSERT_EQUAL(std::string(), events.find("refused"));
    }

    void refuses_messages_beyond_the_send_queue() {
        event_recorder events;
        io_threads threads;
        link_settings small_queue;
        small_queue.send_queue_bytes = 100'000;
        tcp::acceptor acceptor(threads.context, loopback_any_port);
        auto client =
            std::make_shared<channel>(threads.context, acceptor.local_endpoint(), hello_of("c-1"),
                                      small_queue, record_events(events));
        CPPUNIT_ASSERT(!client->send(version_report{1}));
        client->start();
        auto peer = acceptor.accept();
        read_frame(peer);
        write_frame(peer, hello_of("s-1"));
        CPPUNIT_ASSERT(!events.wait_for("opened").empty());
        // The peer does not read, so the socket buffers of the kernel fill up, then the send queue.
        bool refused = false;
        for (int i = 0; i < 2'000 && !refused; ++i)
            refused = !client->send(manifest_state{1, std::string(50'000, 'x'), false});
        CPPUNIT_ASSERT(refused);
        client->stop();
    }

    void plaintext_requires_loopback_or_permission() {
        CPPUNIT_ASSERT(may_listen_plaintext("127.0.0.1", false));
        CPPUNIT_ASSERT(may_listen_plaintext("::1", false));
        CPPUNIT_ASSERT(!may_listen_plaintext("10.0.0.1", false));
        CPPUNIT_ASSERT(!may_listen_plaintext("0.0.0.0", false));
        CPPUNIT_ASSERT(may_listen_plaintext("10.0.0.1", true));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(channel_test);

} // namespace
