// Backend servers of one service at one entryd: the shares held here, and the records of the
// servers homed here.
#pragma once

#include "base/random.h"
#include "routing/dispatcher.h"
#include "routing/home_record.h"
#include "routing/peer_link.h"
#include "routing/server_health.h"

#include <map>
#include <optional>
#include <string>
#include <tuple>
#include <vector>

namespace clementine::routing {

// Orders the claims on a backend server: the higher epoch wins, then the higher node id.
struct claim_rank {
    std::uint64_t epoch = 0;
    std::string home;

    bool operator==(const claim_rank&) const = default;
    bool operator<(const claim_rank& other) const {
        return std::tie(epoch, home) < std::tie(other.epoch, other.home);
    }
};

// Slots that this entryd may use at a backend server, until `valid_until`.
struct held_share {
    claim_rank granted_by;
    int slots = 0;
    int connections = 0;
    time_ms valid_until = 0;
};

struct server_entry {
    announcement data;
    bool leaving = false;
    int in_use = 0; // slots allocated by this entryd
    server_health health;
    held_share share;         // not used while this entryd is the home
    claim_rank highest_claim; // of all claims seen
    int former_orphans = 0;   // orphaned slots when this entryd ceased to be the home
    time_ms former_orphans_until = 0;
    time_ms last_seen_at = 0; // last announcement or claim, or advance() as home
    std::optional<home_record> record;
    time_ms record_created_at = 0;
    bool awaits_echo = true; // no own token was echoed since the last foreign one
    std::optional<lease_token> previous_token;
};

// Last known demand of one member of the sharing group, that is of one entryd.
struct member_demand {
    int queued = 0;
    int in_use = 0;
};

// Claim of a reachable peer on a backend server.
struct live_claim {
    std::string peer;
    std::uint64_t epoch = 0;
};

// Not thread-safe: guarded by the lock of its service.
class server_table {
  public:
    server_table(const dispatcher_settings& settings, std::string service)
        : settings_(settings), service_(std::move(service)) {}

    void set_max_request_time(time_ms time) { max_request_time_ = time; }

    // Slots that this entryd may currently use at a backend server.
    int usable_slots(const server_entry& entry, time_ms now) const;
    int total_slots(time_ms now) const;
    int connection_limit(const std::string& id, time_ms now) const;
    server_entry* find(const std::string& id);
    const server_entry* find(const std::string& id) const;
    // Chooses a server for one more request; nullptr if no slot is free.
    server_entry* choose(const std::vector<std::string>& avoid, random_source& random, time_ms now);

    announce_reply announce(const announcement& message,
                            const std::optional<live_claim>& other_claim, time_ms now);
    announce_reply leave(const std::string& id, const std::optional<live_claim>& other_claim,
                         time_ms now);
    announce_reply describe(const std::string& id, const std::optional<live_claim>& other_claim,
                            time_ms now) const;
    void mark_leaving(const std::string& id);
    void mark_all_leaving();
    // Stops granting slots. Other entryds keep their shares until a new home takes over.
    void release_homes();

    // Adds the grants and reports for a peer to its next tick.
    void collect(const std::string& peer, const peer_link& link, std::uint64_t sequence,
                 tick_content& content, time_ms now);
    // Applies the claims, reports and demand of a peer's tick.
    void receive(const std::string& peer, const peer_link& link, const tick_effect& effect,
                 time_ms now);
    // Expires leases and shares, ends takeovers and divides free slots. `own` is the demand of this
    // entryd.
    void advance(const member_demand& own, time_ms now);

  private:
    struct member_state {
        time_ms last_tick_at = 0;
        std::uint64_t boot = 0;
        member_demand demand;
    };
    // A member of the sharing group during one rebalance.
    struct member_plan {
        std::string name; // empty for this entryd
        member_demand demand;
        int granted = 0;
        int floor = 0;
        int target = 0;

        // Slots that can be reclaimed. A member with a queue may keep one slot above its target,
        // because the targets follow the noise of the queues when all members have queues.
        int surplus() const { return granted - target - (demand.queued > 0 ? 1 : 0); }
        bool needs_slots() const {
            return granted < floor || (demand.queued > 0 && granted < target);
        }
    };

    bool is_home(const server_entry& entry, time_ms now) const;
    claim_rank own_rank(const server_entry& entry) const;
    int connections_for(const server_entry& entry, int slots) const;
    announce_reply reply_for(const server_entry& entry, time_ms now) const;
    std::optional<announce_reply> find_conflict(const server_entry& entry,
                                                const announcement& message, time_ms now) const;
    void apply_announcement(server_entry& entry, const announcement& message, time_ms now);
    void apply_token(server_entry& entry, const announcement& message, time_ms now);
    void begin_takeover(server_entry& entry, time_ms now);
    void relinquish_home(server_entry& entry, time_ms now);
    void expire_lease(server_entry& entry, time_ms now);
    void check_takeover(server_entry& entry, time_ms now);
    void expire_holders(server_entry& entry, time_ms now);
    void apply_claim(const std::string& peer, const share_grant& grant, time_ms valid_until,
                     time_ms now);
    void apply_report(const std::string& peer, const peer_link& link, const tick_effect& effect,
                      server_entry& entry);
    void withdraw_all_grants(server_entry& entry);
    std::optional<share_report> report_for(const server_entry& entry, const claim_rank& claim,
                                           time_ms now) const;
    std::vector<server_entry*> grantable_servers(time_ms now);
    std::vector<member_plan> plan_members(const std::vector<server_entry*>& servers,
                                          const member_demand& own, time_ms now);
    int& granted_to(server_entry& entry, const member_plan& member);
    void grant_free(const std::vector<server_entry*>& servers, std::vector<member_plan>& members);
    void reclaim(const std::vector<server_entry*>& servers, std::vector<member_plan>& members);

    const dispatcher_settings& settings_;
    const std::string service_;
    time_ms max_request_time_{30'000};
    std::map<std::string, server_entry> servers_;
    std::map<std::string, member_state> peers_;
};

} // namespace clementine::routing
