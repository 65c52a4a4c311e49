#include "fennelladder/edge/event_splitter.hpp"

#include <CppUTest/TestHarness.h>
#include <string>
#include <vector>

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

struct line_end_case
{
    const char* name;
    std::string text; ///< Of a line end.
};

// Guards against events that aren't recognized, and so are held back until
// their stream ends.
TEST(event_splitter, takes_events_with_any_line_end)
{
    const std::vector<line_end_case> cases{
        {"LF", "\n"}, {"CR LF", "\r\n"}, {"CR", "\r"}};
    for (const line_end_case& each : cases) {
        const std::string& end = each.text;
        const std::string one = "id: 1" + end + "data: x" + end + end;
        const std::string two = "id: 2" + end + "data: y" + end + end;
        const std::string all = one + two;
        for (std::size_t size = 1; size <= all.size(); ++size) {
            event_splitter it;
            std::string out;
            for (std::size_t from = 0; from < all.size(); from += size) {
                CHECK_TEXT(it.feed(all.substr(from, size)), each.name);
                out += it.take();
            }
            CHECK_TEXT(it.is_between_events(), each.name);
            CHECK_TEXT(out + it.incomplete() == all, each.name);
            CHECK_TEXT(it.events() == 2, each.name);
            STRCMP_EQUAL_TEXT("2", it.last_id().c_str(), each.name);
        }
    }
}

struct stream_end_case
{
    const char* name;
    std::string stream;
    bool between_events;
};

// Guards against a stream that is taken for whole although an event isn't.
TEST(event_splitter, tells_whether_a_stream_may_end)
{
    const std::vector<stream_end_case> cases{
        {"nothing", "", true},
        {"an event", event(1), true},
        {"part of a line", event(1) + "id: 2\nda", false},
        {"whole lines", event(1) + "id: 2\ndata: x\n", false},
        {"whole lines, CR LF", "id: 2\r\ndata: x\r\n", false},
        {"one byte", event(1) + "i", false},
        {"a field without a value", event(1) + "data\n", false},
        {"a comment", event(1) + ": still here\n", true},
        {"part of a comment", event(1) + ": still", false},
        {"an empty line", event(1) + "\n", true},
        {"a comment, then part of an event", ": hello\nid: 1\n", false},
        {"a comment inside an event", "id: 1\n: hello\n", false},
        {"a comment and an empty line", ": hello\n\n", true},
    };
    for (const stream_end_case& each : cases) {
        event_splitter it;
        CHECK_TEXT(it.feed(each.stream), each.name);
        CHECK_TEXT(it.is_between_events() == each.between_events, each.name);
        CHECK_TEXT(it.take() + it.incomplete() == each.stream, each.name);
        it.discard_incomplete();
        CHECK_TEXT(it.is_between_events(), each.name);
    }
}

TEST(event_splitter, does_not_count_comments_and_empty_lines_as_events)
{
    CHECK(events.feed(": one\n\n\n\n: two\n" + event(1) + "\n"));
    CHECK(events.events() == 1);
    CHECK(events.has_output());
    STRCMP_EQUAL("1", events.last_id().c_str());
}

TEST(event_splitter, reads_an_id_behind_a_byte_order_mark)
{
    CHECK(events.feed("\xEF\xBB\xBF" + event(1)));
    STRCMP_EQUAL("1", events.last_id().c_str());
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
