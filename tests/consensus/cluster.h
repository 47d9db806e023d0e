// Simulated cluster with reliable storage and a network that drops only the messages from and to
// isolated replicas.
#pragma once

#include "consensus/replica.h"

#include <deque>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace clementine::consensus {

class test_cluster {
  public:
    struct node {
        std::unique_ptr<replica> core;
        durable_state disk;
        std::vector<entry> applied;
        std::optional<snapshot> installed;
    };

    explicit test_cluster(int voters) {
        for (int i = 1; i <= voters; ++i) {
            initial_.members.push_back({.id = static_cast<replica_id>(i),
                                        .node = "node-" + std::to_string(i),
                                        .voter = true});
        }
        for (const auto& each : initial_.members)
            start(each.id, {.state = {.term = 1, .vote = 0},
                            .snap = bootstrap_snapshot(initial_),
                            .entries = {}});
    }

    void start(replica_id id, durable_state disk) {
        auto& target = nodes[id];
        target.disk = disk;
        target.applied.clear();
        replica_config config{.id = id, .seed = id};
        config.trailing_entries = 2;
        target.core = std::make_unique<replica>(config, std::move(disk), now);
    }

    // Advances time in steps of 10 ms. A message takes one step.
    void run(time_ms duration) {
        for (const auto end = now + duration; now < end;) {
            now += 10;
            auto delivered = std::move(network);
            network.clear();
            for (const auto& each : delivered) {
                const bool blocked = isolated.contains(each.from) || isolated.contains(each.to);
                if (!blocked && nodes.contains(each.to))
                    nodes[each.to].core->step(each, now);
            }
            for (auto& [id, each] : nodes) {
                each.core->tick(now);
                process_ready(each);
            }
        }
    }

    // Id of the leader that holds the lease, or 0.
    replica_id leader() {
        for (auto& [id, each] : nodes) {
            if (each.core->holds_lease(now))
                return id;
        }
        return 0;
    }

    replica& at(replica_id id) { return *nodes[id].core; }

    std::map<replica_id, node> nodes;
    std::deque<message> network;
    std::set<replica_id> isolated;
    time_ms now = 0;
    std::size_t sent_chunks = 0;

  private:
    void process_ready(node& each) {
        while (each.core->has_ready()) {
            auto work = each.core->take_ready();
            if (work.state)
                each.disk.state = *work.state;
            if (work.snap) {
                each.disk.snap = *work.snap;
                std::erase_if(each.disk.entries, [&](const entry& old) {
                    return work.reset_log || old.index < work.first_kept;
                });
                if (work.install)
                    each.installed = *work.snap;
            }
            for (const auto& added : work.append) {
                std::erase_if(each.disk.entries,
                              [&](const entry& old) { return old.index >= added.index; });
                each.disk.entries.push_back(added);
            }
            for (const auto& done : work.committed)
                each.applied.push_back(done);
            for (const auto& sent : work.messages) {
                sent_chunks += std::holds_alternative<snapshot_chunk>(sent.body) ? 1 : 0;
                network.push_back(sent);
            }
            each.core->writes_synced(work);
        }
    }

    membership initial_;
};

} // namespace clementine::consensus
