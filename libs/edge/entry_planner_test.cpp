#include "fennelladder/edge/entry_planner.hpp"

#include <CppUTest/TestHarness.h>

using namespace fennelladder;
using namespace fennelladder::edge;

namespace {

const region_id home("r");

entry_query asker_in(const char* data_center)
{
    return {data_center_id(data_center), home, {}};
}

std::vector<entry_node> nodes(int near, int far)
{
    std::vector<entry_node> out;
    for (int i = 0; i < near; ++i)
        out.push_back(
            {"near" + std::to_string(i), data_center_id("a"), home, 200, 10});
    for (int i = 0; i < far; ++i)
        out.push_back(
            {"far" + std::to_string(i), data_center_id("b"), home, 200, 10});
    return out;
}

std::size_t count(int near, int far)
{
    return plan_entry(nodes(near, far), asker_in("a"), {}).size();
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

// Story: hosts are unequal, and one caller sends all it has to one address. On
// a small host its answers wait in the link for a second, connections to
// targets time out, and requests are passed on after their callers left.
TEST(entry_planner, small_nodes_are_spared_while_the_large_ones_suffice)
{
    const data_center_id here("a");
    const entry_query asker = asker_in("a");
    const auto count_with = [&](int large, double load) {
        std::vector<entry_node> all;
        for (int i = 0; i < 20; ++i)
            all.push_back({"small", here, home, 100, load / 20});
        for (int i = 0; i < large; ++i)
            all.push_back({"large", here, home, 400 + 10.0 * i, 0});
        return plan_entry(all, asker, {}).size();
    };
    UNSIGNED_LONGS_EQUAL(2, count_with(2, 200));
    UNSIGNED_LONGS_EQUAL(22, count_with(2, 420));
    UNSIGNED_LONGS_EQUAL(3, count_with(3, 420));
    // One alone isn't enough: if it dies, a caller has nobody.
    UNSIGNED_LONGS_EQUAL(21, count_with(1, 10));
    UNSIGNED_LONGS_EQUAL(20, count_with(0, 10));
}

TEST(entry_planner, capacity_is_that_of_the_scarcer_resource)
{
    DOUBLES_EQUAL(100, request_capacity(0.12, 10e9), 1e-6);
    DOUBLES_EQUAL(125, request_capacity(0.5, 10e6), 1e-6);
}

// Guards against callers that are sent to another region though their own has a
// node, or to one in which their requests may not be run.
TEST(entry_planner, regions_of_caller_and_requests_come_first)
{
    const region_id other("q");
    const region_id third("x");
    const std::vector<entry_node> all{
        {"near", data_center_id("a"), home, 200, 10},
        {"beside", data_center_id("b"), home, 200, 10},
        {"allowed", data_center_id("c"), other, 200, 10},
        {"elsewhere", data_center_id("d"), third, 200, 10}};
    using names = std::vector<std::string>;
    const auto told = [&](const char* region,
                          catalog::allowed_regions allowed) {
        return plan_entry(all, {{}, region_id(region), std::move(allowed)}, {});
    };
    CHECK(told("r", std::vector{other}) == names({"near", "beside"}));
    CHECK(told("none", std::vector{other}) == names({"allowed"}));
    CHECK(told("none", std::nullopt).size() == all.size());
    CHECK(told("none", std::vector<region_id>()).size() == all.size());
}
