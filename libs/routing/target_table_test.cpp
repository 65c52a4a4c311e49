#include "fennelladder/routing/target_table.hpp"

#include <CppUTest/TestHarness.h>

using namespace fennelladder;
using namespace fennelladder::routing;

namespace {

constexpr instant start = instant(seconds(100));

target_info worker(const char* id, const char* model = "m")
{
    target_info it;
    it.id = target_id(id);
    it.data_center = data_center_id("austin");
    capability loaded;
    loaded.model = model_id(model);
    loaded.version = model_version("1");
    it.loaded = {loaded};
    it.speed.slots = 10;
    return it;
}

capability wants(const char* model, const char* version = "")
{
    capability it;
    it.model = model_id(model);
    it.version = model_version(version);
    return it;
}

target_table_options alone()
{
    target_table_options it;
    it.own_data_center = data_center_id("austin");
    it.most_others = 1;
    return it;
}

constexpr attempt_result failure = {.outcome = attempt_outcome::failed};

} // namespace

TEST_GROUP(target_table)
{
    target_table table{alone()};
    target_slot slot = table.upsert(worker("w1"), start);

    void fail_once(instant at)
    {
        table.dispatched(slot, 1, 0, at);
        table.finished(slot, 1, failure, milliseconds(5), at);
    }
};

// Story: an operator drains a worker. It refuses its next request long before
// the host list, which lags, shows it as leaving; or the list comes first.
// Whichever comes first ends new work there, and a configuration that names
// the worker again does not bring it back.
TEST(target_table, the_first_evidence_of_leaving_ends_new_work)
{
    CHECK(table.usable(slot, start));
    table.leaving(target_id("w1"), start);
    table.leaving(target_id("w1"), start + seconds(9));
    table.upsert(worker("w1"), start + seconds(10));
    const auto seen = table.view(slot, start + seconds(10));
    CHECK(seen.leaving);
    CHECK(seen.leaving_since == start);
    CHECK_FALSE(seen.usable);
    CHECK_FALSE(table.has_room(slot, 0, start + seconds(10)));
    table.staying(target_id("w1"), start + seconds(11));
    CHECK(table.usable(slot, start + seconds(11)));
    table.leaving(target_id("unknown"), start);
}

TEST(target_table, a_removed_target_keeps_its_slot_until_its_work_ends)
{
    table.dispatched(slot, 0, 0, start);
    CHECK_FALSE(table.remove(target_id("w1"), start).has_value());
    CHECK(table.view(slot, start).leaving);
    CHECK(table.finished(slot, 0, {}, milliseconds(5), start));
    CHECK_FALSE(table.find(target_id("w1")).has_value());
    LONGS_EQUAL(slot, table.upsert(worker("w2"), start));
    CHECK(table.usable(slot, start));
    CHECK(table.remove(target_id("w2"), start) == slot);
}

TEST(target_table, pools_follow_what_is_loaded)
{
    CHECK_FALSE(table.pool_of(wants("other")).has_value());
    const auto any = table.pool_of(wants("m"));
    const auto exact = table.pool_of(wants("m", "1"));
    CHECK(any && exact && any != exact);
    CHECK_FALSE(table.pool_of(wants("m", "2")).has_value());
    target_info renewed = worker("w1");
    renewed.loaded[0].version = model_version("2");
    table.upsert(renewed, start);
    LONGS_EQUAL(1, table.members(*any).size());
    LONGS_EQUAL(0, table.members(*exact).size());
    capability tuned = wants("m");
    tuned.adapter = adapter_id("rafts");
    CHECK_FALSE(table.pool_of(tuned).has_value());
}

// Story: a worker's reports stop while it still answers. The last one said
// that it was full, and callers would be kept from it for ever; or that it was
// idle, and it would be flooded. The last load fades, and what this node has
// in flight there always counts.
TEST(target_table, a_silent_report_fades_and_own_work_counts)
{
    table.report(slot, {.taken_at = start, .running = 8}, start);
    DOUBLES_EQUAL(8, table.in_flight(slot, start + seconds(1)), 1e-9);
    DOUBLES_EQUAL(4, table.in_flight(slot, start + seconds(4)), 1e-9);
    CHECK(table.in_flight(slot, start + seconds(60)) < 0.1);
    for (int n = 0; n < 5; ++n)
        table.dispatched(slot, 1, 0, start + seconds(60));
    CHECK(table.in_flight(slot, start + seconds(60)) >= 5);
    // An older report than the last is dropped.
    table.report(slot, {.taken_at = start - seconds(1), .running = 99},
                 start + seconds(60));
    CHECK(table.in_flight(slot, start + seconds(60)) < 6);
}

TEST(target_table, own_work_since_a_report_corrects_it)
{
    table.dispatched(slot, 1, 100, start);
    table.report(slot, {.taken_at = start + seconds(1), .running = 3},
                 start + seconds(1));
    DOUBLES_EQUAL(3, table.in_flight(slot, start + seconds(1)), 1e-9);
    table.dispatched(slot, 1, 100, start + seconds(1));
    DOUBLES_EQUAL(4, table.in_flight(slot, start + seconds(1)), 1e-9);
    table.finished(slot, 1, {}, milliseconds(5), start + seconds(1));
    DOUBLES_EQUAL(3, table.in_flight(slot, start + seconds(1)), 1e-9);
}

// Other nodes see the same report and choose alike: one request of ours since
// then counts for theirs, too, in proportion to what all had in flight.
TEST(target_table, others_are_taken_to_choose_alike)
{
    target_table_options options = alone();
    options.most_others = 4;
    target_table herd(options);
    const target_slot it = herd.upsert(worker("w1"), start);
    herd.report(it, {.taken_at = start, .running = 7}, start);
    herd.dispatched(it, 1, 0, start + seconds(1));
    DOUBLES_EQUAL(7 + 4, herd.in_flight(it, start + seconds(1)), 1e-9);
}

// Story: a worker drops every other connection. After three failures in a row
// callers would only meet the fourth; it is left alone, for longer each time,
// and then one request at a time tries it until one succeeds.
TEST(target_table, a_flapping_target_is_probed_at_growing_intervals)
{
    fail_once(start);
    fail_once(start);
    CHECK(table.usable(slot, start));
    fail_once(start);
    CHECK_FALSE(table.usable(slot, start + milliseconds(999)));
    instant now = start + seconds(1);
    for (const int away : {2, 4, 8, 16, 30, 30}) {
        CHECK(table.usable(slot, now));
        table.dispatched(slot, 1, 0, now);
        CHECK_FALSE(table.usable(slot, now)); // one probe at a time
        table.finished(slot, 1, failure, milliseconds(5), now);
        CHECK_FALSE(table.usable(slot, now + seconds(away) - duration(1)));
        now += seconds(away);
    }
    table.dispatched(slot, 1, 0, now);
    table.finished(slot, 1, {}, milliseconds(5), now);
    CHECK(table.usable(slot, now));
    fail_once(now);
    CHECK(table.usable(slot, now));
}

TEST(target_table, engines_serve_higher_ranks_first_so_they_have_room)
{
    for (int n = 0; n < 10; ++n)
        table.dispatched(slot, 2, 0, start);
    table.report(slot, {.taken_at = start + seconds(1), .running = 10},
                 start + seconds(1));
    const instant now = start + seconds(1);
    CHECK(table.has_room(slot, 0, now));
    CHECK(table.has_room(slot, 1, now));
    CHECK_FALSE(table.has_room(slot, 2, now));
    CHECK_FALSE(table.has_room(slot, 3, now));
}

TEST(target_table, the_limit_follows_what_runs_while_more_waits)
{
    instant now = start;
    for (int n = 0; n < 50; ++n) {
        now += milliseconds(200);
        table.report(slot, {.taken_at = now, .running = 4, .waiting = 3}, now);
    }
    CHECK(table.view(slot, now).limit < 5);
    for (int n = 0; n < 50; ++n) {
        now += milliseconds(200);
        table.report(slot, {.taken_at = now, .running = 12}, now);
    }
    CHECK(table.view(slot, now).limit > 10);
    // Without reports it follows the first tokens: late ones shrink it.
    now += seconds(10);
    const double before = table.view(slot, now).limit;
    for (int n = 0; n < 20; ++n) {
        now += seconds(1);
        table.dispatched(slot, 1, 0, now);
        attempt_result late;
        late.first_token = seconds(1);
        table.finished(slot, 1, late, milliseconds(5), now);
    }
    CHECK(table.view(slot, now).limit < before / 2);
}
