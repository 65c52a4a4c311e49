// What a team loses over a day on which nodes die several times.

#include "failing_fleet.hpp"

#include <CppUTest/TestHarness.h>

using namespace fennelladder::prepaid;

TEST_GROUP(stock_losses){};

// Guards against stock that is filled up as if nothing had happened after each
// series of deaths, until nothing is left for those that start after the last.
TEST(stock_losses, deaths_in_series_take_less_each_time)
{
    mortal_fleet it({{8, 0.6}, {11, 0.6}, {19, 1}, {34, 1}}, 5);
    it.run(50);
    CHECK(it.lost_share() <= 0.25);
}

// Guards against a stock so large that the loss of all nodes takes a quarter of
// a team's tokens.
TEST(stock_losses, a_fleet_that_dies_whole_again_and_again)
{
    mortal_fleet it({{10, 1}, {20, 1}, {30, 1}, {40, 1}}, 0);
    it.run(50);
    CHECK(it.lost_share() <= 0.25);
}

// Guards against stock given up for fear of deaths that never came.
TEST(stock_losses, without_deaths_an_outage_is_covered)
{
    mortal_fleet it({}, 8);
    it.run(40);
    CHECK(it.served_share() > 0.999);
}
