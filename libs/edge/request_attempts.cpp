// The part of request_run that chooses targets and runs attempts there.

#include "fennelladder/base/part_of.hpp"
#include "fennelladder/telemetry/log.hpp"
#include "request_run.hpp"

#include <algorithm>
#include <limits>

namespace fennelladder::edge {

namespace {

using dispatch::attempt_end;
using dispatch::next_action;
using telemetry::log_event;
namespace event = telemetry::event;

/// Callers that should retry when a target's backoff ends are spread over this
/// fraction of the remaining backoff, at least over default_retry_after.
constexpr double retry_after_spread = 0.5;

/// Requests that may be sent again reuse connections that were idle for up to
/// this long. Those that may run only once use connections that the target can
/// hardly have closed meanwhile.
constexpr duration max_idle_if_repeatable = seconds(60);
constexpr duration max_idle_if_once = milliseconds(250);

/// Minimum timeout for the first byte, however short the latency objective.
constexpr duration min_first_byte_timeout = milliseconds(250);

/// Sound targets pause for up to about a second and a half. One that is silent
/// for this long has failed.
constexpr duration longest_pause = milliseconds(1600);

/// How long to wait for leave to run a request that may crash its target. A
/// node in the same region answers in a few milliseconds.
constexpr duration leave_wait = milliseconds(150);

/// How long a retry waits until it is known whether the last target died. A
/// process that ends refuses connections at once.
constexpr duration verdict_wait = milliseconds(100);

/// Time until all nodes know of a death.
constexpr duration death_notice_time = seconds(1);

/// As the registry counts them.
std::uint32_t to_token_count(tokens stated)
{
    return static_cast<std::uint32_t>(std::clamp<std::int64_t>(
        stated.count(), 0, std::numeric_limits<std::uint32_t>::max()));
}

} // namespace

/// Records at which version the stream begins, if it may be resumed.
void request_run::note_beginning(const dispatch::choice& target)
{
    if (!route_->resumable || recorded_ == target.software)
        return;
    recorded_ = target.software;
    dispatch::stream_origin origin{stream_key_of(request_.header_values.id),
                                   service_, target.software, ++beginnings_};
    driver_.origins_.begin(origin);
    origin.key = content_key();
    origin.attempt = 0;
    driver_.origins_.begin(origin);
}

dispatch::routing_request request_run::routing_request() const
{
    dispatch::routing_request out;
    out.service = service_;
    out.on_engine = engine_ != nullptr;
    out.objective = route_->objective;
    out.avoid = tried_targets_;
    out.was_rejected = state_.rejections > 0;
    out.software = software_;
    out.regions = catalog::regions_for(*route_, team_);
    for (const adapter::prompt_part& it : request_.header_values.prompt)
        out.prompt.push_back({it.id, it.size});
    out.prompt_size =
        to_token_count(request_.header_values.prompt_size.value_or(tokens(0)));
    out.urgency = urgency();
    if (engine_ == nullptr)
        return out;
    out.max_tokens = to_token_count(max_cost());
    out.target_memory = static_cast<std::uint64_t>(
        std::max<std::int64_t>(engine_->cache_size.count(), 0));
    return out;
}

adapter::forwarding_headers
request_run::forwarding_for(const dispatch::choice& target) const
{
    adapter::forwarding_headers out;
    out.target = target.target;
    out.fetch_from = target.fetch_from;
    if (team_ != nullptr)
        out.team = team_->id;
    out.time_left = std::max(time_left(), duration(0));
    out.urgency = urgency();
    out.resume_after = events_.last_id().empty()
                           ? request_.header_values.resume_after
                           : events_.last_id();
    return out;
}

/// Whether another target could serve the request if an idle attempt is
/// abandoned.
bool request_run::retry_is_possible() const
{
    return route_->repeats == catalog::repeat_rule::idempotent &&
           state_.may_have_run + 1 < route_->max_targets &&
           tables_.registry.count(service_, software_) >
               tried_targets_.size() + 1;
}

/// Whether to abandon an idle attempt. Failure it guards against: a target
/// pauses, the attempt is abandoned, and only then it turns out that no retry
/// is left or no other target can continue, so the request fails although its
/// target would have resumed. Therefore the preconditions of the next attempt
/// are checked, and its retry is taken, first. An attempt whose response has
/// not begun is abandoned in any case once the silence is longer than a pause:
/// its caller can be told to retry.
bool request_run::may_abandon_idle(const dispatch::choice& idle)
{
    if (!reply_.begun() && tables_.now() - attempt_began_ >= longest_pause)
        return true;
    dispatch::request_state after = state_;
    ++after.sent;
    ++after.may_have_run;
    after.head_passed_on = reply_.begun();
    after.time_left = time_left();
    const auto step = dispatch::decide_next(after, attempt_end::silent,
                                            tables_.options.attempts);
    if (step.action != next_action::try_other || !may_send())
        return false;
    dispatch::routing_request other = routing_request();
    other.avoid.push_back(idle.process());
    if (route_->streams && reply_.begun())
        other.software = idle.software;
    const instant now = tables_.now();
    retry_taken_ =
        tables_.registry.choose(other, now, tables_.random).has_value() &&
        take_retry();
    return retry_taken_;
}

/// Takes one retry, from the allowance shared by all nodes, for the next
/// attempt. Returns false if none is left.
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
                  {{"id", request_.header_values.id},
                   {"service", service_.str()},
                   {"hosts", std::to_string(tables_.retries.hosts())}});
    return taken;
}

awaitable<attempt_outcome>
request_run::run_attempt_at(const dispatch::choice& target)
{
    const bool repeatable = route_->repeats == catalog::repeat_rule::idempotent;
    const dispatch::routing_request wanted = routing_request();
    dispatch::target_use use =
        tables_.registry.started(target, wanted, tables_.now());
    attempt_input in{.tables = tables_,
                     .cancellation = *cancellation_,
                     .request = request_,
                     .route = *route_,
                     .target = target,
                     .use = use,
                     .forwarding = forwarding_for(target),
                     .reply = reply_,
                     .events = events_};
    in.max_idle_time = repeatable ? max_idle_if_repeatable : max_idle_if_once;
    // If one reused connection had ended, others may have too: send a retry on
    // a new one.
    if (state_.sent > 0)
        in.max_idle_time = duration(0);
    if (retry_is_possible()) {
        in.first_byte_timeout = std::max(
            part_of(route_->objective,
                    tables_.options.requests.first_byte_timeout_factor),
            min_first_byte_timeout);
        if (route_->streams)
            in.progress_timeout =
                part_of(route_->event_gap_objective,
                        tables_.options.requests.stream_idle_timeout_factor);
    }
    in.marks = marks_;
    in.place = dispatch::place_of(service_, target.software);
    in.leased = permit_.leased;
    note_beginning(target);
    retry_taken_ = false;
    attempt_began_ = tables_.now();
    cancellation_->on_idle_timeout([&] { return may_abandon_idle(target); });
    attempt_outcome got = co_await run_attempt(in);
    cancellation_->on_idle_timeout(nullptr);
    tables_.registry.finished(std::move(use), got.evidence, tables_.now());
    co_return got;
}

/// Reports an unfinished attempt to the prober, which finds out whether the
/// request killed the target.
void request_run::report_to_prober(const attempt_outcome& got,
                                   const dispatch::choice& target)
{
    const bool whole_answer = got.ended == attempt_end::answered ||
                              got.ended == attempt_end::failed_there;
    if (!got.sent_at || whole_answer || dispatch::proved_not_run(got.ended))
        return;
    const broken_run run{marks_, dispatch::place_of(service_, target.software),
                         *got.sent_at, tables_.now(), permit_.leased};
    if (got.ended == attempt_end::broken)
        driver_.prober_.on_broken_answer(target.process(), run);
    else
        driver_.prober_.on_unfinished_request(target.process(), run);
}

/// Whether a retry has to wait until it is known if the target has died: a part
/// of the prompt that may have crashed it isn't known to be harmless.
bool request_run::needs_verdict(const dispatch::choice& target) const
{
    const auto place = dispatch::place_of(service_, target.software);
    return std::ranges::any_of(marks_, [&](const auto& it) {
        return it.is_part &&
               !tables_.quarantine.is_proven(it, place, tables_.now());
    });
}

/// Gets leave to send the request to `target`. Returns false if it may not run.
/// After a wait the target is chosen again, among those of the same version,
/// since its entry may have changed; unset: none takes the request any more. A
/// request that runs alone with a suspected mark goes to a target where little
/// else would break off.
awaitable<bool> request_run::get_leave(std::optional<dispatch::choice>& target)
{
    permit_ = {};
    const auto place = dispatch::place_of(service_, target->software);
    permit_ = co_await driver_.quarantine_.acquire(marks_, place, service_,
                                                   tables_.now() + leave_wait);
    if (!permit_.allowed) {
        quarantine_wait_ = permit_.retry_after;
        log_quarantine(*permit_.worst, "refused", permit_.giver);
        co_return false;
    }
    if (permit_.number == 0)
        co_return true;
    if (permit_.leased)
        log_quarantine(*permit_.worst, "run alone", permit_.giver);
    dispatch::routing_request wanted = routing_request();
    wanted.isolated = permit_.leased;
    wanted.software = target->software;
    target.reset();
    if (may_send())
        target = tables_.registry.choose(wanted, tables_.now(), tables_.random);
    if (!target && permit_.leased) {
        driver_.quarantine_.release(permit_, duration(0));
        permit_.leased = false;
    }
    co_return true;
}

/// Records what the attempt shows of the request's marks.
void request_run::end_leave(const attempt_outcome& got,
                            const dispatch::choice& target)
{
    const bool answered = got.ended == attempt_end::answered;
    if (answered)
        driver_.quarantine_.note_answer(
            marks_, dispatch::place_of(service_, target.software),
            permit_.leased);
    if (!permit_.leased)
        return;
    const bool target_lives = answered || dispatch::proved_not_run(got.ended) ||
                              got.ended == attempt_end::failed_there;
    driver_.quarantine_.release(permit_,
                                target_lives ? duration(0) : death_notice_time);
    permit_.leased = false;
}

void request_run::record_attempt(const attempt_outcome& got,
                                 const dispatch::choice& target)
{
    last_target_ = target.target;
    last_version_ = target.software;
    last_relay_ = got.relay;
    last_framing_ = got.framing;
    const bool not_run = dispatch::proved_not_run(got.ended);
    if (got.sent_at) {
        ++state_.sent;
        last_sent_at_ = got.sent_at;
    }
    if (got.sent_at && !not_run) {
        ++state_.may_have_run;
        prompt_may_have_been_read_ |= !got.produced_nothing;
    }
    if (got.ended == attempt_end::rejected)
        ++state_.rejections;
    if (got.ended == attempt_end::not_connected)
        ++state_.failed_connects;
    report_to_prober(got, target);
    // A target that closed a reused connection may be about to become
    // unresponsive, so another target is preferred. If it is the only
    // candidate, a new connection to it is opened.
    if (got.stale_connection)
        tables_.pool.close_idle({target.process(), target.address});
    if (!got.stale_connection || target.candidates > 1)
        tried_targets_.push_back(target.process());
    state_.head_passed_on = reply_.begun();
    // What targets of two versions send doesn't fit together.
    if (route_->streams && reply_.begun() && !software_)
        software_ = target.software;
    state_.partial_body_sent |= got.partial_body_sent;
    state_.time_left = time_left();
}

/// Whether an attempt may be sent: not while target updates arrive too late,
/// and not if the queue on the host's link takes all the time left, since the
/// target would receive the request after its caller has gone.
bool request_run::may_send() const
{
    return !tables_.updates_are_late() &&
           time_left() > tables_.queueing_delay();
}

std::optional<dispatch::choice> request_run::choose_target()
{
    if (!may_send())
        return std::nullopt;
    last_list_ = tables_.targets.as_of();
    return tables_.registry.choose(routing_request(), tables_.now(),
                                   tables_.random);
}

std::string_view request_run::no_target_reason() const
{
    if (tables_.updates_are_late())
        return "news are late";
    if (!may_send())
        return "its link is full";
    return to_string(
        tables_.registry.why_no_target(routing_request(), tables_.now()));
}

/// Retry-After for a request that did not run; unset if no target will take it.
/// Callers that wait for a target's backoff should retry after its end, and not
/// all at once.
std::optional<duration> request_run::retry_after()
{
    if (quarantine_wait_)
        return quarantine_wait_;
    if (software_ &&
        !tables_.registry.may_take_later(routing_request(), tables_.now()))
        return std::nullopt;
    const auto rest =
        tables_.registry.backoff_wait(routing_request(), tables_.now());
    if (!rest)
        return default_retry_after;
    const duration spread =
        std::max(part_of(*rest, retry_after_spread), default_retry_after);
    return *rest + part_of(spread, tables_.random.unit());
}

awaitable<void> request_run::run_attempts()
{
    state_.route = route_;
    state_.time_left = time_left();
    tables_.retries.count_request(service_, tables_.now());
    attempt_outcome got;
    got.ended = attempt_end::not_connected;
    for (;;) {
        auto target = choose_target();
        bool may_run = true;
        if (target)
            may_run = co_await get_leave(target);
        if (!may_run) {
            const bool condemned =
                permit_.worst->state.level == dispatch::suspicion::condemned;
            got.detail = condemned ? crashes_targets : may_crash_targets;
            co_await respond(dispatch::give_up(state_, got.ended), got);
            co_return;
        }
        if (!target) {
            got.detail = no_target_reason();
            co_await respond(dispatch::give_up(state_, got.ended), got);
            co_return;
        }
        got = co_await run_attempt_at(*target);
        record_attempt(got, *target);
        end_leave(got, *target);
        const dispatch::next_step step =
            dispatch::decide_next(state_, got.ended, tables_.options.attempts);
        next_action action = step.action;
        // Start no new attempt for a caller that may have left. What has been
        // received is still relayed, since the caller may only have shut down
        // its sending side.
        if (action == next_action::try_other &&
            cancellation_->stopped() == stop_reason::caller_left)
            action = dispatch::give_up(state_, got.ended);
        if (action == next_action::try_other && step.uses_retry &&
            !retry_taken_ && !take_retry())
            action = dispatch::give_up(state_, got.ended);
        if (got.ended != attempt_end::answered &&
            got.ended != attempt_end::caller_left)
            log_event(
                event::attempt_ended,
                {{"id", request_.header_values.id},
                 {"target", target->target.str()},
                 {"address", target->address},
                 {"version", target->software.str()},
                 {"list", to_string(last_list_)},
                 {"relay", got.relay.str()},
                 {"reused", got.reused_connection ? "yes" : "no"},
                 {"ended", std::string(to_string(got.ended))},
                 {"framing", std::string(to_string(got.framing))},
                 {"detail", got.detail},
                 {"events", std::to_string(events_.events())},
                 {"running", std::to_string(target->running)},
                 {"candidates", std::to_string(target->candidates)},
                 {"left_ms", milliseconds_text(state_.time_left)},
                 {"queue_ms", milliseconds_text(tables_.queueing_delay())},
                 {"next", std::string(to_string(action))}});
        if (action != next_action::try_other) {
            co_await respond(action, got);
            co_return;
        }
        if (got.ended == attempt_end::broken && needs_verdict(*target))
            co_await driver_.prober_.settled(target->process(),
                                             tables_.now() + verdict_wait);
    }
}

} // namespace fennelladder::edge
