// The part of target_registry that selects the target for a request.

#include "fennelladder/dispatch/target_registry.hpp"

#include "fennelladder/base/hash.hpp"

#include <algorithm>
#include <cassert>
#include <cmath>
#include <limits>
#include <numeric>

namespace fennelladder::dispatch {

namespace {

/// Rendezvous hashing: all nodes expect a part at the target with the highest
/// weight for it.
std::uint64_t weight(std::uint64_t part, const target_id& target)
{
    return hash64(target.str(), part);
}

/// Callers state sizes of which sums don't fit.
std::uint32_t to_token_count(double value)
{
    constexpr double most = std::numeric_limits<std::uint32_t>::max();
    return static_cast<std::uint32_t>(std::clamp(value, 0.0, most));
}

/// Tokens of all parts but the unshared last one.
std::uint32_t shared_size(const std::vector<shared_part>& prompt)
{
    double out = 0;
    for (std::size_t i = 0; i + 1 < prompt.size(); ++i)
        out += prompt[i].size;
    return to_token_count(out);
}

} // namespace

std::optional<std::uint64_t> affinity_part(std::span<const shared_part> prompt)
{
    if (prompt.empty())
        return std::nullopt;
    return prompt.size() > 1 ? prompt[prompt.size() - 2].id : prompt[0].id;
}

/// Tokens of the prompt that the target is assumed to hold. A part counts only
/// if all parts before it are held.
std::uint32_t target_registry::held_tokens(const target_state& it,
                                           const routing_request& request,
                                           bool expected_here,
                                           instant now) const
{
    double out = 0;
    for (std::size_t i = 0; i < request.prompt.size(); ++i) {
        const bool own = i + 1 == request.prompt.size() && i > 0;
        const auto known = it.parts.find(request.prompt[i].id);
        const bool used = known != it.parts.end() &&
                          now - known->second < options_.part_retention;
        if (!used && (own || !expected_here))
            break;
        out += request.prompt[i].size;
    }
    return std::min(to_token_count(out), request.prompt_size);
}

/// The target where all nodes expect the shared parts of the prompt.
const target_registry::target_state*
target_registry::expected_holder(const std::vector<candidate>& candidates,
                                 const routing_request& request) const
{
    const auto part = affinity_part(request.prompt);
    const target_state* out = nullptr;
    std::uint64_t best = 0;
    if (!part || !options_.predicts_part_holders)
        return out;
    for (const candidate& it : candidates) {
        if (it.backing_off)
            continue;
        const std::uint64_t rank = weight(*part, it.state->entry.id);
        if (out == nullptr || rank > best) {
            out = it.state;
            best = rank;
        }
    }
    return out;
}

double target_registry::predicted_seconds(const target_state& it,
                                          const routing_request& request,
                                          std::uint32_t reading) const
{
    const int running = it.own->requests + it.peers_running;
    if (!request.on_engine) {
        const double queue =
            static_cast<double>(running) / std::max(it.entry.slots, 1U);
        return to_seconds(options_.plain_service_time) * (1 + queue);
    }
    const double tokens_first =
        static_cast<double>(it.own->reading + it.peers_reading) + reading;
    return tokens_first / options_.prefill_speed +
           to_seconds(options_.delay_per_running) * (running + 1);
}

double target_registry::cost(const target_state& it,
                             const routing_request& request, double predicted,
                             instant now) const
{
    const double slowness = std::exp(decayed(it.log_slowness, now));
    return cost_of_predicted(it, request, predicted * slowness, now);
}

/// The predicted time with what failures and the distance add.
double target_registry::cost_of_predicted(const target_state& it,
                                          const routing_request& request,
                                          double predicted, instant now) const
{
    const double objective = std::max(to_seconds(request.objective), 0.05);
    double out = predicted + decayed(it.failure_rate, now) *
                                 options_.failure_cost * objective;
    if (it.entry.data_center != options_.own_data_center || is_relayed(it))
        out += to_seconds(options_.remote_penalty);
    return out;
}

/// Tokens that this node has the target read before those of a request of this
/// urgency. What peers report is read before their reports arrive.
double target_registry::tokens_ahead(const target_state& it, int urgency)
{
    const auto level = static_cast<std::size_t>(
        std::clamp<int>(urgency, 0, urgency_levels - 1));
    const auto* first = it.own->reading_by_urgency.data();
    const std::int64_t own =
        std::accumulate(first, first + level + 1, std::int64_t(0));
    return static_cast<double>(std::max<std::int64_t>(own, 0));
}

/// Cost by the measured curve, in seconds.
double target_registry::curve_cost(const target_state& it,
                                   const routing_request& request,
                                   std::uint32_t reading, instant now) const
{
    const service_curve& curve = it.curve ? *it.curve : it.service->curve;
    const int running = it.own->requests + it.peers_running;
    const double ahead = tokens_ahead(it, request.urgency);
    double out = curve.predicted_seconds(
        {ahead + reading, running, it.entry.slots}, now);
    const double occupancy =
        static_cast<double>(running) / std::max(it.entry.slots, 1U);
    if (!request.on_engine)
        out *= 1 + occupancy;
    // Lateness is convex in the time: a large prompt gains more from a fast
    // target than small ones of as many tokens.
    const double objective = std::max(to_seconds(request.objective), 0.05);
    out *= 1 + out * out / (objective * objective);
    // Each more urgent request that waits there is read beside this one.
    for (int level = 0; level < std::min<int>(request.urgency, urgency_levels);
         ++level)
        out += it.own->waiting_by_urgency[static_cast<std::size_t>(level)] *
               (reading / curve.tokens_per_ms() / 1000);
    return cost_of_predicted(it, request, out, now);
}

bool target_registry::was_tried(const target_state& it,
                                const routing_request& request) const
{
    return std::ranges::find(request.avoid, it.process) != request.avoid.end();
}

/// A data centre without a known region counts as outside all allowed regions.
bool target_registry::is_outside(const target_state& it,
                                 const routing_request& request) const
{
    if (!request.regions)
        return false;
    const auto region = options_.regions.find(it.entry.data_center);
    return region == options_.regions.end() ||
           std::ranges::find(*request.regions, region->second) ==
               request.regions->end();
}

/// Why the target isn't eligible for this request; nothing if it is.
std::optional<no_target_reason> target_registry::exclusion_reason(
    const target_state& it, const routing_request& request, instant now) const
{
    if (is_gone(it, now) || was_tried(it, request))
        return no_target_reason::none_usable;
    if (request.software && it.entry.software != *request.software)
        return no_target_reason::other_version;
    if (is_leaving(it))
        return no_target_reason::leaving;
    if (is_outside(it, request))
        return no_target_reason::outside_regions;
    if (is_evacuated(it))
        return no_target_reason::evacuated;
    const auto memory = memory_exclusion(it, request);
    if (memory == no_target_reason::too_large)
        return memory;
    if (cold_quota_used_up(it, now))
        return no_target_reason::cold;
    if (backoff_requested(it, now))
        return no_target_reason::backing_off;
    if (limited_quota_used_up(it, now))
        return no_target_reason::limited;
    if (!has_room(it, request, now))
        return no_target_reason::no_room;
    return memory;
}

/// Whether no node reaches any target of the service that could be used.
bool target_registry::nobody_reaches(const service_id& service,
                                     instant now) const
{
    const auto known = by_service_.find(service);
    if (known == by_service_.end())
        return false;
    bool found = false;
    for (const target_state* it : known->second) {
        if (!usable(*it, now))
            continue;
        if (!reach_.is_unreached(it->process))
            return false;
        found = true;
    }
    return found;
}

no_target_reason target_registry::why_no_target(const routing_request& request,
                                                instant now) const
{
    no_target_reason out = no_target_reason::none_usable;
    const auto known = by_service_.find(request.service);
    if (known == by_service_.end())
        return out;
    for (const target_state* it : known->second)
        if (const auto reason = exclusion_reason(*it, request, now))
            out = std::max(out, *reason);
    if (nobody_reaches(request.service, now))
        out = std::max(out, no_target_reason::unreached);
    return out;
}

bool target_registry::may_take_later(const routing_request& request,
                                     instant now) const
{
    const auto known = by_service_.find(request.service);
    if (known == by_service_.end())
        return false;
    routing_request without_avoid = request;
    without_avoid.avoid.clear();
    return std::ranges::any_of(known->second, [&](const target_state* it) {
        const auto reason = exclusion_reason(*it, without_avoid, now);
        return !reason || *reason > no_target_reason::outside_regions;
    });
}

std::optional<duration>
target_registry::backoff_wait(const routing_request& request, instant now) const
{
    std::optional<duration> out;
    const auto known = by_service_.find(request.service);
    if (known == by_service_.end())
        return out;
    routing_request without_avoid = request;
    without_avoid.avoid.clear();
    for (const target_state* it : known->second) {
        const auto reason = exclusion_reason(*it, without_avoid, now);
        if (!reason || *reason == no_target_reason::cold ||
            *reason == no_target_reason::limited ||
            *reason == no_target_reason::no_room ||
            *reason == no_target_reason::no_memory)
            return std::nullopt;
        if (*reason != no_target_reason::backing_off)
            continue;
        const duration left = it->signals.backoff_left(now);
        out = out ? std::min(*out, left) : left;
    }
    return out;
}

/// The eligible ones of these targets.
std::vector<target_registry::candidate>
target_registry::candidates_for(const routing_request& request,
                                const std::vector<target_state*>& all,
                                instant now) const
{
    std::vector<candidate> out;
    out.reserve(all.size());
    for (const target_state* it : all)
        if (!exclusion_reason(*it, request, now))
            out.push_back({it, is_backing_off(*it, now)});
    const target_state* expected = expected_holder(out, request);
    for (candidate& it : out)
        it.held = held_tokens(*it.state, request, it.state == expected, now);
    return out;
}

std::optional<choice> target_registry::choose(const routing_request& request,
                                              instant now,
                                              random_source& random)
{
    const auto known = by_service_.find(request.service);
    if (known == by_service_.end())
        return std::nullopt;
    if (nobody_reaches(request.service, now))
        return std::nullopt;
    const auto candidates = candidates_for(request, known->second, now);
    if (candidates.empty())
        return std::nullopt;
    // Targets in backoff are used only when all others are excluded.
    const bool all_backing_off =
        std::ranges::all_of(candidates, &candidate::backing_off);
    const target_state* holder = nullptr;
    std::uint32_t held_most = 0;
    for (const candidate& it : candidates)
        if (it.held > held_most && !it.backing_off) {
            holder = it.state;
            held_most = it.held;
        }
    choice out;
    out.candidates = candidates.size();
    const target_state* chosen = nullptr;
    out.teaches_curve = options_.uses_service_curves && request.on_engine;
    const bool by_curve = out.teaches_curve && !request.isolated;
    const std::uint32_t shared = shared_size(request.prompt);
    double work_weight = 0;
    double least_work = 0;
    double spread = 0;
    if (by_curve) {
        const double growth = work_growth(now);
        double sum = 0;
        int running = 0;
        int peers_running = 0;
        for (const candidate& it : candidates) {
            sum += it.state->recent_work;
            running += it.state->own->requests;
            peers_running += it.state->peers_running;
        }
        const double all_running = std::max(running + peers_running, 1);
        spread =
            to_seconds(options_.choice_spread) * peers_running / all_running;
        work_weight = options_.recent_work_weight / growth;
        least_work = sum / static_cast<double>(candidates.size()) -
                     to_seconds(options_.max_work_credit) * growth;
    }
    const auto consider = [&](const candidate& each) {
        if (!all_backing_off && each.backing_off)
            return;
        const target_state* it = each.state;
        const std::uint32_t here = each.held;
        const std::uint32_t reading = request.prompt_size - here;
        const std::uint32_t fetched =
            held_most > here + options_.min_fetch_tokens ? held_most - here : 0;
        // A fetch may fail because the holder has evicted the part, and a part
        // cached at two targets is soon evicted by both. Hence the cost counts
        // a part to be fetched as if it were prefilled here, and gives tokens
        // of shared parts a higher weight than those of the unshared part.
        const double again = shared > here ? shared - here : 0;
        const std::uint32_t weighted =
            to_token_count(reading + again * (options_.shared_weight - 1));
        double target_cost = 0;
        if (request.isolated)
            target_cost = it->own->requests + it->peers_running;
        else if (by_curve)
            target_cost = curve_cost(*it, request, weighted, now) +
                          work_weight * std::max(it->recent_work, least_work);
        else
            target_cost = cost(*it, request,
                               predicted_seconds(*it, request, weighted), now);
        if (chosen != nullptr && target_cost >= out.cost)
            return;
        if (spread > 0)
            target_cost += random.exponential(spread);
        if (chosen != nullptr && target_cost >= out.cost)
            return;
        chosen = it;
        out.cost = target_cost;
        out.work.reading = reading - static_cast<std::uint32_t>(
                                         fetched * (1 - options_.fetch_cost));
        out.fetch_from = fetched > 0 ? holder->entry.address : std::string();
    };
    const std::size_t first = random.below(candidates.size());
    for (std::size_t i = 0; i < candidates.size(); ++i)
        consider(candidates[(first + i) % candidates.size()]);
    assert(chosen != nullptr);
    out.predicted =
        from_seconds(predicted_seconds(*chosen, request, out.work.reading));
    out.work.max_tokens = request.max_tokens;
    out.work.urgency = request.urgency;
    out.work.ahead = tokens_ahead(*chosen, request.urgency);
    out.target = chosen->entry.id;
    out.start = chosen->entry.start;
    out.address = chosen->entry.address;
    out.data_center = chosen->entry.data_center;
    out.software = chosen->entry.software;
    out.running = chosen->own->requests + chosen->peers_running;
    out.relayed = is_relayed(*chosen);
    return out;
}

} // namespace fennelladder::dispatch
