// Each action has one function that takes the events it may be answered with;
// interrupt() takes the three events that may come at any time. All of them
// end in go(), which names the next action, or in conclude(). Every step is
// O(1), and a request takes at most a fixed number of them beside its chunks:
// the attempt cap bounds the dispatches and the wait limit the pauses.

#include "fennelladder/request/request_machine.hpp"

#include <algorithm>
#include <array>
#include <cassert>
#include <utility>

namespace fennelladder::request {

namespace {

constexpr auto state_names = std::to_array<std::string_view>(
    {"received", "reserved", "claimed", "dispatched", "streaming", "ended"});

constexpr auto event_names =
    std::to_array<std::string_view>({"reserved",
                                     "reserve_refused",
                                     "claimed",
                                     "claim_lost",
                                     "claim_failed",
                                     "suspect_free",
                                     "suspect_alone",
                                     "suspect_wait",
                                     "suspect_same_target",
                                     "suspect_elsewhere",
                                     "suspect_refused",
                                     "target_chosen",
                                     "no_target",
                                     "refused",
                                     "not_sent",
                                     "chunk",
                                     "completed",
                                     "connection_lost",
                                     "target_silent",
                                     "target_died",
                                     "retry_granted",
                                     "retry_denied",
                                     "waited",
                                     "cancel_confirmed",
                                     "cancel_failed",
                                     "caller_left",
                                     "deadline_passed",
                                     "shutdown"});

static_assert(event_names.size() ==
              static_cast<std::size_t>(event_kind::shutdown) + 1);

constexpr auto bill_names =
    std::to_array<std::string_view>({"none", "release", "settle", "hold"});

bool is_final(reply_code code)
{
    return code == reply_code::ok || code == reply_code::answered_before ||
           code == reply_code::ran_and_failed || code == reply_code::key_reused;
}

bool is_interrupt(event_kind kind)
{
    return kind == event_kind::caller_left ||
           kind == event_kind::deadline_passed || kind == event_kind::shutdown;
}

} // namespace

std::string_view to_string(request_state value)
{
    return state_names.at(static_cast<std::size_t>(value));
}

std::string_view to_string(event_kind value)
{
    return event_names.at(static_cast<std::size_t>(value));
}

std::string_view to_string(bill_kind value)
{
    return bill_names.at(static_cast<std::size_t>(value));
}

request_machine::request_machine(request_traits traits, machine_options options)
    : traits_(std::move(traits)), options_(options)
{
    go(action_kind::reserve);
    next_.amount = traits_.prompt + traits_.max_output;
}

const conclusion& request_machine::end() const
{
    assert(next_.kind == action_kind::conclude);
    return end_;
}

status request_machine::on_event(const event& it, random_source& random)
{
    if (state_ == request_state::ended)
        return is_interrupt(it.kind)
                   ? status()
                   : fail(error_code::invalid, "the request has ended");
    if (is_interrupt(it.kind)) {
        interrupt(it.kind);
        return {};
    }
    bool taken = false;
    switch (next_.kind) {
    case action_kind::reserve:
        taken = on_reserve(it);
        break;
    case action_kind::claim:
        taken = on_claim(it);
        break;
    case action_kind::check_suspect:
        taken = on_check_suspect(it);
        break;
    case action_kind::choose_target:
        taken = on_choose_target(it);
        break;
    case action_kind::dispatch:
    case action_kind::read:
        taken = on_attempt(it);
        break;
    case action_kind::ask_retry:
        taken = on_ask_retry(it, random);
        break;
    case action_kind::pause:
        taken = on_pause(it);
        break;
    case action_kind::cancel:
        taken = on_cancel(it);
        break;
    case action_kind::conclude:
        break;
    }
    if (taken)
        return {};
    return fail(error_code::invalid,
                "event " + std::string(to_string(it.kind)) + " in state " +
                    std::string(to_string(state_)));
}

void request_machine::go(action_kind kind)
{
    next_ = action{};
    next_.kind = kind;
    next_.attempt = attempt_;
    next_.target = target_;
    next_.prefer = prefer_;
    next_.only = only_;
    next_.alone = alone_;
    next_.offset = offset_;
    next_.relayed = relayed_;
}

bool request_machine::on_reserve(const event& it)
{
    if (it.kind == event_kind::reserve_refused) {
        refuse(reply_code::budget_exhausted, it.retry_after);
        return true;
    }
    if (it.kind != event_kind::reserved)
        return false;
    reserved_ = true;
    state_ = request_state::reserved;
    claim_tried_ = traits_.claim_first;
    go(claim_tried_ ? action_kind::claim : action_kind::check_suspect);
    return true;
}

bool request_machine::on_claim(const event& it)
{
    switch (it.kind) {
    case event_kind::claimed:
        // The journal lets one node through per key, so from here on nobody
        // else can have run it: that is the proof a later refusal needs.
        claimed_ = true;
        traits_.first_arrival = true;
        state_ = request_state::claimed;
        go(action_kind::check_suspect);
        return true;
    case event_kind::claim_lost:
        claim_tried_ = false;
        conclude(it.known.value_or(outcome::unknown),
                 reply_code::claimed_elsewhere, release(), it.retry_after);
        if (!it.owner.empty())
            end_.reply.origin = it.owner;
        return true;
    case event_kind::claim_failed:
        refuse(reply_code::store_unavailable, it.retry_after);
        return true;
    default:
        return false;
    }
}

bool request_machine::on_check_suspect(const event& it)
{
    switch (it.kind) {
    case event_kind::suspect_free:
    case event_kind::suspect_alone:
    case event_kind::suspect_same_target:
        only_ = it.target;
        alone_ = it.kind == event_kind::suspect_alone;
        go(action_kind::choose_target);
        return true;
    case event_kind::suspect_wait: {
        const duration wait = std::max(it.retry_after, options_.first_backoff);
        suspect_waited_ += wait;
        if (suspect_waited_ > options_.suspect_wait_limit) {
            refuse(reply_code::suspected, it.retry_after);
            return true;
        }
        go(action_kind::pause);
        next_.wait = wait;
        return true;
    }
    case event_kind::suspect_elsewhere:
        refuse(reply_code::suspected, it.retry_after);
        end_.reply.origin = it.owner;
        return true;
    case event_kind::suspect_refused:
        // Never `not_run`: a copy of it has killed two targets, and a node
        // that only heard of it can't tell under which key.
        conclude(outcome::unknown, reply_code::ran_and_failed,
                 bill_of_unknown(), duration(0));
        return true;
    default:
        return false;
    }
}

bool request_machine::on_choose_target(const event& it)
{
    if (it.kind == event_kind::no_target) {
        refuse(reply_code::overloaded, it.retry_after);
        return true;
    }
    if (it.kind != event_kind::target_chosen)
        return false;
    begin_attempt(it.target);
    return true;
}

void request_machine::begin_attempt(const target_id& target)
{
    assert(attempt_ < options_.attempt_cap);
    ++attempt_;
    ++may_have_run_;
    in_flight_ = true;
    target_ = target;
    if (state_ != request_state::streaming)
        state_ = request_state::dispatched;
    go(action_kind::dispatch);
}

bool request_machine::on_attempt(const event& it)
{
    switch (it.kind) {
    case event_kind::refused:
    case event_kind::not_sent:
        // Only the first word of a target can be a refusal.
        if (next_.kind != action_kind::dispatch)
            return false;
        attempt_taken_back(it.retry_after);
        return true;
    case event_kind::chunk:
        offset_ += it.bytes;
        relayed_ += it.output;
        if (offset_ > 0)
            state_ = request_state::streaming;
        go(action_kind::read);
        return true;
    case event_kind::completed:
        answer(it);
        return true;
    case event_kind::connection_lost:
    case event_kind::target_silent:
    case event_kind::target_died:
        attempt_lost(it.kind);
        return true;
    default:
        return false;
    }
}

void request_machine::attempt_taken_back(duration retry_after)
{
    in_flight_ = false;
    --may_have_run_;
    if (state_ == request_state::dispatched && may_have_run_ == 0)
        state_ = claimed_ ? request_state::claimed : request_state::reserved;
    last_failure_ = reply_code::target_refused;
    refusal_retry_after_ = retry_after;
    prefer_ = target_id();
    try_again();
}

void request_machine::attempt_lost(event_kind how)
{
    in_flight_ = false;
    // A silent or broken connection says nothing of the run behind it, but a
    // target that is known to live resumes the very run if it can.
    const bool goes_on = how == event_kind::target_silent && traits_.resumable;
    prefer_ = goes_on ? target_ : target_id();
    if (how != event_kind::target_died)
        ++open_;
    last_failure_ = reply_code::target_lost;
    if (!traits_.idempotent) {
        refuse(reply_code::target_lost, duration(0));
        return;
    }
    if (offset_ > 0 && !traits_.resumable) {
        refuse(reply_code::stream_cut, duration(0));
        return;
    }
    try_again();
}

void request_machine::try_again()
{
    if (attempt_ >= options_.attempt_cap) {
        refuse(last_failure_, refusal_retry_after_);
        return;
    }
    go(action_kind::ask_retry);
}

bool request_machine::on_ask_retry(const event& it, random_source& random)
{
    if (it.kind == event_kind::retry_denied) {
        refuse(last_failure_, refusal_retry_after_);
        return true;
    }
    if (it.kind != event_kind::retry_granted)
        return false;
    if (!prefer_.empty()) {
        // The target works and holds the run: no reason to wait.
        go(action_kind::check_suspect);
        return true;
    }
    go(action_kind::pause);
    next_.wait = backoff(random, attempt_ - 1, options_.first_backoff,
                         options_.backoff_limit);
    return true;
}

bool request_machine::on_pause(const event& it)
{
    if (it.kind != event_kind::waited)
        return false;
    go(action_kind::check_suspect);
    return true;
}

void request_machine::stop(reply_code why)
{
    cancel_code_ = why;
    go(action_kind::cancel);
}

bool request_machine::on_cancel(const event& it)
{
    switch (it.kind) {
    case event_kind::cancel_confirmed:
    case event_kind::target_died: {
        in_flight_ = false;
        const tokens output = std::max(it.output, relayed_);
        const bill charge =
            open_ == 0 ? settle(traits_.prompt + output) : bill_of_unknown();
        conclude(outcome::unknown, cancel_code_, charge, duration(0));
        return true;
    }
    case event_kind::completed:
        // The last chunk overtook the order to stop: the answer is whole.
        answer(it);
        return true;
    case event_kind::chunk:
        return true; // nobody is left to relay it to
    case event_kind::not_sent:
        // The wish to stop came between `dispatch` and its first byte.
        in_flight_ = false;
        --may_have_run_;
        refuse(cancel_code_, duration(0));
        return true;
    case event_kind::cancel_failed:
    case event_kind::connection_lost:
    case event_kind::target_silent:
        in_flight_ = false;
        ++open_;
        conclude(outcome::unknown, cancel_code_, bill_of_unknown(),
                 duration(0));
        return true;
    default:
        return false;
    }
}

void request_machine::interrupt(event_kind kind)
{
    if (next_.kind == action_kind::cancel)
        return;
    const bool begun = may_have_run_ > 0;
    if (kind == event_kind::shutdown) {
        // What runs, or ran in part, is finished before the node leaves.
        if (!begun)
            refuse(reply_code::shutting_down, duration(0));
        return;
    }
    const reply_code why = kind == event_kind::caller_left
                               ? reply_code::caller_left
                               : reply_code::deadline_passed;
    if (in_flight_ && traits_.idempotent && traits_.cancelable) {
        stop(why);
        return;
    }
    // A run that can't be stopped, or must not run twice, goes on for the
    // caller's retry, which finds its answer under the key.
    if (in_flight_ && kind == event_kind::caller_left)
        return;
    if (in_flight_) {
        in_flight_ = false;
        ++open_;
    }
    refuse(why, duration(0));
}

void request_machine::refuse(reply_code why, duration retry_after)
{
    const bool proved = may_have_run_ == 0 && traits_.first_arrival;
    if (retry_after == duration(0) && why != reply_code::shutting_down)
        retry_after = options_.default_retry_after;
    const bill charge = may_have_run_ == 0 ? release() : bill_of_unknown();
    conclude(proved ? outcome::not_run : outcome::unknown, why, charge,
             retry_after);
}

void request_machine::answer(const event& it)
{
    in_flight_ = false;
    const tokens total =
        it.prompt.value_or(traits_.prompt) + std::max(it.output, relayed_);
    conclude(outcome::answered, reply_code::ok, settle(total), duration(0));
}

bill request_machine::settle(tokens total) const
{
    const tokens worst = traits_.prompt + traits_.max_output;
    // A target that overruns its limit must not take the team over its
    // budget: what was not reserved is not billed.
    return {bill_kind::settle, worst,
            std::max(std::min(total, worst), traits_.billed_before)};
}

bill request_machine::release() const
{
    if (!reserved_)
        return {bill_kind::none, tokens(), traits_.billed_before};
    return {bill_kind::release, traits_.prompt + traits_.max_output,
            traits_.billed_before};
}

tokens request_machine::delivered() const
{
    return offset_ > 0 ? traits_.prompt + relayed_ : tokens();
}

bill request_machine::bill_of_unknown() const
{
    if (may_have_run_ == 0)
        return release();
    bill charge = settle(delivered());
    if (open_ > 0 || !traits_.idempotent)
        charge.kind = bill_kind::hold;
    // A bill over nothing would be the key's one bill, and the whole answer
    // that a retry gets would be free.
    else if (delivered() == tokens())
        return release();
    return charge;
}

void request_machine::conclude(outcome result, reply_code why, bill charge,
                               duration retry_after)
{
    assert(result != outcome::not_run || may_have_run_ == 0);
    assert(charge.kind != bill_kind::settle ||
           charge.total <= charge.reserved ||
           charge.total == traits_.billed_before);
    end_.reply.result = result;
    end_.reply.code = why;
    end_.reply.retry_after = retry_after;
    end_.reply.retry_useful = !is_final(why);
    end_.reply.key = traits_.key;
    end_.reply.origin = traits_.self;
    end_.reply.billed = charge.total;
    end_.charge = charge;
    end_.attempts = attempt_;
    end_.may_have_run = may_have_run_ > 0;
    end_.record = !traits_.idempotent && may_have_run_ > 0;
    assert(!end_.record || charge.kind >= bill_kind::settle);
    end_.release_claim = claim_tried_ && may_have_run_ == 0;
    end_.may_still_run = open_ > 0;
    state_ = request_state::ended;
    go(action_kind::conclude);
}

} // namespace fennelladder::request
