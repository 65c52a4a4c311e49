// Checks the rules that hold whatever the options say over all sequences of up
// to four attempts, with every possible end of each.

#include "fennelladder/dispatch/attempt_policy.hpp"

#include <CppUTest/TestHarness.h>
#include <array>
#include <vector>

using namespace fennelladder;
using namespace fennelladder::dispatch;

namespace {

constexpr auto ends = std::to_array(
    {attempt_end::answered, attempt_end::failed_there,
     attempt_end::not_connected, attempt_end::rejected, attempt_end::other_life,
     attempt_end::broken, attempt_end::silent, attempt_end::garbled,
     attempt_end::caller_left, attempt_end::out_of_time});

bool expected_not_run(attempt_end it)
{
    return it == attempt_end::not_connected || it == attempt_end::rejected ||
           it == attempt_end::other_life;
}

catalog::route make_route(catalog::repeat_rule rule, int max_targets,
                          bool resumable)
{
    catalog::route out;
    out.repeats = rule;
    out.max_targets = max_targets;
    out.resumable = resumable;
    out.streams = resumable;
    return out;
}

/// Follows the policy through every sequence of ends.
void explore(const request_state& so_far, int depth, int& checked)
{
    for (const attempt_end ended : ends) {
        request_state now = so_far;
        if (ended != attempt_end::not_connected)
            ++now.sent;
        else
            ++now.failed_connects;
        if (!expected_not_run(ended))
            ++now.may_have_run;
        const next_step step = decide_next(now, ended, {});
        ++checked;
        if (step.action == next_action::try_other) {
            if (now.route->repeats == catalog::repeat_rule::at_most_once)
                CHECK_EQUAL(0, now.may_have_run);
            CHECK(now.may_have_run < now.route->max_targets);
            if (depth > 0)
                explore(now, depth - 1, checked);
        }
        if (step.action == next_action::say_not_run)
            CHECK_EQUAL(0, now.may_have_run);
        if (now.head_passed_on)
            CHECK(step.action != next_action::say_not_run &&
                  step.action != next_action::say_unknown);
    }
}

} // namespace

TEST_GROUP(attempt_policy){};

TEST(attempt_policy, rules_hold_for_all_sequences_of_attempts)
{
    int checked = 0;
    for (const auto rule :
         {catalog::repeat_rule::idempotent, catalog::repeat_rule::at_most_once})
        for (const int most : {1, 2, 3})
            for (const bool begun : {false, true})
                for (const bool resumable : {false, true}) {
                    const catalog::route on = make_route(rule, most, resumable);
                    request_state start;
                    start.route = &on;
                    start.time_left = seconds(10);
                    start.head_passed_on = begun;
                    explore(start, 4, checked);
                }
    CHECK(checked > 1000);
}

// A request that may run only once is sent on a kept-alive connection, which is
// reset. It may have run, so it is neither sent again nor reported as "not
// run".
TEST(attempt_policy, broken_at_most_once_request_is_unknown)
{
    const auto on = make_route(catalog::repeat_rule::at_most_once, 3, false);
    request_state so_far;
    so_far.route = &on;
    so_far.sent = 1;
    so_far.may_have_run = 1;
    so_far.time_left = seconds(3);
    const next_step step = decide_next(so_far, attempt_end::broken, {});
    CHECK(step.action == next_action::say_unknown);
}

TEST(attempt_policy, rejected_at_most_once_request_goes_to_another_target)
{
    const auto on = make_route(catalog::repeat_rule::at_most_once, 1, false);
    request_state so_far;
    so_far.route = &on;
    so_far.sent = 1;
    so_far.rejections = 1;
    so_far.time_left = seconds(3);
    const next_step step = decide_next(so_far, attempt_end::rejected, {});
    CHECK(step.action == next_action::try_other);
    CHECK(step.uses_retry);
}

TEST(attempt_policy, stream_that_is_not_resumable_is_cut)
{
    const auto on = make_route(catalog::repeat_rule::at_most_once, 2, false);
    request_state so_far;
    so_far.route = &on;
    so_far.sent = 1;
    so_far.may_have_run = 1;
    so_far.head_passed_on = true;
    so_far.time_left = seconds(3);
    CHECK(decide_next(so_far, attempt_end::broken, {}).action ==
          next_action::cut);
}

TEST(attempt_policy, no_attempt_without_time_left)
{
    const auto on = make_route(catalog::repeat_rule::idempotent, 3, false);
    request_state so_far;
    so_far.route = &on;
    so_far.sent = 1;
    so_far.may_have_run = 1;
    so_far.time_left = milliseconds(10);
    CHECK(decide_next(so_far, attempt_end::broken, {}).action ==
          next_action::say_unknown);
}

// The callers of one team saturate a host's link. Guards against final answers
// that arrive long after the route's timeout, because the time that a request
// waits on the link before it is read isn't counted.
TEST(attempt_policy, final_answer_over_a_saturated_link_arrives_in_time)
{
    const duration timeout = milliseconds(1200);
    for (const bool dialed : {false, true})
        for (const int ms : {0, 5, 100, 290}) {
            const duration waits = milliseconds(ms);
            const duration read_at = (dialed ? 3 : 1) * waits;
            const duration left = time_at_node(timeout, waits, dialed);
            CHECK(read_at + left + waits <= timeout);
            CHECK(left > duration(0));
        }
    CHECK(time_at_node(timeout, milliseconds(600), false) <= duration(0));
    CHECK(time_at_node(timeout, milliseconds(300), true) <= duration(0));
}
