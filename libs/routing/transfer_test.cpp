#include "fennelladder/routing/transfer.hpp"

#include <CppUTest/TestHarness.h>

using namespace fennelladder;
using namespace fennelladder::routing;

namespace {

struct transfer_case
{
    const char* name;
    held_prefix prefix;
    double bytes_per_second;
    bool pays;
};

const transfer_case cases[] = {
    {"a long stream goes on", {4000, 0, false, true}, 25e9, true},
    {"a short one is prefilled sooner", {200, 0, false, true}, 25e9, false},
    {"a manual used every second", {2000, 1, false, false}, 25e9, true},
    {"used once in an hour", {2000, 1.0 / 3600, false, false}, 25e9, false},
    {"held elsewhere", {4000, 9, true, true}, 25e9, false},
    {"the way is slower than prefill", {4000, 9, false, true}, 1e9, false},
};

} // namespace

TEST_GROUP(transfer){};

TEST(transfer, pays_only_where_the_way_beats_the_prefill)
{
    for (const transfer_case& it : cases) {
        transfer_costs costs;
        costs.bytes_per_second = it.bytes_per_second;
        const bool pays = transfer_gain(it.prefix, costs) > 0;
        CHECK_EQUAL_TEXT(it.pays, pays, it.name);
        LONGS_EQUAL(
            it.pays ? 1 : 0,
            plan_transfers(std::span(&it.prefix, 1), costs, 9999).size());
    }
}

TEST(transfer, keeps_to_the_time_left_and_the_room)
{
    const held_prefix held[] = {
        {2000, 0, false, true}, {8000, 0, false, true}, {4000, 0, false, true}};
    transfer_costs costs;
    const auto all = plan_transfers(held, costs, 100'000);
    CHECK((all == std::vector<std::size_t>{1, 2, 0}));
    CHECK(
        (plan_transfers(held, costs, 6'000) == std::vector<std::size_t>{2, 0}));
    costs.time_left = from_seconds(transfer_seconds(held[1], costs) * 1.001);
    CHECK(
        (plan_transfers(held, costs, 100'000) == std::vector<std::size_t>{1}));
    costs.time_left = duration(0);
    CHECK(plan_transfers(held, costs, 100'000).empty());
}
