// Guards against commands or reports that change in encoding and decoding, malformed replies that
// are accepted as reports, and a client that stops after one failed exchange.
#include "platform_client/http_platform.h"

#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <chrono>
#include <thread>

namespace {

namespace asio = boost::asio;
using namespace clementine;
using namespace clementine::platform_client;
using asio::ip::tcp;

// Blocking HTTP server on one thread. Answers each request with the next scripted reply, and
// repeats the last one.
class scripted_server {
  public:
    explicit scripted_server(std::vector<std::string> replies)
        : replies_(std::move(replies)), acceptor_(context_, {asio::ip::address_v4::loopback(), 0}),
          thread_([this] { run(); }) {}
    ~scripted_server() { stop(); }

    // Ends the thread; afterwards bodies() may be read.
    void stop() {
        if (!thread_.joinable())
            return;
        stopping_ = true;
        tcp::socket wakeup(context_);
        boost::system::error_code ignored;
        wakeup.connect(acceptor_.local_endpoint(), ignored);
        thread_.join();
    }

    tcp::endpoint address() const { return acceptor_.local_endpoint(); }
    const std::vector<std::string>& bodies() const { return bodies_; }

  private:
    void run() {
        for (std::size_t next = 0;; ++next) {
            tcp::socket socket(context_);
            acceptor_.accept(socket);
            if (stopping_)
                return;
            read_request(socket);
            const auto& reply = replies_[std::min(next, replies_.size() - 1)];
            boost::system::error_code ignored;
            asio::write(socket, asio::buffer(reply), ignored);
        }
    }

    void read_request(tcp::socket& socket) {
        std::string text;
        std::array<char, 4096> chunk{};
        boost::system::error_code error;
        while (!complete(text) && !error)
            text.append(chunk.data(), socket.read_some(asio::buffer(chunk), error));
        const auto body = text.find("\r\n\r\n");
        bodies_.push_back(body == std::string::npos ? "" : text.substr(body + 4));
    }

    static bool complete(const std::string& text) {
        const auto end = text.find("\r\n\r\n");
        const auto length = text.find("Content-Length: ");
        if (end == std::string::npos || length == std::string::npos)
            return false;
        return text.size() >= end + 4 + std::stoul(text.substr(length + 16));
    }

    std::vector<std::string> replies_;
    std::vector<std::string> bodies_;
    asio::io_context context_;
    tcp::acceptor acceptor_;
    std::atomic<bool> stopping_ = false;
    std::thread thread_;
};

std::string http_reply(const std::string& body) {
    return "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: " +
           std::to_string(body.size()) + "\r\n\r\n" + body;
}

scheduler::vm_report sample_report() {
    scheduler::vm_report report;
    report.vm = 3;
    report.sequence = 91;
    report.lease_epoch = 2;
    report.ready = true;
    report.used = {1'500, 2'048, 1};
    scheduler::task_report task;
    task.job = 7;
    task.attempt = 2;
    task.phase = scheduler::task_phase::failed;
    task.checkpoint = 40;
    task.throttle_percent = 60;
    report.tasks.push_back(task);
    return report;
}

class platform_client_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(platform_client_test);
    CPPUNIT_TEST(all_commands_round_trip);
    CPPUNIT_TEST(reports_round_trip);
    CPPUNIT_TEST(malformed_messages_are_rejected);
    CPPUNIT_TEST(client_recovers_after_failed_exchanges);
    CPPUNIT_TEST_SUITE_END();

  public:
    void all_commands_round_trip() {
        exchange_request sent;
        sent.cursor = 17;
        sent.commands = {
            {scheduler::grant_lease{1, 2}, {4, 5}},
            {scheduler::dispatch_task{1, 2, 3, 4, 5}, {4, 6}},
            {scheduler::checkpoint_task{1, 2, 3}, {4, 7}},
            {scheduler::throttle_task{1, 2, 3, 40}, {4, 8}},
            {scheduler::stop_task{1, 2, 3}, {4, 9}},
            {scheduler::acknowledge_task{1, 2, 3}, {4, 10}},
            {scheduler::run_probe{1, 2}, {4, 11}},
            {scheduler::drain_vm{1, 812}, {4, 12}},
            {scheduler::assign_vm{1, 2, false, 813}, {4, 13}},
            {scheduler::restart_vm{1, 814}, {4, 14}},
        };
        CPPUNIT_ASSERT_EQUAL(std::variant_size_v<scheduler::command>, sent.commands.size());
        const auto text = encode(sent);
        const auto received = decode_request(text);
        CPPUNIT_ASSERT(std::holds_alternative<exchange_request>(received));
        CPPUNIT_ASSERT_EQUAL(text, encode(std::get<exchange_request>(received)));
        const auto& assignment = std::get<exchange_request>(received).commands.at(8);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{813},
                             std::get<scheduler::assign_vm>(assignment.command).request);
    }

    void reports_round_trip() {
        const exchange_reply sent{23, 1, {sample_report()}};
        const auto text = encode(sent);
        const auto received = decode_reply(text);
        CPPUNIT_ASSERT(std::holds_alternative<exchange_reply>(received));
        CPPUNIT_ASSERT_EQUAL(text, encode(std::get<exchange_reply>(received)));
        const auto& report = std::get<exchange_reply>(received).reports.at(0);
        CPPUNIT_ASSERT(report.tasks.at(0).phase == scheduler::task_phase::failed);
        CPPUNIT_ASSERT_EQUAL(60, report.tasks.at(0).throttle_percent);
    }

    void malformed_messages_are_rejected() {
        for (const auto* text : {"", "[]", "{}", "{\"cursor\":-1,\"refused\":0,\"reports\":[]}",
                                 "{\"cursor\":1,\"refused\":0,\"reports\":[{\"vm\":1}]}",
                                 "{\"cursor\":1,\"refused\":0,\"reports\":[7]}"})
            CPPUNIT_ASSERT(std::holds_alternative<codec_error>(decode_reply(text)));
        CPPUNIT_ASSERT(std::holds_alternative<codec_error>(decode_request(
            "{\"cursor\":1,\"commands\":[{\"kind\":\"explode\",\"term\":1,\"index\":1}]}")));
    }

    void client_recovers_after_failed_exchanges() {
        const exchange_reply good{23, 0, {sample_report()}};
        scripted_server server({"garbage", http_reply("not json"), http_reply(encode(good))});
        asio::io_context context;
        http_platform client(context, server.address());
        std::thread runner([&] { context.run(); });
        const auto deadline = std::chrono::steady_clock::now() + std::chrono::seconds(20);
        std::size_t reports = 0;
        while (reports < 2 && std::chrono::steady_clock::now() < deadline) {
            reports += client.poll().size();
            // Failed exchanges lose commands, so the command is repeated, as a leader does.
            client.send(scheduler::drain_vm{3, 5}, {2, 9});
            std::this_thread::sleep_for(std::chrono::milliseconds(10));
        }
        client.stop();
        runner.join();
        server.stop();
        CPPUNIT_ASSERT(reports >= 2);
        CPPUNIT_ASSERT(client.failures() >= 2);
        // The request after the good reply carries its cursor and the commands queued since.
        const auto last = decode_request(server.bodies().at(3));
        const auto& request = std::get<exchange_request>(last);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{23}, request.cursor);
        CPPUNIT_ASSERT(!request.commands.empty());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(platform_client_test);

} // namespace
