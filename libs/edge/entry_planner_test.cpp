#include "fennelladder/edge/entry_planner.hpp"

#include <CppUTest/TestHarness.h>

using namespace fennelladder;
using namespace fennelladder::edge;

namespace {

std::vector<entry_node> nodes(int near, int far)
{
    std::vector<entry_node> out;
    for (int i = 0; i < near; ++i)
        out.push_back({"near" + std::to_string(i), data_center_id("a")});
    for (int i = 0; i < far; ++i)
        out.push_back({"far" + std::to_string(i), data_center_id("b")});
    return out;
}

std::size_t count(int near, int far)
{
    return plan_entry(nodes(near, far), data_center_id("a"), {}).size();
}

} // namespace

TEST_GROUP(entry_planner){};

TEST(entry_planner, enough_near_nodes_are_enough)
{
    UNSIGNED_LONGS_EQUAL(3, count(3, 5));
}

// With one or two near nodes a caller that loses them would have nobody.
TEST(entry_planner, few_near_nodes_are_joined_by_the_others)
{
    UNSIGNED_LONGS_EQUAL(7, count(2, 5));
    UNSIGNED_LONGS_EQUAL(5, count(0, 5));
    UNSIGNED_LONGS_EQUAL(0, count(0, 0));
}

TEST(entry_planner, names_no_more_than_a_caller_can_use)
{
    UNSIGNED_LONGS_EQUAL(64, count(100, 0));
}
