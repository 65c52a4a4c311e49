// Messages about requests that are suspected of having killed targets.

#include "fennelladder/peer/messages.hpp"

#include "fennelladder/base/thrift_codec.hpp"
#include "peer_types.h"

namespace fennelladder::peer {

namespace {

std::int64_t to_signed(std::uint64_t value)
{
    return static_cast<std::int64_t>(value);
}

request::suspect_mark to_mark(std::int64_t value)
{
    return request::suspect_mark(static_cast<std::uint64_t>(value));
}

} // namespace

std::string encode(const suspects_request& message)
{
    wire::suspects_question out;
    out.sender = message.sender.str();
    for (const request::suspect_record& it : message.records) {
        wire::suspect_message one;
        one.mark = to_signed(it.mark.value());
        one.answered = to_nanoseconds(it.answered);
        one.refused = to_nanoseconds(it.refused);
        for (const request::target_death& death : it.deaths) {
            wire::death_message row;
            row.id = to_signed(death.id);
            row.at = to_nanoseconds(death.at);
            row.witness = death.witness.str();
            one.deaths.push_back(std::move(row));
        }
        out.records.push_back(std::move(one));
    }
    return to_bytes(out);
}

result<suspects_request> decode_suspects_request(std::string_view bytes)
{
    wire::suspects_question in;
    if (auto ok = from_bytes(bytes, in); !ok)
        return tl::unexpected(ok.error());
    suspects_request message;
    message.sender = incarnation_id(in.sender);
    for (const wire::suspect_message& it : in.records) {
        request::suspect_record one;
        one.mark = to_mark(it.mark);
        one.answered = from_nanoseconds(it.answered);
        one.refused = from_nanoseconds(it.refused);
        for (const wire::death_message& row : it.deaths)
            one.deaths.push_back({static_cast<std::uint64_t>(row.id),
                                  from_nanoseconds(row.at),
                                  incarnation_id(row.witness)});
        message.records.push_back(std::move(one));
    }
    return message;
}

std::string encode(const std::vector<request::suspect_ack>& acks)
{
    wire::suspects_answer out;
    for (const request::suspect_ack& it : acks) {
        wire::ack_message one;
        one.mark = to_signed(it.mark.value());
        one.deaths = to_signed(it.deaths);
        one.running = it.running;
        one.answered = to_nanoseconds(it.answered);
        out.acks.push_back(one);
    }
    return to_bytes(out);
}

result<std::vector<request::suspect_ack>>
decode_suspects_response(std::string_view bytes)
{
    wire::suspects_answer in;
    if (auto ok = from_bytes(bytes, in); !ok)
        return tl::unexpected(ok.error());
    std::vector<request::suspect_ack> acks;
    for (const wire::ack_message& it : in.acks)
        acks.push_back({to_mark(it.mark), static_cast<std::uint64_t>(it.deaths),
                        it.running, from_nanoseconds(it.answered)});
    return acks;
}

} // namespace fennelladder::peer
