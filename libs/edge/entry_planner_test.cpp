#include "fennelladder/edge/entry_planner.hpp"

#include <CppUTest/TestHarness.h>

using namespace fennelladder;
using namespace fennelladder::edge;

namespace {

const region_id home("r");

entry_query query_from(const char* data_center)
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
    return plan_entry(nodes(near, far), query_from("a"), {}).size();
}

} // namespace

TEST_GROUP(entry_planner){};

TEST(entry_planner, names_only_near_nodes_if_there_are_enough)
{
    UNSIGNED_LONGS_EQUAL(3, count(3, 5));
}

// A caller that was given only one or two nodes could lose all of them.
TEST(entry_planner, adds_other_nodes_if_few_are_near)
{
    UNSIGNED_LONGS_EQUAL(7, count(2, 5));
    UNSIGNED_LONGS_EQUAL(5, count(0, 5));
    UNSIGNED_LONGS_EQUAL(0, count(0, 0));
}

// Guards against naming nodes that serve requests only through others, and
// against naming too few when most are cut off.
TEST(entry_planner, names_nodes_that_are_cut_off_only_if_few_others_are_left)
{
    auto all = nodes(3, 1);
    all[0].cut_off = true;
    all[1].cut_off = true;
    const auto some = plan_entry(all, query_from("a"), {});
    CHECK(some == (std::vector<std::string>{"near2", "far0"}));
    all[2].cut_off = true;
    UNSIGNED_LONGS_EQUAL(3, plan_entry(all, query_from("a"), {}).size());
}

TEST(entry_planner, limits_the_number_of_addresses)
{
    UNSIGNED_LONGS_EQUAL(64, count(100, 0));
}

// Guards against naming small hosts without need. If a caller sends all its
// requests to one small host, responses queue on the host's link for a second,
// connections to targets time out, and requests are forwarded after their
// callers have gone.
TEST(entry_planner, omits_small_nodes_if_the_large_ones_suffice)
{
    const data_center_id here("a");
    const entry_query query = query_from("a");
    const auto count_with = [&](int large, double load) {
        std::vector<entry_node> all;
        for (int i = 0; i < 20; ++i)
            all.push_back({"small", here, home, 100, load / 20});
        for (int i = 0; i < large; ++i)
            all.push_back({"large", here, home, 400 + 10.0 * i, 0});
        return plan_entry(all, query, {}).size();
    };
    UNSIGNED_LONGS_EQUAL(2, count_with(2, 200));
    UNSIGNED_LONGS_EQUAL(22, count_with(2, 420));
    UNSIGNED_LONGS_EQUAL(3, count_with(3, 420));
    // One node is not enough: if it fails, the caller has no other.
    UNSIGNED_LONGS_EQUAL(21, count_with(1, 10));
    UNSIGNED_LONGS_EQUAL(20, count_with(0, 10));
}

TEST(entry_planner, capacity_is_limited_by_the_scarcer_resource)
{
    DOUBLES_EQUAL(100, request_capacity(0.12, 10e9), 1e-6);
    DOUBLES_EQUAL(125, request_capacity(0.5, 10e6), 1e-6);
}

// Guards against sending callers to another region although their own has a
// node, or to a region in which their requests may not be run.
TEST(entry_planner, prefers_the_callers_region_then_the_allowed_ones)
{
    const region_id other("q");
    const region_id third("x");
    const std::vector<entry_node> all{
        {"near", data_center_id("a"), home, 200, 10},
        {"beside", data_center_id("b"), home, 200, 10},
        {"allowed", data_center_id("c"), other, 200, 10},
        {"elsewhere", data_center_id("d"), third, 200, 10}};
    using names = std::vector<std::string>;
    const auto addresses_for = [&](const char* region,
                                   catalog::allowed_regions allowed) {
        return plan_entry(all, {{}, region_id(region), std::move(allowed)}, {});
    };
    CHECK(addresses_for("r", std::vector{other}) == names({"near", "beside"}));
    CHECK(addresses_for("none", std::vector{other}) == names({"allowed"}));
    CHECK(addresses_for("none", std::nullopt).size() == all.size());
    CHECK(addresses_for("none", std::vector<region_id>()).size() == all.size());
}
