#include "fennelladder/request/progress_deadlines.hpp"
#include "fennelladder/request/retry_budget.hpp"

#include <CppUTest/TestHarness.h>

using namespace fennelladder;
using namespace fennelladder::request;

namespace {

constexpr instant start = from_nanoseconds(1'000'000'000);

constexpr connection_kind kinds[] = {
    connection_kind::caller, connection_kind::target, connection_kind::peer,
    connection_kind::platform_call, connection_kind::platform_watch};

} // namespace

TEST_GROUP(progress_deadlines){};

// An answer stops in the middle of a repair guide: a firewall has dropped the
// connection from its table. No error comes, the engine works, and without a
// deadline of its own the connection would hang for good.
TEST(progress_deadlines, a_silent_connection_is_dialled_anew)
{
    for (const connection_kind kind : kinds) {
        const progress_limits limits = limits_of(kind);
        progress_deadlines watch(limits, start);
        instant now = start + milliseconds(10);
        watch.on_progress(now);
        CHECK(watch.deadline() == now + limits.next);
        CHECK(watch.decide(now + limits.next - duration(1),
                           probe_result::none) == silence_verdict::keep);
        for (int n = 0; n < limits.redials; ++n) {
            now = watch.deadline();
            CHECK(watch.decide(now, probe_result::none) ==
                  silence_verdict::probe);
            CHECK(watch.decide(now, probe_result::works) ==
                  silence_verdict::redial);
            CHECK(watch.deadline() == now + limits.first);
        }
        CHECK(watch.decide(watch.deadline(), probe_result::works) ==
              silence_verdict::give_up);
    }
}

// The engine's host lost power: the old connection is silent as above, but a
// fresh one is refused, or not answered either.
TEST(progress_deadlines, a_dead_end_is_given_up)
{
    for (const connection_kind kind : kinds) {
        const progress_limits limits = limits_of(kind);
        const instant due = start + limits.first;
        progress_deadlines refused(limits, start);
        CHECK(refused.decide(due, probe_result::refused) ==
              silence_verdict::give_up);
        progress_deadlines silent(limits, start);
        CHECK(silent.decide(due, probe_result::none) == silence_verdict::probe);
        CHECK(silent.decide(due + limits.probe_wait, probe_result::none) ==
              silence_verdict::give_up);
    }
}

// This process was paused for a minute and finds every deadline passed. The
// other ends are fine, so each is probed before it's given up.
TEST(progress_deadlines, a_pause_of_this_process_gives_nothing_up)
{
    const progress_limits limits = limits_of(connection_kind::target);
    progress_deadlines watch(limits, start);
    const instant late = start + minutes(1);
    CHECK(watch.decide(late, probe_result::none) == silence_verdict::probe);
    CHECK(watch.decide(late + limits.probe_wait - duration(1),
                       probe_result::none) == silence_verdict::probe);
    watch.on_progress(late + limits.probe_wait);
    CHECK(watch.decide(late + limits.probe_wait, probe_result::none) ==
          silence_verdict::keep);
}

// An end that streams and falls silent now and then, each time after some
// progress, is dialled anew as often as that happens.
TEST(progress_deadlines, progress_starts_the_count_of_redials_anew)
{
    progress_deadlines watch(limits_of(connection_kind::target), start);
    for (int n = 0; n < 50; ++n) {
        const instant now = watch.deadline();
        CHECK(watch.decide(now, probe_result::works) ==
              silence_verdict::redial);
        watch.on_progress(now + milliseconds(1));
    }
}

TEST_GROUP(retry_budget){};

// All targets of a model fail at once. If every request were tried three
// times, the rest of the fleet would get three times the load and fail, too.
TEST(retry_budget, keeps_retries_to_a_share_of_the_answers)
{
    const retry_budget_options options{
        .share = 0.1, .burst = 5, .trickle = 0.5};
    retry_budget budget(options, start);
    int granted = 0;
    for (int n = 0; n < 1000; ++n) {
        budget.on_success();
        for (int k = 0; k < 3; ++k)
            granted += budget.take(start) ? 1 : 0;
    }
    CHECK(granted <= 105);
    CHECK(granted >= 95);
    CHECK_FALSE(budget.take(start));
    CHECK(budget.take(start + seconds(2))); // the trickle of two seconds
    CHECK_FALSE(budget.take(start + seconds(2)));
    CHECK(budget.left(start + hours(1)) <= options.burst);
    CHECK(budget.left(start) <= options.burst); // time that goes back
}
