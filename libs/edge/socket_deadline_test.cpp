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

/// Both ends of a connection; the near one has a deadline.
struct ends
{
    ends() : near_end(std::make_shared<tcp::socket>(io)), deadline(near_end)
    {
        tcp::acceptor any(
            io, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0));
        near_end->connect(any.local_endpoint());
        any.accept(far_end);
    }

    /// Reads once and calls `then` when bytes have arrived.
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

    /// Stalls the loop, after the far end sent a byte if `with_byte`.
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
    std::optional<steady_clock::time_point> ended; ///< When the read failed.
};

} // namespace

TEST_GROUP(socket_deadline){};

TEST(socket_deadline, closes_an_idle_connection_in_time)
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

// After a stall longer than the limit, bytes and the expired timer become ready
// in one round. The bytes are read and the deadline is extended, but the
// timer's handler is already queued and must not close the connection.
TEST(socket_deadline, bytes_that_arrived_during_a_stall_count)
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

// The timer's handler may run before the bytes are read: here the read starts
// only after the limit, like that of a coroutine that resumes late.
TEST(socket_deadline, bytes_that_are_pending_at_the_first_check_count)
{
    ends both;
    bool got = false;
    both.deadline.close_after(limit);
    both.stall(2 * limit, true);
    // Starts the read after the timer's handler has been queued.
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

// A caller sends its next request on a connection that has reached its idle
// timeout, and the node stalls between the two checks. The second check is
// already queued when the request arrives; it closed the connection with the
// request unread.
TEST(socket_deadline, bytes_that_arrive_before_the_second_check_count)
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
        // Both timers' handlers are queued after this stall.
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

// Unread bytes do not keep open a connection that nobody reads from.
TEST(socket_deadline, closes_a_connection_with_bytes_that_are_never_read)
{
    ends both;
    both.deadline.close_after(limit);
    both.far_end.send(asio::buffer("x", 1));
    both.io.run_for(seconds(2));
    CHECK(both.deadline.has_closed());
}

TEST(socket_deadline, closes_an_idle_connection_after_a_stall)
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

TEST(socket_deadline, can_be_moved_earlier_and_later)
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

TEST(socket_deadline, cleared_deadline_closes_nothing_and_keeps_no_timer)
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
