// Tests of what is known of the store after it was restored from an older copy.

#include "fennelladder/catalog/evacuation_list.hpp"
#include "fennelladder/catalog/target_entry.hpp"

#include <CppUTest/TestHarness.h>

using namespace fennelladder;
using namespace fennelladder::catalog;

namespace {

const store_era before(1);
const store_era after(2);

target_change there(const char* id, std::uint64_t at, store_era era,
                    bool leaving = false, std::uint64_t start = 1000)
{
    target_entry entry;
    entry.id = target_id(id);
    entry.service = service_id("s");
    entry.start = target_start(start);
    entry.address = "10.0.0.1:80";
    entry.leaving = leaving;
    return {entry.id, entry, revision(at, era)};
}

target_change gone(const char* id, std::uint64_t at, store_era era)
{
    return {target_id(id), std::nullopt, revision(at, era)};
}

bool leaves(const target_list& list, const char* id)
{
    return list.entries().at(target_id(id)).leaving;
}

bool has(const target_list& list, const char* id)
{
    return list.entries().contains(target_id(id));
}

evacuation_state evacuated(std::vector<data_center_id> all, std::uint64_t at,
                           store_era era)
{
    return {std::move(all), revision(at, era)};
}

} // namespace

TEST_GROUP(restored_store){};

// Guards against comparing the counts of two eras.
TEST(restored_store, any_revision_of_a_later_era_is_later)
{
    CHECK(revision(1, after) > revision(1000, before));
    CHECK(revision(1001, before) > revision(1000, before));
    CHECK(revision(1000, before).next() == revision(1001, before));
    CHECK(revision(5) < revision(1, before));
}

// Guards against a list that stays as it was before the store was restored.
TEST(restored_store, a_listing_of_a_later_era_replaces_the_list)
{
    target_list list;
    list.replace_all({there("a", 3, before)}, revision(200, before));
    CHECK(list.replace_all({there("a", 3, after), there("b", 90, after)},
                           revision(100, after)));
    CHECK(has(list, "b"));
    CHECK(list.as_of() == revision(100, after));
    CHECK(!list.replace_all({}, revision(300, before)));
    CHECK(has(list, "b"));
}

// Guards against changes of one history that are applied to another.
TEST(restored_store, changes_of_another_era_are_not_applied)
{
    target_list list;
    list.replace_all({there("a", 3, before)}, revision(100, before));
    CHECK(!list.apply({gone("a", 101, after)}, revision(101, after)));
    CHECK(!list.apply_update(
        {revision(100, after), revision(101, after), {gone("a", 101, after)}}));
    CHECK(has(list, "a"));
    CHECK(!list.changes_since(revision(100)).has_value());
    target_list next;
    next.replace_all({there("a", 3, before)}, revision(100, before));
    next.replace_all({there("a", 3, after)}, revision(50, after));
    CHECK(!next.changes_since(revision(100, before)).has_value());
    CHECK(next.latest_change() > list.as_of());
}

// Guards against requests to a process that said that it leaves, which the copy
// doesn't know.
TEST(restored_store, a_leaving_process_keeps_leaving)
{
    target_list list;
    list.replace_all({there("a", 3, before, true)}, revision(100, before));
    list.replace_all({there("a", 2, after)}, revision(50, after));
    CHECK(leaves(list, "a"));
    list.apply({there("a", 51, after)}, revision(51, after));
    CHECK(leaves(list, "a"));
    list.replace_all({there("a", 1, store_era(3))}, revision(40, store_era(3)));
    CHECK(leaves(list, "a"));
    // Another process.
    list.apply({there("a", 52, store_era(3), false, 2000)},
               revision(52, store_era(3)));
    CHECK(!leaves(list, "a"));
}

// Guards against requests to targets that were gone when the store was
// restored.
TEST(restored_store, a_process_that_was_gone_is_held_back)
{
    target_list list;
    list.replace_all({there("a", 3, before), there("b", 4, before)},
                     revision(100, before));
    list.apply({gone("a", 101, before)}, revision(101, before));
    const std::vector<target_change> copy{there("a", 3, after),
                                          there("b", 4, after)};
    list.replace_all(copy, revision(50, after));
    CHECK(!has(list, "a"));
    CHECK(has(list, "b"));
    list.replace_all(copy, revision(60, after));
    CHECK(!has(list, "a"));
    // It writes its entry again, so it lives.
    list.apply({there("a", 61, after)}, revision(61, after));
    CHECK(has(list, "a"));
    CHECK(!list.holds_back());
}

TEST(restored_store, what_the_platform_keeps_listing_is_admitted)
{
    target_list list;
    list.replace_all({there("a", 3, before)}, revision(100, before));
    list.apply({gone("a", 101, before)}, revision(101, before));
    list.replace_all({there("a", 3, after)}, revision(50, after));
    CHECK(list.holds_back());
    list.admit_held();
    CHECK(has(list, "a"));
    CHECK(!list.holds_back());
}

// A later process isn't the one that was gone.
TEST(restored_store, a_later_process_is_not_held_back)
{
    target_list list;
    list.replace_all({there("a", 3, before)}, revision(100, before));
    list.apply({gone("a", 101, before)}, revision(101, before));
    list.replace_all({there("a", 49, after, false, 2000)}, revision(50, after));
    CHECK(has(list, "a"));
}

// Guards against new work in a data centre whose evacuation the copy lacks.
TEST(restored_store, an_evacuation_is_kept_until_the_operator_writes_again)
{
    const data_center_id x("x");
    const data_center_id y("y");
    evacuation_list list;
    list.replace_all(evacuated({x}, 100, before));
    CHECK(list.replace_all(evacuated({y}, 50, after)));
    CHECK(list.contains(x));
    CHECK(list.contains(y));
    // What other nodes are told is what the platform lists.
    CHECK(list.state() == evacuated({y}, 50, after));
    list.replace_all(evacuated({x, y}, 51, after));
    CHECK(!list.keeps_any());
    list.replace_all(evacuated({y}, 52, after));
    CHECK(!list.contains(x));
    CHECK(!list.replace_all(evacuated({x}, 200, before)));
    CHECK(!list.contains(x));
}

TEST(restored_store, an_evacuation_that_is_not_written_again_ends)
{
    evacuation_list list;
    list.replace_all(evacuated({data_center_id("x")}, 100, before));
    list.replace_all(evacuated({}, 50, after));
    CHECK(list.drop_kept());
    CHECK(!list.contains(data_center_id("x")));
    CHECK(!list.drop_kept());
}
