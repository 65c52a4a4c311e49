#include "fennelladder/catalog/evacuation_list.hpp"

#include <algorithm>
#include <cassert>

namespace fennelladder::catalog {

bool evacuation_list::replace_all(evacuation_state state)
{
    if (has_state_ && state.as_of < state_.as_of)
        return false;
    auto& names = state.data_centers;
    std::ranges::sort(names);
    names.erase(std::unique(names.begin(), names.end()), names.end());
    if (names.size() > max_evacuations)
        names.resize(max_evacuations);
    const bool changed = !has_state_ || names != state_.data_centers;
    state_ = std::move(state);
    has_state_ = true;
    return changed;
}

bool evacuation_list::apply(const std::vector<evacuation_change>& changes,
                            revision as_of)
{
    assert(has_state_);
    evacuation_state next{state_.data_centers, as_of};
    for (const evacuation_change& it : changes) {
        std::erase(next.data_centers, it.data_center);
        if (it.evacuated)
            next.data_centers.push_back(it.data_center);
    }
    return replace_all(std::move(next));
}

bool evacuation_list::contains(const data_center_id& data_center) const
{
    return std::ranges::binary_search(state_.data_centers, data_center);
}

} // namespace fennelladder::catalog
