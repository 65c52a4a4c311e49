// What a team loses where all nodes die again and again.

#include "mortal_fleet.hpp"

#include <CppUTest/TestHarness.h>

using namespace fennelladder::prepaid;

TEST_GROUP(whole_losses){};

// Guards against a stock so large that the loss of all nodes takes a quarter of
// a team's tokens.
TEST(whole_losses, a_fleet_that_dies_whole_again_and_again)
{
    mortal_fleet it({{10, 1}, {20, 1}, {30, 1}, {40, 1}}, 0);
    it.run(50);
    CHECK(it.lost_share() <= 0.25);
}
