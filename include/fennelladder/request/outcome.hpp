// How a request ends, as told to its caller.
//
// Every request ends in one of three outcomes:
//
//     answered  it ran, and the caller has the whole answer (or had it before)
//     not_run   proved: no target ran it, or began to
//     unknown   it may have run, wholly or in part
//
// `not_run` is said only on proof. A caller that is told `not_run` may send
// the request anew under any key; one that is told `unknown` may repeat an
// idempotent request, and asks again under the same key otherwise.
//
//     outcome_reply reply = table.admit(arrival, now).reply;
//     response.status = status_for(reply.code);
//     response.header("Retry-After", to_seconds(reply.retry_after));
//
// An outcome is refined only from `unknown` to one of the other two; see
// refines().

#ifndef FENNELLADDER_REQUEST_OUTCOME_HPP
#define FENNELLADDER_REQUEST_OUTCOME_HPP

#include "fennelladder/base/ids.hpp"
#include "fennelladder/base/time.hpp"
#include "fennelladder/base/tokens.hpp"

#include <cstdint>
#include <string>
#include <string_view>

namespace fennelladder::request {

enum class outcome : std::uint8_t
{
    answered,
    not_run,
    unknown
};

/// Why a request ended as it did. Stable: callers may branch on the name.
enum class reply_code : std::uint8_t
{
    ok,                ///< The whole answer, run or joined now.
    answered_before,   ///< Answered under this key before; text gone.
    budget_exhausted,  ///< The team's budget can't cover the worst case.
    overloaded,        ///< No target has room before the deadline.
    shutting_down,     ///< This node leaves; another one will do.
    store_unavailable, ///< The claim that must precede it can't be written.
    deadline_passed,   ///< The caller's deadline passed.
    caller_left,       ///< The caller closed its connection.
    target_refused,    ///< Every target tried refused it before running it.
    target_lost,       ///< A target died or fell silent while running it.
    stream_cut,        ///< Part was relayed and the rest can't be resumed.
    ran_and_failed,    ///< Quarantined: targets died while running it.
    suspected,         ///< A target died running it; its last run must wait.
    claimed_elsewhere, ///< Another node claimed this key.
    origin_lost,       ///< The node the key is bound to can't be asked.
    key_reused,        ///< The key was used with a different body.
    too_many_keys      ///< The node can't remember one more key.
};

/// The stable name, such as "budget_exhausted".
std::string_view to_string(outcome value);
std::string_view to_string(reply_code value);

/// What the gateway renders.
struct outcome_reply
{
    outcome result = outcome::unknown;
    reply_code code = reply_code::target_lost;
    duration retry_after{0};   ///< When to ask again; 0 is at once.
    bool retry_useful = false; ///< False: asking again can't change it.
    request_key key;
    incarnation_id origin; ///< The node to ask under this key; may be empty.
    tokens billed;         ///< What the key costs its team in all.
    std::string digest;    ///< digest128 of the answer's text, if answered.
};

/// True if `later` may replace `earlier` in what is said of one key: the same
/// outcome, or a definite one after `unknown`. Thread safe.
constexpr bool refines(outcome later, outcome earlier)
{
    return earlier == outcome::unknown || later == earlier;
}

} // namespace fennelladder::request

#endif
