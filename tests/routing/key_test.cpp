// Guards against a request with an idempotency key that runs twice, and against a key that stays
// claimed although its request did not run.
#include "base/random.h"
#include "routing/key_claimant.h"
#include "routing/key_holder.h"

#include <cppunit/extensions/HelperMacros.h>

#include <cstdio>
#include <functional>
#include <memory>
#include <queue>

namespace {

using namespace clementine;
using namespace clementine::routing;

std::vector<key_member> members(int count, int zones) {
    std::vector<key_member> out;
    for (int i = 0; i < count; ++i)
        out.push_back({"entry-" + std::to_string(i), "az-" + std::to_string(i % zones)});
    return out;
}

idempotency_key key(int number) {
    return {"tickets", "default", "key-" + std::to_string(number)};
}

key_holder_settings holder_settings(int self, const std::vector<key_member>& all) {
    key_holder_settings out;
    out.node = all[self].node;
    out.members = all;
    return out;
}

// Five entryds as claimants and holders, on a network with loss and delays. Entryds freeze, and one
// at a time crashes.
class key_simulation {
  public:
    explicit key_simulation(std::uint64_t seed) : random_(seed), members_(members(5, 4)) {
        for (int i = 0; i < 5; ++i)
            start_node(i, true);
    }

    void run() {
        for (time_ms at = 0; at < 60'000; at += 20)
            schedule(at, [this] { send_claim(); });
        for (time_ms at = 0; at < 60'000; at += 50)
            schedule(at, [this] { poll_nodes(); });
        for (time_ms at = 2'000; at < 60'000; at += 500)
            schedule(at, [this] { inject_fault(); });
        while (!events_.empty()) {
            auto next = events_.top();
            events_.pop();
            now_ = next.at;
            next.action();
        }
    }

    int keys_run_twice() const {
        int out = 0;
        for (const auto& [key, count] : run_counts_)
            out += count > 1 ? 1 : 0;
        return out;
    }
    std::size_t keys_run() const { return run_counts_.size(); }
    int crashes() const { return crashes_; }

  private:
    struct event {
        time_ms at;
        std::uint64_t order;
        std::function<void()> action;
        bool operator<(const event& other) const {
            return at != other.at ? at > other.at : order > other.order;
        }
    };
    struct node {
        std::unique_ptr<key_holder> holder;
        std::unique_ptr<key_claimant> claimant;
        std::uint64_t boot = 0;
        time_ms frozen_until = 0;
    };

    void schedule(time_ms delay, std::function<void()> action) {
        events_.push({now_ + delay, order_++, std::move(action)});
    }

    void start_node(int index, bool first) {
        auto settings = holder_settings(index, members_);
        settings.first_start = first;
        nodes_[index].boot = ++boots_ * 1'000'000;
        nodes_[index].holder = std::make_unique<key_holder>(settings, nodes_[index].boot, now_);
        nodes_[index].claimant =
            std::make_unique<key_claimant>(settings.node, members_, nodes_[index].boot);
    }

    int index_of(const std::string& name) const { return std::stoi(name.substr(6)); }

    // Runs the action at a node after a delay, or after its freeze; 10 % of the messages are lost.
    void send(const std::string& to, std::function<void(node&)> action) {
        if (random_.chance(0.1))
            return;
        deliver(index_of(to), random_.between(1, random_.chance(0.1) ? 900 : 30),
                std::move(action));
    }

    void deliver(int index, time_ms delay, std::function<void(node&)> action) {
        schedule(delay, [this, index, action = std::move(action)] {
            auto& target = nodes_[index];
            if (!target.holder)
                return;
            if (now_ < target.frozen_until)
                deliver(index, target.frozen_until - now_, action);
            else
                action(target);
        });
    }

    void send_claim() {
        const int index = static_cast<int>(random_.below(5));
        auto& node = nodes_[index];
        if (!node.claimant || now_ < node.frozen_until)
            return;
        const auto claimed_key = key(static_cast<int>(random_.below(400)));
        const auto start = node.claimant->begin(claimed_key, now_);
        for (const auto& holder : start.holders) {
            send(holder, [this, request = start.request](key_simulation::node& holder_node) {
                const auto reply = holder_node.holder->claim(request, now_);
                send(request.sender, [this, reply](key_simulation::node& claimant_node) {
                    if (const auto decision = claimant_node.claimant->receive(reply, now_))
                        handle_decision(claimant_node, *decision);
                });
            });
        }
    }

    void handle_decision(node& node, const key_claim_decision& decision) {
        if (!decision.won) {
            release(decision.holders, decision.release);
            return;
        }
        const bool runs = random_.chance(0.8);
        if (runs)
            ++run_counts_[decision.release.key];
        const int index = static_cast<int>(&node - nodes_);
        const auto boot = node.boot;
        deliver(index, random_.between(1, 2'000),
                [this, boot, runs, decision](key_simulation::node& self) {
                    if (self.boot != boot)
                        return;
                    const auto end = self.claimant->finish(
                        decision.claim_id, runs ? key_state::answered : key_state::none);
                    if (!end->outcome) {
                        release(end->holders, end->release);
                        return;
                    }
                    for (const auto& holder : end->holders)
                        send(holder,
                             [this, outcome = *end->outcome](key_simulation::node& holder_node) {
                                 holder_node.holder->record(outcome, now_);
                             });
                });
    }

    void release(const std::vector<std::string>& holders, const key_claim_release& message) {
        for (const auto& holder : holders)
            send(holder, [message](node& holder_node) { holder_node.holder->release(message); });
    }

    void poll_nodes() {
        for (auto& node : nodes_) {
            if (!node.holder || now_ < node.frozen_until)
                continue;
            node.holder->advance(now_);
            for (const auto& decision : node.claimant->advance(now_))
                handle_decision(node, decision);
            for (auto& sync : node.holder->due_syncs(now_)) {
                send(sync.to, [this, request = sync.message](key_simulation::node& holder_node) {
                    for (const auto& answer : holder_node.holder->answer_sync(request, now_))
                        send(request.sender, [this, answer](key_simulation::node& claimant_node) {
                            claimant_node.holder->apply_sync(answer, now_);
                        });
                });
            }
        }
    }

    // Freezes entryds at any time. Crashes one at a time, and only while all entryds are up, not
    // frozen and may vote for all their keys.
    void inject_fault() {
        const int index = static_cast<int>(random_.below(5));
        if (random_.chance(0.3))
            nodes_[index].frozen_until = now_ + random_.between(50, 3'000);
        for (auto& node : nodes_) {
            if (!node.holder || now_ < node.frozen_until)
                return;
            for (int i = 0; i < 100; ++i) {
                const auto holders = holders_of(key(i), members_);
                const auto& self = members_[&node - nodes_].node;
                if (std::find(holders.begin(), holders.end(), self) != holders.end() &&
                    !node.holder->can_vote(key(i), now_))
                    return;
            }
        }
        ++crashes_;
        nodes_[index].holder.reset();
        nodes_[index].claimant.reset();
        nodes_[index].boot = 0;
        schedule(random_.between(1, 1'500), [this, index] { start_node(index, false); });
    }

    random_source random_;
    std::vector<key_member> members_;
    node nodes_[5];
    time_ms now_ = 0;
    std::uint64_t order_ = 0;
    std::uint64_t boots_ = 0;
    std::priority_queue<event> events_;
    std::map<idempotency_key, int> run_counts_;
    int crashes_ = 0;
};

class key_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(key_test);
    CPPUNIT_TEST(holders_are_in_different_zones);
    CPPUNIT_TEST(two_votes_win);
    CPPUNIT_TEST(second_claim_learns_the_first_outcome);
    CPPUNIT_TEST(not_run_frees_the_key);
    CPPUNIT_TEST(late_votes_do_not_win);
    CPPUNIT_TEST(restarted_holder_waits_for_both_others);
    CPPUNIT_TEST(incomplete_holder_is_no_source);
    CPPUNIT_TEST(restarted_holder_votes_after_the_retention);
    CPPUNIT_TEST(records_end_with_the_retention);
    CPPUNIT_TEST(keys_never_run_twice_under_faults);
    CPPUNIT_TEST_SUITE_END();

  public:
    void setUp() override {
        members_ = members(3, 3);
        for (int i = 0; i < 3; ++i) {
            auto settings = holder_settings(i, members_);
            settings.first_start = true;
            holders_[i] = std::make_unique<key_holder>(settings, 1, 0);
        }
        claimant_ = std::make_unique<key_claimant>("entry-0", members_, 7);
    }

    void holders_are_in_different_zones() {
        const auto all = members(9, 4);
        for (int i = 0; i < 100; ++i) {
            const auto chosen = holders_of(key(i), all);
            CPPUNIT_ASSERT_EQUAL(std::size_t{3}, chosen.size());
            std::set<int> zones;
            for (const auto& node : chosen)
                zones.insert(std::stoi(node.substr(6)) % 4);
            CPPUNIT_ASSERT_EQUAL(std::size_t{3}, zones.size());
        }
    }

    void two_votes_win() {
        const auto start = claimant_->begin(key(1), 0);
        CPPUNIT_ASSERT(!request_vote(start, 0, 1));
        const auto decision = request_vote(start, 1, 2);
        CPPUNIT_ASSERT(decision && decision->won);
        CPPUNIT_ASSERT(!request_vote(start, 2, 3));
    }

    void second_claim_learns_the_first_outcome() {
        const auto first = win_claim(1, 0);
        auto lost_claim = lose_claim(1, 10);
        CPPUNIT_ASSERT(lost_claim.first_state == key_state::in_progress);
        const auto end = claimant_->finish(first, key_state::answered);
        for (auto& holder : holders_)
            holder->record(*end->outcome, 20);
        lost_claim = lose_claim(1, 30);
        CPPUNIT_ASSERT(lost_claim.first_state == key_state::answered);
    }

    void not_run_frees_the_key() {
        const auto first = win_claim(1, 0);
        const auto end = claimant_->finish(first, key_state::none);
        CPPUNIT_ASSERT(!end->outcome);
        for (auto& holder : holders_)
            holder->release(end->release);
        win_claim(1, 10);
    }

    void late_votes_do_not_win() {
        const auto start = claimant_->begin(key(1), 0);
        CPPUNIT_ASSERT(!request_vote(start, 0, 1));
        CPPUNIT_ASSERT(!request_vote(start, 1, claim_timeout));
        const auto decisions = claimant_->advance(claim_timeout);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, decisions.size());
        CPPUNIT_ASSERT(!decisions[0].won);
    }

    void restarted_holder_waits_for_both_others() {
        win_claim(1, 0);
        key_holder restarted(holder_settings(0, members_), 100, 1'000);
        CPPUNIT_ASSERT(!restarted.can_vote(key(1), 1'000));
        CPPUNIT_ASSERT(restarted.due_syncs(1'500).empty());
        const auto requests = restarted.due_syncs(2'200);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, requests.size());
        for (const auto& request : requests) {
            CPPUNIT_ASSERT(!restarted.can_vote(key(1), 2'200));
            auto& other = *holders_[std::stoi(request.to.substr(6))];
            for (const auto& answer : other.answer_sync(request.message, 2'200))
                restarted.apply_sync(answer, 2'200);
        }
        CPPUNIT_ASSERT(restarted.can_vote(key(1), 2'200));
        const auto reply = restarted.claim({key(1), "entry-2", 99}, 2'300);
        CPPUNIT_ASSERT(!reply.granted);
        CPPUNIT_ASSERT(reply.state == key_state::in_progress);
    }

    void incomplete_holder_is_no_source() {
        holders_[1] =
            std::make_unique<key_holder>(holder_settings(1, members_), std::uint64_t{50}, 900);
        key_holder restarted(holder_settings(0, members_), 100, 1'000);
        for (const auto& request : restarted.due_syncs(2'200)) {
            auto& other = *holders_[std::stoi(request.to.substr(6))];
            for (const auto& answer : other.answer_sync(request.message, 2'200))
                restarted.apply_sync(answer, 2'200);
        }
        CPPUNIT_ASSERT(!restarted.can_vote(key(1), 2'200));
    }

    void restarted_holder_votes_after_the_retention() {
        key_holder restarted(holder_settings(0, members_), 100, 1'000);
        CPPUNIT_ASSERT(!restarted.can_vote(key(1), 600'999));
        CPPUNIT_ASSERT(restarted.can_vote(key(1), 601'000));
    }

    void records_end_with_the_retention() {
        win_claim(1, 0);
        holders_[0]->advance(599'999);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, holders_[0]->size());
        holders_[0]->advance(600'000);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, holders_[0]->size());
        win_claim(1, 600'000);
    }

    void keys_never_run_twice_under_faults() {
        for (std::uint64_t seed = 1; seed <= 20; ++seed) {
            key_simulation simulation(seed);
            simulation.run();
            std::printf("seed=%llu ran=%zu crashes=%d doubled=%d\n",
                        static_cast<unsigned long long>(seed), simulation.keys_run(),
                        simulation.crashes(), simulation.keys_run_twice());
            CPPUNIT_ASSERT_EQUAL(0, simulation.keys_run_twice());
            CPPUNIT_ASSERT(simulation.keys_run() > 200);
            CPPUNIT_ASSERT(simulation.crashes() > 3);
        }
    }

  private:
    std::optional<key_claim_decision> request_vote(const key_claim_start& start, int holder,
                                                   time_ms at) {
        return claimant_->receive(holders_[holder]->claim(start.request, at), at);
    }

    std::uint64_t win_claim(int number, time_ms at) {
        const auto start = claimant_->begin(key(number), at);
        std::optional<key_claim_decision> decision;
        for (int i = 0; i < 3; ++i) {
            if (auto result = request_vote(start, i, at))
                decision = result;
        }
        CPPUNIT_ASSERT(decision && decision->won);
        return start.request.claim_id;
    }

    key_claim_decision lose_claim(int number, time_ms at) {
        const auto start = claimant_->begin(key(number), at);
        CPPUNIT_ASSERT(!request_vote(start, 0, at));
        const auto decision = request_vote(start, 1, at);
        CPPUNIT_ASSERT(decision && !decision->won);
        return *decision;
    }

    std::vector<key_member> members_;
    std::unique_ptr<key_holder> holders_[3];
    std::unique_ptr<key_claimant> claimant_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(key_test);

} // namespace
