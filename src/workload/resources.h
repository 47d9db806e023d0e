// Amounts of processor, memory and accelerators.
#pragma once

#include <cstdint>

namespace clementine::workload {

// Processor in thousandths of a core, memory in MiB, number of accelerators.
struct resources {
    std::int64_t cpu = 0;
    std::int64_t memory = 0;
    std::int64_t accelerators = 0;

    resources& operator+=(const resources& other);
    resources& operator-=(const resources& other);
    // True if `other` fits into these free resources.
    bool can_fit(const resources& other) const;
    bool operator==(const resources&) const = default;
};

resources operator+(resources left, const resources& right);
resources operator-(resources left, const resources& right);
resources operator*(resources left, std::int64_t count);

// Largest amount of each resource of a task, a worker or a cap.
inline constexpr std::int64_t max_resource = 1'000'000'000;

} // namespace clementine::workload
