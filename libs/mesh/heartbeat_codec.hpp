// Converts heartbeats between messages and Thrift's structs. Thread safe.

#ifndef FENNELLADDER_MESH_HEARTBEAT_CODEC_HPP
#define FENNELLADDER_MESH_HEARTBEAT_CODEC_HPP

#include "fennelladder/mesh/messages.hpp"
#include "mesh_types.h"

#include <cstddef>

namespace fennelladder::mesh {

wire::Beacon to_wire(const node_heartbeat& from);

/// Whether the heartbeat has a valid sender and valid versions. Negative
/// revisions and versions would turn into the largest possible ones, and every
/// node that accepted them would wait for an update that no node has.
bool is_valid_sender(const wire::Beacon& from);

/// Precondition: is_valid_sender().
node_heartbeat from_wire(const wire::Beacon& from, std::size_t& invalid_parts);

} // namespace fennelladder::mesh

#endif
