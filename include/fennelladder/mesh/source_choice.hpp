// Selects the node to fetch an update from, and when to retry.
//
//     source_backoff backoff;
//     const auto ready = backoff.available(sources, now);
//     if (ready.empty()) ... wait a little ...
//     const std::string address = choose_source(ready, own_place, random);
//     ... fetch ...
//     backoff.note(address, fetch_result::busy, now, random);
//
// Failure it guards against: all nodes learn of an update at the same moment
// and all ask the same node, which serves none of them. The choice is random,
// so that requests spread over the sources in proportion to their capacities.
//
// Not thread safe.

#ifndef FENNELLADDER_MESH_SOURCE_CHOICE_HPP
#define FENNELLADDER_MESH_SOURCE_CHOICE_HPP

#include "fennelladder/base/ids.hpp"
#include "fennelladder/base/random.hpp"
#include "fennelladder/base/time.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace fennelladder::mesh {

/// A node that has data which this one lacks.
struct update_source
{
    std::string address;
    data_center_id data_center;
    double capacity = 0; ///< From its heartbeat; 0: none received.
};

/// Outcome of a request to a source.
enum class fetch_result : std::uint8_t
{
    done,      ///< It returned newer data.
    not_newer, ///< It has no newer data, or not yet.
    busy,      ///< Its transfer slots are taken; a later retry may succeed.
    failed     ///< Unreachable, timed out, or answer unreadable.
};

/// Picks the address of one of `sources` at random, weighted by capacity and in
/// favour of the own data centre, since traffic between data centres costs.
/// Empty if there are none.
std::string choose_source(const std::vector<update_source>& sources,
                          const data_center_id& own, random_source& random);

/// Average interval between two requests of one node, long enough that requests
/// from `nodes` nodes that want the same data don't saturate a small host's
/// processor.
duration request_interval(std::size_t nodes, std::size_t sources);

/// Delay before the first request, so that nodes that received the same
/// heartbeat don't send requests in the same millisecond. Large hosts go first:
/// served early, they serve the others over their fast links. `large_fraction`:
/// the fraction of all nodes that are large, 0 to 1.
duration initial_delay(bool is_large, double large_fraction, std::size_t nodes,
                       std::size_t sources, random_source& random);

/// Backoff of sources that returned no update.
class source_backoff
{
public:
    /// Records an outcome and returns how many in a row brought no update. Each
    /// one extends the source's backoff; `done` clears it.
    int note(const std::string& address, fetch_result end, instant now,
             random_source& random);

    /// Those of `sources` that aren't in backoff.
    std::vector<update_source>
    available(const std::vector<update_source>& sources, instant now) const;

    std::size_t size() const { return entries_.size(); }

private:
    struct entry
    {
        int failures = 0;
        instant until;
    };

    std::map<std::string, entry> entries_;
};

} // namespace fennelladder::mesh

#endif
