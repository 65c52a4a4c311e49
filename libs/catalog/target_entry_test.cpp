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
