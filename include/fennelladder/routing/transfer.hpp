// Whether the cache of a leaving target is worth moving.
//
//     transfer_costs costs;
//     costs.time_left = until_it_is_gone;
//     for (std::size_t it : plan_transfers(prefixes, costs, room_tokens))
//         export_and_import(prefixes[it]);
//
// A prefix that isn't moved costs one prefill where it is used next, since
// from then on it is cached there. A prefix that is moved costs its bytes on
// the way, during which the receiver works for nobody else, and a set-up. So
// moving pays for long prefixes that are sure to be used and held nowhere
// else, above all the contexts of streams that go on elsewhere, and only where
// the way is faster than the prefill. Pure and thread safe.

#ifndef FENNELLADDER_ROUTING_TRANSFER_HPP
#define FENNELLADDER_ROUTING_TRANSFER_HPP

#include "fennelladder/base/time.hpp"

#include <cstddef>
#include <cstdint>
#include <span>
#include <vector>

namespace fennelladder::routing {

/// What a move costs and saves.
struct transfer_costs
{
    double bytes_per_token = 128.0 * 1024;
    double bytes_per_second = 25e9;
    duration set_up = milliseconds(2);
    duration prefill_per_token = microseconds(10);
    duration kept = minutes(1);      ///< How long an unused prefix is cached.
    duration time_left = seconds(5); ///< Until the target is gone.
};

/// A prefix in the cache of a target that leaves.
struct held_prefix
{
    std::uint32_t tokens = 0;
    double uses_per_second = 0;
    bool held_elsewhere = false;
    bool stream = false; ///< Context of a stream that goes on elsewhere.
};

/// Seconds that moving a prefix saves, less what it costs; may be negative.
double transfer_gain(const held_prefix& prefix, const transfer_costs& costs);

/// Seconds that a move takes.
double transfer_seconds(const held_prefix& prefix, const transfer_costs& costs);

/// Indexes of the prefixes to move, in order: those that pay, most gain per
/// second on the way first, as far as the time left and the receivers' room
/// go.
std::vector<std::size_t> plan_transfers(std::span<const held_prefix> held,
                                        const transfer_costs& costs,
                                        std::uint64_t room_tokens);

} // namespace fennelladder::routing

#endif
