// Division of the slots of backend servers between entryds.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace clementine::routing {

// Divides `total` into integer parts in proportion to the weights, by the largest remainder method.
// `dither` is added to the remainders. If all weights are 0, they count as equal.
std::vector<int> largest_remainder(int total, const std::vector<double>& weights,
                                   const std::vector<double>& dither);

// Pseudo-random dither in [0, 1) of one member at one home. All homes see the same demand; without
// dither, nine homes with 8 slots each would all round up the same members and leave the others
// without slots.
double rounding_dither(const std::string& home, const std::string& service,
                       const std::string& member);

// Guaranteed slots of each member at one backend server, regardless of demand: a quarter of the
// slots, one each for the members that rank first by rendezvous hash, so that the floors of all
// servers of a service spread over all members.
std::vector<int> slot_floors(const std::string& backend_server, int slots,
                             const std::vector<std::string>& members);

} // namespace clementine::routing
