#include "fennelladder/platform/budgeted_object_store.hpp"
#include "fennelladder/platform/fault_object_store.hpp"
#include "fennelladder/platform/memory_object_store.hpp"
#include "fennelladder/platform/prefix_follower.hpp"
#include "fennelladder/testing/property.hpp"

#include <CppUTest/TestHarness.h>
#include <condition_variable>
#include <deque>
#include <mutex>
#include <rapidcheck.h>

using namespace fennelladder;
using namespace fennelladder::platform;

namespace {

const object_key a("p/a");
const instant start = from_nanoseconds(1'000'000'000);

} // namespace

TEST_GROUP(platform){};

// The platform throttles whoever calls too often, and then everything that
// must last waits. No pattern of calls may exceed the node's share.
TEST(platform, call_budget_never_exceeds_its_rate)
{
    testing::check_property({.name = "call budget", .seed = 11}, [] {
        const call_budget_options options{
            .rate = static_cast<double>(*rc::gen::inRange(1, 50)),
            .burst = static_cast<double>(*rc::gen::inRange(1, 20))};
        call_budget budget(options, start);
        std::deque<instant> taken;
        instant now = start;
        for (int n = 0; n < 200; ++n) {
            now += milliseconds(*rc::gen::inRange(0, 60));
            const auto which = static_cast<call_class>(*rc::gen::inRange(0, 3));
            if (*rc::gen::inRange(0, 20) == 0)
                budget.on_refused(now);
            const instant ready = budget.ready_at(which, now);
            const bool got = budget.try_take(which, now);
            RC_ASSERT(got == (ready == now));
            if (got)
                taken.push_back(now);
        }
        for (std::size_t from = 0; from < taken.size(); ++from) {
            for (std::size_t to = from; to < taken.size(); ++to) {
                const double most =
                    options.burst +
                    options.rate * to_seconds(taken[to] - taken[from]);
                RC_ASSERT(static_cast<double>(to - from + 1) <= most + 1e-6);
            }
        }
    });
}

// Status reports must not delay a commit: with all classes asking all the
// time, the highest gets what it needs and the lowest what is left.
TEST(platform, higher_classes_get_their_calls_first)
{
    call_budget budget({.rate = 10, .burst = 10}, start);
    int got[3] = {};
    for (int ms = 0; ms < 60'000; ++ms) {
        const instant now = start + milliseconds(ms);
        for (const auto which :
             {call_class::telemetry, call_class::refill, call_class::safety}) {
            const bool wanted = which != call_class::safety || ms % 200 == 0;
            if (wanted && budget.try_take(which, now))
                ++got[static_cast<int>(which)];
        }
    }
    LONGS_EQUAL(300, got[0]);           // All that it asked for.
    CHECK(got[1] > 290 && got[2] < 10); // The rest goes by precedence.
}

TEST(platform, refusals_slow_the_node_down_and_it_recovers)
{
    call_budget budget({.rate = 100, .burst = 10}, start);
    for (int n = 0; n < 5; ++n)
        budget.on_refused(start);
    DOUBLES_EQUAL(50, budget.rate(start), 0.01);
    budget.on_refused(start + seconds(1));
    CHECK(budget.rate(start + seconds(1)) < 30);
    DOUBLES_EQUAL(100, budget.rate(start + seconds(31)), 0.01);
}

TEST(platform, gate_waits_for_its_turn_and_gives_up_in_time)
{
    manual_clock time(start);
    call_gate gate(time,
                   {.reads = {.rate = 1, .burst = 1},
                    .writes = {.rate = 1, .burst = 1},
                    .longest_wait = seconds(2)},
                   [&](duration length) { time.advance(length); });
    memory_object_store inner;
    fault_object_store faulty(inner, 1);
    budgeted_object_store store(faulty, gate, call_class::safety);
    const auto always = write_condition::always();
    CHECK(store.put(a, "1", always).has_value());
    CHECK(time.now() == start);
    CHECK(store.put(a, "2", always).has_value());
    CHECK(time.now() >= start + seconds(1));
    CHECK(store.get(a)->value == "2"); // Reads have a rate of their own.
    faulty.set({.outage = true});
    for (int n = 0; n < 20; ++n)
        CHECK(store.put(a, "3", always).error().code ==
              error_code::unavailable);
    const auto counts = gate.counts();
    CHECK(counts.turned_away > 0 && counts.refused > 0 && counts.waited > 0);
    CHECK(counts.turned_away + counts.refused == 20);
    for (int n = 0; n < 3; ++n) {
        time.advance(seconds(30));
        CHECK(!store.get(a));
    }
    CHECK(gate.health() == platform_state::out);
    faulty.set({});
    time.advance(seconds(30));
    CHECK(store.get(a)->value == "2");
    CHECK(gate.health() == platform_state::well);
}

// An operator asks why nothing comes into force: the node has seen that the
// platform is out, says since when, and says when it is back, once each.
TEST(platform, health_follows_calls_without_flapping)
{
    platform_health health;
    const struct
    {
        bool answered;
        int latency_ms;
        platform_state state;
    } calls[] = {
        {true, 5, platform_state::well},     {false, 0, platform_state::well},
        {false, 0, platform_state::well},    {false, 0, platform_state::out},
        {false, 0, platform_state::out},     {true, 5, platform_state::well},
        {true, 5'000, platform_state::slow}, {false, 0, platform_state::slow},
        {true, 5, platform_state::slow},     {true, 5, platform_state::slow},
        {true, 5, platform_state::slow},     {true, 5, platform_state::slow},
        {true, 5, platform_state::slow},     {true, 5, platform_state::slow},
        {true, 5, platform_state::slow},     {true, 5, platform_state::slow},
        {true, 5, platform_state::slow},     {true, 5, platform_state::well},
    };
    instant now = start;
    platform_state before = platform_state::well;
    for (const auto& it : calls) {
        now += seconds(1);
        const auto changed =
            health.on_call(it.answered, milliseconds(it.latency_ms), now);
        CHECK(health.state() == it.state);
        CHECK(changed.has_value() == (it.state != before));
        if (changed)
            CHECK(health.since() == now);
        before = it.state;
    }
}

// A write's reply is lost: the writer must hear that it doesn't know, whether
// the write took effect or not, and reads back to find out.
TEST(platform, lost_replies_and_lost_requests_look_the_same)
{
    memory_object_store inner;
    fault_object_store store(inner, 1);
    const auto absent = write_condition::absent();
    struct
    {
        store_faults faults;
        error_code code;
        bool took_effect;
    } const cases[] = {
        {{.lost_reply = 1}, error_code::ambiguous, true},
        {{.lost_request = 1}, error_code::ambiguous, false},
        {{.refused = 1}, error_code::unavailable, false},
        {{.outage = true}, error_code::unavailable, false},
    };
    int n = 0;
    for (const auto& it : cases) {
        const object_key key("k" + std::to_string(n++));
        store.set(it.faults);
        CHECK(store.put(key, "1", absent).error().code == it.code);
        store.set({});
        CHECK(store.get(key).has_value() == it.took_effect);
        store.set(it.faults);
        static_cast<void>(store.erase(key, write_condition::always()));
        store.set({});
        CHECK(!store.get(key));
    }
    LONGS_EQUAL(2, store.counts().lost_replies);
}

// A configuration is accepted while this node's watch has gone silent for
// good. The node must still see it, within the listing interval.
TEST(platform, silent_watch_is_outlived_by_listing)
{
    for (std::uint64_t seed = 0; seed < 50; ++seed) {
        manual_clock time(start);
        memory_object_store inner;
        fault_object_store store(inner, 1,
                                 [&](duration it) { time.advance(it); });
        store.set({.silent_watches = true});
        const watch_plan_options options;
        watch_plan plan(options, random_source(seed));
        object_mirror mirror;
        const auto changed = start + seconds(20);
        bool written = false;
        bool seen = false;
        while (!seen) {
            if (!written && time.now() >= changed)
                written =
                    inner.put(a, "1", write_condition::always()).has_value();
            const watch_step step = plan.next(time.now());
            if (step.what == watch_step::kind::list) {
                const auto page = store.list("p/", {}, 10);
                plan.on_listed(page->revision, time.now());
                seen = !mirror.replace(page->objects).empty();
            } else {
                CHECK(step.what == watch_step::kind::watch);
                plan.on_watched(*store.watch("p/", step.revision, step.wait));
            }
        }
        const duration bound =
            options.relist_interval * 3 / 2 + options.watch_wait * 2;
        CHECK(time.now() <= changed + bound);
    }
}

TEST(platform, plan_backs_off_after_failures_and_lists_after_a_reset)
{
    watch_plan plan({}, random_source(3));
    CHECK(plan.next(start).what == watch_step::kind::list);
    plan.on_failed(start);
    const watch_step pause = plan.next(start);
    CHECK(pause.what == watch_step::kind::list ||
          pause.wait <= watch_plan_options().first_backoff);
    plan.on_listed(7, start);
    const watch_step step = plan.next(start + seconds(1));
    CHECK(step.what == watch_step::kind::watch && step.revision == 7);
    plan.on_watched({{}, 9, true});
    CHECK(plan.next(start + seconds(1)).what == watch_step::kind::list);
}

TEST(platform, mirror_tells_each_change_once_and_never_goes_back)
{
    object_mirror mirror;
    const auto object = [](const char* key, std::uint64_t version) {
        return stored_object{object_key(key), "v", object_version(version)};
    };
    LONGS_EQUAL(2, mirror.replace({object("a", 1), object("b", 2)}).size());
    LONGS_EQUAL(0, mirror.replace({object("a", 1), object("b", 2)}).size());
    LONGS_EQUAL(1, mirror.apply({{object("a", 5), false}}).size());
    LONGS_EQUAL(0, mirror.apply({{object("a", 3), false}}).size());
    LONGS_EQUAL(0, mirror.apply({{object("a", 4), true}}).size());
    const auto changes = mirror.replace({object("a", 5)});
    CHECK(changes.size() == 1 && changes[0].erased);
    LONGS_EQUAL(1, mirror.apply({{object("a", 9), true}}).size());
    CHECK(mirror.versions().empty());
}

// The platform is down when a node starts and comes back later: the node must
// catch up by itself and then hear of each change.
TEST(platform, follower_catches_up_after_an_outage)
{
    memory_object_store inner;
    fault_object_store store(inner, 1);
    store.set({.outage = true});
    const system_clock time;
    std::mutex mutex;
    std::condition_variable changed;
    std::vector<std::string> seen;
    prefix_follower_options options{.prefix = "p/"};
    options.plan.watch_wait = milliseconds(5);
    options.plan.last_backoff = milliseconds(5);
    options.page_size = 2;
    prefix_follower follower(
        store, time, options, [&](const object_change& it) {
            const std::lock_guard lock(mutex);
            seen.push_back(it.object.key.str() + it.object.value);
            changed.notify_all();
        });
    const auto put = [&](const char* key, const char* value) {
        return inner.put(object_key(key), value, write_condition::always())
            .has_value();
    };
    const auto wait_for = [&](std::size_t n) {
        std::unique_lock lock(mutex);
        return changed.wait_for(lock, seconds(60),
                                [&] { return seen.size() >= n; });
    };
    for (const char* key : {"p/1", "p/2", "p/3", "q/4"})
        CHECK(put(key, "=1"));
    store.set({});
    CHECK(wait_for(3));
    CHECK(put("p/2", "=2"));
    CHECK(wait_for(4));
    CHECK(seen ==
          std::vector<std::string>({"p/1=1", "p/2=1", "p/3=1", "p/2=2"}));
}
