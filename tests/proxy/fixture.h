// Runs an entryd on loopback with fake backend servers and callers, all on real sockets.
#pragma once

#include "base/clock.h"
#include "proxy/entryd_runtime.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

namespace proxy_test {

using tcp = boost::asio::ip::tcp;
using clementine::time_ms;

// Blocking socket with a timeout, so that a fault fails a test instead of hanging it.
class blocking_socket {
  public:
    explicit blocking_socket(tcp::socket socket);

    void send(const std::string& bytes);
    // Receives once into the buffer; false at the end of stream, on an error or after the timeout.
    bool receive();
    // Removes and returns bytes up to and including `delimiter`; nothing if the stream ends before.
    std::optional<std::string> take_until(const std::string& delimiter);
    std::optional<std::string> take(std::size_t size);
    // True if the peer closed or reset the connection and all bytes were read.
    bool at_end();
    void close();
    // Shuts down the sending half only.
    void end_sending();
    // Aborts the connection with a reset.
    void reset();

    std::string buffer;

  private:
    tcp::socket socket_;
};

// One request as received by a backend server.
struct received_request {
    std::string method;
    std::string target;
    std::map<std::string, std::string> fields; // names in lower case
    std::string body;
    int connection = 0; // number of its connection, from 1
};

// Backend server with one thread for each connection; calls `handler` for each request but probes.
class fake_server {
  public:
    using handler = std::function<void(blocking_socket&, const received_request&)>;

    fake_server(clementine::proxy::entryd_runtime& entryd, std::string id, handler answer,
                int slots = 8);
    fake_server(const fake_server&) = delete;
    fake_server& operator=(const fake_server&) = delete;
    ~fake_server();

    // Waits until the dispatcher reports this backend server as serving.
    void wait_until_serving();
    void stop_listening();
    int requests() const { return requests_; }
    int connections() const { return connections_; }
    // Connections numbered up to this one read further requests but never respond.
    std::atomic<int> silent_up_to{0};
    // Body bytes received; counted also if bodies are not kept.
    std::atomic<std::uint64_t> body_bytes{0};
    bool keep_bodies = true;

  private:
    void accept_loop();
    void serve(const std::shared_ptr<blocking_socket>& socket, int number);
    std::optional<received_request> read_request(blocking_socket& socket);
    bool read_body(blocking_socket& socket, received_request& request);
    void announce_loop();

    clementine::proxy::entryd_runtime& entryd_;
    std::string id_;
    handler answer_;
    int slots_;
    boost::asio::io_context io_;
    tcp::acceptor acceptor_;
    std::atomic<int> requests_{0};
    std::atomic<int> connections_{0};
    std::atomic<bool> stopping_{false};
    std::mutex mutex_;
    std::vector<std::shared_ptr<blocking_socket>> sockets_;
    std::vector<std::thread> threads_;
    std::thread acceptor_thread_;
    std::thread announcer_;
};

// One response as received by a caller.
struct received_response {
    int status = 0; // 0 if the connection ended before a status line
    std::map<std::string, std::string> fields;
    std::string body;
    bool complete = false;

    std::string outcome() const;
};

class caller {
  public:
    explicit caller(unsigned short port);

    void send(const std::string& bytes) { socket.send(bytes); }
    received_response read(bool to_head = false);

    blocking_socket socket;

  private:
    bool read_chunks(std::string& body);

    static boost::asio::io_context& io();
};

struct entryd_options {
    time_ms timeout{5'000};
    time_ms silent{1'500};
    time_ms header{10'000};
    time_ms idle{60'000};
    time_ms drain{0};
    std::int64_t max_body_bytes = 1 << 20;
    std::int64_t queue_length = 256;
};

// Starts an entryd with one service "svc" on host "svc.example" and a workspace "shop".
std::unique_ptr<clementine::proxy::entryd_runtime>
start_entryd(const entryd_options& options = {}, clementine::proxy::key_claims* claims = nullptr);

// Sends one request on its own connection and returns the response.
received_response call(const clementine::proxy::entryd_runtime& entryd, const std::string& method,
                       const std::string& target, const std::string& fields = "",
                       const std::string& body = "");

// Builds a response with status 200, a body and the request id of the request.
std::string ok_response(const received_request& request, const std::string& body,
                        const std::string& fields = "");

// Waits up to 20 s until a condition holds.
bool eventually(const std::function<bool()>& condition);

} // namespace proxy_test
