// Converts what nodes tell each other of requests that crash targets between
// messages and Thrift's structs. Thread safe.

#ifndef FENNELLADDER_MESH_CRASH_CODEC_HPP
#define FENNELLADDER_MESH_CRASH_CODEC_HPP

#include "fennelladder/mesh/messages.hpp"
#include "mesh_types.h"

#include <cstddef>
#include <vector>

namespace fennelladder::mesh {

/// `starts_ms` is parallel to `deaths`, and unset if no start is known.
wire::Poison to_wire(const dispatch::poison_record& from);

std::vector<dispatch::poison_record>
poison_from(const std::vector<wire::Poison>& all, std::size_t& invalid_parts);

} // namespace fennelladder::mesh

#endif
