#include "fennelladder/mesh/freshness.hpp"

#include <CppUTest/TestHarness.h>

using namespace fennelladder;
using fennelladder::mesh::freshness;

namespace {

instant at(int ms)
{
    return instant(milliseconds(ms));
}

} // namespace

TEST_GROUP(mesh_freshness){};

TEST(mesh_freshness, what_was_never_confirmed_has_no_age)
{
    CHECK(!freshness().age(at(5)));
}

TEST(mesh_freshness, the_latest_confirmation_counts)
{
    freshness it;
    it.confirm(at(100));
    it.confirm(at(50));
    CHECK(it.age(at(300)) == milliseconds(200));
    it.confirm(at(280));
    CHECK(it.age(at(300)) == milliseconds(20));
}

TEST(mesh_freshness, a_confirmation_from_the_future_is_not_older_than_now)
{
    freshness it;
    it.confirm(at(400));
    CHECK(it.age(at(300)) == milliseconds(0));
}

// Two nodes that hear nothing but each other must not keep each other young.
TEST(mesh_freshness, nodes_that_confirm_each_other_grow_old_together)
{
    freshness a;
    freshness b;
    a.confirm(at(0));
    for (int now = 100; now <= 1000; now += 100) {
        b.confirm(at(now) - *a.age(at(now)));
        a.confirm(at(now) - *b.age(at(now)));
    }
    CHECK(a.age(at(1000)) == seconds(1));
    CHECK(b.age(at(1000)) == seconds(1));
}

// Story: sixty nodes pass each other's ages on, a hundred hops a second on the
// quickest way, and the time under way counts for nothing. Cut off from the
// platform, all believed to know the newest.
TEST(mesh_freshness, nodes_that_confirm_each_other_slowly_grow_old_too)
{
    constexpr int under_way = 10;
    freshness a;
    freshness b;
    a.confirm(at(0));
    for (int now = 0; now < 1000; now += 2 * under_way) {
        const duration told = *a.age(at(now));
        b.confirm(at(now + under_way) - told - mesh::hop_allowance);
        const duration back = *b.age(at(now + under_way));
        a.confirm(at(now + 2 * under_way) - back - mesh::hop_allowance);
    }
    CHECK(a.age(at(1000)) == seconds(1));
}
