#include "fennelladder/mesh/stock_table.hpp"

#include <CppUTest/TestHarness.h>
#include <array>

using namespace fennelladder;
using namespace fennelladder::mesh;

namespace {

constexpr instant start = instant(seconds(100));
const team_id team("t");

node_heartbeat heartbeat_with(const char* host, int free, int spent = 0)
{
    node_heartbeat out;
    out.host = host_id(host);
    out.state = node_state::ready;
    out.stock = {{team, tokens(free), tokens(spent)}};
    return out;
}

} // namespace

TEST_GROUP(stock_table)
{
    stock_table known;

    void setup() override
    {
        known.on_heartbeat(heartbeat_with("a", 100, 5), start);
        known.on_heartbeat(heartbeat_with("b", 300, 7), start + seconds(1));
    }
};

TEST(stock_table, largest_holder_skips_those_tried)
{
    CHECK(known.largest_holder(team, {}, start) == host_id("b"));
    CHECK(known.largest_holder(team, {host_id("b")}, start) == host_id("a"));
    CHECK(!known.largest_holder(team, {host_id("a"), host_id("b")}, start));
    CHECK(!known.largest_holder(team_id("other"), {}, start));
}

TEST(stock_table, old_heartbeats_do_not_count)
{
    const instant since = start + milliseconds(500);
    CHECK(!known.largest_holder(team, {host_id("b")}, since));
    CHECK(known.sum(team, {}, since).free == tokens(300));
}

TEST(stock_table, a_deduction_lasts_until_the_next_heartbeat)
{
    known.deduct(host_id("b"), team, tokens(250));
    CHECK(known.largest_holder(team, {}, start) == host_id("a"));
    known.deduct(host_id("b"), team, tokens(250));
    CHECK(known.sum(team, {}, start).free == tokens(100));
    known.on_heartbeat(heartbeat_with("b", 200), start + seconds(2));
    CHECK(known.largest_holder(team, {}, start) == host_id("b"));
}

TEST(stock_table, sums_are_over_all_and_over_a_subset)
{
    const std::array some{host_id("a"), host_id("c")};
    const stock_totals sum = known.sum(team, some, start);
    CHECK(sum.free == tokens(400));
    CHECK(sum.free_of_subset == tokens(100));
    CHECK(sum.spent_per_second == tokens(12));
}

TEST(stock_table, a_leaving_node_holds_nothing)
{
    node_heartbeat leaving = heartbeat_with("b", 300);
    leaving.state = node_state::leaving;
    known.on_heartbeat(leaving, start + seconds(2));
    CHECK(known.largest_holder(team, {}, start) == host_id("a"));
}

TEST(stock_table, the_balances_of_a_dead_process_are_returned_once)
{
    const auto lost = known.forget(host_id("b"));
    UNSIGNED_LONGS_EQUAL(1, lost.size());
    CHECK(lost.front().free == tokens(300));
    CHECK(known.forget(host_id("b")).empty());
    CHECK(known.largest_holder(team, {}, start) == host_id("a"));
}
