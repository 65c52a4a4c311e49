// Datagrams, and the messages about tokens and streams.

#include "fennelladder/mesh/messages.hpp"

#include "configuration_codec.hpp"
#include "crash_codec.hpp"
#include "draw_codec.hpp"
#include "fennelladder/base/address.hpp"
#include "fennelladder/base/thrift_codec.hpp"
#include "heartbeat_codec.hpp"
#include "wire_values.hpp"

namespace fennelladder::mesh {

namespace {

/// Records of streams are dropped long before.
constexpr std::int32_t max_origin_age_ms = 24 * 3600 * 1000;

wire::StreamOrigin to_wire(const dispatch::aged_origin& from)
{
    wire::StreamOrigin out;
    out.key = to_signed(from.origin.key.value());
    out.service_name = from.origin.service.str();
    out.software = from.origin.version.str();
    out.attempt = static_cast<std::int32_t>(from.origin.attempt);
    const auto age = std::chrono::duration_cast<milliseconds>(from.age).count();
    if (age > 0)
        out.__set_age_ms(static_cast<std::int32_t>(
            std::min<std::int64_t>(age, max_origin_age_ms)));
    return out;
}

std::optional<dispatch::aged_origin> from_wire(const wire::StreamOrigin& from)
{
    if (!is_id(from.service_name) || from.software.size() > max_id_bytes ||
        from.attempt < 0 || from.age_ms < 0 || from.age_ms > max_origin_age_ms)
        return std::nullopt;
    return dispatch::aged_origin{{id_of<dispatch::stream_key>(from.key),
                                  service_id(from.service_name),
                                  catalog::software_version(from.software),
                                  static_cast<std::uint32_t>(from.attempt)},
                                 milliseconds(from.age_ms)};
}

std::vector<dispatch::aged_origin>
origins_from(const std::vector<wire::StreamOrigin>& rows,
             std::size_t& invalid_parts)
{
    std::vector<dispatch::aged_origin> out;
    for (const wire::StreamOrigin& it : rows) {
        const auto read = from_wire(it);
        if (read && out.size() < max_heartbeat_rows)
            out.push_back(*read);
        else
            ++invalid_parts;
    }
    return out;
}

wire::OriginAsk to_wire(const origin_question& from)
{
    wire::OriginAsk out;
    out.life = to_signed(from.incarnation.value());
    out.number = to_signed(from.number);
    out.key = to_signed(from.key.value());
    out.service_name = from.service.str();
    return out;
}

origin_question from_wire(const wire::OriginAsk& from)
{
    return {id_of<node_incarnation>(from.life),
            static_cast<std::uint64_t>(from.number),
            id_of<dispatch::stream_key>(from.key),
            service_id(from.service_name)};
}

wire::OriginReply to_wire(const origin_answer& from)
{
    wire::OriginReply out;
    out.life = to_signed(from.incarnation.value());
    out.number = to_signed(from.number);
    out.host = from.host.str();
    if (from.origin)
        out.__set_origin(to_wire(*from.origin));
    for (const catalog::software_version& it : from.versions.versions)
        out.versions.push_back(it.str());
    out.__isset.versions = !out.versions.empty();
    if (from.versions.complete)
        out.__set_versions_complete(true);
    return out;
}

/// An answer that can't be read whole says nothing: left out versions would
/// make another one look like the only one.
std::optional<origin_answer> from_wire(const wire::OriginReply& from)
{
    origin_answer out;
    out.incarnation = id_of<node_incarnation>(from.life);
    out.number = static_cast<std::uint64_t>(from.number);
    out.host = host_id(from.host);
    if (from.__isset.origin) {
        out.origin = from_wire(from.origin);
        if (!out.origin)
            return std::nullopt;
    }
    for (const std::string& it : from.versions) {
        if (it.size() > max_id_bytes)
            return std::nullopt;
        out.versions.versions.insert(catalog::software_version(it));
    }
    out.versions.complete =
        from.__isset.versions_complete && from.versions_complete;
    return out;
}

/// Converts the fields that the token messages share.
template <class Wire, class Message>
Wire transfer_to_wire(const Message& from)
{
    Wire out;
    out.life = to_signed(from.incarnation.value());
    out.number = to_signed(from.number.value());
    if constexpr (requires { from.team; })
        out.team = from.team.str();
    if constexpr (requires { from.amount; })
        out.amount = from.amount.count();
    if constexpr (requires { from.wanted; })
        out.wanted = from.wanted.count();
    if constexpr (requires { from.background; }) {
        out.__set_patient(from.background);
        out.__set_urgency(static_cast<std::int8_t>(from.urgency));
    }
    if constexpr (requires { from.allotted; })
        if (from.allotted)
            out.__set_allotted(from.allotted->count());
    return out;
}

template <class Message, class Wire>
Message transfer_from_wire(const Wire& from)
{
    Message out;
    out.incarnation = id_of<node_incarnation>(from.life);
    out.number = id_of<transfer_number>(from.number);
    if constexpr (requires { out.team; })
        out.team = team_id(from.team);
    if constexpr (requires { out.amount; })
        out.amount = tokens(from.amount);
    if constexpr (requires { out.wanted; })
        out.wanted = tokens(from.wanted);
    if constexpr (requires { out.background; }) {
        out.background = from.__isset.patient && from.patient;
        out.urgency = from.__isset.urgency ? from.urgency : 0;
    }
    if constexpr (requires { out.allotted; })
        if (from.__isset.allotted && is_amount(from.allotted))
            out.allotted = tokens(from.allotted);
    return out;
}

/// Whether a token message has an amount out of range.
bool has_invalid_amount(const datagram& it)
{
    return (it.request && !is_amount(it.request->wanted.count())) ||
           (it.grant && !is_amount(it.grant->amount.count())) ||
           (it.push && !is_amount(it.push->amount.count()));
}

/// Whether a token message has no valid team id.
bool has_empty_team(const datagram& it)
{
    return (it.request && !is_id(it.request->team.str())) ||
           (it.grant && !is_id(it.grant->team.str())) ||
           (it.push && !is_id(it.push->team.str()));
}

} // namespace

std::vector<std::string> addresses_from(const std::vector<std::string>& all,
                                        std::size_t& invalid_parts)
{
    std::vector<std::string> out;
    for (const std::string& it : first_rows(all, invalid_parts)) {
        if (is_ip_and_port(it))
            out.push_back(it);
        else
            ++invalid_parts;
    }
    return out;
}

std::string encode(const datagram& message)
{
    wire::Datagram out;
    if (message.heartbeat)
        out.__set_beacon(to_wire(*message.heartbeat));
    if (message.request)
        out.__set_ask(transfer_to_wire<wire::TokenAsk>(*message.request));
    if (message.grant)
        out.__set_give(transfer_to_wire<wire::TokenGive>(*message.grant));
    if (message.push)
        out.__set_gift(transfer_to_wire<wire::TokenGift>(*message.push));
    if (message.push_ack)
        out.__set_gift_taken(
            transfer_to_wire<wire::TokenGiftTaken>(*message.push_ack));
    if (message.grant_ack)
        out.__set_give_taken(
            transfer_to_wire<wire::TokenGiftTaken>(*message.grant_ack));
    for (const dispatch::aged_origin& it : message.origins)
        out.origins.push_back(to_wire(it));
    out.__isset.origins = !out.origins.empty();
    if (message.stream_question)
        out.__set_origin_ask(to_wire(*message.stream_question));
    if (message.stream_answer)
        out.__set_origin_reply(to_wire(*message.stream_answer));
    out.crash_records = to_wire(message.crash_records);
    out.__isset.crash_records = !out.crash_records.empty();
    if (message.run_question)
        out.__set_run_ask(to_wire(*message.run_question));
    if (message.run_answer)
        out.__set_run_reply(to_wire(*message.run_answer));
    if (message.run_end)
        out.__set_run_end(to_wire(*message.run_end));
    if (message.draw_report)
        out.__set_draw_report(to_wire(*message.draw_report));
    if (message.draw_ack)
        out.__set_draw_ack(to_wire(*message.draw_ack));
    if (message.draw_question)
        out.__set_draw_ask(to_wire(*message.draw_question));
    if (message.draw_answer)
        out.__set_draw_answer(to_wire(*message.draw_answer));
    if (message.configuration_question)
        out.__set_configuration_ask(to_wire(*message.configuration_question));
    if (message.configuration_part)
        out.__set_configuration_part(to_wire(*message.configuration_part));
    return to_bytes(out);
}

result<datagram> decode_datagram(std::string_view bytes)
{
    // Thrift's structures have no moves: one in a result would be a copy.
    wire::Datagram read;
    if (auto ok = from_bytes(bytes, read, max_list_elements); !ok)
        return tl::unexpected(ok.error());
    if (read.__isset.beacon && !is_valid_sender(read.beacon))
        return fail(error_code::corrupt,
                    "heartbeat with an invalid host id, peer address, data "
                    "centre, version, revision or sequence number");
    datagram out;
    if (read.__isset.beacon)
        out.heartbeat = from_wire(read.beacon, out.invalid_parts);
    if (read.__isset.ask)
        out.request = transfer_from_wire<token_request>(read.ask);
    if (read.__isset.give)
        out.grant = transfer_from_wire<token_grant>(read.give);
    if (read.__isset.gift)
        out.push = transfer_from_wire<token_push>(read.gift);
    if (read.__isset.gift_taken)
        out.push_ack = transfer_from_wire<token_push_ack>(read.gift_taken);
    if (read.__isset.give_taken)
        out.grant_ack = transfer_from_wire<token_grant_ack>(read.give_taken);
    out.origins = origins_from(read.origins, out.invalid_parts);
    if (read.__isset.origin_ask)
        out.stream_question = from_wire(read.origin_ask);
    if (read.__isset.origin_reply) {
        out.stream_answer = from_wire(read.origin_reply);
        out.invalid_parts += !out.stream_answer;
    }
    out.crash_records =
        crash_records_from(read.crash_records, out.invalid_parts);
    if (read.__isset.run_ask) {
        out.run_question = from_wire(read.run_ask);
        out.invalid_parts += !out.run_question;
    }
    if (read.__isset.run_reply)
        out.run_answer = from_wire(read.run_reply, out.invalid_parts);
    if (read.__isset.run_end)
        out.run_end = from_wire(read.run_end);
    if (read.__isset.draw_report) {
        out.draw_report = report_from(read.draw_report);
        out.invalid_parts += !out.draw_report;
    }
    if (read.__isset.draw_ack)
        out.draw_ack = from_wire(read.draw_ack);
    if (read.__isset.draw_ask)
        out.draw_question = from_wire(read.draw_ask);
    if (read.__isset.draw_answer) {
        out.draw_answer = answer_from(read.draw_answer);
        out.invalid_parts += !out.draw_answer;
    }
    if (read.__isset.configuration_ask) {
        out.configuration_question = from_wire(read.configuration_ask);
        out.invalid_parts += !out.configuration_question;
    }
    if (read.__isset.configuration_part) {
        out.configuration_part = from_wire(read.configuration_part);
        out.invalid_parts += !out.configuration_part;
    }
    if (has_invalid_amount(out))
        return fail(error_code::corrupt,
                    "token message with an amount out of range");
    if (has_empty_team(out))
        return fail(error_code::corrupt,
                    "token message without a valid team id");
    return out;
}

} // namespace fennelladder::mesh
