// Assertions that are also checked in release builds. Violations are counted, and abort tests.
#pragma once

#include <cstdint>
#include <map>
#include <string>

namespace clementine {

enum class invariant_action { count, abort };

// Selects what a violation does in addition to the log line. Daemons count, tests abort.
void set_invariant_action(invariant_action action);

// Records a violation. Called through CLEMENTINE_INVARIANT only.
void report_violation(const char* name, const char* expression, const char* file, int line);

// Number of violations since the process started, by invariant name.
std::map<std::string, std::uint64_t> violation_counts();

} // namespace clementine

// Checks a condition that the design guarantees. `name` is a string literal used in metrics.
#define CLEMENTINE_INVARIANT(condition, name)                                                      \
    do {                                                                                           \
        if (!(condition))                                                                          \
            ::clementine::report_violation((name), #condition, __FILE__, __LINE__);                \
    } while (false)
