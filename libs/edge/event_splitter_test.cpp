#include "fennelladder/edge/event_splitter.hpp"

#include <CppUTest/TestHarness.h>

using namespace fennelladder::edge;

namespace {

std::string event(int id)
{
    return "id: " + std::to_string(id) + "\ndata: x" + std::to_string(id) +
           "\n\n";
}

} // namespace

TEST_GROUP(event_splitter)
{
    event_splitter events;
};

TEST(event_splitter, takes_whole_events_for_any_split_of_the_input)
{
    const std::string all = event(1) + event(2) + event(3);
    for (std::size_t size = 1; size <= all.size(); ++size) {
        event_splitter it;
        std::string out;
        for (std::size_t from = 0; from < all.size(); from += size) {
            CHECK(it.feed(all.substr(from, size)));
            const std::string taken = it.take();
            CHECK(taken.empty() || taken.ends_with("\n\n"));
            out += taken;
        }
        CHECK(out == all);
        CHECK(it.events() == 3);
    }
}

// A target dies in the middle of an event, and another resumes after the last
// whole one. The caller must receive each event once.
TEST(event_splitter, a_resumed_stream_has_each_event_once)
{
    events.feed(event(1) + event(2) + "id: 3\nda");
    std::string out = events.take();
    events.discard_incomplete();
    STRCMP_EQUAL("2", events.last_id().c_str());
    // The second target resumes one event too early.
    CHECK(events.feed(event(2) + event(3)));
    out += events.take();
    CHECK(out == event(1) + event(2) + event(3));
}

TEST(event_splitter, rejects_a_gap_in_the_ids)
{
    CHECK(events.feed(event(1)));
    CHECK(!events.feed(event(3)));
}

TEST(event_splitter, rejects_an_event_that_exceeds_the_limit)
{
    const std::string much(100 * 1024, 'x');
    CHECK(events.feed(much));
    CHECK(events.feed(much));
    CHECK(!events.feed(much));
}
