// The part of target_registry that selects the target for a request.

#include "fennelladder/dispatch/target_registry.hpp"

#include "fennelladder/base/hash.hpp"

#include <algorithm>
#include <cassert>
#include <cmath>

namespace fennelladder::dispatch {

namespace {

/// Rendezvous hashing: all nodes expect a part at the target with the highest
/// weight for it.
std::uint64_t weight(std::uint64_t part, const target_id& target)
{
    return hash64(target.str(), part);
}

/// Tokens of all parts but the unshared last one.
std::uint32_t shared_size(const std::vector<shared_part>& prompt)
{
    std::uint32_t out = 0;
    for (std::size_t i = 0; i + 1 < prompt.size(); ++i)
        out += prompt[i].size;
    return out;
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
    std::uint32_t out = 0;
    for (std::size_t i = 0; i < request.prompt.size(); ++i) {
        const bool own = i + 1 == request.prompt.size() && i > 0;
        const auto known = it.parts.find(request.prompt[i].id);
        const bool used = known != it.parts.end() &&
                          now - known->second < options_.part_retention;
        if (!used && (own || !expected_here))
            break;
        out += request.prompt[i].size;
    }
    return std::min(out, request.prompt_size);
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
    const int running = it.running + it.peers_running;
    if (!request.on_engine) {
        const double queue =
            static_cast<double>(running) / std::max(it.entry.slots, 1U);
        return to_seconds(options_.plain_service_time) * (1 + queue);
    }
    const double tokens_first =
        static_cast<double>(it.reading + it.peers_reading) + reading;
    return tokens_first / options_.prefill_speed +
           to_seconds(options_.delay_per_running) * (running + 1);
}

double target_registry::cost(const target_state& it,
                             const routing_request& request, double predicted,
                             instant now) const
{
    const double slowness = std::exp(decayed(it.log_slowness, now));
    const double objective = std::max(to_seconds(request.objective), 0.05);
    double out = predicted * slowness + decayed(it.failure_rate, now) *
                                            options_.failure_cost * objective;
    if (it.entry.data_center != options_.own_data_center || is_relayed(it))
        out += to_seconds(options_.remote_penalty);
    return out;
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
    if (cold_quota_used_up(it, now))
        return no_target_reason::cold;
    if (backoff_requested(it, now))
        return no_target_reason::backing_off;
    if (limited_quota_used_up(it, now))
        return no_target_reason::limited;
    if (!has_room(it, request, now))
        return no_target_reason::no_room;
    return std::nullopt;
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
            *reason == no_target_reason::no_room)
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
    const std::uint32_t shared = shared_size(request.prompt);
    const std::size_t first = random.below(candidates.size());
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        const candidate& each = candidates[(first + i) % candidates.size()];
        if (!all_backing_off && each.backing_off)
            continue;
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
        const auto weighted = static_cast<std::uint32_t>(
            reading + again * (options_.shared_weight - 1));
        const double target_cost =
            request.isolated
                ? it->running + it->peers_running
                : cost(*it, request, predicted_seconds(*it, request, weighted),
                       now);
        if (chosen != nullptr && target_cost >= out.cost)
            continue;
        chosen = it;
        out.cost = target_cost;
        out.work.reading = reading - static_cast<std::uint32_t>(
                                         fetched * (1 - options_.fetch_cost));
        out.predicted =
            from_seconds(predicted_seconds(*it, request, out.work.reading));
        out.fetch_from = fetched > 0 ? holder->entry.address : std::string();
    }
    assert(chosen != nullptr);
    out.target = chosen->entry.id;
    out.start = chosen->entry.start;
    out.address = chosen->entry.address;
    out.data_center = chosen->entry.data_center;
    out.software = chosen->entry.software;
    out.running = chosen->running + chosen->peers_running;
    out.relayed = is_relayed(*chosen);
    return out;
}

} // namespace fennelladder::dispatch
