// How far a generation has come into force, from the nodes' status objects.
//
//     rollout seen = rollout_of(statuses, wanted, now);
//     std::cout << to_table(seen, now);
//     if (seen.complete())
//         return;

#ifndef FENNELLADDER_MANIFEST_ROLLOUT_HPP
#define FENNELLADDER_MANIFEST_ROLLOUT_HPP

#include "fennelladder/manifest/node_status.hpp"
#include "fennelladder/platform/object_store.hpp"

#include <string>
#include <vector>

namespace fennelladder::manifest {

/// One node's line.
struct rollout_row
{
    node_status node;
    bool reached = false; ///< The wanted generation or a later one.
    bool silent = false;  ///< Its status is out of date; it isn't waited for.
};

/// What the nodes said about one generation.
struct rollout
{
    generation wanted;
    std::vector<rollout_row> rows; ///< In order of hosts.

    /// Nodes that are waited for.
    std::size_t expected() const;
    /// Of these, the ones that have it in force.
    std::size_t reached() const;

    /// Every node that is waited for has it, and there is at least one.
    bool complete() const { return expected() > 0 && reached() == expected(); }
};

/// Judges the statuses at `now`. Pure.
rollout rollout_of(const std::vector<node_status>& nodes, generation wanted,
                   instant now);

/// A line for each node and a sum, for people.
std::string to_table(const rollout& seen, instant now);

/// All nodes' statuses; unreadable ones are left out. Errors: as list().
result<std::vector<node_status>> read_statuses(platform::object_store& store);

} // namespace fennelladder::manifest

#endif
