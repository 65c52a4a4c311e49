#include "fennelladder/edge/busy_loop.hpp"

#include <CppUTest/TestHarness.h>
#include <boost/asio/post.hpp>
#include <functional>

using namespace fennelladder;
using namespace fennelladder::edge;

namespace {

constexpr duration handler_time = milliseconds(2);
constexpr duration idle_time = milliseconds(40);

/// Keeps the processor busy for handler_time.
void work(const fennelladder::clock& time)
{
    const instant until = time.now() + handler_time;
    while (time.now() < until) {
    }
}

} // namespace

TEST_GROUP(busy_loop)
{
    asio::io_context io{1};
    system_clock time;
    duration worked{0};

    void run()
    {
        run_measured(io, time, [this](duration it, instant) { worked += it; });
    }
};

TEST(busy_loop, does_not_count_waiting)
{
    asio::steady_timer timer(io, idle_time);
    timer.async_wait([](net_error) {});
    const instant begun = time.now();
    run();
    CHECK(time.now() - begun >= idle_time);
    CHECK(worked < idle_time / 2);
}

// Failure: a loop that always has something ready looks idle.
TEST(busy_loop, counts_a_loop_that_never_waits)
{
    constexpr int handlers = 100;
    int left = handlers;
    std::function<void()> again = [&] {
        work(time);
        if (--left > 0)
            asio::post(io, again);
    };
    asio::post(io, again);
    run();
    CHECK(worked >= handlers * handler_time);
}

// Failure: a loop that waits before each handler looks idle, whatever its
// handlers do.
TEST(busy_loop, counts_the_first_handler_after_a_wait)
{
    constexpr int handlers = 10;
    int left = handlers;
    asio::steady_timer timer(io);
    std::function<void()> again = [&] {
        timer.expires_after(milliseconds(1));
        timer.async_wait([&](net_error) {
            work(time);
            if (--left > 0)
                again();
        });
    };
    again();
    run();
    CHECK(worked >= handlers * handler_time / 2);
}

TEST(busy_loop, ends_when_the_loop_is_stopped)
{
    asio::steady_timer timer(io, seconds(100));
    timer.async_wait([](net_error) {});
    asio::post(io, [this] { io.stop(); });
    run();
    CHECK(io.stopped());
}
