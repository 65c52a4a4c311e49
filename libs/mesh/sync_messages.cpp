// Messages by which a node asks another for all that is newer, or for a relay.

#include "fennelladder/base/thrift_codec.hpp"
#include "target_rows.hpp"
#include "wire_values.hpp"

namespace fennelladder::mesh {

namespace {

wire::RelayAsk to_wire(const relay_request& from)
{
    wire::RelayAsk out;
    out.life = to_signed(from.incarnation.value());
    out.target = from.target.id.str();
    out.start_ms = to_signed(from.target.start.value());
    out.request = from.request;
    out.host = from.host.str();
    return out;
}

/// Unset if the target is invalid: nothing can be connected to it.
std::optional<relay_request> from_wire(const wire::RelayAsk& from)
{
    if (!is_id(from.target) || from.start_ms < 0)
        return std::nullopt;
    return relay_request{id_of<node_incarnation>(from.life),
                         {target_id(from.target), start_of(from.start_ms)},
                         from.request,
                         host_id(from.host)};
}

/// An unknown part of a later release is answered with both.
sync_part part_of(std::int8_t value)
{
    const bool known =
        value >= 0 && value <= static_cast<int>(sync_part::configuration);
    return known ? static_cast<sync_part>(value) : sync_part::both;
}

} // namespace

std::string encode(const sync_request& message)
{
    wire::SyncAsk out;
    out.configuration = to_signed(message.configuration.value());
    out.targets_as_of = to_signed(message.targets_as_of.value());
    if (message.targets_as_of.era() != catalog::store_era())
        out.__set_era(to_signed(message.targets_as_of.era().value()));
    out.__set_part(static_cast<std::int8_t>(message.part));
    out.__set_peer_address(message.peer_address);
    if (message.relay)
        out.__set_relay(to_wire(*message.relay));
    if (message.relay_end)
        out.__set_relay_end(to_wire(*message.relay_end));
    return to_bytes(out);
}

std::string encode(const sync_reply& message)
{
    wire::SyncReply out;
    if (!message.configuration.empty())
        out.__set_configuration(message.configuration);
    out.targets_as_of = to_signed(message.targets_as_of.value());
    if (message.targets_as_of.era() != catalog::store_era())
        out.__set_era(to_signed(message.targets_as_of.era().value()));
    out.targets_full = message.targets_full;
    for (const catalog::target_change& it : message.targets)
        out.targets.push_back(to_wire(it));
    out.__isset.targets = !out.targets.empty();
    if (!message.packed_configuration.empty())
        out.__set_packed_configuration(message.packed_configuration);
    if (message.relay)
        out.__set_relay(static_cast<std::int8_t>(*message.relay));
    if (message.relay_end)
        out.__set_relay_end(static_cast<std::int8_t>(*message.relay_end));
    if (!message.busy)
        return to_bytes(out);
    out.__set_busy(true);
    out.__set_served(message.served);
    out.__set_served_configuration(
        to_signed(message.served_configuration.value()));
    return to_bytes(out);
}

result<sync_request> decode_sync_request(std::string_view bytes)
{
    auto read = from_bytes<wire::SyncAsk>(bytes, max_list_elements);
    if (!read)
        return tl::unexpected(read.error());
    if (read->configuration < 0 || read->targets_as_of < 0)
        return fail(error_code::corrupt,
                    "sync request with a negative configuration version or "
                    "target revision");
    sync_request out{
        id_of<catalog::configuration_version>(read->configuration),
        revision_from(read->targets_as_of, read->__isset.era, read->era),
        part_of(read->part),
        read->peer_address,
        std::nullopt,
        std::nullopt};
    if (read->__isset.relay)
        out.relay = from_wire(read->relay);
    if (read->__isset.relay_end)
        out.relay_end = from_wire(read->relay_end);
    if (read->__isset.relay != out.relay.has_value() ||
        read->__isset.relay_end != out.relay_end.has_value())
        return fail(error_code::corrupt,
                    "relay request without a valid target");
    return out;
}

result<sync_reply> decode_sync_reply(std::string_view bytes)
{
    auto read = from_bytes<wire::SyncReply>(bytes, max_list_elements);
    if (!read)
        return tl::unexpected(read.error());
    if (read->targets_as_of < 0 || read->served_configuration < 0)
        return fail(error_code::corrupt,
                    "sync reply with a negative configuration version or "
                    "target revision");
    sync_reply out;
    out.configuration = std::move(read->configuration);
    out.targets_as_of =
        revision_from(read->targets_as_of, read->__isset.era, read->era);
    out.targets_full = read->targets_full;
    out.targets =
        changes_from(read->targets, out.targets_as_of, out.invalid_parts);
    out.packed_configuration = std::move(read->packed_configuration);
    out.busy = read->__isset.busy && read->busy;
    out.served = addresses_from(read->served, out.invalid_parts);
    out.served_configuration =
        id_of<catalog::configuration_version>(read->served_configuration);
    const bool known = read->__isset.relay && read->relay >= 0 &&
                       read->relay <= static_cast<int>(relay_result::busy);
    if (known)
        out.relay = static_cast<relay_result>(read->relay);
    const bool known_end =
        read->__isset.relay_end && read->relay_end >= 0 &&
        read->relay_end <= static_cast<int>(relay_end::broken);
    if (known_end)
        out.relay_end = static_cast<relay_end>(read->relay_end);
    return out;
}

std::string_view to_string(relay_end value)
{
    switch (value) {
    case relay_end::orderly:
        return "orderly";
    case relay_end::broken:
        return "broken";
    }
    return "unknown";
}

std::string_view to_string(relay_result value)
{
    switch (value) {
    case relay_result::connected:
        return "connected";
    case relay_result::unreachable:
        return "unreachable";
    case relay_result::refused:
        return "refused";
    case relay_result::busy:
        return "busy";
    }
    return "unknown";
}

} // namespace fennelladder::mesh
