// Tests the interface to callers: framing, limits, request smuggling, random input, order of
// responses and streaming in constant memory.
#include "base/random.h"
#include "proxy/fixture.h"

#include <cppunit/extensions/HelperMacros.h>

#include <array>
#include <atomic>
#include <chrono>
#include <fstream>
#include <future>
#include <unistd.h>

namespace {

using namespace proxy_test;
using std::string;

const string get_line = "GET /a HTTP/1.1\r\nHost: svc.example\r\n";
const string post_line = "POST /a HTTP/1.1\r\nHost: svc.example\r\n";

void echo(blocking_socket& socket, const received_request& request) {
    socket.send(ok_response(request, request.target + request.body));
}

#if defined(__SANITIZE_ADDRESS__) || defined(__SANITIZE_THREAD__)
constexpr bool under_sanitizer = true;
#else
constexpr bool under_sanitizer = false;
#endif

// Resident set size of this process.
std::uint64_t resident_bytes() {
    std::ifstream in("/proc/self/statm");
    std::uint64_t pages = 0;
    in >> pages >> pages;
    return pages * static_cast<std::uint64_t>(::sysconf(_SC_PAGESIZE));
}

// Answers every claim with `answer` and records the results.
class fake_claims final : public clementine::proxy::key_claims {
  public:
    void claim(const clementine::routing::idempotency_key&,
               std::function<void(clementine::proxy::key_claim_result)> done) override {
        done(answer);
    }
    void finish(std::uint64_t, clementine::routing::key_state result) override {
        std::lock_guard lock(mutex_);
        finished_ += string(clementine::to_name(result)) + ' ';
    }
    string finished() {
        std::lock_guard lock(mutex_);
        return finished_;
    }

    clementine::proxy::key_claim_result answer{true, 1, clementine::routing::key_state::none};

  private:
    std::mutex mutex_;
    string finished_;
};

class caller_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(caller_test);
    CPPUNIT_TEST(request_smuggling_forms_are_refused);
    CPPUNIT_TEST(malformed_chunks_are_refused);
    CPPUNIT_TEST(random_input_is_refused);
    CPPUNIT_TEST(body_may_arrive_byte_by_byte);
    CPPUNIT_TEST(unknown_service_and_workspace_are_refused);
    CPPUNIT_TEST(pipelined_requests_are_answered_in_order);
    CPPUNIT_TEST(hop_by_hop_fields_are_not_forwarded);
    CPPUNIT_TEST(expect_continue_is_answered);
    CPPUNIT_TEST(head_has_no_body);
    CPPUNIT_TEST(long_header_and_body_are_refused);
    CPPUNIT_TEST(slow_header_and_idle_callers_are_closed);
    CPPUNIT_TEST(bodies_are_streamed_in_constant_memory);
    CPPUNIT_TEST(idle_callers_use_little_memory);
    CPPUNIT_TEST(early_response_ends_the_upload);
    CPPUNIT_TEST(interrupted_upload_is_not_complete);
    CPPUNIT_TEST(full_queue_refuses_with_not_run);
    CPPUNIT_TEST(idempotency_key_is_claimed_before_sending);
    CPPUNIT_TEST_SUITE_END();

  public:
    void request_smuggling_forms_are_refused() {
        const auto entryd = start_entryd();
        fake_server server(*entryd, "b1", echo);
        const std::vector<string> forms{
            post_line + "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
            post_line + "Transfer-Encoding: chunked\r\nContent-Length: 3\r\n\r\n0\r\n\r\n",
            post_line + "Content-Length: 3\r\nContent-Length: 4\r\n\r\nabcd",
            post_line + "Content-Length: 3\r\nContent-Length: 3\r\n\r\nabc",
            post_line + "Content-Length: 3, 3\r\n\r\nabc",
            post_line + "Content-Length: +3\r\n\r\nabc",
            post_line + "Content-Length: 0x3\r\n\r\nabc",
            post_line + "Content-Length: -1\r\n\r\n",
            post_line + "Content-Length : 3\r\n\r\nabc",
            post_line + "Content-Length: 99999999999999999999\r\n\r\n",
            post_line + "Transfer-Encoding: xchunked\r\n\r\n0\r\n\r\n",
            post_line + "Transfer-Encoding: chunked, identity\r\n\r\n0\r\n\r\n",
            post_line + "Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n",
            post_line + "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
            post_line + "Transfer-Encoding:\x0b" + "chunked\r\n\r\n0\r\n\r\n",
            post_line + "X: a\n\r\n\r\n",
            post_line + "X: a\rb\r\n\r\n",
            get_line + "X: a\r\n folded: b\r\n\r\n",
            get_line + " X: a\r\n\r\n",
            get_line + "X\r\n\r\n",
            get_line + ": x\r\n\r\n",
            get_line + "Host: other.example\r\n\r\n",
            get_line + string("X: a\0b\r\n\r\n", 10),
            "GET /a HTTP/1.1\nHost: svc.example\n\n",
            "GET  /a HTTP/1.1\r\nHost: svc.example\r\n\r\n",
            "GET /a b HTTP/1.1\r\nHost: svc.example\r\n\r\n",
            "GET http://svc.example/a HTTP/1.1\r\nHost: svc.example\r\n\r\n",
            "GET /a HTTP/1.1\r\n\r\n",
            "G\x01T /a HTTP/1.1\r\nHost: svc.example\r\n\r\n",
        };
        for (const auto& form : forms) {
            caller connection(entryd->caller_port());
            connection.send(form);
            const auto response = connection.read();
            CPPUNIT_ASSERT_EQUAL_MESSAGE(form, 400, response.status);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(form, string("not-run"), response.outcome());
            CPPUNIT_ASSERT_MESSAGE(form, connection.socket.at_end());
        }
        CPPUNIT_ASSERT_EQUAL(0, server.requests());
    }

    void malformed_chunks_are_refused() {
        const auto entryd = start_entryd();
        fake_server server(*entryd, "b1", echo);
        const std::vector<string> bodies{
            "xyz\r\nabc\r\n0\r\n\r\n", "-1\r\nabc\r\n0\r\n\r\n",  "3\r\nabcd\r\n0\r\n\r\n",
            "3\r\nabc0\r\n\r\n",       "0x3\r\nabc\r\n0\r\n\r\n", "fffffffffffffffff\r\nabc\r\n",
        };
        for (const auto& body : bodies) {
            caller connection(entryd->caller_port());
            connection.send(post_line + "Transfer-Encoding: chunked\r\n\r\n" + body);
            const auto response = connection.read();
            CPPUNIT_ASSERT_MESSAGE(body, response.status == 400 || response.status == 413);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(body, string("not-run"), response.outcome());
            CPPUNIT_ASSERT_MESSAGE(body, connection.socket.at_end());
        }
        CPPUNIT_ASSERT_EQUAL(0, server.requests());
    }

    void random_input_is_refused() {
        const auto entryd = start_entryd();
        fake_server server(*entryd, "b1", echo);
        clementine::random_source random(7);
        for (int i = 0; i < 50; ++i) {
            string bytes;
            for (auto left = random.between(1, 3'000); left > 0; --left)
                bytes += static_cast<char>(random.below(256));
            // Half of the inputs start like a request, so that they pass the first checks.
            if (i % 2 == 0)
                bytes = get_line + bytes;
            caller connection(entryd->caller_port());
            connection.send(bytes + "\r\n\r\n");
            connection.socket.end_sending();
            const auto response = connection.read();
            CPPUNIT_ASSERT(response.status == 0 ||
                           (response.status >= 400 && response.status < 500));
        }
        CPPUNIT_ASSERT_EQUAL(0, server.requests());
        CPPUNIT_ASSERT_EQUAL(string("/ok"), call(*entryd, "GET", "/ok").body);
    }

    // Boost.Beast aborts the process if the last chunk arrives in pieces; the decoder must buffer
    // them.
    void body_may_arrive_byte_by_byte() {
        const auto entryd = start_entryd();
        fake_server server(*entryd, "b1", [](blocking_socket& socket, const received_request&) {
            for (const char c : string("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                                       "1\r\na\r\n2\r\nbc\r\n0\r\n\r\n")) {
                socket.send(string(1, c));
                std::this_thread::sleep_for(std::chrono::milliseconds(1));
            }
        });
        caller connection(entryd->caller_port());
        connection.send(post_line + "Transfer-Encoding: chunked\r\n\r\n");
        for (const char c : string("1\r\na\r\n0\r\n\r\n")) {
            connection.send(string(1, c));
            std::this_thread::sleep_for(std::chrono::milliseconds(1));
        }
        CPPUNIT_ASSERT_EQUAL(string("abc"), connection.read().body);
        caller announcer(entryd->backend_port());
        announcer.send("PUT /v1/backend-servers/b HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n");
        for (const char c : string("0\r\n\r\n")) {
            announcer.send(string(1, c));
            std::this_thread::sleep_for(std::chrono::milliseconds(1));
        }
        CPPUNIT_ASSERT(announcer.socket.at_end());
    }

    void unknown_service_and_workspace_are_refused() {
        const auto entryd = start_entryd();
        fake_server server(*entryd, "b1", echo);
        caller connection(entryd->caller_port());
        connection.send("GET / HTTP/1.1\r\nHost: nobody.example\r\n\r\n");
        CPPUNIT_ASSERT_EQUAL(404, connection.read().status);
        // The connection stays open after a rejected request without body.
        connection.send(get_line + "Clementine-Workspace: stranger\r\n\r\n");
        CPPUNIT_ASSERT_EQUAL(403, connection.read().status);
        connection.send(get_line + "Clementine-Workspace: shop\r\n\r\n");
        CPPUNIT_ASSERT_EQUAL(200, connection.read().status);
        connection.send("GET /p HTTP/1.1\r\nHost: SVC.example:80\r\n\r\n");
        CPPUNIT_ASSERT_EQUAL(string("/p"), connection.read().body);
    }

    void pipelined_requests_are_answered_in_order() {
        const auto entryd = start_entryd();
        fake_server server(*entryd, "b1", echo);
        caller connection(entryd->caller_port());
        string all;
        for (int i = 0; i < 20; ++i)
            all += "POST /" + std::to_string(i) +
                   " HTTP/1.1\r\nHost: svc.example\r\nTransfer-Encoding: chunked\r\n\r\n"
                   "3;ext=1\r\nabc\r\n0\r\nTrailer: x\r\n\r\n";
        connection.send(all);
        for (int i = 0; i < 20; ++i)
            CPPUNIT_ASSERT_EQUAL('/' + std::to_string(i) + "abc", connection.read().body);
    }

    void hop_by_hop_fields_are_not_forwarded() {
        const auto entryd = start_entryd();
        received_request seen;
        fake_server server(
            *entryd, "b1", [&](blocking_socket& socket, const received_request& request) {
                seen = request;
                socket.send(ok_response(request, "x",
                                        "Connection: X-Inner\r\nX-Inner: 1\r\nX-Outer: 2\r\n"
                                        "Clementine-Outcome: not-run\r\n"));
            });
        const auto response = call(*entryd, "GET", "/",
                                   "Connection: X-Hop, Host\r\nX-Hop: 1\r\nTE: trailers\r\n"
                                   "Upgrade: h2c\r\nX-Kept: 1\r\n");
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, seen.fields.count("x-hop"));
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, seen.fields.count("te"));
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, seen.fields.count("upgrade"));
        CPPUNIT_ASSERT_EQUAL(string("svc.example"), seen.fields.at("host"));
        CPPUNIT_ASSERT_EQUAL(string("1"), seen.fields.at("x-kept"));
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, response.fields.count("x-inner"));
        CPPUNIT_ASSERT_EQUAL(string("2"), response.fields.at("x-outer"));
        CPPUNIT_ASSERT_EQUAL(string("answered"), response.outcome());
        CPPUNIT_ASSERT_EQUAL(seen.fields.at("clementine-request-id"),
                             response.fields.at("clementine-request-id"));
    }

    void expect_continue_is_answered() {
        const auto entryd = start_entryd();
        fake_server server(*entryd, "b1", echo);
        caller connection(entryd->caller_port());
        connection.send(post_line + "Content-Length: 3\r\nExpect: 100-continue\r\n\r\n");
        CPPUNIT_ASSERT(connection.socket.take_until("100 Continue\r\n\r\n").has_value());
        connection.send("abc");
        CPPUNIT_ASSERT_EQUAL(string("/aabc"), connection.read().body);
    }

    void head_has_no_body() {
        const auto entryd = start_entryd();
        fake_server server(*entryd, "b1", [](blocking_socket& socket, const received_request&) {
            socket.send("HTTP/1.1 200 OK\r\nContent-Length: 7\r\n\r\n");
        });
        caller connection(entryd->caller_port());
        for (int i = 0; i < 2; ++i) {
            connection.send("HEAD / HTTP/1.1\r\nHost: svc.example\r\n\r\n");
            CPPUNIT_ASSERT_EQUAL(string("7"), connection.read(true).fields.at("content-length"));
        }
    }

    void long_header_and_body_are_refused() {
        const auto entryd = start_entryd({.max_body_bytes = 100'000});
        fake_server server(*entryd, "b1", echo);
        CPPUNIT_ASSERT_EQUAL(
            431, call(*entryd, "GET", "/", "X: " + string(17'000, 'x') + "\r\n").status);
        CPPUNIT_ASSERT_EQUAL(413, call(*entryd, "POST", "/", "", string(100'001, 'x')).status);
        CPPUNIT_ASSERT_EQUAL(200, call(*entryd, "POST", "/", "", string(100'000, 'x')).status);
        caller chunked(entryd->caller_port());
        chunked.send(post_line + "Transfer-Encoding: chunked\r\n\r\n186a1\r\n" +
                     string(100'001, 'x') + "\r\n0\r\n\r\n");
        CPPUNIT_ASSERT_EQUAL(413, chunked.read().status);
        CPPUNIT_ASSERT_EQUAL(1, server.requests());
    }

    void slow_header_and_idle_callers_are_closed() {
        const auto entryd = start_entryd({.header = 200, .idle = 300});
        caller slow(entryd->caller_port());
        slow.send("GET / HT");
        CPPUNIT_ASSERT_EQUAL(408, slow.read().status);
        CPPUNIT_ASSERT(slow.socket.at_end());
        caller idle(entryd->caller_port());
        CPPUNIT_ASSERT(idle.socket.at_end());
        caller body(entryd->caller_port());
        body.send(post_line + "Content-Length: 10\r\n\r\nabc");
        const auto response = body.read();
        CPPUNIT_ASSERT_EQUAL(408, response.status);
        CPPUNIT_ASSERT_EQUAL(string("not-run"), response.outcome());
    }

    // Streams a body much larger than all buffers in both directions, with receivers slower than
    // senders. Without back-pressure, the body would accumulate in this process.
    void bodies_are_streamed_in_constant_memory() {
        constexpr std::uint64_t total = 256ULL << 20;
        constexpr std::uint64_t limit = 32ULL << 20;
        const auto entryd =
            start_entryd({.timeout = 120'000, .max_body_bytes = static_cast<std::int64_t>(total)});
        const string block(1 << 20, 'x');
        fake_server server(
            *entryd, "b1", [&](blocking_socket& socket, const received_request& request) {
                if (request.method != "GET") {
                    socket.send(ok_response(request, "stored"));
                    return;
                }
                socket.send("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(total) +
                            "\r\n\r\n");
                for (std::uint64_t sent = 0; sent < total; sent += block.size())
                    socket.send(block);
            });
        server.keep_bodies = false;
        const auto before = resident_bytes();
        caller upload(entryd->caller_port());
        upload.send(post_line + "Content-Length: " + std::to_string(total) + "\r\n\r\n");
        for (std::uint64_t sent = 0; sent < total; sent += block.size())
            upload.send(block);
        CPPUNIT_ASSERT_EQUAL(string("stored"), upload.read().body);
        CPPUNIT_ASSERT_EQUAL(total, server.body_bytes.load());
        caller download(entryd->caller_port());
        download.send(get_line + "\r\n");
        CPPUNIT_ASSERT(download.socket.take_until("\r\n\r\n").has_value());
        // Gives the sender time to run ahead if back-pressure is missing.
        std::this_thread::sleep_for(std::chrono::milliseconds(300));
        std::uint64_t received = 0;
        while (received < total) {
            if (download.socket.buffer.empty() && !download.socket.receive())
                break;
            received += download.socket.buffer.size();
            download.socket.buffer.clear();
        }
        CPPUNIT_ASSERT_EQUAL(total, received);
        const auto after = resident_bytes();
        // The address sanitizer keeps freed blocks resident, so memory is checked without it only.
        if (!under_sanitizer)
            CPPUNIT_ASSERT(after < before + limit);
    }

    // 1,000 idle callers may use 64 MB. Fewer are opened here because of the descriptor limit.
    void idle_callers_use_little_memory() {
        constexpr std::size_t count = 300;
        constexpr std::uint64_t limit_each = 64'000;
        const auto entryd = start_entryd();
        fake_server server(*entryd, "b1", echo);
        call(*entryd, "POST", "/", "", string(60'000, 'x'));
        const auto before = resident_bytes();
        std::vector<std::unique_ptr<caller>> callers;
        for (std::size_t i = 0; i < count; ++i) {
            callers.push_back(std::make_unique<caller>(entryd->caller_port()));
            callers.back()->send(post_line + "Content-Length: 60000\r\n\r\n" + string(60'000, 'x'));
            CPPUNIT_ASSERT(callers.back()->read().complete);
            string().swap(callers.back()->socket.buffer);
        }
        CPPUNIT_ASSERT_EQUAL(count, entryd->callers());
        const auto after = resident_bytes();
        // The shadow memory of sanitizers is resident too, so memory is checked without them only.
        if (!under_sanitizer)
            CPPUNIT_ASSERT(after < before + count * limit_each);
    }

    // A backend server may respond before the body is complete. The caller must get that response
    // and must not hang.
    void early_response_ends_the_upload() {
        const auto entryd = start_entryd({.max_body_bytes = 1LL << 30});
        fake_server server(*entryd, "b1", echo);
        // fake_server always reads the whole request, so this test runs its own server.
        boost::asio::io_context io;
        tcp::acceptor acceptor(io, {boost::asio::ip::make_address("127.0.0.1"), 0});
        std::thread refuser([&] {
            blocking_socket socket(acceptor.accept());
            socket.take_until("\r\n\r\n");
            socket.send("HTTP/1.1 507 Full\r\nContent-Length: 4\r\n\r\nfull");
            socket.take(1 << 30);
        });
        clementine::routing::announcement message{.id = "b2",
                                                  .service = "svc",
                                                  .address = "127.0.0.1",
                                                  .port = acceptor.local_endpoint().port(),
                                                  .slots = 8,
                                                  .connections = 64,
                                                  .availability_zone = "az-1",
                                                  .instance = "i",
                                                  .busy = std::nullopt,
                                                  .token = ""};
        entryd->dispatcher().leave("b1");
        const auto serving = [&] {
            const auto reply = entryd->dispatcher().announce(message);
            message.token = reply.token;
            return reply.state == clementine::routing::server_state::serving;
        };
        CPPUNIT_ASSERT(eventually(serving));
        caller upload(entryd->caller_port());
        upload.send(post_line + "Content-Length: 1000000000\r\n\r\n" + string(200'000, 'x'));
        const auto response = upload.read();
        CPPUNIT_ASSERT_EQUAL(507, response.status);
        CPPUNIT_ASSERT_EQUAL(string("full"), response.body);
        CPPUNIT_ASSERT_EQUAL(string("close"), response.fields.at("connection"));
        refuser.join();
    }

    // If a caller aborts its upload, the backend server must not receive a complete request.
    void interrupted_upload_is_not_complete() {
        const auto entryd = start_entryd();
        fake_server server(*entryd, "b1", echo);
        for (const string fields :
             {"Content-Length: 500000\r\n\r\n", "Transfer-Encoding: chunked\r\n\r\n7a120\r\n"}) {
            caller upload(entryd->caller_port());
            upload.send(post_line + fields + string(200'000, 'x'));
            CPPUNIT_ASSERT(eventually([&] { return server.body_bytes > 0; }));
            upload.socket.reset();
            CPPUNIT_ASSERT(eventually([&] { return entryd->callers() == 0; }));
            server.body_bytes = 0;
        }
        CPPUNIT_ASSERT_EQUAL(0, server.requests());
        CPPUNIT_ASSERT_EQUAL(200, call(*entryd, "GET", "/").status);
    }

    void full_queue_refuses_with_not_run() {
        // The first request is held by the test. The long times keep its deadline and the check for
        // silent connections from ending it on a slow machine.
        const auto entryd = start_entryd({.timeout = 60'000, .silent = 60'000, .queue_length = 1});
        std::atomic<bool> answer{false};
        fake_server server(
            *entryd, "b1",
            [&](blocking_socket& socket, const received_request& request) {
                eventually([&] { return answer.load(); });
                socket.send(ok_response(request, "x"));
            },
            1);
        const auto post = [&] {
            return std::async(std::launch::async, [&] {
                caller item(entryd->caller_port());
                item.send(post_line + "Content-Length: 0\r\n\r\n");
                return item.read();
            });
        };
        auto holder = post();
        CPPUNIT_ASSERT(eventually([&] { return server.requests() == 1; }));
        // Of two more requests, one is queued and the other one is refused, in either order.
        std::array<std::future<received_response>, 2> more{post(), post()};
        const auto is_done = [](const std::future<received_response>& item) {
            return item.wait_for(std::chrono::seconds(0)) == std::future_status::ready;
        };
        CPPUNIT_ASSERT(eventually([&] { return is_done(more[0]) || is_done(more[1]); }));
        const std::size_t first = is_done(more[0]) ? 0 : 1;
        const auto refused = more[first].get();
        CPPUNIT_ASSERT_EQUAL(503, refused.status);
        CPPUNIT_ASSERT_EQUAL(string("queue-full\n"), refused.body);
        CPPUNIT_ASSERT_EQUAL(string("not-run"), refused.outcome());
        CPPUNIT_ASSERT(!is_done(more[1 - first]));
        answer = true;
        CPPUNIT_ASSERT_EQUAL(string("answered"), holder.get().outcome());
        CPPUNIT_ASSERT_EQUAL(string("answered"), more[1 - first].get().outcome());
        CPPUNIT_ASSERT_EQUAL(2, server.requests());
    }

    // A request with a key must not reach a backend server unless it has won the claim.
    void idempotency_key_is_claimed_before_sending() {
        fake_claims claims;
        const auto entryd = start_entryd({}, &claims);
        fake_server server(*entryd, "b1",
                           [](blocking_socket& socket, const received_request& request) {
                               if (request.target == "/lost")
                                   socket.close();
                               else
                                   socket.send(ok_response(request, "x"));
                           });
        const string key = "Idempotency-Key: k\r\n";
        CPPUNIT_ASSERT_EQUAL(200, call(*entryd, "POST", "/", key, "x").status);
        CPPUNIT_ASSERT(eventually([&] { return claims.finished() == "answered "; }));
        CPPUNIT_ASSERT_EQUAL(502, call(*entryd, "POST", "/lost", key, "x").status);
        CPPUNIT_ASSERT(eventually([&] { return claims.finished() == "answered unknown "; }));
        claims.answer = {false, 0, clementine::routing::key_state::in_progress};
        const auto refused = call(*entryd, "POST", "/", key, "x");
        CPPUNIT_ASSERT_EQUAL(409, refused.status);
        CPPUNIT_ASSERT_EQUAL(string("not-run"), refused.outcome());
        CPPUNIT_ASSERT_EQUAL(string("in-progress"), refused.fields.at("clementine-first-outcome"));
        CPPUNIT_ASSERT_EQUAL(2, server.requests());
        // Idempotent requests need no claim.
        CPPUNIT_ASSERT_EQUAL(200, call(*entryd, "GET", "/", key).status);
        const auto without = start_entryd();
        CPPUNIT_ASSERT_EQUAL(string("not-run"), call(*without, "POST", "/", key, "x").outcome());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(caller_test);

} // namespace
