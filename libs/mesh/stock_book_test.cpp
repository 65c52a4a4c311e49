#include "fennelladder/mesh/stock_book.hpp"

#include <CppUTest/TestHarness.h>
#include <array>

using namespace fennelladder;
using namespace fennelladder::mesh;

namespace {

constexpr instant start = instant(seconds(100));
const team_id team("t");

beacon saying(const char* host, int free, int spent = 0)
{
    beacon out;
    out.host = host_id(host);
    out.state = node_state::ready;
    out.stock = {{team, tokens(free), tokens(spent)}};
    return out;
}

} // namespace

TEST_GROUP(stock_book)
{
    stock_book known;

    void setup() override
    {
        known.hear(saying("a", 100, 5), start);
        known.hear(saying("b", 300, 7), start + seconds(1));
    }
};

TEST(stock_book, the_richest_that_was_not_tried_is_named)
{
    CHECK(known.richest(team, {}, start) == host_id("b"));
    CHECK(known.richest(team, {host_id("b")}, start) == host_id("a"));
    CHECK(!known.richest(team, {host_id("a"), host_id("b")}, start));
    CHECK(!known.richest(team_id("other"), {}, start));
}

TEST(stock_book, old_words_do_not_count)
{
    const instant since = start + milliseconds(500);
    CHECK(!known.richest(team, {host_id("b")}, since));
    CHECK(known.sum(team, {}, since).free == tokens(300));
}

TEST(stock_book, what_was_asked_for_counts_as_gone_until_the_next_word)
{
    known.deduct(host_id("b"), team, tokens(250));
    CHECK(known.richest(team, {}, start) == host_id("a"));
    known.deduct(host_id("b"), team, tokens(250));
    CHECK(known.sum(team, {}, start).free == tokens(100));
    known.hear(saying("b", 200), start + seconds(2));
    CHECK(known.richest(team, {}, start) == host_id("b"));
}

TEST(stock_book, sums_are_over_all_and_over_some)
{
    const std::array some{host_id("a"), host_id("c")};
    const known_stock sum = known.sum(team, some, start);
    CHECK(sum.free == tokens(400));
    CHECK(sum.free_of_some == tokens(100));
    CHECK(sum.spent_per_second == tokens(12));
}

TEST(stock_book, a_leaving_node_holds_nothing)
{
    beacon leaving = saying("b", 300);
    leaving.state = node_state::leaving;
    known.hear(leaving, start + seconds(2));
    CHECK(known.richest(team, {}, start) == host_id("a"));
}

TEST(stock_book, what_died_with_a_process_is_told_once)
{
    const auto lost = known.forget(host_id("b"));
    UNSIGNED_LONGS_EQUAL(1, lost.size());
    CHECK(lost.front().free == tokens(300));
    CHECK(known.forget(host_id("b")).empty());
    CHECK(known.richest(team, {}, start) == host_id("a"));
}
