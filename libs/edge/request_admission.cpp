// The part of request_run that decides whether a request is served.

#include "fennelladder/base/part_of.hpp"
#include "fennelladder/telemetry/log.hpp"
#include "request_run.hpp"

#include <algorithm>

namespace fennelladder::edge {

namespace {

using telemetry::log_event;
namespace event = telemetry::event;

/// Retry-After while the node has no configuration yet.
constexpr duration startup_retry_after = milliseconds(500);

/// Minimum time that a request waits for tokens: two round trips among peers.
constexpr duration min_token_wait = milliseconds(30);

/// How long to ask other nodes for the version of a stream, as a fraction of
/// the route's objective, and at least.
constexpr double origin_wait_share = 0.2;
constexpr duration min_origin_wait = milliseconds(50);

/// How long to wait for the list of targets to be confirmed, likewise.
constexpr double list_wait_share = 0.5;
constexpr duration list_check_interval = milliseconds(20);

/// Marks of a request; further parts of its prompt get none.
constexpr std::size_t max_marks = 256;

constexpr const char* exceeds_prepaid_reason = "more than was prepaid";

std::string_view without_query(std::string_view target)
{
    return target.substr(0, target.find('?'));
}

} // namespace

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

std::optional<refusal> request_run::find_route_and_team()
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
    return std::nullopt;
}

std::optional<refusal> request_run::find_route()
{
    if (auto definite = find_route_and_team())
        return definite;
    use_service(choose_service());
    set_marks();
    return check_condemned();
}

void request_run::set_marks()
{
    fingerprint_ = dispatch::fingerprint_of(request_.method, request_.path,
                                            team_ ? team_->id : team_id(),
                                            request_.body_text());
    marks_.push_back(dispatch::crash_mark::of(fingerprint_));
    const auto& prompt = request_.header_values.prompt;
    for (std::size_t i = 0; i + 1 < prompt.size() && marks_.size() < max_marks;
         ++i) {
        const auto mark = dispatch::crash_mark::of_part(prompt[i].id);
        const bool known = std::ranges::find(marks_, mark) != marks_.end();
        if (!known)
            marks_.push_back(mark);
    }
}

/// Refuses a request that is known to crash targets before it waits for
/// anything. Where targets run several versions, that depends on the target.
std::optional<refusal> request_run::check_condemned()
{
    if (!tables_.quarantine.has_condemned())
        return std::nullopt;
    const instant now = tables_.now();
    const auto version = tables_.versions.of(service_, now).only_known();
    if (!version)
        return std::nullopt;
    const auto place = dispatch::place_of(service_, *version);
    const auto worst = tables_.quarantine.worst_of(marks_, place, now);
    if (!worst || worst->state.level != dispatch::suspicion::condemned ||
        now >= worst->state.next_run)
        return std::nullopt;
    log_quarantine(*worst, "refused", host_id());
    return refusal{503, worst->state.next_run - now, crashes_targets};
}

/// A request that may cost more than its team's whole prepaid amount.
std::optional<refusal> request_run::check_prepaid() const
{
    if (team_ == nullptr || !team_->prepaid ||
        !request_.header_values.prompt_size || max_cost() <= *team_->prepaid)
        return std::nullopt;
    return refusal{402, std::nullopt, exceeds_prepaid_reason};
}

/// Refuses what the host can't do, before any work on it.
std::optional<refusal> request_run::is_over_capacity(std::uint64_t bytes)
{
    const duration longest =
        part_of(time_left(), tables_.options.requests.retry_after_share);
    const auto got =
        tables_.admission.admit(team_ ? team_->id : team_id(), urgency(),
                                longest, tables_.now(), bytes);
    if (got.admitted)
        return std::nullopt;
    return refusal{503, got.retry_after, over_capacity};
}

std::optional<refusal> request_run::check_head(std::uint64_t bytes)
{
    const auto no_route = find_route_and_team();
    const bool limiting = tables_.admission.is_limiting();
    if (no_route)
        return limiting ? no_route : std::nullopt;
    if (limiting)
        if (auto definite = check_prepaid())
            return definite;
    return is_over_capacity(bytes);
}

/// A refusal on the head is answered with what is known to be definite: its
/// marks are those of the parts of its prompt, which its head names.
awaitable<void> request_run::refuse_at_head(const refusal& why)
{
    auto definite = find_route_and_team();
    if (!definite)
        definite = check_prepaid();
    if (!definite) {
        use_service(choose_service());
        set_marks();
        // The first mark is that of the body, which wasn't read.
        marks_.erase(marks_.begin());
        definite = check_condemned();
    }
    if (definite) {
        co_await refuse(*definite);
        co_return;
    }
    co_await send_refusal(why);
}

/// The log line has few fields, since a host is in want of processor time then.
awaitable<void> request_run::send_refusal(const refusal& why)
{
    log_event(event::request_refused, {{"id", request_.header_values.id},
                                       {"outcome", std::to_string(why.status)},
                                       {"reason", why.reason},
                                       {"route", route_->id.str()},
                                       {"team", team_ ? team_->id.str() : ""}});
    tables_.metrics
        .counter_of("fennelladder_refusals_total", {{"reason", why.reason}})
        .add();
    local_response answer{why.status, request_.header_values.id,
                          why.retry_after, why.reason};
    (void)co_await reply_.send_local(answer);
}

/// What follows from what is known about the stream. Waits for the list of
/// targets to be confirmed, or for what nodes have recorded, if that decides.
awaitable<dispatch::resumption> request_run::resumption_of(found_origin& found)
{
    dispatch::resumption_evidence evidence;
    if (found.origin)
        evidence.origin = found.origin->origin;
    evidence.service = service_;
    evidence.has_one_service = route_->services.size() == 1;
    const instant until =
        tables_.now() + part_of(route_->objective, list_wait_share);
    asio::steady_timer timer(tables_.io);
    const dispatch::version_history& history = tables_.versions;
    for (;;) {
        const auto age = tables_.targets_freshness.age(tables_.now());
        evidence.list_confirmed =
            age && tables_.now() - *age >= request_.arrived;
        // Changes that the list has got meanwhile count. What happened since
        // its last confirmation shows with the next one.
        const instant known_at =
            evidence.list_confirmed
                ? tables_.now()
                : history.confirmed_at().value_or(tables_.now());
        evidence.versions = found.versions;
        evidence.versions.merge(history.of(service_, known_at));
        const auto out = dispatch::decide_resumption(evidence);
        const bool may_be_recorded = out == dispatch::resumption::unknown &&
                                     !evidence.versions.complete &&
                                     evidence.versions.only_known() &&
                                     tables_.read_recorded_versions();
        if ((out != dispatch::resumption::wait_for_list && !may_be_recorded) ||
            tables_.now() >= until) {
            found.versions = evidence.versions;
            co_return out;
        }
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
    return dispatch::stream_key_of(fingerprint_, prompt);
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
        software_ = found.versions.only();
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

/// Refuses what most likely can't end before this node does, since it would be
/// given up then and may have run.
std::optional<refusal> request_run::check_time_left_here() const
{
    if (!tables_.stops_at)
        return std::nullopt;
    const duration usual =
        tables_.service_times.usual(route_->id).value_or(route_->objective);
    if (tables_.now() + usual <= *tables_.stops_at)
        return std::nullopt;
    return refusal{503, default_retry_after, node_leaves};
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
        co_return refusal{402, std::nullopt, exceeds_prepaid_reason};
    const duration later =
        got == shortage::temporary
            ? default_retry_after
            : part_of(time_left(), tables_.options.requests.retry_after_share);
    co_return refusal{503, later, "short of tokens"};
}

} // namespace fennelladder::edge
