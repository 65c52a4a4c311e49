#include "fennelladder/dispatch/service_times.hpp"

#include <algorithm>
#include <unordered_set>

namespace fennelladder::dispatch {

namespace {

/// Weights of a new value, as fractions: of the mean and of the deviation.
constexpr int mean_divisor = 8;
constexpr int deviation_divisor = 4;

/// Deviations above the mean within which most requests end.
constexpr int usual_deviations = 2;

duration distance(duration a, duration b)
{
    return a > b ? a - b : b - a;
}

} // namespace

void service_times::note(const catalog::route_id& route, duration took)
{
    const auto [found, is_new] = routes_.try_emplace(route);
    estimate& it = found->second;
    if (is_new) {
        it = {took, took / 2};
        return;
    }
    it.deviation +=
        (distance(it.mean, took) - it.deviation) / deviation_divisor;
    it.mean += (took - it.mean) / mean_divisor;
}

std::optional<duration>
service_times::usual(const catalog::route_id& route) const
{
    const auto found = routes_.find(route);
    if (found == routes_.end())
        return std::nullopt;
    return found->second.mean + usual_deviations * found->second.deviation;
}

void service_times::keep_only(const catalog::configuration& in_force)
{
    std::unordered_set<catalog::route_id> kept;
    for (const catalog::route& it : in_force.parts().routes)
        kept.insert(it.id);
    std::erase_if(routes_,
                  [&](const auto& it) { return !kept.contains(it.first); });
}

} // namespace fennelladder::dispatch
