// Guards a leader that cannot serve or answers late against the retries of the nodes that forward
// requests to it. The links are real; the leader is a stand-in.
#include "control/leader_router.h"
#include "wire/channel_server.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <chrono>
#include <memory>
#include <set>
#include <vector>

namespace {

using namespace clementine;
using namespace clementine::control;
namespace asio = boost::asio;

constexpr std::uint32_t status_ok = 200;
constexpr std::uint32_t status_unavailable = 503;

wire::hello hello_of(const std::string& node) {
    wire::hello out;
    out.cluster = "router-test";
    out.node = node;
    return out;
}

// Accepts links, counts the calls and answers them as told.
class standin_leader {
  public:
    enum class reaction { answer, refuse, decline, ignore };

    explicit standin_leader(asio::io_context& loop) {
        wire::channel_server::handlers callbacks;
        callbacks.opened = [this](const auto& peer) {
            peers_.insert(peer);
            announce();
        };
        callbacks.received = [this](const auto& peer, wire::message&& value) {
            if (const auto* request = std::get_if<wire::call>(&value)) {
                ++calls;
                react(peer, request->id);
            }
        };
        callbacks.closed = [this](const auto& peer, const auto&) { peers_.erase(peer); };
        server_ = std::make_shared<wire::channel_server>(loop, hello_of("leader"),
                                                         wire::link_settings{}, callbacks);
        CPPUNIT_ASSERT_EQUAL(std::string(), server_->listen({asio::ip::address_v4::loopback(), 0}));
    }

    std::string address() const { return "127.0.0.1:" + std::to_string(server_->port()); }
    // A leader that may serve announces the members.
    void announce() {
        wire::directory value;
        value.leader = address();
        value.term = term;
        if (serving)
            value.members.emplace_back();
        for (const auto& peer : peers_)
            peer->send(value);
    }
    void close_links() {
        for (const auto& peer : std::set(peers_))
            peer->stop();
    }
    void answer_ignored() {
        for (const auto& [peer, id] : std::exchange(ignored_, {}))
            react(peer, id);
    }
    void stop() { server_->stop(); }

    reaction mode = reaction::answer;
    bool serving = false;
    std::uint64_t term = 1;
    std::size_t calls = 0;

  private:
    void react(const std::shared_ptr<wire::connection>& peer, std::uint64_t id) {
        if (mode == reaction::ignore)
            return ignored_.emplace_back(peer, id), void();
        wire::call_reply reply;
        reply.id = id;
        reply.handled = mode != reaction::decline;
        reply.status = mode == reaction::answer ? status_ok : 0;
        if (mode == reaction::refuse)
            reply.status = status_unavailable;
        peer->send(reply);
    }

    std::shared_ptr<wire::channel_server> server_;
    std::set<std::shared_ptr<wire::connection>> peers_;
    std::vector<std::pair<std::shared_ptr<wire::connection>, std::uint64_t>> ignored_;
};

class leader_router_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(leader_router_test);
    CPPUNIT_TEST(declined_calls_are_sent_again_without_pause);
    CPPUNIT_TEST(call_waits_although_the_leader_serves_again);
    CPPUNIT_TEST(late_leader_is_sent_each_call_again);
    CPPUNIT_TEST(call_lost_with_its_link_is_never_answered);
    CPPUNIT_TEST(call_lost_with_its_term_is_never_answered);
    CPPUNIT_TEST(refusal_by_a_later_leader_is_reported_as_unknown);
    CPPUNIT_TEST(refusal_after_a_lost_attempt_is_taken_as_certain);
    CPPUNIT_TEST(calls_queue_up_at_a_leader_that_does_not_answer);
    CPPUNIT_TEST(request_that_finds_a_new_leadership_is_executed_twice);
    CPPUNIT_TEST_SUITE_END();

    using reaction = standin_leader::reaction;
    static constexpr route_limits limits{.timeout = 2'500, .leader_wait = 1'400};
    static constexpr std::size_t number_of_calls = 20;

    asio::io_context loop_{1};
    steady_clock clock_;
    std::unique_ptr<standin_leader> leader_;
    std::unique_ptr<cluster_links> links_;
    std::unique_ptr<leader_router> router_;
    std::vector<routed_reply> replies_;

    template <class Condition>
    bool wait_for(Condition condition, time_ms timeout = 10'000) {
        const auto end = clock_.now() + timeout;
        while (!condition() && clock_.now() < end)
            loop_.run_for(std::chrono::milliseconds(5));
        return condition();
    }
    void run_for(time_ms duration) {
        wait_for([] { return false; }, duration);
    }
    void route(std::size_t count) {
        for (std::size_t i = 0; i < count; ++i)
            router_->route({}, limits,
                           [this](const routed_reply& reply) { replies_.push_back(reply); });
    }
    std::size_t replies_with(route_outcome outcome) const {
        return static_cast<std::size_t>(
            std::ranges::count(replies_, outcome, &routed_reply::outcome));
    }
    bool wait_for_replies(std::size_t count) {
        return wait_for([&] { return replies_.size() == count; });
    }

  public:
    void setUp() override {
        leader_ = std::make_unique<standin_leader>(loop_);
        cluster_links::callbacks callbacks;
        callbacks.received_outgoing = [this](const std::string& node, wire::message&& value) {
            if (const auto* reply = std::get_if<wire::call_reply>(&value))
                router_->observe(node, *reply);
            else if (const auto* directory = std::get_if<wire::directory>(&value))
                router_->observe(node, *directory);
        };
        callbacks.opened = [this](const std::string& node) { router_->observe_opened(node); };
        callbacks.closed = [this](const std::string& node) { router_->observe_closed(node); };
        links_ = std::make_unique<cluster_links>(loop_, hello_of("entry"), callbacks);
        router_ = std::make_unique<leader_router>(loop_, clock_, *links_, nullptr);
        links_->connect(leader_->address());
        CPPUNIT_ASSERT(wait_for([&] { return router_->leader() == leader_->address(); }));
    }

    void tearDown() override {
        router_->stop();
        links_->stop();
        leader_->stop();
        run_for(100);
    }

    // A node found out that it leads while it executed a request, and executed the same request
    // again from within; the outer execution went on with a request that was gone.
    void request_that_finds_a_new_leadership_is_executed_twice() {
        std::size_t executed = 0;
        leader_router local(
            loop_, clock_, *links_,
            [&](const wire::call& request, const leader_router::reply_handler& reply) {
                ++executed;
                wire::directory value;
                value.leader = "self";
                value.term = 2;
                local.observe("self", value);
                wire::call_reply answer;
                answer.id = request.id;
                answer.handled = true;
                answer.status = status_ok;
                reply(answer);
                return true;
            });
        local.route({}, limits, [this](const routed_reply& reply) { replies_.push_back(reply); });
        CPPUNIT_ASSERT(wait_for_replies(1));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, executed);
        local.stop();
        run_for(50);
    }

    // A leader without its lease was sent 200 to 4,607 calls a second and had no time left to get
    // its lease back.
    void declined_calls_are_sent_again_without_pause() {
        constexpr std::size_t max_attempts = 15; // on average, in 1.4 s
        leader_->mode = reaction::decline;
        route(number_of_calls);
        CPPUNIT_ASSERT(wait_for_replies(number_of_calls));
        CPPUNIT_ASSERT_EQUAL(number_of_calls, replies_with(route_outcome::not_run));
        CPPUNIT_ASSERT(leader_->calls >= 3 * number_of_calls);
        const auto counts = router_->take_counters();
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{leader_->calls}, counts.sent);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{leader_->calls}, counts.declined);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{leader_->calls - number_of_calls}, counts.retried);
        CPPUNIT_ASSERT_MESSAGE(std::to_string(leader_->calls) + " attempts",
                               leader_->calls <= max_attempts * number_of_calls);
    }

    // Long pauses must not delay calls that the leader could answer.
    void call_waits_although_the_leader_serves_again() {
        leader_->mode = reaction::decline;
        route(number_of_calls);
        run_for(900);
        leader_->mode = reaction::answer;
        leader_->serving = true;
        leader_->announce();
        CPPUNIT_ASSERT(wait_for([&] { return replies_.size() == number_of_calls; }, 50));
        CPPUNIT_ASSERT_EQUAL(number_of_calls, replies_with(route_outcome::answered));
    }

    // A leader that answered late was sent each call up to five times.
    void late_leader_is_sent_each_call_again() {
        leader_->mode = reaction::ignore;
        route(number_of_calls);
        run_for(1'200);
        leader_->mode = reaction::answer;
        leader_->answer_ignored();
        CPPUNIT_ASSERT(wait_for_replies(number_of_calls));
        CPPUNIT_ASSERT_EQUAL(number_of_calls, replies_with(route_outcome::answered));
        CPPUNIT_ASSERT_EQUAL(number_of_calls, leader_->calls);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{number_of_calls}, router_->take_counters().timed_out);
    }

    // Without a resend after the loss of the link, every call of a killed leader ends as unknown.
    void call_lost_with_its_link_is_never_answered() {
        leader_->mode = reaction::ignore;
        route(number_of_calls);
        run_for(600);
        leader_->mode = reaction::answer;
        leader_->close_links();
        CPPUNIT_ASSERT(wait_for_replies(number_of_calls));
        CPPUNIT_ASSERT_EQUAL(number_of_calls, replies_with(route_outcome::answered));
    }

    // A leader drops what it has not committed when it loses the leadership.
    void call_lost_with_its_term_is_never_answered() {
        leader_->mode = reaction::ignore;
        route(number_of_calls);
        run_for(100);
        leader_->mode = reaction::answer;
        leader_->term = 2;
        leader_->announce();
        CPPUNIT_ASSERT(wait_for_replies(number_of_calls));
        CPPUNIT_ASSERT_EQUAL(number_of_calls, replies_with(route_outcome::answered));
    }

    // The later leader knows all that the earlier one had logged, so its refusal is certain:
    // callers of a leader that was lost got 504 although their requests never ran.
    void refusal_by_a_later_leader_is_reported_as_unknown() {
        leader_->mode = reaction::ignore;
        route(number_of_calls);
        run_for(100);
        leader_->mode = reaction::refuse;
        leader_->term = 2;
        leader_->announce();
        CPPUNIT_ASSERT(wait_for_replies(number_of_calls));
        CPPUNIT_ASSERT_EQUAL(number_of_calls, replies_with(route_outcome::answered));
        for (const auto& item : replies_)
            CPPUNIT_ASSERT_EQUAL(status_unavailable, item.reply.status);
    }

    // The same leader may still execute the attempt whose link was lost.
    void refusal_after_a_lost_attempt_is_taken_as_certain() {
        leader_->mode = reaction::ignore;
        route(number_of_calls);
        run_for(100);
        leader_->mode = reaction::refuse;
        leader_->close_links();
        CPPUNIT_ASSERT(wait_for_replies(number_of_calls));
        CPPUNIT_ASSERT_EQUAL(number_of_calls, replies_with(route_outcome::unknown));
    }

    // A leader that stood still found a queue of calls that had long timed out, and callers whose
    // calls could have been refused got 504.
    void calls_queue_up_at_a_leader_that_does_not_answer() {
        constexpr std::size_t overdue = 64;
        constexpr std::size_t held = 256;
        constexpr std::size_t refused = 10;
        leader_->mode = reaction::ignore;
        route(overdue);
        run_for(550);
        route(held + refused);
        CPPUNIT_ASSERT_EQUAL(refused, replies_with(route_outcome::not_run));
        run_for(200);
        CPPUNIT_ASSERT_EQUAL(overdue, leader_->calls);
        leader_->mode = reaction::answer;
        leader_->answer_ignored();
        CPPUNIT_ASSERT(wait_for_replies(overdue + held + refused));
        CPPUNIT_ASSERT_EQUAL(overdue + held, replies_with(route_outcome::answered));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(leader_router_test);

} // namespace
