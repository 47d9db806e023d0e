// Tests that the platform's programs handle signals at any moment of their start.
#include <cppunit/extensions/HelperMacros.h>

#include <array>
#include <csignal>
#include <cstdlib>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <spawn.h>
#include <string>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

namespace {

class process_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(process_test);
    CPPUNIT_TEST(signal_while_the_settings_are_read_ends_controld);
    CPPUNIT_TEST(signal_while_the_settings_are_read_ends_entryd);
    CPPUNIT_TEST_SUITE_END();

    // An address of its own: outgoing connections of other tests take any port of 127.0.0.1.
    static std::string settings(const std::string& folder, bool control) {
        const std::string own_addresses =
            control ? R"({"Control":"127.58.0.1:47630"},"DataDir":")" + folder + R"(/data")"
                    : R"({"Front":"127.58.0.1:47631","Ready":"127.58.0.1:47632"})";
        return R"({"Node":"node-1","Ip":"127.58.0.1","Zone":"z",)"
               R"("InternalPortRange":[47610,47620],)"
               R"("Seeds":["127.58.0.1:47630"],"Bootstrap":true,"FaultTolerance":{"Machines":0},)"
               R"("Bounds":{"GraceS":6,"StopMs":400,"LeaseMs":3000},"ListenAddrs":)" +
               own_addresses + "}";
    }

    static pid_t start(const std::string& program, const std::string& settings_path,
                       const std::string& log_path) {
        auto path = PROGRAMS_FOLDER "/" + program;
        auto variable = "CLEMENTINEROAD_CONFIG=" + settings_path;
        posix_spawn_file_actions_t actions;
        posix_spawn_file_actions_init(&actions);
        posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, log_path.c_str(),
                                         O_WRONLY | O_CREAT | O_APPEND, 0644);
        posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
        std::array<char*, 2> arguments{path.data(), nullptr};
        std::array<char*, 2> environment{variable.data(), nullptr};
        pid_t pid = 0;
        const int error = ::posix_spawn(&pid, path.c_str(), &actions, nullptr, arguments.data(),
                                        environment.data());
        posix_spawn_file_actions_destroy(&actions);
        CPPUNIT_ASSERT_EQUAL(0, error);
        return pid;
    }

    // The settings come from a FIFO, so that the process waits for them while it gets the signal.
    static void check_signal_at_start(const std::string& program, bool control, int signal) {
        char name[] = "/tmp/clementine-process-XXXXXX";
        CPPUNIT_ASSERT(::mkdtemp(name) != nullptr);
        const std::string folder = name;
        const auto path = folder + "/settings.json";
        const auto text = settings(folder, control);
        std::filesystem::create_directory(folder + "/data");
        CPPUNIT_ASSERT_EQUAL(0, ::mkfifo(path.c_str(), 0600));
        const auto pid = start(program, path, folder + "/log");
        {
            std::ofstream fifo(path); // opens when the process reads its settings
            ::kill(pid, signal);
            std::ofstream(folder + "/settings.new") << text;
            std::filesystem::rename(folder + "/settings.new", path);
            fifo << text;
        }
        if (signal != SIGTERM)
            ::kill(pid, SIGTERM);
        int status = 0;
        CPPUNIT_ASSERT_EQUAL(pid, ::waitpid(pid, &status, 0));
        std::ifstream log(folder + "/log");
        const std::string lines(std::istreambuf_iterator<char>(log), {});
        std::filesystem::remove_all(folder);
        CPPUNIT_ASSERT_MESSAGE(program + " ended by signal " + std::to_string(WTERMSIG(status)),
                               WIFEXITED(status));
        CPPUNIT_ASSERT_EQUAL_MESSAGE(lines, 0, WEXITSTATUS(status));
    }

  public:
    void signal_while_the_settings_are_read_ends_controld() {
        check_signal_at_start("platform-controld", true, SIGTERM);
        check_signal_at_start("platform-controld", true, SIGHUP);
    }

    void signal_while_the_settings_are_read_ends_entryd() {
        check_signal_at_start("platform-entryd", false, SIGTERM);
        check_signal_at_start("platform-entryd", false, SIGHUP);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(process_test);

} // namespace
