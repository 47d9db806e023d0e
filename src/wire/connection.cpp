#include "wire/connection.h"

#include "wire/codec.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/dispatch.hpp>
#include <boost/asio/ip/address.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>

#include <algorithm>
#include <array>
#include <poll.h>
#include <random>
#include <utility>

namespace clementine::wire {

namespace asio = boost::asio;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

namespace {

// Upper bound of one read, unless the rest of the frame is longer.
constexpr std::size_t read_bytes = 64U << 10;
// A peer whose bytes have arrived is waited for this long beyond the silence limit, while this
// process is late to read them.
constexpr time_ms max_own_delay{5'000};
// Interval at which the silence of such a peer is checked again.
constexpr time_ms overdue_check_interval{20};

} // namespace

std::uint64_t new_boot_id() {
    std::random_device device;
    return (std::uint64_t{device()} << 32) | device();
}

bool may_listen_plaintext(const std::string& address, bool allow_plaintext) {
    boost::system::error_code error;
    const auto parsed = asio::ip::make_address(address, error);
    return allow_plaintext || (!error && parsed.is_loopback());
}

connection::connection(asio::ip::tcp::socket socket, hello own_hello, link_settings settings,
                       std::shared_ptr<traffic> counters)
    : socket_(std::move(socket)), timer_(socket_.get_executor()), own_hello_(std::move(own_hello)),
      settings_(settings), counters_(counters ? std::move(counters) : std::make_shared<traffic>()) {
}

void connection::start(handlers callbacks) {
    handlers_ = std::move(callbacks);
    // The caller may be on another strand: an accepted connection is created on the acceptor's.
    asio::dispatch(socket_.get_executor(), [self = shared_from_this()] {
        self->last_received_ = self->last_sent_ = steady_clock::now();
        boost::system::error_code ignored;
        self->socket_.set_option(asio::ip::tcp::no_delay(true), ignored);
        self->send(self->own_hello_);
        self->schedule_deadline_check();
        self->read();
    });
}

bool connection::send(const message& value) {
    if (closed_)
        return false;
    auto frame = make_frame(encode(value));
    return frame && send_frame(std::move(*frame));
}

bool connection::send_frame(std::string frame) {
    if (closed_)
        return false;
    const auto size = frame.size();
    if (queued_bytes_.fetch_add(size) + size > settings_.send_queue_bytes) {
        queued_bytes_ -= size;
        return false;
    }
    // On a thread of the event loop the frame leaves at once; what follows it until the write
    // completes is gathered.
    asio::dispatch(socket_.get_executor(),
                   [self = shared_from_this(), frame = std::move(frame)]() mutable {
                       self->enqueue(std::move(frame));
                   });
    return true;
}

void connection::stop() {
    stopping_ = true;
    // Not run at once: the caller may hold a lock that `closed` takes.
    asio::post(socket_.get_executor(),
               [self = shared_from_this()] { self->close(close_reason::stopped, {}); });
}

void connection::enqueue(std::string frame) {
    if (closed_)
        return;
    send_queue_.push_back(std::move(frame));
    if (frames_being_written_.empty())
        write_queued();
}

// Writes all queued frames with one gather write, to save packets.
void connection::write_queued() {
    std::vector<asio::const_buffer> buffers;
    std::size_t bytes = 0;
    frames_being_written_.assign(std::make_move_iterator(send_queue_.begin()),
                                 std::make_move_iterator(send_queue_.end()));
    send_queue_.clear();
    for (const auto& frame : frames_being_written_) {
        buffers.emplace_back(frame.data(), frame.size());
        bytes += frame.size();
    }
    counters_->frames_sent += frames_being_written_.size();
    counters_->bytes_sent += bytes;
    ++counters_->writes;
    last_sent_ = steady_clock::now();
    asio::async_write(socket_, buffers,
                      [self = shared_from_this(), bytes](boost::system::error_code error, auto) {
                          self->queued_bytes_ -= bytes;
                          self->frames_being_written_.clear();
                          if (error)
                              return self->close(close_reason::peer_closed, error.message());
                          if (!self->closed_ && !self->send_queue_.empty())
                              self->write_queued();
                      });
}

// One read takes whatever has arrived: each completion waits for a pass of the event loop, which
// takes long in a process short of processor time.
void connection::read() {
    if (read_begin_ > 0)
        std::copy(read_buffer_.data() + read_begin_, read_buffer_.data() + read_end_,
                  read_buffer_.data());
    read_end_ -= std::exchange(read_begin_, 0);
    const std::size_t frame_bytes = frame_header_bytes + (header_ ? header_->length : 0);
    const std::size_t wanted_bytes = std::max(frame_bytes - read_end_, read_bytes);
    if (read_buffer_.size() < read_end_ + wanted_bytes)
        read_buffer_.resize(read_end_ + wanted_bytes);
    socket_.async_read_some(
        asio::buffer(read_buffer_.data() + read_end_, wanted_bytes),
        [self = shared_from_this()](boost::system::error_code error, std::size_t bytes) {
            if (error)
                return self->close(close_reason::peer_closed, error.message());
            self->read_end_ += bytes;
            self->handle_frames();
            if (!self->closed_ && !self->stopping_)
                self->read();
        });
}

// A callback may stop the connection while further frames are in the buffer.
void connection::handle_frames() {
    while (!closed_ && !stopping_) {
        const std::string_view received(read_buffer_.data() + read_begin_, read_end_ - read_begin_);
        if (!header_) {
            if (received.size() < frame_header_bytes)
                return;
            std::array<unsigned char, frame_header_bytes> header_bytes{};
            std::copy_n(received.begin(), frame_header_bytes, header_bytes.begin());
            header_ = parse_frame_header(header_bytes, hello_received_ ? max_payload_bytes
                                                                       : max_hello_payload_bytes);
            if (!header_)
                return close(close_reason::malformed, "bad frame length");
            last_received_ = steady_clock::now();
        }
        const auto frame_bytes = frame_header_bytes + header_->length;
        if (received.size() < frame_bytes)
            return;
        handle_payload(received.substr(frame_header_bytes, header_->length));
        header_.reset();
        read_begin_ += frame_bytes;
    }
}

void connection::handle_payload(std::string_view payload) {
    last_received_ = steady_clock::now();
    ++counters_->frames_received;
    counters_->bytes_received += frame_header_bytes + payload.size();
    if (!checksum_matches(*header_, payload))
        return close(close_reason::malformed, "bad frame checksum");
    auto value = decode(payload);
    if (!value)
        return close(close_reason::malformed, "undecodable message");
    if (const auto* greeting = std::get_if<hello>(&*value))
        handle_hello(*greeting);
    else if (!hello_received_)
        close(close_reason::unexpected, "first message is not hello");
    else if (!std::holds_alternative<heartbeat>(*value))
        handlers_.received(std::move(*value));
}

// Both sides send hello first and compare versions, so that both logs contain both versions.
void connection::handle_hello(const hello& value) {
    if (hello_received_)
        return close(close_reason::unexpected, "second hello");
    if (value.version != own_hello_.version)
        return close(close_reason::version_mismatch,
                     "own protocol version " + std::to_string(own_hello_.version) +
                         ", peer's protocol version " + std::to_string(value.version));
    if (value.cluster != own_hello_.cluster)
        return close(close_reason::wrong_cluster, "own cluster '" + own_hello_.cluster +
                                                      "', peer's cluster '" + value.cluster + "'");
    hello_received_ = true;
    peer_ = value;
    handlers_.opened(peer_);
}

void connection::schedule_deadline_check() {
    const auto heartbeat_at = last_sent_ + milliseconds(settings_.heartbeat_interval);
    const auto silent_at = last_received_ + milliseconds(settings_.silence_limit);
    schedule_deadline_check(std::min(heartbeat_at, silent_at));
}

void connection::schedule_deadline_check(steady_clock::time_point at) {
    timer_.expires_at(at);
    timer_.async_wait([self = shared_from_this()](boost::system::error_code error) {
        if (!error)
            self->check_deadlines();
    });
}

void connection::check_deadlines() {
    if (closed_)
        return;
    const auto now = steady_clock::now();
    const auto overdue = now - last_received_ - milliseconds(settings_.silence_limit);
    const bool is_overdue = overdue >= milliseconds(0);
    if (is_overdue && (overdue >= milliseconds(max_own_delay) || !has_unread_bytes()))
        return close(close_reason::silent,
                     "nothing received for " + std::to_string(settings_.silence_limit) + " ms");
    if (now - last_sent_ >= milliseconds(settings_.heartbeat_interval)) {
        last_sent_ = now;
        send(heartbeat{});
    }
    if (is_overdue)
        schedule_deadline_check(now + milliseconds(overdue_check_interval));
    else
        schedule_deadline_check();
}

// True if the peer sent something that this process has not read yet.
bool connection::has_unread_bytes() {
    pollfd state{socket_.native_handle(), POLLIN, 0};
    return ::poll(&state, 1, 0) > 0;
}

void connection::close(close_reason reason, std::string detail) {
    if (closed_.exchange(true))
        return;
    timer_.cancel();
    // Shuts down the send side before closing, so that after a version mismatch the peer can still
    // read the hello of this side and log both versions.
    boost::system::error_code ignored;
    socket_.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
    socket_.close(ignored);
    const auto callbacks = std::move(handlers_);
    handlers_ = {};
    callbacks.closed({reason, std::move(detail)});
}

} // namespace clementine::wire
