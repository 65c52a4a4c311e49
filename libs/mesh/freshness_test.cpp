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
