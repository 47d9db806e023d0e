// Division of slots between entryds.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace clementine::routing {

// Divides `total` into whole parts in proportion to the weights by largest remainder. `dither` is
// added to the remainders. Weights that are all 0 count as equal.
std::vector<int> largest_remainder(int total, const std::vector<double>& weights,
                                   const std::vector<double>& dither);

// Dither in [0, 1) of one member at one home. Nine homes with 8 slots each see the same demand;
// without dither all of them would round up the same members and leave the others with nothing.
double rounding_dither(const std::string& home, const std::string& service,
                       const std::string& member);

// Slots of one backend server that are kept for entryds without demand: a quarter, given to the
// members that rank highest for this server, so that the floors of all servers of a service spread
// over all members. Returns one number for each member.
std::vector<int> slot_floors(const std::string& backend_server, int slots,
                             const std::vector<std::string>& members);

} // namespace clementine::routing
