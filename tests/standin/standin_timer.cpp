// Measures latency and throughput of one address with blocking connections, one thread each.
// Without --rate every connection sends its next request at once. With it, requests start on a
// fixed schedule and latency counts from the scheduled start, so that requests delayed by a stalled
// server count with their whole wait (no coordinated omission).
#include "standin/arguments.h"
#include "standin/http_exchange.h"

#include <boost/asio/connect.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <boost/program_options.hpp>

#include <algorithm>
#include <chrono>
#include <iostream>
#include <thread>

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using steady = std::chrono::steady_clock;
using microseconds = std::chrono::microseconds;

struct options {
    std::string target;
    std::string host;
    int connections = 16;
    double seconds = 5;
    double rate = 0; // requests per second over all connections, 0 for no limit
    std::size_t size = 1024;
};

struct samples {
    std::vector<std::int64_t> latency_us;
    std::uint64_t errors = 0;
};

class client {
  public:
    client(const options& settings, int number) : settings_(settings), number_(number) {}

    void run(samples& out) {
        const auto start = steady::now();
        const auto end = start + microseconds(static_cast<std::int64_t>(settings_.seconds * 1e6));
        const auto interval = send_interval();
        auto due = start + interval * number_ / settings_.connections;
        while (due < end) {
            if (interval.count() == 0)
                due = steady::now();
            else
                std::this_thread::sleep_until(due);
            if (send(out))
                out.latency_us.push_back(
                    std::chrono::duration_cast<microseconds>(steady::now() - due).count());
            due += interval;
            if (interval.count() == 0)
                due = steady::now();
        }
    }

  private:
    microseconds send_interval() const {
        if (settings_.rate <= 0)
            return microseconds(0);
        return microseconds(
            static_cast<std::int64_t>(settings_.connections * 1e6 / settings_.rate));
    }

    bool send(samples& out) {
        try {
            if (!stream_.socket().is_open()) {
                stream_.connect(standin::parse_endpoints(settings_.target).at(0));
                stream_.socket().set_option(asio::ip::tcp::no_delay(true));
            }
            http::request<http::empty_body> request{http::verb::get, "/work", 11};
            request.set(http::field::host, settings_.host);
            request.set("Standin-Request", "timer");
            request.set("Standin-Size", std::to_string(settings_.size));
            http::write(stream_, request);
            http::response_parser<http::string_body> parser;
            parser.body_limit(1ULL << 30);
            http::read(stream_, buffer_, parser);
            if (!parser.get().keep_alive())
                reset();
            if (parser.get().result() == http::status::ok)
                return true;
        } catch (const boost::system::system_error&) {
            reset();
        }
        ++out.errors;
        return false;
    }

    void reset() {
        beast::error_code ignored;
        stream_.socket().close(ignored);
        buffer_.clear();
    }

    const options& settings_;
    int number_;
    asio::io_context context_;
    beast::tcp_stream stream_{context_};
    beast::flat_buffer buffer_;
};

std::int64_t quantile(const std::vector<std::int64_t>& sorted, double q) {
    if (sorted.empty())
        return 0;
    return sorted[static_cast<std::size_t>(q * static_cast<double>(sorted.size() - 1))];
}

void run(const options& settings) {
    std::vector<samples> results(static_cast<std::size_t>(settings.connections));
    std::vector<std::thread> threads;
    for (int i = 0; i < settings.connections; ++i) {
        threads.emplace_back([&settings, &results, i] {
            client(settings, i).run(results[static_cast<std::size_t>(i)]);
        });
    }
    samples merged;
    for (std::size_t i = 0; i < threads.size(); ++i) {
        threads[i].join();
        merged.latency_us.insert(merged.latency_us.end(), results[i].latency_us.begin(),
                                 results[i].latency_us.end());
        merged.errors += results[i].errors;
    }
    std::ranges::sort(merged.latency_us);
    std::cout << "timer: requests=" << merged.latency_us.size() << " errors=" << merged.errors
              << " rate=" << static_cast<double>(merged.latency_us.size()) / settings.seconds
              << " p50_us=" << quantile(merged.latency_us, 0.5)
              << " p99_us=" << quantile(merged.latency_us, 0.99)
              << " p999_us=" << quantile(merged.latency_us, 0.999) << '\n';
}

} // namespace

int main(int argc, char** argv) {
    namespace po = boost::program_options;
    try {
        options settings;
        po::options_description help("standin_timer");
        auto add = help.add_options();
        add("target", po::value(&settings.target)->required(), "server address as IP:PORT");
        add("host", po::value(&settings.host)->required(), "Host header");
        add("connections", po::value(&settings.connections)->default_value(16),
            "number of connections, one thread each");
        add("seconds", po::value(&settings.seconds)->default_value(5), "duration in seconds");
        add("rate", po::value(&settings.rate)->default_value(0),
            "requests per second over all connections, 0 for no limit");
        add("size", po::value(&settings.size)->default_value(1024), "response body size in bytes");
        if (!standin::read_arguments(help, argc, argv))
            return 0;
        run(settings);
        return 0;
    } catch (const std::exception& error) {
        std::cerr << "standin_timer: " << error.what() << '\n';
        return 1;
    }
}
