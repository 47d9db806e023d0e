// One established TCP connection between two processes of the system: hello exchange, framing,
// heartbeats, silence timeout and a bounded send queue. channel and channel_server create it.
#pragma once

#include "base/clock.h"
#include "base/names.h"
#include "wire/frame.h"
#include "wire/messages.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <atomic>
#include <chrono>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace clementine::wire {

// Why a connection was closed.
enum class close_reason {
    stopped,          // by this side
    peer_closed,      // end of stream or a socket error
    silent,           // nothing received within the silence limit
    malformed,        // bad length, checksum or message
    version_mismatch, // the peer speaks another protocol version
    wrong_cluster,    // the peer belongs to another cluster
    unexpected        // the first message is not hello, or a later one is
};

inline constexpr name_table<7> close_reason_names{"stopped",   "peer-closed",      "silent",
                                                  "malformed", "version-mismatch", "wrong-cluster",
                                                  "unexpected"};
constexpr const auto& names_of(close_reason) {
    return close_reason_names;
}

// Reason with the details for the log, such as both protocol versions.
struct close_info {
    close_reason reason = close_reason::stopped;
    std::string detail;
};

struct link_settings {
    time_ms heartbeat_interval{1'000}; // a heartbeat is sent after this time without a frame
    time_ms silence_limit{2'500};      // replaced within 3 s, as the reconnect is immediate
    time_ms connect_timeout{1'000};
    time_ms reconnect_min{100}; // delay after the first failed attempt; doubles up to the maximum
    time_ms reconnect_max{2'000};
    std::size_t send_queue_bytes{4U << 20}; // send fails beyond this size
    std::size_t max_connections{1'024};     // limit of one channel_server
};

// Frame and byte counts, headers included. TCP packets are not counted; each write sends at least
// one.
struct traffic {
    std::atomic<std::uint64_t> frames_sent{0};
    std::atomic<std::uint64_t> bytes_sent{0};
    std::atomic<std::uint64_t> writes{0};
    std::atomic<std::uint64_t> frames_received{0};
    std::atomic<std::uint64_t> bytes_received{0};
};

// Random number that identifies one start of the process in hello.
std::uint64_t new_boot_id();

// True if a plaintext listener may bind to the address: links are not encrypted, so an address that
// is not loopback needs the permission of the settings (design 4.2).
bool may_listen_plaintext(const std::string& address, bool allow_plaintext);

class connection : public std::enable_shared_from_this<connection> {
  public:
    // Called on the connection's executor, one at a time. `closed` is called exactly once, and
    // nothing after it.
    struct handlers {
        std::function<void(const hello&)> opened;
        std::function<void(message&&)> received;
        std::function<void(const close_info&)> closed;
    };

    // The socket must be connected and its executor a strand. `counters` may be null.
    connection(boost::asio::ip::tcp::socket socket, hello own_hello, link_settings settings,
               std::shared_ptr<traffic> counters);
    connection(const connection&) = delete;
    connection& operator=(const connection&) = delete;
    ~connection() = default;

    // Sends hello and starts reading.
    void start(handlers callbacks);
    // Queues a message; false if the queue is full, the message is too long or the connection is
    // closed. May be called from any thread. Success does not mean that the peer
    // receives it.
    bool send(const message& value);
    // As above, for a message that was encoded with make_frame.
    bool send_frame(std::string frame);
    // Closes with reason `stopped`; a message that has not been delivered yet is dropped. May be
    // called from any thread.
    void stop();
    // True from just before `closed` is called.
    bool is_closed() const { return closed_; }
    // The peer's hello; valid once `opened` has been called.
    const hello& peer() const { return peer_; }

  private:
    void read();
    void handle_frames();
    void handle_payload(std::string_view payload);
    void handle_hello(const hello& value);
    bool has_unread_bytes();
    void enqueue(std::string frame);
    void write_queued();
    void schedule_deadline_check();
    void schedule_deadline_check(std::chrono::steady_clock::time_point at);
    void check_deadlines();
    void close(close_reason reason, std::string detail);

    boost::asio::ip::tcp::socket socket_;
    boost::asio::steady_timer timer_;
    hello own_hello_;
    hello peer_;
    link_settings settings_;
    std::shared_ptr<traffic> counters_;
    handlers handlers_;
    std::vector<char> read_buffer_; // received bytes are between read_begin_ and read_end_
    std::size_t read_begin_ = 0;
    std::size_t read_end_ = 0;
    std::optional<frame_header> header_; // of the frame at read_begin_, once it has arrived
    std::deque<std::string> send_queue_;
    std::vector<std::string> frames_being_written_;
    std::atomic<std::size_t> queued_bytes_{0};
    std::atomic<bool> stopping_{false};
    std::atomic<bool> closed_{false};
    bool hello_received_ = false;
    std::chrono::steady_clock::time_point last_received_;
    std::chrono::steady_clock::time_point last_sent_;
};

} // namespace clementine::wire
