// State of the ticks exchanged with one other entryd: sequences, confirmations and due times.
#pragma once

#include "routing/types.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace clementine::routing {

// Everything that this entryd wants a peer to know.
struct tick_content {
    bool draining = false;
    time_ms valid_for{0};
    std::map<std::string, share_grant> grants;
    std::map<std::string, share_report> held;
    std::map<std::string, service_demand> demand;
};

// What a received tick means for the shares.
struct tick_effect {
    bool applied = false;
    bool restarted = false;         // the peer's process is a new one
    std::uint64_t confirmed = 0;    // our tick that the peer has applied
    time_ms shares_valid_until = 0; // for shares of this peer that it extends; 0 if unknown
};

// Items by key with the sequence of the tick that first carried their present value.
template <class Item>
class sent_items {
  public:
    // Takes the wanted items; changed ones get `sequence`. `withdrawn` makes the item that tells
    // the receiver to forget a key. True if something is new.
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

    // Items that the receiver has not confirmed.
    std::vector<Item> unconfirmed(std::uint64_t confirmed) const {
        std::vector<Item> out;
        for (const auto& [key, stored] : items_) {
            if (stored.first_sequence > confirmed)
                out.push_back(stored.item);
        }
        return out;
    }

    // Sequence of the tick that first carried the present value of an item; 0 if there is none.
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

    // Sequence of the next tick.
    std::uint64_t next_sequence() const { return last_sent_ + 1; }
    // Builds the next tick if one is due.
    std::optional<entry_tick> compose(tick_content content, time_ms now);
    // Takes a tick of the peer. Old, repeated and incomplete ones are ignored.
    tick_effect receive(const entry_tick& tick, time_ms now, time_ms share_lease);

    // True if a tick of the peer arrived within the share lease.
    bool reachable(time_ms now) const;
    bool draining() const { return draining_; }
    std::uint64_t remote_boot() const { return remote_boot_; }
    // Shares and claims of the peer, reports about servers homed here, and demand of the peer.
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
    std::uint64_t last_confirmed_ = 0; // our highest tick that the peer has applied
    time_ms last_sent_at_ = 0;
    std::deque<sent_time> sent_times_;
    sent_items<share_grant> sent_grants_;
    sent_items<share_report> sent_reports_;
    sent_items<service_demand> sent_demand_;
    std::map<std::string, std::pair<share_grant, std::uint64_t>> details_;

    std::uint64_t remote_boot_ = 0;
    std::deque<std::uint64_t> retired_boots_;
    std::uint64_t last_applied_ = 0; // highest tick of the peer applied here
    std::optional<time_ms> last_received_at_;
    bool draining_ = false;
    bool answer_pending_ = false; // the peer waits for a confirmation
    bool urgent_answer_pending_ = false;
    std::map<std::string, share_grant> claims_;
    std::map<std::string, share_report> reports_;
    std::map<std::string, service_demand> peer_demand_;
};

} // namespace clementine::routing
