// What a node writes under "status/<host>", for `apply --wait` and `status`.
//
//     store.put(status_key(host), encode(mine), write_condition::always());
//
// A node writes it when the generation in force changes and every
// status_interval besides: at 340 nodes 11 writes a second of the platform's
// several hundred. It is a report, nothing is decided by it. Readers pass over
// keys that they don't know, so that a node may say more.

#ifndef FENNELLADDER_MANIFEST_NODE_STATUS_HPP
#define FENNELLADDER_MANIFEST_NODE_STATUS_HPP

#include "fennelladder/base/error.hpp"
#include "fennelladder/base/ids.hpp"
#include "fennelladder/base/time.hpp"
#include "fennelladder/manifest/parts.hpp"
#include "fennelladder/platform/object_store.hpp"

#include <string>
#include <string_view>

namespace fennelladder::manifest {

constexpr duration status_interval = seconds(30);

/// A status older than this is of a node that is gone or can't write.
constexpr duration status_validity = 3 * status_interval;

/// What a node says of itself.
struct node_status
{
    host_id host;
    incarnation_id incarnation;
    generation in_force;     ///< 0: none yet.
    configuration_hash hash; ///< Of the one in force.
    generation highest_seen; ///< Above in_force while it is fetched.
    bool takes_work = false; ///< Neither starting nor shutting down.
    instant at;              ///< When written, by the node's clock.

    bool operator==(const node_status&) const = default;
};

std::string encode(const node_status& status);

/// Fails with `corrupt`.
result<node_status> decode_node_status(std::string_view bytes);

/// What the keys of all status objects start with.
std::string_view status_prefix();

platform::object_key status_key(const host_id& host);

} // namespace fennelladder::manifest

#endif
