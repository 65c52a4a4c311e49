// Selects the node addresses that a caller is told to use.
//
// Candidates are the nodes that are ready and were heard from recently. If the
// caller's own data centre has enough of them, only those are named, so that
// traffic stays inside the data centre. Otherwise the nodes of its region are
// named; if there are none, those of the regions in which requests for the host
// name may be run.
//
// Nodes that are cut off from targets are named only if fewer than min_nodes
// others are left: they serve requests at the cost of another hop.
//
// Callers pick at random among the addresses they are given, and some send all
// their requests to one address. Where hosts are of unequal size, small ones
// are therefore named only if the large ones can't carry the total load with
// headroom. Fewer nodes also keep their connections to targets busy, which
// saves most new connections.
//
// Pure; thread safe.

#ifndef FENNELLADDER_EDGE_ENTRY_PLANNER_HPP
#define FENNELLADDER_EDGE_ENTRY_PLANNER_HPP

#include "fennelladder/base/ids.hpp"
#include "fennelladder/catalog/configuration.hpp"

#include <cstddef>
#include <string>
#include <vector>

namespace fennelladder::edge {

struct entry_node
{
    std::string address;
    data_center_id data_center;
    region_id region;
    double capacity = 0;  ///< Requests per second that it can carry.
    double load = 0;      ///< Requests per second at present.
    bool cut_off = false; ///< It serves requests through other nodes.
};

struct entry_options
{
    std::size_t max_addresses = 64; ///< More don't help a caller.
    /// If the caller's data centre has at least this many nodes, no others are
    /// named: if one of them fails, the caller has another.
    std::size_t min_near_nodes = 3;
    /// At least this many nodes are named, if that many exist.
    std::size_t min_nodes = 2;
    /// The named nodes can carry this many times the observed load. Bursts
    /// reach twice the usual load, and the load is known with a delay of some
    /// seconds.
    double headroom = 2;
};

/// Requests per second that a host can carry, given its processor and link.
double request_capacity(double cores, double link_bits_per_second);

/// Location of the caller, and the regions in which its requests may be run.
struct entry_query
{
    data_center_id data_center;
    region_id region;
    catalog::allowed_regions regions;
};

/// The addresses to name to the caller; empty only if `nodes` is empty.
std::vector<std::string> plan_entry(const std::vector<entry_node>& nodes,
                                    const entry_query& asker,
                                    const entry_options& options);

} // namespace fennelladder::edge

#endif
