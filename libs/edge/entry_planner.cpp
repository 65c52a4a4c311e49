#include "fennelladder/edge/entry_planner.hpp"

#include "fennelladder/mesh/roster.hpp"

#include <algorithm>
#include <numeric>

namespace fennelladder::edge {

namespace {

/// Processor time of a request with its share of all upkeep: 0.011 cores at 9
/// requests a second.
constexpr double core_seconds_per_request = 0.0012;

/// Bits on the busier direction of the link for a request: an answer of 40
/// events comes from the target, and one like it goes to the caller.
constexpr double link_bits_per_request = 80'000;

/// Those of the largest nodes that carry the load of all with headroom.
void keep_capable(std::vector<entry_node>& nodes, const entry_options& options)
{
    std::ranges::stable_sort(nodes, std::greater<>(), &entry_node::capacity);
    const double load = std::accumulate(
        nodes.begin(), nodes.end(), 0.0,
        [](double sum, const entry_node& it) { return sum + it.load; });
    double largest = 0;
    double carried = 0;
    std::size_t kept = 0;
    for (const entry_node& it : nodes) {
        const bool equal = kept > 0 && mesh::is_large(it.capacity, largest);
        const bool enough =
            kept >= options.min_nodes && carried >= load * options.headroom;
        if (enough && !equal)
            break;
        if (!equal)
            largest = it.capacity;
        carried += it.capacity;
        ++kept;
    }
    nodes.resize(kept);
}

template <class Condition>
std::vector<entry_node> those_that(const std::vector<entry_node>& nodes,
                                   Condition holds)
{
    std::vector<entry_node> out;
    std::ranges::copy_if(nodes, std::back_inserter(out), holds);
    return out;
}

std::vector<entry_node> nearest(const std::vector<entry_node>& nodes,
                                const entry_query& asker,
                                const entry_options& options)
{
    std::vector<entry_node> out = those_that(nodes, [&](const auto& it) {
        return it.data_center == asker.data_center;
    });
    if (out.size() >= options.min_near_nodes)
        return out;
    out = those_that(nodes,
                     [&](const auto& it) { return it.region == asker.region; });
    if (out.empty() && asker.regions)
        out = those_that(nodes, [&](const auto& it) {
            return std::ranges::find(*asker.regions, it.region) !=
                   asker.regions->end();
        });
    return out.empty() ? nodes : out;
}

} // namespace

double request_capacity(double cores, double link_bits_per_second)
{
    return std::min(cores / core_seconds_per_request,
                    link_bits_per_second / link_bits_per_request);
}

std::vector<std::string> plan_entry(const std::vector<entry_node>& nodes,
                                    const entry_query& asker,
                                    const entry_options& options)
{
    std::vector<entry_node> named = nearest(nodes, asker, options);
    keep_capable(named, options);
    if (named.size() > options.max_addresses)
        named.resize(options.max_addresses);
    std::vector<std::string> out;
    out.reserve(named.size());
    for (entry_node& it : named)
        out.push_back(std::move(it.address));
    return out;
}

} // namespace fennelladder::edge
