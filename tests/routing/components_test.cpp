// Guards against unfair queues, unbounded retries, servers that attract load by failing fast, and
// slots that are granted twice.
#include "routing/home_record.h"
#include "routing/peer_link.h"
#include "routing/retry_budget.h"
#include "routing/server_health.h"
#include "routing/share_targets.h"
#include "routing/workspace_queue.h"

#include <cppunit/extensions/HelperMacros.h>

#include <numeric>

namespace {

using namespace clementine;
using namespace clementine::routing;

class components_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(components_test);
    CPPUNIT_TEST(queue_serves_workspaces_by_weight);
    CPPUNIT_TEST(push_front_restores_the_order);
    CPPUNIT_TEST(queue_drops_expired_and_withdrawn);
    CPPUNIT_TEST(retries_are_a_share_of_first_attempts);
    CPPUNIT_TEST(penalty_doubles_up_to_a_limit);
    CPPUNIT_TEST(largest_remainder_gives_out_everything);
    CPPUNIT_TEST(floors_spread_over_members);
    CPPUNIT_TEST(foreign_and_repeated_tokens);
    CPPUNIT_TEST(reduction_counts_until_confirmed);
    CPPUNIT_TEST(busy_frees_an_expired_share_only_after_transit);
    CPPUNIT_TEST(orphans_end_after_the_longest_request);
    CPPUNIT_TEST(unattributed_busy_is_not_granted);
    CPPUNIT_TEST(link_sends_only_what_is_not_confirmed);
    CPPUNIT_TEST(link_ignores_old_and_incomplete_ticks);
    CPPUNIT_TEST(link_forgets_a_restarted_peer);
    CPPUNIT_TEST_SUITE_END();

  public:
    void queue_serves_workspaces_by_weight() {
        workspace_queue queue(100);
        queue.set_weights({{"a", 3}, {"b", 1}});
        for (std::uint64_t i = 0; i < 40; ++i)
            push(queue, i, i < 20 ? "a" : "b");
        int of_a = 0;
        for (int i = 0; i < 16; ++i)
            of_a += queue.pop()->request.workspace == "a" ? 1 : 0;
        CPPUNIT_ASSERT_EQUAL(12, of_a);
    }

    void push_front_restores_the_order() {
        workspace_queue queue(2);
        push(queue, 1, "a");
        push(queue, 2, "a");
        CPPUNIT_ASSERT(queue.full());
        queue.push_front(std::move(*queue.pop()));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, queue.pop()->request.request_id);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, queue.pop()->request.request_id);
        CPPUNIT_ASSERT(!queue.pop());
    }

    void queue_drops_expired_and_withdrawn() {
        workspace_queue queue(10);
        push(queue, 1, "a", 100);
        push(queue, 2, "a", 200);
        push(queue, 3, "b", 100);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, queue.remove_expired(100).size());
        CPPUNIT_ASSERT(queue.remove(2));
        CPPUNIT_ASSERT(!queue.remove(2));
        CPPUNIT_ASSERT(queue.empty());
    }

    void retries_are_a_share_of_first_attempts() {
        retry_budget budget(0.2);
        int taken = 0;
        while (budget.take(0))
            ++taken;
        CPPUNIT_ASSERT_EQUAL(3, taken);
        for (int i = 0; i < 100; ++i)
            budget.count_first_attempt(5'000);
        while (budget.take(5'000))
            ++taken;
        CPPUNIT_ASSERT_EQUAL(20, taken);
        CPPUNIT_ASSERT(!budget.take(9'999));
        CPPUNIT_ASSERT(budget.take(10'000));
        CPPUNIT_ASSERT(budget.take(15'000));
    }

    void penalty_doubles_up_to_a_limit() {
        server_health health;
        health.record(attempt_result::failed, 0);
        CPPUNIT_ASSERT_EQUAL(1, health.penalty(199));
        CPPUNIT_ASSERT_EQUAL(0, health.penalty(200));
        health.record(attempt_result::lost, 200);
        CPPUNIT_ASSERT_EQUAL(2, health.penalty(599));
        CPPUNIT_ASSERT_EQUAL(0, health.penalty(600));
        for (int i = 0; i < 20; ++i)
            health.record(attempt_result::not_run, 1'000);
        CPPUNIT_ASSERT(health.suspect(30'999));
        CPPUNIT_ASSERT(!health.suspect(31'000));
        health.record(attempt_result::abandoned, 1'000);
        CPPUNIT_ASSERT(health.penalty(2'000) > 0);
        health.record(attempt_result::answered, 2'000);
        CPPUNIT_ASSERT_EQUAL(0, health.penalty(2'000));
    }

    void largest_remainder_gives_out_everything() {
        CPPUNIT_ASSERT((std::vector<int>{4, 3, 1}) ==
                       largest_remainder(8, {4.2, 2.8, 1.0}, {0, 0, 0}));
        const auto equal = largest_remainder(8, {0, 0, 0}, {0, 0.1, 0.2});
        CPPUNIT_ASSERT((std::vector<int>{2, 3, 3}) == equal);
        CPPUNIT_ASSERT(largest_remainder(5, {}, {}).empty());
    }

    void floors_spread_over_members() {
        std::vector<std::string> members;
        for (int i = 0; i < 9; ++i)
            members.push_back("entry-" + std::to_string(i));
        std::vector<int> sums(9, 0);
        for (int server = 0; server < 10; ++server) {
            const auto floors = slot_floors("s" + std::to_string(server), 8, members);
            CPPUNIT_ASSERT_EQUAL(2, std::accumulate(floors.begin(), floors.end(), 0));
            for (int i = 0; i < 9; ++i)
                sums[i] += floors[i];
        }
        CPPUNIT_ASSERT(*std::max_element(sums.begin(), sums.end()) <= 6);
    }

    void foreign_and_repeated_tokens() {
        home_lease lease("entry-1", 7, 3, 2'500);
        const auto token = lease.issue(1'000);
        CPPUNIT_ASSERT(!home_lease("entry-2", 7, 3, 2'500).accept_echo(token));
        CPPUNIT_ASSERT(!home_lease("entry-1", 8, 3, 2'500).accept_echo(token));
        CPPUNIT_ASSERT(lease.accept_echo(token) == time_ms{1'000});
        CPPUNIT_ASSERT_EQUAL(time_ms{3'500}, lease.ends());
        lease.issue(2'000);
        lease.accept_echo(token);
        CPPUNIT_ASSERT_EQUAL(time_ms{3'500}, lease.ends());
        // A later lease of the same process has a higher epoch but issues the same serials again.
        home_lease later("entry-1", 7, 4, 2'500);
        later.issue(9'000);
        CPPUNIT_ASSERT(!later.accept_echo(token));
        for (const char* bad :
             {"", "1", "1.2.3", "1.2.3.", "a.2.3.n", "1..3.n", "99999999999999999999.1.1.n"})
            CPPUNIT_ASSERT(!parse_token(bad));
    }

    void reduction_counts_until_confirmed() {
        holder_state holder;
        holder.granted = 5;
        holder.mark_sent(1);
        holder.granted = 2;
        holder.mark_sent(2);
        holder.mark_applied(1);
        CPPUNIT_ASSERT_EQUAL(5, holder.taken_slots());
        holder.mark_applied(2);
        CPPUNIT_ASSERT_EQUAL(2, holder.taken_slots());
        holder.reported_in_use = 4;
        CPPUNIT_ASSERT_EQUAL(4, holder.taken_slots());
    }

    void busy_frees_an_expired_share_only_after_transit() {
        auto record = make_home_record(8);
        record.holders["entry-2"].granted = 5;
        record.holders["entry-2"].mark_sent(1);
        record.holders["entry-2"].expire(10'000);
        record.apply_busy(2, 10'400, 0);
        CPPUNIT_ASSERT_EQUAL(3, record.free_slots(0));
        record.apply_busy(2, 10'500, 0);
        CPPUNIT_ASSERT_EQUAL(6, record.free_slots(0));
        record.apply_busy(7, 11'000, 0);
        CPPUNIT_ASSERT_EQUAL(1, record.free_slots(0));
        record.apply_busy(0, 11'500, 0);
        CPPUNIT_ASSERT_EQUAL(8, record.free_slots(0));
    }

    void orphans_end_after_the_longest_request() {
        auto record = make_home_record(8);
        record.add_orphans(3, 10'000);
        record.apply_busy(2, 10'499, 0);
        CPPUNIT_ASSERT_EQUAL(5, record.free_slots(0));
        record.apply_busy(2, 10'500, 0);
        CPPUNIT_ASSERT_EQUAL(6, record.free_slots(0));
        record.release_overdue(40'499, 30'000);
        CPPUNIT_ASSERT_EQUAL(6, record.free_slots(0));
        record.release_overdue(40'500, 30'000);
        CPPUNIT_ASSERT_EQUAL(8, record.free_slots(0));
    }

    void unattributed_busy_is_not_granted() {
        auto record = make_home_record(8);
        record.self_slots = 2;
        record.apply_busy(5, 1'000, 2);
        CPPUNIT_ASSERT_EQUAL(3, record.free_slots(2));
    }

    void link_sends_only_what_is_not_confirmed() {
        peer_link a("a", 1, "b");
        peer_link b("b", 2, "a");
        const auto first = a.compose(make_tick_content(3), 0);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, first->grants.size());
        CPPUNIT_ASSERT(!a.compose(make_tick_content(3), 100));
        CPPUNIT_ASSERT(b.receive(*first, 10, 2'000).applied);
        CPPUNIT_ASSERT_EQUAL(std::string("i1"), b.claims().at("s1").instance);
        a.receive(*b.compose({}, 20), 30, 2'000);
        const auto second = a.compose(make_tick_content(3), 600);
        CPPUNIT_ASSERT(second && second->grants.empty());
        const auto effect = b.receive(*second, 610, 2'000);
        CPPUNIT_ASSERT_EQUAL(time_ms{20 + 1'500}, effect.shares_valid_until);
        const auto third = a.compose(make_tick_content(2), 850);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, third->grants.size());
        CPPUNIT_ASSERT(third->grants[0].instance.empty());
        b.receive(*third, 860, 2'000);
        CPPUNIT_ASSERT_EQUAL(2, b.claims().at("s1").slots);
        CPPUNIT_ASSERT_EQUAL(std::string("i1"), b.claims().at("s1").instance);
        b.receive(*a.compose({}, 1'450), 1'460, 2'000);
        CPPUNIT_ASSERT(b.claims().empty());
    }

    void link_ignores_old_and_incomplete_ticks() {
        peer_link a("a", 1, "b");
        peer_link b("b", 2, "a");
        const auto first = a.compose(make_tick_content(3), 0);
        const auto second = a.compose(make_tick_content(2), 500);
        CPPUNIT_ASSERT(b.receive(*second, 510, 2'000).applied);
        CPPUNIT_ASSERT(!b.receive(*first, 520, 2'000).applied);
        CPPUNIT_ASSERT_EQUAL(2, b.claims().at("s1").slots);
        a.receive(*b.compose({}, 530), 540, 2'000);
        // A new process of b has not applied the base of the next tick.
        const auto third = a.compose(make_tick_content(2), 1'200);
        CPPUNIT_ASSERT(third && third->base == 2);
        peer_link restarted("b", 3, "a");
        CPPUNIT_ASSERT(!restarted.receive(*third, 1'210, 2'000).applied);
    }

    void link_forgets_a_restarted_peer() {
        peer_link a("a", 1, "b");
        const auto old = a.compose(make_tick_content(3), 0);
        peer_link b("b", 2, "a");
        b.receive(*old, 10, 2'000);
        peer_link restarted("a", 9, "b");
        const auto effect = b.receive(*restarted.compose({}, 100), 110, 2'000);
        CPPUNIT_ASSERT(effect.restarted);
        CPPUNIT_ASSERT(b.claims().empty());
        CPPUNIT_ASSERT(!b.receive(*a.compose(make_tick_content(3), 600), 610, 2'000).applied);
        CPPUNIT_ASSERT(b.claims().empty());
    }

  private:
    static void push(workspace_queue& queue, std::uint64_t id, const std::string& workspace,
                     time_ms deadline = 1'000) {
        queue.push({{id, "tickets", workspace, deadline, {}}, [](admission_result) {}, 0});
    }

    static home_record make_home_record(int slots) {
        return {home_lease("entry-1", 1, 1, 2'500), slots};
    }

    static tick_content make_tick_content(int slots) {
        tick_content out;
        out.valid_for = 1'500;
        share_grant grant;
        grant.backend_server = "s1";
        grant.slots = slots;
        grant.instance = "i1";
        out.grants["s1"] = grant;
        return out;
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(components_test);

} // namespace
