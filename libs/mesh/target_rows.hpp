// Converts the list of targets between messages and Thrift's structs. Thread
// safe.

#ifndef FENNELLADDER_MESH_TARGET_ROWS_HPP
#define FENNELLADDER_MESH_TARGET_ROWS_HPP

#include "fennelladder/mesh/messages.hpp"
#include "mesh_types.h"

#include <cstddef>
#include <optional>
#include <vector>

namespace fennelladder::mesh {

wire::TargetRow to_wire(const catalog::target_change& from);

/// Converts rows of targets. Rows without a valid id are dropped. A row whose
/// entry is invalid becomes a removal, as if read from the platform: dropping
/// it would leave an older entry in force.
std::vector<catalog::target_change>
changes_from(const std::vector<wire::TargetRow>& rows, catalog::revision as_of,
             std::size_t& invalid_parts);

wire::TargetNews to_wire(const catalog::target_update& from);

/// Unset if a row is missing: the update would be taken for complete.
std::optional<catalog::target_update> from_wire(const wire::TargetNews& from,
                                                std::size_t& invalid_parts);

} // namespace fennelladder::mesh

#endif
