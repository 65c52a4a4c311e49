// The plan is the greedy one of a knapsack with two bounds, time and room. It
// is within one prefix of the best for the tighter bound, and prefixes are
// small beside both.

#include "fennelladder/routing/transfer.hpp"

#include <algorithm>
#include <cmath>

namespace fennelladder::routing {

double transfer_seconds(const held_prefix& prefix, const transfer_costs& costs)
{
    return to_seconds(costs.set_up) +
           prefix.tokens * costs.bytes_per_token / costs.bytes_per_second;
}

double transfer_gain(const held_prefix& prefix, const transfer_costs& costs)
{
    // Chance that it is used again before it would be evicted.
    const double used =
        prefix.stream
            ? 1
            : 1 - std::exp(-prefix.uses_per_second * to_seconds(costs.kept));
    const double prefill = prefix.tokens * to_seconds(costs.prefill_per_token);
    const double saved = prefix.held_elsewhere ? 0 : used * prefill;
    return saved - transfer_seconds(prefix, costs);
}

std::vector<std::size_t> plan_transfers(std::span<const held_prefix> held,
                                        const transfer_costs& costs,
                                        std::uint64_t room_tokens)
{
    std::vector<std::size_t> paying;
    for (std::size_t it = 0; it < held.size(); ++it) {
        if (transfer_gain(held[it], costs) > 0)
            paying.push_back(it);
    }
    std::ranges::stable_sort(paying, std::greater<>(), [&](std::size_t it) {
        return transfer_gain(held[it], costs) /
               transfer_seconds(held[it], costs);
    });
    double left = to_seconds(costs.time_left);
    std::vector<std::size_t> plan;
    for (const std::size_t it : paying) {
        const double takes = transfer_seconds(held[it], costs);
        if (takes > left || held[it].tokens > room_tokens)
            continue;
        left -= takes;
        room_tokens -= held[it].tokens;
        plan.push_back(it);
    }
    return plan;
}

} // namespace fennelladder::routing
