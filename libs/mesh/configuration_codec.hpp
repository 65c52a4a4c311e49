// Converts questions for parts of a configuration, and the parts, between
// messages and Thrift's structs. Thread safe.

#ifndef FENNELLADDER_MESH_CONFIGURATION_CODEC_HPP
#define FENNELLADDER_MESH_CONFIGURATION_CODEC_HPP

#include "fennelladder/mesh/messages.hpp"
#include "mesh_types.h"

#include <optional>

namespace fennelladder::mesh {

wire::ConfigurationAsk to_wire(const configuration_question& from);
wire::ConfigurationPart to_wire(const configuration_part& from);

/// Unset without a version or without parts to ask for.
std::optional<configuration_question>
from_wire(const wire::ConfigurationAsk& from);

/// Unset without a version or bytes, with too many bytes or parts, or with a
/// number of a part that isn't below their count.
std::optional<configuration_part>
from_wire(const wire::ConfigurationPart& from);

} // namespace fennelladder::mesh

#endif
