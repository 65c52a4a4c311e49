#include "team_bucket.hpp"

#include "row_search.hpp"

#include <utility>

namespace fennelladder::manifest {

std::shared_ptr<const team> team_bucket::find(const team_id& id) const
{
    const std::lock_guard lock(mutex_);
    const auto known = kept_.find(id);
    if (known != kept_.end())
        return known->second;
    const auto line = find_row(*bytes_, id.str());
    if (line.empty())
        return nullptr; // Not kept: unknown ids are without bound.
    auto one = decode_team_row(line);
    if (!one)
        return nullptr; // assemble() has read them all.
    auto made = std::make_shared<const team>(std::move(*one));
    if (kept_.size() >= most_kept_)
        kept_.erase(kept_.begin());
    kept_.emplace(id, made);
    return made;
}

} // namespace fennelladder::manifest
