// The part of request_run that ends a request: its final answer, the tokens
// that it used, and its last log line.

#include "fennelladder/telemetry/log.hpp"
#include "request_run.hpp"

#include <algorithm>
#include <cmath>

namespace fennelladder::edge {

namespace {

using dispatch::attempt_end;
using dispatch::next_action;
using telemetry::log_event;
namespace event = telemetry::event;

/// How the last attempt ended, or why there was none, for logs and responses.
std::string outcome_reason(const attempt_outcome& last)
{
    const std::string ended(to_string(last.ended));
    return last.detail.empty() ? ended : ended + ": " + last.detail;
}

std::string version_text(const node_tables& tables)
{
    return tables.config ? std::to_string(tables.config->version().value())
                         : "none";
}

} // namespace

std::string shortened(const std::string& text)
{
    constexpr std::size_t max_logged_bytes = 64;
    return text.substr(0, max_logged_bytes);
}

void request_run::settle()
{
    if (!reserved_)
        return;
    if (prompt_may_have_been_read_) {
        const std::int64_t tokens_per_event =
            engine_ ? engine_->tokens_per_event : 1;
        const auto events = static_cast<std::int64_t>(events_.events());
        // Charge one event more than was received: it may have been in transit.
        used_ =
            std::min(*reserved_, *request_.header_values.prompt_size +
                                     tokens((events + 1) * tokens_per_event));
    }
    driver_.allocator_.settle(team_->id, *reserved_, used_);
    reserved_.reset();
}

void request_run::abandon()
{
    if (reserved_) {
        used_ = *reserved_;
        driver_.allocator_.settle(team_->id, *reserved_, used_);
        reserved_.reset();
    }
    if (permit_.leased)
        driver_.quarantine_.release(permit_, duration(0));
    permit_.leased = false;
}

void request_run::log_end(int number, std::string_view outcome,
                          std::string_view reason)
{
    const duration took = tables_.now() - request_.arrived;
    log_event(
        number,
        {{"id", request_.header_values.id},
         {"outcome", std::string(outcome)},
         {"reason", std::string(reason)},
         {"route", route_ ? route_->id.str() : ""},
         {"team", team_ ? team_->id.str() : ""},
         {"target", last_target_.str()},
         {"version", last_version_.str()},
         {"list", to_string(last_list_)},
         {"resumes", shortened(request_.header_values.resumes)},
         {"resume_after", shortened(request_.header_values.resume_after)},
         {"relay", last_relay_.str()},
         {"ms", milliseconds_text(took)},
         {"sent_ms", last_sent_at_
                         ? milliseconds_text(*last_sent_at_ - request_.arrived)
                         : ""},
         {"lag_ms", milliseconds_text(tables_.lag.at(tables_.now()))},
         {"busy_permille",
          std::to_string(std::llround(
              tables_.admission.busy_share(tables_.now()) * 1000))},
         {"backlog_ms",
          milliseconds_text(tables_.admission.standing_backlog())},
         {"caller_end", disconnect_reason(cancellation_->caller_disconnect())},
         {"sends", std::to_string(state_.sent)},
         {"may_have_run", std::to_string(state_.may_have_run)},
         {"rejections", std::to_string(state_.rejections)},
         {"events", std::to_string(events_.events())},
         {"framing", std::string(to_string(last_framing_))},
         {"unfinished_bytes", std::to_string(events_.incomplete().size())},
         {"generation", version_text(tables_)},
         {"targets_as_of", std::to_string(tables_.targets.as_of().value())},
         {"tokens_wanted", std::to_string(max_cost().count())},
         {"tokens_used", std::to_string(used_.count())},
         {"tokens_free",
          team_ ? std::to_string(
                      tables_.token_balances.free_of(team_->id).count())
                : ""},
         {"platform", tables_.platform.reached ? "reached" : "out"}});
    tables_.metrics
        .counter_of("fennelladder_requests_total",
                    {{"outcome", std::string(outcome)}})
        .add();
    tables_.metrics.summary_of("fennelladder_request_seconds")
        .observe(to_seconds(took));
}

/// Logs what is known of the mark that keeps the request from its targets, or
/// lets it run alone. `giver` decided; empty if no other node was asked.
void request_run::log_quarantine(const dispatch::quarantine::worst_mark& worst,
                                 std::string_view decision,
                                 const host_id& giver)
{
    const instant now = tables_.now();
    const std::string level(to_string(worst.state.level));
    const std::vector<dispatch::crash_mark> one{worst.mark};
    dispatch::crash_record record;
    for (const auto& it : tables_.quarantine.records_of(one, now))
        record = it;
    const bool condemned = worst.state.level == dispatch::suspicion::condemned;
    log_event(event::request_suspected,
              {{"id", request_.header_values.id},
               {"decision", std::string(decision)},
               {"mark", worst.mark.text()},
               {"level", level},
               {"deaths", std::to_string(worst.state.deaths)},
               {"rounds", std::to_string(worst.state.rounds)},
               {"targets", targets_text(record)},
               {"last_answer_ms", last_answer_text(record)},
               {"trial_in_ms",
                condemned ? milliseconds_text(worst.state.next_run - now) : ""},
               {"giver", giver.str()}});
    tables_.metrics
        .counter_of("fennelladder_quarantine_decisions_total",
                    {{"decision", std::string(decision)}, {"level", level}})
        .add();
}

awaitable<void> request_run::refuse(const refusal& why)
{
    local_response answer{why.status, request_.header_values.id,
                          why.retry_after, why.reason};
    const bool own_fault = why.status == 503 || why.status == 402;
    log_end(own_fault ? event::request_refused : event::call_rejected,
            std::to_string(why.status), why.reason);
    (void)co_await reply_.send_local(answer);
}

awaitable<void> request_run::respond(next_action action,
                                     const attempt_outcome& last)
{
    settle();
    const std::string ended(to_string(last.ended));
    local_response answer;
    answer.request = request_.header_values.id;
    switch (action) {
    case next_action::finish:
        if (last.ended == attempt_end::caller_left)
            log_end(event::caller_left, "caller_left", last.detail);
        else
            log_end(event::request_answered, "answered", "");
        if (last.ended == attempt_end::answered)
            tables_.service_times.note(route_->id,
                                       tables_.now() - request_.arrived);
        served_ = last.ended != attempt_end::caller_left;
        co_return;
    case next_action::pass_on:
        log_end(event::request_failed, "passed_on", last.detail);
        served_ = true;
        (void)co_await reply_.send_complete(last.head, last.body);
        co_return;
    case next_action::say_not_run:
        answer.status = 503;
        answer.retry_after = retry_after();
        answer.message = "not run: " + outcome_reason(last);
        log_end(event::request_refused, "not_run", outcome_reason(last));
        break;
    case next_action::say_late:
        answer.status = 504;
        answer.message = "out of time; it may have run";
        log_end(event::request_failed, "late", ended);
        break;
    case next_action::say_unknown:
        answer.status = 502;
        answer.message = "no whole answer; it may have run";
        log_end(event::request_failed, "unknown", ended);
        break;
    case next_action::cut:
    case next_action::try_other:
        log_end(event::request_failed, "cut", ended);
        co_return;
    }
    (void)co_await reply_.send_local(answer);
}

} // namespace fennelladder::edge
