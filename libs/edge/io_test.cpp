#include "fennelladder/edge/io.hpp"

#include <CppUTest/TestHarness.h>

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

TEST(io, disconnect_reason_names_the_way_a_connection_ended)
{
    STRCMP_EQUAL("", disconnect_reason(net_error()).c_str());
    STRCMP_EQUAL("closed", disconnect_reason(asio::error::eof).c_str());
    STRCMP_EQUAL("reset",
                 disconnect_reason(asio::error::connection_reset).c_str());
    CHECK(!disconnect_reason(asio::error::timed_out).empty());
}
