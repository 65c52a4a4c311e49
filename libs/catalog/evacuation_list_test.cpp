#include "fennelladder/catalog/evacuation_list.hpp"

#include <CppUTest/TestHarness.h>

using namespace fennelladder;
using namespace fennelladder::catalog;

namespace {

evacuation_state state(std::uint64_t as_of,
                       std::initializer_list<const char*> names)
{
    evacuation_state out{{}, revision(as_of)};
    for (const char* it : names)
        out.data_centers.emplace_back(it);
    return out;
}

} // namespace

TEST_GROUP(evacuation_list)
{
    evacuation_list list;
};

TEST(evacuation_list, a_later_state_replaces_an_earlier_one)
{
    CHECK(list.replace_all(state(5, {"a"})));
    CHECK(list.contains(data_center_id("a")));
    CHECK(list.replace_all(state(7, {"b", "c", "b"})));
    CHECK(!list.contains(data_center_id("a")));
    CHECK(list.state() == state(7, {"b", "c"}));
}

// Guards against a delayed message that ends an evacuation.
TEST(evacuation_list, an_earlier_state_is_ignored)
{
    list.replace_all(state(7, {"a"}));
    CHECK(!list.replace_all(state(6, {})));
    CHECK(list.contains(data_center_id("a")));
    CHECK(list.as_of() == revision(7));
}

TEST(evacuation_list, an_equal_state_is_no_change)
{
    CHECK(list.replace_all(state(5, {})));
    CHECK(!list.replace_all(state(6, {})));
    CHECK(list.as_of() == revision(6));
}

TEST(evacuation_list, changes_apply_to_the_current_state)
{
    list.replace_all(state(5, {"a"}));
    const data_center_id a("a");
    const data_center_id b("b");
    CHECK(list.apply({{b, true}, {a, false}, {b, true}}, revision(8)));
    CHECK(list.state() == state(8, {"b"}));
    CHECK(!list.apply({{a, true}, {a, false}}, revision(9)));
    CHECK(list.as_of() == revision(9));
}

TEST(evacuation_list, unknown_before_the_first_state)
{
    CHECK(!list.known());
    list.replace_all(state(1, {}));
    CHECK(list.known());
}

TEST(evacuation_list, an_oversized_list_is_truncated)
{
    evacuation_state many{{}, revision(3)};
    for (std::size_t i = 0; i < max_evacuations + 20; ++i)
        many.data_centers.emplace_back("d" + std::to_string(i));
    list.replace_all(many);
    UNSIGNED_LONGS_EQUAL(max_evacuations, list.state().data_centers.size());
}
