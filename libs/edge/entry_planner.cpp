#include "fennelladder/edge/entry_planner.hpp"

#include <algorithm>

namespace fennelladder::edge {

std::vector<std::string> plan_entry(const std::vector<entry_node>& nodes,
                                    const data_center_id& caller,
                                    const entry_options& options)
{
    std::vector<std::string> near;
    std::vector<std::string> all;
    for (const entry_node& it : nodes) {
        if (it.data_center == caller)
            near.push_back(it.address);
        all.push_back(it.address);
    }
    std::vector<std::string>& out =
        near.size() >= options.enough_near ? near : all;
    if (out.size() > options.most_addresses)
        out.resize(options.most_addresses);
    return std::move(out);
}

} // namespace fennelladder::edge
