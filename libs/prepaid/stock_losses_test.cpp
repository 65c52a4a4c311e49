// Tokens that a team loses when nodes die several times.

#include "failing_fleet.hpp"

#include <CppUTest/TestHarness.h>

using namespace fennelladder::prepaid;

TEST_GROUP(stock_losses){};

// Guards against stock that is refilled in full after each series of deaths,
// until no tokens are left for the nodes that start after the last one.
TEST(stock_losses, repeated_deaths_lose_less_each_time)
{
    failing_fleet it({{8, 0.6}, {11, 0.6}, {19, 1}, {34, 1}}, 5);
    it.run(50);
    CHECK(it.lost_share() <= 0.25);
}

// Guards against a stock so large that repeated losses of all nodes take more
// than a quarter of a team's tokens.
TEST(stock_losses, repeated_loss_of_the_whole_fleet)
{
    failing_fleet it({{10, 1}, {20, 1}, {30, 1}, {40, 1}}, 0);
    it.run(50);
    CHECK(it.lost_share() <= 0.25);
}

// Guards against too small a stock when no deaths occur.
TEST(stock_losses, outage_is_covered_without_deaths)
{
    failing_fleet it({}, 8);
    it.run(40);
    CHECK(it.served_share() > 0.999);
}
