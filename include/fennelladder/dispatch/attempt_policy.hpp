// Decides what to do when an attempt at a target has ended without a complete
// answer: try another target, resume there, or give the caller its final
// answer.
//
//     next_step step = decide_next(state, ended, options);
//     switch (step.action) ...
//
// These rules hold whatever the options say:
//
//   - A request that may run only once and may have run is never sent again.
//   - "Not run" (a 503 with Retry-After) is returned only when every attempt
//     is proved not to have run.
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
    failed_there,  ///< The target's own error; it ran the request.
    not_connected, ///< No connection could be made; nothing was sent.
    rejected,      ///< The target states that it didn't run the request.
    other_life,    ///< The same: another incarnation or target has its address.
    broken,        ///< The connection ended early; it may have run.
    silent,        ///< No bytes came until the timeout; it may have run.
    garbled,       ///< The bytes received are not this request's answer.
    caller_left,
    out_of_time,
    node_stops ///< This node ends before the answer; it may have run.
};

std::string_view to_string(attempt_end value);

/// Whether this end proves that the target didn't run the request.
bool proved_not_run(attempt_end ended);

/// State of a request over its attempts so far.
struct request_state
{
    const catalog::route* route = nullptr;
    int sent = 0;         ///< Attempts whose request was sent.
    int may_have_run = 0; ///< Of these, not proved not to have run.
    int rejections = 0;
    int failed_connects = 0;
    bool head_passed_on = false; ///< The caller has the answer's head.
    /// The part that the caller has is not a stream, so no other target can
    /// continue it.
    bool partial_body_sent = false;
    duration time_left{0};
};

/// How long a request may take at this node, from when it is read to its final
/// answer. `timeout` is the caller's, counted from when it began to contact
/// this host; `queueing` is the delay of the host's link each way. The request
/// has passed the link already, as did the two packets that set up its
/// connection if that is new; its answer has yet to pass. At 0 or below, no
/// answer arrives in time.
constexpr duration time_at_node(duration timeout, duration queueing,
                                bool is_new_connection)
{
    return timeout - (is_new_connection ? 4 : 2) * queueing;
}

enum class next_action : std::uint8_t
{
    finish,      ///< Nothing: the answer is complete or the caller is gone.
    pass_on,     ///< Pass on the target's error response unchanged.
    try_other,   ///< Send to another target (or resume there).
    say_not_run, ///< Refuse: it didn't run and won't.
    say_unknown, ///< Fail: it may have run.
    say_late,    ///< Fail: its deadline has passed, and it may have run.
    cut          ///< Abort the answer that was begun.
};

std::string_view to_string(next_action value);

struct next_step
{
    next_action action = next_action::finish;
    bool uses_retry = false; ///< Take a retry first, or else give_up().
};

struct attempt_policy_options
{
    /// Sends of one request, including those that targets rejected.
    int max_sends = 3;
    int max_failed_connects = 4;
    /// With less time left, another attempt would be of no use.
    duration min_time_left = milliseconds(60);
};

/// Pure; thread safe.
next_step decide_next(const request_state& so_far, attempt_end ended,
                      const attempt_policy_options& options);

/// What to do when the retry that decide_next() asked for can't be taken.
/// Pure; thread safe.
next_action give_up(const request_state& so_far, attempt_end ended);

} // namespace fennelladder::dispatch

#endif
