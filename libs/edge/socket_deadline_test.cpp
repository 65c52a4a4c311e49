#include "fennelladder/edge/socket_deadline.hpp"

#include <CppUTest/TestHarness.h>
#include <array>
#include <boost/asio/post.hpp>
#include <functional>
#include <thread>

using namespace fennelladder;
using namespace fennelladder::edge;

namespace {

using steady_clock = std::chrono::steady_clock;

constexpr duration limit = milliseconds(100);

/// Two ends of a connection; the near one has a deadline.
struct ends
{
    ends() : near_end(std::make_shared<tcp::socket>(io)), deadline(near_end)
    {
        tcp::acceptor any(
            io, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0));
        near_end->connect(any.local_endpoint());
        any.accept(far_end);
    }

    /// Reads once; `then` runs when bytes came.
    void read(std::function<void()> then)
    {
        near_end->async_read_some(
            asio::buffer(bytes),
            [this, then = std::move(then)](net_error ec, std::size_t) {
                if (ec)
                    ended = steady_clock::now();
                else
                    then();
            });
    }

    /// The loop stands still, after a byte came if `with_byte`.
    void stall(duration length, bool with_byte)
    {
        asio::post(io, [this, length, with_byte] {
            if (with_byte)
                far_end.send(asio::buffer("x", 1));
            std::this_thread::sleep_for(length);
        });
    }

    asio::io_context io{1};
    std::shared_ptr<tcp::socket> near_end;
    tcp::socket far_end{io};
    socket_deadline deadline;
    std::array<char, 64> bytes{};
    std::optional<steady_clock::time_point> ended; ///< The read failed.
};

} // namespace

TEST_GROUP(socket_deadline){};

TEST(socket_deadline, closes_a_silent_connection_in_time)
{
    ends both;
    const auto begun = steady_clock::now();
    both.deadline.close_after(limit);
    both.read([] {});
    both.io.run();
    CHECK(both.ended && !both.near_end->is_open());
    CHECK(both.deadline.has_closed());
    CHECK(*both.ended - begun >= limit);
    CHECK(*both.ended - begun < seconds(2));
}

// Story: the loop stood still for longer than the limit. Bytes and the expired
// timer were found in one round; the bytes were read, the limit was moved on,
// and the timer's handler, queued by then, closed the connection all the same.
TEST(socket_deadline, bytes_that_came_during_a_stall_count)
{
    ends both;
    both.deadline.close_after(limit);
    both.read([&] {
        both.deadline.close_after(seconds(30));
        asio::post(both.io, [&] { both.read([] {}); });
    });
    both.stall(3 * limit, true);
    both.io.run_for(6 * limit);
    CHECK(both.near_end->is_open());
    CHECK(!both.ended && !both.deadline.has_closed());
}

// A handler that has been queued for long may come before the bytes: these are
// asked for only after the limit, as by a coroutine that waited its turn.
TEST(socket_deadline, bytes_that_wait_at_the_first_look_count)
{
    ends both;
    bool got = false;
    both.deadline.close_after(limit);
    both.stall(2 * limit, true);
    // Begun after the timer's handler is queued.
    asio::steady_timer late(both.io, 2 * limit);
    late.async_wait([&](net_error) {
        both.read([&] {
            got = true;
            both.deadline.clear();
        });
    });
    both.io.run_for(seconds(2));
    CHECK(got);
    CHECK(both.near_end->is_open());
}

// Story: a caller sent its next request on a connection that had rested for as
// long as it may. The node stood still between its two looks; the second was
// queued when the request came, and closed the connection over it, unread.
TEST(socket_deadline, bytes_that_come_before_the_second_look_count)
{
    ends both;
    bool got = false;
    both.deadline.close_after(limit);
    both.read([&] {
        got = true;
        both.deadline.clear();
    });
    asio::steady_timer before(both.io, limit + expiry_grace / 4);
    before.async_wait([&](net_error) {
        // Both timers' handlers are queued after this.
        asio::post(both.io,
                   [] { std::this_thread::sleep_for(2 * expiry_grace); });
    });
    asio::steady_timer between(both.io, limit + expiry_grace / 2);
    between.async_wait(
        [&](net_error) { both.far_end.send(asio::buffer("x", 1)); });
    both.io.run_for(seconds(2));
    CHECK(got);
    CHECK(both.near_end->is_open());
}

// A connection that nobody reads from doesn't stay for what lies in it.
TEST(socket_deadline, bytes_that_are_never_read_are_no_excuse)
{
    ends both;
    both.deadline.close_after(limit);
    both.far_end.send(asio::buffer("x", 1));
    both.io.run_for(seconds(2));
    CHECK(both.deadline.has_closed());
}

TEST(socket_deadline, a_stall_without_bytes_is_no_excuse)
{
    ends both;
    both.deadline.close_after(limit);
    both.read([] {});
    both.stall(3 * limit, false);
    const auto begun = steady_clock::now();
    both.io.run();
    CHECK(both.deadline.has_closed());
    CHECK(*both.ended - begun < seconds(2));
}

TEST(socket_deadline, may_be_moved_both_ways)
{
    ends both;
    both.deadline.close_after(seconds(60));
    both.deadline.close_after(limit);
    both.read([] {});
    const auto begun = steady_clock::now();
    asio::steady_timer timer(both.io, limit / 2);
    timer.async_wait([&](net_error) { both.deadline.close_after(3 * limit); });
    both.io.run();
    CHECK(both.deadline.has_closed());
    CHECK(*both.ended - begun >= 3 * limit);
    CHECK(*both.ended - begun < seconds(5));
}

TEST(socket_deadline, without_one_nothing_is_closed_nor_waited_for)
{
    ends both;
    both.deadline.close_after(seconds(60));
    both.deadline.clear();
    both.io.run();
    CHECK(both.near_end->is_open());
    both.deadline.close_after(milliseconds(1));
    both.near_end.reset();
    both.io.restart();
    both.io.run_for(5 * expiry_grace);
    CHECK(both.deadline.has_closed());
}
