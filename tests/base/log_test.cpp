// Tests that a slow log reader never delays the process and that the volume of logs is limited.
#include "base/clock.h"
#include "base/log.h"

#include <cppunit/extensions/HelperMacros.h>

#include <array>
#include <string>
#include <unistd.h>

namespace {

using namespace clementine;

class log_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(log_test);
    CPPUNIT_TEST(blocked_reader_drops_lines_without_delay);
    CPPUNIT_TEST(limits_lines_per_event);
    CPPUNIT_TEST_SUITE_END();

  public:
    // The pipe has no reader: lines are dropped and counted, and no write blocks.
    void blocked_reader_drops_lines_without_delay() {
        std::array<int, 2> pipe_ends{};
        CPPUNIT_ASSERT_EQUAL(0, ::pipe(pipe_ends.data()));
        const auto before = dropped_log_lines();
        steady_clock clock;
        const auto started = clock.now();
        int written = 0;
        for (int i = 0; i < 2'000; ++i)
            written += write_line_unless_blocked(pipe_ends[1], std::string(200, 'x')) ? 1 : 0;
        CPPUNIT_ASSERT(clock.now() - started < 1'000);
        CPPUNIT_ASSERT(written > 0 && written < 2'000);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(2'000 - written), dropped_log_lines() - before);
        ::close(pipe_ends[0]);
        ::close(pipe_ends[1]);
    }

    void limits_lines_per_event() {
        std::array<int, 2> pipe_ends{};
        CPPUNIT_ASSERT_EQUAL(0, ::pipe(pipe_ends.data()));
        const int saved_stdout = ::dup(STDOUT_FILENO);
        ::dup2(pipe_ends[1], STDOUT_FILENO);
        init_logging(log_level::info, "n1");
        for (int i = 0; i < 350; ++i)
            log_event(log_level::info, "flood");
        log_event(log_level::info, "other").field("key", 1);
        ::dup2(saved_stdout, STDOUT_FILENO);
        set_log_level(log_level::error);
        ::close(saved_stdout);
        ::close(pipe_ends[1]);
        std::string text;
        std::array<char, 4'096> buffer{};
        for (ssize_t size = 0; (size = ::read(pipe_ends[0], buffer.data(), buffer.size())) > 0;)
            text.append(buffer.data(), static_cast<std::size_t>(size));
        ::close(pipe_ends[0]);
        int lines = 0;
        for (std::size_t position = 0;
             (position = text.find("event=flood", position)) != std::string::npos; ++position)
            ++lines;
        CPPUNIT_ASSERT_EQUAL(300, lines);
        const auto other_event = text.find("event=other");
        CPPUNIT_ASSERT(other_event != std::string::npos);
        CPPUNIT_ASSERT(text.find(" key=1", other_event) != std::string::npos);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(log_test);

} // namespace
