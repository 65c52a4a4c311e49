// The part of target_registry that rations targets: cold ones, those that may
// be, and those that name a limit.

#include "fennelladder/dispatch/target_registry.hpp"

#include <algorithm>

namespace fennelladder::dispatch {

void target_registry::set_cold_start_profiles(
    std::unordered_map<service_id, cold_start_profile> traits)
{
    cold_traits_ = std::move(traits);
}

void target_registry::set_assignable_hosts(std::vector<host_id> first,
                                           std::vector<host_id> rest)
{
    carriers_.set_hosts(std::move(first), std::move(rest));
}

/// Null if the service's targets bear any load while they are cold.
const cold_start_profile*
target_registry::traits_of(const target_state& it) const
{
    const auto found = cold_traits_.find(it.entry.service);
    return found == cold_traits_.end() ? nullptr : &found->second;
}

/// Requests in any one second that this node may send to a target that is cold
/// or may be; unset for all others.
std::optional<std::uint32_t> target_registry::cold_quota(const target_state& it,
                                                         instant now) const
{
    const bool cold = it.signals.is_cold(now);
    const cold_start_profile* traits =
        cold || now < it.maybe_cold_until ? traits_of(it) : nullptr;
    if (traits == nullptr)
        return std::nullopt;
    const std::uint32_t share =
        carriers_.cold_quota(it.entry.id, traits->limit);
    return cold ? share : std::min(share, 1U);
}

/// Whether this node has sent the target all that it may while it is cold.
bool target_registry::cold_quota_used_up(const target_state& it,
                                         instant now) const
{
    const auto share = cold_quota(it, now);
    return share && it.sends.count(now, cold_window) >= *share;
}

/// Requests in any limit_window that this node may send to a target that names
/// a limit; unset for all others.
std::optional<std::uint32_t>
target_registry::limited_quota(const target_state& it, instant now) const
{
    const auto rate = it.signals.rate_limit(now);
    if (!rate)
        return std::nullopt;
    return carriers_.limited_quota(it.entry.id, *rate,
                                   it.signals.limit_signal_age(now));
}

bool target_registry::limited_quota_used_up(const target_state& it,
                                            instant now) const
{
    const auto share = limited_quota(it, now);
    return share && it.sends.count(now, limit_window) >= *share;
}

/// A target that couldn't be reached answers. Guards against a target that
/// crashed and is back under its id: it looks idle, so that all nodes would
/// choose it before its entry says that it is cold.
void target_registry::suspect_restart(target_state& it, instant now) const
{
    const cold_start_profile* traits = traits_of(it);
    if (it.consecutive_backoffs > 0 && traits != nullptr)
        it.maybe_cold_until = now + traits->warm_up;
}

} // namespace fennelladder::dispatch
