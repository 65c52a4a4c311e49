#include "fennelladder/prepaid/stock_plan.hpp"

#include "fennelladder/base/hash.hpp"

#include <algorithm>

namespace fennelladder::prepaid {

namespace {

/// The share of the unspent tokens that may be stocked. Stock is lost when all
/// nodes die at once; a team far from its end can afford that, while one close
/// to its end pays for each lost token with a refused request.
double share_to_stock(const stock_state& state, double unspent,
                      const stock_options& options)
{
    const double runway = unspent / std::max(state.fleet_spending, 1.0);
    const double wanted = to_seconds(options.long_runway);
    return options.max_share_of_unspent *
           (runway < wanted ? runway / wanted : 1);
}

/// This node's part of the tokens missing in the fleet's stock.
double part_of_gap(const stock_state& state, const stock_options& options)
{
    if (!state.is_holder)
        return 0;
    const double first =
        static_cast<double>(state.prepaid.count()) * options.initial_share;
    const double free = static_cast<double>(state.fleet_free.count());
    const double stocked = static_cast<double>(state.stocked.count());
    const double unspent = free + static_cast<double>(state.left.count());
    const double by_spending =
        state.fleet_spending * to_seconds(options.horizon);
    const double for_outage =
        std::min(state.fleet_spending * to_seconds(state.longest_outage) *
                     options.outage_cover,
                 unspent * options.max_share_for_outage);
    const double most =
        std::max(unspent * share_to_stock(state, unspent, options), for_outage);
    const double caution = 1 + options.loss_factor * state.losses;
    const double limit = most / caution;
    const double goal = std::min(std::max(first, by_spending) / caution, limit);
    if (stocked >= goal * options.refill_below)
        return 0;
    const double gap = std::max(std::min(goal - stocked, limit - free), 0.0);
    return gap /
           static_cast<double>(std::max<std::size_t>(state.live_holders, 1));
}

} // namespace

tokens tokens_to_take(const stock_state& state, const stock_options& options)
{
    const auto part =
        tokens(static_cast<std::int64_t>(part_of_gap(state, options)));
    return std::clamp(part + state.unmet_demand, tokens(0),
                      std::max(state.left, tokens(0)));
}

tokens extra_to_request(double own_spending, tokens left,
                        const stock_options& options)
{
    const double most =
        static_cast<double>(left.count()) * options.max_request_ahead_share;
    const double wanted = own_spending * to_seconds(options.request_ahead);
    return tokens(static_cast<std::int64_t>(std::min(wanted, most)));
}

namespace {

/// The `count` nodes with the highest ranks for `salt`.
std::vector<host_id> first_by_rank(std::vector<host_id> nodes,
                                   std::string_view salt, std::size_t count)
{
    const std::uint64_t seed = hash64(salt);
    std::ranges::sort(nodes, std::greater<>(), [seed](const host_id& it) {
        return hash64(it.str(), seed);
    });
    if (nodes.size() > count)
        nodes.resize(count);
    return nodes;
}

} // namespace

std::vector<host_id> holder_candidates_of(const std::vector<host_id>& nodes,
                                          const stock_options& options)
{
    return first_by_rank(nodes, "holders", options.holder_candidates);
}

std::vector<host_id> holders_of(const team_id& team,
                                const std::vector<host_id>& holder_candidates,
                                const stock_options& options)
{
    return first_by_rank(holder_candidates, team.str(),
                         options.holders_per_team);
}

} // namespace fennelladder::prepaid
