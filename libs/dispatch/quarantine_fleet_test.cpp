// Counts the targets that die, and the sound requests that are refused, when
// requests with a crashing part come to a fleet of nodes, in virtual time.

#include "quarantine_fleet.hpp"

#include <CppUTest/TestHarness.h>
#include <cstdio>
#include <cstdlib>

using namespace fennelladder;
using namespace fennelladder::dispatch::quarantine_fleet;

TEST_GROUP(quarantine_fleet){};

// Guards against a part that ends target after target because each node finds
// out for itself, and against a quarantine that refuses sound requests.
TEST(quarantine_fleet, few_targets_die_and_sound_requests_are_served)
{
    const bool show = std::getenv("SHOW_FIGURES") != nullptr;
    for (std::uint64_t seed = 1; seed <= 3; ++seed)
        for (const std::size_t nodes : {1U, 8U, 77U, 340U})
            for (const double rate : {5.0, 20.0, 100.0})
                for (const bool one_giver : {true, false}) {
                    fleet_options it;
                    it.seed = seed;
                    it.nodes = nodes;
                    it.targets = std::max<std::size_t>(18, nodes * 2);
                    it.bad_per_second = rate;
                    it.sound_per_second = std::max(40.0, 0.5 * double(nodes));
                    it.one_giver = one_giver;
                    const fleet_result got = fleet(it).run();
                    if (show)
                        std::printf(
                            "| %zu | %.0f | %s | %d | %d | %d | %d | %d "
                            "| %d | %d |\n",
                            nodes, rate, one_giver ? "one" : "each", got.deaths,
                            got.later_arrivals, got.sound, got.sound_refused,
                            got.sound_broken, got.settled, got.settled_refused);
                    if (!one_giver)
                        continue;
                    CHECK(got.later_arrivals <= later_arrivals);
                    // At least half as often as without disruption.
                    CHECK(got.settled > 20);
                    CHECK(got.settled_refused * 2 < got.settled);
                }
}

// Guards against a part that ends target after target once more, each time that
// all nodes die and lose what they knew.
TEST(quarantine_fleet, few_targets_die_after_all_nodes_are_lost)
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
                it.losses_s = {30};
                const fleet_result got = fleet(it).run();
                if (show)
                    std::printf("lost once | %zu | %.0f | %d | %d | %d |\n",
                                nodes, rate, got.deaths,
                                got.deaths_after_loss.at(0),
                                got.later_arrivals);
                CHECK(got.later_arrivals <= later_arrivals);
            }
}
