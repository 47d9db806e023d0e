// Guards against lost, duplicate or reverted changes when replicas stop, crash, lag or lose a disk.
#include "control/cluster.h"

#include <cppunit/extensions/HelperMacros.h>

#include <chrono>

namespace {

using namespace clementine;
using namespace clementine::control;

std::string accepted(std::uint64_t version) {
    return "{\"version\":" + std::to_string(version) + "}\n";
}

class cluster_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(cluster_test);
    CPPUNIT_TEST(change_reaches_entry_nodes_and_status_lists_missing_nodes);
    CPPUNIT_TEST(entry_node_receives_manifest_text_once);
    CPPUNIT_TEST(one_of_several_concurrent_changes_is_accepted);
    CPPUNIT_TEST(resent_request_gets_first_answer_after_leader_change_and_restart);
    CPPUNIT_TEST(leader_crash_loses_no_accepted_change);
    CPPUNIT_TEST(graceful_stop_transfers_leadership);
    CPPUNIT_TEST(late_replica_catches_up_by_snapshot);
    CPPUNIT_TEST(replica_with_lost_disk_rejoins_under_new_id);
    CPPUNIT_TEST(follower_redirects_and_minority_refuses);
    CPPUNIT_TEST_SUITE_END();

  public:
    void change_reaches_entry_nodes_and_status_lists_missing_nodes() {
        cluster replicas("reach", {"reach/e-1", "reach/e-2"});
        replicas.start_all();
        entry_node node("reach/e-1", replicas.controls());
        CPPUNIT_ASSERT_EQUAL(200U, replicas.apply(0, "a", sample_manifest(1)).status);
        CPPUNIT_ASSERT(eventually([&] { return node.version() == 1; }));
        CPPUNIT_ASSERT(eventually([&] {
            return replicas.get("/v1/status")
                       .body.find("\"in_force\":{\"version\":1,\"nodes\":1,\"of\":2,"
                                  "\"missing\":[\"reach/e-2\"]}") != std::string::npos;
        }));
        entry_node second_node("reach/e-2", replicas.controls());
        CPPUNIT_ASSERT(eventually([&] {
            return replicas.get("/v1/status").body.find("\"nodes\":2,\"of\":2,\"missing\":[]") !=
                   std::string::npos;
        }));
    }

    // bench_dissemination counts the text once per node; three copies would exceed its limit.
    void entry_node_receives_manifest_text_once() {
        cluster replicas("once");
        replicas.start_all();
        entry_node node("once/e-1", replicas.controls());
        CPPUNIT_ASSERT_EQUAL(200U, replicas.apply(0, "a", sample_manifest(1)).status);
        CPPUNIT_ASSERT(eventually([&] { return node.version() == 1; }));
        std::string text = sample_manifest(2) + "# " + std::string(20'000, 'x') + "\n";
        const auto before = node.counters->bytes_received.load();
        CPPUNIT_ASSERT_EQUAL(200U, replicas.apply(1, "b", text).status);
        CPPUNIT_ASSERT(eventually([&] { return node.version() == 2; }));
        // By now, followers would have sent a second copy.
        std::this_thread::sleep_for(std::chrono::milliseconds(1'000));
        const auto received = node.counters->bytes_received.load() - before;
        CPPUNIT_ASSERT(received >= text.size());
        CPPUNIT_ASSERT(received < text.size() + 1'000);
    }

    void one_of_several_concurrent_changes_is_accepted() {
        cluster replicas("race");
        replicas.start_all();
        constexpr std::size_t clients = 8;
        for (std::uint64_t base = 0; base < 5; ++base) {
            std::vector<operator_response> answers(clients);
            std::vector<std::thread> threads;
            for (std::size_t i = 0; i < clients; ++i)
                threads.emplace_back([&, i] {
                    answers[i] =
                        replicas.apply(base, std::to_string(base) + "-" + std::to_string(i),
                                       sample_manifest(i), i);
                });
            for (auto& thread : threads)
                thread.join();
            std::string winner;
            for (std::size_t i = 0; i < clients; ++i) {
                if (answers[i].status != 200)
                    continue;
                CPPUNIT_ASSERT_EQUAL(std::string(), winner);
                winner = std::to_string(base) + "-" + std::to_string(i);
                CPPUNIT_ASSERT_EQUAL(accepted(base + 1), answers[i].body);
            }
            CPPUNIT_ASSERT(!winner.empty());
            const auto conflict = "{\"version\":" + std::to_string(base + 1) +
                                  ",\"request_id\":\"" + winner + "\"}\n";
            for (const auto& answer : answers) {
                if (answer.status != 200)
                    CPPUNIT_ASSERT_EQUAL(conflict, answer.body);
            }
        }
    }

    void resent_request_gets_first_answer_after_leader_change_and_restart() {
        cluster replicas("resend");
        replicas.options.snapshot_entries = 5;
        replicas.start_all();
        for (std::uint64_t i = 0; i < 12; ++i)
            CPPUNIT_ASSERT_EQUAL(
                accepted(i + 1),
                replicas.apply(i, "id-" + std::to_string(i), sample_manifest(i)).body);
        const auto conflict = replicas.apply(3, "late", sample_manifest(0)).body;
        CPPUNIT_ASSERT_EQUAL(std::string("{\"version\":12,\"request_id\":\"id-11\"}\n"), conflict);
        replicas.kill(replicas.leader());
        CPPUNIT_ASSERT_EQUAL(accepted(4), replicas.apply(3, "id-3", sample_manifest(3)).body);
        for (std::size_t i = 0; i < 3; ++i) {
            if (replicas.at(i) != nullptr)
                replicas.kill(i);
        }
        replicas.start_all();
        CPPUNIT_ASSERT_EQUAL(accepted(4), replicas.apply(3, "id-3", sample_manifest(3)).body);
        CPPUNIT_ASSERT_EQUAL(accepted(12), replicas.apply(11, "id-11", sample_manifest(11)).body);
        CPPUNIT_ASSERT_EQUAL(accepted(13), replicas.apply(12, "new", sample_manifest(0)).body);
        CPPUNIT_ASSERT_EQUAL(conflict, replicas.apply(3, "late", sample_manifest(0)).body);
    }

    void leader_crash_loses_no_accepted_change() {
        cluster replicas("kill");
        replicas.start_all();
        entry_node node("kill/e-1", replicas.controls());
        std::uint64_t version = 0;
        for (int round = 0; round < 3; ++round) {
            for (int i = 0; i < 5; ++i) {
                const auto id = std::to_string(version);
                CPPUNIT_ASSERT_EQUAL(accepted(version + 1),
                                     replicas.apply(version, id, sample_manifest(version)).body);
                ++version;
            }
            const auto leading = replicas.leader();
            replicas.kill(leading);
            const auto id = std::to_string(version);
            CPPUNIT_ASSERT_EQUAL(accepted(version + 1),
                                 replicas.apply(version, id, sample_manifest(version)).body);
            ++version;
            replicas.start(leading);
        }
        CPPUNIT_ASSERT(eventually([&] { return node.version() == version; }));
        const auto seen = node.versions();
        for (std::size_t i = 1; i < seen.size(); ++i)
            CPPUNIT_ASSERT(seen[i] > seen[i - 1]);
        for (std::size_t i = 0; i < 3; ++i)
            CPPUNIT_ASSERT(eventually([&] { return replicas.at(i)->status().version == version; }));
    }

    // Without a leadership transfer, the next election starts after at least 1,050 ms.
    void graceful_stop_transfers_leadership() {
        cluster replicas("planned");
        replicas.start_all();
        CPPUNIT_ASSERT_EQUAL(200U, replicas.apply(0, "a", sample_manifest(1)).status);
        const auto leading = replicas.leader();
        replicas.at(leading)->stop_gracefully();
        const steady_clock clock;
        const auto start = clock.now();
        const auto next = replicas.leader();
        CPPUNIT_ASSERT(next != leading);
        CPPUNIT_ASSERT(clock.now() - start < 1'000);
        replicas.kill(leading);
        CPPUNIT_ASSERT_EQUAL(accepted(2), replicas.apply(1, "b", sample_manifest(2)).body);
    }

    void late_replica_catches_up_by_snapshot() {
        cluster replicas("catch-up");
        replicas.options.snapshot_entries = 50;
        replicas.options.trailing_entries = 20;
        replicas.start_all();
        CPPUNIT_ASSERT_EQUAL(200U, replicas.apply(0, "0", sample_manifest(0)).status);
        const auto late = replicas.follower();
        replicas.kill(late);
        constexpr std::uint64_t changes = 300;
        for (std::uint64_t i = 1; i < changes; ++i)
            CPPUNIT_ASSERT_EQUAL(200U,
                                 replicas.apply(i, std::to_string(i), sample_manifest(i)).status);
        replicas.start(late);
        CPPUNIT_ASSERT(eventually([&] { return replicas.at(late)->status().version == changes; }));
        // Its own log held a single change, so the state must have come as a snapshot.
        CPPUNIT_ASSERT(replicas.at(late)->status().snapshot > 200);
        // An entry node connected only to the late replica gets the newest version.
        entry_node node("catch-up/e-1", {replicas.controls()[late]});
        CPPUNIT_ASSERT(eventually([&] { return node.version() == changes; }));
    }

    void replica_with_lost_disk_rejoins_under_new_id() {
        cluster replicas("disk");
        replicas.start_all();
        CPPUNIT_ASSERT_EQUAL(200U, replicas.apply(0, "a", sample_manifest(1)).status);
        const auto lost = replicas.follower();
        replicas.kill(lost);
        replicas.wipe_disk(lost);
        replicas.start(lost);
        const auto id = replicas.at(lost)->status().id;
        CPPUNIT_ASSERT(id >= consensus::first_random_id);
        CPPUNIT_ASSERT(eventually([&] {
            const auto members = replicas.at(lost)->status().members;
            bool voter = false;
            for (const auto& member : members)
                voter = voter || (member.id == id && member.voter);
            return voter && members.size() == 3;
        }));
        CPPUNIT_ASSERT(eventually([&] { return replicas.at(lost)->status().version == 1; }));
        // It is a voter: the cluster survives the loss of another replica.
        replicas.kill((lost + 1) % 3);
        CPPUNIT_ASSERT_EQUAL(accepted(2), replicas.apply(1, "b", sample_manifest(2)).body);
    }

    void follower_redirects_and_minority_refuses() {
        cluster replicas("minority");
        replicas.start_all();
        CPPUNIT_ASSERT_EQUAL(200U, replicas.apply(0, "a", sample_manifest(1)).status);
        const auto leading = replicas.leader();
        const auto following = replicas.follower();
        operator_request request;
        request.target = "/v1/status";
        const auto redirect = exchange(replicas.operators(following)[0], request, 3'000);
        CPPUNIT_ASSERT(redirect.has_value());
        CPPUNIT_ASSERT_EQUAL(307U, redirect->status);
        const auto address = replicas.operators(leading)[0];
        CPPUNIT_ASSERT_EQUAL("http://" + address.address + ":" + std::to_string(address.port) +
                                 "/v1/status",
                             redirect->location);
        for (std::size_t i = 0; i < 3; ++i) {
            if (i != leading)
                replicas.kill(i);
        }
        // After its lease expires, the old leader answers no reads.
        CPPUNIT_ASSERT(eventually([&] {
            const auto answer = exchange(address, request, 3'000);
            return answer && answer->status == 503;
        }));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(cluster_test);

} // namespace
