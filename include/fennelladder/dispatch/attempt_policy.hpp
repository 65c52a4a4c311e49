// What to do when an attempt at a target has ended without a whole answer:
// try another target, resume there, or give the caller its final answer.
//
//     next_step step = decide_next(course, ended, options);
//     switch (step.action) ...
//
// The rules that always hold, whatever the options say:
//
//   - A request that may run once and may have run is never sent again.
//   - "Not run" (a 503 with a time to come back) is said only when every
//     attempt is proved not to have run.
//   - A request runs at no more targets than its route allows.

#ifndef FENNELLADDER_DISPATCH_ATTEMPT_POLICY_HPP
#define FENNELLADDER_DISPATCH_ATTEMPT_POLICY_HPP

#include "fennelladder/base/time.hpp"
#include "fennelladder/catalog/configuration.hpp"

#include <cstdint>
#include <string_view>

namespace fennelladder::dispatch {

/// How an attempt ended.
enum class attempt_end : std::uint8_t
{
    answered,      ///< The whole answer was passed on.
    failed_there,  ///< The target's own failure; it ran the request.
    not_connected, ///< Nothing was sent: no connection.
    rejected,      ///< The target says it didn't run the request.
    other_life,    ///< The same, since another target has its address now.
    broken,        ///< The connection ended early; it may have run.
    silent,        ///< Nothing came for too long; it may have run.
    garbled,       ///< What came is not this request's answer.
    caller_left,
    out_of_time
};

std::string_view to_string(attempt_end value);

/// Whether such an end proves that the target didn't run the request.
bool proved_not_run(attempt_end ended);

/// A request's way so far.
struct request_state
{
    const catalog::route* way = nullptr;
    int sent = 0;         ///< Attempts whose request was sent.
    int may_have_run = 0; ///< Of these, not proved otherwise.
    int rejections = 0;
    int failed_connects = 0;
    bool head_passed_on = false; ///< The caller has the answer's beginning.
    /// What it has is no stream: nothing else can follow it.
    bool part_stands_alone = false;
    duration time_left{0};
};

/// How long a request may take at this node, from its reading to its final
/// answer. `patience` counts from when its caller turned to this host;
/// `queueing` is what waits on the host's link each way. The request has passed
/// it, before that the two packets of a connection made for it, if it was
/// `dialed`; its answer has yet to pass. Not above 0: none arrives in time.
constexpr duration time_at_node(duration patience, duration queueing,
                                bool dialed)
{
    return patience - (dialed ? 4 : 2) * queueing;
}

enum class next_action : std::uint8_t
{
    finish,      ///< The caller has what it gets.
    pass_on,     ///< Pass on the failure of the target as it is.
    try_other,   ///< Send to another target (or resume there).
    say_not_run, ///< Refuse: it didn't run and won't.
    say_unknown, ///< Fail: it may have run.
    say_late,    ///< Fail: its time is over, and it may have run.
    cut          ///< Break off the answer that was begun.
};

std::string_view to_string(next_action value);

struct next_step
{
    next_action action = next_action::finish;
    bool uses_retry = false; ///< Only if a retry can be taken; else give up.
};

struct attempt_policy_options
{
    /// Sends of one request, those that targets rejected among them.
    int max_sends = 3;
    int max_failed_connects = 4;
    /// With less left, another attempt is of no use.
    duration min_time_left = milliseconds(60);
};

/// Pure; thread safe.
next_step decide_next(const request_state& so_far, attempt_end ended,
                      const attempt_policy_options& options);

/// What the caller gets when the retry that decide_next() asked for can't be
/// taken. Pure; thread safe.
next_action give_up(const request_state& so_far, attempt_end ended);

} // namespace fennelladder::dispatch

#endif
