// Tests of what a fleet spends when the store is restored from older copies,
// over many seeds.

#include "restored_store_fleet.hpp"

#include <CppUTest/TestHarness.h>
#include <cstdlib>
#include <string>

using namespace fennelladder;
using namespace fennelladder::prepaid;

namespace {

/// Seeds of a run in CI are multiplied by this environment variable, for longer
/// runs by hand.
std::uint64_t seeds(std::uint64_t in_ci)
{
    const char* times = std::getenv("FENNELLADDER_TEST_SEEDS_TIMES");
    return in_ci * (times == nullptr ? 1 : std::strtoull(times, nullptr, 10));
}

struct row
{
    std::size_t nodes;
    std::uint64_t in_ci;
};

constexpr row rows[] = {{1, 60}, {8, 120}, {60, 20}, {340, 3}};

std::string name_of(const row& it, int restores, std::uint64_t seed)
{
    return std::to_string(it.nodes) + " nodes, " + std::to_string(restores) +
           " restores, seed " + std::to_string(seed);
}

} // namespace

TEST_GROUP(restored_store_fleet){};

// Guards against tokens that are drawn twice, since the store lost the writes
// that drew them and those who knew died, were cut off or slept.
TEST(restored_store_fleet, never_spends_more_than_was_prepaid)
{
    for (const row& it : rows)
        for (int restores = 1; restores <= 3; ++restores)
            for (std::uint64_t seed = 1; seed <= seeds(it.in_ci); ++seed) {
                restored_store_fleet fleet(
                    {.nodes = it.nodes, .restores = restores}, seed);
                fleet.run();
                const std::string name =
                    name_of(it, restores, seed) + ": spent " +
                    std::to_string(fleet.spent().count()) + ", forgotten " +
                    std::to_string(fleet.forgotten().count());
                CHECK_TEXT(fleet.spent() <= fleet.prepaid() + fleet.forgotten(),
                           name.c_str());
            }
}

// Guards against a fleet that forgets what it drew while most nodes live.
TEST(restored_store_fleet, forgets_nothing_without_deaths)
{
    for (const row& it : rows)
        for (std::uint64_t seed = 1; seed <= seeds(it.in_ci) / 2 + 1; ++seed) {
            restored_store_fleet fleet(
                {.nodes = it.nodes, .restores = 2, .has_faults = false}, seed);
            fleet.run();
            const std::string name = name_of(it, 2, seed);
            CHECK_TEXT(fleet.forgotten() == tokens(0), name.c_str());
            CHECK_TEXT(fleet.spent() <= fleet.prepaid(), name.c_str());
            CHECK_TEXT(fleet.longest_pause() <= seconds(2), name.c_str());
        }
}
