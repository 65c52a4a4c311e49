#include "fennelladder/dispatch/admission_control.hpp"

#include <CppUTest/TestHarness.h>
#include <algorithm>
#include <string>

using namespace fennelladder;
using namespace fennelladder::dispatch;

namespace {

const team_id flood("flood");
const team_id small("small");
constexpr duration step = milliseconds(10);
constexpr duration probe_gap = milliseconds(50);
constexpr duration longest = seconds(3);
constexpr duration short_wait = milliseconds(1);
constexpr duration long_wait = milliseconds(60);
constexpr int urgent = 0;
constexpr int not_urgent = 2;

} // namespace

TEST_GROUP(admission_control)
{
    admission_options options;
    admission_control control{options};
    instant now = instant(seconds(100));
    int steps = 0;

    /// One step of a host that ends one request in each, at full load.
    void pass(duration waited, double busy = 1)
    {
        now += step;
        control.note_busy(from_seconds(to_seconds(step) * busy), now);
        control.note_served(now);
        if (++steps % (probe_gap / step) == 0)
            control.note_backlog(waited, now);
    }

    admission ask(const team_id& team, int urgency = not_urgent)
    {
        return control.admit(team, urgency, longest, now);
    }

    /// Lets the team ask `per_step` times in each step; returns how many of
    /// its requests were admitted in each second.
    double ask_for(duration length, int per_step, duration waited,
                   int urgency = not_urgent, double busy = 1)
    {
        int admitted = 0;
        for (duration it(0); it < length; it += step) {
            pass(waited, busy);
            for (int i = 0; i < per_step; ++i)
                admitted += ask(flood, urgency).admitted ? 1 : 0;
        }
        return admitted / to_seconds(length);
    }

    void overload()
    {
        ask_for(seconds(5), 2, long_wait);
    }
};

TEST(admission_control, admits_all_without_a_backlog)
{
    const double admitted = ask_for(seconds(10), 5, short_wait);
    DOUBLES_EQUAL(500, admitted, 1e-6);
    CHECK_FALSE(control.is_limiting());
}

// Failure: long turns of a host that has time left are taken for overload.
TEST(admission_control, admits_all_while_the_loop_has_idle_time)
{
    const double admitted = ask_for(seconds(10), 5, long_wait, not_urgent, 0.9);
    DOUBLES_EQUAL(500, admitted, 1e-6);
    CHECK_FALSE(control.is_limiting());
}

// Failure: one stall of the process makes the host refuse callers.
TEST(admission_control, does_not_take_a_stall_for_a_backlog)
{
    ask_for(seconds(5), 1, short_wait);
    for (int i = 0; i < 20; ++i) {
        control.note_backlog(seconds(1), now);
        ask_for(seconds(1), 1, short_wait);
        CHECK_FALSE(control.is_limiting());
    }
}

// Failure: a host that has just started, and works at that, refuses callers.
TEST(admission_control, does_not_limit_during_start)
{
    for (duration it(0); it < options.warm_up; it += probe_gap) {
        now += probe_gap;
        control.note_backlog(long_wait, now);
        CHECK(ask(small).admitted);
    }
}

TEST(admission_control, limits_to_what_was_ended_under_a_backlog)
{
    overload();
    CHECK(control.is_limiting());
    const double admitted = ask_for(seconds(10), 3, milliseconds(10));
    // 100 requests end in a second.
    CHECK(admitted <= 100);
    CHECK(admitted >= 90);
}

TEST(admission_control, lowers_the_limit_while_the_backlog_stays)
{
    overload();
    CHECK(ask_for(seconds(10), 3, long_wait) < 70);
}

// Failure: a team's flood takes what a small team needs.
TEST(admission_control, serves_a_small_team_beside_a_flood)
{
    overload();
    int refused = 0;
    for (int i = 0; i < 100; ++i) {
        ask_for(milliseconds(50), 3, milliseconds(10));
        refused += ask(small).admitted ? 0 : 1;
    }
    LONGS_EQUAL(0, refused);
}

TEST(admission_control, leaves_what_a_small_team_does_not_use)
{
    overload();
    double admitted = 0;
    for (int i = 0; i < 10; ++i) {
        admitted += ask_for(seconds(1), 3, milliseconds(10));
        (void)ask(small);
    }
    CHECK(admitted / 10 >= 85);
}

TEST(admission_control, admits_urgent_requests_first)
{
    overload();
    ask_for(seconds(1), 3, milliseconds(10));
    CHECK_FALSE(ask(flood, not_urgent).admitted);
    CHECK(ask(flood, urgent).admitted);
}

TEST(admission_control, spreads_those_who_come_back)
{
    overload();
    duration last(0);
    int later = 0;
    constexpr int asked = 100;
    for (int i = 0; i < asked; ++i) {
        const admission it = ask(flood);
        if (it.admitted)
            continue;
        CHECK(it.retry_after >= options.min_retry_after);
        CHECK(it.retry_after <= longest);
        later += it.retry_after > last ? 1 : 0;
        last = it.retry_after;
    }
    CHECK(later > asked / 2);
}

TEST(admission_control, stops_limiting_when_the_flood_is_over)
{
    overload();
    ask_for(seconds(4), 0, short_wait);
    CHECK_FALSE(control.is_limiting());
    CHECK(ask(flood).admitted);
}

// Failure: callers with ever new teams use up the memory or the host.
TEST(admission_control, bounds_the_teams_that_it_remembers)
{
    options.max_teams = 10;
    admission_control bounded(options);
    for (int i = 0; i < 1000; ++i)
        CHECK(bounded
                  .admit(team_id("team-" + std::to_string(i)), urgent, longest,
                         now)
                  .admitted);
    CHECK(bounded.teams() <= options.max_teams + 1);
}

// Failure: a host whose link is full, with processor time left, admits all.
TEST(admission_control, limits_when_a_direction_of_the_link_is_full)
{
    const auto serve = [&](double sent, double received) {
        for (duration it(0); it < seconds(5); it += step) {
            control.note_link(sent, received, now);
            ask_for(step, 1, short_wait, not_urgent, 0.2);
        }
    };
    serve(0.5, 0.5);
    CHECK_FALSE(control.is_limiting());
    serve(0.5, 1);
    CHECK(control.is_limiting());
    CHECK(control.busiest() == host_resource::link_received);
}

// Failure: the time of a suspension counts as an interval under load, or what
// was measured before it is taken for the present.
TEST(admission_control, discards_what_was_measured_before_a_gap)
{
    overload();
    CHECK(control.is_limiting());
    now += seconds(5);
    control.note_busy(seconds(5), now);
    control.note_backlog(seconds(5), now);
    CHECK_FALSE(control.is_limiting());
    CHECK(ask(flood).admitted);
}

// Failure: where a share is a few requests a second, a team that asks for less
// is refused when two of its requests come together.
TEST(admission_control, admits_few_requests_that_come_together)
{
    overload();
    for (int i = 0; i < 10; ++i) {
        ask_for(milliseconds(500), 3, milliseconds(10));
        for (int team = 0; team < 20; ++team) {
            const team_id few("few-" + std::to_string(team));
            const bool both = ask(few).admitted && ask(few).admitted;
            CHECK(both);
        }
    }
}

// Failure: one large request takes what several small ones need, or large ones
// of a team below its share are never admitted.
TEST(admission_control, admits_small_requests_before_large_ones)
{
    constexpr std::uint64_t usual = 2'000;
    constexpr std::uint64_t large = 12'000;
    int usual_ones = 0;
    int large_ones = 0;
    int below_share = 0;
    int asked_below_share = 0;
    for (duration it(0); it < seconds(20); it += step) {
        pass(short_wait, 0.2);
        control.note_served(now, {usual, 2 * usual, 2 * usual});
        control.note_link(0.5, 1, now);
        const auto admitted = [&](const team_id& team, std::uint64_t bytes) {
            return control.admit(team, urgent, longest, now, bytes).admitted;
        };
        const bool counts = it >= seconds(10);
        for (int i = 0; i < 2; ++i)
            usual_ones += admitted(flood, usual) && counts ? 1 : 0;
        large_ones += admitted(flood, large) && counts ? 1 : 0;
        if (!counts || it % milliseconds(500) != duration(0))
            continue;
        below_share += admitted(small, large) ? 1 : 0;
        ++asked_below_share;
    }
    CHECK(usual_ones > 2 * 2 * large_ones);
    LONGS_EQUAL(asked_below_share, below_share);
}

// Failure: a refused caller is told to return at once, and its bytes fill the
// link again; or all of them return together.
TEST(admission_control, spreads_returns_over_the_later_half_of_the_time)
{
    overload();
    ask_for(seconds(1), 3, milliseconds(10));
    constexpr int parts = 5;
    int returns[parts] = {};
    int all = 0;
    for (int i = 0; i < 100; ++i) {
        const admission it = ask(flood);
        if (it.admitted)
            continue;
        const double part = to_seconds(it.retry_after) / to_seconds(longest);
        CHECK(part >= 0.5);
        CHECK(part <= 1);
        ++returns[std::min(static_cast<int>((part - 0.5) * 2 * parts),
                           parts - 1)];
        ++all;
    }
    for (const int it : returns)
        DOUBLES_EQUAL(1.0 / parts, static_cast<double>(it) / all, 0.05);
}
