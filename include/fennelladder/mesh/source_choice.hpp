// Whom to ask for news, among the nodes that have them, and when to ask again.
//
//     source_backoff rests;
//     const auto awake = rests.available(sources, now);
//     if (awake.empty()) ... wait a little ...
//     const std::string address = choose_source(awake, own_place, random);
//     ... fetch ...
//     rests.note(address, fetch_result::busy, now, random);
//
// Failure it guards against: all nodes hear of news at the same moment and all
// ask the same node, which serves none of them. The choice is random, so the
// askers spread over the sources as their capacities are.
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

/// A node that has what this one lacks.
struct update_source
{
    std::string address;
    data_center_id data_center;
    double capacity = 0; ///< As its beacon says; 0: not heard.
};

/// How asking a source ended.
enum class fetch_result : std::uint8_t
{
    done,      ///< It brought news.
    not_newer, ///< It has nothing newer, or not yet.
    busy,      ///< It serves others; asking later may work.
    failed     ///< Not reached, silent, or unreadable.
};

/// One of `sources`, at random: as often as its capacity is, and mostly of the
/// own data centre, since bytes between data centres cost. Empty if there are
/// none.
std::string choose_source(const std::vector<update_source>& sources,
                          const data_center_id& own, random_source& random);

/// Between two questions of one node, on average. So long that `nodes` that
/// all want the same don't take a small host's processor with questions alone.
duration request_interval(std::size_t nodes, std::size_t sources);

/// How long to wait before the first question, so that nodes that heard the
/// same beacon don't ask in the same millisecond. Large hosts go first: served
/// early, they serve the others over their wide links. `large_fraction`: how
/// many of all nodes are large, 0 to 1.
duration initial_delay(bool is_large, double large_fraction, std::size_t nodes,
                       std::size_t sources, random_source& random);

/// Sources that are left alone for a while after they brought nothing.
class source_backoff
{
public:
    /// Longer each time in a row; done: no rest. The times in a row.
    int note(const std::string& address, fetch_result end, instant now,
             random_source& random);

    /// Those of `sources` that may be asked now.
    std::vector<update_source>
    available(const std::vector<update_source>& sources, instant now) const;

    std::size_t size() const { return rests_.size(); }

private:
    struct rest
    {
        int times = 0;
        instant until;
    };

    std::map<std::string, rest> rests_;
};

} // namespace fennelladder::mesh

#endif
