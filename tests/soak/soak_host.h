// One simulated control VM: disk, clock, storage, replica and state machine.
#pragma once

#include "consensus/storage.h"
#include "soak/checks.h"
#include "soak/fake_files.h"

#include <functional>
#include <vector>

namespace clementine::consensus {

// Simulated real time, in microseconds.
using true_time = std::int64_t;

// Local clock of a VM, with its own rate and steps.
class vm_clock {
  public:
    time_ms at(true_time now) const {
        return static_cast<time_ms>(base_ms_ + static_cast<double>(now - base_) * rate_ / 1'000);
    }
    void set_rate(true_time now, double rate) {
        step(now, 0);
        rate_ = rate;
    }
    void step(true_time now, time_ms by) {
        base_ms_ += static_cast<double>(now - base_) * rate_ / 1'000 + static_cast<double>(by);
        base_ = now;
    }

  private:
    true_time base_ = 0;
    double base_ms_ = 1'000'000;
    double rate_ = 1;
};

enum class host_state { running, down };

// Outcome of a save.
enum class save_result {
    saved,
    machine_crashed, // an injected crash interrupted the save
    storage_failed   // the replica stops
};

struct client_request {
    std::size_t client = 0;
    std::uint64_t request_id = 0;
    bool write = false;
    std::uint64_t base = 0;
};

struct client_answer {
    std::uint64_t request_id = 0;
    bool write = false;
    register_answer result; // for a read, the current version and its writer
    std::optional<replica_id> redirect;
};

// Callbacks and state shared by the hosts of one schedule.
struct host_environment {
    std::function<true_time()> now;
    std::function<void(std::size_t host, std::size_t client, const client_answer&)> answer;
    invariant_checker* checker = nullptr;
    random_source* random = nullptr;
    // Last synced index of a replica; nothing if it is not running.
    std::function<std::optional<index_t>(replica_id)> durable_index;
    std::size_t max_voters = 0; // further hosts stay learners
    // The order in which a voter whose disk is lost is replaced.
    bool promote_before_removal = false;
};

struct host_tuning {
    index_t snapshot_interval = 50;
    std::size_t snapshot_padding = 0;
    index_t trailing_entries = 10;
    std::size_t segment_bytes = 4'096;
};

class soak_host {
  public:
    soak_host(std::size_t number, host_environment& environment, const host_tuning& tuning,
              std::uint64_t seed);

    std::string node() const { return "node-" + std::to_string(number_); }
    bool running() const { return state_ == host_state::running; }
    replica_id id() const { return id_; }
    replica* core() { return core_.get(); }
    time_ms local_time() const { return clock.at(environment_.now()); }
    bool holds_lease() const { return running() && core_->holds_lease(local_time()); }
    // Last membership known to this replica, also while it is down.
    const membership& known_members() const { return members_; }
    // Changes at every start and stop; events of an earlier incarnation are ignored.
    std::uint64_t incarnation() const { return incarnation_; }
    index_t durable_index() const { return synced_.last; }

    // Starts the process. `first` is given only at the first start of a new cluster; otherwise an
    // empty or corrupt disk gets a new replica id.
    void start(const std::optional<std::pair<replica_id, snapshot>>& first);
    // Ends the process; with `lose_unsynced` the machine crashes and loses unsynced data as well.
    void stop(bool lose_unsynced);

    void receive(const message& received);
    void tick();
    void serve(const client_request& request);
    // Proposes a membership change, at the leader.
    bool change(const membership_change& wanted);
    // Handles the join request of a replica, at the leader.
    void join(replica_id id, const std::string& node);
    // True while this replica must send join requests to the leader.
    bool wants_to_join() const;

    // Takes the next ready work of the replica; false if there is none or a save is in progress.
    bool take_work();
    bool work_has_writes() const { return work_->has_writes(); }
    save_result finish_work(std::vector<message>& outgoing);
    // Does what need not wait for writes, also while work is outstanding. Returns what to send.
    std::vector<message> do_immediate_work();

    vm_clock clock;
    fake_file_system files;
    true_time frozen_until = 0;
    std::uint64_t snapshot_installs = 0;
    std::uint64_t corrupt_starts = 0; // starts at which the storage was corrupt

  private:
    struct waiting_write {
        term_t term = 0;
        std::size_t client = 0;
        std::uint64_t request_id = 0;
    };
    struct waiting_read {
        index_t index = 0;
        std::size_t client = 0;
        std::uint64_t request_id = 0;
    };
    // State that the storage reported as durable.
    struct synced_state {
        hard_state state;
        index_t last = 0;
        term_t last_term = 0;
    };
    void check_replica();
    void check_recovered(const durable_state& found);
    void record_synced(const ready& work);
    void promote(replica_id id, index_t commit);
    void apply(const entry& value);
    void answer_reads();

    std::size_t number_;
    host_environment& environment_;
    host_tuning tuning_;
    std::uint64_t seed_;
    host_state state_ = host_state::down;
    std::uint64_t incarnation_ = 0;
    replica_id id_ = 0;
    membership members_;
    std::unique_ptr<storage> storage_;
    std::unique_ptr<replica> core_;
    register_machine machine_;
    index_t applied_ = 0;
    index_t snapshot_at_ = 0;
    synced_state synced_;
    std::optional<ready> work_;
    std::map<index_t, waiting_write> writes_;
    std::vector<waiting_read> reads_;
};

} // namespace clementine::consensus
