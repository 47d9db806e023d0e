#include "base/clock.h"

#include <chrono>
#include <ctime>

namespace clementine {

time_ms steady_clock::now() const {
    constexpr time_ms ms_per_s = 1'000;
    constexpr time_ms ns_per_ms = 1'000'000;
    timespec value{};
    clock_gettime(CLOCK_BOOTTIME, &value);
    return time_ms{value.tv_sec} * ms_per_s + time_ms{value.tv_nsec} / ns_per_ms;
}

time_ms wall_clock_ms() {
    using std::chrono::duration_cast;
    using std::chrono::milliseconds;
    return duration_cast<milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
}

} // namespace clementine
