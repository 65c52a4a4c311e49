// The configuration as a node holds it: small, shared, and quick to look up.
//
//     std::shared_ptr<const active_manifest> config = slot.load();
//     std::shared_ptr<const team> it = config->find_team(id);
//     std::optional<budget> paid = config->find_budget(id);
//
// It is immutable; a new generation is a new one that shares every bucket
// that did not change, so bringing a change into force costs what changed.
// Teams and budgets, 8,200 and 350,000 at the size designed for, stay as the
// bytes of their parts and are read when they are asked for.
//
// Pointers that it hands out live as long as it does: keep the shared_ptr.

#ifndef FENNELLADDER_MANIFEST_ACTIVE_MANIFEST_HPP
#define FENNELLADDER_MANIFEST_ACTIVE_MANIFEST_HPP

#include "fennelladder/manifest/parts.hpp"

#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace fennelladder::manifest {

/// Bytes of a part, shared by those who hold it.
using part_bytes = std::shared_ptr<const std::string>;

/// Parts by name.
using part_map = std::unordered_map<part_hash, part_bytes>;

class team_bucket;

/// One generation of the configuration. Immutable but for the few teams
/// that each bucket keeps, under a lock of its own; thread safe.
class active_manifest
{
public:
    /// Puts a configuration together. `parts` holds the directory and all it
    /// names, each checked against its name; `previous` (or nullptr) lends
    /// the buckets that are the same. Fails with `corrupt` when a part is
    /// missing or can't be read.
    static result<std::shared_ptr<const active_manifest>>
    assemble(const root& accepted, const part_map& parts,
             const active_manifest* previous);

    generation number() const { return root_.change.number; }

    const configuration_hash& hash() const { return hash_; }

    const root& accepted() const { return root_; }

    const manifest::deployment& deployment() const { return base_->deployment; }

    const manifest::limits& limits() const { return base_->limits; }

    const std::vector<caller_kind_policy>& caller_kinds() const
    {
        return base_->caller_kinds;
    }

    const std::vector<objective>& objectives() const
    {
        return base_->objectives;
    }

    const std::vector<model>& models() const { return base_->models; }

    const std::vector<service>& services() const { return base_->services; }

    /// Look-ups return nullptr or nothing for an unknown id. Teams, targets
    /// and budgets: O(log n) in a bucket. Budgets parse one line each time,
    /// teams unless they were asked for lately. The others search a list of a
    /// few dozen.
    std::shared_ptr<const team> find_team(const team_id& id) const;
    const target* find_target(const target_id& id) const;
    std::optional<budget> find_budget(const budget_id& id) const;
    const caller_kind_policy* find_caller_kind(const caller_kind& id) const;
    const model* find_model(const model_id& id) const;
    const service* find_service(const service_id& id) const;

    /// The call `name` of a service, or nullptr.
    const service_call* find_call(const service_id& id,
                                  const call_name& name) const;

    /// All targets, in no particular order.
    std::vector<const target*> targets() const;

    /// Calls `visit` with every team or budget; parses them all.
    void for_each_team(const std::function<void(const team&)>& visit) const;
    void for_each_budget(const std::function<void(const budget&)>& visit) const;

    /// Every part with its bytes, to be handed to peers that ask.
    const part_map& parts() const { return parts_; }

    /// Bytes of all parts held.
    std::size_t held_bytes() const;

private:
    active_manifest() = default;

    status load_base(const active_manifest* previous);
    status load_teams(const active_manifest* previous);
    status load_targets(const active_manifest* previous);

    // directory_ names the parts; parts_ holds the bytes of each of them and
    // of the directory, and nothing else. teams_ and targets_ run parallel to
    // the directory's lists, each bucket sorted by id.
    root root_;
    configuration_hash hash_;
    directory directory_;
    part_map parts_;
    std::shared_ptr<const document> base_;
    std::vector<std::shared_ptr<const team_bucket>> teams_;
    std::vector<std::shared_ptr<const std::vector<target>>> targets_;
};

/// The configuration in force, as the threads of a node share it.
///
/// Thread safe. load() takes a lock for the copy of a pointer: tens of
/// nanoseconds, never while a configuration is put together. The lock is a
/// leaf: nothing else is taken under it.
class active_manifest_slot
{
public:
    /// What is in force, or nullptr when nothing has been yet.
    std::shared_ptr<const active_manifest> load() const
    {
        const std::lock_guard lock(mutex_);
        return current_;
    }

    void store(std::shared_ptr<const active_manifest> next)
    {
        const std::lock_guard lock(mutex_);
        current_.swap(next);
    }

private:
    mutable std::mutex mutex_;
    std::shared_ptr<const active_manifest> current_;
};

} // namespace fennelladder::manifest

#endif
