#include "fennelladder/dispatch/poison_list.hpp"

#include <CppUTest/TestHarness.h>

using namespace fennelladder;
using namespace fennelladder::dispatch;

namespace {

constexpr instant start = instant(seconds(100));
const request_mark bad = mark_of("POST", "/a", team_id("t"), "crash");

} // namespace

TEST_GROUP(poison_list)
{
    poison_list list{{}};
};

TEST(poison_list, a_mark_is_of_what_is_sent_again)
{
    CHECK(bad == mark_of("POST", "/a", team_id("t"), "crash"));
    CHECK(bad != mark_of("POST", "/b", team_id("t"), "crash"));
    CHECK(bad != mark_of("POST", "/a", team_id("u"), "crash"));
    CHECK(bad != mark_of("POST", "/a", team_id("t"), "other"));
}

// Story: two targets die under a request. A third never sees it; a request
// that ran beside it at the first is served on.
TEST(poison_list, two_deaths_condemn_and_one_does_not)
{
    const request_mark beside(7);
    list.note_death(bad, target_id("a"), start);
    list.note_death(beside, target_id("a"), start);
    CHECK(!list.is_poison(bad, start));
    list.note_death(bad, target_id("b"), start + seconds(1));
    CHECK(list.is_poison(bad, start + seconds(1)));
    CHECK(!list.is_poison(beside, start + seconds(1)));
}

TEST(poison_list, one_death_seen_by_two_nodes_is_one)
{
    list.note_death(bad, target_id("a"), start);
    CHECK(!list.merge({bad, {target_id("a")}}, start));
    CHECK(!list.is_poison(bad, start));
    CHECK(list.merge({bad, {target_id("b"), target_id("a")}}, start));
    CHECK(list.is_poison(bad, start));
}

TEST(poison_list, what_is_told_condemns_elsewhere)
{
    list.note_death(bad, target_id("a"), start);
    list.note_death(bad, target_id("b"), start);
    poison_list other({});
    for (const auto& it : list.recent(seconds(10), 8, start))
        other.merge(it, start);
    CHECK(other.is_poison(bad, start));
}

TEST(poison_list, is_forgotten_in_the_end)
{
    list.note_death(bad, target_id("a"), start);
    list.note_death(bad, target_id("b"), start);
    CHECK(list.is_poison(bad, start + minutes(9)));
    CHECK(!list.is_poison(bad, start + minutes(11)));
}
