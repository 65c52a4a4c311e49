// Bringing a manifest into force, and clearing away what no configuration
// needs any more.
//
//     manifest::applier one(store, options, pause);
//     auto receipt = one.apply({document, base, apply_id, "ci-build-812",
//     now}); if (!receipt && receipt.error().code == error_code::conflict)
//         std::cerr << receipt.error().message; // names both sides
//
// Parts are uploaded first, then the root is written on the condition that it
// is the one that was read: of racing operators one wins and the others are
// told who did. A lost reply is resolved by reading the root back and looking
// for the own apply id, in its change or in its history.
//
// Caveat. `ambiguous` means that the platform could not be read back either;
// calling apply() again with the same apply id is safe and settles it.

#ifndef FENNELLADDER_MANIFEST_APPLY_HPP
#define FENNELLADDER_MANIFEST_APPLY_HPP

#include "fennelladder/manifest/parts.hpp"
#include "fennelladder/platform/object_store.hpp"

#include <cstddef>
#include <functional>
#include <optional>
#include <string>

namespace fennelladder::manifest {

/// How patient an applier is.
struct apply_options
{
    int attempts = 6;                         ///< Of each call.
    duration first_pause = milliseconds(200); ///< Doubles with each attempt.
    duration longest_pause = seconds(5);
};

/// What an operator asks for.
struct apply_request
{
    document manifest;

    /// Generation that the operator started from; none: whatever is accepted
    /// when apply() begins.
    std::optional<generation> base;

    apply_id apply;  ///< Unique to this change; same when it is tried again.
    std::string who; ///< Shown to those who race with this change.
    instant at;
};

/// What became of it.
struct apply_receipt
{
    generation number;
    configuration_hash hash;
    bool unchanged = false;         ///< The same is already accepted.
    bool found_by_apply_id = false; ///< A reply was lost, or it was a rerun.
    std::size_t parts_sent = 0;
    std::size_t bytes_sent = 0; ///< Of parts and root.
};

/// Applies manifests to one store. Not thread safe.
class applier
{
public:
    /// `pause` waits between attempts; `store` must outlive this.
    applier(platform::object_store& store, apply_options options,
            std::function<void(duration)> pause);

    /// Makes `request` the accepted configuration. Errors: `conflict` (the
    /// base is stale or another operator won; names both), `too_large`,
    /// `unavailable` (not accepted), `ambiguous` (see above), `corrupt` (the
    /// root can't be read).
    result<apply_receipt> apply(const apply_request& request);

    /// Removes parts that the accepted configuration does not name and returns
    /// their number. Safe beside operators and nodes at work. Errors:
    /// `conflict` (an operator was quicker; try later), `unavailable`.
    result<std::size_t> collect_orphans();

private:
    struct accepted_root
    {
        std::optional<root> value; ///< None: nothing was accepted yet.
        object_version version;
    };

    struct upload
    {
        std::size_t parts = 0;
        std::size_t bytes = 0;
    };

    template <class Call>
    auto persist(const Call& call) -> decltype(call());

    result<accepted_root> read_root();
    result<directory> read_directory(const part_hash& name);
    result<upload> upload_parts(const split_manifest& pieces,
                                const std::optional<directory>& base);
    result<apply_receipt> try_once(const apply_request& request,
                                   const accepted_root& base);
    result<object_version> write_root(const root& next,
                                      const accepted_root& base);

    platform::object_store& store_;
    apply_options options_;
    std::function<void(duration)> pause_;
};

} // namespace fennelladder::manifest

#endif
