// A bucket of teams that parses a team when it is first asked for.

#ifndef FENNELLADDER_LIBS_MANIFEST_TEAM_BUCKET_HPP
#define FENNELLADDER_LIBS_MANIFEST_TEAM_BUCKET_HPP

#include "fennelladder/manifest/active_manifest.hpp"

#include <memory>
#include <mutex>
#include <unordered_map>

namespace fennelladder::manifest {

/// Memory grows with the teams that this node serves, not with all. Thread
/// safe; its lock is a leaf, held for one look-up or one parse.
class team_bucket
{
public:
    /// Precondition: decode_teams() reads `bytes`, and ids are in order.
    explicit team_bucket(part_bytes bytes) : bytes_(std::move(bytes)) {}

    /// The team, or nullptr; lives as long as the bucket.
    const team* find(const team_id& id) const;

    const std::string& bytes() const { return *bytes_; }

private:
    const part_bytes bytes_;
    mutable std::mutex mutex_;
    mutable std::unordered_map<team_id, std::unique_ptr<const team>> read_;
};

} // namespace fennelladder::manifest

#endif
