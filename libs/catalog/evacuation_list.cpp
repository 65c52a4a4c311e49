#include "fennelladder/catalog/evacuation_list.hpp"

#include <algorithm>
#include <cassert>
#include <iterator>

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
    const bool is_first =
        !has_state_ || state.as_of.era() != state_.as_of.era();
    if (has_state_ && is_first)
        kept_ = in_force();
    const bool changed = is_first || names != state_.data_centers;
    state_ = std::move(state);
    // The operator's word about these is back.
    std::erase_if(kept_, [&](const data_center_id& it) {
        return std::ranges::binary_search(state_.data_centers, it);
    });
    has_state_ = true;
    return changed;
}

bool evacuation_list::apply(const std::vector<evacuation_change>& changes,
                            revision as_of)
{
    assert(has_state_);
    if (as_of.era() != state_.as_of.era())
        return false;
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
    return std::ranges::binary_search(state_.data_centers, data_center) ||
           std::ranges::binary_search(kept_, data_center);
}

std::vector<data_center_id> evacuation_list::in_force() const
{
    std::vector<data_center_id> out;
    std::ranges::merge(state_.data_centers, kept_, std::back_inserter(out));
    return out;
}

bool evacuation_list::drop_kept()
{
    const bool changed = keeps_any();
    kept_.clear();
    return changed;
}

} // namespace fennelladder::catalog
