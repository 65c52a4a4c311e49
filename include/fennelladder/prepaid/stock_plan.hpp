// Plans how many tokens of a team a node takes out of the platform's record.
//
//     const auto candidates = holder_candidates_of(nodes, options);
//     const auto holders = holders_of(team, candidates, options);
//     amount = tokens_to_take(state, options);
//
// A few nodes, the team's stock holders, hold stock for all nodes; the others
// request tokens from them (or from any node that has some) when a caller's
// request comes. All stock holders are among a few candidates, so that the
// total stock doesn't grow with the fleet, and the death of one node costs a
// part of some teams' stock. Which node writes the record on their behalf is
// decided in edge/stock_refiller.hpp.
//
// Stock serves callers while the platform is unreachable, and is lost when
// nodes die. Hence the stock of the whole fleet covers a few seconds of the
// whole fleet's spending, wherever it is held.
//
// Pure; thread safe.

#ifndef FENNELLADDER_PREPAID_STOCK_PLAN_HPP
#define FENNELLADDER_PREPAID_STOCK_PLAN_HPP

#include "fennelladder/base/ids.hpp"
#include "fennelladder/base/time.hpp"
#include "fennelladder/base/tokens.hpp"

#include <cstddef>
#include <vector>

namespace fennelladder::prepaid {

struct stock_options
{
    /// Nodes that hold stock of one team: one of them may die and another be
    /// partitioned.
    std::size_t holders_per_team = 3;
    /// Nodes that may be stock holders of any team. Others must send each of
    /// them what they lack; with more of them, a death loses less.
    std::size_t holder_candidates = 8;
    /// Spending that the fleet's stock covers. The platform is unreachable for
    /// some seconds at a time; stock is lost if all nodes die at once.
    duration horizon = seconds(14);
    /// Stock before any spending was seen, as a share of the prepaid tokens.
    double initial_share = 0.10;
    /// Upper limit of the stock, as a share of the unspent tokens, so that a
    /// loss of all nodes at once leaves the rest for their successors.
    double max_share_of_unspent = 0.4;
    /// For a team whose unspent tokens last for less than this at its current
    /// rate of spending, the share above shrinks in proportion: it would soon
    /// lack the tokens lost with its stock, while a team with more left
    /// wouldn't. 0: the same share for all teams; with a fifth for all, teams
    /// close to their end lost 4 to 10 % of their prepaid tokens when all nodes
    /// died.
    duration long_runway = seconds(60);
    /// After outages of the platform, the stock covers this many times the
    /// longest recent one, also for a team close to its end: otherwise its
    /// callers would be refused throughout the next outage. 0: outages are
    /// ignored.
    double outage_cover = 1.2;
    /// Upper limit of the stock for outages, as a share of the unspent tokens.
    double max_share_for_outage = 0.55;
    /// Reduces the stock after losses: it is divided by
    /// 1 + loss_factor * stock_state::losses. 0: losses are ignored.
    double loss_factor = 3;
    /// Whether only large hosts hold stock, if there are enough of them. Most
    /// callers are there, so fewer tokens have to be moved, and large hosts
    /// answer sooner.
    bool large_hosts_only = true;
    /// A node short of tokens requests this much of its own spending in
    /// addition to what is missing. 0: only what each request needs.
    duration request_ahead = milliseconds(1500);
    /// Upper limit of that, as a share of the record's unallotted tokens. At
    /// most a dozen nodes spend a team's tokens, so together they hold no more
    /// than a quarter.
    double max_request_ahead_share = 0.02;
    /// Minimum time between two writes of the record that no request waits for,
    /// and between two requests of a stock holder to the node that writes.
    duration write_interval = seconds(1);
    /// Minimum time between two writes if requests wait for tokens. Demand that
    /// arises meanwhile goes into the same write, so a request waits at least
    /// this long.
    duration urgent_write_interval = milliseconds(30);
    /// Longest backoff after a write that lost to a concurrent one, doubled
    /// with each conflict in a row. Two nodes that both act as the writer would
    /// conflict again if they retried at once.
    duration conflict_backoff = milliseconds(10);
    /// The stock is refilled when it is below this share of its target amount.
    double refill_below = 0.8;
};

/// What a node knows of a team when it plans the team's stock.
struct stock_state
{
    tokens prepaid;    ///< Total for the day.
    tokens left;       ///< Not allotted yet.
    tokens fleet_free; ///< Free at all live nodes together.
    /// Of that, held by the team's stock holders. Other nodes hold what is left
    /// over from requests that cost less than their maximum: spread over many
    /// nodes, too little for the next request, and therefore not stock.
    tokens stocked;
    double fleet_spending = 0; ///< Tokens a second, all nodes together.
    /// The longest recent one, see prepaid/outage_tracker.hpp.
    duration longest_outage{0};
    /// Recent losses in whole fleets, see prepaid/loss_tracker.hpp.
    double losses = 0;
    /// Missing for requests that wait at this node or at others.
    tokens unmet_demand;
    std::size_t live_holders = 1; ///< The team's stock holders alive.
    bool is_holder = false;       ///< Whether this node is one of them.
};

/// Tokens to take out of the record now; 0: none.
tokens tokens_to_take(const stock_state& state, const stock_options& options);

/// Tokens that a node which is short requests in addition to what is missing,
/// by its own spending a second, so that the next requests needn't wait for
/// other nodes. At most a small share of the record's unallotted tokens `left`:
/// close to a team's end all tokens would otherwise be spread over nodes, each
/// with too few for its next request.
tokens extra_to_request(double own_spending, tokens left,
                        const stock_options& options);

/// The `nodes` that may be stock holders: those with the highest ranks by
/// rendezvous hashing, so that nodes with the same membership view agree.
std::vector<host_id> holder_candidates_of(const std::vector<host_id>& nodes,
                                          const stock_options& options);

/// The team's stock holders among the candidates, ranked in the same way.
std::vector<host_id> holders_of(const team_id& team,
                                const std::vector<host_id>& holder_candidates,
                                const stock_options& options);

} // namespace fennelladder::prepaid

#endif
