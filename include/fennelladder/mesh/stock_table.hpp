// The other nodes' token balances per team, as reported by their heartbeats.
//
//     stock_table known;
//     known.on_heartbeat(heartbeat, now);
//     known.largest_holder(team, tried, now - max_age)  // whom to ask
//     known.deduct(host, team, amount);        // it was asked for that
//     known.forget(host);                      // its process has died
//
// A hint: a peer's balances are as old as its last regular heartbeat, which
// lists its largest ones only. Whom to ask when no node is known to have any
// is decided by the caller (prepaid/stock_plan.hpp).
//
// Cost: queries are linear in the nodes. Not thread safe.

#ifndef FENNELLADDER_MESH_STOCK_TABLE_HPP
#define FENNELLADDER_MESH_STOCK_TABLE_HPP

#include "fennelladder/mesh/messages.hpp"

#include <map>
#include <optional>
#include <set>
#include <span>

namespace fennelladder::mesh {

/// Sums over recently heard nodes.
struct stock_totals
{
    tokens free;
    tokens free_of_subset; ///< The part of `free` held by the given nodes.
    tokens spent_per_second;
};

class stock_table
{
public:
    /// Processes a regular heartbeat. Nothing is kept of a leaving node, since
    /// it passes its tokens on.
    void on_heartbeat(const node_heartbeat& from, instant now);

    /// Clears the balances of a host whose process has died, and returns those
    /// above zero that it last reported.
    std::vector<token_stock> forget(const host_id& host);

    /// The node with the largest balance of the team among those heard since
    /// `since` and not in `excluded`. Unset if none is known to have any.
    std::optional<host_id> largest_holder(const team_id& team,
                                          const std::set<host_id>& excluded,
                                          instant since) const;

    /// The balances of the team above zero at the nodes heard since `since` and
    /// not in `excluded`.
    std::map<host_id, tokens> holders(const team_id& team,
                                      const std::set<host_id>& excluded,
                                      instant since) const;

    /// Subtracts what a node was asked for from its balance, until its next
    /// heartbeat.
    void deduct(const host_id& host, const team_id& team, tokens amount);

    /// Sums over the nodes heard since `since`; `subset` selects those for
    /// free_of_subset.
    stock_totals sum(const team_id& team, std::span<const host_id> subset,
                     instant since) const;

private:
    struct row
    {
        std::map<team_id, token_stock> stock;
        instant heard;
    };

    std::map<host_id, row> rows_;
};

} // namespace fennelladder::mesh

#endif
