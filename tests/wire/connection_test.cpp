// Tests of one connection on an event loop that the test runs step by step.
#include "wire/channel.h"
#include "wire/codec.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/write.hpp>
#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace {

using namespace clementine;
using namespace clementine::wire;
namespace asio = boost::asio;
using asio::ip::tcp;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

// One read and what the socket needs beside it.
constexpr int few_handlers = 3;

hello hello_of(const std::string& node) {
    return {protocol_version, "test", node, node_role::controld, "az-1", new_boot_id(), {}};
}

std::string frame_of(const message& value) {
    return *make_frame(encode(value));
}

std::string frames_of_reports(std::uint64_t first, std::uint64_t last) {
    std::string frames;
    for (auto version = first; version <= last; ++version)
        frames += frame_of(version_report{version});
    return frames;
}

// Header of a frame with a payload of so many bytes.
std::string header_of(std::size_t payload_bytes) {
    std::string out(frame_header_bytes, '\0');
    for (std::size_t i = 0; i < 4; ++i)
        out[i] = static_cast<char>((payload_bytes >> (8 * i)) & 0xFFU);
    return out;
}

std::string text_of(const message& value) {
    if (const auto* report = std::get_if<version_report>(&value))
        return "received " + std::to_string(report->version);
    if (const auto* state = std::get_if<manifest_state>(&value))
        return "received state of " + std::to_string(state->text.size());
    return "received ?";
}

// A connection to a peer that the test plays with blocking writes, so that the bytes have arrived
// when a write returns.
class polled_link {
  public:
    explicit polled_link(link_settings settings = {}) {
        tcp::acceptor acceptor(context, {asio::ip::address_v4::loopback(), 0});
        tcp::socket socket(asio::make_strand(context));
        socket.connect(acceptor.local_endpoint());
        peer = acceptor.accept();
        peer.set_option(tcp::no_delay(true));
        link = std::make_shared<connection>(std::move(socket), hello_of("c-1"), settings, counters);
        connection::handlers callbacks;
        callbacks.opened = [this](const hello& greeting) {
            events.push_back("opened " + greeting.node);
        };
        callbacks.received = [this](message&& value) {
            events.push_back(text_of(value));
            on_received();
        };
        callbacks.closed = [this](const close_info& info) {
            events.push_back("closed " + std::string(to_name(info.reason)));
        };
        link->start(std::move(callbacks));
    }

    // Exchanges hello and forgets it.
    void open() {
        write(frame_of(hello_of("s-1")));
        run_until_events(1);
        CPPUNIT_ASSERT_EQUAL(std::string("opened s-1"), events.back());
        context.poll();
        std::vector<char> bytes(peer.available());
        asio::read(peer, asio::buffer(bytes));
        events.clear();
    }

    void write(const std::string& bytes) { asio::write(peer, asio::buffer(bytes)); }

    // Returns how many handlers ran until there were so many events, at most for 10 s.
    int run_until_events(std::size_t count) {
        int handlers = 0;
        const auto end = steady_clock::now() + std::chrono::seconds(10);
        while (events.size() < count && steady_clock::now() < end)
            handlers += static_cast<int>(context.run_one_for(milliseconds(10)));
        CPPUNIT_ASSERT(events.size() >= count);
        return handlers;
    }

    void assert_events(const std::vector<std::string>& expected) {
        CPPUNIT_ASSERT_EQUAL(expected.size(), events.size());
        for (std::size_t i = 0; i < expected.size(); ++i)
            CPPUNIT_ASSERT_EQUAL(expected[i], events[i]);
    }

    asio::io_context context;
    std::shared_ptr<traffic> counters = std::make_shared<traffic>();
    std::vector<std::string> events;
    std::function<void()> on_received = [] {};
    std::shared_ptr<connection> link;
    tcp::socket peer{context};
};

class connection_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(connection_test);
    CPPUNIT_TEST(frames_that_arrive_together_do_not_cost_two_handlers_each);
    CPPUNIT_TEST(a_message_sent_by_a_handler_does_not_wait_for_another_one);
    CPPUNIT_TEST(frames_in_parts_are_not_lost_or_reordered);
    CPPUNIT_TEST(no_frame_is_delivered_after_stop_in_a_handler);
    CPPUNIT_TEST(no_frame_is_delivered_after_stop_of_the_channel_in_a_handler);
    CPPUNIT_TEST(frames_behind_a_bad_one_are_not_delivered);
    CPPUNIT_TEST(unknown_peer_makes_a_node_reserve_a_large_frame);
    CPPUNIT_TEST(a_late_process_does_not_close_a_link_whose_peer_sends);
    CPPUNIT_TEST(a_peer_that_completes_no_frame_is_not_kept);
    CPPUNIT_TEST_SUITE_END();

  public:
    // Guards against a read for each header and each payload, each of which waits for a pass of a
    // late event loop.
    void frames_that_arrive_together_do_not_cost_two_handlers_each() {
        polled_link pair;
        pair.open();
        pair.write(frames_of_reports(1, 20));
        const int handlers = pair.run_until_events(20);
        for (int i = 0; i < 20; ++i)
            CPPUNIT_ASSERT_EQUAL("received " + std::to_string(i + 1),
                                 pair.events[static_cast<std::size_t>(i)]);
        CPPUNIT_ASSERT_MESSAGE(std::to_string(handlers) + " handlers", handlers <= few_handlers);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{21}, pair.counters->frames_received.load());
    }

    // Guards against an answer that leaves one pass of a late event loop after it was decided.
    void a_message_sent_by_a_handler_does_not_wait_for_another_one() {
        polled_link pair;
        pair.open();
        std::size_t sent_bytes = 0;
        pair.on_received = [&] {
            CPPUNIT_ASSERT(pair.link->send(version_report{7}));
            sent_bytes = pair.peer.available();
        };
        pair.write(frames_of_reports(1, 1));
        pair.run_until_events(1);
        CPPUNIT_ASSERT_EQUAL(frames_of_reports(7, 7).size(), sent_bytes);
    }

    // Guards against a loss of bytes where a frame and a read end at different places.
    void frames_in_parts_are_not_lost_or_reordered() {
        std::string bytes = frames_of_reports(1, 3);
        std::vector<std::string> expected{"received 1", "received 2", "received 3"};
        for (const std::size_t text_bytes : {100'000, 900'000, 70'000}) {
            // Packing does not shorten text without zero bytes.
            bytes += frame_of(manifest_state{1, std::string(text_bytes, 'x'), false});
            bytes += frames_of_reports(4, 5);
            expected.push_back("received state of " + std::to_string(text_bytes));
            expected.insert(expected.end(), {"received 4", "received 5"});
        }
        for (const std::size_t part_bytes : {std::size_t{1}, std::size_t{7}, std::size_t{1'000},
                                             std::size_t{65'536}, std::size_t{100'003}}) {
            polled_link pair;
            pair.open();
            const auto bytes_of_hello = pair.counters->bytes_received.load();
            // Only the first frames in parts of few bytes, to bound the time.
            const auto end = part_bytes < 1'000 ? frames_of_reports(1, 3).size() : bytes.size();
            for (std::size_t at = 0; at < end; at += part_bytes) {
                pair.write(bytes.substr(at, std::min(part_bytes, end - at)));
                pair.context.poll();
            }
            pair.run_until_events(end == bytes.size() ? expected.size() : 3);
            pair.assert_events(end == bytes.size() ? expected
                                                   : std::vector<std::string>(
                                                         expected.begin(), expected.begin() + 3));
            CPPUNIT_ASSERT_EQUAL(std::uint64_t{end},
                                 pair.counters->bytes_received - bytes_of_hello);
        }
    }

    // Guards against frames that reach an owner which has stopped the connection.
    void no_frame_is_delivered_after_stop_in_a_handler() {
        polled_link pair;
        pair.open();
        pair.on_received = [&] { pair.link->stop(); };
        pair.write(frames_of_reports(1, 20));
        pair.run_until_events(2);
        pair.context.poll();
        pair.assert_events({"received 1", "closed stopped"});
        CPPUNIT_ASSERT(pair.link->is_closed());
    }

    // Guards against frames that reach an owner which has stopped the channel.
    void no_frame_is_delivered_after_stop_of_the_channel_in_a_handler() {
        asio::io_context context;
        tcp::acceptor acceptor(context, {asio::ip::address_v4::loopback(), 0});
        std::vector<std::string> events;
        std::shared_ptr<channel> client;
        channel::handlers callbacks;
        callbacks.received = [&](message&& value) {
            events.push_back(text_of(value));
            client->stop();
        };
        callbacks.closed = [&](const close_info& info) {
            events.push_back("closed " + std::string(to_name(info.reason)));
        };
        client = std::make_shared<channel>(context, acceptor.local_endpoint(), hello_of("c-1"),
                                           link_settings{}, callbacks);
        client->start();
        context.poll();
        auto peer = acceptor.accept();
        asio::write(peer, asio::buffer(frame_of(hello_of("s-1")) + frames_of_reports(1, 20)));
        const auto end = steady_clock::now() + std::chrono::seconds(10);
        while (events.size() < 2 && steady_clock::now() < end)
            context.run_one_for(milliseconds(10));
        context.poll();
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, events.size());
        CPPUNIT_ASSERT_EQUAL(std::string("received 1"), events[0]);
        CPPUNIT_ASSERT_EQUAL(std::string("closed stopped"), events[1]);
    }

    // Guards the memory of a node against peers that have not introduced themselves.
    void unknown_peer_makes_a_node_reserve_a_large_frame() {
        polled_link pair;
        pair.write(header_of(max_hello_payload_bytes + 1));
        pair.run_until_events(1);
        pair.assert_events({"closed malformed"});
    }

    // Guards against frames that are taken from a stream which is not in order any more.
    void frames_behind_a_bad_one_are_not_delivered() {
        auto wrong_checksum = frames_of_reports(3, 3);
        wrong_checksum.back() = static_cast<char>(wrong_checksum.back() ^ 1);
        const std::vector<std::pair<std::string, std::string>> cases{
            {wrong_checksum, "closed malformed"},
            {header_of(max_payload_bytes + 1), "closed malformed"},
            {std::string(frame_header_bytes, '\0'), "closed malformed"},
            {*make_frame("not a message"), "closed malformed"},
            {frame_of(hello_of("s-1")), "closed unexpected"}};
        for (const auto& [bad_frame, closed] : cases) {
            polled_link pair;
            pair.open();
            pair.write(frames_of_reports(1, 2) + bad_frame + frames_of_reports(4, 6));
            pair.run_until_events(3);
            pair.context.poll();
            pair.assert_events({"received 1", "received 2", closed});
        }
        polled_link pair;
        pair.write(frames_of_reports(1, 1) + frame_of(hello_of("s-1")));
        pair.run_until_events(1);
        pair.context.poll();
        pair.assert_events({"closed unexpected"});
    }

    // Guards against a link that is lost because its own process was late: the frame arrives
    // between the expiry of the silence limit and its check.
    void a_late_process_does_not_close_a_link_whose_peer_sends() {
        link_settings settings;
        settings.heartbeat_interval = 60'000;
        settings.silence_limit = 200;
        polled_link pair(settings);
        pair.open();
        pair.write(frames_of_reports(1, 1));
        pair.run_until_events(1);
        pair.context.poll();
        const auto received_at = steady_clock::now();
        asio::steady_timer peer_sends(pair.context, milliseconds(10));
        peer_sends.async_wait([&](auto) { pair.write(frames_of_reports(2, 2)); });
        // Both timers expire in the same pass, the one of the peer first.
        std::this_thread::sleep_for(milliseconds(settings.silence_limit + 20));
        pair.run_until_events(2);
        pair.assert_events({"received 1", "received 2"});
        CPPUNIT_ASSERT(!pair.link->is_closed());
        // The peer sends nothing more.
        pair.run_until_events(3);
        CPPUNIT_ASSERT_EQUAL(std::string("closed silent"), pair.events.back());
        const auto elapsed = steady_clock::now() - received_at;
        CPPUNIT_ASSERT(elapsed >= milliseconds(2 * settings.silence_limit));
        CPPUNIT_ASSERT(elapsed < milliseconds(2'000));
    }

    // Guards against a connection that is kept for ever by bytes which never become a frame.
    void a_peer_that_completes_no_frame_is_not_kept() {
        link_settings settings;
        settings.heartbeat_interval = 60'000;
        settings.silence_limit = 200;
        polled_link pair(settings);
        pair.open();
        const auto frame = frame_of(manifest_state{1, std::string(10'000, 'x'), false});
        const auto start = steady_clock::now();
        std::size_t at = 0;
        while (pair.events.empty() && steady_clock::now() < start + std::chrono::seconds(5)) {
            pair.write(frame.substr(at++, 1));
            pair.context.run_for(milliseconds(5));
        }
        pair.assert_events({"closed silent"});
        CPPUNIT_ASSERT(steady_clock::now() - start < std::chrono::seconds(2));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(connection_test);

} // namespace
