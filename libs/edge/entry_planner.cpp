#include "fennelladder/edge/entry_planner.hpp"

#include "fennelladder/mesh/peer_view.hpp"

#include <algorithm>
#include <numeric>

namespace fennelladder::edge {

namespace {

/// Processor time of a request including its share of background work: 0.011
/// cores at 9 requests per second.
constexpr double core_seconds_per_request = 0.0012;

/// Bits per request in the busier direction of the link: a response of 40
/// events is received from the target and one of the same size sent to the
/// caller.
constexpr double link_bits_per_request = 80'000;

/// Keeps the largest nodes that can carry the total load with headroom.
void keep_largest_sufficient(std::vector<entry_node>& nodes,
                             const entry_options& options)
{
    std::ranges::stable_sort(nodes, std::greater<>(), &entry_node::capacity);
    const double load = std::accumulate(
        nodes.begin(), nodes.end(), 0.0,
        [](double sum, const entry_node& it) { return sum + it.load; });
    double largest = 0;
    double total_capacity = 0;
    std::size_t kept = 0;
    for (const entry_node& it : nodes) {
        const bool same_size = kept > 0 && mesh::is_large(it.capacity, largest);
        const bool sufficient = kept >= options.min_nodes &&
                                total_capacity >= load * options.headroom;
        if (sufficient && !same_size)
            break;
        if (!same_size)
            largest = it.capacity;
        total_capacity += it.capacity;
        ++kept;
    }
    nodes.resize(kept);
}

template <class Condition>
std::vector<entry_node> filter_nodes(const std::vector<entry_node>& nodes,
                                     Condition holds)
{
    std::vector<entry_node> out;
    std::ranges::copy_if(nodes, std::back_inserter(out), holds);
    return out;
}

std::vector<entry_node> nearest_nodes(const std::vector<entry_node>& nodes,
                                      const entry_query& query,
                                      const entry_options& options)
{
    std::vector<entry_node> out = filter_nodes(nodes, [&](const auto& it) {
        return it.data_center == query.data_center;
    });
    if (out.size() >= options.min_near_nodes)
        return out;
    out = filter_nodes(
        nodes, [&](const auto& it) { return it.region == query.region; });
    if (out.empty() && query.regions)
        out = filter_nodes(nodes, [&](const auto& it) {
            return std::ranges::find(*query.regions, it.region) !=
                   query.regions->end();
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
                                    const entry_query& query,
                                    const entry_options& options)
{
    std::vector<entry_node> candidates =
        filter_nodes(nodes, [](const entry_node& it) { return !it.cut_off; });
    if (candidates.size() < options.min_nodes)
        candidates = nodes;
    std::vector<entry_node> selected =
        nearest_nodes(candidates, query, options);
    keep_largest_sufficient(selected, options);
    if (selected.size() > options.max_addresses)
        selected.resize(options.max_addresses);
    std::vector<std::string> out;
    out.reserve(selected.size());
    for (entry_node& it : selected)
        out.push_back(std::move(it.address));
    return out;
}

} // namespace fennelladder::edge
