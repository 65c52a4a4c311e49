// The part of target_registry that keeps this node's quotas for targets that
// are cold, may be cold, or announce a limit, and the bound of their memory.

#include "fennelladder/dispatch/target_registry.hpp"

#include <algorithm>

namespace fennelladder::dispatch {

namespace {

/// How long the targets of a service count as brittle after one said so.
constexpr duration brittle_service_memory = seconds(10);

} // namespace

void target_registry::set_cold_start_profiles(
    std::unordered_map<service_id, cold_start_profile> profiles)
{
    profiles_ = std::move(profiles);
}

void target_registry::set_assignable_hosts(std::vector<host_id> first,
                                           std::vector<host_id> rest)
{
    assignments_.set_hosts(std::move(first), std::move(rest));
}

/// Null if the service's targets have no lower capacity while they are cold.
const cold_start_profile*
target_registry::profile_of(const target_state& it) const
{
    const auto found = profiles_.find(it.entry.service);
    return found == profiles_.end() ? nullptr : &found->second;
}

/// Requests in any cold_window that this node may send to a target that is cold
/// or may be; unset for all others.
std::optional<std::uint32_t> target_registry::cold_quota(const target_state& it,
                                                         instant now) const
{
    const bool cold = it.signals.is_cold(now);
    const cold_start_profile* profile =
        cold || now < it.maybe_cold_until ? profile_of(it) : nullptr;
    if (profile == nullptr)
        return std::nullopt;
    const std::uint32_t quota =
        assignments_.cold_quota(it.entry.id, profile->limit);
    return cold ? quota : std::min(quota, 1U);
}

/// Whether this node has used up its quota for a cold target.
bool target_registry::cold_quota_used_up(const target_state& it,
                                         instant now) const
{
    const auto quota = cold_quota(it, now);
    return quota && it.sends.count(now, cold_window) >= *quota;
}

/// Requests in any limit_window that this node may send to a target that
/// announces a limit; unset for all others.
std::optional<std::uint32_t>
target_registry::limited_quota(const target_state& it, instant now) const
{
    const auto rate = it.signals.rate_limit(now);
    if (!rate)
        return std::nullopt;
    return assignments_.limited_quota(it.entry.id, *rate,
                                      it.signals.limit_signal_age(now));
}

bool target_registry::limited_quota_used_up(const target_state& it,
                                            instant now) const
{
    const auto quota = limited_quota(it, now);
    return quota && it.sends.count(now, limit_window) >= *quota;
}

/// A target that hasn't said otherwise since is as brittle as others of its
/// service: a node would learn it from an answer after a burst only.
bool target_registry::is_brittle(const target_state& it, instant now) const
{
    if (it.signals.max_rejections(now))
        return true;
    const auto found = brittle_services_.find(it.entry.service);
    return found != brittle_services_.end() &&
           now - found->second <= brittle_service_memory &&
           it.signals.brittle_signalled() < found->second;
}

bool target_registry::has_room(const target_state& it,
                               const routing_request& request,
                               instant now) const
{
    if (!is_brittle(it, now))
        return true;
    if (now < it.full_until)
        return false;
    const std::uint32_t slots = it.entry.slots;
    const std::uint32_t share = assignments_.place_share(it.entry.id, slots);
    if (share > 0)
        return static_cast<std::uint32_t>(it.own->requests) < share;
    return it.own->requests == 0 && !request.was_rejected &&
           it.peers_running < slots * options_.shared_room;
}

/// Whether the request doesn't fit beside those known to run on an engine.
std::optional<no_target_reason>
target_registry::memory_exclusion(const target_state& it,
                                  const routing_request& request) const
{
    if (!options_.bounds_memory || request.target_memory == 0)
        return std::nullopt;
    const auto memory = static_cast<double>(request.target_memory);
    if (request.max_tokens > memory)
        return no_target_reason::too_large;
    const double unreported = it.peers_unreported * it.service->mean_tokens;
    const auto known =
        static_cast<double>(it.own->max_tokens + it.peers_max_tokens);
    if (known + unreported + request.max_tokens > memory)
        return no_target_reason::no_memory;
    return std::nullopt;
}

/// Treats a target that answers after it was unreachable as possibly cold. It
/// may have crashed and restarted under its id: it then looks idle, and all
/// nodes would choose it before its entry says that it is cold.
void target_registry::suspect_restart(target_state& it, instant now) const
{
    const cold_start_profile* profile = profile_of(it);
    if (it.consecutive_backoffs > 0 && profile != nullptr)
        it.maybe_cold_until = now + profile->warm_up;
}

} // namespace fennelladder::dispatch
