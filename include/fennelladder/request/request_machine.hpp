// The course of one request at one node, from admission to bill, as a pure
// state machine: it says what to do next, its driver does it and reports what
// came of it. It decides what may be retried, what the caller is told and
// what is billed; it knows no socket, thread or clock.
//
//     request_machine machine(traits, options);
//     while (machine.next().kind != action_kind::conclude)
//         machine.on_event(perform(machine.next()));
//     settle(machine.end());
//
// Proof of `not_run`. A run counts as begun the moment the machine hands out
// `dispatch`, before any byte has left. Only the events `refused` (the target
// said no before it ran) and `not_sent` take that back. `not_run` is said
// only if each dispatch was taken back, and request_traits::first_arrival
// holds: for a request that must not run twice, that no other node can have
// run the key either; for an idempotent one, that nothing hints at an earlier
// arrival.
//
// Retries. A request that is not idempotent is dispatched again only after a
// dispatch that was taken back. An idempotent one is dispatched again after a
// lost target, from the start if nothing was relayed, else at the offset
// relayed, if its kind of target can resume. Every further dispatch needs a
// grant of the retry budget and stays below the attempt cap.
//
// Bills. One request is billed once, whatever its attempts: tokens of an
// attempt whose text didn't reach the caller are not billed.
//
//     answered                        prompt + output; never above what was
//                                     reserved
//     not_run                         nothing; the reservation is released
//     unknown, no attempt may still   prompt + what was relayed, or nothing
//     be running, idempotent          if nothing was (then it's released, and
//                                     a retry of the key is billed)
//     unknown, otherwise              nothing yet: the reservation is held
//                                     until evidence arrives
//     the caller left or its          prompt + what the target says it ran
//     deadline passed, cancel         (at least what was relayed)
//     confirmed
//
// A request that is given up gets its final answer at once: `conclude` is
// never preceded by a wait for something the caller doesn't need.
//
// Not thread safe: one worker owns one machine.

#ifndef FENNELLADDER_REQUEST_REQUEST_MACHINE_HPP
#define FENNELLADDER_REQUEST_REQUEST_MACHINE_HPP

#include "fennelladder/base/error.hpp"
#include "fennelladder/base/random.hpp"
#include "fennelladder/request/outcome.hpp"

#include <cstdint>
#include <optional>

namespace fennelladder::request {

/// What is known of a request when it arrives.
struct request_traits
{
    request_key key;
    incarnation_id self;     ///< This node; the origin told to callers.
    bool idempotent = true;  ///< It may run more than once.
    bool resumable = false;  ///< Its targets resume a stream at an offset.
    bool cancelable = false; ///< Its targets stop a run when told to.
    /// It must be claimed in the journal before it is dispatched: not
    /// idempotent, key from the caller, not bound to this node.
    bool claim_first = false;
    /// As request_table::admit() says. Without it a refusal is told as
    /// `unknown`, since the request may have run under the same key before.
    bool first_arrival = false;
    tokens prompt;
    tokens max_output;
    tokens billed_before; ///< Bill of an earlier, cut run of the same key.
};

struct machine_options
{
    int attempt_cap = 3; ///< Dispatches that may have run or were refused.
    duration first_backoff = milliseconds(5);
    duration backoff_limit = milliseconds(250);
    /// Retry-after told when the cause gives none.
    duration default_retry_after = milliseconds(500);
    /// How long a suspect may wait in all for its turn to run alone.
    duration suspect_wait_limit = seconds(10);
};

enum class request_state : std::uint8_t
{
    received,   ///< Nothing is reserved.
    reserved,   ///< Its worst case is reserved.
    claimed,    ///< And its key is claimed in the journal.
    dispatched, ///< A target may be running it; nothing was relayed yet.
    streaming,  ///< Part of the answer was relayed.
    ended
};

std::string_view to_string(request_state value);

enum class action_kind : std::uint8_t
{
    reserve,       ///< Reserve `amount` tokens of the team's budget.
    claim,         ///< Create the key's claim in the journal.
    check_suspect, ///< Ask suspect_list::begin().
    choose_target, ///< Ask routing: `alone`, `only`, `prefer`.
    dispatch,      ///< Send to `target` as `attempt`, from `offset` on.
    read,          ///< Wait for the next chunk of the answer.
    ask_retry,     ///< Ask retry_budget::take().
    pause,         ///< Wait for `wait`.
    cancel,  ///< Tell `target` to stop, and wait for its word (bounded); or
             ///< report `not_sent`.
    conclude ///< Over: end() says what to tell, bill and record.
};

struct action
{
    action_kind kind = action_kind::reserve;
    tokens amount;
    int attempt = 0;    ///< Number of the dispatch, from 1.
    target_id target;   ///< Of dispatch and cancel.
    target_id prefer;   ///< Of choose_target: resume here if it can be had.
    target_id only;     ///< Of choose_target: no other may be chosen.
    bool alone = false; ///< Of choose_target: nothing else runs there.
    std::uint64_t offset = 0; ///< Bytes of the answer relayed so far.
    tokens relayed;           ///< Output tokens relayed so far.
    duration wait{0};
};

enum class event_kind : std::uint8_t
{
    reserved,
    reserve_refused, ///< The budget is short; `retry_after`.
    claimed,
    claim_lost,          ///< Another node has the key; `known`, `owner`.
    claim_failed,        ///< The store can't be asked, or its reply was lost.
    suspect_free,        ///< Run it as any other.
    suspect_alone,       ///< Run it, alone on its target.
    suspect_wait,        ///< Ask again after `retry_after`.
    suspect_same_target, ///< Run it only at `target`.
    suspect_elsewhere,   ///< Only `owner` may run it; `retry_after`.
    suspect_refused,     ///< Quarantined.
    target_chosen,       ///< `target`.
    no_target,           ///< None has room in time; `retry_after`.
    refused,             ///< The target said no before it ran; `retry_after`.
    not_sent,            ///< No byte of the request left this node.
    chunk,               ///< `bytes`, `output` more were relayed.
    completed,           ///< The answer is whole; `output` in all.
    connection_lost,     ///< Broken, or answer unusable; the target may live.
    target_silent,       ///< The connection is silent, a fresh probe works.
    target_died,         ///< No run of it goes on there.
    retry_granted,
    retry_denied,
    waited,           ///< A pause is over.
    cancel_confirmed, ///< The target stopped; the answer had `output` in all.
    cancel_failed,    ///< It may go on.
    caller_left,      ///< The last caller of this key closed its connection.
    deadline_passed,
    shutdown ///< The node begins to leave.
};

std::string_view to_string(event_kind value);

struct event
{
    event_kind kind = event_kind::reserved;
    target_id target;
    std::uint64_t bytes = 0;
    tokens output;
    /// Of completed: the prompt as the target counted it; else the estimate
    /// of the traits is billed.
    std::optional<tokens> prompt;
    duration retry_after{0};
    std::optional<outcome> known; ///< What the journal knows of the key.
    incarnation_id owner;         ///< Who claimed it.
};

enum class bill_kind : std::uint8_t
{
    none,    ///< Nothing was reserved.
    release, ///< Give the whole reservation back; nothing is billed.
    settle,  ///< Bill `total` in all; give the rest back.
    hold     ///< Keep the reservation; at least `total` was used.
};

std::string_view to_string(bill_kind value);

/// What happens with the reservation.
struct bill
{
    bill_kind kind = bill_kind::none;
    tokens reserved;
    /// What the key costs in all; the record of a key keeps the largest total
    /// it was given, so that recording one twice, or a longer run after a cut
    /// one, bills once.
    tokens total;
};

/// All that is left to do at the end.
struct conclusion
{
    outcome_reply reply;
    bill charge;
    int attempts = 0;
    /// A target ran it, or may have; false: nothing of it left this node, or
    /// all of it was taken back.
    bool may_have_run = false;
    /// The outcome must be put into the journal under the key: the request is
    /// not idempotent and may have run.
    bool record = false;
    /// It was, or may have been, claimed in the journal and never ran: record
    /// `not_run` for the claim of this node, if it has one. Best effort; a
    /// claim left behind makes later retries of the key `unknown`.
    bool release_claim = false;
    /// A target may still be running an attempt.
    bool may_still_run = false;
};

/// See the head of this file.
class request_machine
{
public:
    request_machine(request_traits traits, machine_options options);

    /// What to do now; the same until on_event() changes it.
    const action& next() const { return next_; }

    request_state state() const { return state_; }

    /// Reports what came of next(), or one of caller_left, deadline_passed
    /// and shutdown, which may come at any time. `random` spreads the
    /// backoff. Fails with `invalid`, changing nothing, on an event that
    /// doesn't belong to next().
    status on_event(const event& it, random_source& random);

    /// Precondition: next().kind == action_kind::conclude.
    const conclusion& end() const;

private:
    // Invariants:
    //  - attempt_ counts dispatch actions handed out; never above the cap.
    //  - in_flight_ is true from a dispatch until its end is known, and
    //    while it is, may_have_run_ counts it.
    //  - open_ counts attempts that may still be running at a target we no
    //    longer listen to.
    //  - offset_ and relayed_ never shrink.
    void go(action_kind kind);
    void interrupt(event_kind kind);
    bool on_reserve(const event& it);
    bool on_claim(const event& it);
    bool on_check_suspect(const event& it);
    bool on_choose_target(const event& it);
    bool on_attempt(const event& it);
    bool on_ask_retry(const event& it, random_source& random);
    bool on_pause(const event& it);
    bool on_cancel(const event& it);
    void begin_attempt(const target_id& target);
    void attempt_taken_back(duration retry_after);
    void attempt_lost(event_kind how);
    void try_again();
    void stop(reply_code why);
    void refuse(reply_code why, duration retry_after);
    void answer(const event& it);
    void conclude(outcome result, reply_code why, bill charge,
                  duration retry_after);
    bill settle(tokens total) const;
    bill release() const;
    bill bill_of_unknown() const;
    tokens delivered() const;

    request_traits traits_;
    machine_options options_;
    request_state state_ = request_state::received;
    action next_;
    conclusion end_;
    target_id target_;
    target_id prefer_;
    target_id only_;
    reply_code cancel_code_ = reply_code::caller_left;
    reply_code last_failure_ = reply_code::target_refused;
    duration refusal_retry_after_{0};
    duration suspect_waited_{0};
    std::uint64_t offset_ = 0;
    tokens relayed_;
    int attempt_ = 0;
    int may_have_run_ = 0;
    int open_ = 0;
    bool reserved_ = false;
    bool claim_tried_ = false;
    bool claimed_ = false;
    bool in_flight_ = false;
    bool alone_ = false;
};

} // namespace fennelladder::request

#endif
