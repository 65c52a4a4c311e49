// Leftovers of tokens on many nodes.

#include "token_fleet_fixture.hpp"

#include <CppUTest/TestHarness.h>

using namespace fennelladder::edge::token_fleet;

TEST_GROUP(many_leftovers){};

// Guards against leftovers on many nodes, which can't all ask all others, that
// serve fewer requests than they cover.
TEST(many_leftovers, leftovers_of_sixty_nodes_serve_what_they_cover)
{
    check_leftovers(60);
}
