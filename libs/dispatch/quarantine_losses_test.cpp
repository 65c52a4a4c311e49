// Counts the targets that die when all nodes of a fleet are lost in series
// while requests with a crashing part come, in virtual time.

#include "quarantine_fleet.hpp"

#include <CppUTest/TestHarness.h>
#include <cstdio>
#include <cstdlib>

using namespace fennelladder;
using namespace fennelladder::dispatch::quarantine_fleet;

TEST_GROUP(quarantine_losses){};

// Guards against trials of a part that begin anew with each loss of all nodes.
TEST(quarantine_losses, few_requests_reach_targets_when_nodes_die_in_series)
{
    const bool show = std::getenv("SHOW_FIGURES") != nullptr;
    for (std::uint64_t seed = 1; seed <= 3; ++seed)
        for (const std::size_t nodes : {8U, 77U, 340U})
            for (const double rate : {5.0, 20.0, 100.0}) {
                fleet_options it;
                it.seed = seed;
                it.nodes = nodes;
                it.targets = std::max<std::size_t>(18, nodes * 2);
                it.bad_per_second = rate;
                it.sound_per_second = std::max(40.0, 0.5 * double(nodes));
                it.losses_s = {15, 30, 45};
                const fleet_result got = fleet(it).run();
                if (show)
                    std::printf("lost thrice | %zu | %.0f | %d | %d |\n", nodes,
                                rate, got.deaths, got.later_arrivals);
                CHECK(got.later_arrivals <= later_arrivals);
            }
}
