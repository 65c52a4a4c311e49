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

/// Retry-After while the node has no configuration yet.
constexpr duration startup_retry_after = milliseconds(500);
/// Retry-After of a quarantined request, which should not return soon.
constexpr duration poison_retry_after = seconds(5);

/// Callers that should retry when a target's backoff ends are spread over this
/// fraction of the remaining backoff, at least over default_retry_after.
constexpr double retry_after_spread = 0.5;

/// Minimum time that a request waits for tokens: two round trips among peers.
constexpr duration min_token_wait = milliseconds(30);

/// Requests that may be sent again reuse connections that were idle for up to
/// this long. Those that may run only once use connections that the target can
/// hardly have closed meanwhile.
constexpr duration max_idle_if_repeatable = seconds(60);
constexpr duration max_idle_if_once = milliseconds(250);

/// How long to ask other nodes for the version of a stream, as a fraction of
/// the route's objective, and at least.
constexpr double origin_wait_share = 0.2;
constexpr duration min_origin_wait = milliseconds(50);

/// How long to wait for the list of targets to be confirmed, likewise.
constexpr double list_wait_share = 0.5;
constexpr duration list_check_interval = milliseconds(20);

/// Targets stop at the deadline that they are given and send a response that
/// says so. The node waits this long for it after the deadline.
constexpr duration deadline_response_grace = milliseconds(60);

/// Minimum timeout for the first byte, however short the latency objective.
constexpr duration min_first_byte_timeout = milliseconds(250);

/// Sound targets pause for up to about a second and a half. One that is silent
/// for this long has failed.
constexpr duration longest_pause = milliseconds(1600);

/// Urgency runs from 0, the most urgent, to this value.
constexpr int lowest_urgency = 9;

/// A response that refuses a request before any attempt.
struct refusal
{
    unsigned status = 503;
    std::optional<duration> retry_after;
    const char* reason = "";
};

std::string_view without_query(std::string_view target)
{
    return target.substr(0, target.find('?'));
}

/// How the last attempt ended, or why there was none, for logs and responses.
std::string outcome_reason(const attempt_outcome& last)
{
    const std::string ended(to_string(last.ended));
    return last.detail.empty() ? ended : ended + ": " + last.detail;
}

/// What a caller states, for the log: as long as any proper id.
std::string shortened(const std::string& text)
{
    constexpr std::size_t max_logged_bytes = 64;
    return text.substr(0, max_logged_bytes);
}

std::string version_text(const node_tables& tables)
{
    return tables.config ? std::to_string(tables.config->version().value())
                         : "none";
}

} // namespace

/// The state of one request during serve().
class request_run
{
public:
    request_run(request_driver& driver, const caller_request& request,
                response_writer& reply, request_cancellation_ptr cancellation)
        : driver_(driver), tables_(driver.tables_), request_(request),
          reply_(reply), cancellation_(std::move(cancellation)),
          config_(tables_.config), queueing_time_(tables_.queueing_delay())
    {}

    awaitable<void> run();

private:
    std::optional<refusal> find_route();
    awaitable<std::optional<refusal>> find_version();
    awaitable<dispatch::resumption> resumption_of(found_origin& found);
    dispatch::stream_key stream_key_of(const std::string& request) const;
    dispatch::stream_key content_key() const;
    void note_beginning(const dispatch::choice& target);
    awaitable<std::optional<refusal>> reserve_tokens();
    awaitable<void> run_attempts();
    awaitable<attempt_outcome> run_attempt_at(const dispatch::choice& target);
    void record_attempt(const attempt_outcome& got,
                        const dispatch::choice& target);
    void report_to_prober(const attempt_outcome& got,
                          const dispatch::choice& target);
    awaitable<void> respond(next_action action, const attempt_outcome& last);
    awaitable<void> refuse(const refusal& why);
    void settle();
    void log_end(int number, std::string_view outcome, std::string_view reason);
    dispatch::routing_request routing_request() const;
    adapter::forwarding_headers
    forwarding_for(const dispatch::choice& target) const;
    duration time_left() const;
    duration total_time() const;
    int urgency() const;
    const service_id& choose_service();
    void use_service(const service_id& service);
    bool may_use_service(const service_id& service) const;
    std::optional<dispatch::choice> choose_target();
    bool retry_is_possible() const;
    bool may_abandon_idle(const dispatch::choice& idle);
    bool may_send() const;
    bool take_retry();
    std::string_view no_target_reason() const;
    std::optional<duration> retry_after();
    tokens max_cost() const;

    request_driver& driver_;
    node_tables& tables_;
    const caller_request& request_;
    response_writer& reply_;
    request_cancellation_ptr cancellation_;
    std::shared_ptr<const catalog::configuration> config_;
    const duration queueing_time_; ///< Of the link, when the request was read.
    const catalog::route* route_ = nullptr;
    const catalog::team* team_ = nullptr;
    service_id service_;
    const catalog::engine_traits* engine_ = nullptr;
    dispatch::request_fingerprint mark_;
    std::optional<tokens> reserved_;
    tokens used_;
    dispatch::request_state state_;
    event_splitter events_;
    std::vector<catalog::target_process> tried_targets_;
    target_id last_target_;
    catalog::software_version last_version_; ///< Of the last target.
    host_id last_relay_; ///< Of the last attempt; empty if it was direct.
    body_framing last_framing_ = body_framing::unknown;
    /// Version that began the stream; unset: no part of it is known to exist.
    std::optional<catalog::software_version> software_;
    /// Version that was recorded last as the one that begins the stream.
    std::optional<catalog::software_version> recorded_;
    std::uint32_t beginnings_ = 0; ///< Records made.
    bool retry_taken_ = false;     ///< For the attempt after an idle one.
    instant attempt_began_;
    bool prompt_may_have_been_read_ = false; ///< Then it is charged.
    std::optional<instant> last_sent_at_;
};

duration request_run::total_time() const
{
    duration out = route_->timeout;
    if (request_.header_values.timeout)
        out = std::min(out, *request_.header_values.timeout);
    return dispatch::time_at_node(out, queueing_time_,
                                  request_.first_on_connection);
}

duration request_run::time_left() const
{
    return request_.arrived + total_time() - tables_.now();
}

/// The team's urgency, if set, takes precedence over the route's; 0 is the most
/// urgent.
int request_run::urgency() const
{
    const int out = team_ && team_->urgency ? *team_->urgency : route_->urgency;
    return std::clamp(out, 0, lowest_urgency);
}

const service_id& request_run::choose_service()
{
    double total = 0;
    for (const auto& it : route_->services)
        total += it.weight;
    double draw = tables_.random.unit() * total;
    for (const auto& it : route_->services) {
        draw -= it.weight;
        if (draw < 0)
            return it.service;
    }
    return route_->services.back().service;
}

void request_run::use_service(const service_id& service)
{
    service_ = service;
    const catalog::service* served = config_->find_service(service_);
    engine_ = served != nullptr && served->engine ? &*served->engine : nullptr;
}

/// Whether the route leads to this service.
bool request_run::may_use_service(const service_id& service) const
{
    return std::ranges::any_of(route_->services, [&](const auto& it) {
        return it.service == service;
    });
}

std::optional<refusal> request_run::find_route()
{
    if (!tables_.ready() && config_ == nullptr)
        return refusal{503, startup_retry_after, "no configuration yet"};
    if (request_.header_values.id.empty())
        return refusal{400, std::nullopt, "no request id"};
    const auto host = request_.fields[http::field::host];
    route_ = config_->find_route({host.data(), host.size()},
                                 without_query(request_.path));
    if (route_ == nullptr || route_->services.empty())
        return refusal{404, std::nullopt, "no such route"};
    if (!route_->is_public && config_->parts().needs_keys) {
        team_ = config_->find_team_by_key(request_.header_values.key);
        if (team_ == nullptr)
            return refusal{401, std::nullopt, "no valid key"};
    }
    mark_ =
        dispatch::fingerprint_of(request_.method, request_.path,
                                 team_ ? team_->id : team_id(), request_.body);
    if (tables_.poison.is_poison(mark_, tables_.now()))
        return refusal{503, poison_retry_after, "it kills its targets"};
    use_service(choose_service());
    return std::nullopt;
}

/// What follows from what is known about the stream. Waits for the list of
/// targets to be confirmed if that decides.
awaitable<dispatch::resumption> request_run::resumption_of(found_origin& found)
{
    dispatch::resumption_evidence evidence;
    if (found.origin)
        evidence.origin = found.origin->origin;
    evidence.service = service_;
    evidence.has_one_service = route_->services.size() == 1;
    evidence.is_named = !request_.header_values.resumes.empty();
    const instant until =
        tables_.now() + part_of(route_->objective, list_wait_share);
    asio::steady_timer timer(tables_.io);
    for (;;) {
        const auto age = tables_.targets_freshness.age(tables_.now());
        evidence.list_confirmed =
            age && tables_.now() - *age >= request_.arrived;
        // Changes that the list has got meanwhile count.
        found.versions.merge(tables_.versions.of(service_, tables_.now()));
        evidence.versions = found.versions;
        const auto out = dispatch::decide_resumption(evidence);
        if (out != dispatch::resumption::wait_for_list ||
            tables_.now() >= until)
            co_return out;
        co_await sleep_on(timer, list_check_interval);
    }
}

/// Key of the stream that this caller's attempt `request` began.
dispatch::stream_key
request_run::stream_key_of(const std::string& request) const
{
    return dispatch::stream_key_of(request, team_ ? team_->id : team_id());
}

/// Key of the stream by what the caller sends with each attempt.
dispatch::stream_key request_run::content_key() const
{
    std::vector<std::uint64_t> prompt;
    for (const adapter::prompt_part& it : request_.header_values.prompt)
        prompt.push_back(it.id);
    return dispatch::stream_key_of(mark_, prompt);
}

/// Finds the software version that began the stream which the caller asks to
/// resume. Refuses the request if it can't be told from others.
awaitable<std::optional<refusal>> request_run::find_version()
{
    using dispatch::resumption;
    const adapter::request_header_values& values = request_.header_values;
    if (!route_->resumable || values.resume_after.empty())
        co_return std::nullopt;
    const instant begun = tables_.now();
    const duration limit = std::max(
        part_of(route_->objective, origin_wait_share), min_origin_wait);
    const bool is_named = !values.resumes.empty();
    const auto key = is_named ? stream_key_of(values.resumes) : content_key();
    const instant until =
        std::min(begun + limit, request_.arrived + total_time());
    found_origin found = co_await driver_.origins_.find(key, service_, until);
    // A route may have several services; the stream belongs to one of them.
    if (found.origin && may_use_service(found.origin->origin.service))
        use_service(found.origin->origin.service);
    const resumption decided = co_await resumption_of(found);
    if (decided == resumption::at_origin)
        software_ = found.origin->origin.version;
    else if (decided == resumption::at_only)
        software_ = found.versions.only_known();
    log_event(
        event::stream_resumed,
        {{"id", values.id},
         {"resumes", shortened(values.resumes)},
         {"resume_after", shortened(values.resume_after)},
         {"decision", std::string(to_string(decided))},
         {"service", service_.str()},
         {"version", software_ ? software_->str() : ""},
         {"source", found.source.str()},
         {"age_ms", found.origin ? milliseconds_text(found.origin->age) : ""},
         {"asked", std::to_string(found.asked)},
         {"answered", std::to_string(found.answered)},
         {"ms", milliseconds_text(tables_.now() - begun)}});
    tables_.metrics
        .counter_of("fennelladder_streams_resumed_total",
                    {{"decision", std::string(to_string(decided))}})
        .add();
    if (software_)
        co_return std::nullopt;
    // Asking again helps only if some node may know more by then.
    const bool may_be_known_later =
        decided == resumption::wait_for_list ||
        (decided == resumption::unknown &&
         (found.answered < found.asked || tables_.is_discovering()));
    std::optional<duration> later;
    if (may_be_known_later)
        later = default_retry_after;
    co_return refusal{503, later, "version of the stream unknown"};
}

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

/// Largest number of tokens that the request can cost.
tokens request_run::max_cost() const
{
    return request_.header_values.prompt_size.value_or(tokens(0)) +
           request_.header_values.max_output_tokens.value_or(tokens(0));
}

awaitable<std::optional<refusal>> request_run::reserve_tokens()
{
    if (team_ == nullptr || !team_->prepaid ||
        !request_.header_values.prompt_size)
        co_return std::nullopt;
    const tokens max_tokens = max_cost();
    const duration wait = std::max(
        part_of(route_->objective, tables_.options.requests.token_wait_share),
        min_token_wait);
    const instant until = tables_.now() + wait;
    const shortage got = co_await driver_.allocator_.acquire(
        team_->id, max_tokens, urgency(), until);
    if (got == shortage::none) {
        reserved_ = max_tokens;
        co_return std::nullopt;
    }
    if (got == shortage::exceeds_prepaid)
        co_return refusal{402, std::nullopt, "more than was prepaid"};
    const duration later =
        got == shortage::temporary
            ? default_retry_after
            : part_of(time_left(), tables_.options.requests.retry_after_share);
    co_return refusal{503, later, "short of tokens"};
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
    out.prompt_size = static_cast<std::uint32_t>(
        request_.header_values.prompt_size.value_or(tokens(0)).count());
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
    attempt_input in{.tables = tables_,
                     .cancellation = *cancellation_,
                     .request = request_,
                     .route = *route_,
                     .target = target,
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
    note_beginning(target);
    const dispatch::routing_request wanted = routing_request();
    tables_.registry.started(target, wanted, tables_.now());
    retry_taken_ = false;
    attempt_began_ = tables_.now();
    cancellation_->on_idle_timeout([&] { return may_abandon_idle(target); });
    attempt_outcome got = co_await run_attempt(in);
    cancellation_->on_idle_timeout(nullptr);
    tables_.registry.finished(target, got.first_byte, got.evidence,
                              tables_.now());
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
    if (got.ended == attempt_end::broken)
        driver_.prober_.on_broken_answer(target.process(), mark_);
    else
        driver_.prober_.on_unfinished_request(target.process(), mark_);
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
        const auto target = choose_target();
        if (!target) {
            got.detail = no_target_reason();
            co_await respond(dispatch::give_up(state_, got.ended), got);
            co_return;
        }
        got = co_await run_attempt_at(*target);
        record_attempt(got, *target);
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
    }
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
         {"resumes", shortened(request_.header_values.resumes)},
         {"resume_after", shortened(request_.header_values.resume_after)},
         {"relay", last_relay_.str()},
         {"ms", milliseconds_text(took)},
         {"sent_ms", last_sent_at_
                         ? milliseconds_text(*last_sent_at_ - request_.arrived)
                         : ""},
         {"lag_ms", milliseconds_text(tables_.lag.at(tables_.now()))},
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
        co_return;
    case next_action::pass_on:
        log_end(event::request_failed, "passed_on", last.detail);
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

awaitable<void> request_run::run()
{
    auto refused = find_route();
    if (refused) {
        co_await refuse(*refused);
        co_return;
    }
    cancellation_->set_deadline(request_.arrived + total_time() +
                                deadline_response_grace);
    refused = co_await find_version();
    if (!refused)
        refused = co_await reserve_tokens();
    if (refused) {
        co_await refuse(*refused);
        co_return;
    }
    if (cancellation_->stopped() == stop_reason::caller_left) {
        settle();
        log_end(event::caller_left, "caller_left", "before any attempt");
        co_return;
    }
    co_await run_attempts();
}

request_driver::request_driver(node_tables& tables, token_allocator& allocator,
                               stream_origin_exchange& origins)
    : tables_(tables), allocator_(allocator), origins_(origins), prober_(tables)
{}

awaitable<void> request_driver::serve(const caller_request& request,
                                      response_writer& reply,
                                      request_cancellation_ptr cancellation)
{
    request_run run(*this, request, reply, std::move(cancellation));
    co_await run.run();
}

} // namespace fennelladder::edge
