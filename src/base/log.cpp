#include "base/log.h"

#include "base/clock.h"

#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sinks/basic_sink_backend.hpp>
#include <boost/log/sinks/sync_frontend.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/log/sources/severity_logger.hpp>
#include <boost/make_shared.hpp>

#include <array>
#include <atomic>
#include <cstdio>
#include <map>
#include <mutex>
#include <poll.h>
#include <unistd.h>

namespace clementine {

namespace {

std::atomic<log_level> minimum_level{log_level::warning};

struct log_identity {
    std::string node;
};

log_identity& identity() {
    static log_identity value;
    return value;
}

boost::log::sources::severity_logger_mt<log_level>& logger() {
    static boost::log::sources::severity_logger_mt<log_level> value;
    return value;
}

// Maximum length of a line. A pipe that polls as writable accepts at least 4096 bytes (PIPE_BUF)
// without blocking.
constexpr std::size_t max_line_bytes = 4'000;
// Limit on the lines of one event; further lines are counted and left out.
constexpr unsigned max_lines_per_second = 300;
constexpr time_ms rate_window{1'000};

std::atomic<std::uint64_t> dropped_lines{0};

// Writes lines to a file descriptor without waiting for its reader.
class line_sink : public boost::log::sinks::basic_formatted_sink_backend<
                      char, boost::log::sinks::synchronized_feeding> {
  public:
    explicit line_sink(int fd) : fd_(fd) {}

    void consume(const boost::log::record_view&, const std::string& line) {
        write_line_unless_blocked(fd_, line);
    }

  private:
    int fd_;
};

// Limits the rate of lines per event.
class event_rate_limiter {
  public:
    // True if a line may be written; sets `omitted_lines` to the number of lines of this event that
    // were left out before it.
    bool allow(std::string_view event, time_ms now, std::uint64_t& omitted_lines) {
        std::lock_guard lock(mutex_);
        auto& window = windows_[std::string(event)];
        if (now - window.start >= rate_window || now < window.start) {
            window.start = now;
            window.line_count = 0;
        }
        if (window.line_count >= max_lines_per_second) {
            ++window.omitted_lines;
            return false;
        }
        ++window.line_count;
        omitted_lines = std::exchange(window.omitted_lines, 0);
        return true;
    }

  private:
    struct event_window {
        time_ms start{0};
        unsigned line_count = 0;
        std::uint64_t omitted_lines = 0;
    };

    std::mutex mutex_;
    std::map<std::string, event_window> windows_;
};

event_rate_limiter& rate_limiter() {
    static event_rate_limiter value;
    return value;
}

} // namespace

bool write_line_unless_blocked(int fd, std::string line) {
    if (line.size() >= max_line_bytes)
        line.resize(max_line_bytes - 1);
    line += '\n';
    pollfd poll_request{fd, POLLOUT, 0};
    if (::poll(&poll_request, 1, 0) == 1 && (poll_request.revents & POLLOUT) != 0 &&
        ::write(fd, line.data(), line.size()) >= 0)
        return true;
    ++dropped_lines;
    return false;
}

std::uint64_t dropped_log_lines() {
    return dropped_lines;
}

void init_logging(log_level minimum, std::string_view node) {
    namespace log = boost::log;
    identity().node = format_log_value(node);
    minimum_level = minimum;
    log::core::get()->remove_all_sinks();
    using sink = log::sinks::synchronous_sink<line_sink>;
    const auto out = boost::make_shared<sink>(boost::make_shared<line_sink>(STDOUT_FILENO));
    out->set_formatter(log::expressions::stream << log::expressions::smessage);
    log::core::get()->add_sink(out);
}

void set_log_level(log_level minimum) {
    minimum_level = minimum;
}

log_event::log_event(log_level level, std::string_view event) : level_(level) {
    std::uint64_t omitted_lines = 0;
    if (level_ < minimum_level || !rate_limiter().allow(event, wall_clock_ms(), omitted_lines))
        return;
    line_ = "time=" + std::to_string(wall_clock_ms());
    line_ += " level=";
    line_ += to_name(level);
    if (!identity().node.empty())
        line_ += " node=" + identity().node;
    line_ += " event=";
    line_ += event;
    if (omitted_lines > 0)
        line_ += " omitted=" + std::to_string(omitted_lines);
    if (const auto dropped = dropped_lines.load(); dropped > 0)
        line_ += " dropped=" + std::to_string(dropped);
}

log_event::~log_event() {
    if (!line_.empty())
        BOOST_LOG_SEV(logger(), level_) << line_;
}

log_event& log_event::field(std::string_view key, std::string_view value) {
    if (line_.empty())
        return *this;
    line_ += ' ';
    line_ += key;
    line_ += '=';
    line_ += format_log_value(value);
    return *this;
}

log_event& log_event::field(std::string_view key, const char* value) {
    return field(key, std::string_view(value));
}

log_event& log_event::field(std::string_view key, std::int64_t value) {
    return field(key, std::string_view(std::to_string(value)));
}

log_event& log_event::field(std::string_view key, std::uint64_t value) {
    return field(key, std::string_view(std::to_string(value)));
}

log_event& log_event::field(std::string_view key, int value) {
    return field(key, static_cast<std::int64_t>(value));
}

log_event& log_event::field(std::string_view key, unsigned value) {
    return field(key, static_cast<std::uint64_t>(value));
}

log_event& log_event::field(std::string_view key, double value) {
    std::array<char, 32> text{};
    std::snprintf(text.data(), text.size(), "%.6g", value);
    return field(key, std::string_view(text.data()));
}

log_event& log_event::field(std::string_view key, bool value) {
    return field(key, std::string_view(value ? "yes" : "no"));
}

std::string format_log_value(std::string_view value) {
    const auto is_plain = [](char c) {
        const auto byte = static_cast<unsigned char>(c);
        return byte > ' ' && byte < 0x7f && c != '"' && c != '\\' && c != '=';
    };
    bool plain = !value.empty();
    for (char c : value)
        plain = plain && is_plain(c);
    if (plain)
        return std::string(value);
    std::string out = "\"";
    for (char c : value) {
        const auto byte = static_cast<unsigned char>(c);
        if (c == '"' || c == '\\') {
            out += '\\';
            out += c;
        } else if (byte < ' ' || byte == 0x7f) {
            std::array<char, 8> escaped{};
            std::snprintf(escaped.data(), escaped.size(), "\\x%02x", byte);
            out += escaped.data();
        } else {
            out += c;
        }
    }
    return out + '"';
}

} // namespace clementine
