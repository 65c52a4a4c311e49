// The part of target_book that rations targets: cold ones, those that may be,
// and those that name a limit.

#include "fennelladder/dispatch/target_book.hpp"

#include <algorithm>

namespace fennelladder::dispatch {

void target_book::set_cold_traits(
    std::unordered_map<service_id, cold_traits> traits)
{
    cold_traits_ = std::move(traits);
}

void target_book::set_carrier_hosts(std::vector<host_id> first,
                                    std::vector<host_id> rest)
{
    carriers_.set_hosts(std::move(first), std::move(rest));
}

/// Null if the service's targets bear any load while they are cold.
const cold_traits* target_book::traits_of(const target_state& it) const
{
    const auto found = cold_traits_.find(it.entry.service);
    return found == cold_traits_.end() ? nullptr : &found->second;
}

/// Requests in any one second that this node may send to a target that is cold
/// or may be; unset for all others.
std::optional<std::uint32_t> target_book::cold_share(const target_state& it,
                                                     instant now) const
{
    const bool cold = it.said.is_cold(now);
    const cold_traits* traits =
        cold || now < it.suspect_until ? traits_of(it) : nullptr;
    if (traits == nullptr)
        return std::nullopt;
    const std::uint32_t share =
        carriers_.cold_share(it.entry.id, traits->limit);
    return cold ? share : std::min(share, 1U);
}

/// Whether this node has sent the target all that it may while it is cold.
bool target_book::is_cold_to_us(const target_state& it, instant now) const
{
    const auto share = cold_share(it, now);
    return share && it.sends.count(now, cold_span) >= *share;
}

/// Requests in any limit_span that this node may send to a target that names a
/// limit; unset for all others.
std::optional<std::uint32_t> target_book::limited_share(const target_state& it,
                                                        instant now) const
{
    const auto rate = it.said.rate_limit(now);
    if (!rate)
        return std::nullopt;
    return carriers_.limited_share(it.entry.id, *rate,
                                   it.said.limit_silence(now));
}

bool target_book::is_limited_to_us(const target_state& it, instant now) const
{
    const auto share = limited_share(it, now);
    return share && it.sends.count(now, limit_span) >= *share;
}

/// A target that couldn't be reached answers. Guards against a target that
/// crashed and is back under its id: it looks idle, so that all nodes would
/// choose it before its entry says that it is cold.
void target_book::suspect_start(target_state& it, instant now) const
{
    const cold_traits* traits = traits_of(it);
    if (it.rests > 0 && traits != nullptr)
        it.suspect_until = now + traits->lasts;
}

} // namespace fennelladder::dispatch
