// Virtual time: a link of 10 Mbit/s, in ticks of 50 ms.

#include "fennelladder/dispatch/link_load.hpp"

#include <CppUTest/TestHarness.h>

using namespace fennelladder;
using namespace fennelladder::dispatch;

namespace {

constexpr double link_bits = 10e6;
constexpr duration tick = milliseconds(50);
constexpr double link_bytes_per_tick = link_bits / 8 * 0.05;

struct host
{
    link_load load{link_bits};
    instant now = instant(seconds(100));
    std::uint64_t dials = 0;

    /// Each tick sends and receives these shares. `dial` is the time that a
    /// dial took that ends in it; 0: no dial.
    void run(duration length, double sent, double received,
             duration dial = duration(0), bool timed_out = false,
             std::uint64_t destinations = 3)
    {
        for (duration done{0}; done < length; done += tick) {
            now += tick;
            load.note_sent(std::size_t(sent * link_bytes_per_tick), now);
            load.note_received(std::size_t(received * link_bytes_per_tick),
                               now);
            if (dial > duration(0))
                load.note_dial({dial, timed_out, dials++ % destinations}, now);
        }
    }

    int delay_ms() const
    {
        return static_cast<int>(load.dial_delay(now) / milliseconds(1));
    }
};

} // namespace

TEST_GROUP(link_load){};

TEST(link_load, shares_follow_the_bytes_of_half_a_second)
{
    struct row
    {
        double sent, received;
        bool full;
    };
    for (const row& it :
         {row{0, 0, false}, row{0.3, 0.8, false}, row{0.9, 0.9, false},
          row{0.96, 0.1, true}, row{0.1, 0.96, true}, row{1.5, 0, true}}) {
        host one;
        one.run(seconds(1), it.sent, it.received);
        DOUBLES_EQUAL(it.sent, one.load.sent_share(one.now), 0.01);
        DOUBLES_EQUAL(it.received, one.load.received_share(one.now), 0.01);
        CHECK_EQUAL(it.full, one.load.is_full(one.now));
        DOUBLES_EQUAL(0, one.load.busiest_share(one.now + seconds(1)), 0);
    }
}

// Guards against taking a stalled event loop, which counts late what passed
// over a whole second, for a full link.
TEST(link_load, bytes_counted_late_are_spread_over_the_gap)
{
    host one;
    one.run(seconds(1), 0.6, 0.6);
    one.now += seconds(1);
    one.load.note_received(std::size_t(0.6 * link_bytes_per_tick * 20),
                           one.now);
    DOUBLES_EQUAL(0.6, one.load.received_share(one.now), 0.01);
    one.run(seconds(1), 0.6, 0.6);
    DOUBLES_EQUAL(0.6, one.load.received_share(one.now), 0.01);
}

TEST(link_load, the_send_queue_grows_by_the_excess_and_drains)
{
    host one;
    one.run(seconds(1), 0.5, 0);
    CHECK(one.load.send_queue(one.now) == duration(0));
    one.run(seconds(1), 1.5, 0);
    DOUBLES_EQUAL(0.5, to_seconds(one.load.send_queue(one.now)), 0.01);
    DOUBLES_EQUAL(0.2,
                  to_seconds(one.load.send_queue(one.now + milliseconds(300))),
                  0.01);
    one.run(seconds(1), 0.5, 0);
    CHECK(one.load.send_queue(one.now) == duration(0));
}

// The least dials of each second that were seen in a trial while a link filled
// with incoming bytes.
TEST(link_load, the_delay_of_dials_follows_the_queue_beyond_the_usual)
{
    host one;
    one.run(seconds(3), 0.1, 0.2, milliseconds(5));
    LONGS_EQUAL(0, one.delay_ms());
    for (const int least : {24, 159, 286, 464}) {
        one.run(seconds(1), 0.3, 0.85, milliseconds(least));
        LONGS_EQUAL(least - 5, one.delay_ms());
        CHECK_EQUAL(least > 105, one.load.is_full(one.now));
    }
    // The usual time wasn't learnt from the full link.
    one.run(seconds(2), 0.3, 0.6, milliseconds(7));
    LONGS_EQUAL(2, one.delay_ms());
}

TEST(link_load, a_dial_that_timed_out_shows_at_least_its_timeout)
{
    host one;
    one.run(seconds(2), 0.1, 0.1, milliseconds(5));
    one.run(seconds(1), 0.1, 0.8, milliseconds(350), true);
    LONGS_EQUAL(345, one.delay_ms());
    one.run(seconds(2), 0.1, 0.8, seconds(4), true);
    LONGS_EQUAL(1000, one.delay_ms());
    // Without dials nothing is known.
    one.run(seconds(1), 0.1, 0.8);
    LONGS_EQUAL(0, one.delay_ms());
}

// Guards against taking a target that is gone, or a network that is cut, for a
// full link: the node would go on sending requests there.
TEST(link_load, dials_that_fail_for_another_cause_show_no_delay)
{
    const duration timeout = milliseconds(350);
    host one_target_gone;
    one_target_gone.run(seconds(2), 0.1, 0.7, timeout, true, 1);
    LONGS_EQUAL(0, one_target_gone.delay_ms());

    host others_fast;
    for (int i = 0; i < 20; ++i) {
        others_fast.run(tick, 0.1, 0.7, timeout, true);
        others_fast.run(tick, 0.1, 0.7, milliseconds(5));
    }
    CHECK(others_fast.delay_ms() < 10);

    host cut_off;
    cut_off.run(seconds(2), 0.1, 0.1, milliseconds(5));
    cut_off.run(seconds(2), 0.1, 0.1, timeout, true);
    LONGS_EQUAL(0, cut_off.delay_ms());
    CHECK(!cut_off.load.is_full(cut_off.now));
}
