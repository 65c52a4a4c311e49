// How many tokens of a team a node should have taken out of the platform's
// record.
//
//     const auto holders = holders_of(nodes, options);
//     const auto few = stockists_of(team, holders, options);
//     wish = stock_wish(state, options);
//
// A few nodes of the fleet, the team's stockists, hold stock for all nodes; the
// others ask them (or whoever has some) when a request comes. All stockists are
// among a handful of nodes, so the tokens that lie about don't grow with the
// fleet, and the death of one node costs a part of some teams' stock. Which
// node writes the record for them is for edge/stock_refiller.hpp to say.
//
// Stock is what callers are served from while the platform is out of reach,
// and what is lost when nodes die. Hence the stock of the whole fleet is sized
// by what the whole fleet spends: a few seconds of it, wherever it lies.
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
    /// Nodes that hold stock of one team. Three, so that one of them may die
    /// and another be cut off.
    std::size_t stockists = 3;
    /// Nodes that are stockists of any team. Each has to be told what others
    /// miss; more spread the loss of a death thinner.
    std::size_t holders = 8;
    /// Spending that the fleet's stock covers. The platform is away for some
    /// seconds at a time; what is stocked is lost if all nodes die at once.
    duration horizon = seconds(14);
    /// Stock before any spending was seen, as a share of what was prepaid.
    double first_share = 0.10;
    /// The stock is at most this share of what is still unspent, so that a
    /// loss of all nodes at once leaves the rest for those that come after.
    double most_of_unspent = 0.4;
    /// A team whose unspent tokens last for less than this at its present
    /// spending may stock less than that share, in proportion: what is lost of
    /// its stock it misses soon. One far from its end doesn't. 0: any team may
    /// stock the same share; with a fifth for all, teams that run out lost 4 to
    /// 10 in 100 of what they prepaid with a loss of all nodes.
    duration long_runway = seconds(60);
    /// Where the platform was away before, the stock covers this many times the
    /// longest outage remembered, also of a team close to its end: its callers
    /// are refused throughout the next one otherwise. 0: outages don't count.
    double outage_cover = 1.2;
    /// For that no more than this share of the unspent is stocked.
    double most_for_outage = 0.55;
    /// How much less is stocked after losses: the stock is divided by one more
    /// than this many times the whole fleets that died lately. 0: losses don't
    /// count.
    double loss_caution = 3;
    /// Whether stock lies at large hosts alone, if there are enough of them.
    /// Most callers are there, so that most tokens needn't travel; and they
    /// answer sooner.
    bool large_holders = true;
    /// A node that is short asks others for this much of its own spending
    /// beyond what is missing. 0: for each request alone.
    duration ahead = milliseconds(1500);
    /// Of what the record has left, at most. Nodes that spend a team's tokens
    /// are a dozen or less; together they hold no more than a quarter.
    double most_ahead = 0.02;
    /// Between two writes that no request waits for, and between two questions
    /// of a stockist to the writer.
    duration write_pause = seconds(1);
    /// The same if requests wait for tokens, which they do for as long at
    /// least: what others come to want meanwhile goes into one write.
    duration urgent_pause = milliseconds(30);
    /// After a write that another one came before: up to so long, doubled with
    /// each in a row. Nodes that both take themselves for the writer would meet
    /// again if they tried at once.
    duration conflict_pause = milliseconds(10);
    /// The stock is filled up when it is below this share of its goal.
    double refill_below = 0.8;
};

/// What is known of a team when a node considers taking out tokens.
struct stock_state
{
    tokens prepaid;    ///< Total of the day.
    tokens left;       ///< Not handed out yet.
    tokens fleet_free; ///< Held by all living nodes together.
    /// Of that, held by the team's stockists. What lies at other nodes is the
    /// rest of requests that cost less than their most: too little for the
    /// next one, at many nodes, and hence no stock.
    tokens stocked;
    double fleet_spending = 0; ///< Tokens a second, all nodes together.
    duration outage{0}; ///< The longest lately, see prepaid/outage_memory.hpp.
    double losses = 0;  ///< Whole fleets lately, see prepaid/loss_memory.hpp.
    tokens waited_for;  ///< Missing for requests that wait, or for other nodes.
    std::size_t stockists = 1; ///< That are alive.
    bool stockist = false;     ///< Whether this node is one.
};

/// Tokens to take out now; 0: none.
tokens stock_wish(const stock_state& state, const stock_options& options);

/// What a node that is short asks for beyond what is missing, by what it spends
/// a second itself: the next requests needn't wait for other nodes then. No
/// more than a small part of what the record has `left`: near a team's end all
/// would be spread over nodes, each with too little for its next request.
tokens ask_beyond(double own_spending, tokens left,
                  const stock_options& options);

/// Those of `nodes` that may be stockists: a few of highest rank by rendezvous
/// hashing, so nodes that know the same fleet agree.
std::vector<host_id> holders_of(const std::vector<host_id>& nodes,
                                const stock_options& options);

/// The team's stockists among the holders, ranked in the same way.
std::vector<host_id> stockists_of(const team_id& team,
                                  const std::vector<host_id>& holders,
                                  const stock_options& options);

} // namespace fennelladder::prepaid

#endif
