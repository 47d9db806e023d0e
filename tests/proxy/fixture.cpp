#include "proxy/fixture.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>

#include <algorithm>
#include <array>
#include <chrono>
#include <stdexcept>
#include <sys/socket.h>

namespace proxy_test {

namespace asio = boost::asio;
using boost::system::error_code;

namespace {

constexpr int receive_timeout_s = 20;

const clementine::steady_clock& real_clock() {
    static const clementine::steady_clock clock;
    return clock;
}

std::string lower(std::string text) {
    std::ranges::transform(text, text.begin(), [](unsigned char c) { return std::tolower(c); });
    return text;
}

// Reads header lines up to the empty one.
std::map<std::string, std::string> read_fields(blocking_socket& socket) {
    std::map<std::string, std::string> fields;
    while (const auto line = socket.take_until("\r\n")) {
        if (*line == "\r\n")
            break;
        const auto colon = line->find(": ");
        if (colon != std::string::npos)
            fields[lower(line->substr(0, colon))] =
                line->substr(colon + 2, line->size() - colon - 4);
    }
    return fields;
}

} // namespace

blocking_socket::blocking_socket(tcp::socket socket) : socket_(std::move(socket)) {
    const timeval limit{receive_timeout_s, 0};
    ::setsockopt(socket_.native_handle(), SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
    ::setsockopt(socket_.native_handle(), SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof limit);
}

void blocking_socket::send(const std::string& bytes) {
    std::size_t sent = 0;
    while (sent < bytes.size()) {
        const auto count =
            ::send(socket_.native_handle(), bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (count <= 0)
            return;
        sent += static_cast<std::size_t>(count);
    }
}

bool blocking_socket::receive() {
    std::array<char, 65'536> block{};
    const auto count = ::recv(socket_.native_handle(), block.data(), block.size(), 0);
    if (count <= 0)
        return false;
    buffer.append(block.data(), static_cast<std::size_t>(count));
    return true;
}

std::optional<std::string> blocking_socket::take_until(const std::string& delimiter) {
    auto end = buffer.find(delimiter);
    while (end == std::string::npos) {
        if (!receive())
            return std::nullopt;
        end = buffer.find(delimiter);
    }
    return take(end + delimiter.size());
}

std::optional<std::string> blocking_socket::take(std::size_t size) {
    while (buffer.size() < size) {
        if (!receive())
            return std::nullopt;
    }
    auto out = buffer.substr(0, size);
    buffer.erase(0, size);
    return out;
}

bool blocking_socket::at_end() {
    if (!buffer.empty())
        return false;
    char byte = 0;
    const auto count = ::recv(socket_.native_handle(), &byte, 1, MSG_PEEK);
    return count == 0 || (count < 0 && errno == ECONNRESET);
}

void blocking_socket::close() {
    // The descriptor stays open, because another thread may be receiving on it.
    ::shutdown(socket_.native_handle(), SHUT_RDWR);
}

void blocking_socket::end_sending() {
    ::shutdown(socket_.native_handle(), SHUT_WR);
}

void blocking_socket::reset() {
    // Linux resets a connection when its socket is connected to AF_UNSPEC. The descriptor stays
    // open, because another thread may still use it.
    const sockaddr no_address{.sa_family = AF_UNSPEC, .sa_data = {}};
    ::connect(socket_.native_handle(), &no_address, sizeof no_address);
}

fake_server::fake_server(clementine::proxy::entryd_runtime& entryd, std::string id, handler answer,
                         int slots)
    : entryd_(entryd), id_(std::move(id)), answer_(std::move(answer)), slots_(slots),
      acceptor_(io_, {asio::ip::make_address("127.0.0.1"), 0}) {
    acceptor_thread_ = std::thread([this] { accept_loop(); });
    announcer_ = std::thread([this] { announce_loop(); });
    wait_until_serving();
}

fake_server::~fake_server() {
    stopping_ = true;
    announcer_.join();
    stop_listening();
    {
        std::lock_guard lock(mutex_);
        for (const auto& socket : sockets_)
            socket->close();
    }
    for (auto& thread : threads_)
        thread.join();
}

void fake_server::stop_listening() {
    if (!acceptor_thread_.joinable())
        return;
    // A shutdown wakes the blocking accept.
    ::shutdown(acceptor_.native_handle(), SHUT_RDWR);
    acceptor_thread_.join();
    error_code ignored;
    acceptor_.close(ignored);
}

void fake_server::wait_until_serving() {
    const auto serving = [this] {
        return entryd_.dispatcher().describe(id_).state ==
               clementine::routing::server_state::serving;
    };
    if (!eventually(serving))
        throw std::runtime_error("the backend server is not serving");
}

void fake_server::announce_loop() {
    clementine::routing::announcement message;
    message.id = id_;
    message.service = "svc";
    message.address = "127.0.0.1";
    error_code ignored;
    message.port = acceptor_.local_endpoint(ignored).port();
    message.slots = slots_;
    message.connections = 64;
    message.availability_zone = "az-1";
    message.instance = id_ + "-1";
    while (!stopping_) {
        const auto reply = entryd_.dispatcher().announce(message);
        message.token = reply.token;
        const auto wait = std::min<time_ms>(reply.renew_ms, 100);
        std::this_thread::sleep_for(std::chrono::milliseconds(wait));
    }
}

void fake_server::accept_loop() {
    while (true) {
        error_code error;
        tcp::socket socket(io_);
        acceptor_.accept(socket, error);
        if (error)
            return;
        const auto shared = std::make_shared<blocking_socket>(std::move(socket));
        const int number = ++connections_;
        std::lock_guard lock(mutex_);
        sockets_.push_back(shared);
        threads_.emplace_back([this, shared, number] { serve(shared, number); });
    }
}

void fake_server::serve(const std::shared_ptr<blocking_socket>& socket, int number) {
    while (auto request = read_request(*socket)) {
        if (number <= silent_up_to)
            continue;
        if (request->method == "OPTIONS" && request->target == "*") {
            socket->send(ok_response(*request, ""));
            continue;
        }
        request->connection = number;
        ++requests_;
        answer_(*socket, *request);
    }
    socket->close();
}

std::optional<received_request> fake_server::read_request(blocking_socket& socket) {
    const auto line = socket.take_until("\r\n");
    if (!line)
        return std::nullopt;
    received_request request;
    const auto first = line->find(' ');
    const auto second = line->find(' ', first + 1);
    request.method = line->substr(0, first);
    request.target = line->substr(first + 1, second - first - 1);
    request.fields = read_fields(socket);
    if (!read_body(socket, request))
        return std::nullopt;
    return request;
}

bool fake_server::read_body(blocking_socket& socket, received_request& request) {
    const auto keep = [&](const std::string& bytes) {
        body_bytes += bytes.size();
        if (keep_bodies)
            request.body += bytes;
    };
    if (request.fields.count("transfer-encoding") > 0) {
        while (const auto line = socket.take_until("\r\n")) {
            const auto size = std::stoul(*line, nullptr, 16);
            const auto bytes = socket.take(size + 2);
            if (!bytes)
                return false;
            if (size == 0)
                return true;
            keep(bytes->substr(0, size));
        }
        return false;
    }
    const auto length = request.fields.find("content-length");
    std::uint64_t left = length == request.fields.end() ? 0 : std::stoull(length->second);
    while (left > 0) {
        const auto bytes = socket.take(std::min<std::uint64_t>(left, 65'536));
        if (!bytes)
            return false;
        left -= bytes->size();
        keep(*bytes);
    }
    return true;
}

std::string received_response::outcome() const {
    const auto it = fields.find("clementine-outcome");
    return it == fields.end() ? "" : it->second;
}

asio::io_context& caller::io() {
    static asio::io_context context;
    return context;
}

caller::caller(unsigned short port)
    : socket([port] {
          tcp::socket out(io());
          out.connect({asio::ip::make_address("127.0.0.1"), port});
          return out;
      }()) {}

received_response caller::read(bool to_head) {
    received_response out;
    const auto line = socket.take_until("\r\n");
    if (!line)
        return out;
    out.status = std::stoi(line->substr(9, 3));
    out.fields = read_fields(socket);
    if (out.status == 100)
        return read(to_head);
    if (to_head || out.status == 204 || out.status == 304) {
        out.complete = true;
    } else if (out.fields.count("transfer-encoding") > 0) {
        out.complete = read_chunks(out.body);
    } else if (out.fields.count("content-length") > 0) {
        const auto body = socket.take(std::stoull(out.fields["content-length"]));
        out.complete = body.has_value();
        out.body = body.value_or(socket.buffer);
    }
    return out;
}

bool caller::read_chunks(std::string& body) {
    while (const auto line = socket.take_until("\r\n")) {
        const auto size = std::stoul(*line, nullptr, 16);
        const auto bytes = socket.take(size + 2);
        if (!bytes)
            return false;
        if (size == 0)
            return true;
        body += bytes->substr(0, size);
    }
    return false;
}

std::unique_ptr<clementine::proxy::entryd_runtime>
start_entryd(const entryd_options& options, clementine::proxy::key_claims* claims) {
    clementine::proxy::entryd_settings settings;
    settings.node = "e1";
    settings.availability_zone = "az-1";
    settings.callers = settings.backends = settings.admin = {"127.0.0.1", 0};
    settings.timeouts.silent = options.silent;
    settings.timeouts.header = options.header;
    settings.timeouts.idle = options.idle;
    settings.timeouts.drain = options.drain;
    auto entryd = std::make_unique<clementine::proxy::entryd_runtime>(settings, real_clock());
    auto manifest = std::make_shared<clementine::manifest::manifest>();
    manifest->availability_zones = {"az-1"};
    clementine::manifest::service service;
    service.name = "svc";
    service.hosts = {"svc.example"};
    service.timeout = options.timeout;
    service.max_body_bytes = options.max_body_bytes;
    service.queue_length = options.queue_length;
    service.non_idempotent_methods = {"POST"};
    manifest->services.push_back(service);
    manifest->workspaces.push_back({"shop", 1});
    entryd->apply_manifest(manifest);
    if (claims != nullptr)
        entryd->set_key_claims(*claims);
    entryd->start();
    return entryd;
}

received_response call(const clementine::proxy::entryd_runtime& entryd, const std::string& method,
                       const std::string& target, const std::string& fields,
                       const std::string& body) {
    caller connection(entryd.caller_port());
    auto request = method + ' ' + target + " HTTP/1.1\r\nHost: svc.example\r\n" + fields;
    if (!body.empty() || method == "POST")
        request += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    connection.send(request + "\r\n" + body);
    return connection.read(method == "HEAD");
}

std::string ok_response(const received_request& request, const std::string& body,
                        const std::string& fields) {
    std::string out = "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n";
    const auto id = request.fields.find("clementine-request-id");
    if (id != request.fields.end())
        out += "Clementine-Request-Id: " + id->second + "\r\n";
    return out + fields + "\r\n" + body;
}

bool eventually(const std::function<bool()>& condition) {
    const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(20);
    while (std::chrono::steady_clock::now() < end) {
        if (condition())
            return true;
        std::this_thread::sleep_for(std::chrono::milliseconds(5));
    }
    return false;
}

} // namespace proxy_test
