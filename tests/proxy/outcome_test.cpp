// Tests the reported outcome for each point at which an attempt can fail: a request that may have
// run is never reported as "not run", and a non-idempotent one is never sent twice.
#include "proxy/fixture.h"

#include <cppunit/extensions/HelperMacros.h>

namespace {

using namespace proxy_test;
using std::string;

class outcome_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(outcome_test);
    CPPUNIT_TEST(refused_connection_is_not_run);
    CPPUNIT_TEST(close_before_response_is_unknown);
    CPPUNIT_TEST(close_mid_header_is_unknown);
    CPPUNIT_TEST(truncated_response_never_looks_complete);
    CPPUNIT_TEST(late_response_is_discarded);
    CPPUNIT_TEST(wrong_request_id_is_unknown);
    CPPUNIT_TEST(not_run_is_retried_on_another_server);
    CPPUNIT_TEST(not_run_everywhere_is_not_run);
    CPPUNIT_TEST(not_run_needs_status_503);
    CPPUNIT_TEST(leaving_server_gets_no_more_requests);
    CPPUNIT_TEST(response_without_length_is_unknown);
    CPPUNIT_TEST(interim_response_is_skipped);
    CPPUNIT_TEST(unsolicited_bytes_are_discarded);
    CPPUNIT_TEST(idempotent_request_is_retried);
    CPPUNIT_TEST(non_idempotent_request_is_never_retried);
    CPPUNIT_TEST(closed_idle_connection_is_not_an_attempt);
    CPPUNIT_TEST(queued_request_is_withdrawn_when_its_caller_closes);
    CPPUNIT_TEST_SUITE_END();

  public:
    void refused_connection_is_not_run() {
        const auto entryd = start_entryd();
        fake_server server(*entryd, "b1", [](auto&, const auto&) {});
        server.stop_listening();
        for (const string method : {"GET", "POST"}) {
            const auto response = call(*entryd, method, "/");
            CPPUNIT_ASSERT_EQUAL(503, response.status);
            CPPUNIT_ASSERT_EQUAL(string("not-run"), response.outcome());
        }
        CPPUNIT_ASSERT_EQUAL(0, server.requests());
    }

    void close_before_response_is_unknown() {
        const auto entryd = start_entryd();
        fake_server server(*entryd, "b1",
                           [](blocking_socket& socket, const auto&) { socket.close(); });
        const auto response = call(*entryd, "POST", "/", "", "x");
        CPPUNIT_ASSERT_EQUAL(502, response.status);
        CPPUNIT_ASSERT_EQUAL(string("unknown"), response.outcome());
        CPPUNIT_ASSERT_EQUAL(1, server.requests());
    }

    void close_mid_header_is_unknown() {
        const auto entryd = start_entryd();
        fake_server server(*entryd, "b1", [](blocking_socket& socket, const auto&) {
            socket.send("HTTP/1.1 200 OK\r\nContent-Le");
            socket.close();
        });
        const auto response = call(*entryd, "POST", "/", "", "x");
        CPPUNIT_ASSERT_EQUAL(502, response.status);
        CPPUNIT_ASSERT_EQUAL(string("unknown"), response.outcome());
        CPPUNIT_ASSERT_EQUAL(1, server.requests());
    }

    void truncated_response_never_looks_complete() {
        const auto entryd = start_entryd();
        fake_server server(
            *entryd, "b1", [](blocking_socket& socket, const received_request& request) {
                if (request.target == "/length")
                    socket.send("HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nten bytes.");
                else
                    socket.send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                                "a\r\nten bytes.\r\n");
                socket.close();
            });
        for (const string target : {"/length", "/chunked"}) {
            const auto response = call(*entryd, "GET", target);
            CPPUNIT_ASSERT_EQUAL(200, response.status);
            CPPUNIT_ASSERT(!response.complete);
        }
        CPPUNIT_ASSERT_EQUAL(2, server.requests());
    }

    void late_response_is_discarded() {
        const auto entryd = start_entryd();
        std::atomic<bool> answer{false};
        fake_server server(*entryd, "b1",
                           [&](blocking_socket& socket, const received_request& request) {
                               if (request.target == "/late")
                                   eventually([&] { return answer.load(); });
                               socket.send(ok_response(request, request.target));
                           });
        const auto late = call(*entryd, "GET", "/late", "Clementine-Timeout-Ms: 200\r\n");
        CPPUNIT_ASSERT_EQUAL(504, late.status);
        CPPUNIT_ASSERT_EQUAL(string("unknown"), late.outcome());
        answer = true;
        for (int i = 0; i < 10; ++i) {
            const auto target = "/next" + std::to_string(i);
            const auto next = call(*entryd, "GET", target);
            CPPUNIT_ASSERT_EQUAL(target, next.body);
        }
    }

    void wrong_request_id_is_unknown() {
        const auto entryd = start_entryd();
        fake_server server(*entryd, "b1", [](blocking_socket& socket, const received_request&) {
            socket.send("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n"
                        "Clementine-Request-Id: other\r\n\r\nwrong");
        });
        const auto response = call(*entryd, "POST", "/", "Clementine-Request-Id: mine\r\n", "x");
        CPPUNIT_ASSERT_EQUAL(502, response.status);
        CPPUNIT_ASSERT_EQUAL(string("unknown"), response.outcome());
        CPPUNIT_ASSERT_EQUAL(string("mine"), response.fields.at("clementine-request-id"));
        CPPUNIT_ASSERT(response.body.find("wrong\n") == string::npos);
        CPPUNIT_ASSERT_EQUAL(1, server.requests());
    }

    static void answer_not_run(blocking_socket& socket, const received_request&) {
        socket.send("HTTP/1.1 503 Busy\r\nClementine-Not-Run: 1\r\nContent-Length: 4\r\n\r\nbusy");
    }

    void not_run_is_retried_on_another_server() {
        const auto entryd = start_entryd();
        fake_server busy(*entryd, "b1", answer_not_run);
        fake_server free(*entryd, "b2",
                         [](blocking_socket& socket, const received_request& request) {
                             socket.send(ok_response(request, request.body));
                         });
        // The first server is chosen at random; the minimum retry budget covers three refusals.
        for (int i = 0; i < 3; ++i) {
            const auto response = call(*entryd, "POST", "/", "", "data");
            CPPUNIT_ASSERT_EQUAL(200, response.status);
            CPPUNIT_ASSERT_EQUAL(string("answered"), response.outcome());
            CPPUNIT_ASSERT_EQUAL(string("data"), response.body);
        }
        CPPUNIT_ASSERT_EQUAL(3, free.requests());
    }

    void not_run_everywhere_is_not_run() {
        const auto entryd = start_entryd();
        fake_server busy(*entryd, "b1", answer_not_run);
        const auto response = call(*entryd, "POST", "/", "", "data");
        CPPUNIT_ASSERT_EQUAL(503, response.status);
        CPPUNIT_ASSERT_EQUAL(string("not-run"), response.outcome());
    }

    void not_run_needs_status_503() {
        const auto entryd = start_entryd();
        fake_server server(
            *entryd, "b1", [](blocking_socket& socket, const received_request& request) {
                socket.send(ok_response(request, "ran", "Clementine-Not-Run: 1\r\n"));
            });
        const auto response = call(*entryd, "POST", "/", "", "data");
        CPPUNIT_ASSERT_EQUAL(200, response.status);
        CPPUNIT_ASSERT_EQUAL(string("answered"), response.outcome());
        CPPUNIT_ASSERT_EQUAL(1, server.requests());
    }

    void leaving_server_gets_no_more_requests() {
        const auto entryd = start_entryd();
        fake_server server(
            *entryd, "b1", [](blocking_socket& socket, const received_request& request) {
                socket.send(ok_response(request, "last", "Clementine-Leaving: 1\r\n"));
            });
        CPPUNIT_ASSERT_EQUAL(string("last"), call(*entryd, "GET", "/").body);
        const auto next = call(*entryd, "GET", "/", "Clementine-Timeout-Ms: 200\r\n");
        CPPUNIT_ASSERT_EQUAL(string("not-run"), next.outcome());
        CPPUNIT_ASSERT_EQUAL(1, server.requests());
    }

    // Without a length, the end of the connection cannot be told from a crash within the body.
    void response_without_length_is_unknown() {
        const auto entryd = start_entryd();
        fake_server server(*entryd, "b1", [](blocking_socket& socket, const received_request&) {
            socket.send("HTTP/1.1 200 OK\r\n\r\nbody");
            socket.close();
        });
        const auto response = call(*entryd, "POST", "/", "", "x");
        CPPUNIT_ASSERT_EQUAL(502, response.status);
        CPPUNIT_ASSERT_EQUAL(1, server.requests());
    }

    void interim_response_is_skipped() {
        const auto entryd = start_entryd();
        fake_server server(*entryd, "b1",
                           [](blocking_socket& socket, const received_request& request) {
                               socket.send("HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" +
                                           ok_response(request, "b"));
                           });
        CPPUNIT_ASSERT_EQUAL(string("b"), call(*entryd, "GET", "/").body);
    }

    void unsolicited_bytes_are_discarded() {
        const auto entryd = start_entryd();
        fake_server server(*entryd, "b1",
                           [](blocking_socket& socket, const received_request& request) {
                               socket.send(ok_response(request, request.target) +
                                           "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nevil");
                           });
        for (int i = 0; i < 5; ++i) {
            const auto target = "/n" + std::to_string(i);
            CPPUNIT_ASSERT_EQUAL(target, call(*entryd, "GET", target).body);
        }
    }

    void idempotent_request_is_retried() {
        const auto entryd = start_entryd();
        std::atomic<int> count{0};
        fake_server server(*entryd, "b1",
                           [&](blocking_socket& socket, const received_request& request) {
                               if (++count == 1)
                                   socket.reset();
                               else
                                   socket.send(ok_response(request, "second"));
                           });
        CPPUNIT_ASSERT_EQUAL(string("second"), call(*entryd, "GET", "/").body);
        CPPUNIT_ASSERT_EQUAL(2, server.requests());
    }

    void non_idempotent_request_is_never_retried() {
        const auto entryd = start_entryd();
        fake_server server(*entryd, "b1",
                           [](blocking_socket& socket, const auto&) { socket.close(); });
        call(*entryd, "POST", "/", "Clementine-Idempotent: yes\r\n", "x");
        CPPUNIT_ASSERT_EQUAL(1, server.requests());
        call(*entryd, "GET", "/", "Clementine-Idempotent: no\r\n");
        CPPUNIT_ASSERT_EQUAL(2, server.requests());
    }

    // An idle connection that the backend server closed must not make the next request "unknown".
    void closed_idle_connection_is_not_an_attempt() {
        const auto entryd = start_entryd();
        std::atomic<bool> closed{false};
        fake_server server(*entryd, "b1",
                           [&](blocking_socket& socket, const received_request& request) {
                               socket.send(ok_response(request, "x"));
                               if (request.target == "/close") {
                                   socket.close();
                                   closed = true;
                               }
                           });
        CPPUNIT_ASSERT_EQUAL(200, call(*entryd, "GET", "/close").status);
        CPPUNIT_ASSERT(eventually([&] { return closed.load(); }));
        const auto response = call(*entryd, "POST", "/", "", "y");
        CPPUNIT_ASSERT_EQUAL(string("answered"), response.outcome());
        CPPUNIT_ASSERT_EQUAL(2, server.requests());
    }

    void queued_request_is_withdrawn_when_its_caller_closes() {
        const auto entryd = start_entryd();
        std::atomic<bool> answer{false};
        fake_server server(
            *entryd, "b1",
            [&](blocking_socket& socket, const received_request& request) {
                eventually([&] { return answer.load(); });
                socket.send(ok_response(request, "x"));
            },
            1);
        caller first(entryd->caller_port());
        first.send("GET /1 HTTP/1.1\r\nHost: svc.example\r\n\r\n");
        CPPUNIT_ASSERT(eventually([&] { return server.requests() == 1; }));
        {
            caller queued(entryd->caller_port());
            queued.send("GET /2 HTTP/1.1\r\nHost: svc.example\r\n\r\n");
            queued.socket.end_sending();
            CPPUNIT_ASSERT_EQUAL(string("not-run"), queued.read().outcome());
        }
        answer = true;
        CPPUNIT_ASSERT_EQUAL(string("x"), first.read().body);
        CPPUNIT_ASSERT_EQUAL(1, server.requests());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(outcome_test);

} // namespace
