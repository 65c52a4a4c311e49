#include "fennelladder/edge/request_cancellation.hpp"

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
        cancellation->on_stop([this](stop_reason why) {
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
    request_cancellation_ptr cancellation =
        std::make_shared<request_cancellation>(io, time);
    instant begun = time.now();
    std::vector<stop_reason> stops;
    instant stopped_at;
};

} // namespace

TEST_GROUP(request_cancellation){};

// Story: a node's loop stood still for longer than a target may be silent. The
// answer and the expired timer were found in one round; the answer's head was
// read, the timer stopped the course before its body was, and the whole answer
// was thrown away.
TEST(request_cancellation, what_came_during_a_stall_moves_the_silence_limit_on)
{
    watched it;
    it.cancellation->set_idle_deadline(it.begun + limit);
    it.stall_before([&] { it.cancellation->set_idle_deadline(std::nullopt); });
    it.io.run();
    CHECK(it.stops.empty());
    CHECK(it.cancellation->stopped() == stop_reason::none);
}

// Story: the same with the deadline of the request, which doesn't move on: the
// answer that was there was replaced by the node's own 504.
TEST(request_cancellation, what_came_during_a_stall_may_end_after_the_deadline)
{
    watched it;
    it.cancellation->set_deadline(it.begun + limit);
    it.stall_before([&] { it.cancellation->end(); });
    it.io.run();
    CHECK(it.stops.empty());
}

// What the first look let pass counts from then on: the limit that replaces
// one that had passed is waited for in full, and looked at twice as well.
TEST(request_cancellation, a_limit_that_was_moved_on_holds)
{
    watched it;
    it.cancellation->set_idle_deadline(it.begun + limit);
    instant next;
    it.stall_before([&] {
        next = it.time.now() + limit;
        it.cancellation->set_idle_deadline(next);
    });
    it.io.run();
    LONGS_EQUAL(1, it.stops.size());
    CHECK(it.stops[0] == stop_reason::idle_timeout);
    CHECK(it.stopped_at >= next && it.stopped_at < next + slack);
}

TEST(request_cancellation, a_stall_is_no_excuse_for_a_silent_target)
{
    watched it;
    it.cancellation->set_idle_deadline(it.begun + limit);
    it.stall_before([] {});
    it.io.run();
    LONGS_EQUAL(1, it.stops.size());
    CHECK(it.stops[0] == stop_reason::idle_timeout);
    CHECK(it.stopped_at < it.begun + 2 * limit + slack);
}

// A course that passed both its limits in one stall is out of time: no other
// target may be tried.
TEST(request_cancellation, a_deadline_goes_before_a_silence)
{
    watched it;
    it.cancellation->set_idle_deadline(it.begun + limit / 2);
    it.cancellation->set_deadline(it.begun + limit);
    it.stall_before([] {});
    it.io.run();
    LONGS_EQUAL(1, it.stops.size());
    CHECK(it.stops[0] == stop_reason::deadline_exceeded);
}

// A silent attempt is over, and its request still ends at its deadline.
TEST(request_cancellation, a_deadline_holds_after_a_silent_attempt)
{
    watched it;
    it.cancellation->set_deadline(it.begun + 3 * limit);
    it.cancellation->set_idle_deadline(it.begun + limit);
    it.cancellation->on_stop([&](stop_reason why) {
        it.stops.push_back(why);
        if (why == stop_reason::idle_timeout)
            asio::post(it.io, [&] { it.cancellation->clear_idle_timeout(); });
    });
    it.io.run();
    LONGS_EQUAL(2, it.stops.size());
    CHECK(it.stops[0] == stop_reason::idle_timeout);
    CHECK(it.stops[1] == stop_reason::deadline_exceeded);
    CHECK(it.cancellation->stopped() == stop_reason::deadline_exceeded);
}

TEST(request_cancellation, is_stopped_once)
{
    watched it;
    it.cancellation->set_deadline(it.begun + limit);
    it.cancellation->stop(stop_reason::caller_left);
    it.io.run();
    LONGS_EQUAL(1, it.stops.size());
    CHECK(it.cancellation->stopped() == stop_reason::caller_left);
}

TEST(request_cancellation, nothing_stops_one_that_has_ended)
{
    watched it;
    it.cancellation->set_deadline(it.begun + limit);
    it.cancellation->end();
    it.cancellation->set_idle_deadline(it.begun);
    it.cancellation->stop(stop_reason::caller_left);
    it.io.run();
    CHECK(it.stops.empty());
}
