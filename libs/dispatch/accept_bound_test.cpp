#include "fennelladder/dispatch/accept_bound.hpp"

#include <CppUTest/TestHarness.h>

using namespace fennelladder;
using namespace fennelladder::dispatch;

TEST_GROUP(accept_bound)
{
    accept_bound bound;
    instant now = instant(seconds(100));
};

TEST(accept_bound, accepts_all_without_a_rate)
{
    for (int i = 0; i < 1000; ++i)
        CHECK(bound.take(now));
    LONGS_EQUAL(4096, bound.queue_length(4096));
}

// Failure: a host under load accepts no connection at all, or more than it can
// serve.
TEST(accept_bound, accepts_at_its_rate)
{
    constexpr double rate = 8;
    bound.set_rate(rate, now);
    int taken = 0;
    for (int i = 0; i < 100; ++i) {
        now += bound.time_to_next(now);
        CHECK(bound.take(now));
        ++taken;
    }
    DOUBLES_EQUAL(rate, taken / to_seconds(now - instant(seconds(100))), 0.2);
}

// Failure: a rate that changes with each interval gives leave anew each time.
TEST(accept_bound, keeps_what_was_saved_when_the_rate_changes)
{
    bound.set_rate(100, now);
    now += seconds(1);
    bound.set_rate(200, now);
    int taken = 0;
    while (bound.take(now)) {
        ++taken;
        bound.set_rate(200 + taken, now);
    }
    LONGS_EQUAL(5, taken);
}

// Failure: connections wait until their callers leave.
TEST(accept_bound, lets_no_more_wait_than_are_accepted_in_time)
{
    bound.set_rate(100, now);
    LONGS_EQUAL(10, bound.queue_length(4096));
    bound.set_rate(1, now);
    LONGS_EQUAL(4, bound.queue_length(4096));
}
