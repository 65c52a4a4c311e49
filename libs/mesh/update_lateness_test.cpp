#include "fennelladder/mesh/transit_delay.hpp"
#include "fennelladder/mesh/update_lateness.hpp"

#include <CppUTest/TestHarness.h>

using namespace fennelladder;
using fennelladder::mesh::transit_delay;
using fennelladder::mesh::update_lateness;

namespace {

constexpr duration bound = seconds(3);

instant at(int ms)
{
    return instant(milliseconds(100'000 + ms));
}

} // namespace

TEST_GROUP(transit_delay)
{
    mesh::transit_delay transit;
};

TEST(transit_delay, what_clocks_differ_by_is_no_delay)
{
    CHECK(transit.record(at(-70'000), at(0)) == duration(0));
    CHECK(transit.record(at(-69'000), at(1'000)) == duration(0));
    CHECK(transit.record(at(-68'000), at(4'500)) == milliseconds(2'500));
    CHECK(transit.record(at(-67'000), at(2'990)) == duration(0));
}

TEST(transit_delay, a_faster_message_shows_that_all_before_waited)
{
    transit.record(at(0), at(900));
    CHECK(transit.record(at(1'000), at(1'900)) == duration(0));
    CHECK(transit.record(at(2'000), at(2'010)) == duration(0));
    CHECK(transit.record(at(3'000), at(3'900)) == milliseconds(890));
}

// Story: the clocks of two hosts run at speeds that differ by a ten-thousandth.
// After some hours a node would take each message of the other for late, and
// refuse all its callers.
TEST(transit_delay, clocks_may_drift)
{
    for (int i = 0; i < 24 * 3600; ++i) {
        const instant sent = instant(milliseconds(1'000'000)) + seconds(i);
        const instant arrived = sent + microseconds(100) * i;
        CHECK(transit.record(sent, arrived) < milliseconds(100));
    }
}

TEST_GROUP(update_lateness)
{
    mesh::update_lateness it{bound};

    void hear(duration delay, int from_ms, int to_ms)
    {
        for (int ms = from_ms; ms < to_ms; ms += 100)
            it.note(delay, at(ms));
    }
};

// Story: a team sends a small host more than its link carries. Beacons that
// were up to date when they were sent are here 2.5 s later; a target may have
// left meanwhile, and a request reaches it after more than the 3 s allowed.
TEST(update_lateness, a_full_link_makes_a_host_late)
{
    hear(milliseconds(0), 0, 1'000);
    CHECK(!it.is_late(milliseconds(200), at(1'000)));
    hear(milliseconds(2'500), 1'000, 3'000);
    CHECK(it.is_late(milliseconds(2'600), at(3'000)));
    hear(milliseconds(0), 3'000, 4'200);
    CHECK(!it.is_late(milliseconds(200), at(4'200)));
}

// Story: the platform is away for eight seconds, and nobody's news are in
// time. A fleet that refused its callers for that would be down.
TEST(update_lateness, news_that_are_old_for_all_are_not_late)
{
    hear(milliseconds(10), 0, 8'000);
    CHECK(!it.is_late(seconds(8), at(8'000)));
    hear(milliseconds(900), 8'000, 9'000);
    CHECK(!it.is_late(seconds(9), at(9'000)));
}

// Story: a host is cut off from its peers and from the platform, and callers
// reach it. What it knows is all that can serve them.
TEST(update_lateness, a_host_that_hears_nothing_is_not_late)
{
    CHECK(!it.is_late(seconds(8), at(0)));
    hear(milliseconds(10), 0, 1'000);
    CHECK(!it.is_late(seconds(4), at(5'000)));
}

TEST(update_lateness, one_message_that_was_held_up_says_nothing)
{
    hear(milliseconds(10), 0, 2'000);
    it.note(milliseconds(2'600), at(2'000));
    CHECK(!it.is_late(milliseconds(2'700), at(2'000)));
}

// Most messages are lost where a link is full.
TEST(update_lateness, what_was_seen_last_holds_for_a_while)
{
    hear(milliseconds(2'400), 0, 1'000);
    CHECK(it.is_late(milliseconds(2'500), at(2'500)));
    CHECK(!it.is_late(milliseconds(2'500), at(4'100)));
}

// Story: a small host hears in a beacon that there is a newer configuration;
// the configuration itself waits on its full link for four seconds. It goes on
// by the one it has, and refuses a route that was added.
TEST(update_lateness, what_is_known_to_be_replaced_is_soon_overdue)
{
    CHECK(!it.is_overdue(std::nullopt));
    CHECK(!it.is_overdue(milliseconds(2'200)));
    CHECK(it.is_overdue(milliseconds(2'300)));
}

// Guards against a queue that grows faster than its shortest wait shows.
TEST(update_lateness, the_longest_delay_is_that_of_the_worse_of_two_windows)
{
    mesh::update_lateness lateness(seconds(3));
    const instant at(seconds(200));
    CHECK(!lateness.max_delay(at));
    lateness.note(milliseconds(40), at);
    lateness.note(milliseconds(700), at + milliseconds(600));
    lateness.note(milliseconds(800), at + milliseconds(700));
    const instant later = at + milliseconds(800);
    CHECK(lateness.delay(later) == duration(milliseconds(40)));
    CHECK(lateness.max_delay(later) == duration(milliseconds(700)));
}
