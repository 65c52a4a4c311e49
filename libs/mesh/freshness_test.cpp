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

TEST(mesh_freshness, unconfirmed_data_has_no_age)
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

// Two nodes that hear only each other must not keep each other fresh.
TEST(mesh_freshness, nodes_that_confirm_each_other_age_together)
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

// Guards against ages that don't grow over many hops. Sixty nodes pass on each
// other's ages, a hundred hops a second on the fastest path. If transit time
// doesn't count, all believe their data to be current although the platform is
// unreachable.
TEST(mesh_freshness, nodes_that_confirm_each_other_with_delay_age_too)
{
    constexpr int transit_ms = 10;
    freshness a;
    freshness b;
    a.confirm(at(0));
    for (int now = 0; now < 1000; now += 2 * transit_ms) {
        const duration told = *a.age(at(now));
        b.confirm(at(now + transit_ms) - told - mesh::hop_allowance);
        const duration back = *b.age(at(now + transit_ms));
        a.confirm(at(now + 2 * transit_ms) - back - mesh::hop_allowance);
    }
    CHECK(a.age(at(1000)) == seconds(1));
}
