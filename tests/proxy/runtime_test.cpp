// Tests draining, the announcement and admin interfaces, and recovery from silent connections.
#include "proxy/admin_api.h"
#include "proxy/announcement_api.h"
#include "proxy/fixture.h"

#include <cppunit/extensions/HelperMacros.h>

#include <future>

namespace {

using namespace proxy_test;
using std::string;

string raw_call(unsigned short port, const string& method, const string& target,
                const string& body = "") {
    caller connection(port);
    connection.send(method + ' ' + target + " HTTP/1.1\r\nHost: x\r\nContent-Length: " +
                    std::to_string(body.size()) + "\r\n\r\n" + body);
    const auto response = connection.read();
    return std::to_string(response.status) + ' ' + response.body;
}

const string announcement = R"({"service":"svc","address":"127.0.0.1","port":9,"slots":8,)"
                            R"("connections":64,"availability_zone":"az-1","instance":"i1")";

class runtime_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(runtime_test);
    CPPUNIT_TEST(drain_completes_requests_in_progress);
    CPPUNIT_TEST(stop_ends_requests_in_progress);
    CPPUNIT_TEST(announcements_are_checked);
    CPPUNIT_TEST(admin_interface_serves_health_and_metrics);
    CPPUNIT_TEST(silent_connections_are_replaced);
    CPPUNIT_TEST(silent_non_idempotent_request_waits_for_its_deadline);
    CPPUNIT_TEST(slow_server_keeps_its_connections);
    CPPUNIT_TEST_SUITE_END();

  public:
    void drain_completes_requests_in_progress() {
        const auto entryd = start_entryd({.drain = 300});
        std::atomic<bool> answer{false};
        fake_server server(*entryd, "b1",
                           [&](blocking_socket& socket, const received_request& request) {
                               if (request.target == "/slow")
                                   eventually([&] { return answer.load(); });
                               socket.send(ok_response(request, "done"));
                           });
        caller slow(entryd->caller_port());
        slow.send("GET /slow HTTP/1.1\r\nHost: svc.example\r\n\r\n");
        caller idle(entryd->caller_port());
        CPPUNIT_ASSERT(eventually([&] { return server.requests() == 1; }));
        const auto admin = entryd->admin_port();
        CPPUNIT_ASSERT_EQUAL(string("200 ready\n"), raw_call(admin, "GET", "/ready"));
        auto drained = std::async(std::launch::async, [&] { entryd->drain(); });
        CPPUNIT_ASSERT(eventually([&] { return entryd->context().draining.load(); }));
        CPPUNIT_ASSERT_EQUAL(string("503 draining\n"), raw_call(admin, "GET", "/ready"));
        // The load balancer may not have seen the drain yet, so new callers are still served.
        const auto late = call(*entryd, "GET", "/");
        CPPUNIT_ASSERT_EQUAL(200, late.status);
        CPPUNIT_ASSERT_EQUAL(string("close"), late.fields.at("connection"));
        CPPUNIT_ASSERT(idle.socket.at_end());
        answer = true;
        const auto response = slow.read();
        CPPUNIT_ASSERT_EQUAL(string("done"), response.body);
        drained.get();
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, entryd->callers());
    }

    void stop_ends_requests_in_progress() {
        const auto entryd = start_entryd();
        std::atomic<bool> answer{false};
        fake_server server(
            *entryd, "b1",
            [&](blocking_socket&, const received_request&) {
                eventually([&] { return answer.load(); });
            },
            1);
        std::vector<std::unique_ptr<caller>> callers;
        for (int i = 0; i < 4; ++i) {
            callers.push_back(std::make_unique<caller>(entryd->caller_port()));
            callers.back()->send("GET / HTTP/1.1\r\nHost: svc.example\r\n\r\n");
        }
        CPPUNIT_ASSERT(eventually([&] { return server.requests() == 1; }));
        entryd->stop();
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, entryd->callers());
        CPPUNIT_ASSERT_EQUAL(0, entryd->dispatcher().in_flight());
        answer = true;
    }

    void announcements_are_checked() {
        const auto entryd = start_entryd();
        const auto port = entryd->backend_port();
        const auto put = [&](const string& id, const string& body) {
            return raw_call(port, "PUT", "/v1/backend-servers/" + id, body);
        };
        CPPUNIT_ASSERT(put("b1", announcement + "}").starts_with("200 {\"home\":\"e1\""));
        CPPUNIT_ASSERT(put("b1", "{").starts_with("400 "));
        CPPUNIT_ASSERT(put("b1", "[]").starts_with("400 "));
        CPPUNIT_ASSERT(put("b1", announcement + ",\"extra\":1}").starts_with("400 "));
        CPPUNIT_ASSERT(put("b1", announcement + ",\"busy\":-1}").starts_with("400 "));
        CPPUNIT_ASSERT(put("b%201", announcement + "}").starts_with("400 "));
        auto other = announcement;
        other.replace(other.find("svc"), 3, "abc");
        CPPUNIT_ASSERT(put("b2", other + "}").starts_with("422 "));
        CPPUNIT_ASSERT(raw_call(port, "GET", "/v1/backend-servers/b1").find("in_flight") !=
                       string::npos);
        CPPUNIT_ASSERT(raw_call(port, "DELETE", "/v1/backend-servers/b1").find("leaving") !=
                       string::npos);
        CPPUNIT_ASSERT(raw_call(port, "POST", "/v1/backend-servers/b1").starts_with("405 "));
        CPPUNIT_ASSERT(raw_call(port, "GET", "/other").starts_with("404 "));
    }

    void admin_interface_serves_health_and_metrics() {
        const auto entryd = start_entryd();
        fake_server server(*entryd, "b1",
                           [](blocking_socket& socket, const received_request& request) {
                               socket.send(ok_response(request, "x"));
                           });
        call(*entryd, "GET", "/", "Clementine-Workspace: shop\r\n");
        const auto admin = entryd->admin_port();
        CPPUNIT_ASSERT_EQUAL(string("200 healthy\n"), raw_call(admin, "GET", "/health"));
        CPPUNIT_ASSERT(raw_call(admin, "GET", "/x").starts_with("404 "));
        CPPUNIT_ASSERT(raw_call(admin, "POST", "/health").starts_with("405 "));
        const string series =
            "clementine_requests{service=\"svc\",workspace=\"shop\",outcome=\"answered\"} 1\n";
        // The request is counted after its response was written.
        CPPUNIT_ASSERT(eventually(
            [&] { return raw_call(admin, "GET", "/metrics").find(series) != string::npos; }));
    }

    // The open connections no longer respond while new connections work.
    void silent_connections_are_replaced() {
        const auto entryd = start_entryd({.timeout = 15'000});
        std::atomic<int> waiting{0};
        fake_server server(*entryd, "b1",
                           [&](blocking_socket& socket, const received_request& request) {
                               ++waiting;
                               if (request.target == "/warm")
                                   eventually([&] { return waiting >= 4; });
                               socket.send(ok_response(request, request.target));
                           });
        std::vector<std::unique_ptr<caller>> callers;
        for (int i = 0; i < 4; ++i) {
            callers.push_back(std::make_unique<caller>(entryd->caller_port()));
            callers.back()->send("GET /warm HTTP/1.1\r\nHost: svc.example\r\n\r\n");
        }
        for (const auto& item : callers)
            CPPUNIT_ASSERT_EQUAL(string("/warm"), item->read().body);
        server.silent_up_to = server.connections();
        const clementine::steady_clock clock;
        const auto start = clock.now();
        callers[0]->send("GET /again HTTP/1.1\r\nHost: svc.example\r\n\r\n");
        const auto response = callers[0]->read();
        CPPUNIT_ASSERT_EQUAL(string("answered"), response.outcome());
        CPPUNIT_ASSERT_EQUAL(string("/again"), response.body);
        // Required recovery time; detection, probe and retry take about 2,000 ms.
        CPPUNIT_ASSERT(clock.now() - start < 5'000);
        const auto end = clock.now();
        CPPUNIT_ASSERT_EQUAL(200, call(*entryd, "GET", "/new").status);
        CPPUNIT_ASSERT(clock.now() - end < 5'000);
    }

    void silent_non_idempotent_request_waits_for_its_deadline() {
        const auto entryd = start_entryd({.timeout = 4'000, .silent = 500});
        fake_server server(*entryd, "b1",
                           [](blocking_socket& socket, const received_request& request) {
                               if (request.method != "POST")
                                   socket.send(ok_response(request, "x"));
                           });
        CPPUNIT_ASSERT_EQUAL(200, call(*entryd, "GET", "/").status);
        caller post(entryd->caller_port());
        post.send("POST / HTTP/1.1\r\nHost: svc.example\r\nContent-Length: 1\r\n\r\nx");
        CPPUNIT_ASSERT(eventually([&] { return server.requests() == 2; }));
        server.silent_up_to = server.connections();
        const auto response = post.read();
        CPPUNIT_ASSERT_EQUAL(504, response.status);
        CPPUNIT_ASSERT_EQUAL(string("unknown"), response.outcome());
        CPPUNIT_ASSERT_EQUAL(2, server.requests());
        CPPUNIT_ASSERT(entryd->counters().counter("clementine_silent_connections_replaced",
                                                  {{"backend_server", "b1"}}) > 0);
    }

    // A backend server whose old connections answer probes is slow, not silent.
    void slow_server_keeps_its_connections() {
        const auto entryd = start_entryd({.timeout = 20'000, .silent = 300});
        fake_server server(*entryd, "b1",
                           [](blocking_socket& socket, const received_request& request) {
                               if (request.target == "/slow")
                                   std::this_thread::sleep_for(std::chrono::milliseconds(2'000));
                               socket.send(ok_response(request, "x"));
                           });
        caller first(entryd->caller_port());
        caller second(entryd->caller_port());
        first.send("GET /slow HTTP/1.1\r\nHost: svc.example\r\n\r\n");
        CPPUNIT_ASSERT(eventually([&] { return server.requests() == 1; }));
        second.send("GET /fast HTTP/1.1\r\nHost: svc.example\r\n\r\n");
        CPPUNIT_ASSERT_EQUAL(string("x"), second.read().body);
        CPPUNIT_ASSERT_EQUAL(string("x"), first.read().body);
        CPPUNIT_ASSERT_EQUAL(2, server.requests());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(runtime_test);

} // namespace
