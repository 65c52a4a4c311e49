// What the other nodes hold of each team's tokens, as their beacons say.
//
//     stock_table known;
//     known.on_heartbeat(beacon, now);
//     known.largest_holder(team, tried, now - most_age)   // whom to ask
//     known.deduct(host, team, amount);            // it was asked for that
//     known.forget(host);                          // its process has died
//
// A hint: what a peer said is as old as its last regular beacon, and names
// its largest stocks only. Whom to ask when nobody is known to have any is
// for the caller to know (prepaid/stock_plan.hpp).
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

/// Sums over the nodes that were heard lately.
struct stock_totals
{
    tokens free;
    tokens free_of_subset; ///< Of that, held by the nodes asked about.
    tokens spent_per_second;
};

class stock_table
{
public:
    /// Takes a regular beacon in; of a leaving node nothing is kept, since it
    /// hands its tokens on.
    void on_heartbeat(const node_heartbeat& from, instant now);

    /// The host's process has died. Returns what it last said to hold.
    std::vector<token_stock> forget(const host_id& host);

    /// The node with most of the team's tokens, of those heard since `since`
    /// that aren't in `but`. Nothing if none is known to have any.
    std::optional<host_id> largest_holder(const team_id& team,
                                          const std::set<host_id>& but,
                                          instant since) const;

    /// Until its next word, what a node was asked for counts as gone.
    void deduct(const host_id& host, const team_id& team, tokens amount);

    /// What nodes heard since `since` hold together.
    stock_totals sum(const team_id& team, std::span<const host_id> some,
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
