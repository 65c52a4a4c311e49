#include "fennelladder/catalog/target_entry.hpp"

#include <CppUTest/TestHarness.h>

using namespace fennelladder;
using namespace fennelladder::catalog;

namespace {

target_change there(const char* id, std::uint64_t at, bool leaving = false)
{
    target_entry entry;
    entry.id = target_id(id);
    entry.leaving = leaving;
    return {entry.id, entry, revision(at)};
}

target_change gone(const char* id, std::uint64_t at)
{
    return {target_id(id), std::nullopt, revision(at)};
}

} // namespace

TEST_GROUP(target_list){};

TEST(target_list, never_goes_back)
{
    target_list list;
    CHECK(list.replace_all({there("a", 5)}, revision(10)));
    CHECK(!list.replace_all({}, revision(9)));
    CHECK(!list.apply({gone("a", 9)}, revision(9)));
    UNSIGNED_LONGS_EQUAL(1, list.entries().size());
}

TEST(target_list, takes_nothing_but_a_listing_at_first)
{
    target_list list;
    CHECK(!list.apply({there("a", 5)}, revision(10)));
    CHECK(!list.known());
}

// A node that follows another ends with the same list, whatever it missed.
TEST(target_list, a_follower_catches_up_by_changes)
{
    target_list first;
    first.replace_all({there("a", 3), there("b", 4)}, revision(10));
    target_list follower;
    follower.replace_all({there("a", 3), there("b", 4)}, revision(10));
    first.apply({there("a", 12, true)}, revision(12));
    first.apply({gone("b", 14), there("c", 13)}, revision(14));
    CHECK(first.latest_change() > follower.as_of());
    const auto changes = first.changes_since(follower.as_of());
    CHECK(changes.has_value());
    CHECK(follower.apply(*changes, first.as_of()));
    CHECK(follower.entries() == first.entries());
    CHECK(!(first.latest_change() > follower.as_of()));
}

TEST(target_list, one_that_is_too_far_behind_needs_all)
{
    target_list list;
    list.replace_all({there("a", 3)}, revision(10));
    CHECK(!list.changes_since(revision(9)).has_value());
    CHECK(list.changes_since(revision(10)).has_value());
    for (std::uint64_t at = 11; at < 3000; ++at)
        list.apply({there("a", at, at % 2 == 0)}, revision(at));
    CHECK(!list.changes_since(revision(11)).has_value());
}

// A target is removed after a silence and comes back under its id, both told
// by one answer of the platform. A follower that knew the entry by then got
// the removal alone and sent the target nothing more, until the next listing.
TEST(target_list, a_removal_does_not_overtake_a_return)
{
    target_list first;
    first.replace_all({there("a", 3)}, revision(10));
    target_list follower;
    follower.replace_all({there("a", 24)}, revision(24));
    first.apply({gone("a", 25), there("a", 24)}, revision(25));
    const auto changes = first.changes_since(follower.as_of());
    CHECK(changes.has_value());
    CHECK(follower.apply(*changes, first.as_of()));
    CHECK(follower.entries() == first.entries());
}

TEST(target_list, news_are_taken_only_if_they_follow_on_what_is_known)
{
    struct row
    {
        std::uint64_t known; ///< The follower's list is as of this.
        std::size_t most;    ///< Changes told.
        bool taken;
    };
    const row rows[] = {
        {10, 3, true},  // All that happened since.
        {10, 2, false}, // A change in between is missing.
        {11, 2, true},  {12, 2, true}, {13, 2, false}, // Nothing new.
        {14, 2, false}, // The follower knows more.
        {12, 0, false}, // Told nothing, and not that nothing happened.
    };
    target_list first;
    first.replace_all({there("a", 3), there("b", 4)}, revision(10));
    first.apply({there("a", 11, true)}, revision(11));
    first.apply({gone("b", 12)}, revision(12));
    first.apply({there("c", 13)}, revision(13));
    for (const row& it : rows) {
        target_list follower;
        follower.replace_all({there("a", 3), there("b", 4)}, revision(10));
        if (it.known > 10)
            follower.apply(*first.changes_since(revision(10)),
                           revision(it.known));
        CHECK_EQUAL(it.taken, follower.take_news(first.latest_news(it.most)));
        if (it.taken)
            CHECK(follower.entries() == first.entries());
    }
}

TEST(target_list, a_node_without_a_listing_takes_no_news)
{
    target_list first;
    first.replace_all({there("a", 3)}, revision(10));
    target_list other;
    CHECK(!other.take_news(first.latest_news(8)));
    CHECK(!other.known());
}

// A watch misses that a target leaves; another change is newer. The listing
// that is made to heal this found it, but nobody was told: the list's latest
// change was the same as before, and requests went to the target for good.
TEST(target_list, what_only_a_listing_shows_is_a_change_as_of_the_listing)
{
    target_list list;
    list.replace_all({there("a", 3), there("b", 4)}, revision(10));
    list.apply({there("b", 110, true)}, revision(110));
    const revision before = list.latest_change();
    list.replace_all({there("a", 104, true), there("b", 110, true)},
                     revision(120));
    CHECK(list.latest_change() > before);
    CHECK(list.entries().at(target_id("a")).leaving);
    const auto changes = list.changes_since(revision(110));
    UNSIGNED_LONGS_EQUAL(1, changes->size());
}
