// Tests of the replica on fixed schedules. Random schedules are covered by tests/soak.
#include "consensus/cluster.h"

#include <cppunit/extensions/HelperMacros.h>

namespace {

using namespace clementine;
using namespace clementine::consensus;

class replica_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(replica_test);
    CPPUNIT_TEST(elects_one_leader_and_commits);
    CPPUNIT_TEST(single_voter_commits_alone);
    CPPUNIT_TEST(isolated_leader_loses_lease_and_steps_down);
    CPPUNIT_TEST(rejoining_replica_does_not_force_an_election);
    CPPUNIT_TEST(restarted_voter_still_denies_votes);
    CPPUNIT_TEST(new_member_gets_a_chunked_snapshot_and_votes);
    CPPUNIT_TEST(lagging_learner_is_not_promoted);
    CPPUNIT_TEST(transfer_moves_leadership_without_election_timeout);
    CPPUNIT_TEST(uncommitted_bytes_are_bounded);
    CPPUNIT_TEST(large_entries_before_a_snapshot_fill_the_memory);
    CPPUNIT_TEST(stopped_replica_sends_nothing);
    CPPUNIT_TEST(own_vote_and_entries_count_only_after_sync);
    CPPUNIT_TEST(entries_of_earlier_terms_are_not_counted);
    CPPUNIT_TEST(unfinished_transfer_ends_the_term);
    CPPUNIT_TEST(corrupt_or_duplicate_chunks_are_not_installed);
    CPPUNIT_TEST(messages_for_an_old_id_are_ignored);
    CPPUNIT_TEST(backward_clock_step_ends_the_lease);
    CPPUNIT_TEST(immediate_entries_overtake_outstanding_ones);
    CPPUNIT_TEST(snapshot_of_its_own_delays_committed_entries);
    CPPUNIT_TEST_SUITE_END();

    static std::size_t applied_command_count(const test_cluster::node& node) {
        std::size_t count = 0;
        for (const auto& each : node.applied)
            count += each.kind == entry_kind::command ? 1 : 0;
        return count;
    }

    static membership three_voters() {
        return {.members = {{.id = 1, .node = "node-1", .voter = true},
                            {.id = 2, .node = "node-2", .voter = true},
                            {.id = 3, .node = "node-3", .voter = true}}};
    }

    // Ticks the replica until it has the role, and returns the time.
    static time_ms tick_until(replica& core, replica_role role, time_ms now) {
        while (core.role() != role) {
            now += 10;
            core.tick(now);
            CPPUNIT_ASSERT(now < 10'000);
        }
        return now;
    }

    static void complete_ready(replica& core) {
        while (core.has_ready())
            core.writes_synced(core.take_ready());
    }

  public:
    void elects_one_leader_and_commits() {
        test_cluster cluster(3);
        cluster.run(5'000);
        const auto leader = cluster.leader();
        CPPUNIT_ASSERT(leader != 0);
        for (int i = 0; i < 100; ++i)
            CPPUNIT_ASSERT(std::holds_alternative<log_position>(cluster.at(leader).propose("x")));
        cluster.run(300);
        for (const auto& [id, node] : cluster.nodes)
            CPPUNIT_ASSERT_EQUAL(std::size_t{100}, applied_command_count(node));
    }

    void single_voter_commits_alone() {
        test_cluster cluster(1);
        cluster.run(3'000);
        CPPUNIT_ASSERT_EQUAL(replica_id{1}, cluster.leader());
        cluster.at(1).propose("x");
        cluster.run(10);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, applied_command_count(cluster.nodes[1]));
    }

    void isolated_leader_loses_lease_and_steps_down() {
        test_cluster cluster(3);
        cluster.run(5'000);
        const auto old = cluster.leader();
        cluster.isolated.insert(old);
        cluster.run(lease_duration);
        CPPUNIT_ASSERT(!cluster.at(old).holds_lease(cluster.now));
        CPPUNIT_ASSERT(std::get<refusal>(cluster.at(old).read(cluster.now)) == refusal::no_lease);
        cluster.run(5'000);
        CPPUNIT_ASSERT(cluster.at(old).role() != replica_role::leader);
        CPPUNIT_ASSERT(cluster.leader() != 0);
    }

    void rejoining_replica_does_not_force_an_election() {
        test_cluster cluster(3);
        cluster.run(5'000);
        const auto leader = cluster.leader();
        const auto term = cluster.at(leader).term();
        const replica_id other = leader == 1 ? 2 : 1;
        cluster.isolated.insert(other);
        cluster.run(20'000);
        cluster.isolated.clear();
        cluster.run(3'000);
        CPPUNIT_ASSERT_EQUAL(leader, cluster.leader());
        CPPUNIT_ASSERT_EQUAL(term, cluster.at(leader).term());
    }

    void restarted_voter_still_denies_votes() {
        test_cluster cluster(3);
        cluster.run(5'000);
        const auto leader = cluster.leader();
        const replica_id voter = leader == 1 ? 2 : 1;
        cluster.start(voter, cluster.nodes[voter].disk);
        auto& restarted = cluster.at(voter);
        const message request{.from = 99,
                              .to = voter,
                              .term = restarted.term() + 1,
                              .body = vote_request{.last_index = 1'000, .last_term = 1'000}};
        restarted.step(request, cluster.now + 10);
        CPPUNIT_ASSERT(restarted.term() < request.term);
        // A clock jump does not end the vote denial period.
        restarted.step(request, cluster.now + 10'000);
        CPPUNIT_ASSERT(restarted.term() < request.term);
    }

    void new_member_gets_a_chunked_snapshot_and_votes() {
        test_cluster cluster(3);
        cluster.run(5'000);
        const auto leader = cluster.leader();
        for (int i = 0; i < 10; ++i)
            cluster.at(leader).propose("x");
        cluster.run(300);
        const std::string state(snapshot_chunk_bytes * 2 + 5, 's');
        cluster.at(leader).take_snapshot(cluster.at(leader).status().applied, state);
        cluster.start(70'000, {});
        cluster.at(leader).propose_change(add_learner{.id = 70'000, .node = "node-4"});
        cluster.run(1'000);
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, cluster.sent_chunks);
        CPPUNIT_ASSERT(cluster.nodes[70'000].installed->data == state);
        CPPUNIT_ASSERT(std::holds_alternative<log_position>(
            cluster.at(leader).propose_change(promote_learner{70'000})));
        cluster.run(300);
        CPPUNIT_ASSERT(cluster.at(70'000).members().is_voter(70'000));
    }

    void lagging_learner_is_not_promoted() {
        test_cluster cluster(3);
        cluster.run(5'000);
        auto& leader = cluster.at(cluster.leader());
        leader.propose_change(add_learner{.id = 70'000, .node = "node-4"});
        cluster.run(300);
        CPPUNIT_ASSERT(std::get<refusal>(leader.propose_change(promote_learner{70'000})) ==
                       refusal::not_caught_up);
        leader.propose_change(remove_member{70'000});
        CPPUNIT_ASSERT(std::get<refusal>(leader.propose_change(remove_member{1})) ==
                       refusal::change_pending);
    }

    void transfer_moves_leadership_without_election_timeout() {
        test_cluster cluster(3);
        cluster.run(5'000);
        const auto old = cluster.leader();
        CPPUNIT_ASSERT(!cluster.at(old).transfer_leadership());
        CPPUNIT_ASSERT(!cluster.at(old).holds_lease(cluster.now));
        cluster.run(200);
        CPPUNIT_ASSERT(cluster.leader() != 0);
        CPPUNIT_ASSERT(cluster.leader() != old);
    }

    void uncommitted_bytes_are_bounded() {
        test_cluster cluster(3);
        cluster.run(5'000);
        auto& leader = cluster.at(cluster.leader());
        const std::string largest_entry(max_entry_bytes, 'x');
        CPPUNIT_ASSERT(std::get<refusal>(leader.propose(largest_entry + "x")) ==
                       refusal::too_large);
        int accepted = 0;
        while (std::holds_alternative<log_position>(leader.propose(largest_entry)))
            ++accepted;
        CPPUNIT_ASSERT_EQUAL(8, accepted);
        cluster.run(1'000);
        CPPUNIT_ASSERT(std::holds_alternative<log_position>(leader.propose(largest_entry)));
    }

    // The entries kept for slow followers were bounded in number only: large configurations filled
    // the memory of a node.
    void large_entries_before_a_snapshot_fill_the_memory() {
        constexpr index_t max_kept = 32; // 16 MiB
        const membership alone{.members = {{.id = 1, .node = "node-1", .voter = true}}};
        replica node(
            {.id = 1, .seed = 1},
            {.state = {.term = 1, .vote = 0}, .snap = bootstrap_snapshot(alone), .entries = {}}, 0);
        time_ms now = 0;
        const auto run = [&] {
            for (const auto end = now + 5'000; now < end;) {
                now += 10;
                node.tick(now);
                while (node.has_ready())
                    node.writes_synced(node.take_ready());
            }
        };
        run();
        for (index_t i = 0; i < max_kept + 8; ++i) {
            CPPUNIT_ASSERT(std::holds_alternative<log_position>(
                node.propose(std::string(max_entry_bytes, 'x'))));
            while (node.has_ready())
                node.writes_synced(node.take_ready());
        }
        node.take_snapshot(node.status().applied, "state");
        run();
        CPPUNIT_ASSERT_EQUAL(max_kept, node.status().last + 1 - node.status().first);
    }

    // A replica whose fsync failed must not acknowledge anything after it.
    void stopped_replica_sends_nothing() {
        test_cluster cluster(3);
        cluster.run(5'000);
        auto& node = cluster.at(cluster.leader());
        node.propose("x");
        node.storage_failed();
        CPPUNIT_ASSERT(!node.has_ready());
        CPPUNIT_ASSERT(std::get<refusal>(node.propose("x")) == refusal::stopped);
        cluster.run(5'000);
        CPPUNIT_ASSERT(cluster.leader() != 0);
    }

    // A vote or entry that is counted before its sync could be lost in a crash.
    void own_vote_and_entries_count_only_after_sync() {
        const membership alone{.members = {{.id = 1, .node = "node-1", .voter = true}}};
        replica core(
            {.id = 1},
            {.state = {.term = 1, .vote = 0}, .snap = bootstrap_snapshot(alone), .entries = {}}, 0);
        const auto now = tick_until(core, replica_role::candidate, 0);
        const auto vote = core.take_ready();
        CPPUNIT_ASSERT(vote.state.has_value());
        CPPUNIT_ASSERT(!core.holds_lease(now));
        core.writes_synced(vote);
        CPPUNIT_ASSERT(core.role() == replica_role::leader);
        const auto first = core.take_ready();
        CPPUNIT_ASSERT_EQUAL(index_t{1}, core.commit_index());
        core.writes_synced(first);
        CPPUNIT_ASSERT_EQUAL(index_t{2}, core.commit_index());
    }

    // A majority that stores an entry of an earlier term does not make it committed: a leader of a
    // term in between may still replace it.
    void entries_of_earlier_terms_are_not_counted() {
        replica core({.id = 1},
                     {.state = {.term = 3, .vote = 0},
                      .snap = bootstrap_snapshot(three_voters()),
                      .entries = {{.index = 2, .term = 2, .data = "old"}}},
                     0);
        const auto now = tick_until(core, replica_role::pre_candidate, 0);
        core.step({.from = 2, .to = 1, .term = 4, .body = vote_reply{true, true}}, now);
        complete_ready(core);
        core.step({.from = 2, .to = 1, .term = 4, .body = vote_reply{true, false}}, now);
        complete_ready(core);
        CPPUNIT_ASSERT(core.role() == replica_role::leader);
        append_reply reply{.accepted = true, .match = 2, .prev_index = 2, .sent_at = now};
        core.step({.from = 2, .to = 1, .term = 4, .body = reply}, now);
        CPPUNIT_ASSERT_EQUAL(index_t{1}, core.commit_index());
        reply.match = 3;
        core.step({.from = 2, .to = 1, .term = 4, .body = reply}, now);
        CPPUNIT_ASSERT_EQUAL(index_t{3}, core.commit_index());
    }

    // Each snapshot that a leader took held up all commits until it was written.
    void snapshot_of_its_own_delays_committed_entries() {
        replica core({.id = 1},
                     {.state = {.term = 1, .vote = 0},
                      .snap = bootstrap_snapshot(three_voters()),
                      .entries = {}},
                     0);
        const auto now = tick_until(core, replica_role::pre_candidate, 0);
        core.step({.from = 2, .to = 1, .term = 2, .body = vote_reply{true, true}}, now);
        complete_ready(core);
        core.step({.from = 2, .to = 1, .term = 2, .body = vote_reply{true, false}}, now);
        complete_ready(core);
        const auto acknowledge = [&](index_t index) {
            const append_reply reply{
                .accepted = true, .match = index, .prev_index = index, .sent_at = now};
            core.step({.from = 2, .to = 1, .term = 2, .body = reply}, now);
        };
        acknowledge(2);
        core.propose("x");
        complete_ready(core);
        core.take_snapshot(2, "state");
        acknowledge(3);
        const auto committed = core.take_immediate().committed;
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, committed.size());
        CPPUNIT_ASSERT_EQUAL(index_t{3}, committed.front().index);
    }

    // Entries were applied out of order while earlier ones waited for a write, such as a snapshot.
    void immediate_entries_overtake_outstanding_ones() {
        replica core({.id = 1},
                     {.state = {.term = 1, .vote = 0},
                      .snap = bootstrap_snapshot(three_voters()),
                      .entries = {}},
                     0);
        const auto now = tick_until(core, replica_role::pre_candidate, 0);
        core.step({.from = 2, .to = 1, .term = 2, .body = vote_reply{true, true}}, now);
        complete_ready(core);
        core.step({.from = 2, .to = 1, .term = 2, .body = vote_reply{true, false}}, now);
        core.propose("x");
        complete_ready(core);
        const auto acknowledge = [&](index_t index) {
            const append_reply reply{
                .accepted = true, .match = index, .prev_index = index, .sent_at = now};
            core.step({.from = 2, .to = 1, .term = 2, .body = reply}, now);
        };
        acknowledge(2);
        core.propose("y");
        const auto outstanding = core.take_ready();
        CPPUNIT_ASSERT(outstanding.has_writes());
        CPPUNIT_ASSERT_EQUAL(index_t{2}, outstanding.committed.back().index);
        acknowledge(3);
        CPPUNIT_ASSERT(core.take_immediate().committed.empty());
        core.writes_synced(outstanding);
        CPPUNIT_ASSERT_EQUAL(index_t{3}, core.take_immediate().committed.front().index);
    }

    // A delayed timeout_now lets the target campaign without waiting for the lease to end, so the
    // old leader must not hold the lease again in the same term.
    void unfinished_transfer_ends_the_term() {
        test_cluster cluster(3);
        cluster.run(5'000);
        const auto old = cluster.leader();
        const auto term = cluster.at(old).term();
        const replica_id target = old == 1 ? 2 : 1;
        cluster.isolated.insert(target);
        CPPUNIT_ASSERT(!cluster.at(old).transfer_leadership(target));
        for (int i = 0; i < 200; ++i) {
            cluster.run(10);
            const auto& core = cluster.at(old);
            CPPUNIT_ASSERT(core.term() != term || !core.holds_lease(cluster.now));
        }
        cluster.run(5'000);
        CPPUNIT_ASSERT(cluster.leader() != 0);
    }

    void corrupt_or_duplicate_chunks_are_not_installed() {
        replica core({.id = 1}, {}, 0);
        snapshot_chunk chunk{.index = 9,
                             .term = 2,
                             .membership = three_voters(),
                             .total_bytes = 4,
                             .checksum = 0xE3069283, // of "123456789", not of this data
                             .offset = 0,
                             .sent_at = 0,
                             .data = "1234"};
        core.step({.from = 2, .to = 1, .term = 2, .body = chunk}, 10);
        CPPUNIT_ASSERT_EQUAL(index_t{0}, core.commit_index());
        chunk.total_bytes = 9;
        core.step({.from = 2, .to = 1, .term = 2, .body = chunk}, 20);
        core.step({.from = 2, .to = 1, .term = 2, .body = chunk}, 20);
        chunk.offset = 4;
        chunk.data = "56789";
        core.step({.from = 2, .to = 1, .term = 2, .body = chunk}, 30);
        CPPUNIT_ASSERT_EQUAL(index_t{9}, core.commit_index());
        const auto work = core.take_ready();
        CPPUNIT_ASSERT(work.install && work.snap->data == "123456789");
    }

    // A replacement must not reply in place of the replica whose disk was lost.
    void messages_for_an_old_id_are_ignored() {
        replica core({.id = 70'000}, {}, 0);
        core.step({.from = 2, .to = 1, .term = 5, .body = append_request{}}, 10);
        CPPUNIT_ASSERT_EQUAL(term_t{0}, core.term());
        CPPUNIT_ASSERT(!core.has_ready());
    }

    // After a backward step, the lease would outlast the vote denial periods that it relies on.
    void backward_clock_step_ends_the_lease() {
        test_cluster cluster(3);
        cluster.run(5'000);
        auto& core = cluster.at(cluster.leader());
        CPPUNIT_ASSERT(!core.holds_lease(cluster.now - 500));
        core.tick(cluster.now - 500);
        CPPUNIT_ASSERT(core.role() == replica_role::follower);
        CPPUNIT_ASSERT(!core.holds_lease(cluster.now));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(replica_test);

} // namespace
