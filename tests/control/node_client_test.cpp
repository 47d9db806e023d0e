// Guards against an entry node that returns to an older manifest, or serves without knowing the
// newest one.
#include "control/cluster.h"
#include "control/manifest_file.h"
#include "wire/channel_server.h"

#include <cppunit/extensions/HelperMacros.h>

#include <chrono>
#include <fstream>

namespace {

using namespace clementine;
using namespace clementine::control;
namespace asio = boost::asio;

// Answers every subscription with a fixed manifest.
class stub_control {
  public:
    stub_control(const std::string& cluster, std::uint64_t version, std::string text,
                 bool current = false)
        : version_(version), text_(std::move(text)), current_(current) {
        wire::hello self;
        self.cluster = cluster;
        self.node = "stub";
        self.role = wire::node_role::controld;
        wire::channel_server::handlers callbacks;
        callbacks.received = [this](const std::shared_ptr<wire::connection>& peer,
                                    wire::message&& value) {
            if (std::holds_alternative<wire::subscribe>(value)) {
                ++subscriptions;
                peer->send(wire::manifest_state{version_, text_, current_});
            }
            if (const auto* report = std::get_if<wire::demand_report>(&value)) {
                std::lock_guard lock(mutex_);
                reports_.push_back(report->demand);
            }
        };
        server_ = std::make_shared<wire::channel_server>(loop_.context, self, wire::link_settings{},
                                                         callbacks);
        const auto problem = server_->listen({asio::ip::address_v4::loopback(), 0});
        CPPUNIT_ASSERT_EQUAL(std::string(), problem);
    }
    stub_control(const stub_control&) = delete;
    stub_control& operator=(const stub_control&) = delete;
    ~stub_control() {
        server_->stop();
        loop_.join();
    }

    asio::ip::tcp::endpoint address() const {
        return {asio::ip::address_v4::loopback(), server_->port()};
    }

    std::vector<std::vector<routing::service_demand>> reports() const {
        std::lock_guard lock(mutex_);
        return reports_;
    }

    std::atomic<int> subscriptions{0};

  private:
    std::uint64_t version_;
    std::string text_;
    bool current_;
    mutable std::mutex mutex_; // guards reports_
    std::vector<std::vector<routing::service_demand>> reports_;
    loop_threads loop_;
    std::shared_ptr<wire::channel_server> server_;
};

// Returns an address on which nothing listens.
asio::ip::tcp::endpoint unused_address() {
    return {asio::ip::address_v4::loopback(), free_ports(1).front()};
}

void sleep_for_ms(time_ms time) {
    std::this_thread::sleep_for(std::chrono::milliseconds(time));
}

class node_client_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(node_client_test);
    CPPUNIT_TEST(saved_manifest_is_used_without_controld);
    CPPUNIT_TEST(lagging_controld_does_not_bring_back_an_old_version);
    CPPUNIT_TEST(majority_decides_without_a_disk);
    CPPUNIT_TEST(leader_overrides_lagging_majority);
    CPPUNIT_TEST(invalid_manifest_is_not_put_in_force);
    CPPUNIT_TEST(age_rises_without_controld);
    CPPUNIT_TEST(corrupt_file_is_ignored);
    CPPUNIT_TEST(restart_in_a_cluster_keeps_the_version);
    CPPUNIT_TEST(demand_is_reported_once);
    CPPUNIT_TEST_SUITE_END();

  public:
    void saved_manifest_is_used_without_controld() {
        const auto folder = fresh_folder("kept");
        CPPUNIT_ASSERT_EQUAL(std::string(), manifest_file(folder).save(7, sample_manifest(7)));
        entry_node node("kept/e-1", {unused_address()}, folder);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{7}, node.version());
    }

    void lagging_controld_does_not_bring_back_an_old_version() {
        const auto folder = fresh_folder("lagging");
        {
            stub_control newest("lagging", 5, sample_manifest(5));
            entry_node node("lagging/e-1", {newest.address()}, folder);
            CPPUNIT_ASSERT(eventually([&] { return node.version() == 5; }));
        }
        stub_control lagging("lagging", 3, sample_manifest(3));
        entry_node node("lagging/e-1", {lagging.address()}, folder);
        CPPUNIT_ASSERT(eventually([&] { return lagging.subscriptions > 0; }));
        sleep_for_ms(200);
        CPPUNIT_ASSERT(node.versions() == std::vector<std::uint64_t>{5});
    }

    void majority_decides_without_a_disk() {
        stub_control lagging("majority", 3, sample_manifest(3));
        std::vector<asio::ip::tcp::endpoint> controls{lagging.address(), unused_address(),
                                                      unused_address()};
        {
            entry_node node("majority/e-1", controls);
            CPPUNIT_ASSERT(eventually([&] { return lagging.subscriptions > 0; }));
            sleep_for_ms(majority_wait + 1'500);
            CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, node.version());
        }
        stub_control newest("majority", 5, sample_manifest(5));
        controls[1] = newest.address();
        entry_node node("majority/e-1", controls);
        CPPUNIT_ASSERT(eventually([&] { return node.version() == 5; }));
        CPPUNIT_ASSERT(node.versions() == std::vector<std::uint64_t>{5});
    }

    // A majority may not know the newest accepted version yet, so the client waits for the leader.
    void leader_overrides_lagging_majority() {
        stub_control first("lease", 3, sample_manifest(3));
        stub_control second("lease", 3, sample_manifest(3));
        entry_node waiting("lease/e-1", {first.address(), second.address(), unused_address()});
        CPPUNIT_ASSERT(eventually([&] { return second.subscriptions > 0; }));
        sleep_for_ms(majority_wait / 2);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, waiting.version());
        stub_control leading("lease", 5, sample_manifest(5), true);
        entry_node node("lease/e-2", {first.address(), second.address(), leading.address()});
        CPPUNIT_ASSERT(eventually([&] { return node.version() == 5; }));
        CPPUNIT_ASSERT(node.versions() == std::vector<std::uint64_t>{5});
        // Without a leader, the majority decides.
        CPPUNIT_ASSERT(eventually([&] { return waiting.version() == 3; }));
    }

    void invalid_manifest_is_not_put_in_force() {
        const auto folder = fresh_folder("foreign");
        stub_control newer("foreign", 9, "[no-such-section]\n", true);
        {
            entry_node node("foreign/e-1", {newer.address()}, folder);
            CPPUNIT_ASSERT(eventually([&] { return newer.subscriptions > 0; }));
            sleep_for_ms(200);
            CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, node.version());
        }
        CPPUNIT_ASSERT(!manifest_file(folder).load().has_value());
    }

    void age_rises_without_controld() {
        const auto folder = fresh_folder("age");
        CPPUNIT_ASSERT_EQUAL(std::string(), manifest_file(folder).save(1, sample_manifest(1)));
        entry_node node("age/e-1", {unused_address()}, folder);
        CPPUNIT_ASSERT(eventually([&] {
            const auto text = node.values.render();
            const std::string name = "clementine_manifest_age_ms{} ";
            const auto at = text.find(name);
            return at != std::string::npos && std::stod(text.substr(at + name.size())) >= 1'000;
        }));
    }

    void corrupt_file_is_ignored() {
        const auto folder = fresh_folder("damaged");
        const manifest_file file(folder);
        CPPUNIT_ASSERT_EQUAL(std::string(), file.save(12, sample_manifest(1)));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{12}, file.load()->version);
        std::string bytes = *read_file(folder + "/manifest");
        for (const std::size_t at : {std::size_t{0}, bytes.find("12"), bytes.size() - 1}) {
            auto corrupted = bytes;
            corrupted[at] = '9';
            std::ofstream(folder + "/manifest") << corrupted;
            CPPUNIT_ASSERT(!file.load().has_value());
        }
        std::ofstream(folder + "/manifest") << bytes.substr(0, bytes.size() / 2);
        CPPUNIT_ASSERT(!file.load().has_value());
        std::ofstream(folder + "/manifest") << "";
        CPPUNIT_ASSERT(!file.load().has_value());
    }

    // The scheduler decided on the demand at the start of an entry node, which was sent before any
    // link was open.
    void demand_is_reported_once() {
        stub_control control("demand", 1, sample_manifest(1));
        std::atomic<int> queued{0};
        entry_node node("demand/e-1", {control.address()}, {}, [&] {
            return std::vector{routing::service_demand{"svc", ++queued, 0}};
        });
        CPPUNIT_ASSERT(eventually([&] { return control.reports().size() >= 3; }));
        const auto reports = control.reports();
        CPPUNIT_ASSERT(reports[1].front().queued > reports[0].front().queued);
    }

    // Restarts entry nodes with and without a disk while one replica lags after being down.
    void restart_in_a_cluster_keeps_the_version() {
        cluster replicas("restart");
        replicas.start_all();
        const auto folder = fresh_folder("restart-node");
        CPPUNIT_ASSERT_EQUAL(200U, replicas.apply(0, "a", sample_manifest(1)).status);
        const auto lagging = replicas.follower();
        CPPUNIT_ASSERT(eventually([&] { return replicas.at(lagging)->status().version == 1; }));
        replicas.kill(lagging);
        {
            entry_node node("restart/e-1", replicas.controls(), folder);
            CPPUNIT_ASSERT_EQUAL(200U, replicas.apply(1, "b", sample_manifest(2)).status);
            CPPUNIT_ASSERT(eventually([&] { return node.version() == 2; }));
        }
        replicas.start(lagging);
        entry_node with_disk("restart/e-1", replicas.controls(), folder);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, with_disk.version());
        entry_node without_disk("restart/e-2", replicas.controls());
        CPPUNIT_ASSERT(eventually([&] { return without_disk.version() == 2; }));
        CPPUNIT_ASSERT(without_disk.versions() == std::vector<std::uint64_t>{2});
        CPPUNIT_ASSERT(with_disk.versions() == std::vector<std::uint64_t>{2});
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(node_client_test);

} // namespace
