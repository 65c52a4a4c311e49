// A bucket of teams that parses a team when it is asked for, and keeps a few.

#ifndef FENNELLADDER_LIBS_MANIFEST_TEAM_BUCKET_HPP
#define FENNELLADDER_LIBS_MANIFEST_TEAM_BUCKET_HPP

#include "fennelladder/manifest/active_manifest.hpp"

#include <memory>
#include <mutex>
#include <unordered_map>

namespace fennelladder::manifest {

/// Memory is bounded by the bytes and the teams kept. Thread safe; its lock is
/// a leaf, held for one look-up or one parse.
class team_bucket
{
public:
    /// Precondition: decode_teams() reads `bytes`, and ids are in order.
    /// At most `most_kept` teams are kept parsed; one more takes the place of
    /// any other.
    team_bucket(part_bytes bytes, std::size_t most_kept)
        : bytes_(std::move(bytes)), most_kept_(most_kept)
    {}

    /// The team, or nullptr.
    std::shared_ptr<const team> find(const team_id& id) const;

    const std::string& bytes() const { return *bytes_; }

private:
    const part_bytes bytes_;
    const std::size_t most_kept_;
    mutable std::mutex mutex_;
    mutable std::unordered_map<team_id, std::shared_ptr<const team>> kept_;
};

} // namespace fennelladder::manifest

#endif
