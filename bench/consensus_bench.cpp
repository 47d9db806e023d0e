// Benchmark of the replicated log in virtual time: time to a new leader, messages and bytes per
// change and when idle. Three replicas, 1 ms network delay between availability zones, 2 ms per
// disk sync.
#include "base/hash.h"
#include "consensus/replica.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace {

using namespace clementine;
using namespace clementine::consensus;

constexpr std::size_t replica_count = 3;
constexpr time_ms network_delay{1};
constexpr time_ms sync_delay{2};
constexpr time_ms tick_interval{10};
// IP and TCP headers of a packet, with the timestamp option.
constexpr std::size_t packet_header_bytes = 52;

// Target: a new leader within 5 s after the loss of the old one.
constexpr time_ms new_leader_bound{5'000};
// Target: at most 6 KB/s of control traffic for one VM.
constexpr double idle_bytes_per_second_bound = 6'000;
// For each of two followers: an append, a commit notice, and a reply to each.
constexpr double messages_per_change_bound = 8;
// Changes may use a tenth of 6 KB/s at a rate of one every 8.6 s (10,000 a day).
constexpr double bytes_per_change_bound = 0.1 * 6'000 * 8.6;
constexpr std::size_t change_bytes = 100;

class bench_cluster {
  public:
    explicit bench_cluster(std::uint64_t seed) {
        membership initial;
        for (replica_id id = 1; id <= replica_count; ++id)
            initial.members.push_back(
                {.id = id, .node = "node-" + std::to_string(id), .voter = true});
        for (std::size_t i = 0; i < replica_count; ++i) {
            replica_config config;
            config.id = i + 1;
            config.seed = seed * replica_count + i;
            cores_[i] = std::make_unique<replica>(config,
                                                  durable_state{.state = {.term = 1, .vote = 0},
                                                                .snap = bootstrap_snapshot(initial),
                                                                .entries = {}},
                                                  0);
        }
    }

    // Advances by 1 ms.
    void step() {
        ++now_;
        for (auto& [id, work] : std::exchange(pending_syncs_[now_], {}))
            complete_writes(id, work);
        for (const auto& each : std::exchange(pending_messages_[now_], {})) {
            if (each.to == crashed_)
                continue;
            signature_ = hash64(std::to_string(now_) + "/" + std::to_string(each.from) + "/" +
                                    std::to_string(each.body.index()),
                                signature_);
            core(each.to).step(each, now_);
        }
        pending_syncs_.erase(now_);
        pending_messages_.erase(now_);
        for (replica_id id = 1; id <= replica_count; ++id) {
            if (id == crashed_)
                continue;
            if (now_ % tick_interval == static_cast<time_ms>(id))
                core(id).tick(now_);
            process_ready(id);
        }
    }

    void run(time_ms duration) {
        for (const auto end = now_ + duration; now_ < end;)
            step();
    }

    // Runs until a replica holds the lease.
    replica_id await_leader() {
        for (;;) {
            for (replica_id id = 1; id <= replica_count; ++id) {
                if (id != crashed_ && core(id).holds_lease(now_))
                    return id;
            }
            step();
        }
    }

    replica& core(replica_id id) { return *cores_[id - 1]; }
    void crash(replica_id id) { crashed_ = id; }
    time_ms now() const { return now_; }
    std::uint64_t signature() const { return signature_; }

    std::uint64_t messages = 0;
    std::array<std::uint64_t, replica_count + 1> bytes{}; // sent and received, by replica

  private:
    void process_ready(replica_id id) {
        while (core(id).has_ready()) {
            auto work = core(id).take_ready();
            if (work.has_writes()) {
                pending_syncs_[now_ + sync_delay].emplace_back(id, std::move(work));
                return;
            }
            complete_writes(id, work);
        }
    }

    void complete_writes(replica_id id, const ready& work) {
        if (id == crashed_)
            return;
        for (const auto& each : work.messages) {
            const auto size = packet_header_bytes + estimated_bytes(each);
            ++messages;
            bytes[each.from] += size;
            bytes[each.to] += size;
            pending_messages_[now_ + network_delay].push_back(each);
        }
        core(id).writes_synced(work);
    }

    std::array<std::unique_ptr<replica>, replica_count> cores_;
    std::map<time_ms, std::vector<std::pair<replica_id, ready>>> pending_syncs_;
    std::map<time_ms, std::vector<message>> pending_messages_;
    replica_id crashed_ = 0;
    time_ms now_ = 0;
    std::uint64_t signature_ = 0;
};

bool report(const char* name, double value, double bound, const char* unit) {
    const bool within_bounds = value <= bound;
    std::printf("consensus %s=%.1f bound=%.1f unit=%s %s\n", name, value, bound, unit,
                within_bounds ? "ok" : "PAST BOUND");
    return within_bounds;
}

// Time from the crash of the leader until another replica holds the lease.
bool measure_new_leader(std::uint64_t& signature) {
    constexpr std::uint64_t seeds = 200;
    std::vector<time_ms> times;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        bench_cluster cluster(seed);
        const auto old = cluster.await_leader();
        // Varies the time of the crash within the heartbeat interval.
        cluster.run(500 + static_cast<time_ms>(seed % 100));
        cluster.crash(old);
        const auto start = cluster.now();
        cluster.await_leader();
        times.push_back(cluster.now() - start);
        signature = hash64(std::to_string(cluster.signature()), signature);
    }
    std::sort(times.begin(), times.end());
    const auto bound = static_cast<double>(new_leader_bound);
    const bool median =
        report("new_leader_p50", static_cast<double>(times[seeds / 2]), bound, "ms");
    return report("new_leader_max", static_cast<double>(times.back()), bound, "ms") && median;
}

// Traffic of the busiest replica when idle, and of all replicas for each change.
bool measure_traffic(std::uint64_t& signature) {
    constexpr time_ms idle_duration{60'000};
    constexpr int changes = 1'000;
    bench_cluster cluster(1);
    const auto leader = cluster.await_leader();
    cluster.run(1'000);

    const auto idle_messages = cluster.messages;
    const auto idle_bytes = cluster.bytes[leader];
    cluster.run(idle_duration);
    const double seconds = static_cast<double>(idle_duration) / 1'000;
    const double messages_per_second =
        static_cast<double>(cluster.messages - idle_messages) / seconds;
    const double bytes_per_second =
        static_cast<double>(cluster.bytes[leader] - idle_bytes) / seconds;

    const auto total_bytes = [&] {
        return static_cast<double>(cluster.bytes[1] + cluster.bytes[2] + cluster.bytes[3]) / 2;
    };
    const auto start_messages = cluster.messages;
    const auto start_bytes = total_bytes();
    time_ms commit_time = 0;
    for (int i = 0; i < changes; ++i) {
        const auto position =
            std::get<log_position>(cluster.core(leader).propose(std::string(change_bytes, 'x')));
        const auto proposed_at = cluster.now();
        while (cluster.core(leader).commit_index() < position.index)
            cluster.step();
        commit_time += cluster.now() - proposed_at;
    }
    const double message_cost = static_cast<double>(cluster.messages - start_messages) / changes;
    const double byte_cost = (total_bytes() - start_bytes) / changes;
    signature = hash64(std::to_string(cluster.signature()), signature);

    std::printf("consensus idle_messages_per_second=%.1f commit_mean_ms=%.2f\n",
                messages_per_second, static_cast<double>(commit_time) / changes);
    bool within_bounds = report("idle_bytes_per_second_at_leader", bytes_per_second,
                                idle_bytes_per_second_bound, "B/s");
    within_bounds =
        report("messages_per_change", message_cost, messages_per_change_bound, "messages") &&
        within_bounds;
    return report("bytes_per_change", byte_cost, bytes_per_change_bound, "B") && within_bounds;
}

} // namespace

int main() {
    std::uint64_t signature = 0;
    bool within_bounds = measure_new_leader(signature);
    within_bounds = measure_traffic(signature) && within_bounds;
    std::printf("bench_consensus signature=%016lx\n", signature);
    return within_bounds ? 0 : 1;
}
