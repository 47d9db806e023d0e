// Guards against a log reader that delays the process, and against unbounded volume.
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
    CPPUNIT_TEST(blocked_reader_costs_lines_and_no_time);
    CPPUNIT_TEST(one_event_cannot_flood);
    CPPUNIT_TEST_SUITE_END();

  public:
    // Nobody reads the pipe: lines are dropped and counted, and no write waits.
    void blocked_reader_costs_lines_and_no_time() {
        std::array<int, 2> ends{};
        CPPUNIT_ASSERT_EQUAL(0, ::pipe(ends.data()));
        const auto before = dropped_log_lines();
        steady_clock clock;
        const auto started = clock.now();
        int written = 0;
        for (int i = 0; i < 2'000; ++i)
            written += write_line_unless_blocked(ends[1], std::string(200, 'x')) ? 1 : 0;
        CPPUNIT_ASSERT(clock.now() - started < 1'000);
        CPPUNIT_ASSERT(written > 0 && written < 2'000);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(2'000 - written), dropped_log_lines() - before);
        ::close(ends[0]);
        ::close(ends[1]);
    }

    void one_event_cannot_flood() {
        std::array<int, 2> ends{};
        CPPUNIT_ASSERT_EQUAL(0, ::pipe(ends.data()));
        const int saved = ::dup(STDOUT_FILENO);
        ::dup2(ends[1], STDOUT_FILENO);
        init_logging(log_level::info, "n1");
        for (int i = 0; i < 350; ++i)
            log_event(log_level::info, "flood");
        log_event(log_level::info, "other").field("key", 1);
        ::dup2(saved, STDOUT_FILENO);
        set_log_level(log_level::error);
        ::close(saved);
        ::close(ends[1]);
        std::string text;
        std::array<char, 4'096> part{};
        for (ssize_t size = 0; (size = ::read(ends[0], part.data(), part.size())) > 0;)
            text.append(part.data(), static_cast<std::size_t>(size));
        ::close(ends[0]);
        int lines = 0;
        for (std::size_t at = 0; (at = text.find("event=flood", at)) != std::string::npos; ++at)
            ++lines;
        CPPUNIT_ASSERT_EQUAL(300, lines);
        const auto other = text.find("event=other");
        CPPUNIT_ASSERT(other != std::string::npos);
        CPPUNIT_ASSERT(text.find(" key=1", other) != std::string::npos);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(log_test);

} // namespace
