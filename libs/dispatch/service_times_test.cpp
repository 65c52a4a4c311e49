#include "fennelladder/dispatch/service_times.hpp"

#include <CppUTest/TestHarness.h>

using namespace fennelladder;
using namespace fennelladder::dispatch;

TEST_GROUP(service_times)
{
    const catalog::route_id route{"r"};
    service_times times;

    double usual_seconds() const
    {
        return to_seconds(*times.usual(route));
    }
};

TEST(service_times, are_unknown_at_first)
{
    CHECK(!times.usual(route));
    times.note(catalog::route_id("other"), seconds(1));
    CHECK(!times.usual(route));
}

TEST(service_times, approach_the_mean_of_equal_ones)
{
    for (int i = 0; i < 40; ++i)
        times.note(route, seconds(2));
    DOUBLES_EQUAL(2, usual_seconds(), 0.01);
}

TEST(service_times, lie_above_most_of_those_that_differ)
{
    for (int i = 0; i < 200; ++i)
        times.note(route, milliseconds(i % 2 == 0 ? 500 : 1'500));
    CHECK(usual_seconds() > 1.5);
    CHECK(usual_seconds() < 2.5);
}

// Guards against refusing all requests after a single slow one.
TEST(service_times, forget_a_single_slow_one)
{
    for (int i = 0; i < 40; ++i)
        times.note(route, milliseconds(100));
    times.note(route, seconds(10));
    for (int i = 0; i < 40; ++i)
        times.note(route, milliseconds(100));
    CHECK(usual_seconds() < 0.5);
}

TEST(service_times, of_routes_that_are_gone_are_forgotten)
{
    times.note(route, seconds(1));
    catalog::configuration_parts parts;
    times.keep_only(catalog::configuration(parts));
    CHECK(!times.usual(route));
}
