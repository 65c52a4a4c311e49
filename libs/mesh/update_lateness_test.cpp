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

TEST(transit_delay, clock_offset_is_no_delay)
{
    CHECK(transit.record(at(-70'000), at(0)) == duration(0));
    CHECK(transit.record(at(-69'000), at(1'000)) == duration(0));
    CHECK(transit.record(at(-68'000), at(4'500)) == milliseconds(2'500));
    CHECK(transit.record(at(-67'000), at(2'990)) == duration(0));
}

TEST(transit_delay, a_faster_message_resets_the_minimum)
{
    transit.record(at(0), at(900));
    CHECK(transit.record(at(1'000), at(1'900)) == duration(0));
    CHECK(transit.record(at(2'000), at(2'010)) == duration(0));
    CHECK(transit.record(at(3'000), at(3'900)) == milliseconds(890));
}

// Guards against clock drift that counts as delay. With clocks whose speeds
// differ by a ten-thousandth, a node would after some hours take each message
// of the other for late, and refuse all its callers.
TEST(transit_delay, clock_drift_is_no_delay)
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

    void note_each_100_ms(duration delay, int from_ms, int to_ms)
    {
        for (int ms = from_ms; ms < to_ms; ms += 100)
            it.note(delay, at(ms));
    }
};

// Guards against routing by outdated heartbeats. A team sends a small host more
// than its link carries, and heartbeats arrive 2.5 s after sending. A target
// may have left meanwhile, and a request reaches it after more than the 3 s
// allowed.
TEST(update_lateness, a_saturated_link_makes_a_host_late)
{
    note_each_100_ms(milliseconds(0), 0, 1'000);
    CHECK(!it.is_late(milliseconds(200), at(1'000)));
    note_each_100_ms(milliseconds(2'500), 1'000, 3'000);
    CHECK(it.is_late(milliseconds(2'600), at(3'000)));
    note_each_100_ms(milliseconds(0), 3'000, 4'200);
    CHECK(!it.is_late(milliseconds(200), at(4'200)));
}

// The platform is unreachable for eight seconds, and data is stale at every
// node. A fleet that refused its callers for that would be down.
TEST(update_lateness, data_that_is_stale_everywhere_is_not_late)
{
    note_each_100_ms(milliseconds(10), 0, 8'000);
    CHECK(!it.is_late(seconds(8), at(8'000)));
    note_each_100_ms(milliseconds(900), 8'000, 9'000);
    CHECK(!it.is_late(seconds(9), at(9'000)));
}

// A host is partitioned from its peers and the platform, while callers reach
// it. It can only serve them from the data it has.
TEST(update_lateness, a_host_that_receives_nothing_is_not_late)
{
    CHECK(!it.is_late(seconds(8), at(0)));
    note_each_100_ms(milliseconds(10), 0, 1'000);
    CHECK(!it.is_late(seconds(4), at(5'000)));
}

TEST(update_lateness, a_single_delayed_message_is_ignored)
{
    note_each_100_ms(milliseconds(10), 0, 2'000);
    it.note(milliseconds(2'600), at(2'000));
    CHECK(!it.is_late(milliseconds(2'700), at(2'000)));
}

// Most messages are lost on a saturated link.
TEST(update_lateness, samples_stay_valid_for_the_bound)
{
    note_each_100_ms(milliseconds(2'400), 0, 1'000);
    CHECK(it.is_late(milliseconds(2'500), at(2'500)));
    CHECK(!it.is_late(milliseconds(2'500), at(4'100)));
}

// Guards against use of a configuration known to be outdated. A small host
// learns from a heartbeat of a newer one, which is queued on its saturated link
// for four seconds. It would keep using the old one and refuse a route that was
// added.
TEST(update_lateness, replaced_data_is_soon_overdue)
{
    CHECK(!it.is_overdue(std::nullopt));
    CHECK(!it.is_overdue(milliseconds(2'200)));
    CHECK(it.is_overdue(milliseconds(2'300)));
}

// Guards against a queue that grows faster than its shortest delay shows.
TEST(update_lateness, max_delay_is_that_of_the_worse_of_two_windows)
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
