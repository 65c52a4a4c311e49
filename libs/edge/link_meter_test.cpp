#include "fennelladder/edge/link_meter.hpp"

#include <CppUTest/TestHarness.h>

using namespace fennelladder;
using namespace fennelladder::edge;

namespace {

constexpr double link_bits = 10e6;

tcp::endpoint address(unsigned short port)
{
    return {asio::ip::make_address("127.0.0.1"), port};
}

struct measured_link
{
    /// Both directions at this share for `ticks`, with a dial to one of two
    /// addresses in each, which takes `dial`.
    void run(int ticks, double share, duration dial)
    {
        constexpr duration period = milliseconds(50);
        for (int i = 0; i < ticks; ++i) {
            const auto bytes = static_cast<std::size_t>(share * link_bits / 8 *
                                                        to_seconds(period));
            meter.add_datagram_sent(bytes);
            meter.add_datagram_received(bytes);
            const instant began = meter.begin_dial() - dial;
            meter.note_connected(began, address(i % 2 == 0 ? 1 : 2));
            time.advance(period);
            lag.note_tick(time.now());
            meter.tick(time.now());
        }
    }

    manual_clock time{instant(seconds(10))};
    loop_lag lag{milliseconds(50)};
    link_meter meter{time, lag, link_bits, true};
};

} // namespace

TEST_GROUP(link_meter){};

TEST(link_meter, adds_the_headers_of_each_segment)
{
    UNSIGNED_LONGS_EQUAL(0, tcp_bytes(0));
    UNSIGNED_LONGS_EQUAL(53, tcp_bytes(1));
    UNSIGNED_LONGS_EQUAL(1500, tcp_bytes(1448));
    UNSIGNED_LONGS_EQUAL(1449 + 104, tcp_bytes(1449));
}

// Guards against judging what was begun on a full link by its state afterwards.
TEST(link_meter, the_link_counts_as_full_for_a_while)
{
    measured_link one;
    one.run(20, 0.5, milliseconds(5));
    CHECK(!one.meter.is_full(one.time.now()));
    one.run(20, 1, milliseconds(5));
    CHECK(one.meter.is_full(one.time.now()));
    const instant full = one.time.now();
    one.run(15, 0.1, milliseconds(5));
    CHECK(one.meter.is_full(one.time.now()));
    one.run(20, 0.1, milliseconds(5));
    CHECK(!one.meter.is_full(one.time.now()));
    CHECK(one.meter.was_full_since(full - milliseconds(100), one.time.now()));
}

// Guards against taking a busy processor for a full link: the node notices late
// that a connection was made.
TEST(link_meter, the_delay_of_dials_omits_stalls_of_the_event_loop)
{
    measured_link one;
    one.run(20, 0.2, milliseconds(5));
    one.run(30, 0.7, milliseconds(205));
    CHECK(one.meter.load().dial_delay(one.time.now()) >= milliseconds(195));
    one.run(30, 0.7, milliseconds(5));
    one.time.advance(milliseconds(300));
    one.lag.note_tick(one.time.now());
    one.run(15, 0.7, milliseconds(205));
    CHECK(one.meter.load().dial_delay(one.time.now()) < milliseconds(10));
}

TEST(link_meter, measures_nothing_unless_enabled)
{
    measured_link one;
    link_meter off(one.time, one.lag, link_bits, false);
    off.add_sent(10'000'000);
    off.tick(one.time.now());
    CHECK(!off.is_full(one.time.now()));
    DOUBLES_EQUAL(0, off.load().busiest_share(one.time.now()), 0);
}
