// Guards against requests that exceed the slots of a backend server, wait forever, or start after
// the lease has ended.
#include "routing/dispatcher.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <map>

namespace {

using namespace clementine;
using namespace clementine::routing;

std::shared_ptr<manifest::manifest> small_manifest() {
    auto out = std::make_shared<manifest::manifest>();
    out->availability_zones = {"az-1", "az-2"};
    manifest::service service;
    service.name = "tickets";
    service.queue_length = 4;
    out->services.push_back(service);
    return out;
}

announcement make_announcement(const std::string& id, int slots) {
    announcement out;
    out.id = id;
    out.service = "tickets";
    out.address = "127.0.0.1";
    out.port = 9000;
    out.slots = slots;
    out.connections = 64;
    out.availability_zone = "az-1";
    out.instance = id + "-i1";
    return out;
}

class dispatcher_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(dispatcher_test);
    CPPUNIT_TEST(lease_begins_with_an_echoed_token);
    CPPUNIT_TEST(lease_counts_from_the_issue_of_the_token);
    CPPUNIT_TEST(surplus_requests_wait_for_a_slot);
    CPPUNIT_TEST(full_queue_refuses_at_once);
    CPPUNIT_TEST(waiting_request_ends_at_its_deadline);
    CPPUNIT_TEST(leaving_server_gets_no_new_requests);
    CPPUNIT_TEST(refused_announcements_change_nothing);
    CPPUNIT_TEST(unreachable_deadline_refuses_at_once);
    CPPUNIT_TEST(same_zone_is_preferred_while_it_has_slots);
    CPPUNIT_TEST(failing_servers_are_avoided_up_to_half);
    CPPUNIT_TEST(new_instance_waits_for_the_old_lease);
    CPPUNIT_TEST(connections_follow_the_share);
    CPPUNIT_TEST_SUITE_END();

  public:
    void setUp() override {
        clock_ = std::make_unique<manual_clock>(10'000);
        dispatcher_settings settings;
        settings.node = "entry-1";
        settings.availability_zone = "az-1";
        dispatcher_ = std::make_unique<dispatcher>(settings, *clock_);
        dispatcher_->configure(small_manifest());
    }

    void lease_begins_with_an_echoed_token() {
        auto message = make_announcement("s1", 1);
        const auto first = dispatcher_->announce(message);
        CPPUNIT_ASSERT(first.status == announce_status::accepted);
        CPPUNIT_ASSERT(first.state == server_state::waiting);
        message.token = first.token;
        CPPUNIT_ASSERT(dispatcher_->announce(message).state == server_state::serving);
    }

    void lease_counts_from_the_issue_of_the_token() {
        auto message = make_announcement("s1", 1);
        message.token = dispatcher_->announce(message).token;
        clock_->advance(2'000);
        dispatcher_->announce(message);
        CPPUNIT_ASSERT(dispatcher_->describe("s1").state == server_state::serving);
        clock_->advance(500);
        CPPUNIT_ASSERT(dispatcher_->describe("s1").state != server_state::serving);
    }

    void surplus_requests_wait_for_a_slot() {
        announce_until_serving("s1", 1);
        request(1);
        request(2);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, slots_.size());
        dispatcher_->release(slots_[0], attempt_result::answered, 5);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, slots_.size());
        CPPUNIT_ASSERT_EQUAL(1, dispatcher_->in_flight());
    }

    void full_queue_refuses_at_once() {
        announce_until_serving("s1", 1);
        for (std::uint64_t i = 0; i < 6; ++i)
            request(i);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, refusals_.size());
        CPPUNIT_ASSERT(refusals_[0] == refusal::queue_full);
    }

    void waiting_request_ends_at_its_deadline() {
        request(1);
        CPPUNIT_ASSERT(refusals_.empty());
        clock_->advance(1'000);
        dispatcher_->advance();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, refusals_.size());
        CPPUNIT_ASSERT(refusals_[0] == refusal::deadline_passed);
    }

    void leaving_server_gets_no_new_requests() {
        announce_until_serving("s1", 2);
        request(1);
        CPPUNIT_ASSERT(dispatcher_->may_start(slots_.at(0)));
        CPPUNIT_ASSERT(dispatcher_->leave("s1").state == server_state::leaving);
        CPPUNIT_ASSERT(!dispatcher_->may_start(slots_.at(0)));
        request(2);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, slots_.size());
    }

    void refused_announcements_change_nothing() {
        announce_until_serving("s1", 1);
        auto message = make_announcement("s1", 1);
        message.instance = "other";
        CPPUNIT_ASSERT(dispatcher_->announce(message).status == announce_status::conflict);
        message = make_announcement("s2", 1);
        message.service = "none";
        CPPUNIT_ASSERT(dispatcher_->announce(message).status == announce_status::unknown_target);
        message = make_announcement("s3", 0);
        CPPUNIT_ASSERT(dispatcher_->announce(message).status == announce_status::malformed);
        CPPUNIT_ASSERT(dispatcher_->describe("s1").state == server_state::serving);
        CPPUNIT_ASSERT(dispatcher_->describe("s2").state == server_state::unknown);
    }

    void unreachable_deadline_refuses_at_once() {
        announce_until_serving("s1", 1);
        for (int i = 0; i < 200; ++i) {
            request(1);
            dispatcher_->release(slots_.back(), attempt_result::answered, 600);
        }
        for (std::uint64_t i = 0; i < 4; ++i)
            request(i);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, refusals_.size());
        CPPUNIT_ASSERT(refusals_[0] == refusal::deadline_unreachable);
    }

    void same_zone_is_preferred_while_it_has_slots() {
        announce_until_serving("s1", 2, "az-2");
        announce_until_serving("s2", 2, "az-1");
        for (std::uint64_t i = 0; i < 3; ++i)
            request(i);
        CPPUNIT_ASSERT_EQUAL(std::string("s2"), slots_.at(0).backend_server);
        CPPUNIT_ASSERT_EQUAL(std::string("s2"), slots_.at(1).backend_server);
        CPPUNIT_ASSERT_EQUAL(std::string("s1"), slots_.at(2).backend_server);
    }

    void failing_servers_are_avoided_up_to_half() {
        for (const char* id : {"s1", "s2", "s3", "s4"})
            announce_until_serving(id, 4);
        fail_until_ejected({"s1", "s2"});
        const auto ejected = requests_by_server(8);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, ejected.count("s1") + ejected.count("s2"));
        fail_until_ejected({"s1", "s2", "s3"});
        const auto all = requests_by_server(16);
        CPPUNIT_ASSERT_EQUAL(std::size_t{4}, all.size());
    }

    void new_instance_waits_for_the_old_lease() {
        announce_until_serving("s1", 1);
        auto message = make_announcement("s1", 1);
        message.instance = "s1-i2";
        CPPUNIT_ASSERT(dispatcher_->announce(message).status == announce_status::conflict);
        clock_->advance(2'500);
        message.token = dispatcher_->announce(message).token;
        CPPUNIT_ASSERT(dispatcher_->announce(message).state == server_state::serving);
        request(1);
        CPPUNIT_ASSERT_EQUAL(std::string("s1-i2"), slots_.at(0).instance);
    }

    void connections_follow_the_share() {
        announce_until_serving("s1", 8);
        CPPUNIT_ASSERT_EQUAL(9, dispatcher_->connection_limit("s1"));
        dispatcher_->leave("s1");
        CPPUNIT_ASSERT_EQUAL(0, dispatcher_->connection_limit("s1"));
        CPPUNIT_ASSERT_EQUAL(0, dispatcher_->connection_limit("none"));
    }

  private:
    // Makes requests fail at the servers `ids` until each has failed three times in a row.
    void fail_until_ejected(const std::vector<std::string>& ids) {
        std::map<std::string, int> failures;
        for (int i = 0; i < 400; ++i) {
            request(1);
            const auto slot = slots_.back();
            const bool fails = std::find(ids.begin(), ids.end(), slot.backend_server) != ids.end();
            failures[slot.backend_server] += fails ? 1 : 0;
            dispatcher_->release(slot, fails ? attempt_result::failed : attempt_result::answered,
                                 1);
            clock_->advance(failures[slot.backend_server] < 3 ? 1'000 : 0);
            renew_all();
        }
        for (const auto& id : ids)
            CPPUNIT_ASSERT(failures[id] >= 3);
    }

    std::map<std::string, int> requests_by_server(int count) {
        const auto before = slots_.size();
        for (int i = 0; i < count; ++i)
            request(1);
        std::map<std::string, int> out;
        for (auto i = before; i < slots_.size(); ++i)
            ++out[slots_[i].backend_server];
        for (auto i = before; i < slots_.size(); ++i)
            dispatcher_->release(slots_[i], attempt_result::abandoned, 1);
        return out;
    }

    void renew_all() {
        for (auto& [id, message] : servers_)
            message.token = dispatcher_->announce(message).token;
    }

    void announce_until_serving(const std::string& id, int slots,
                                const std::string& zone = "az-1") {
        auto message = make_announcement(id, slots);
        message.availability_zone = zone;
        message.token = dispatcher_->announce(message).token;
        message.token = dispatcher_->announce(message).token;
        servers_[id] = message;
    }

    void request(std::uint64_t id) {
        dispatcher_->admit({id, "tickets", "default", clock_->now() + 1'000, {}},
                           [this](admission_result result) {
                               if (const auto* granted = std::get_if<slot>(&result))
                                   slots_.push_back(*granted);
                               else
                                   refusals_.push_back(std::get<refusal>(result));
                           });
    }

    std::unique_ptr<manual_clock> clock_;
    std::unique_ptr<dispatcher> dispatcher_;
    std::map<std::string, announcement> servers_;
    std::vector<slot> slots_;
    std::vector<refusal> refusals_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(dispatcher_test);

} // namespace
