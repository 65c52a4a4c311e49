#include "fennelladder/edge/connection_slots.hpp"

#include <CppUTest/TestHarness.h>
#include <vector>

using namespace fennelladder;
using namespace fennelladder::edge;

TEST_GROUP(connection_slots)
{
    asio::io_context io;
    std::size_t limit = 2;
    connection_slots slots{[this] { return limit; }};
    connection_slots::time_point now{seconds(100)};

    std::shared_ptr<tcp::socket> open_socket()
    {
        auto out = std::make_shared<tcp::socket>(io);
        out->open(tcp::v4());
        return out;
    }
};

// Failure: connections on which nothing happens keep others out.
TEST(connection_slots, the_longest_inactive_makes_room)
{
    const auto one = open_socket();
    const auto other = open_socket();
    const auto first = slots.take(one, now);
    const auto second = slots.take(other, now + milliseconds(100));
    CHECK(slots.is_full());
    first->note_active(now + milliseconds(200));
    CHECK(slots.make_room(now + seconds(1)));
    CHECK(one->is_open());
    CHECK(!other->is_open());
}

TEST(connection_slots, a_new_connection_has_time_for_its_request)
{
    const auto one = slots.take(open_socket(), now);
    const auto other = slots.take(open_socket(), now);
    CHECK(!slots.make_room(now + milliseconds(400)));
}

TEST(connection_slots, one_that_is_being_answered_is_kept)
{
    const auto one = slots.take(open_socket(), now);
    one->keep();
    CHECK(!slots.make_room(now + minutes(1)));
}

TEST(connection_slots, a_place_is_free_again_after_its_connection)
{
    {
        const auto one = slots.take(open_socket(), now);
        const auto other = slots.take(open_socket(), now);
        CHECK(slots.is_full());
    }
    CHECK(!slots.is_full());
    limit = 0;
    CHECK(slots.is_full());
}
