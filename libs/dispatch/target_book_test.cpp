#include "fennelladder/dispatch/target_book.hpp"

#include <CppUTest/TestHarness.h>
#include <map>

using namespace fennelladder;
using namespace fennelladder::dispatch;

namespace {

constexpr instant start = instant(seconds(100));

using entry_map = catalog::target_list::entry_map;

entry_map engines(int n)
{
    entry_map out;
    for (int i = 0; i < n; ++i) {
        catalog::target_entry it;
        it.id = target_id("i-" + std::to_string(i));
        it.service = service_id("llm");
        it.address = "10.0.0." + std::to_string(i) + ":80";
        it.slots = 64;
        out.emplace(it.id, it);
    }
    return out;
}

work_wish prompt(std::uint64_t part, std::uint32_t size = 5000)
{
    work_wish out;
    out.service = service_id("llm");
    out.on_engine = true;
    out.prompt = {{1, 500}, {part, size}, {part * 1000 + 7, 1000}};
    out.prompt_size = 1500 + size;
    out.objective = seconds(1);
    return out;
}

} // namespace

TEST_GROUP(target_book)
{
    target_book book{{}};
    random_source random{1};

    void setup() override
    {
        book.sync(engines(6), false, start);
    }

    target_id chosen(const work_wish& wish, instant now = start)
    {
        const auto made = book.choose(wish, now, random);
        return made ? made->target : target_id();
    }
};

TEST(target_book, nodes_agree_where_a_part_is_read)
{
    target_book other{{}};
    other.sync(engines(6), false, start);
    random_source dice(99);
    for (std::uint64_t part = 2; part < 40; ++part) {
        const auto wish = prompt(part);
        CHECK(chosen(wish) == other.choose(wish, start, dice)->target);
    }
}

TEST(target_book, parts_are_spread)
{
    std::map<target_id, int> count;
    for (std::uint64_t part = 2; part < 302; ++part)
        ++count[chosen(prompt(part))];
    UNSIGNED_LONGS_EQUAL(6, count.size());
    for (const auto& [target, n] : count)
        CHECK(n > 20);
}

// Story: one thing is asked for by everybody. Its target fills up; the next
// requests go elsewhere and fetch the part instead of reading it.
TEST(target_book, a_hot_part_spills_over_and_is_fetched)
{
    const auto wish = prompt(5);
    const auto first = book.choose(wish, start, random);
    for (int i = 0; i < 400; ++i)
        book.started(first->target, {1000}, wish, start);
    const auto next = book.choose(wish, start, random);
    CHECK(next->target != first->target);
    STRCMP_EQUAL(first->address.c_str(), next->fetch_from.c_str());
    CHECK(first->fetch_from.empty());
}

// Story: a target dies. The first failed connection takes it out of the
// choice; after its rest one request finds out whether it is back.
TEST(target_book, an_unreachable_target_rests_and_is_tried_gently)
{
    const auto wish = prompt(5);
    const target_id dead = chosen(wish);
    book.learned(dead, target_evidence::unreachable, start);
    for (int i = 0; i < 20; ++i)
        CHECK(chosen(wish) != dead);
    const instant later = start + seconds(30);
    CHECK(chosen(wish, later) == dead);
    book.started(dead, {0}, wish, later);
    CHECK(chosen(wish, later) != dead);
    book.finished(dead, {0}, false, target_evidence::answered, later);
    CHECK(chosen(wish, later) == dead);
}

TEST(target_book, all_resting_targets_are_better_than_none)
{
    for (int i = 0; i < 6; ++i)
        book.learned(target_id("i-" + std::to_string(i)),
                     target_evidence::unreachable, start);
    CHECK(!chosen(prompt(5)).empty());
}

TEST(target_book, another_life_is_never_sent_to_again)
{
    const auto wish = prompt(5);
    const target_id was = chosen(wish);
    book.learned(was, target_evidence::other_life, start);
    CHECK(!book.may_use(was, start));
    CHECK(chosen(wish) != was);
}

TEST(target_book, a_leaving_target_gets_nothing_new)
{
    const auto wish = prompt(5);
    auto listed = engines(6);
    const target_id leaves = chosen(wish);
    listed[leaves].leaving = true;
    book.sync(listed, false, start);
    CHECK(chosen(wish) != leaves);
}

// Story: the platform was away and the entries of living targets lapsed. They
// are used for a moment, until they are back or surely gone.
TEST(target_book, lapsed_entries_are_used_for_a_moment)
{
    book.sync({}, true, start);
    CHECK(!chosen(prompt(5)).empty());
    CHECK(chosen(prompt(5), start + seconds(2)).empty());
}

TEST(target_book, a_removed_target_is_not_used)
{
    book.sync({}, false, start);
    CHECK(chosen(prompt(5)).empty());
}

TEST(target_book, a_slow_target_is_left_and_found_again)
{
    // Little is shared, so that nothing but its speed holds requests there.
    const auto wish = prompt(5, 100);
    auto fresh = wish;
    fresh.prompt.back().id = 99;
    const auto made = book.choose(wish, start, random);
    for (int i = 0; i < 5; ++i) {
        book.started(made->target, made->work, wish, start);
        book.first_byte(made->target, *made, made->predicted * 20, start);
        book.finished(made->target, made->work, true, target_evidence::answered,
                      start);
    }
    CHECK(chosen(fresh) != made->target);
    CHECK(chosen(fresh, start + seconds(60)) == made->target);
}

TEST(target_book, load_of_peers_counts_until_they_are_forgotten)
{
    const auto wish = prompt(5);
    const target_id usual = chosen(wish);
    book.peer_load(host_id("p"), {{usual, 500, 200'000}});
    CHECK(chosen(wish) != usual);
    book.peer_load(host_id("p"), {});
    CHECK(chosen(wish) == usual);
    book.peer_load(host_id("p"), {{usual, 500, 200'000}});
    book.sync(engines(6), false, start);
    CHECK(chosen(wish) != usual);
    book.forget_peer(host_id("p"));
    CHECK(chosen(wish) == usual);
}
