#include "fennelladder/edge/second_look.hpp"

#include <CppUTest/TestHarness.h>

using namespace fennelladder;
using namespace fennelladder::edge;

namespace {

constexpr instant limit = from_nanoseconds(1'000'000'000);

} // namespace

TEST_GROUP(second_look){};

TEST(second_look, a_limit_ahead_is_due_when_it_passes)
{
    second_look<instant> look;
    CHECK(look.due(limit) == limit);
    CHECK(!look.has_passed(limit, limit - milliseconds(1)));
    CHECK(look.due(limit) == limit);
}

// However late the first look is, as after a loop stood still, it counts from
// then on.
TEST(second_look, a_limit_has_passed_at_the_second_look)
{
    for (const duration late : {duration(0), duration(seconds(3))}) {
        second_look<instant> look;
        const instant first = limit + late;
        CHECK(!look.has_passed(limit, first));
        CHECK(look.due(limit) == first + last_look);
        CHECK(!look.has_passed(limit, first + last_look - duration(1)));
        CHECK(look.due(limit) == first + last_look);
        CHECK(look.has_passed(limit, first + last_look));
        CHECK(look.has_passed(limit, first + seconds(9)));
    }
}

TEST(second_look, a_limit_that_moved_on_is_looked_at_from_the_beginning)
{
    second_look<instant> look;
    CHECK(!look.has_passed(limit, limit));
    const instant next = limit + milliseconds(5);
    CHECK(look.due(next) == next);
    CHECK(!look.has_passed(next, limit + last_look));
    CHECK(look.due(next) == limit + 2 * last_look);
    CHECK(look.has_passed(next, limit + 2 * last_look));
}

TEST(second_look, begins_anew_for_a_limit_that_is_set_once_more)
{
    second_look<instant> look;
    CHECK(!look.has_passed(limit, limit));
    look.begin_anew();
    CHECK(!look.has_passed(limit, limit + last_look));
    CHECK(look.has_passed(limit, limit + 2 * last_look));
}
