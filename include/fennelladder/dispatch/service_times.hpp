// How long requests of each route have taken of late.
//
//     times.note(route, took);
//     if (times.usual(route).value_or(objective) > time_left) ...
//
// Keeps a smoothed mean and a smoothed deviation from it, as TCP does for round
// trips (RFC 6298).
//
// Not thread safe.

#ifndef FENNELLADDER_DISPATCH_SERVICE_TIMES_HPP
#define FENNELLADDER_DISPATCH_SERVICE_TIMES_HPP

#include "fennelladder/base/time.hpp"
#include "fennelladder/catalog/configuration.hpp"

#include <optional>
#include <unordered_map>

namespace fennelladder::dispatch {

class service_times
{
public:
    /// Records a request that was answered after `took`.
    void note(const catalog::route_id& route, duration took);

    /// The time within which most requests of the route end; unset if none has
    /// been answered.
    std::optional<duration> usual(const catalog::route_id& route) const;

    /// Forgets routes that the configuration no longer has.
    void keep_only(const catalog::configuration& in_force);

private:
    struct estimate
    {
        duration mean{0};
        duration deviation{0};
    };

    std::unordered_map<catalog::route_id, estimate> routes_;
};

} // namespace fennelladder::dispatch

#endif
