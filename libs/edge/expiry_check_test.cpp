#include "fennelladder/edge/expiry_check.hpp"

#include <CppUTest/TestHarness.h>

using namespace fennelladder;
using namespace fennelladder::edge;

namespace {

constexpr instant limit = from_nanoseconds(1'000'000'000);

} // namespace

TEST_GROUP(expiry_check){};

TEST(expiry_check, a_future_limit_is_checked_when_it_passes)
{
    expiry_check<instant> check;
    CHECK(check.next_check(limit) == limit);
    CHECK(!check.has_expired(limit, limit - milliseconds(1)));
    CHECK(check.next_check(limit) == limit);
}

// The grace period starts at the first check, however late that is, as after a
// stall of the loop.
TEST(expiry_check, a_limit_expires_at_the_second_check)
{
    for (const duration late : {duration(0), duration(seconds(3))}) {
        expiry_check<instant> check;
        const instant first = limit + late;
        CHECK(!check.has_expired(limit, first));
        CHECK(check.next_check(limit) == first + expiry_grace);
        CHECK(!check.has_expired(limit, first + expiry_grace - duration(1)));
        CHECK(check.next_check(limit) == first + expiry_grace);
        CHECK(check.has_expired(limit, first + expiry_grace));
        CHECK(check.has_expired(limit, first + seconds(9)));
    }
}

TEST(expiry_check, an_extended_limit_starts_over)
{
    expiry_check<instant> check;
    CHECK(!check.has_expired(limit, limit));
    const instant next = limit + milliseconds(5);
    CHECK(check.next_check(next) == next);
    CHECK(!check.has_expired(next, limit + expiry_grace));
    CHECK(check.next_check(next) == limit + 2 * expiry_grace);
    CHECK(check.has_expired(next, limit + 2 * expiry_grace));
}

TEST(expiry_check, reset_starts_over_for_the_same_limit)
{
    expiry_check<instant> check;
    CHECK(!check.has_expired(limit, limit));
    check.reset();
    CHECK(!check.has_expired(limit, limit + expiry_grace));
    CHECK(check.has_expired(limit, limit + 2 * expiry_grace));
}
