// Converts what nodes tell each other of draws from the allotment record
// between messages and Thrift's structs. Thread safe.

#ifndef FENNELLADDER_MESH_DRAW_CODEC_HPP
#define FENNELLADDER_MESH_DRAW_CODEC_HPP

#include "fennelladder/mesh/messages.hpp"
#include "mesh_types.h"

#include <optional>

namespace fennelladder::mesh {

wire::DrawReport to_wire(const draw_report& from);
wire::DrawReport to_wire(const draw_answer& from);
wire::DrawAck to_wire(const draw_ack& from);
wire::DrawAsk to_wire(const draw_question& from);

/// Unset if a part is invalid: an acknowledgement of the others would be taken
/// for one of all.
std::optional<draw_report> report_from(const wire::DrawReport& from);
std::optional<draw_answer> answer_from(const wire::DrawReport& from);

draw_ack from_wire(const wire::DrawAck& from);
draw_question from_wire(const wire::DrawAsk& from);

} // namespace fennelladder::mesh

#endif
