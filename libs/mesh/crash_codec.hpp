// Converts what nodes tell each other of requests that crash targets between
// messages and Thrift's structs. Thread safe.

#ifndef FENNELLADDER_MESH_CRASH_CODEC_HPP
#define FENNELLADDER_MESH_CRASH_CODEC_HPP

#include "fennelladder/mesh/messages.hpp"
#include "mesh_types.h"

#include <cstddef>
#include <optional>
#include <vector>

namespace fennelladder::mesh {

std::vector<wire::Poison>
to_wire(const std::vector<dispatch::crash_record>& from);

/// Records with an invalid part are dropped and counted.
std::vector<dispatch::crash_record>
crash_records_from(const std::vector<wire::Poison>& all,
                   std::size_t& invalid_parts);

wire::RunAsk to_wire(const run_question& from);
wire::RunReply to_wire(const run_answer& from);
wire::RunEnd to_wire(const run_end& from);

/// Unset if it has too many marks: leave for some of them would be of no use.
std::optional<run_question> from_wire(const wire::RunAsk& from);

run_answer from_wire(const wire::RunReply& from, std::size_t& invalid_parts);
run_end from_wire(const wire::RunEnd& from);

} // namespace fennelladder::mesh

#endif
