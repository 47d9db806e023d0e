// Guards a replica of the product's own control program whose data folder is damaged: it must not
// act under the id with which it has voted before.
#include "consensus/posix_files.h"
#include "control/replica_host.h"

#include <cppunit/extensions/HelperMacros.h>

#include <chrono>
#include <filesystem>
#include <fstream>
#include <memory>
#include <thread>

namespace {

using namespace clementine;
using namespace clementine::control;

class replica_host_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(replica_host_test);
    CPPUNIT_TEST(damaged_founder_takes_its_old_id_again);
    CPPUNIT_TEST_SUITE_END();

    steady_clock clock_;
    consensus::posix_file_system files_;
    std::string folder_ = std::string(TEST_DATA_FOLDER) + "/replica-host";

    std::unique_ptr<replica_host> start() {
        host_settings settings;
        settings.node = "control-1";
        settings.cluster = "test";
        settings.folder = folder_;
        settings.replicas = {"control-1"};
        settings.first_start = true;
        replica_host::callbacks callbacks;
        callbacks.send = [](const std::string&, const consensus::message&) {};
        callbacks.manifest_changed = [](const store::manifest_version&) {};
        callbacks.failed = [](const std::string& reason) { CPPUNIT_FAIL(reason); };
        auto out = std::make_unique<replica_host>(settings, files_, clock_, callbacks);
        CPPUNIT_ASSERT_EQUAL(std::string(), out->start());
        return out;
    }

    static bool takes_the_lease(const replica_host& host) {
        constexpr int checks = 300;
        for (int i = 0; i < checks; ++i) {
            if (host.status().holds_lease)
                return true;
            std::this_thread::sleep_for(std::chrono::milliseconds(10));
        }
        return false;
    }

  public:
    // With first-start in its settings, as an operator may leave them.
    void damaged_founder_takes_its_old_id_again() {
        std::filesystem::remove_all(folder_);
        std::filesystem::create_directories(folder_);
        auto host = start();
        CPPUNIT_ASSERT(takes_the_lease(*host));
        host.reset();
        const auto path = folder_ + "/term";
        std::fstream file(path, std::ios::in | std::ios::out | std::ios::binary);
        constexpr int position = 10;
        file.seekp(position);
        file.put('\x7f');
        file.close();
        host = start();
        CPPUNIT_ASSERT(!takes_the_lease(*host)); // waits to be admitted under its new id
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(replica_host_test);

} // namespace
