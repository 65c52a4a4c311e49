#include "fennelladder/edge/io.hpp"

#include "fennelladder/telemetry/event_catalog.hpp"
#include "fennelladder/telemetry/log.hpp"

#include <CppUTest/TestHarness.h>
#include <boost/asio/post.hpp>
#include <netinet/tcp.h>
#include <stdexcept>
#include <string>
#include <sys/socket.h>
#include <vector>

using namespace fennelladder::edge;

TEST_GROUP(io){};

// A check for the caller's disconnect may be interrupted by a signal. Counted
// as a disconnect, that stopped the target's work and closed the caller's
// connection without a response.
TEST(io, transient_read_errors_are_not_a_disconnect)
{
    CHECK(is_transient(asio::error::would_block));
    CHECK(is_transient(asio::error::try_again));
    CHECK(is_transient(asio::error::interrupted));
    CHECK(!is_transient(asio::error::eof));
    CHECK(!is_transient(asio::error::connection_reset));
    CHECK(!is_transient(asio::error::timed_out));
    CHECK(!is_transient(net_error()));
}

// The user timeout decides when probes give up, whatever their count. Guards
// against probes that begin only after it, or that would end earlier: a target
// may be silent for a second and a half.
TEST(io, a_silent_connection_ends_by_the_user_timeout)
{
    asio::io_context io;
    tcp::socket socket(io, tcp::v4());
    enable_keepalive(socket, fennelladder::seconds(3));
    const auto option = [&](int level, int name) {
        int out = 0;
        socklen_t size = sizeof out;
        LONGS_EQUAL(
            0, ::getsockopt(socket.native_handle(), level, name, &out, &size));
        return out;
    };
    LONGS_EQUAL(1, option(SOL_SOCKET, SO_KEEPALIVE));
    LONGS_EQUAL(3000, option(IPPROTO_TCP, TCP_USER_TIMEOUT));
    const int first = option(IPPROTO_TCP, TCP_KEEPIDLE);
    const int last = first + option(IPPROTO_TCP, TCP_KEEPINTVL) *
                                 option(IPPROTO_TCP, TCP_KEEPCNT);
    LONGS_EQUAL(1, first);
    LONGS_EQUAL(3, last);
}

/// Runs `io` until it has no work, and returns the tasks that failed.
std::vector<std::string> failed_tasks(asio::io_context& io)
{
    std::vector<std::string> out;
    fennelladder::telemetry::set_log_sink(
        [&](const auto& what, const std::string& line) {
            if (what.number == fennelladder::telemetry::event::task_failed)
                out.push_back(line);
        });
    run_contained(io, [&] { io.run(); });
    fennelladder::telemetry::set_log_sink(nullptr);
    return out;
}

/// Throws after it has waited.
awaitable<void> fail_later(asio::io_context& io, int& runs)
{
    asio::steady_timer timer(io);
    co_await sleep_on(timer, fennelladder::milliseconds(1));
    ++runs;
    throw std::length_error("too long");
}

// Guards against an exception in one connection that ends the process, and with
// it all others.
TEST(io, an_exception_ends_one_task)
{
    asio::io_context io;
    int runs = 0;
    bool later = false;
    spawn(io, fail_later(io, runs), "caller");
    asio::post(io, [] { throw std::runtime_error("a handler"); });
    asio::steady_timer timer(io, fennelladder::milliseconds(20));
    timer.async_wait([&](net_error) { later = true; });
    const auto failed = failed_tasks(io);
    LONGS_EQUAL(1, runs);
    CHECK(later);
    UNSIGNED_LONGS_EQUAL(2, failed.size());
    CHECK(failed[0].find("a handler") != std::string::npos);
    CHECK(failed[1].find("caller") != std::string::npos);
    CHECK(failed[1].find("too long") != std::string::npos);
}

// Guards against a node that goes on without what it needs all the time, such
// as its heartbeats, after one exception.
TEST(io, a_lasting_task_is_started_again)
{
    asio::io_context io;
    int runs = 0;
    spawn_lasting(
        io,
        [&]() -> awaitable<void> {
            if (runs < 2)
                return fail_later(io, runs);
            return [](int& n) -> awaitable<void> {
                ++n;
                co_return;
            }(runs);
        },
        "heartbeats");
    const auto failed = failed_tasks(io);
    LONGS_EQUAL(3, runs);
    UNSIGNED_LONGS_EQUAL(2, failed.size());
}

TEST(io, disconnect_reason_names_the_way_a_connection_ended)
{
    STRCMP_EQUAL("", disconnect_reason(net_error()).c_str());
    STRCMP_EQUAL("closed", disconnect_reason(asio::error::eof).c_str());
    STRCMP_EQUAL("reset",
                 disconnect_reason(asio::error::connection_reset).c_str());
    CHECK(!disconnect_reason(asio::error::timed_out).empty());
}
