#include "base/invariant.h"

#include <atomic>
#include <cstdio>
#include <cstdlib>
#include <mutex>

namespace clementine {

namespace {

std::atomic<invariant_action> violation_action{invariant_action::count};

struct violation_table {
    std::mutex mutex;
    std::map<std::string, std::uint64_t> counts;
};

violation_table& violations() {
    static violation_table table;
    return table;
}

} // namespace

void set_invariant_action(invariant_action action) {
    violation_action = action;
}

void report_violation(const char* name, const char* expression, const char* file, int line) {
    // Written to stderr directly, because the process may be about to abort.
    std::fprintf(stderr, "event=invariant_violated name=%s expression=\"%s\" at=%s:%d\n", name,
                 expression, file, line);
    {
        std::lock_guard lock(violations().mutex);
        ++violations().counts[name];
    }
    if (violation_action == invariant_action::abort)
        std::abort();
}

std::map<std::string, std::uint64_t> violation_counts() {
    std::lock_guard lock(violations().mutex);
    return violations().counts;
}

} // namespace clementine
