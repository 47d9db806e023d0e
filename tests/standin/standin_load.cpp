// Callers behind the platform's load balancer: sends requests at a fixed rate to the entryds that
// report that they are ready, checks every response and writes one result line per attempt.
//
// Result lines: "ID KIND OUTCOME STATUS LATENCY_MS" with KIND idempotent, once or keyed, and
// OUTCOME answered, not-run, unknown, rejected (4xx before routing), cut (no response) or wrong
// (not the response to this request).
#include "base/clock.h"
#include "base/names.h"
#include "base/random.h"
#include "standin/arguments.h"
#include "standin/http_exchange.h"
#include "standin/ledger.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <boost/program_options.hpp>

#include <algorithm>
#include <deque>
#include <iostream>
#include <map>
#include <memory>
#include <sstream>

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::ip::tcp;
using clementine::time_ms;

struct options {
    std::string entries;
    std::string ready;
    std::string host;
    std::string workspace;
    std::string results;
    std::string name;
    double rate = 100;
    double seconds = 10;
    double surge_at = 0;
    double surge_seconds = 0;
    double surge_factor = 5;
    double once_share = 0.25;
    double keyed_share = 0.25;
    double resend_share = 0.1;
    std::size_t size = 200;
    int timeout_ms = 10'000;
    std::uint64_t seed = 1;
};

enum class kind { idempotent, once, keyed };

inline constexpr clementine::name_table<3> kind_names{"idempotent", "once", "keyed"};
constexpr const auto& names_of(kind) {
    return kind_names;
}

struct call {
    std::string id;
    kind type = kind::idempotent;
    std::string key;
};

class load_generator {
  public:
    load_generator(asio::io_context& context, options settings)
        : context_(context), settings_(std::move(settings)), results_(settings_.results),
          entries_(standin::parse_endpoints(settings_.entries)),
          admins_(standin::parse_endpoints(settings_.ready)), is_ready_(entries_.size(), true),
          idle_(entries_.size()), random_(settings_.seed) {}

    asio::awaitable<void> run() {
        for (std::size_t i = 0; i < admins_.size(); ++i)
            asio::co_spawn(context_, watch_ready(i), asio::detached);
        const auto start = clock_.now();
        const auto end = start + static_cast<time_ms>(settings_.seconds * 1000);
        double due = static_cast<double>(start);
        while (clock_.now() < end) {
            while (due <= static_cast<double>(clock_.now())) {
                asio::co_spawn(context_, send(next_call()), asio::detached);
                due += 1000.0 / rate_at(due - static_cast<double>(start));
            }
            co_await sleep_for(1);
        }
        const auto deadline = clock_.now() + settings_.timeout_ms + 5'000;
        while (open_ > 0 && clock_.now() < deadline)
            co_await sleep_for(10);
        print();
        context_.stop();
    }

  private:
    asio::awaitable<void> sleep_for(time_ms duration) {
        asio::steady_timer timer(context_, std::chrono::milliseconds(duration));
        co_await timer.async_wait(asio::use_awaitable);
    }

    double rate_at(double since_ms) const {
        const double since = since_ms / 1000;
        const bool surge =
            since >= settings_.surge_at && since < settings_.surge_at + settings_.surge_seconds;
        return surge ? settings_.rate * settings_.surge_factor : settings_.rate;
    }

    // Health check of the load balancer: an entryd that is not ready gets no new requests.
    asio::awaitable<void> watch_ready(std::size_t entry) {
        while (true) {
            standin::http_request request{http::verb::get, "/ready", 11};
            request.set(http::field::host, "admin");
            const auto reply = co_await standin::exchange(admins_[entry], request, 500);
            is_ready_[entry] = reply && reply->result() == http::status::ok;
            co_await sleep_for(250);
        }
    }

    call next_call() {
        call out;
        out.id = settings_.name + '-' + std::to_string(++count_);
        const double sample = random_.unit();
        if (sample < settings_.once_share)
            out.type = kind::once;
        else if (sample < settings_.once_share + settings_.keyed_share)
            out.type = kind::keyed;
        if (out.type == kind::keyed)
            out.key = "key-" + out.id;
        return out;
    }

    // Picks a ready entryd other than `excluded`, or any entryd if there is none.
    std::size_t pick_entry(std::size_t excluded) {
        std::vector<std::size_t> ready;
        for (std::size_t i = 0; i < entries_.size(); ++i) {
            if (is_ready_[i] && i != excluded)
                ready.push_back(i);
        }
        if (ready.empty())
            return random_.below(entries_.size());
        return ready[random_.below(ready.size())];
    }

    asio::awaitable<void> send(call item) {
        ++open_;
        const auto first = co_await send_once(item, entries_.size());
        // A caller without a complete response resends the same key through another entryd.
        const bool lost =
            item.type == kind::keyed && (first.outcome == "unknown" || first.outcome == "cut");
        const bool resend = item.type == kind::keyed && random_.chance(settings_.resend_share);
        if (lost || resend)
            co_await send_once(item, first.entry);
        --open_;
    }

    struct result {
        std::string outcome;
        std::size_t entry = 0;
    };

    http::request<http::string_body> make_request(const call& item) const {
        http::request<http::string_body> request;
        request.version(11);
        request.method(item.type == kind::idempotent ? http::verb::get : http::verb::post);
        request.target("/work");
        request.set(http::field::host, settings_.host);
        request.set("Standin-Request", item.id);
        request.set("Standin-Size", std::to_string(settings_.size));
        request.set("Clementine-Timeout-Ms", std::to_string(settings_.timeout_ms));
        if (!settings_.workspace.empty())
            request.set("Clementine-Workspace", settings_.workspace);
        if (!item.key.empty())
            request.set("Idempotency-Key", item.key);
        if (item.type != kind::idempotent)
            request.body() = "work for " + item.id;
        request.prepare_payload();
        return request;
    }

    asio::awaitable<result> send_once(const call& item, std::size_t excluded) {
        const auto started = clock_.now();
        result out{"cut", pick_entry(excluded)};
        int status = 0;
        auto stream = co_await connect(out.entry);
        if (stream) {
            try {
                const auto request = make_request(item);
                stream->expires_after(std::chrono::milliseconds(settings_.timeout_ms + 4'000));
                co_await http::async_write(*stream, request, asio::use_awaitable);
                beast::flat_buffer buffer;
                http::response<http::string_body> response;
                co_await http::async_read(*stream, buffer, response, asio::use_awaitable);
                status = static_cast<int>(response.result_int());
                out.outcome = classify(item, response);
                if (response.keep_alive())
                    idle_[out.entry].push_back({std::move(stream), clock_.now()});
            } catch (const boost::system::system_error& error) {
                std::cerr << "event=cut id=" << item.id << " entry=" << out.entry
                          << " error=" << error.what() << '\n';
            }
        }
        const auto took = clock_.now() - started;
        latencies_[out.outcome].push_back(took);
        std::ostringstream line;
        line << item.id << ' ' << clementine::to_name(item.type) << ' ' << out.outcome << ' '
             << status << ' ' << took;
        results_.append(line.str());
        co_return out;
    }

    std::string classify(const call& item,
                         const http::response<http::string_body>& response) const {
        const std::string outcome(response["Clementine-Outcome"]);
        if (outcome.empty())
            return response.result_int() < 500 && response.result_int() >= 400 ? "rejected"
                                                                               : "wrong";
        if (outcome != "answered" || response.result() != http::status::ok)
            return outcome;
        const bool matches = response["Standin-Request"] == item.id &&
                             response.body().starts_with("id=" + item.id + ' ') &&
                             response.body().size() >= settings_.size;
        return matches ? outcome : "wrong";
    }

    // Reuses an idle connection or opens one. Like the load balancer, tries the next entryd if one
    // refuses the connection.
    asio::awaitable<std::unique_ptr<beast::tcp_stream>> connect(std::size_t& entry) {
        // Well below the idle timeout of entryd, so that a reused connection is still open.
        constexpr time_ms idle_limit{2'000};
        for (std::size_t attempt = 0; attempt < entries_.size(); ++attempt) {
            auto& idle = idle_[entry];
            while (!idle.empty() && clock_.now() - idle.front().since > idle_limit)
                idle.pop_front();
            if (!idle.empty()) {
                auto stream = std::move(idle.back().stream);
                idle.pop_back();
                co_return stream;
            }
            auto stream = std::make_unique<beast::tcp_stream>(context_);
            stream->expires_after(std::chrono::seconds(2));
            boost::system::error_code error;
            co_await stream->async_connect(entries_[entry],
                                           asio::redirect_error(asio::use_awaitable, error));
            if (!error)
                co_return stream;
            entry = (entry + 1) % entries_.size();
        }
        co_return nullptr;
    }

    void print() {
        for (auto& [outcome, times] : latencies_) {
            std::ranges::sort(times);
            std::cout << "load: name=" << settings_.name << " outcome=" << outcome
                      << " count=" << times.size() << " p50_ms=" << quantile(times, 0.5)
                      << " p99_ms=" << quantile(times, 0.99) << " max_ms=" << times.back() << '\n';
        }
    }

    static time_ms quantile(const std::vector<time_ms>& sorted, double q) {
        return sorted[static_cast<std::size_t>(q * static_cast<double>(sorted.size() - 1))];
    }

    struct idle_stream {
        std::unique_ptr<beast::tcp_stream> stream;
        time_ms since = 0;
    };

    asio::io_context& context_;
    options settings_;
    standin::ledger results_;
    std::vector<tcp::endpoint> entries_;
    std::vector<tcp::endpoint> admins_;
    std::vector<bool> is_ready_;
    std::vector<std::deque<idle_stream>> idle_;
    clementine::random_source random_;
    clementine::steady_clock clock_;
    std::map<std::string, std::vector<time_ms>> latencies_;
    std::uint64_t count_ = 0;
    int open_ = 0;
};

std::optional<options> parse_options(int argc, char** argv) {
    namespace po = boost::program_options;
    options out;
    po::options_description help("standin_load");
    auto add = help.add_options();
    add("name", po::value(&out.name)->required(), "prefix of the request ids");
    add("entries", po::value(&out.entries)->required(),
        "caller listeners of the entryds as IP:PORT,...");
    add("ready", po::value(&out.ready)->default_value(""),
        "admin listeners of the entryds as IP:PORT,...");
    add("host", po::value(&out.host)->required(), "Host header");
    add("workspace", po::value(&out.workspace)->default_value(""), "Clementine-Workspace header");
    add("results", po::value(&out.results)->default_value(""), "path of the result file");
    add("rate", po::value(&out.rate)->default_value(100), "requests per second");
    add("seconds", po::value(&out.seconds)->default_value(10), "duration in seconds");
    add("surge-at", po::value(&out.surge_at)->default_value(0),
        "start of the surge, in seconds since the start of the run");
    add("surge-seconds", po::value(&out.surge_seconds)->default_value(0), "duration of the surge");
    add("surge-factor", po::value(&out.surge_factor)->default_value(5),
        "factor of the rate during the surge");
    add("once-share", po::value(&out.once_share)->default_value(0.25),
        "share of POST requests without idempotency key");
    add("keyed-share", po::value(&out.keyed_share)->default_value(0.25),
        "share of POST requests with idempotency key");
    add("resend-share", po::value(&out.resend_share)->default_value(0.1),
        "share of keyed requests sent twice");
    add("size", po::value(&out.size)->default_value(200), "response body size in bytes");
    add("timeout-ms", po::value(&out.timeout_ms)->default_value(10'000), "timeout of a request");
    add("seed", po::value(&out.seed)->default_value(1), "random seed");
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
        load_generator callers(context, std::move(*settings));
        asio::co_spawn(context, callers.run(), asio::detached);
        context.run();
        return 0;
    } catch (const std::exception& error) {
        std::cerr << "standin_load: " << error.what() << '\n';
        return 1;
    }
}
