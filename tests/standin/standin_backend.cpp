// A backend server: announces itself to entryds by plain HTTP, answers requests after a fixed
// processing time and writes ledger lines for the start and end of each request.
//
// Ledger lines: "start ID", "end ID", "limit slots N" or "limit connections N" when more requests
// or connections arrive than it announced, "late ID" for a request that starts over 3 s after
// leaving.
#include "base/clock.h"
#include "standin/arguments.h"
#include "standin/http_exchange.h"
#include "standin/ledger.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <boost/json.hpp>
#include <boost/program_options.hpp>

#include <iostream>
#include <unistd.h>

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
namespace json = boost::json;
using asio::ip::tcp;
using clementine::time_ms;

// Latest start of a request after leaving was announced.
constexpr time_ms leaving_limit{3'000};

struct options {
    std::string id;
    std::string service;
    std::string listen;
    std::string announce;
    std::string availability_zone;
    std::string ledger;
    int slots = 8;
    int connections = 64;
    int work_ms = 20;
    bool fail_all = false;
};

asio::awaitable<void> sleep_for(time_ms duration) {
    asio::steady_timer timer(co_await asio::this_coro::executor,
                             std::chrono::milliseconds(duration));
    co_await timer.async_wait(asio::use_awaitable);
}

class backend {
  public:
    backend(asio::io_context& context, options settings)
        : context_(context), settings_(std::move(settings)), ledger_(settings_.ledger),
          entries_(standin::parse_endpoints(settings_.announce)),
          acceptor_(context, standin::parse_endpoints(settings_.listen).at(0)) {
        instance_ = std::to_string(::getpid()) + '-' + std::to_string(clementine::wall_clock_ms());
    }

    void start() {
        asio::co_spawn(context_, accept_callers(), asio::detached);
        asio::co_spawn(context_, announce(), asio::detached);
    }

    // Announces leaving, waits until the home reports no request in flight, then stops.
    asio::awaitable<void> leave() {
        leaving_since_ = clock_.now();
        for (int attempt = 0; attempt < 100; ++attempt) {
            const auto reply = co_await request_home(http::verb::delete_, "");
            if (reply && reply->result_int() < 300)
                break;
            next_entry();
            co_await sleep_for(50);
        }
        const auto deadline = clock_.now() + 30'000;
        while (clock_.now() < deadline) {
            const auto reply = co_await request_home(http::verb::get, "");
            const bool home_idle = reply && read_int(*reply, "in_flight") == 0;
            // Waits for the limit too, because a disconnected entryd stops only when its lease
            // ends.
            if (home_idle && busy_ == 0 && clock_.now() > leaving_since_ + leaving_limit)
                break;
            co_await sleep_for(100);
        }
        context_.stop();
    }

  private:
    static std::int64_t read_int(const standin::http_response& response, const char* key) {
        boost::system::error_code error;
        const auto value = json::parse(response.body(), error);
        if (error || !value.is_object())
            return -1;
        const auto* field = value.as_object().if_contains(key);
        return field != nullptr && field->is_int64() ? field->as_int64() : -1;
    }

    asio::awaitable<std::optional<standin::http_response>> request_home(http::verb method,
                                                                        std::string body) {
        standin::http_request request{method, "/v1/backend-servers/" + settings_.id, 11};
        request.set(http::field::host, "entryd");
        if (!body.empty())
            request.set(http::field::content_type, "application/json");
        request.body() = std::move(body);
        auto reply = co_await standin::exchange(entries_[entry_], request, 1'000);
        if (reply && reply->result() == http::status::temporary_redirect)
            follow_redirect(*reply);
        co_return reply;
    }

    // Continues with the entryd of a redirect to "http://IP:PORT/path".
    void follow_redirect(const standin::http_response& reply) {
        std::string target(reply[http::field::location]);
        if (const auto scheme = target.find("://"); scheme != std::string::npos)
            target.erase(0, scheme + 3);
        target.erase(std::min(target.find('/'), target.size()));
        const auto home = standin::parse_endpoints(target);
        for (std::size_t i = 0; i < entries_.size(); ++i) {
            if (!home.empty() && entries_[i] == home[0])
                entry_ = i;
        }
    }

    void next_entry() {
        entry_ = (entry_ + 1) % entries_.size();
        token_.clear();
    }

    std::string announcement() const {
        const auto endpoint = acceptor_.local_endpoint();
        return json::serialize(json::object{{"service", settings_.service},
                                            {"address", endpoint.address().to_string()},
                                            {"port", endpoint.port()},
                                            {"slots", settings_.slots},
                                            {"connections", settings_.connections},
                                            {"availability_zone", settings_.availability_zone},
                                            {"instance", instance_},
                                            {"busy", busy_},
                                            {"token", token_}});
    }

    asio::awaitable<void> announce() {
        constexpr time_ms renew_interval{500};
        entry_ = std::hash<std::string>{}(settings_.id) % entries_.size();
        while (leaving_since_ == 0) {
            const auto reply = co_await request_home(http::verb::put, announcement());
            if (!reply) {
                next_entry();
                co_await sleep_for(50);
                continue;
            }
            if (reply->result() == http::status::temporary_redirect)
                continue;
            if (reply->result() != http::status::ok) {
                std::cerr << "event=announcement_refused id=" << settings_.id
                          << " status=" << reply->result_int() << " body=" << reply->body() << '\n';
                next_entry();
                co_await sleep_for(renew_interval);
                continue;
            }
            const bool first = token_.empty();
            read_token(*reply);
            if (!first)
                co_await sleep_for(renew_interval);
        }
    }

    void read_token(const standin::http_response& reply) {
        boost::system::error_code error;
        const auto value = json::parse(reply.body(), error);
        if (error || !value.is_object())
            return;
        const auto* token = value.as_object().if_contains("token");
        token_ = token != nullptr && token->is_string() ? token->as_string().c_str() : "";
    }

    asio::awaitable<void> accept_callers() {
        while (true) {
            auto socket = co_await acceptor_.async_accept(asio::use_awaitable);
            asio::co_spawn(context_, serve(std::move(socket)), asio::detached);
        }
    }

    asio::awaitable<void> serve(tcp::socket socket) {
        if (++connections_ > settings_.connections)
            ledger_.append("limit connections " + std::to_string(connections_));
        beast::tcp_stream stream(std::move(socket));
        try {
            beast::flat_buffer buffer;
            bool keep_alive = true;
            while (keep_alive) {
                http::request_parser<http::string_body> parser;
                parser.body_limit(1ULL << 31);
                co_await http::async_read(stream, buffer, parser, asio::use_awaitable);
                auto response = co_await handle_request(parser.get());
                keep_alive = response.keep_alive();
                co_await http::async_write(stream, response, asio::use_awaitable);
            }
        } catch (const boost::system::system_error&) {
            // The peer closed the connection.
        }
        --connections_;
    }

    asio::awaitable<standin::http_response> handle_request(const standin::http_request& request) {
        standin::http_response response{http::status::ok, request.version()};
        response.keep_alive(request.keep_alive());
        if (leaving_since_ != 0)
            response.set("Clementine-Leaving", "1");
        if (request.method() == http::verb::options) {
            response.prepare_payload();
            co_return response;
        }
        const std::string id(request["Standin-Request"]);
        if (leaving_since_ != 0 && clock_.now() > leaving_since_ + leaving_limit)
            ledger_.append("late " + id);
        if (++busy_ > settings_.slots)
            ledger_.append("limit slots " + std::to_string(busy_));
        ledger_.append("start " + id);
        if (settings_.fail_all)
            response.result(http::status::internal_server_error);
        else
            co_await sleep_for(settings_.work_ms);
        --busy_;
        ledger_.append("end " + id);
        if (const auto request_id = request["Clementine-Request-Id"]; !request_id.empty())
            response.set("Clementine-Request-Id", request_id);
        response.set("Standin-Request", id);
        const auto size = std::strtoul(std::string(request["Standin-Size"]).c_str(), nullptr, 10);
        response.body() = "id=" + id + " service=" + settings_.service + '\n';
        if (response.body().size() < size)
            response.body().resize(size, 'x');
        response.prepare_payload();
        co_return response;
    }

    asio::io_context& context_;
    options settings_;
    standin::ledger ledger_;
    std::vector<tcp::endpoint> entries_;
    tcp::acceptor acceptor_;
    clementine::steady_clock clock_;
    std::string instance_;
    std::string token_;
    std::size_t entry_ = 0;
    int connections_ = 0;
    int busy_ = 0;
    time_ms leaving_since_ = 0;
};

std::optional<options> parse_options(int argc, char** argv) {
    namespace po = boost::program_options;
    options out;
    po::options_description help("standin_backend");
    auto add = help.add_options();
    add("id", po::value(&out.id)->required(), "backend server id");
    add("service", po::value(&out.service)->required(), "service name");
    add("listen", po::value(&out.listen)->required(), "listen address as IP:PORT");
    add("announce", po::value(&out.announce)->required(), "entryd addresses as IP:PORT,...");
    add("availability-zone", po::value(&out.availability_zone)->required(),
        "name of the availability zone");
    add("ledger", po::value(&out.ledger)->default_value(""), "path of the ledger file");
    add("slots", po::value(&out.slots)->default_value(8), "maximum of concurrent requests");
    add("connections", po::value(&out.connections)->default_value(64),
        "maximum of open connections");
    add("work-ms", po::value(&out.work_ms)->default_value(20), "processing time of a request");
    add("fail-all", po::bool_switch(&out.fail_all), "answer every request with status 500 at once");
    if (!standin::read_arguments(help, argc, argv))
        return std::nullopt;
    return out;
}

} // namespace

int main(int argc, char** argv) {
    try {
        auto settings = parse_options(argc, argv);
        if (!settings)
            return 0;
        asio::io_context context(1);
        backend server(context, std::move(*settings));
        server.start();
        asio::signal_set signals(context, SIGTERM, SIGINT);
        signals.async_wait([&](const boost::system::error_code& error, int) {
            if (!error)
                asio::co_spawn(context, server.leave(), asio::detached);
        });
        context.run();
        return 0;
    } catch (const std::exception& error) {
        std::cerr << "standin_backend: " << error.what() << '\n';
        return 1;
    }
}
