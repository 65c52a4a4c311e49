#include "fennelladder/edge/io.hpp"

#include <CppUTest/TestHarness.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

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

TEST(io, disconnect_reason_names_the_way_a_connection_ended)
{
    STRCMP_EQUAL("", disconnect_reason(net_error()).c_str());
    STRCMP_EQUAL("closed", disconnect_reason(asio::error::eof).c_str());
    STRCMP_EQUAL("reset",
                 disconnect_reason(asio::error::connection_reset).c_str());
    CHECK(!disconnect_reason(asio::error::timed_out).empty());
}
