// request_machine decides; this file does what it says and reports what came
// of it. One loop, one action after the other, on one thread.

#include "request_runner.hpp"

#include "fennelladder/base/hash.hpp"

#include <algorithm>

namespace fennelladder::node {

namespace {

constexpr duration alone_wait = seconds(5);
constexpr duration short_budget_retry = seconds(1);

using request::action_kind;
using request::bill_kind;
using target::dispatch_outcome;

std::uint32_t to_count(tokens amount)
{
    return static_cast<std::uint32_t>(
        std::max<std::int64_t>(amount.count(), 0));
}

budget::bill_outcome bill_outcome_of(request::outcome value)
{
    switch (value) {
    case request::outcome::answered:
        return budget::bill_outcome::answered;
    case request::outcome::not_run:
        return budget::bill_outcome::not_run;
    case request::outcome::unknown:
        return budget::bill_outcome::failed;
    }
    return budget::bill_outcome::unknown;
}

std::optional<request::outcome>
outcome_of(const std::optional<budget::key_record>& recorded)
{
    if (!recorded || !recorded->billed)
        return {};
    if (recorded->outcome == budget::bill_outcome::answered)
        return request::outcome::answered;
    if (recorded->outcome == budget::bill_outcome::not_run)
        return request::outcome::not_run;
    return request::outcome::unknown;
}

} // namespace

request_run::request_run(const run_tools& tools, const runnable& what,
                         const request::admission& admitted, text_receiver send)
    : tools_(tools), what_(what), stream_(admitted.stream),
      send_(std::move(send)), machine_(what.traits, {}),
      random_(hash64(what.head.key.str(), tools.options.seed))
{}

void request_run::report(const event& it)
{
    // The machine refuses an event that doesn't belong to its action; the
    // only such race is a wish to stop that comes when all is over.
    [[maybe_unused]] const auto ok = machine_.on_event(it, random_);
}

request::outcome_reply request_run::run()
{
    while (machine_.next().kind != action_kind::conclude) {
        if (must_stop())
            continue;
        const request::action todo = machine_.next();
        report(perform(todo));
    }
    request::conclusion end = machine_.end();
    if (permitted_) {
        const bool answered = end.reply.result == request::outcome::answered;
        tools_.suspects.ended(permit_.run,
                              answered ? request::run_end::answered
                                       : request::run_end::stopped,
                              tools_.time.now());
    }
    if (end.reply.result == request::outcome::answered) {
        tools_.retries.on_success();
        end.reply.digest = digest_.text();
    }
    settle(end);
    tools_.table.finish(what_.head.team, what_.head.key, end,
                        tools_.time.now());
    return end.reply;
}

// Between two actions nothing runs at a target, so a wish to stop needs no
// cancellation there.
bool request_run::must_stop()
{
    if (left_ && stream_->close_if_abandoned()) {
        left_ = false;
        report({.kind = event_kind::caller_left});
        return true;
    }
    if (tools_.time.now() > what_.deadline) {
        report({.kind = event_kind::deadline_passed});
        return true;
    }
    return false;
}

request_run::event request_run::perform(const request::action& what)
{
    switch (what.kind) {
    case action_kind::reserve:
        return reserve(what.amount);
    case action_kind::claim:
        return claim();
    case action_kind::check_suspect:
        return check_suspect();
    case action_kind::choose_target:
        return choose_target(what);
    case action_kind::dispatch:
        return dispatch(what);
    case action_kind::ask_retry:
        return {.kind = tools_.retries.take(tools_.time.now())
                            ? event_kind::retry_granted
                            : event_kind::retry_denied};
    case action_kind::pause:
        std::this_thread::sleep_for(what.wait);
        return {.kind = event_kind::waited};
    case action_kind::cancel:
        // A connection that is closed cancels its run: that is the engines'
        // protocol. What they had made beyond the text relayed isn't billed.
        return {.kind = what_.is_call ? event_kind::cancel_failed
                                      : event_kind::cancel_confirmed,
                .output = relayed_};
    case action_kind::read:
    case action_kind::conclude:
        break;
    }
    // The streams of this node are read within dispatch().
    return {.kind = event_kind::connection_lost};
}

request_run::event request_run::reserve(tokens amount)
{
    auto held = tools_.ledger.reserve(what_.head.budget, amount);
    if (!held)
        return {.kind = event_kind::reserve_refused,
                .retry_after = short_budget_retry};
    held_ = std::move(*held);
    return {.kind = event_kind::reserved};
}

request_run::event request_run::claim()
{
    const claim_answer made =
        tools_.ledger.claim(what_.head.team, what_.head.key);
    switch (made.what) {
    case claim_answer::kind::claimed:
        return {.kind = event_kind::claimed};
    case claim_answer::kind::lost:
        return {.kind = event_kind::claim_lost,
                .known = outcome_of(made.recorded),
                .owner = made.owner};
    case claim_answer::kind::failed:
        break;
    }
    return {.kind = event_kind::claim_failed};
}

request_run::event request_run::check_suspect()
{
    const auto marks =
        request::marks_of(what_.head.team, what_.head.key, what_.model,
                          what_.is_call ? what_.body : what_.prompt);
    permit_ = tools_.suspects.begin(marks, tools_.time.now());
    switch (permit_.verdict) {
    case request::run_verdict::free:
        permitted_ = true;
        return {.kind = event_kind::suspect_free};
    case request::run_verdict::alone:
        permitted_ = true;
        return {.kind = event_kind::suspect_alone};
    case request::run_verdict::same_target:
        permitted_ = true;
        return {.kind = event_kind::suspect_same_target,
                .target = permit_.target};
    case request::run_verdict::wait:
        return {.kind = event_kind::suspect_wait,
                .retry_after = permit_.retry_after};
    case request::run_verdict::elsewhere:
        return {.kind = event_kind::suspect_elsewhere,
                .retry_after = permit_.retry_after,
                .owner = permit_.owner};
    case request::run_verdict::refused:
        break;
    }
    return {.kind = event_kind::suspect_refused};
}

request_run::event request_run::choose_target(const request::action& what)
{
    if (!what.only.empty()) {
        granted_ = false;
        return {.kind = event_kind::target_chosen, .target = what.only};
    }
    routing::route_request wanted = what_.route;
    wanted.deadline = what_.deadline;
    wanted.avoid = avoid_;
    const auto chosen = tools_.routes.admit(wanted);
    if (chosen.state != routing::admission_state::granted)
        return {.kind = event_kind::no_target,
                .retry_after = chosen.retry_after};
    ticket_ = chosen.ticket;
    granted_ = true;
    return {.kind = event_kind::target_chosen, .target = chosen.target};
}

void request_run::give_back_target(routing::attempt_outcome how)
{
    if (!granted_)
        return;
    granted_ = false;
    tools_.routes.finished(ticket_, {.outcome = how,
                                     .first_token = first_token_,
                                     .output_tokens = to_count(relayed_)});
}

request_run::event request_run::dispatch(const request::action& what)
{
    const target_pointer at = tools_.targets.find(what.target);
    if (!at) {
        give_back_target(routing::attempt_outcome::failed);
        return {.kind = event_kind::not_sent};
    }
    if (!target_service::enter(*at, what.alone, alone_wait)) {
        give_back_target(routing::attempt_outcome::canceled);
        return {.kind = event_kind::not_sent};
    }
    request::target_life life;
    {
        const std::lock_guard lock(at->mutex);
        life = at->life;
    }
    if (permitted_)
        tools_.suspects.placed(permit_.run, what.target, life);
    dispatched_at_ = tools_.time.now();
    first_token_ = duration(0);
    history::record(tools_.options.history, dispatched_at_,
                    history::node_id(tools_.self.str()),
                    history::dispatched{
                        what_.head.request,
                        history::global_key(what_.head.team, what_.head.key),
                        what.target, static_cast<std::uint64_t>(what.attempt)});
    target_pointer now_at = at;
    event came = what_.is_call ? call(what, *now_at) : complete(what, now_at);
    if (now_at)
        target_service::leave(*now_at, what.alone);
    return came;
}

// A stream that makes way for a more urgent request closes its connection,
// which cancels its run, and waits for its turn; then it goes on after what
// was relayed, wherever there is room. False: its deadline can't be met any
// more, and `at` is empty.
bool request_run::make_way(target_pointer& at)
{
    target_service::leave(*at, false);
    at = nullptr;
    const auto again = tools_.routes.preempted(ticket_, to_count(relayed_));
    granted_ = again.state == routing::admission_state::granted;
    if (!granted_)
        return false;
    at = tools_.targets.find(again.target);
    if (!at || !target_service::enter(*at, false, alone_wait)) {
        at = nullptr;
        give_back_target(routing::attempt_outcome::canceled);
        return false;
    }
    request::target_life life;
    {
        const std::lock_guard lock(at->mutex);
        life = at->life;
    }
    if (permitted_)
        tools_.suspects.placed(permit_.run, again.target, life);
    return true;
}

void request_run::relay(std::string_view text, tokens output)
{
    if (first_token_ == duration(0))
        first_token_ = tools_.time.now() - dispatched_at_;
    relayed_ += output;
    digest_.add(text);
    stream_->append(text);
    report({.kind = event_kind::chunk, .bytes = text.size(), .output = output});
    if (sending_ && !send_(text)) {
        sending_ = false;
        left_ = true;
        stream_->leave();
    }
}

request_run::event request_run::complete(const request::action& what,
                                         target_pointer& at)
{
    const std::string id = what_.head.team.str() + "/" + what_.head.key.str() +
                           "/" + std::to_string(what.attempt);
    target::completion ask;
    ask.id = request_id(id);
    ask.key = history::global_key(what_.head.team, what_.head.key);
    ask.attempt = static_cast<std::uint32_t>(what.attempt);
    ask.model = what_.model;
    ask.version = what_.version;
    ask.adapter = what_.adapter;
    ask.prompt = what_.prompt;
    ask.max_tokens = to_count(what_.traits.max_output);
    ask.priority = what_.route.rank;
    ask.resume_offset = to_count(relayed_);
    request::event_kind stopped = event_kind::connection_lost;
    bool way = false;
    const auto must_end = [&] {
        if (tools_.time.now() > what_.deadline)
            stopped = event_kind::deadline_passed;
        else if (left_ && stream_->close_if_abandoned())
            stopped = event_kind::caller_left;
        else
            way = granted_ && !what.alone &&
                  tools_.routes.preempt_requested(ticket_);
        return way || stopped != event_kind::connection_lost;
    };
    const auto pass_on = [&](const target::chunk& it) {
        relay(it.text, tokens(it.tokens));
        return true;
    };
    auto end = at->client->complete(ask, pass_on, must_end);
    for (int turn = 1; end.canceled && way; ++turn) {
        way = false;
        if (!make_way(at))
            return {.kind = event_kind::deadline_passed};
        ask.id = request_id(id + "-" + std::to_string(turn));
        ask.resume_offset = to_count(relayed_);
        end = at->client->complete(ask, pass_on, must_end);
    }
    if (end.canceled) {
        give_back_target(routing::attempt_outcome::canceled);
        left_ = false;
        return {.kind = stopped};
    }
    if (end.outcome == dispatch_outcome::ran) {
        result_.usage = {.prompt = end.prompt_tokens,
                         .output = end.next_offset};
        if (granted_) {
            granted_ = false;
            tools_.routes.finished(
                ticket_, {.outcome = routing::attempt_outcome::answered,
                          .first_token = first_token_,
                          .output_tokens = end.next_offset,
                          .cached_tokens = end.cached_tokens,
                          .cached_known = end.cached_known});
        }
        return {.kind = event_kind::completed,
                .output = tokens(end.next_offset),
                .prompt = tokens(end.prompt_tokens)};
    }
    return ended(end.outcome, end.silent, end.retry_after, *at);
}

request_run::event request_run::call(const request::action& what,
                                     known_target& at)
{
    target::service_call ask;
    ask.id = request_id(what_.head.team.str() + "/" + what_.head.key.str() +
                        "/" + std::to_string(what.attempt));
    ask.key = history::global_key(what_.head.team, what_.head.key);
    ask.attempt = static_cast<std::uint32_t>(what.attempt);
    ask.name = what_.call;
    ask.body = what_.body;
    ask.priority = what_.route.rank;
    ask.repeatable = what_.traits.idempotent;
    const auto end = at.client->call(
        ask, [&] { return tools_.time.now() > what_.deadline; });
    if (end.canceled) {
        give_back_target(routing::attempt_outcome::canceled);
        return {.kind = event_kind::deadline_passed};
    }
    if (end.outcome == dispatch_outcome::ran) {
        give_back_target(routing::attempt_outcome::answered);
        result_.status = end.status;
        result_.content_type = end.content_type;
        relay(end.body, what_.cost);
        return {.kind = event_kind::completed,
                .output = what_.cost,
                .prompt = tokens(0)};
    }
    return ended(end.outcome, end.silent, end.retry_after, at);
}

// What a broken attempt proves. A target that a fresh connection reaches
// lives, so the run may go on there; one that it can't reach is dead, and
// whatever ran there is a suspect.
request_run::event request_run::ended(dispatch_outcome outcome, bool silent,
                                      duration retry_after, known_target& at)
{
    give_back_target(routing::attempt_outcome::failed);
    if (outcome == dispatch_outcome::never_dispatched) {
        avoid_.push_back(at.config.id);
        return {.kind = event_kind::not_sent};
    }
    if (outcome == dispatch_outcome::rejected_before_run) {
        avoid_.push_back(at.config.id);
        return {.kind = event_kind::refused, .retry_after = retry_after};
    }
    if (permitted_) {
        tools_.suspects.ended(permit_.run, request::run_end::lost,
                              tools_.time.now());
        permitted_ = false;
    }
    if (tools_.targets.probe(at))
        return {.kind = silent ? event_kind::target_silent
                               : event_kind::connection_lost};
    avoid_.push_back(at.config.id);
    // Before the caller hears of it: it may send the request to another node
    // at once, and that node must know by then.
    tools_.tell_suspects();
    return {.kind = event_kind::target_died};
}

void request_run::settle(const request::conclusion& end)
{
    switch (end.charge.kind) {
    case bill_kind::none:
        return;
    case bill_kind::release:
        tools_.ledger.cancel(std::move(held_));
        return;
    case bill_kind::hold:
        tools_.ledger.hold(std::move(held_));
        return;
    case bill_kind::settle:
        break;
    }
    budget::bill charge;
    charge.team = what_.head.team;
    charge.key = what_.head.key;
    charge.keyed = what_.arrival.binding != request::key_binding::made_here;
    charge.budget = what_.head.budget;
    charge.amount = end.charge.total;
    charge.outcome = bill_outcome_of(end.reply.result);
    charge.at = tools_.time.now();
    if (!what_.traits.idempotent) {
        // The stream isn't finished yet, but all of its text is there.
        auto kept = stream_->read(0, duration(0));
        if (!kept.overflowed && kept.text.size() <= budget::max_answer_bytes)
            charge.answer = std::move(kept.text);
    }
    tools_.ledger.finish(std::move(held_), std::move(charge));
}

} // namespace fennelladder::node
