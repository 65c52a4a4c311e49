// Which addresses a caller is told to use.
//
// All nodes that are ready and were heard lately, those of the caller's own
// data centre alone if there are enough of them: its bytes then stay there.
// Callers pick at random among what they are told.
//
// Pure; thread safe.

#ifndef FENNELLADDER_EDGE_ENTRY_PLANNER_HPP
#define FENNELLADDER_EDGE_ENTRY_PLANNER_HPP

#include "fennelladder/base/ids.hpp"

#include <cstddef>
#include <string>
#include <vector>

namespace fennelladder::edge {

struct entry_node
{
    std::string address;
    data_center_id data_center;
};

struct entry_options
{
    std::size_t most_addresses = 64; ///< More are of no use to a caller.
    /// With as many nodes in the caller's data centre, no others are named:
    /// if one of them dies, the caller has another.
    std::size_t enough_near = 3;
};

std::vector<std::string> plan_entry(const std::vector<entry_node>& nodes,
                                    const data_center_id& caller,
                                    const entry_options& options);

} // namespace fennelladder::edge

#endif
