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

/// An entry of a process that started at `start` and listens at `address`.
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

TEST(target_list, requires_a_listing_first)
{
    target_list list;
    CHECK(!list.apply({there("a", 5)}, revision(10)));
    CHECK(!list.known());
}

// A node that syncs from another ends with the same list, whatever it missed.
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

TEST(target_list, one_that_is_too_far_behind_needs_a_full_listing)
{
    target_list list;
    list.replace_all({there("a", 3)}, revision(10));
    CHECK(!list.changes_since(revision(9)).has_value());
    CHECK(list.changes_since(revision(10)).has_value());
    for (std::uint64_t at = 11; at < 3000; ++at)
        list.apply({there("a", at, at % 2 == 0)}, revision(at));
    CHECK(!list.changes_since(revision(11)).has_value());
}

// Guards against a follower that gets only the removal of a target that is
// removed and added again within one answer of the platform. If the follower
// already has the new entry, a filter by revision drops it, and the target gets
// no requests until the next listing.
TEST(target_list, a_removal_does_not_overtake_a_later_addition)
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

TEST(target_list, an_update_is_applied_only_without_a_gap)
{
    struct row
    {
        std::uint64_t known; ///< Revision of the follower's list.
        std::size_t most;    ///< Most changes in the update.
        bool taken;
    };
    const row rows[] = {
        {10, 3, true},  // All changes since.
        {10, 2, false}, // A change in between is missing.
        {11, 2, true},  {12, 2, true}, {13, 2, false}, // Nothing new.
        {14, 2, false},                                // The follower is ahead.
        {12, 0, false}, // No changes sent, though there may be some.
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

TEST(target_list, a_node_without_a_listing_applies_no_update)
{
    target_list first;
    first.replace_all({there("a", 3)}, revision(10));
    target_list other;
    CHECK(!other.apply_update(first.latest_update(8)));
    CHECK(!other.known());
}

// Guards against a change that is found only by a listing and isn't passed on.
// A watch misses that a target is leaving, and another change is newer. If the
// repairing listing leaves the latest change as it was, peers don't sync and
// keep sending requests to the target.
TEST(target_list, a_change_found_by_a_listing_is_as_of_the_listing)
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

// Guards against an entry of an earlier process that replaces a later one. A
// target restarts under its id, and a stale listing, a slow peer or a delayed
// write then names the earlier process. Requests would go to a process that has
// ended, and the live one would be taken for the old one.
TEST(target_list, the_later_start_wins)
{
    struct row
    {
        const char* what;
        target_change comes;
        std::uint64_t start; ///< Afterwards; 0: the id isn't listed.
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

// A delayed write of an earlier process arrives after the entry of the later
// process was removed. It must be ignored: its process has ended.
TEST(target_list, a_start_is_kept_after_its_entry)
{
    target_list list;
    list.replace_all({process("a", 200, 5)}, revision(10));
    list.apply({gone("a", 11)}, revision(11));
    list.apply({process("a", 100, 12)}, revision(12));
    UNSIGNED_LONGS_EQUAL(0, list.entries().size());
    list.apply({process("a", 200, 13)}, revision(13));
    UNSIGNED_LONGS_EQUAL(200, start_of(list, "a"));
}

// Guards against two nodes that never converge. A delayed write of an earlier
// process replaces the later one's entry on the platform. A node that saw the
// later one keeps it; one that lists afterwards has only the earlier one, at
// the higher revision. A filter by revision would keep them apart.
TEST(target_list, nodes_with_different_starts_converge_on_the_later)
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

// Guards against a lost change that no node requests. An update contains a
// later start, but a change before it was lost. The start is applied; if the
// list then reported the update's revision as its latest change, it would
// appear complete up to there.
TEST(target_list, a_start_applied_early_does_not_hide_a_missed_change)
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

// An entry that is kept because the listing names an earlier process is added
// to the change log once, not at each listing.
TEST(target_list, a_kept_start_does_not_fill_the_log)
{
    target_list list;
    list.replace_all({process("a", 200, 5)}, revision(10));
    for (std::uint64_t at = 20; at < 30; ++at)
        list.replace_all({process("a", 100, 12)}, revision(at));
    UNSIGNED_LONGS_EQUAL(2, list.latest_update(16).changes.size());
    CHECK(list.latest_change() == revision(12));
}

// Guards against a node of an earlier release, which passes entries on without
// their versions: streams of the target could not be resumed.
TEST(target_list, a_process_keeps_its_version)
{
    target_change known = process("a", 100, 5);
    known.entry->software = software_version("v1");
    target_list list;
    list.replace_all({known}, revision(10));
    const auto software = [&] {
        return list.entries().at(target_id("a")).software.str();
    };
    list.apply({process("a", 100, 11)}, revision(11));
    STRCMP_EQUAL("v1", software().c_str());
    list.replace_all({process("a", 100, 12)}, revision(12));
    STRCMP_EQUAL("v1", software().c_str());
    list.apply({process("a", 101, 13)}, revision(13));
    STRCMP_EQUAL("", software().c_str());
}
