// Pseudo-random numbers that are the same for a seed on every platform.
#pragma once

#include <cstdint>
#include <random>

namespace clementine {

// Wraps std::mt19937_64. Replaces the standard distributions, whose results differ between standard
// libraries, so that a run can be repeated from its seed.
class random_source {
  public:
    explicit random_source(std::uint64_t seed) : engine_(seed) {}

    std::uint64_t next() { return engine_(); }
    // Uniform in [0, bound); 0 if bound is 0.
    std::uint64_t below(std::uint64_t bound) { return bound == 0 ? 0 : engine_() % bound; }
    // Uniform in [low, high].
    std::int64_t between(std::int64_t low, std::int64_t high) {
        return low + static_cast<std::int64_t>(below(static_cast<std::uint64_t>(high - low + 1)));
    }
    // Uniform in [0, 1).
    double unit() { return static_cast<double>(engine_() >> 11) * 0x1.0p-53; }
    // True with the given probability.
    bool chance(double probability) { return unit() < probability; }

  private:
    std::mt19937_64 engine_;
};

} // namespace clementine
