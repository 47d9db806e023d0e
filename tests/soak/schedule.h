// One seeded simulation in virtual time: hosts, network, clients and injected faults.
#pragma once

#include "soak/soak_host.h"

#include <array>
#include <map>
#include <queue>

namespace clementine::consensus {

enum class fault {
    machine_crash,
    process_kill,
    crash_in_write,
    disk_loss,
    second_disk_loss, // as soon as the first lost disk has been replaced
    flipped_bit,
    failed_sync,
    full_disk,
    one_way_partition,
    two_way_partition,
    leader_cut_off, // from all other hosts, for 5 to 20 s
    bad_network,
    clock_rate,
    clock_step,
    freeze,
    member_removed,
    leadership_transfer,
    lease_race, // a follower asks for votes while the others still support the leader
    power_loss  // all hosts crash at one moment, and as many as tolerated lose their disks
};

// How a lease race tries to obtain the votes of the other followers while the lease is valid.
enum class lease_race_kind { wait, restart, step_voters, step_leader, transfer, late_transfer };
inline constexpr std::size_t lease_race_kind_count = 6;

// What a power loss follows at once or a few ms later.
enum class power_loss_cause { write_accepted, write_sent, membership_changed };
inline constexpr std::size_t power_loss_cause_count = 3;

inline constexpr name_table<19> fault_names{
    "machine-crash",       "process-kill",      "crash-in-write", "disk-loss",
    "second-disk-loss",    "flipped-bit",       "failed-sync",    "full-disk",
    "one-way-partition",   "two-way-partition", "leader-cut-off", "bad-network",
    "clock-rate",          "clock-step",        "freeze",         "member-removed",
    "leadership-transfer", "lease-race",        "power-loss"};
constexpr const auto& names_of(fault) {
    return fault_names;
}

struct schedule_report {
    std::uint64_t steps = 0;
    std::uint64_t checks = 0;
    std::array<std::uint64_t, fault_names.size()> faults{};
    std::uint64_t elections = 0;
    std::uint64_t writes = 0;
    std::uint64_t operations = 0;
    std::uint64_t snapshot_installs = 0;
    std::uint64_t corrupt_starts = 0;
    std::uint64_t signature = 0; // hash over every delivered message
    std::string violation;       // empty if every invariant held
    std::string details;
};

class schedule {
  public:
    explicit schedule(std::uint64_t seed);
    schedule_report run();

  private:
    struct event {
        true_time at = 0;
        std::uint64_t number = 0;
        std::function<void()> action;
        bool operator>(const event& other) const {
            return std::pair(at, number) > std::pair(other.at, other.number);
        }
    };
    struct operation {
        std::uint64_t request_id = 0;
        bool write = false;
        std::uint64_t base = 0;
        int attempts = 0;
    };
    struct client {
        std::optional<operation> current;
        std::uint64_t known_version = 0;
        std::size_t target = 0;
    };
    struct network_quality {
        double loss_probability = 0;
        double duplicate_probability = 0;
        true_time delay = 1'000;
        double late_probability = 0; // of a further delay of up to 2 s
    };

    void schedule_after(true_time delay, std::function<void()> action);
    bool chance(double probability) { return random_.chance(probability); }
    std::size_t random_host() { return random_.below(hosts_.size()); }
    std::optional<std::size_t> lease_holder() const;
    std::optional<std::size_t> host_of(replica_id id) const;
    std::optional<std::size_t> leading_host() const;

    void start_cluster();
    void check_step();
    void check_program_invariants();
    void check_progress();
    std::string describe() const;

    // Schedules `action` for each copy of a message that arrives; copies may be lost or duplicated.
    // Endpoint numbers are the hosts' followed by the clients'.
    void transmit(std::size_t from, std::size_t to, std::function<void()> action);
    // Runs an action in a host's process: after its freeze if it is frozen, never if it is down.
    void in_process(std::size_t host, std::function<void()> action);
    void send_immediate(std::size_t host);
    void send_all(std::size_t from, const std::vector<message>& messages);
    void process_ready(std::size_t host);
    void finish_save(std::size_t host, std::uint64_t incarnation);
    void stop_host(std::size_t host, bool lose_unsynced, true_time downtime);
    void tick_host(std::size_t host);
    void report_joining(std::size_t host);

    void begin_operation(std::size_t number);
    void send_attempt(std::size_t number, std::uint64_t request_id, int attempts);
    void handle_answer(std::size_t number, const client_answer& answer);

    void inject_next_fault();
    void inject(fault kind);
    bool inject_host_fault(fault kind, std::size_t host);
    bool inject_disk_fault(fault kind, std::size_t host);
    bool inject_network_fault(fault kind, std::size_t host);
    bool inject_clock_fault(fault kind, std::size_t host);
    bool inject_membership_fault(fault kind);
    bool may_lose_disk(std::size_t host);
    void lose_disk(std::size_t host);
    bool start_lease_race();
    void run_lease_race(lease_race_kind kind, std::size_t leader, std::size_t isolated_follower);
    void start_power_loss();
    // Starts the awaited power loss if `cause` is what it awaits.
    void power_loss_due(power_loss_cause cause);
    void run_power_loss();
    void isolate(std::size_t host, true_time duration);
    void transfer(std::size_t leader, std::size_t to);
    void lose_disk_after_repair(std::size_t host);
    void remove_member_of(std::size_t leader, std::size_t host);
    void cut_link(std::size_t from, std::size_t to, true_time duration);
    true_time random_duration(true_time longest);
    void end_faults();
    // True if every membership that a voter knows has a majority of voters with intact disks.
    bool majority_alive(const std::set<std::size_t>& without) const;

    random_source random_;
    invariant_checker checker_;
    host_environment environment_;
    std::vector<std::unique_ptr<soak_host>> hosts_;
    std::size_t voter_hosts_ = 0; // the hosts after these are spares
    std::vector<client> clients_;
    std::map<replica_id, std::size_t> host_by_replica_; // every id ever used
    std::map<std::pair<std::size_t, std::size_t>, true_time>
        link_cuts_; // end of the cut, by direction
    network_quality network_quality_;
    std::priority_queue<event, std::vector<event>, std::greater<>> events_;
    true_time now_ = 0;
    true_time fault_end_ = 0;
    true_time no_writes_until_ = 0;
    std::optional<power_loss_cause> awaited_cause_; // of the next power loss
    double immediate_probability_ = 0; // that a host takes its immediate work at an input
    std::uint64_t event_number_ = 0;
    std::uint64_t next_request_ = 1;
    std::uint64_t initial_violations_ = 0;
    std::uint64_t operations_after_faults_ = 0;
    bool faults_ended_ = false;
    schedule_report report_;
};

} // namespace clementine::consensus
