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

TEST(poison_list, fingerprint_covers_what_a_caller_sends_again)
{
    CHECK(bad == fingerprint_of("POST", "/a", team_id("t"), "crash"));
    CHECK(bad != fingerprint_of("POST", "/b", team_id("t"), "crash"));
    CHECK(bad != fingerprint_of("POST", "/a", team_id("u"), "crash"));
    CHECK(bad != fingerprint_of("POST", "/a", team_id("t"), "other"));
}

// Two targets die under a request, so no third one gets it. A request that ran
// beside it at the first target is still served.
TEST(poison_list, two_deaths_quarantine_a_request_and_one_does_not)
{
    const request_fingerprint beside(7);
    list.note_death(bad, {target_id("a")}, start);
    list.note_death(beside, {target_id("a")}, start);
    CHECK(!list.is_poison(bad, start));
    list.note_death(bad, {target_id("b")}, start + seconds(1));
    CHECK(list.is_poison(bad, start + seconds(1)));
    CHECK(!list.is_poison(beside, start + seconds(1)));
}

TEST(poison_list, death_seen_by_two_nodes_counts_once)
{
    list.note_death(bad, {target_id("a")}, start);
    CHECK(!list.merge({bad, {{target_id("a")}}}, start));
    CHECK(!list.is_poison(bad, start));
    CHECK(list.merge({bad, {{target_id("b")}, {target_id("a")}}}, start));
    CHECK(list.is_poison(bad, start));
}

TEST(poison_list, merged_records_quarantine_on_other_nodes)
{
    list.note_death(bad, {target_id("a")}, start);
    list.note_death(bad, {target_id("b")}, start);
    poison_list other({});
    for (const auto& it : list.recent(seconds(10), 8, start))
        other.merge(it, start);
    CHECK(other.is_poison(bad, start));
}

TEST(poison_list, records_expire)
{
    list.note_death(bad, {target_id("a")}, start);
    list.note_death(bad, {target_id("b")}, start);
    CHECK(list.is_poison(bad, start + minutes(9)));
    CHECK(!list.is_poison(bad, start + minutes(11)));
}

// A request crashes its target, which restarts under its id, runs the request
// again and crashes again. Counted by id that was one death, and the request
// went on to crash target after target.
TEST(poison_list, two_incarnations_of_one_id_are_two_deaths)
{
    using deaths = std::vector<catalog::target_process>;
    const auto process = [](const char* id, std::uint64_t started) {
        return catalog::target_process{target_id(id),
                                       catalog::target_start(started)};
    };
    struct row
    {
        const char* what;
        deaths reported;
        bool poison;
    };
    const row rows[] = {
        {"one process, reported twice",
         {process("a", 5), process("a", 5)},
         false},
        {"two processes of one id", {process("a", 5), process("a", 9)}, true},
        {"two ids that started together",
         {process("a", 5), process("b", 5)},
         true},
        {"one without its start time",
         {process("a", 5), process("a", 0)},
         false},
        {"without its start time first",
         {process("a", 0), process("a", 5)},
         false},
        {"a further process with its start time",
         {process("a", 0), process("a", 5), process("a", 9)},
         true},
        {"in another order",
         {process("a", 9), process("a", 0), process("a", 5)},
         true},
    };
    for (const row& it : rows) {
        poison_list noted({});
        poison_list merged({});
        for (const catalog::target_process& death : it.reported) {
            noted.note_death(bad, death, start);
            merged.merge({bad, {death}}, start);
        }
        CHECK_EQUAL_TEXT(it.poison, noted.is_poison(bad, start), it.what);
        CHECK_EQUAL_TEXT(it.poison, merged.is_poison(bad, start), it.what);
    }
}
