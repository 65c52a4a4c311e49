#include "fennelladder/edge/expiry_check.hpp"

#include <CppUTest/TestHarness.h>

using namespace fennelladder;
using namespace fennelladder::edge;

namespace {

constexpr instant limit = from_nanoseconds(1'000'000'000);

} // namespace

TEST_GROUP(expiry_check){};

TEST(expiry_check, a_limit_ahead_is_due_when_it_passes)
{
    expiry_check<instant> look;
    CHECK(look.next_check(limit) == limit);
    CHECK(!look.has_expired(limit, limit - milliseconds(1)));
    CHECK(look.next_check(limit) == limit);
}

// However late the first look is, as after a loop stood still, it counts from
// then on.
TEST(expiry_check, a_limit_has_passed_at_the_second_look)
{
    for (const duration late : {duration(0), duration(seconds(3))}) {
        expiry_check<instant> look;
        const instant first = limit + late;
        CHECK(!look.has_expired(limit, first));
        CHECK(look.next_check(limit) == first + expiry_grace);
        CHECK(!look.has_expired(limit, first + expiry_grace - duration(1)));
        CHECK(look.next_check(limit) == first + expiry_grace);
        CHECK(look.has_expired(limit, first + expiry_grace));
        CHECK(look.has_expired(limit, first + seconds(9)));
    }
}

TEST(expiry_check, a_limit_that_moved_on_is_looked_at_from_the_beginning)
{
    expiry_check<instant> look;
    CHECK(!look.has_expired(limit, limit));
    const instant next = limit + milliseconds(5);
    CHECK(look.next_check(next) == next);
    CHECK(!look.has_expired(next, limit + expiry_grace));
    CHECK(look.next_check(next) == limit + 2 * expiry_grace);
    CHECK(look.has_expired(next, limit + 2 * expiry_grace));
}

TEST(expiry_check, begins_anew_for_a_limit_that_is_set_once_more)
{
    expiry_check<instant> look;
    CHECK(!look.has_expired(limit, limit));
    look.reset();
    CHECK(!look.has_expired(limit, limit + expiry_grace));
    CHECK(look.has_expired(limit, limit + 2 * expiry_grace));
}
