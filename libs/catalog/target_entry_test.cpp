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

/// An entry of the process that started at `start`, which listens at
/// `address`.
target_change process(const char* id, std::uint64_t start, std::uint64_t at,
                      const char* address = "10.0.0.1:80")
{
    target_change out = there(id, at);
    out.entry->start = target_start(start);
    out.entry->address = address;
    return out;
}

std::uint64_t start_of(const target_list& list, const char* id)
{
    const auto it = list.entries().find(target_id(id));
    return it == list.entries().end() ? 0 : it->second.start.value();
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
        CHECK_EQUAL(it.taken,
                    follower.apply_update(first.latest_update(it.most)));
        if (it.taken)
            CHECK(follower.entries() == first.entries());
    }
}

TEST(target_list, a_node_without_a_listing_takes_no_news)
{
    target_list first;
    first.replace_all({there("a", 3)}, revision(10));
    target_list other;
    CHECK(!other.apply_update(first.latest_update(8)));
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

// Story: a target died and started again under its id. A stale listing, a slow
// peer or a write that was held up names the earlier process afterwards. If
// that entry replaced the later one, requests went to a process that is gone,
// and the living one was held to be the old.
TEST(target_list, the_later_start_holds)
{
    struct row
    {
        const char* what;
        target_change comes;
        std::uint64_t start; ///< Held afterwards; 0: the id isn't listed.
        const char* address;
    };
    const row rows[] = {
        {"a later start", process("a", 300, 20), 300, "10.0.0.1:80"},
        {"a later start elsewhere", process("a", 300, 20, "10.0.0.2:80"), 300,
         "10.0.0.2:80"},
        {"an earlier start", process("a", 100, 20), 200, "10.0.0.1:80"},
        {"an earlier start elsewhere", process("a", 100, 20, "10.0.0.2:80"),
         200, "10.0.0.1:80"},
        {"the same process elsewhere", process("a", 200, 20, "10.0.0.2:80"),
         200, "10.0.0.2:80"},
        {"an entry that doesn't say", process("a", 0, 20, "10.0.0.2:80"), 200,
         "10.0.0.2:80"},
        {"another id at the address", process("b", 100, 20), 200,
         "10.0.0.1:80"},
        {"a removal", gone("a", 20), 0, ""},
    };
    for (const row& it : rows) {
        target_list by_change;
        by_change.replace_all({process("a", 200, 5)}, revision(10));
        by_change.apply({it.comes}, revision(20));
        target_list by_listing;
        by_listing.replace_all({process("a", 200, 5)}, revision(10));
        std::vector<target_change> listed;
        if (it.comes.entry)
            listed.push_back(it.comes);
        if (it.comes.id != target_id("a"))
            listed.push_back(process("a", 200, 5));
        by_listing.replace_all(listed, revision(20));
        for (const target_list* list : {&by_change, &by_listing}) {
            LONGS_EQUAL_TEXT(it.start, start_of(*list, "a"), it.what);
            if (it.start != 0)
                STRCMP_EQUAL_TEXT(
                    it.address,
                    list->entries().at(target_id("a")).address.c_str(),
                    it.what);
            CHECK(list->as_of() == revision(20));
        }
    }
}

// Story: the entry of the later process was removed. A write of the earlier
// one that was held up comes after that: its process is over all the same.
TEST(target_list, a_start_outlives_its_entry)
{
    target_list list;
    list.replace_all({process("a", 200, 5)}, revision(10));
    list.apply({gone("a", 11)}, revision(11));
    list.apply({process("a", 100, 12)}, revision(12));
    UNSIGNED_LONGS_EQUAL(0, list.entries().size());
    list.apply({process("a", 200, 13)}, revision(13));
    UNSIGNED_LONGS_EQUAL(200, start_of(list, "a"));
}

// Story: a held-up write of the earlier process replaced the later one's entry
// on the platform. A node that saw the later one keeps it; one that listed
// afterwards knows only the earlier, at the higher revision. Filtered by
// revision, the two never agreed.
TEST(target_list, two_that_know_different_starts_settle_on_the_later)
{
    target_list saw_both;
    saw_both.replace_all({process("a", 200, 5)}, revision(10));
    saw_both.apply({process("a", 100, 12)}, revision(12));
    target_list saw_last;
    saw_last.replace_all({process("a", 100, 12)}, revision(13));
    target_list other = saw_last;
    saw_both.apply_update(saw_last.latest_update(8));
    CHECK(saw_last.apply_update(saw_both.latest_update(8)));
    CHECK(saw_last.as_of() == revision(13));
    // Fetched over a connection, as of an earlier revision.
    other.apply(*saw_both.changes_since(revision(11)), saw_both.as_of());
    for (const target_list* list : {&saw_both, &saw_last, &other})
        UNSIGNED_LONGS_EQUAL(200, start_of(*list, "a"));
}

// Story: news tell a later start, but a change before them was lost. The start
// is taken; if the list then named the revision of the news as its latest
// change, it would pass for complete up to there, and the lost change would be
// asked for by nobody.
TEST(target_list, a_start_taken_early_does_not_hide_what_was_missed)
{
    target_list first;
    first.replace_all({process("a", 100, 5), there("b", 4)}, revision(10));
    target_list other = first;
    first.apply({gone("b", 11)}, revision(11));
    first.apply({process("a", 200, 12)}, revision(12));
    CHECK(other.apply_update(first.latest_update(1)));
    UNSIGNED_LONGS_EQUAL(200, start_of(other, "a"));
    CHECK(other.as_of() == revision(10));
    CHECK(other.latest_change() <= other.as_of());
    CHECK(other.apply(*first.changes_since(other.as_of()), first.as_of()));
    CHECK(other.entries() == first.entries());
    CHECK(other.latest_change() == first.latest_change());
}

// A start that is kept is told once, not at each listing.
TEST(target_list, what_is_kept_does_not_fill_the_log)
{
    target_list list;
    list.replace_all({process("a", 200, 5)}, revision(10));
    for (std::uint64_t at = 20; at < 30; ++at)
        list.replace_all({process("a", 100, 12)}, revision(at));
    UNSIGNED_LONGS_EQUAL(2, list.latest_update(16).changes.size());
    CHECK(list.latest_change() == revision(12));
}
