#include "fennelladder/edge/io.hpp"

#include <CppUTest/TestHarness.h>

using namespace fennelladder::edge;

TEST_GROUP(io){};

// Story: a node looks whether a caller is still there, and the look is
// interrupted by a signal. The caller counted as gone: its target's work was
// stopped and its connection closed without an answer.
TEST(io, only_what_tells_of_the_other_side_is_an_end)
{
    CHECK(is_transient(asio::error::would_block));
    CHECK(is_transient(asio::error::try_again));
    CHECK(is_transient(asio::error::interrupted));
    CHECK(!is_transient(asio::error::eof));
    CHECK(!is_transient(asio::error::connection_reset));
    CHECK(!is_transient(asio::error::timed_out));
    CHECK(!is_transient(net_error()));
}

TEST(io, the_log_tells_how_a_connection_ended)
{
    STRCMP_EQUAL("", disconnect_reason(net_error()).c_str());
    STRCMP_EQUAL("closed", disconnect_reason(asio::error::eof).c_str());
    STRCMP_EQUAL("reset",
                 disconnect_reason(asio::error::connection_reset).c_str());
    CHECK(!disconnect_reason(asio::error::timed_out).empty());
}
