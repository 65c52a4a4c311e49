#include "fennelladder/edge/loop_lag.hpp"

#include <CppUTest/TestHarness.h>

using namespace fennelladder;
using namespace fennelladder::edge;

namespace {

constexpr duration period = milliseconds(50);
const instant begin = instant() + seconds(100);

} // namespace

TEST_GROUP(loop_lag){};

TEST(loop_lag, is_zero_while_ticks_are_on_time)
{
    loop_lag lag(period);
    CHECK(lag.at(begin) == duration(0));
    CHECK(lag.note_tick(begin) == duration(0));
    CHECK(lag.note_tick(begin + period) == duration(0));
    CHECK(lag.at(begin + period) == duration(0));
}

TEST(loop_lag, reports_the_longest_stall_for_the_retention_time)
{
    loop_lag lag(period);
    lag.note_tick(begin);
    const instant late = begin + milliseconds(130);
    CHECK(lag.note_tick(late) == milliseconds(80));
    lag.note_tick(late + period);
    CHECK(lag.at(late + period) == milliseconds(80));
    for (instant it = late; it <= late + loop_lag::retention; it += period)
        lag.note_tick(it);
    CHECK(lag.at(late + loop_lag::retention) < milliseconds(80));
}

TEST(loop_lag, includes_a_stall_in_progress)
{
    loop_lag lag(period);
    lag.note_tick(begin);
    CHECK(lag.at(begin + period) == duration(0));
    CHECK(lag.at(begin + seconds(2)) == seconds(2) - period);
    CHECK(lag.since_tick(begin + seconds(2)) == seconds(2));
}
