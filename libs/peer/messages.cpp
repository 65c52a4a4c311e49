// Messages about journal records, encoded in Thrift's compact protocol.

#include "fennelladder/peer/messages.hpp"

#include "fennelladder/base/thrift_codec.hpp"
#include "peer_types.h"

namespace fennelladder::peer {

namespace {

template <class Wire>
void mark_to_wire(Wire& to, const journal::record_mark& from)
{
    to.writer = from.writer.str();
    to.sequence = static_cast<std::int64_t>(from.sequence);
    to.acknowledged = static_cast<std::int64_t>(from.acknowledged);
    to.opened_at = static_cast<std::int64_t>(from.opened_at);
}

template <class Wire>
journal::record_mark mark_from_wire(const Wire& from)
{
    return {.writer = incarnation_id(from.writer),
            .sequence = static_cast<std::uint64_t>(from.sequence),
            .acknowledged = static_cast<std::uint64_t>(from.acknowledged),
            .opened_at = static_cast<std::uint64_t>(from.opened_at)};
}

} // namespace

std::string encode(const append_request& message)
{
    wire::append_message out;
    out.shard = static_cast<std::int64_t>(message.shard.value());
    for (const journal::record& it : message.records) {
        wire::record_message one;
        mark_to_wire(one, it.mark);
        one.type = it.type;
        one.payload = it.payload;
        out.records.push_back(std::move(one));
    }
    return to_bytes(out);
}

result<append_request> decode_append_request(std::string_view bytes)
{
    wire::append_message in;
    if (auto ok = from_bytes(bytes, in); !ok)
        return tl::unexpected(ok.error());
    append_request message;
    message.shard = shard_id(static_cast<std::uint64_t>(in.shard));
    for (wire::record_message& it : in.records)
        message.records.push_back(
            {mark_from_wire(it), it.type, std::move(it.payload)});
    return message;
}

std::string encode(const std::vector<journal::applied_record>& applied)
{
    wire::append_answer out;
    for (const journal::applied_record& it : applied) {
        wire::applied_message one;
        mark_to_wire(one, it.mark);
        one.outcome = static_cast<std::int32_t>(it.outcome);
        one.reply = it.reply;
        one.found = it.found;
        out.applied.push_back(std::move(one));
    }
    return to_bytes(out);
}

result<std::vector<journal::applied_record>>
decode_append_response(std::string_view bytes)
{
    wire::append_answer in;
    if (auto ok = from_bytes(bytes, in); !ok)
        return tl::unexpected(ok.error());
    std::vector<journal::applied_record> applied;
    const auto last =
        static_cast<std::int32_t>(journal::record_outcome::retired);
    for (wire::applied_message& it : in.applied) {
        if (it.outcome < 0 || it.outcome > last)
            return fail(error_code::corrupt,
                        "unknown outcome of a journal record");
        applied.push_back({mark_from_wire(it),
                           static_cast<journal::record_outcome>(it.outcome),
                           std::move(it.reply), it.found});
    }
    return applied;
}

} // namespace fennelladder::peer
