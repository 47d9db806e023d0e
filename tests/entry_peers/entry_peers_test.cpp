// Tests that shares and key claims reach the other entryds over real connections.
#include "proxy/entry_peers.h"
#include "proxy/key_messages.h"

#include <boost/asio/executor_work_guard.hpp>
#include <cppunit/extensions/HelperMacros.h>

#include <atomic>
#include <chrono>
#include <thread>

namespace {

using namespace clementine;
using namespace clementine::proxy;
namespace asio = boost::asio;

constexpr time_ms wait_limit{15'000};

// Dispatcher and peer links of one entryd.
struct node {
    node(asio::io_context& context, const clock_source& clock, const std::string& name,
         const std::vector<std::string>& all, const std::map<std::string, unsigned short>& ports)
        : dispatcher(dispatcher_settings_for(name, all), clock) {
        entry_peers_settings settings;
        settings.self.node = name;
        settings.first_start = true;
        const auto loopback = asio::ip::make_address("127.0.0.1");
        settings.listen = {loopback, 0};
        for (const auto& peer : all) {
            const auto found = ports.find(peer);
            const unsigned short port = found == ports.end() ? 0 : found->second;
            if (peer != name)
                settings.peers.push_back({peer, {loopback, port}, ""});
        }
        auto manifest = std::make_shared<manifest::manifest>();
        manifest->availability_zones = {"az-1"};
        manifest->services.emplace_back().name = "tickets";
        dispatcher.configure(manifest);
        peers = std::make_unique<entry_peers>(context, settings, dispatcher, clock);
    }

    static routing::dispatcher_settings
    dispatcher_settings_for(const std::string& name, const std::vector<std::string>& all) {
        routing::dispatcher_settings out;
        out.node = name;
        out.availability_zone = "az-1";
        out.boot = wire::new_boot_id();
        for (const auto& peer : all) {
            if (peer != name)
                out.peers.push_back(peer);
        }
        return out;
    }

    routing::dispatcher dispatcher;
    std::unique_ptr<entry_peers> peers;
};

class entry_peers_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(entry_peers_test);
    CPPUNIT_TEST(shares_reach_the_peers);
    CPPUNIT_TEST(second_claim_of_a_key_loses);
    CPPUNIT_TEST(claims_survive_the_loss_of_one_entryd);
    CPPUNIT_TEST(key_states_have_the_same_names);
    CPPUNIT_TEST_SUITE_END();

  public:
    void setUp() override {
        const std::vector<std::string> all{"entry-1", "entry-2", "entry-3"};
        std::map<std::string, unsigned short> ports;
        // A node connects to peers with higher ids, so their ports must be known first.
        for (auto name = all.rbegin(); name != all.rend(); ++name) {
            nodes_[*name] = std::make_unique<node>(context_, clock_, *name, all, ports);
            ports[*name] = nodes_[*name]->peers->port();
        }
        for (auto& [name, node] : nodes_)
            node->peers->start();
        for (int i = 0; i < 2; ++i)
            threads_.emplace_back([this] { context_.run(); });
        CPPUNIT_ASSERT(wait([this] {
            return std::all_of(nodes_.begin(), nodes_.end(),
                               [](auto& item) { return item.second->peers->connected() == 2; });
        }));
    }

    void tearDown() override {
        for (auto& [name, node] : nodes_)
            node->peers->stop();
        guard_.reset();
        context_.stop();
        for (auto& thread : threads_)
            thread.join();
        threads_.clear();
        nodes_.clear();
    }

    void shares_reach_the_peers() {
        routing::announcement message;
        message.id = "s1";
        message.service = "tickets";
        message.address = "127.0.0.1";
        message.port = 9'000;
        message.slots = 9;
        message.connections = 64;
        message.availability_zone = "az-1";
        message.instance = "i1";
        message.busy = 0;
        auto& home = nodes_["entry-1"]->dispatcher;
        std::atomic<int> granted{0};
        nodes_["entry-3"]->dispatcher.admit(
            {1, "tickets", "default", clock_.now() + wait_limit, {}},
            [&](const routing::admission_result& result) {
                granted += std::holds_alternative<routing::slot>(result) ? 1 : 0;
            });
        CPPUNIT_ASSERT(wait([&] {
            message.token = home.announce(message).token;
            return granted == 1;
        }));
        CPPUNIT_ASSERT_EQUAL(1, nodes_["entry-3"]->dispatcher.in_flight());
        CPPUNIT_ASSERT(nodes_["entry-2"]->dispatcher.announce(message).status ==
                       routing::announce_status::redirect);
    }

    void second_claim_of_a_key_loses() {
        const auto first = claim("entry-1");
        CPPUNIT_ASSERT(first.won);
        auto second = claim("entry-2");
        CPPUNIT_ASSERT(!second.won);
        CPPUNIT_ASSERT(second.first == routing::key_state::in_progress);
        nodes_["entry-1"]->peers->finish(first.claim_id, routing::key_state::answered);
        CPPUNIT_ASSERT(wait([&] {
            second = claim("entry-3");
            CPPUNIT_ASSERT(!second.won);
            return second.first == routing::key_state::answered;
        }));
    }

    void claims_survive_the_loss_of_one_entryd() {
        nodes_["entry-3"]->peers->stop();
        const auto first = claim("entry-1");
        CPPUNIT_ASSERT(first.won);
        CPPUNIT_ASSERT(!claim("entry-2").won);
        nodes_["entry-1"]->peers->finish(first.claim_id, routing::key_state::none);
        CPPUNIT_ASSERT(wait([&] { return claim("entry-2").won; }));
    }

    void key_states_have_the_same_names() {
        CPPUNIT_ASSERT(routing::key_state_names == wire::claim_state_names);
    }

  private:
    // Advances the dispatchers until a condition holds; false after `wait_limit`.
    template <class Condition>
    bool wait(Condition condition) {
        const time_ms end = clock_.now() + wait_limit;
        while (clock_.now() < end) {
            for (auto& [name, node] : nodes_)
                node->dispatcher.advance();
            if (condition())
                return true;
            std::this_thread::sleep_for(std::chrono::milliseconds(20));
        }
        return false;
    }

    key_claim_result claim(const std::string& name) {
        std::mutex mutex;
        std::optional<key_claim_result> decision;
        nodes_[name]->peers->claim({"tickets", "default", "k"}, [&](key_claim_result value) {
            std::lock_guard lock(mutex);
            decision = value;
        });
        CPPUNIT_ASSERT(wait([&] {
            std::lock_guard lock(mutex);
            return decision.has_value();
        }));
        return *decision;
    }

    steady_clock clock_;
    asio::io_context context_;
    asio::executor_work_guard<asio::io_context::executor_type> guard_{context_.get_executor()};
    std::map<std::string, std::unique_ptr<node>> nodes_;
    std::vector<std::thread> threads_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(entry_peers_test);

} // namespace
