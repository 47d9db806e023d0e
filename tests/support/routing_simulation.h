// Discrete-event simulation of entryds, an unreliable network and backend servers that count their
// requests. Single-threaded; equal options give equal runs.
#pragma once

#include "base/clock.h"
#include "base/random.h"
#include "routing/dispatcher.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <set>
#include <string>
#include <vector>

namespace clementine::testing {

struct simulation_options {
    std::uint64_t seed = 1;
    int entries = 3;
    int services = 1;
    int servers_per_service = 4;
    int slots = 4;
    int connections = 32;
    bool report_busy = true;
    time_ms timeout{5'000}; // of a request
    int queue_length = 256;
    double loss = 0;              // probability that a tick is lost
    time_ms max_packet_delay{20}; // between any two machines
    double max_clock_error = 0;   // largest deviation of a clock's rate from 1
    double requests_per_second = 100;
    time_ms mean_service_time{50};
    time_ms max_service_time{4'000};
};

struct simulation_counts {
    std::uint64_t admitted = 0;
    std::uint64_t refused = 0;
    std::uint64_t answered = 0;
    std::uint64_t limit_violations = 0;
    std::uint64_t late_after_leaving = 0; // requests that arrived over 3 s after leaving began
    std::uint64_t ticks = 0;
    std::uint64_t tick_bytes = 0; // on the wire, with 52 bytes for each packet or acknowledgement
    std::uint64_t signature = 0;  // hash chain over all decisions
};

// Returns the bytes of a tick on the wire: TCP/IP headers, frame header and encoded message.
std::uint64_t tick_wire_bytes(const routing::entry_tick& tick);

class routing_simulation {
  public:
    explicit routing_simulation(simulation_options options);
    ~routing_simulation();
    routing_simulation(const routing_simulation&) = delete;
    routing_simulation& operator=(const routing_simulation&) = delete;

    // Runs all events up to and including `end`.
    void run_until(time_ms end);
    time_ms now() const { return now_; }
    void at(time_ms when, std::function<void()> action);
    random_source& random() { return random_; }

    // Sets the request rate of one service, summed over all entryds.
    void set_rate(int service, double requests_per_second);
    void freeze(int entry, time_ms duration);
    void crash(int entry, time_ms down_time);
    void drain(int entry);
    // Drops all messages between two machines; entryds are numbered from 0, servers follow.
    void disconnect(int a, int b, time_ms duration);
    void move_server(int server);
    void restart_server(int server);
    void leave_server(int server);

    int server_count() const;
    bool server_leaving(int server) const;
    routing::server_state server_state(int server) const;
    bool entry_up(int entry) const;
    routing::dispatcher& entry(int index);
    int in_progress(int server) const;
    int home_of(int server) const;
    std::uint64_t admitted_at(int entry) const;
    const simulation_counts& counts() const { return counts_; }
    // Queue waits in ms of the requests of a service that got a slot in [from, to).
    std::vector<double> waits(int service, time_ms from, time_ms to) const;
    // Sum over samples every 10 ms of min(free slots, waiting requests) of each service.
    std::uint64_t idle_slot_samples_while_waiting() const {
        return idle_slot_samples_while_waiting_;
    }
    // Prints every decision to stderr.
    void set_trace(bool on) { trace_ = on; }

  private:
    struct event;
    struct entry_node;
    struct server_node;
    struct wait_sample {
        int service = 0;
        time_ms at = 0;
        time_ms wait = 0;
    };

    void post(time_ms delay, std::function<void()> action);
    // Runs the action on an entryd. Deferred while it is frozen, dropped if it is down.
    void deliver(int entry, std::function<void()> action);
    void send(int from, int to, bool lossy, std::function<void()> action);
    bool connected(int a, int b) const;
    time_ms packet_delay();
    void start_entry(int index);
    void poll_entry(int index, std::uint64_t boot);
    void send_tick(int index, int peer);
    void schedule_request(int service, std::uint64_t generation);
    void start_request(int service, int entry);
    void dispatch_to_server(int entry, std::uint64_t boot, const routing::slot& slot,
                            time_ms deadline);
    void run_on_server(int server, int entry, std::uint64_t boot, const routing::slot& slot,
                       time_ms deadline);
    void finish(int entry, std::uint64_t boot, const routing::slot& slot,
                routing::attempt_result result, time_ms took);
    void renew(int server, std::uint64_t generation);
    void handle_reply(int server, std::uint64_t generation, int entry, bool was_leave,
                      const routing::announce_reply& reply);
    void pick_home(int server);
    void sample_idle_slots();
    void record_decision(const std::string& decision);
    void trace_tick(const routing::entry_tick& tick, int to) const;

    simulation_options options_;
    random_source random_;
    time_ms now_ = 0;
    std::uint64_t next_event_ = 0;
    struct event_order {
        bool operator()(const event& a, const event& b) const;
    };
    std::priority_queue<event, std::vector<event>, event_order> events_;
    std::shared_ptr<const manifest::manifest> manifest_;
    std::vector<std::unique_ptr<entry_node>> entries_;
    std::vector<std::unique_ptr<server_node>> servers_;
    std::vector<double> rates_;
    std::vector<std::uint64_t> rate_generations_;
    std::vector<int> waiting_;
    std::map<std::pair<int, int>, time_ms> disconnections_;
    std::map<std::pair<int, int>, time_ms> unacknowledged_; // (receiver, sender) of a tick
    std::uint64_t next_request_ = 0;
    std::uint64_t next_boot_ = 0;
    std::vector<wait_sample> waits_;
    std::uint64_t idle_slot_samples_while_waiting_ = 0;
    simulation_counts counts_;
    bool trace_ = false;
};

} // namespace clementine::testing
