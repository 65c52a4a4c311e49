#include "fennelladder/base/decaying_rate.hpp"

#include <CppUTest/TestHarness.h>

using namespace fennelladder;

TEST_GROUP(decaying_rate){};

TEST(decaying_rate, is_accurate_soon_after_the_start_and_decays)
{
    constexpr instant start = instant(seconds(100));
    decaying_rate rate(seconds(4));
    DOUBLES_EQUAL(0, rate.at(start), 1e-9);
    for (int i = 0; i < 40; ++i)
        rate.add(500, start + milliseconds(50) * i);
    const double measured = rate.at(start + seconds(2));
    CHECK(measured > 8'000 && measured < 12'500);
    CHECK(rate.at(start + seconds(40)) < 100);
}

TEST(decaying_rate, is_never_negative)
{
    constexpr instant start = instant(seconds(100));
    decaying_rate rate(seconds(4));
    rate.add(500, start);
    rate.add(-900, start + seconds(3));
    DOUBLES_EQUAL(0, rate.at(start + seconds(3)), 1e-9);
}
