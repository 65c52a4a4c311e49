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

TEST(event_splitter, passes_whole_events_whatever_the_pieces)
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

// Story: a target dies in the middle of an event; another goes on behind the
// last whole one. The caller must get each event once.
TEST(event_splitter, a_resumed_stream_has_each_event_once)
{
    events.feed(event(1) + event(2) + "id: 3\nda");
    std::string out = events.take();
    events.discard_incomplete();
    STRCMP_EQUAL("2", events.last_id().c_str());
    // It resumes one event too early.
    CHECK(events.feed(event(2) + event(3)));
    out += events.take();
    CHECK(out == event(1) + event(2) + event(3));
}

TEST(event_splitter, a_missing_event_is_noticed)
{
    CHECK(events.feed(event(1)));
    CHECK(!events.feed(event(3)));
}

TEST(event_splitter, what_never_ends_is_no_event)
{
    const std::string much(100 * 1024, 'x');
    CHECK(events.feed(much));
    CHECK(events.feed(much));
    CHECK(!events.feed(much));
}
