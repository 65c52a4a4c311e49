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

/// Well above the time that a stop takes, for busy machines.
constexpr duration slack = seconds(2);

/// A request without a connection that records what stops it.
struct recorded_request
{
    recorded_request()
    {
        cancellation->on_stop([this](stop_reason why) {
            stops.push_back(why);
            stopped_at = time.now();
        });
    }

    /// Stalls the loop beyond `limit`. What became ready meanwhile is handled
    /// in two steps, like a response's head and body; `last` is the second one,
    /// which is queued behind the timer's handler.
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

// After a stall longer than the idle timeout, the response and the expired
// timer become ready in one round. The timer must not stop the request between
// reading the response's head and its body, which discarded a complete
// response.
TEST(request_cancellation, data_that_arrived_during_a_stall_extends_the_limit)
{
    recorded_request it;
    it.cancellation->set_idle_deadline(it.begun + limit);
    it.stall_before([&] { it.cancellation->set_idle_deadline(std::nullopt); });
    it.io.run();
    CHECK(it.stops.empty());
    CHECK(it.cancellation->stopped() == stop_reason::none);
}

// The same with the request's deadline, which is never extended: the response
// that had arrived was replaced by the node's own 504.
TEST(request_cancellation, data_that_arrived_during_a_stall_may_end_the_request)
{
    recorded_request it;
    it.cancellation->set_deadline(it.begun + limit);
    it.stall_before([&] { it.cancellation->end(); });
    it.io.run();
    CHECK(it.stops.empty());
}

// A limit that replaces an expired one is waited for in full and is itself
// checked twice.
TEST(request_cancellation, an_extended_limit_holds)
{
    recorded_request it;
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

TEST(request_cancellation, stops_an_idle_target_after_a_stall)
{
    recorded_request it;
    it.cancellation->set_idle_deadline(it.begun + limit);
    it.stall_before([] {});
    it.io.run();
    LONGS_EQUAL(1, it.stops.size());
    CHECK(it.stops[0] == stop_reason::idle_timeout);
    CHECK(it.stopped_at < it.begun + 2 * limit + slack);
}

// A request that passed both limits in one stall has exceeded its deadline: no
// other target may be tried.
TEST(request_cancellation, the_deadline_precedes_the_idle_timeout)
{
    recorded_request it;
    it.cancellation->set_idle_deadline(it.begun + limit / 2);
    it.cancellation->set_deadline(it.begun + limit);
    it.stall_before([] {});
    it.io.run();
    LONGS_EQUAL(1, it.stops.size());
    CHECK(it.stops[0] == stop_reason::deadline_exceeded);
}

// After an attempt was stopped as idle, the request still ends at its deadline.
TEST(request_cancellation, the_deadline_holds_after_an_idle_attempt)
{
    recorded_request it;
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

TEST(request_cancellation, later_stops_have_no_effect)
{
    recorded_request it;
    it.cancellation->set_deadline(it.begun + limit);
    it.cancellation->stop(stop_reason::caller_left);
    it.io.run();
    LONGS_EQUAL(1, it.stops.size());
    CHECK(it.cancellation->stopped() == stop_reason::caller_left);
}

TEST(request_cancellation, an_ended_request_is_not_stopped)
{
    recorded_request it;
    it.cancellation->set_deadline(it.begun + limit);
    it.cancellation->end();
    it.cancellation->set_idle_deadline(it.begun);
    it.cancellation->stop(stop_reason::caller_left);
    it.io.run();
    CHECK(it.stops.empty());
}
