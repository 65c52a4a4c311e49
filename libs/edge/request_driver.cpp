#include "fennelladder/edge/request_driver.hpp"

#include "fennelladder/base/part_of.hpp"
#include "fennelladder/telemetry/log.hpp"

#include <algorithm>

namespace fennelladder::edge {

namespace {

using dispatch::attempt_end;
using dispatch::next_action;
using telemetry::log_event;
namespace event = telemetry::event;

/// While a node knows no configuration yet.
constexpr duration come_back_at_start = milliseconds(500);
/// A request that kills targets is not wanted back soon.
constexpr duration come_back_poison = seconds(5);

/// Callers who are to come back at the end of a rest are spread over this part
/// of what is left of it, at least over come_back.
constexpr double come_back_spread = 0.5;

/// A request waits at least this long for tokens: two rounds among peers.
constexpr duration least_token_wait = milliseconds(30);

/// What may be sent again uses kept connections that rested up to this long;
/// what may run once only those on which the target can hardly have given up
/// meanwhile.
constexpr duration rest_if_repeatable = seconds(60);
constexpr duration rest_if_once = milliseconds(250);

/// Targets stop at the time they are given and say so; that answer is waited
/// for this long.
constexpr duration last_word = milliseconds(60);

/// A first byte is waited for at least this long, however short an objective.
constexpr duration least_patience = milliseconds(250);

constexpr int least_urgent = 9;

struct refusal
{
    unsigned status = 503;
    std::optional<duration> retry_after;
    const char* reason = "";
};

std::string_view path_only(std::string_view target)
{
    return target.substr(0, target.find('?'));
}

/// How the last attempt ended, or why there was none.
std::string reason_of(const attempt_outcome& last)
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

/// One request's way: what serve() knows while it lasts.
class request_run
{
public:
    request_run(request_driver& driver, const caller_request& request,
                caller_reply& reply, exchange_ptr course)
        : driver_(driver), tables_(driver.tables_), request_(request),
          reply_(reply), course_(std::move(course)), config_(tables_.config),
          queued_(tables_.queueing())
    {}

    awaitable<void> run();

private:
    std::optional<refusal> find_route();
    awaitable<std::optional<refusal>> set_aside_tokens();
    awaitable<void> attempt_until_done();
    awaitable<attempt_outcome> attempt_at(const dispatch::choice& target);
    void note_attempt(const attempt_outcome& got,
                      const dispatch::choice& target);
    void suspect(const attempt_outcome& got, const dispatch::choice& target);
    awaitable<void> conclude(next_action action, const attempt_outcome& last);
    awaitable<void> refuse(const refusal& why);
    void settle();
    void log_end(int number, std::string_view outcome, std::string_view reason);
    dispatch::work_wish wish() const;
    adapter::forwarding_headers order_for(const dispatch::choice& target) const;
    duration time_left() const;
    duration whole_time() const;
    int urgency() const;
    const service_id& pick_service();
    std::optional<dispatch::choice> choose_target();
    bool another_is_possible() const;
    bool may_give_up_silent(const dispatch::choice& silent);
    bool may_send() const;
    bool take_retry();
    std::string_view why_no_target() const;
    duration when_to_come_back();
    tokens worst_case() const;

    request_driver& driver_;
    node_tables& tables_;
    const caller_request& request_;
    caller_reply& reply_;
    exchange_ptr course_;
    std::shared_ptr<const catalog::configuration> config_;
    const duration queued_; ///< What waited on the link as it was read.
    const catalog::route* way_ = nullptr;
    const catalog::team* team_ = nullptr;
    service_id service_;
    const catalog::engine_traits* engine_ = nullptr;
    dispatch::request_mark mark_;
    std::optional<tokens> set_aside_;
    tokens used_;
    dispatch::course so_far_;
    event_splitter events_;
    std::vector<catalog::target_process> tried_;
    target_id last_target_;
    bool retry_taken_ = false;     ///< For what follows a silent attempt.
    bool prompt_was_read_ = false; ///< And a token made of it, perhaps.
    std::optional<instant> last_sent_at_;
};

duration request_run::whole_time() const
{
    duration out = way_->timeout;
    if (request_.facts.timeout)
        out = std::min(out, *request_.facts.timeout);
    return dispatch::time_at_node(out, queued_, request_.dialed);
}

duration request_run::time_left() const
{
    return request_.arrived + whole_time() - tables_.now();
}

/// A team's own goes before its route's; 0 is the most urgent.
int request_run::urgency() const
{
    const int out = team_ && team_->urgency ? *team_->urgency : way_->urgency;
    return std::clamp(out, 0, least_urgent);
}

const service_id& request_run::pick_service()
{
    double total = 0;
    for (const auto& it : way_->services)
        total += it.weight;
    double draw = tables_.random.unit() * total;
    for (const auto& it : way_->services) {
        draw -= it.weight;
        if (draw < 0)
            return it.service;
    }
    return way_->services.back().service;
}

std::optional<refusal> request_run::find_route()
{
    if (!tables_.ready() && config_ == nullptr)
        return refusal{503, come_back_at_start, "no configuration yet"};
    if (request_.facts.id.empty())
        return refusal{400, std::nullopt, "no request id"};
    const auto host = request_.fields[http::field::host];
    way_ = config_->find_route({host.data(), host.size()},
                               path_only(request_.path));
    if (way_ == nullptr || way_->services.empty())
        return refusal{404, std::nullopt, "no such route"};
    if (!way_->is_public && config_->parts().needs_keys) {
        team_ = config_->find_team_by_key(request_.facts.key);
        if (team_ == nullptr)
            return refusal{401, std::nullopt, "no valid key"};
    }
    mark_ = dispatch::mark_of(request_.method, request_.path,
                              team_ ? team_->id : team_id(), request_.body);
    if (tables_.poison.is_poison(mark_, tables_.now()))
        return refusal{503, come_back_poison, "it kills its targets"};
    service_ = pick_service();
    const catalog::service* served = config_->find_service(service_);
    if (served != nullptr && served->engine)
        engine_ = &*served->engine;
    return std::nullopt;
}

/// The most tokens that the request can cost.
tokens request_run::worst_case() const
{
    return request_.facts.prompt_size.value_or(tokens(0)) +
           request_.facts.max_output_tokens.value_or(tokens(0));
}

awaitable<std::optional<refusal>> request_run::set_aside_tokens()
{
    if (team_ == nullptr || !team_->prepaid || !request_.facts.prompt_size)
        co_return std::nullopt;
    const tokens worst = worst_case();
    const duration wait =
        std::max(part_of(way_->objective, tables_.options.requests.token_wait),
                 least_token_wait);
    const instant until = tables_.now() + wait;
    const shortage got =
        co_await driver_.desk_.obtain(team_->id, worst, urgency(), until);
    if (got == shortage::none) {
        set_aside_ = worst;
        co_return std::nullopt;
    }
    if (got == shortage::never_covered)
        co_return refusal{402, std::nullopt, "more than was prepaid"};
    const duration later =
        got == shortage::short_for_a_moment
            ? come_back
            : part_of(time_left(), tables_.options.requests.come_back);
    co_return refusal{503, later, "short of tokens"};
}

void request_run::settle()
{
    if (!set_aside_)
        return;
    if (prompt_was_read_) {
        const std::int64_t each = engine_ ? engine_->tokens_per_event : 1;
        const auto events = static_cast<std::int64_t>(events_.events());
        // One more than was seen: it may have been on its way.
        used_ = std::min(*set_aside_, *request_.facts.prompt_size +
                                          tokens((events + 1) * each));
    }
    driver_.desk_.settle(team_->id, *set_aside_, used_);
    set_aside_.reset();
}

dispatch::work_wish request_run::wish() const
{
    dispatch::work_wish out;
    out.service = service_;
    out.on_engine = engine_ != nullptr;
    out.objective = way_->objective;
    out.avoid = tried_;
    out.regions = catalog::regions_for(*way_, team_);
    for (const adapter::prompt_part& it : request_.facts.prompt)
        out.prompt.push_back({it.id, it.size});
    out.prompt_size = static_cast<std::uint32_t>(
        request_.facts.prompt_size.value_or(tokens(0)).count());
    return out;
}

adapter::forwarding_headers
request_run::order_for(const dispatch::choice& target) const
{
    adapter::forwarding_headers out;
    out.target = target.target;
    out.fetch_from = target.fetch_from;
    if (team_ != nullptr)
        out.team = team_->id;
    out.time_left = std::max(time_left(), duration(0));
    out.urgency = urgency();
    out.resume_after = events_.last_id().empty() ? request_.facts.resume_after
                                                 : events_.last_id();
    return out;
}

/// Whether giving up a silent attempt leaves a chance elsewhere.
bool request_run::another_is_possible() const
{
    return way_->repeats == catalog::repeat_rule::idempotent &&
           so_far_.may_have_run + 1 < way_->max_targets &&
           tables_.book.count(service_) > tried_.size() + 1;
}

/// Whether a silent attempt is given up. Failure it guards against: a target
/// pauses in its stream, the attempt is given up, and only then it shows that
/// no retry is left or no other target takes the rest: the caller's answer is
/// cut though its target would have gone on. So what the next attempt needs is
/// made sure of, and its retry taken, before. An answer that hasn't begun is
/// another matter: its caller is told at once that it may ask again.
bool request_run::may_give_up_silent(const dispatch::choice& silent)
{
    if (!reply_.begun())
        return true;
    dispatch::course after = so_far_;
    ++after.sent;
    ++after.may_have_run;
    after.head_passed_on = true;
    after.time_left = time_left();
    const auto step = dispatch::decide_next(after, attempt_end::silent,
                                            tables_.options.attempts);
    if (step.action != next_action::try_other || !may_send())
        return false;
    dispatch::work_wish other = wish();
    other.avoid.push_back(silent.process());
    const instant now = tables_.now();
    retry_taken_ =
        tables_.book.choose(other, now, tables_.random).has_value() &&
        take_retry();
    return retry_taken_;
}

/// One of the retries that all nodes share, for the next attempt.
bool request_run::take_retry()
{
    const bool taken = tables_.retries.take_retry(service_, tables_.now());
    tables_.metrics
        .counter_of("fennelladder_retries_total",
                    {{"service", service_.str()},
                     {"result", taken ? "taken" : "refused"}})
        .add();
    if (!taken)
        log_event(event::retries_exhausted,
                  {{"id", request_.facts.id},
                   {"service", service_.str()},
                   {"hosts", std::to_string(tables_.retries.hosts())}});
    return taken;
}

awaitable<attempt_outcome>
request_run::attempt_at(const dispatch::choice& target)
{
    const bool repeatable = way_->repeats == catalog::repeat_rule::idempotent;
    attempt_input in{.tables = tables_,
                     .course = *course_,
                     .request = request_,
                     .way = *way_,
                     .target = target,
                     .order = order_for(target),
                     .reply = reply_,
                     .events = events_};
    in.longest_rest = repeatable ? rest_if_repeatable : rest_if_once;
    // Where one kept connection had ended, others may have: what is sent once
    // more goes out on a fresh one.
    if (so_far_.sent > 0)
        in.longest_rest = duration(0);
    if (another_is_possible()) {
        in.first_byte_limit = std::max(
            part_of(way_->objective, tables_.options.requests.patience),
            least_patience);
        if (way_->streams)
            in.gap_limit = part_of(way_->pause_objective,
                                   tables_.options.requests.pause_patience);
    }
    const dispatch::work_wish wanted = wish();
    tables_.book.started(target, wanted, tables_.now());
    retry_taken_ = false;
    course_->on_silence([&] { return may_give_up_silent(target); });
    attempt_outcome got = co_await run_attempt(in);
    course_->on_silence(nullptr);
    tables_.book.finished(target, got.first_byte, got.evidence, tables_.now());
    co_return got;
}

/// Whether the target died of the request is found out elsewhere.
void request_run::suspect(const attempt_outcome& got,
                          const dispatch::choice& target)
{
    const bool whole_answer = got.ended == attempt_end::answered ||
                              got.ended == attempt_end::failed_there;
    if (!got.sent_at || whole_answer || dispatch::proved_not_run(got.ended))
        return;
    if (got.ended == attempt_end::broken)
        driver_.prober_.broke(target.process(), mark_);
    else
        driver_.prober_.left_unfinished(target.process(), mark_);
}

void request_run::note_attempt(const attempt_outcome& got,
                               const dispatch::choice& target)
{
    last_target_ = target.target;
    const bool unharmed = dispatch::proved_not_run(got.ended);
    if (got.sent_at) {
        ++so_far_.sent;
        last_sent_at_ = got.sent_at;
    }
    if (got.sent_at && !unharmed) {
        ++so_far_.may_have_run;
        prompt_was_read_ |= !got.nothing_made;
    }
    if (got.ended == attempt_end::rejected)
        ++so_far_.rejections;
    if (got.ended == attempt_end::not_connected)
        ++so_far_.failed_connects;
    suspect(got, target);
    // A target that ended a kept connection may be about to fall silent, so
    // another is better; alone in its service it is dialled anew.
    if (got.idle_race)
        tables_.pool.drop_idle({target.process(), target.address});
    if (!got.idle_race || target.candidates > 1)
        tried_.push_back(target.process());
    so_far_.head_passed_on = reply_.begun();
    so_far_.part_stands_alone |= got.part_stands_alone;
    so_far_.time_left = time_left();
}

/// Not while changes of targets are heard of too late, nor when what waits
/// ahead on the host's link takes all the time left: the target would get the
/// request after its caller has gone.
bool request_run::may_send() const
{
    return !tables_.news_are_late() && time_left() > tables_.queueing();
}

std::optional<dispatch::choice> request_run::choose_target()
{
    if (!may_send())
        return std::nullopt;
    return tables_.book.choose(wish(), tables_.now(), tables_.random);
}

std::string_view request_run::why_no_target() const
{
    if (tables_.news_are_late())
        return "news are late";
    if (!may_send())
        return "its link is full";
    return to_string(tables_.book.why_none(wish(), tables_.now()));
}

/// Callers who wait for targets to end their rest come back after its end, and
/// not all at once.
duration request_run::when_to_come_back()
{
    const auto rest = tables_.book.wait_for_rest(wish(), tables_.now());
    if (!rest)
        return come_back;
    const duration spread =
        std::max(part_of(*rest, come_back_spread), come_back);
    return *rest + part_of(spread, tables_.random.unit());
}

awaitable<void> request_run::attempt_until_done()
{
    so_far_.way = way_;
    so_far_.time_left = time_left();
    tables_.retries.count_request(service_, tables_.now());
    attempt_outcome got;
    got.ended = attempt_end::not_connected;
    for (;;) {
        const auto target = choose_target();
        if (!target) {
            got.detail = why_no_target();
            co_await conclude(dispatch::give_up(so_far_, got.ended), got);
            co_return;
        }
        got = co_await attempt_at(*target);
        note_attempt(got, *target);
        const dispatch::next_step step =
            dispatch::decide_next(so_far_, got.ended, tables_.options.attempts);
        next_action action = step.action;
        // For a caller that may have left, nothing is begun; what there is goes
        // to it, as it may have ended only its sending side.
        if (action == next_action::try_other &&
            course_->stopped() == stop_reason::caller_left)
            action = dispatch::give_up(so_far_, got.ended);
        if (action == next_action::try_other && step.uses_retry &&
            !retry_taken_ && !take_retry())
            action = dispatch::give_up(so_far_, got.ended);
        if (got.ended != attempt_end::answered &&
            got.ended != attempt_end::caller_left)
            log_event(event::attempt_ended,
                      {{"id", request_.facts.id},
                       {"target", target->target.str()},
                       {"address", target->address},
                       {"ended", std::string(to_string(got.ended))},
                       {"detail", got.detail},
                       {"running", std::to_string(target->running)},
                       {"candidates", std::to_string(target->candidates)},
                       {"left_ms", milliseconds_text(so_far_.time_left)},
                       {"next", std::string(to_string(action))}});
        if (action != next_action::try_other) {
            co_await conclude(action, got);
            co_return;
        }
    }
}

void request_run::log_end(int number, std::string_view outcome,
                          std::string_view reason)
{
    const duration took = tables_.now() - request_.arrived;
    log_event(
        number,
        {{"id", request_.facts.id},
         {"outcome", std::string(outcome)},
         {"reason", std::string(reason)},
         {"route", way_ ? way_->id.str() : ""},
         {"team", team_ ? team_->id.str() : ""},
         {"target", last_target_.str()},
         {"ms", milliseconds_text(took)},
         {"sent_ms", last_sent_at_
                         ? milliseconds_text(*last_sent_at_ - request_.arrived)
                         : ""},
         {"lag_ms", milliseconds_text(tables_.lag.at(tables_.now()))},
         {"caller_end", end_text(course_->caller_end())},
         {"sends", std::to_string(so_far_.sent)},
         {"may_have_run", std::to_string(so_far_.may_have_run)},
         {"rejections", std::to_string(so_far_.rejections)},
         {"events", std::to_string(events_.events())},
         {"generation", version_text(tables_)},
         {"targets_as_of", std::to_string(tables_.targets.as_of().value())},
         {"tokens_wanted", std::to_string(worst_case().count())},
         {"tokens_used", std::to_string(used_.count())},
         {"tokens_free",
          team_ ? std::to_string(tables_.purse.free_of(team_->id).count())
                : ""},
         {"platform", tables_.contact.reached ? "reached" : "out"}});
    tables_.metrics
        .counter_of("fennelladder_requests_total",
                    {{"outcome", std::string(outcome)}})
        .add();
    tables_.metrics.summary_of("fennelladder_request_seconds")
        .observe(to_seconds(took));
}

awaitable<void> request_run::refuse(const refusal& why)
{
    own_answer answer{why.status, request_.facts.id, why.retry_after,
                      why.reason};
    const bool own_fault = why.status == 503 || why.status == 402;
    log_end(own_fault ? event::request_refused : event::call_rejected,
            std::to_string(why.status), why.reason);
    (void)co_await reply_.send_own(answer);
}

awaitable<void> request_run::conclude(next_action action,
                                      const attempt_outcome& last)
{
    settle();
    const std::string ended(to_string(last.ended));
    own_answer answer;
    answer.request = request_.facts.id;
    switch (action) {
    case next_action::finish:
        if (last.ended == attempt_end::caller_left)
            log_end(event::caller_left, "caller_left", last.detail);
        else
            log_end(event::request_answered, "answered", "");
        co_return;
    case next_action::pass_on:
        log_end(event::request_failed, "passed_on", last.detail);
        (void)co_await reply_.send_whole(last.head, last.body);
        co_return;
    case next_action::say_not_run:
        answer.status = 503;
        answer.retry_after = when_to_come_back();
        answer.message = "not run: " + reason_of(last);
        log_end(event::request_refused, "not_run", reason_of(last));
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
    (void)co_await reply_.send_own(answer);
}

awaitable<void> request_run::run()
{
    auto refused = find_route();
    if (refused) {
        co_await refuse(*refused);
        co_return;
    }
    course_->set_deadline(request_.arrived + whole_time() + last_word);
    refused = co_await set_aside_tokens();
    if (refused) {
        co_await refuse(*refused);
        co_return;
    }
    if (course_->stopped() == stop_reason::caller_left) {
        settle();
        log_end(event::caller_left, "caller_left", "before any attempt");
        co_return;
    }
    co_await attempt_until_done();
}

request_driver::request_driver(node_tables& tables, token_desk& desk)
    : tables_(tables), desk_(desk), prober_(tables)
{}

awaitable<void> request_driver::serve(const caller_request& request,
                                      caller_reply& reply, exchange_ptr course)
{
    request_run run(*this, request, reply, std::move(course));
    co_await run.run();
}

} // namespace fennelladder::edge
