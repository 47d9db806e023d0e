// Guards against shares that a former home changes, shares that outlive the home's lease, and slots
// that are granted again while requests of a restarted or unreachable entryd may still use them.
#include "routing/dispatcher.h"

#include <cppunit/extensions/HelperMacros.h>

#include <map>

namespace {

using namespace clementine;
using namespace clementine::routing;

// One dispatcher, "entry-2", that receives constructed ticks from its peers "entry-1" and
// "entry-3".
class sharing_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(sharing_test);
    CPPUNIT_TEST(older_home_cannot_change_a_share);
    CPPUNIT_TEST(new_home_cannot_raise_a_share_while_reconciling);
    CPPUNIT_TEST(share_ends_with_the_lease_of_its_home);
    CPPUNIT_TEST(lapsing_share_is_not_extended);
    CPPUNIT_TEST(leaving_server_is_unusable_at_once);
    CPPUNIT_TEST(share_reports_go_to_the_new_home);
    CPPUNIT_TEST(slots_of_a_restarted_holder_stay_reserved);
    CPPUNIT_TEST(slots_of_a_silent_holder_stay_reserved);
    CPPUNIT_TEST_SUITE_END();

  public:
    void setUp() override {
        clock_ = std::make_unique<manual_clock>(10'000);
        dispatcher_settings settings;
        settings.node = "entry-2";
        settings.boot = 2;
        settings.availability_zone = "az-1";
        settings.peers = {"entry-1", "entry-3"};
        dispatcher_ = std::make_unique<dispatcher>(settings, *clock_);
        auto manifest = std::make_shared<manifest::manifest>();
        manifest->availability_zones = {"az-1"};
        manifest->services.emplace_back().name = "tickets";
        dispatcher_->configure(manifest);
        sequence_ = 0;
        slots_.clear();
    }

    void older_home_cannot_change_a_share() {
        receive("entry-1", make_grant(grant_kind::grant, 1, 2));
        request(4);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, slots_.size());
        receive("entry-3", make_grant(grant_kind::claim, 2, 0));
        receive("entry-1", make_grant(grant_kind::grant, 1, 4));
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, slots_.size());
        CPPUNIT_ASSERT(dispatcher_->may_start(slots_[0]));
        receive("entry-3", make_grant(grant_kind::grant, 2, 4));
        CPPUNIT_ASSERT_EQUAL(std::size_t{4}, slots_.size());
    }

    void new_home_cannot_raise_a_share_while_reconciling() {
        receive("entry-1", make_grant(grant_kind::grant, 1, 2));
        request(4);
        receive("entry-3", make_grant(grant_kind::extend, 2, 4));
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, slots_.size());
        receive("entry-3", make_grant(grant_kind::grant, 2, 3));
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, slots_.size());
    }

    void share_ends_with_the_lease_of_its_home() {
        receive("entry-1", make_grant(grant_kind::grant, 1, 2), 700);
        request(1);
        clock_->advance(699);
        CPPUNIT_ASSERT(dispatcher_->may_start(slots_.at(0)));
        clock_->advance(1);
        CPPUNIT_ASSERT(!dispatcher_->may_start(slots_.at(0)));
    }

    void lapsing_share_is_not_extended() {
        receive("entry-1", make_grant(grant_kind::grant, 1, 2));
        request(1);
        clock_->advance(1'500);
        auto lapsing_grant = make_grant(grant_kind::grant, 1, 2);
        lapsing_grant.lapsing = true;
        receive("entry-1", lapsing_grant);
        clock_->advance(500);
        CPPUNIT_ASSERT(!dispatcher_->may_start(slots_.at(0)));
    }

    void leaving_server_is_unusable_at_once() {
        receive("entry-1", make_grant(grant_kind::grant, 1, 2));
        request(1);
        auto leaving_grant = make_grant(grant_kind::grant, 1, 2);
        leaving_grant.leaving = true;
        receive("entry-1", leaving_grant);
        CPPUNIT_ASSERT(!dispatcher_->may_start(slots_.at(0)));
    }

    void share_reports_go_to_the_new_home() {
        receive("entry-1", make_grant(grant_kind::grant, 1, 2));
        receive("entry-3", make_grant(grant_kind::claim, 2, 0));
        clock_->advance(700);
        const auto tick = dispatcher_->next_tick("entry-3");
        CPPUNIT_ASSERT(tick && tick->held.size() == 1);
        CPPUNIT_ASSERT_EQUAL(2, tick->held[0].held);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, tick->held[0].epoch);
    }

    void slots_of_a_restarted_holder_stay_reserved() {
        const int granted = become_home();
        entry_tick restarted;
        restarted.sender = "entry-1";
        restarted.boot = 99;
        restarted.sequence = 1;
        dispatcher_->receive_tick(restarted);
        CPPUNIT_ASSERT_EQUAL(granted, dispatcher_->describe("s1").in_flight);
    }

    void slots_of_a_silent_holder_stay_reserved() {
        become_home();
        const int granted = granted_["entry-1"] + granted_["entry-3"];
        for (int i = 0; i < 5; ++i) {
            clock_->advance(500);
            message_.token = dispatcher_->announce(message_).token;
        }
        dispatcher_->advance();
        CPPUNIT_ASSERT_EQUAL(granted, dispatcher_->describe("s1").in_flight);
    }

  private:
    static share_grant make_grant(grant_kind kind, std::uint64_t epoch, int slots) {
        share_grant out;
        out.backend_server = "s1";
        out.kind = kind;
        out.epoch = epoch;
        out.slots = slots;
        out.connections = slots;
        out.service = "tickets";
        out.instance = "i1";
        out.address = "127.0.0.1";
        out.port = 9'000;
        out.availability_zone = "az-1";
        return out;
    }

    // Makes a tick of a peer that echoes the next tick sent to it.
    entry_tick make_answering_tick(const std::string& peer, time_ms valid_for) {
        std::optional<entry_tick> sent;
        while (!(sent = dispatcher_->next_tick(peer)))
            clock_->advance(1);
        for (const auto& item : sent->grants)
            granted_[peer] = item.slots;
        entry_tick out;
        out.sender = peer;
        out.boot = 1;
        out.sequence = ++sequence_;
        out.echoed_boot = 2;
        out.echoed_sequence = sent->sequence;
        out.valid_for = valid_for;
        return out;
    }

    void receive(const std::string& peer, const share_grant& item, time_ms valid_for = 2'000) {
        auto tick = make_answering_tick(peer, valid_for);
        tick.grants = {item};
        dispatcher_->receive_tick(tick);
    }

    // Makes this dispatcher the home of s1 and returns the slots granted to entry-1.
    int become_home() {
        message_.id = "s1";
        message_.service = "tickets";
        message_.address = "127.0.0.1";
        message_.port = 9'000;
        message_.slots = 9;
        message_.connections = 64;
        message_.availability_zone = "az-1";
        message_.instance = "i1";
        for (int i = 0; i < 2; ++i)
            message_.token = dispatcher_->announce(message_).token;
        for (int i = 0; i < 2; ++i) {
            for (const char* peer : {"entry-1", "entry-3"})
                dispatcher_->receive_tick(make_answering_tick(peer, 2'000));
            message_.token = dispatcher_->announce(message_).token;
        }
        CPPUNIT_ASSERT(dispatcher_->describe("s1").state == server_state::serving);
        make_answering_tick("entry-1", 2'000);
        CPPUNIT_ASSERT(granted_["entry-1"] > 0);
        return granted_["entry-1"];
    }

    void request(int count) {
        for (int i = 0; i < count; ++i) {
            dispatcher_->admit(
                {next_request_id_++, "tickets", "default", clock_->now() + 20'000, {}},
                [this](admission_result result) {
                    if (const auto* granted = std::get_if<slot>(&result))
                        slots_.push_back(*granted);
                });
        }
    }

    std::unique_ptr<manual_clock> clock_;
    std::unique_ptr<dispatcher> dispatcher_;
    announcement message_;
    std::map<std::string, int> granted_; // by peer, of the last tick that changed them
    std::uint64_t sequence_ = 0;
    std::uint64_t next_request_id_ = 1;
    std::vector<slot> slots_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(sharing_test);

} // namespace
