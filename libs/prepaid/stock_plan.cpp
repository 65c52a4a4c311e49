#include "fennelladder/prepaid/stock_plan.hpp"

#include "fennelladder/base/hash.hpp"

#include <algorithm>

namespace fennelladder::prepaid {

tokens stock_wish(const stock_state& state, const stock_options& options)
{
    if (state.left <= tokens(0))
        return tokens(0);
    const double stockists =
        static_cast<double>(std::max<std::size_t>(state.stockists, 1));
    const double first = static_cast<double>(state.prepaid.count()) *
                         options.first_share / stockists;
    const double by_demand = state.demand * to_seconds(options.horizon);
    const double one_request = static_cast<double>(state.largest.count());
    const double goal = std::max({first, by_demand, one_request});
    const double free = static_cast<double>(state.free.count());
    if (free >= goal * options.refill_below)
        return tokens(0);
    // The last tokens go out in pieces that still hold a whole request.
    const double left = static_cast<double>(state.left.count());
    const double most = std::max(left * options.most_of_rest, one_request);
    const double wish = std::min({goal - free, most, left});
    return tokens(static_cast<std::int64_t>(wish));
}

std::vector<host_id> stockists_of(const team_id& team,
                                  const std::vector<host_id>& nodes,
                                  const stock_options& options)
{
    const std::uint64_t seed = hash64(team.str());
    std::vector<host_id> out = nodes;
    std::ranges::sort(out, std::greater<>(), [seed](const host_id& it) {
        return hash64(it.str(), seed);
    });
    if (out.size() > options.stockists)
        out.resize(options.stockists);
    return out;
}

} // namespace fennelladder::prepaid
