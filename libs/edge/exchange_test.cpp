#include "fennelladder/edge/exchange.hpp"

#include <CppUTest/TestHarness.h>
#include <boost/asio/post.hpp>
#include <functional>
#include <thread>
#include <vector>

using namespace fennelladder;
using namespace fennelladder::edge;

namespace {

constexpr duration limit = milliseconds(60);

/// Far above what a stop takes, for machines that are busy.
constexpr duration slack = seconds(2);

/// A course without a connection, which notes what stops it.
struct watched
{
    watched()
    {
        course->on_stop([this](stop_reason why) {
            stops.push_back(why);
            stopped_at = time.now();
        });
    }

    /// The loop stands still over `limit`. What became ready meanwhile is
    /// worked off in two steps, as an answer's head and body are; `last` is the
    /// second, which is queued behind the timer's handler.
    void stall_before(std::function<void()> last)
    {
        asio::post(io, [this, last = std::move(last)]() mutable {
            std::this_thread::sleep_for(2 * limit);
            asio::post(io, [this, last = std::move(last)]() mutable {
                asio::post(io, std::move(last));
            });
        });
    }

    asio::io_context io{1};
    system_clock time;
    exchange_ptr course = std::make_shared<exchange>(io, time);
    instant begun = time.now();
    std::vector<stop_reason> stops;
    instant stopped_at;
};

} // namespace

TEST_GROUP(exchange){};

// Story: a node's loop stood still for longer than a target may be silent. The
// answer and the expired timer were found in one round; the answer's head was
// read, the timer stopped the course before its body was, and the whole answer
// was thrown away.
TEST(exchange, what_came_during_a_stall_moves_the_silence_limit_on)
{
    watched it;
    it.course->set_silence_limit(it.begun + limit);
    it.stall_before([&] { it.course->set_silence_limit(std::nullopt); });
    it.io.run();
    CHECK(it.stops.empty());
    CHECK(it.course->stopped() == stop_reason::none);
}

// Story: the same with the deadline of the request, which doesn't move on: the
// answer that was there was replaced by the node's own 504.
TEST(exchange, what_came_during_a_stall_may_end_after_the_deadline)
{
    watched it;
    it.course->set_deadline(it.begun + limit);
    it.stall_before([&] { it.course->end(); });
    it.io.run();
    CHECK(it.stops.empty());
}

// What the first look let pass counts from then on: the limit that replaces
// one that had passed is waited for in full, and looked at twice as well.
TEST(exchange, a_limit_that_was_moved_on_holds)
{
    watched it;
    it.course->set_silence_limit(it.begun + limit);
    instant next;
    it.stall_before([&] {
        next = it.time.now() + limit;
        it.course->set_silence_limit(next);
    });
    it.io.run();
    LONGS_EQUAL(1, it.stops.size());
    CHECK(it.stops[0] == stop_reason::silent);
    CHECK(it.stopped_at >= next && it.stopped_at < next + slack);
}

TEST(exchange, a_stall_is_no_excuse_for_a_silent_target)
{
    watched it;
    it.course->set_silence_limit(it.begun + limit);
    it.stall_before([] {});
    it.io.run();
    LONGS_EQUAL(1, it.stops.size());
    CHECK(it.stops[0] == stop_reason::silent);
    CHECK(it.stopped_at < it.begun + 2 * limit + slack);
}

// A course that passed both its limits in one stall is out of time: no other
// target may be tried.
TEST(exchange, a_deadline_goes_before_a_silence)
{
    watched it;
    it.course->set_silence_limit(it.begun + limit / 2);
    it.course->set_deadline(it.begun + limit);
    it.stall_before([] {});
    it.io.run();
    LONGS_EQUAL(1, it.stops.size());
    CHECK(it.stops[0] == stop_reason::out_of_time);
}

// A silent attempt is over, and its request still ends at its deadline.
TEST(exchange, a_deadline_holds_after_a_silent_attempt)
{
    watched it;
    it.course->set_deadline(it.begun + 3 * limit);
    it.course->set_silence_limit(it.begun + limit);
    it.course->on_stop([&](stop_reason why) {
        it.stops.push_back(why);
        if (why == stop_reason::silent)
            asio::post(it.io, [&] { it.course->clear_silence(); });
    });
    it.io.run();
    LONGS_EQUAL(2, it.stops.size());
    CHECK(it.stops[0] == stop_reason::silent);
    CHECK(it.stops[1] == stop_reason::out_of_time);
    CHECK(it.course->stopped() == stop_reason::out_of_time);
}

TEST(exchange, is_stopped_once)
{
    watched it;
    it.course->set_deadline(it.begun + limit);
    it.course->stop(stop_reason::caller_left);
    it.io.run();
    LONGS_EQUAL(1, it.stops.size());
    CHECK(it.course->stopped() == stop_reason::caller_left);
}

TEST(exchange, nothing_stops_one_that_has_ended)
{
    watched it;
    it.course->set_deadline(it.begun + limit);
    it.course->end();
    it.course->set_silence_limit(it.begun);
    it.course->stop(stop_reason::caller_left);
    it.io.run();
    CHECK(it.stops.empty());
}
