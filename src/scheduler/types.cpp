#include "scheduler/types.h"

namespace clementine::scheduler {

resources& resources::operator+=(const resources& other) {
    millicores += other.millicores;
    memory_mb += other.memory_mb;
    accelerators += other.accelerators;
    return *this;
}

resources& resources::operator-=(const resources& other) {
    millicores -= other.millicores;
    memory_mb -= other.memory_mb;
    accelerators -= other.accelerators;
    return *this;
}

bool resources::covers(const resources& other) const {
    return millicores >= other.millicores && memory_mb >= other.memory_mb &&
           accelerators >= other.accelerators;
}

} // namespace clementine::scheduler
