// Runs three log nodes in one process, one of them with a disk that can be held up. Guards the
// commit path of the leader against waits for its own disk.
#include "consensus/posix_files.h"
#include "control/log_node.h"

#include <boost/asio/post.hpp>
#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <condition_variable>
#include <filesystem>
#include <map>
#include <memory>
#include <mutex>

namespace {

using namespace clementine;
using namespace clementine::control;

// Holds up syncs of all files while it is closed.
class sync_gate {
  public:
    void close() {
        const std::lock_guard lock(mutex_);
        open_ = false;
    }
    void open() {
        const std::lock_guard lock(mutex_);
        open_ = true;
        changed_.notify_all();
    }
    void pass() {
        std::unique_lock lock(mutex_);
        ++waiting_;
        changed_.wait(lock, [this] { return open_; });
        --waiting_;
    }
    bool holds_up_a_sync() {
        const std::lock_guard lock(mutex_);
        return !open_ && waiting_ > 0;
    }

  private:
    std::mutex mutex_;
    std::condition_variable changed_;
    bool open_ = true;
    int waiting_ = 0;
};

class gated_file final : public consensus::file {
  public:
    gated_file(std::unique_ptr<consensus::file> target, sync_gate& gate)
        : target_(std::move(target)), gate_(gate) {}

    consensus::leaf::result<std::size_t> append(std::string_view bytes) override {
        return target_->append(bytes);
    }
    consensus::leaf::result<std::string> read(std::uint64_t offset, std::size_t size) override {
        return target_->read(offset, size);
    }
    consensus::leaf::result<void> sync() override {
        gate_.pass();
        return target_->sync();
    }

  private:
    std::unique_ptr<consensus::file> target_;
    sync_gate& gate_;
};

class gated_file_system final : public consensus::file_system {
  public:
    sync_gate gate;

    consensus::leaf::result<void> make_folder(const std::string& path) override {
        return target_.make_folder(path);
    }
    consensus::leaf::result<std::vector<std::string>> list(const std::string& folder) override {
        return target_.list(folder);
    }
    consensus::leaf::result<std::unique_ptr<consensus::file_lock>>
    lock(const std::string& path) override {
        return target_.lock(path);
    }
    consensus::leaf::result<std::unique_ptr<consensus::file>>
    open(const std::string& path) override {
        return gated(target_.open(path));
    }
    consensus::leaf::result<std::unique_ptr<consensus::file>>
    create(const std::string& path) override {
        return gated(target_.create(path));
    }
    consensus::leaf::result<void> rename(const std::string& from, const std::string& to) override {
        return target_.rename(from, to);
    }
    consensus::leaf::result<void> remove(const std::string& path) override {
        return target_.remove(path);
    }
    consensus::leaf::result<void> sync_folder(const std::string& folder) override {
        return target_.sync_folder(folder);
    }

  private:
    consensus::leaf::result<std::unique_ptr<consensus::file>>
    gated(consensus::leaf::result<std::unique_ptr<consensus::file>> opened) {
        if (!opened)
            return opened;
        return std::unique_ptr<consensus::file>(
            std::make_unique<gated_file>(std::move(opened.value()), gate));
    }

    consensus::posix_file_system target_;
};

class log_node_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(log_node_test);
    CPPUNIT_TEST(replication_waits_for_the_disk_of_the_leader);
    CPPUNIT_TEST(commit_waits_for_a_later_write);
    CPPUNIT_TEST(leader_serves_nothing_until_a_commit_is_applied);
    CPPUNIT_TEST(leader_with_a_stalled_disk_keeps_the_leadership);
    CPPUNIT_TEST(membership_is_published_before_it_is_committed);
    CPPUNIT_TEST(late_membership_makes_a_new_voter_discard_its_log);
    CPPUNIT_TEST(node_that_no_longer_asks_to_join_is_admitted);
    CPPUNIT_TEST_SUITE_END();

    struct replica {
        gated_file_system files;
        std::unique_ptr<log_node> log;
        std::vector<std::string> applied;
        std::size_t received_entries = 0; // in messages from the leader
        bool cut_off = false;
    };

    boost::asio::io_context loop_{1};
    // Advances with each pass of the loop, so that a busy machine delays nothing.
    manual_clock clock_{1'000};
    std::map<std::string, replica> replicas_;
    std::size_t max_voters_ = 5;

    void start(const std::string& name, std::uint64_t seed) {
        const auto folder = std::string(TEST_DATA_FOLDER) + "/log-node-" + name;
        std::filesystem::remove_all(folder);
        std::filesystem::create_directories(folder);
        log_node_settings settings;
        settings.node = name;
        settings.cluster = "log-node-test";
        settings.folder = folder;
        settings.founders = {"a", "b", "c"};
        settings.first_start = true;
        settings.seed = seed;
        settings.max_voters = max_voters_;
        log_node::callbacks callbacks;
        callbacks.send = [this, name](const std::string& to, const consensus::message& value) {
            boost::asio::post(loop_, [this, name, to, value] {
                const auto found = replicas_.find(to);
                if (found == replicas_.end() || found->second.cut_off || replicas_.at(name).cut_off)
                    return;
                auto& target = found->second;
                if (const auto* append = std::get_if<consensus::append_request>(&value.body))
                    target.received_entries += append->entries.size();
                target.log->receive(name, value);
            });
        };
        auto& added = replicas_[name];
        callbacks.apply = [&added](const consensus::entry& item) {
            added.applied.push_back(item.data);
        };
        callbacks.load_snapshot = [](std::string_view) { return true; };
        callbacks.save_snapshot = [] { return std::string(); };
        callbacks.failed = [](const std::string& reason) { CPPUNIT_FAIL(reason); };
        callbacks.synced = [](time_ms) {};
        added.log =
            std::make_unique<log_node>(loop_, std::move(settings), added.files, clock_, callbacks);
        CPPUNIT_ASSERT_EQUAL(std::string(), added.log->start());
    }

    void run_for(time_ms duration) {
        for (; duration > 0; --duration) {
            loop_.run_for(std::chrono::milliseconds(1));
            clock_.advance(1);
        }
    }

    template <class Condition>
    bool wait_for(Condition condition, time_ms limit = 10'000) {
        const auto end = clock_.now() + limit;
        while (!condition() && clock_.now() < end)
            run_for(1);
        return condition();
    }

    replica* leader() {
        for (auto& [name, item] : replicas_) {
            if (item.log->serving())
                return &item;
        }
        return nullptr;
    }

    // Starts the replicas and returns the leader, once all have applied an entry.
    replica& elect_leader() {
        CPPUNIT_ASSERT(wait_for([&] { return leader() != nullptr; }));
        auto& out = *leader();
        out.log->propose("first");
        CPPUNIT_ASSERT(wait_for([&] {
            return std::ranges::all_of(
                replicas_, [](const auto& item) { return !item.second.applied.empty(); });
        }));
        return out;
    }

    std::size_t received_by_followers(const replica& leading) const {
        std::size_t out = 0;
        for (const auto& [name, item] : replicas_)
            out += &item == &leading ? 0 : item.received_entries;
        return out;
    }

    // Lets the followers acknowledge an entry while the leader writes the next one.
    void commit_during_a_write(replica& leading) {
        for (auto& [name, item] : replicas_) {
            if (&item != &leading)
                item.files.gate.close();
        }
        leading.log->propose("x");
        run_for(50);
        leading.files.gate.close();
        leading.log->propose("y");
        CPPUNIT_ASSERT(wait_for([&] { return leading.files.gate.holds_up_a_sync(); }, 100));
        for (auto& [name, item] : replicas_) {
            if (&item != &leading)
                item.files.gate.open();
        }
    }

  public:
    void setUp() override {
        start("a", 1);
        start("b", 2);
        start("c", 3);
    }

    void tearDown() override {
        for (auto& [name, item] : replicas_)
            item.files.gate.open();
        for (auto& [name, item] : replicas_)
            item.log->stop();
        loop_.run_for(std::chrono::milliseconds(10));
    }

    // Followers got an entry only after the leader's own sync and one more pass of its loop.
    void replication_waits_for_the_disk_of_the_leader() {
        auto& leading = elect_leader();
        leading.files.gate.close();
        const auto before = received_by_followers(leading);
        leading.log->propose("x");
        CPPUNIT_ASSERT(wait_for([&] { return received_by_followers(leading) == before + 2; }, 200));
        CPPUNIT_ASSERT(leading.files.gate.holds_up_a_sync());
        // Acknowledged only once it is on the leader's disk as well.
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, leading.applied.size());
        leading.files.gate.open();
        CPPUNIT_ASSERT(wait_for([&] { return leading.applied.size() == 2; }));
    }

    // An entry that was durable everywhere was applied only after the sync of the next one.
    void commit_waits_for_a_later_write() {
        auto& leading = elect_leader();
        commit_during_a_write(leading);
        CPPUNIT_ASSERT(wait_for([&] { return leading.applied.size() == 2; }, 150));
        CPPUNIT_ASSERT(leading.files.gate.holds_up_a_sync());
    }

    // Until then the leader turned all calls away, and the entry nodes sent them again at once.
    void leader_serves_nothing_until_a_commit_is_applied() {
        auto& leading = elect_leader();
        commit_during_a_write(leading);
        std::size_t turned_away = 0;
        for (int i = 0; i < 100; ++i) {
            run_for(1);
            turned_away += leading.log->serving() ? 0U : 1U;
        }
        CPPUNIT_ASSERT(leading.files.gate.holds_up_a_sync());
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, turned_away);
        // The same while the commit of an entry waits for the leader's own disk.
        leading.files.gate.open();
        CPPUNIT_ASSERT(wait_for([&] { return leading.applied.size() == 3; }));
        leading.files.gate.close();
        leading.log->propose("z");
        for (int i = 0; i < 100; ++i) {
            run_for(1);
            turned_away += leading.log->serving() ? 0U : 1U;
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, leading.applied.size());
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, turned_away);
    }

    // A voter that saw its removal published discarded its log, although the removal could still be
    // lost with the leader.
    void membership_is_published_before_it_is_committed() {
        auto& leading = elect_leader();
        std::string joining;
        for (auto& [name, item] : replicas_) {
            if (&item == &leading)
                continue;
            item.files.gate.close();
            joining = name;
        }
        constexpr consensus::replica_id new_id = 99;
        leading.log->request_join(joining, new_id);
        const auto before = received_by_followers(leading);
        CPPUNIT_ASSERT(wait_for([&] { return received_by_followers(leading) == before + 2; }, 200));
        CPPUNIT_ASSERT(leading.log->committed_members().find(new_id) == nullptr);
        for (auto& [name, item] : replicas_)
            item.files.gate.open();
        CPPUNIT_ASSERT(wait_for(
            [&] { return leading.log->committed_members().find(new_id) != nullptr; }, 200));
    }

    // A membership from before the join came late, on another connection than the log. The new
    // voter took itself for removed and discarded entries that it had acknowledged.
    void late_membership_makes_a_new_voter_discard_its_log() {
        auto& leading = elect_leader();
        const auto term = leading.log->term();
        const auto before = leading.log->committed_members().members;
        const auto before_index = leading.log->commit_index();
        start("d", 4);
        auto& joined = *replicas_.at("d").log;
        const auto id = joined.id();
        CPPUNIT_ASSERT(wait_for(
            [&] {
                leading.log->request_join("d", id);
                return joined.is_voter();
            },
            2'000));
        joined.observe_members(term, before_index, before);
        run_for(200);
        CPPUNIT_ASSERT_EQUAL(id, joined.id());
        // A later one removes it.
        joined.observe_members(term, joined.commit_index() + 1, before);
        CPPUNIT_ASSERT(wait_for([&] { return joined.id() != id; }, 200));
    }

    // Heartbeats do not wait for writes, but a leader whose disk hangs must not go on sending them.
    void leader_with_a_stalled_disk_keeps_the_leadership() {
        auto& stalled = elect_leader();
        stalled.files.gate.close();
        stalled.log->propose("x");
        CPPUNIT_ASSERT(wait_for(
            [&] {
                const auto* next = leader();
                return next != nullptr && next != &stalled;
            },
            4'000));
    }

    // A spare asked to join once and was gone when a voter was lost much later. Admitted then, it
    // was a second voter that never answered.
    void node_that_no_longer_asks_to_join_is_admitted() {
        tearDown();
        replicas_.clear();
        loop_.restart();
        max_voters_ = 3;
        setUp();
        auto& leading = elect_leader();
        leading.log->request_join("d", 77);
        run_for(3'000);
        for (auto& [name, item] : replicas_) {
            if (&item == &leading)
                continue;
            item.cut_off = true;
            break;
        }
        run_for(4'000);
        const auto& members = leading.log->committed_members().members;
        CPPUNIT_ASSERT(std::ranges::find(members, "d", &consensus::member::node) == members.end());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(log_node_test);

} // namespace
