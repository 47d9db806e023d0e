// Exchange of ticks with one other entryd: sequences, confirmations and due times.
#pragma once

#include "routing/types.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace clementine::routing {

// The full state that this entryd publishes to a peer.
struct tick_content {
    bool draining = false;
    time_ms valid_for{0};
    std::map<std::string, share_grant> grants;
    std::map<std::string, share_report> held;
    std::map<std::string, service_demand> demand;
};

// Effect of a received tick on the shares.
struct tick_effect {
    bool applied = false;
    bool restarted = false;         // the peer's process has restarted
    std::uint64_t confirmed = 0;    // sequence of this entryd's tick that the peer has applied
    time_ms shares_valid_until = 0; // end of the shares that the tick extends; 0 if unknown
};

// Items by key, each with the sequence of the tick that first carried its current value, so that
// ticks need to carry only unconfirmed items.
template <class Item>
class sent_items {
  public:
    // Replaces the items by `wanted`; changed ones get `sequence`. `make_withdrawal` makes the item
    // that tells the receiver to forget a key. Returns true if anything changed.
    template <class Withdraw>
    bool update(const std::map<std::string, Item>& wanted, std::uint64_t sequence,
                std::uint64_t confirmed, Withdraw make_withdrawal) {
        for (const auto& [key, item] : wanted) {
            auto& stored = items_[key];
            if (stored.first_sequence != 0 && !stored.withdrawn && stored.item == item)
                continue;
            stored = {item, sequence, false};
        }
        bool changed = false;
        for (auto it = items_.begin(); it != items_.end();) {
            auto& stored = it->second;
            if (!stored.withdrawn && wanted.count(it->first) == 0)
                stored = {make_withdrawal(stored.item), sequence, true};
            changed = changed || stored.first_sequence == sequence;
            const bool done = stored.withdrawn && stored.first_sequence <= confirmed;
            it = done ? items_.erase(it) : std::next(it);
        }
        return changed;
    }

    // Items that the receiver has not confirmed yet.
    std::vector<Item> unconfirmed(std::uint64_t confirmed) const {
        std::vector<Item> out;
        for (const auto& [key, stored] : items_) {
            if (stored.first_sequence > confirmed)
                out.push_back(stored.item);
        }
        return out;
    }

    // Sequence of the tick that first carried the current value of an item; 0 if there is none.
    std::uint64_t first_sequence(const std::string& key) const {
        const auto found = items_.find(key);
        return found == items_.end() ? 0 : found->second.first_sequence;
    }

  private:
    struct stored_item {
        Item item{};
        std::uint64_t first_sequence = 0;
        bool withdrawn = false;
    };

    std::map<std::string, stored_item> items_;
};

class peer_link {
  public:
    peer_link(std::string self, std::uint64_t boot, std::string peer)
        : self_(std::move(self)), boot_(boot), peer_(std::move(peer)) {}

    // Sequence number of the next tick.
    std::uint64_t next_sequence() const { return last_sent_ + 1; }
    // Builds the next tick, or returns nothing if none is due.
    std::optional<entry_tick> compose(tick_content content, time_ms now);
    // Applies a tick of the peer. Old and repeated ticks are ignored, and so are ticks whose base
    // has not been applied.
    tick_effect receive(const entry_tick& tick, time_ms now, time_ms share_lease);

    // True if a tick of the peer arrived within the last 2 s, the length of a share lease.
    bool reachable(time_ms now) const;
    bool draining() const { return draining_; }
    std::uint64_t remote_boot() const { return remote_boot_; }
    // Received from the peer: claims with the shares granted here, reports about servers homed
    // here, and demand by service.
    const std::map<std::string, share_grant>& claims() const { return claims_; }
    const std::map<std::string, share_report>& reports() const { return reports_; }
    const std::map<std::string, service_demand>& demand() const { return peer_demand_; }

  private:
    struct sent_time {
        std::uint64_t sequence = 0;
        time_ms at = 0;
    };

    bool accept_boot(std::uint64_t boot);
    void merge(const entry_tick& tick);
    bool due(bool changed, bool urgent, time_ms now) const;
    void trim_details(std::vector<share_grant>& grants, std::uint64_t sequence);

    std::string self_;
    std::uint64_t boot_;
    std::string peer_;

    std::uint64_t last_sent_ = 0;
    std::uint64_t last_confirmed_ = 0; // highest own tick that the peer has applied
    time_ms last_sent_at_ = 0;
    std::deque<sent_time> sent_times_;
    sent_items<share_grant> sent_grants_;
    sent_items<share_report> sent_reports_;
    sent_items<service_demand> sent_demand_;
    std::map<std::string, std::pair<share_grant, std::uint64_t>> details_;

    std::uint64_t remote_boot_ = 0;
    std::deque<std::uint64_t> retired_boots_;
    std::uint64_t last_applied_ = 0; // highest tick of the peer that was applied here
    std::optional<time_ms> last_received_at_;
    bool draining_ = false;
    bool answer_pending_ = false; // the peer needs a confirmation
    bool urgent_answer_pending_ = false;
    std::map<std::string, share_grant> claims_;
    std::map<std::string, share_report> reports_;
    std::map<std::string, service_demand> peer_demand_;
};

} // namespace clementine::routing
