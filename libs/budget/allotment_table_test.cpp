#include "fennelladder/budget/allotment_table.hpp"
#include "fennelladder/testing/property.hpp"

#include <CppUTest/TestHarness.h>
#include <atomic>
#include <rapidcheck.h>
#include <string>
#include <thread>
#include <vector>

using namespace fennelladder;
using namespace fennelladder::budget;

namespace {

const budget_id fund("fund");
const instant now = from_nanoseconds(1);

allotment_table& open(allotment_table& table, std::int64_t n)
{
    table.credit_grant(fund, tokens(n), now);
    table.raise_ceiling(fund, tokens(n));
    return table;
}

} // namespace

TEST_GROUP(allotment_table){};

TEST(allotment_table, reserves_within_capital_and_ceiling)
{
    const struct
    {
        std::int64_t capital, ceiling, wish, short_by, ceiling_short_by;
    } cases[] = {
        {100, 100, 100, 0, 0}, {100, 100, 101, 1, 1}, {100, 50, 60, 0, 10},
        {50, 100, 60, 10, 0},  {0, 0, 1, 1, 1},       {0, 0, 0, 0, 0},
    };
    for (const auto& it : cases) {
        allotment_table table;
        table.credit_grant(fund, tokens(it.capital), now);
        table.raise_ceiling(fund, tokens(it.ceiling));
        const auto made = table.reserve(fund, tokens(it.wish), now);
        CHECK(made.has_value() == (it.short_by + it.ceiling_short_by == 0));
        if (made)
            continue;
        LONGS_EQUAL(it.short_by, made.error().short_by.count());
        LONGS_EQUAL(it.ceiling_short_by, made.error().ceiling_short_by.count());
    }
}

// A target reports more tokens than the request was allowed: the team pays
// what was set aside and no more.
TEST(allotment_table, settles_at_most_the_worst_case)
{
    allotment_table table;
    open(table, 100);
    CHECK(table.settle(*table.reserve(fund, tokens(60), now), tokens(70))
              .clamped);
    LONGS_EQUAL(60, table.level(fund)->used.count());
    LONGS_EQUAL(40, table.level(fund)->available().count());
}

// A target dies in the middle of a call that may not be repeated. Its tokens
// stay reserved until evidence of the outcome arrives.
TEST(allotment_table, unknown_outcome_stays_reserved)
{
    allotment_table table;
    open(table, 100);
    auto doubtful = table.reserve(fund, tokens(60), now);
    table.hold(*doubtful);
    table.hold(*doubtful);
    LONGS_EQUAL(60, table.held().count());
    CHECK(!table.reserve(fund, tokens(41), now).has_value());
    CHECK(!table.drop(fund));
    table.settle(std::move(*doubtful), tokens(0));
    LONGS_EQUAL(0, table.held().count());
    CHECK(table.reserve(fund, tokens(41), now).has_value());
}

TEST(allotment_table, grants_are_cumulative)
{
    allotment_table table;
    LONGS_EQUAL(70, table.credit_grant(fund, tokens(70), now).count());
    LONGS_EQUAL(0, table.credit_grant(fund, tokens(50), now).count());
    LONGS_EQUAL(0, table.credit_grant(fund, tokens(70), now).count());
    LONGS_EQUAL(5, table.credit_grant(fund, tokens(75), now).count());
}

TEST(allotment_table, poll_tells_what_was_touched)
{
    allotment_table table;
    open(table, 100);
    LONGS_EQUAL(1, table.poll().size());
    LONGS_EQUAL(0, table.poll().size());
    auto kept = table.reserve(fund, tokens(10), now);
    LONGS_EQUAL(0, table.poll().front().demand.count());
    table.settle(std::move(*kept), tokens(4));
    LONGS_EQUAL(4, table.poll().front().demand.count());
}

TEST(allotment_table, drops_only_what_is_returned)
{
    allotment_table table;
    open(table, 100);
    table.settle(*table.reserve(fund, tokens(10), now), tokens(10));
    CHECK(!table.drop(fund));
    LONGS_EQUAL(90, table.debit_return(fund, tokens(500)).count());
    CHECK(table.drop(fund));
    LONGS_EQUAL(0, table.size());
    LONGS_EQUAL(0, table.poll().size());
}

// Any order of operations keeps engaged <= min(capital, ceiling), and tokens
// are neither made nor lost: checked against plain sums.
TEST(allotment_table, any_order_keeps_its_sums)
{
    testing::check_property({.name = "sums hold", .seed = 11}, [] {
        allotment_table table(1);
        std::vector<reservation> open_ones;
        std::int64_t in = 0;
        std::int64_t out = 0;
        std::int64_t ceiling = 0;
        std::int64_t granted = 0;
        for (const auto& [kind, amount] :
             *rc::gen::container<std::vector<std::pair<int, std::int64_t>>>(
                 rc::gen::pair(rc::gen::inRange(0, 9),
                               rc::gen::inRange<std::int64_t>(0, 50)))) {
            const tokens n(amount);
            if (kind == 0) {
                in += amount;
                granted += amount;
                table.credit_grant(fund, tokens(granted), now);
            } else if (kind == 7) {
                in += amount;
                table.credit_transfer(fund, n, now);
            } else if (kind == 1) {
                ceiling += amount;
                table.raise_ceiling(fund, tokens(ceiling));
            } else if (kind == 2) {
                out += table.debit_transfer(fund, n, tokens(1)).count();
            } else if (kind == 3) {
                out += table.debit_return(fund, n).count();
            } else if (kind < 6 && table.reserve(fund, tokens(0), now)) {
                auto made = table.reserve(fund, n, now);
                if (made)
                    open_ones.push_back(std::move(*made));
            } else if (!open_ones.empty()) {
                table.settle(std::move(open_ones.back()), n);
                open_ones.pop_back();
            }
            const auto level = table.level(fund);
            if (!level)
                continue;
            RC_ASSERT(level->engaged() <= level->limit());
            RC_ASSERT(level->engaged() <= level->capital);
            RC_ASSERT(level->available() + level->used + level->reserved ==
                      tokens(in - out));
        }
    });
}

// Many threads draw on one budget at once; together they get no more than it
// has.
TEST(allotment_table, threads_share_a_budget)
{
    allotment_table table;
    open(table, 10'000);
    std::atomic<std::int64_t> charged = 0;
    std::vector<std::thread> threads;
    for (int n = 0; n < 4; ++n) {
        threads.emplace_back([&] {
            for (int i = 0; i < 5000; ++i) {
                auto made = table.reserve(fund, tokens(3), now);
                if (made)
                    charged += table.settle(std::move(*made), tokens(1))
                                   .charged.count();
            }
        });
    }
    for (std::thread& it : threads)
        it.join();
    CHECK(charged <= 10'000);
    LONGS_EQUAL(charged, table.level(fund)->used.count());
    LONGS_EQUAL(0, table.level(fund)->reserved.count());
}
