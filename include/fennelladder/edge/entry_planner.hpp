// Which addresses a caller is told to use.
//
// Nodes that are ready and were heard lately, those of the caller's own data
// centre alone if there are enough of them: its bytes then stay there. Else
// those of its region, and if there are none, those of the regions in which the
// requests for the host name may be run. Callers
// pick at random among what they are told, and some send all they have to one
// address; so where hosts are unequal, the small ones are named only when the
// large ones can't carry the load of all with room to spare. Fewer nodes also
// keep their connections to targets busy, which saves most new ones.
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
    double capacity = 0; ///< Requests a second it can carry.
    double load = 0;     ///< Requests a second it carries now.
};

struct entry_options
{
    std::size_t max_addresses = 64; ///< More are of no use to a caller.
    /// With as many nodes in the caller's data centre, no others are named:
    /// if one of them dies, the caller has another.
    std::size_t min_near_nodes = 3;
    /// At least so many nodes are named, if there are any.
    std::size_t min_nodes = 2;
    /// The nodes that are named can carry this many times the load seen. A
    /// burst is twice the usual, and the load is known some seconds late.
    double headroom = 2;
};

/// What a host can carry, by its processor and its link: requests a second.
double request_capacity(double cores, double link_bits_per_second);

/// Who asks, and where its requests may be run.
struct entry_query
{
    data_center_id data_center;
    region_id region;
    catalog::allowed_regions regions;
};

std::vector<std::string> plan_entry(const std::vector<entry_node>& nodes,
                                    const entry_query& asker,
                                    const entry_options& options);

} // namespace fennelladder::edge

#endif
