#include "fennelladder/dispatch/poison_list.hpp"

#include <CppUTest/TestHarness.h>

using namespace fennelladder;
using namespace fennelladder::dispatch;

namespace {

constexpr instant start = instant(seconds(100));
const request_fingerprint bad =
    fingerprint_of("POST", "/a", team_id("t"), "crash");

} // namespace

TEST_GROUP(poison_list)
{
    poison_list list{{}};
};

TEST(poison_list, a_mark_is_of_what_is_sent_again)
{
    CHECK(bad == fingerprint_of("POST", "/a", team_id("t"), "crash"));
    CHECK(bad != fingerprint_of("POST", "/b", team_id("t"), "crash"));
    CHECK(bad != fingerprint_of("POST", "/a", team_id("u"), "crash"));
    CHECK(bad != fingerprint_of("POST", "/a", team_id("t"), "other"));
}

// Story: two targets die under a request. A third never sees it; a request
// that ran beside it at the first is served on.
TEST(poison_list, two_deaths_condemn_and_one_does_not)
{
    const request_fingerprint beside(7);
    list.note_death(bad, {target_id("a")}, start);
    list.note_death(beside, {target_id("a")}, start);
    CHECK(!list.is_poison(bad, start));
    list.note_death(bad, {target_id("b")}, start + seconds(1));
    CHECK(list.is_poison(bad, start + seconds(1)));
    CHECK(!list.is_poison(beside, start + seconds(1)));
}

TEST(poison_list, one_death_seen_by_two_nodes_is_one)
{
    list.note_death(bad, {target_id("a")}, start);
    CHECK(!list.merge({bad, {{target_id("a")}}}, start));
    CHECK(!list.is_poison(bad, start));
    CHECK(list.merge({bad, {{target_id("b")}, {target_id("a")}}}, start));
    CHECK(list.is_poison(bad, start));
}

TEST(poison_list, what_is_told_condemns_elsewhere)
{
    list.note_death(bad, {target_id("a")}, start);
    list.note_death(bad, {target_id("b")}, start);
    poison_list other({});
    for (const auto& it : list.recent(seconds(10), 8, start))
        other.merge(it, start);
    CHECK(other.is_poison(bad, start));
}

TEST(poison_list, is_forgotten_in_the_end)
{
    list.note_death(bad, {target_id("a")}, start);
    list.note_death(bad, {target_id("b")}, start);
    CHECK(list.is_poison(bad, start + minutes(9)));
    CHECK(!list.is_poison(bad, start + minutes(11)));
}

// Story: a request crashes its target, which starts again under its id, runs
// the request once more and crashes again. Counted by id that was one death,
// and the request went on crashing target after target.
TEST(poison_list, two_lives_of_one_id_are_two_deaths)
{
    using deaths = std::vector<catalog::target_process>;
    const auto life = [](const char* id, std::uint64_t started) {
        return catalog::target_process{target_id(id),
                                       catalog::target_start(started)};
    };
    struct row
    {
        const char* what;
        deaths told;
        bool poison;
    };
    const row rows[] = {
        {"one life, told twice", {life("a", 5), life("a", 5)}, false},
        {"two lives", {life("a", 5), life("a", 9)}, true},
        {"two ids that started together", {life("a", 5), life("b", 5)}, true},
        {"one without its start", {life("a", 5), life("a", 0)}, false},
        {"the other way round", {life("a", 0), life("a", 5)}, false},
        {"a third that says it",
         {life("a", 0), life("a", 5), life("a", 9)},
         true},
        {"in another order", {life("a", 9), life("a", 0), life("a", 5)}, true},
    };
    for (const row& it : rows) {
        poison_list told({});
        poison_list merged({});
        for (const catalog::target_process& death : it.told) {
            told.note_death(bad, death, start);
            merged.merge({bad, {death}}, start);
        }
        CHECK_EQUAL_TEXT(it.poison, told.is_poison(bad, start), it.what);
        CHECK_EQUAL_TEXT(it.poison, merged.is_poison(bad, start), it.what);
    }
}
