// Soak test of the replicated log: runs seeded schedules over 3 or 5 replicas and checks
// invariants.
#include "base/hash.h"
#include "base/invariant.h"
#include "soak/schedule.h"

#include <boost/program_options.hpp>

#include <cstdio>
#include <iostream>

namespace {

using namespace clementine;
using namespace clementine::consensus;

// Schedules per nominal second. The count is fixed, so that the same arguments give the same run on
// every machine; one core takes about the nominal time.
constexpr std::uint64_t schedules_per_second = 8;

struct totals {
    std::uint64_t schedules = 0;
    std::uint64_t faults = 0;
    std::uint64_t checks = 0;
    std::uint64_t violations = 0;
    std::uint64_t steps = 0;
    std::uint64_t signature = 0;
    schedule_report sum;
};

void add(totals& all, const schedule_report& report) {
    ++all.schedules;
    all.checks += report.checks;
    all.steps += report.steps;
    all.signature = hash64(std::to_string(report.signature), all.signature);
    for (std::size_t i = 0; i < report.faults.size(); ++i) {
        all.faults += report.faults[i];
        all.sum.faults[i] += report.faults[i];
    }
    all.sum.elections += report.elections;
    all.sum.writes += report.writes;
    all.sum.operations += report.operations;
    all.sum.snapshot_installs += report.snapshot_installs;
    all.sum.corrupt_starts += report.corrupt_starts;
}

void print(const totals& all, std::uint64_t seed) {
    for (std::size_t i = 0; i < all.sum.faults.size(); ++i)
        std::printf("fault %s=%lu\n", std::string(to_name(static_cast<fault>(i))).c_str(),
                    all.sum.faults[i]);
    std::printf("coverage: steps=%lu elections=%lu operations=%lu accepted_writes=%lu "
                "snapshot_installs=%lu refused_disks=%lu signature=%016lx\n",
                all.steps, all.sum.elections, all.sum.operations, all.sum.writes,
                all.sum.snapshot_installs, all.sum.corrupt_starts, all.signature);
    std::printf("soak: seed=%lu schedules=%lu faults=%lu checks=%lu violations=%lu\n", seed,
                all.schedules, all.faults, all.checks, all.violations);
}

} // namespace

int main(int argc, char** argv) {
    namespace options = boost::program_options;
    std::uint64_t seed = 1;
    std::uint64_t seconds = 20;
    std::uint64_t schedules = 0;
    std::uint64_t first = 0;
    bool stop_at_first = false;
    options::options_description known("Options");
    known.add_options()("help", "show this text")("seed", options::value(&seed), "seed of the run")(
        "seconds", options::value(&seconds), "length, in nominal seconds of one core")(
        "schedules", options::value(&schedules), "length in schedules, instead of --seconds")(
        "first", options::value(&first), "number of the first schedule, to repeat one of a run")(
        "stop-at-first", options::bool_switch(&stop_at_first), "end at the first violation");
    try {
        options::variables_map given;
        options::store(options::parse_command_line(argc, argv, known), given);
        options::notify(given);
        if (given.count("help") != 0) {
            std::cout << known;
            return 0;
        }
    } catch (const options::error& error) {
        std::cerr << error.what() << "\n" << known;
        return 2;
    }
    set_invariant_action(invariant_action::count);
    if (schedules == 0)
        schedules = seconds * schedules_per_second;
    totals all;
    for (std::uint64_t i = first; i < first + schedules; ++i) {
        const auto own_seed = hash64(std::to_string(seed) + "/" + std::to_string(i));
        const auto report = schedule(own_seed).run();
        add(all, report);
        if (report.violation.empty())
            continue;
        ++all.violations;
        std::printf("violation seed=%lu schedule=%lu step=%lu invariant=%s %s\n", seed, i,
                    report.steps, report.violation.c_str(), report.details.c_str());
        if (stop_at_first)
            break;
    }
    print(all, seed);
    return all.violations == 0 ? 0 : 1;
}
