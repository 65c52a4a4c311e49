#include "fennelladder/base/decaying_rate.hpp"

#include <CppUTest/TestHarness.h>

using namespace fennelladder;

TEST_GROUP(decaying_rate){};

TEST(decaying_rate, is_right_from_the_beginning_and_fades)
{
    constexpr instant start = instant(seconds(100));
    decaying_rate rate(seconds(4));
    DOUBLES_EQUAL(0, rate.at(start), 1e-9);
    for (int i = 0; i < 40; ++i)
        rate.add(500, start + milliseconds(50) * i);
    const double seen = rate.at(start + seconds(2));
    CHECK(seen > 8'000 && seen < 12'500);
    CHECK(rate.at(start + seconds(40)) < 100);
}

TEST(decaying_rate, never_falls_below_nothing)
{
    constexpr instant start = instant(seconds(100));
    decaying_rate rate(seconds(4));
    rate.add(500, start);
    rate.add(-900, start + seconds(3));
    DOUBLES_EQUAL(0, rate.at(start + seconds(3)), 1e-9);
}
