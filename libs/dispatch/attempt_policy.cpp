#include "fennelladder/dispatch/attempt_policy.hpp"

#include <cassert>

namespace fennelladder::dispatch {

namespace {

bool may_repeat(const request_state& so_far)
{
    return so_far.route->repeats == catalog::repeat_rule::idempotent;
}

/// Whether another attempt may give the answer: any may before the head was
/// passed on; afterwards only a stream of a resumable route can be resumed.
bool may_resume(const request_state& so_far)
{
    return !so_far.head_passed_on ||
           (so_far.route->resumable && !so_far.partial_body_sent);
}

bool within_limits(const request_state& so_far, attempt_end ended,
                   const attempt_policy_options& options)
{
    if (so_far.time_left < options.min_time_left)
        return false;
    if (ended == attempt_end::not_connected)
        return so_far.failed_connects < options.max_failed_connects;
    return so_far.sent < options.max_sends;
}

} // namespace

bool proved_not_run(attempt_end ended)
{
    return ended == attempt_end::not_connected ||
           ended == attempt_end::rejected || ended == attempt_end::other_life;
}

std::string_view to_string(attempt_end value)
{
    switch (value) {
    case attempt_end::answered:
        return "answered";
    case attempt_end::failed_there:
        return "failed_there";
    case attempt_end::not_connected:
        return "not_connected";
    case attempt_end::rejected:
        return "rejected";
    case attempt_end::other_life:
        return "other_life";
    case attempt_end::broken:
        return "broken";
    case attempt_end::silent:
        return "silent";
    case attempt_end::garbled:
        return "garbled";
    case attempt_end::caller_left:
        return "caller_left";
    case attempt_end::out_of_time:
        return "out_of_time";
    case attempt_end::node_stops:
        return "node_stops";
    }
    return "unknown";
}

std::string_view to_string(next_action value)
{
    switch (value) {
    case next_action::finish:
        return "finish";
    case next_action::pass_on:
        return "pass_on";
    case next_action::try_other:
        return "try_other";
    case next_action::say_not_run:
        return "say_not_run";
    case next_action::say_unknown:
        return "say_unknown";
    case next_action::say_late:
        return "say_late";
    case next_action::cut:
        return "cut";
    }
    return "unknown";
}

next_action give_up(const request_state& so_far, attempt_end ended)
{
    if (so_far.head_passed_on)
        return next_action::cut;
    if (ended == attempt_end::failed_there)
        return next_action::pass_on;
    if (ended == attempt_end::out_of_time)
        return next_action::say_late;
    return so_far.may_have_run == 0 ? next_action::say_not_run
                                    : next_action::say_unknown;
}

next_step decide_next(const request_state& so_far, attempt_end ended,
                      const attempt_policy_options& options)
{
    assert(so_far.route != nullptr);
    if (ended == attempt_end::answered || ended == attempt_end::caller_left)
        return {next_action::finish, false};
    if (ended == attempt_end::out_of_time || ended == attempt_end::node_stops)
        return {give_up(so_far, ended), false};
    const bool not_run = proved_not_run(ended);
    const bool allowed = may_resume(so_far) &&
                         so_far.may_have_run < so_far.route->max_targets &&
                         (not_run || may_repeat(so_far));
    // A request that may run only once and may have run is never sent again,
    // even if the last attempt was rejected.
    const bool safe = may_repeat(so_far) || so_far.may_have_run == 0;
    if (!allowed || !safe || !within_limits(so_far, ended, options))
        return {give_up(so_far, ended), false};
    // Nothing reached a target when there was no connection.
    return {next_action::try_other, ended != attempt_end::not_connected};
}

} // namespace fennelladder::dispatch
