#include "team_bucket.hpp"

#include "row_search.hpp"

#include <utility>

namespace fennelladder::manifest {

const team* team_bucket::find(const team_id& id) const
{
    const std::lock_guard lock(mutex_);
    const auto known = read_.find(id);
    if (known != read_.end())
        return known->second.get();
    const auto line = find_row(*bytes_, id.str());
    if (line.empty())
        return nullptr; // Not kept: unknown ids are without bound.
    auto one = decode_team_row(line);
    if (!one)
        return nullptr; // assemble() has read them all.
    auto made = std::make_unique<const team>(std::move(*one));
    return read_.emplace(id, std::move(made)).first->second.get();
}

} // namespace fennelladder::manifest
