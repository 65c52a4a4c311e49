// Converts between the typed messages and Thrift's generated structs, field by
// field.

#include "fennelladder/mesh/messages.hpp"

#include "fennelladder/base/address.hpp"
#include "fennelladder/base/thrift_codec.hpp"
#include "mesh_types.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <span>

namespace fennelladder::mesh {

namespace {

std::int64_t to_signed(std::uint64_t value)
{
    return static_cast<std::int64_t>(value);
}

template <class Id>
Id id_of(std::int64_t value)
{
    return Id(static_cast<std::uint64_t>(value));
}

/// A negative start counts as unknown; converted to unsigned, it would be later
/// than all others.
catalog::target_start start_of(std::int64_t ms)
{
    return ms < 0 ? catalog::target_start() : id_of<catalog::target_start>(ms);
}

wire::TargetRow to_wire(const catalog::target_change& from)
{
    wire::TargetRow out;
    out.id = from.id.str();
    out.gone = !from.entry.has_value();
    out.changed_at = to_signed(from.at.value());
    if (!from.entry)
        return out;
    out.service_name = from.entry->service.str();
    out.address = from.entry->address;
    out.data_center = from.entry->data_center.str();
    out.slots = static_cast<std::int32_t>(from.entry->slots);
    out.leaving = from.entry->leaving;
    out.warm_up_ms =
        std::chrono::duration_cast<milliseconds>(from.entry->remaining_warm_up)
            .count();
    if (!from.entry->software.empty())
        out.__set_software(from.entry->software.str());
    if (catalog::is_known(from.entry->start))
        out.__set_start_ms(to_signed(from.entry->start.value()));
    return out;
}

catalog::target_entry entry_from_wire(const wire::TargetRow& from)
{
    catalog::target_entry entry;
    entry.id = target_id(from.id);
    entry.service = service_id(from.service_name);
    entry.address = from.address;
    entry.data_center = data_center_id(from.data_center);
    // A negative count becomes a huge one, which check_target() rejects.
    entry.slots = static_cast<std::uint32_t>(from.slots);
    entry.leaving = from.leaving;
    // Clamped, since the conversion to a duration could overflow.
    constexpr std::int64_t too_long =
        std::chrono::duration_cast<milliseconds>(catalog::max_warm_up).count() +
        1;
    entry.remaining_warm_up =
        milliseconds(std::clamp(from.warm_up_ms, std::int64_t(-1), too_long));
    entry.start = start_of(from.start_ms);
    entry.software = catalog::software_version(from.software);
    return entry;
}

bool is_id(const std::string& text)
{
    return !text.empty() && text.size() <= max_id_bytes;
}

/// Converts rows of targets. Rows without a valid id are dropped. A row whose
/// entry is invalid becomes a removal, as if read from the platform: dropping
/// it would leave an older entry in force.
std::vector<catalog::target_change>
changes_from(const std::vector<wire::TargetRow>& rows, catalog::revision as_of,
             std::size_t& invalid_parts)
{
    std::vector<catalog::target_change> out;
    out.reserve(rows.size());
    for (const wire::TargetRow& it : rows) {
        if (!is_id(it.id)) {
            ++invalid_parts;
            continue;
        }
        const bool has_revision = it.changed_at >= 0;
        const auto at =
            has_revision ? id_of<catalog::revision>(it.changed_at) : as_of;
        catalog::target_change change{target_id(it.id), std::nullopt, at};
        if (!it.gone) {
            change.entry = entry_from_wire(it);
            if (!has_revision || !catalog::check_target(*change.entry)) {
                change.entry.reset();
                ++invalid_parts;
            }
        }
        out.push_back(std::move(change));
    }
    return out;
}

wire::TargetNews to_wire(const catalog::target_update& from)
{
    wire::TargetNews out;
    out.since = to_signed(from.since.value());
    out.as_of = to_signed(from.as_of.value());
    for (const catalog::target_change& it : from.changes)
        out.changes.push_back(to_wire(it));
    return out;
}

std::optional<catalog::target_update> from_wire(const wire::TargetNews& from,
                                                std::size_t& invalid_parts)
{
    // An update with missing rows would be taken for complete.
    if (from.since < 0 || from.as_of < 0 ||
        from.changes.size() > max_heartbeat_rows) {
        ++invalid_parts;
        return std::nullopt;
    }
    catalog::target_update out;
    out.since = id_of<catalog::revision>(from.since);
    out.as_of = id_of<catalog::revision>(from.as_of);
    out.changes = changes_from(from.changes, out.as_of, invalid_parts);
    return out;
}

/// `starts_ms` is parallel to `deaths`, and unset if no start is known.
wire::Poison to_wire(const dispatch::poison_record& from)
{
    wire::Poison out;
    out.mark = to_signed(from.mark.value());
    for (const catalog::target_process& it : from.deaths) {
        out.deaths.push_back(it.id.str());
        out.starts_ms.push_back(to_signed(it.start.value()));
        out.__isset.starts_ms |= catalog::is_known(it.start);
    }
    return out;
}

dispatch::poison_record from_wire(const wire::Poison& from)
{
    dispatch::poison_record out;
    out.mark = id_of<dispatch::request_fingerprint>(from.mark);
    for (std::size_t i = 0; i < from.deaths.size(); ++i) {
        const bool has_start = i < from.starts_ms.size();
        out.deaths.push_back(
            {target_id(from.deaths[i]), has_start ? start_of(from.starts_ms[i])
                                                  : catalog::target_start()});
    }
    return out;
}

wire::Evacuations to_wire(const catalog::evacuation_state& from)
{
    wire::Evacuations out;
    out.as_of = to_signed(from.as_of.value());
    for (const data_center_id& it : from.data_centers)
        out.data_centers.push_back(it.str());
    return out;
}

/// Rejects an invalid state as a whole: one with missing names would end
/// evacuations.
std::optional<catalog::evacuation_state>
from_wire(const wire::Evacuations& from, std::size_t& invalid_parts)
{
    const bool is_complete =
        from.as_of > 0 &&
        from.data_centers.size() <= catalog::max_evacuations &&
        std::ranges::all_of(from.data_centers, is_id);
    if (!is_complete) {
        ++invalid_parts;
        return std::nullopt;
    }
    catalog::evacuation_state out;
    out.as_of = id_of<catalog::revision>(from.as_of);
    for (const std::string& it : from.data_centers)
        out.data_centers.emplace_back(it);
    return out;
}

/// Upper limit of an age on the wire; ages of weeks and of hours mean the same
/// to a receiver.
constexpr duration max_age = seconds(3600);

std::int32_t age_to_wire(duration age)
{
    const auto ms =
        std::chrono::duration_cast<milliseconds>(std::min(age, max_age));
    return static_cast<std::int32_t>(ms.count());
}

/// Rejects a negative age, which would be a confirmation in the future.
std::optional<duration> age_of(bool known, std::int32_t ms)
{
    if (!known || ms < 0)
        return std::nullopt;
    return milliseconds(ms);
}

std::int64_t milliseconds_of(instant at)
{
    return std::chrono::duration_cast<milliseconds>(at.time_since_epoch())
        .count();
}

/// Unset for a time that doesn't fit an instant.
std::optional<instant> instant_of(bool known, std::int64_t ms)
{
    constexpr std::int64_t max_ms =
        std::chrono::duration_cast<milliseconds>(duration::max()).count();
    if (!known || ms < 0 || ms > max_ms)
        return std::nullopt;
    return instant(milliseconds(ms));
}

wire::Limit to_wire(const dispatch::limit_signal& from)
{
    wire::Limit out;
    out.target = from.target.str();
    out.start_ms = to_signed(from.start.value());
    if (from.rate)
        out.__set_rate(*from.rate);
    out.ago_ms = age_to_wire(from.ago);
    return out;
}

wire::LeavingTarget to_wire(const catalog::target_process& from)
{
    wire::LeavingTarget out;
    out.target = from.id.str();
    out.start_ms = to_signed(from.start.value());
    return out;
}

/// Records of streams are dropped long before.
constexpr std::int32_t max_origin_age_ms = 24 * 3600 * 1000;

/// Unit of the ages of reached targets.
constexpr duration reach_age_unit = milliseconds(50);
constexpr std::size_t reached_row_bytes = 5;

/// Ages are rounded up: a target must not seem to be heard from later.
std::string to_wire(const std::vector<dispatch::reached_target>& from)
{
    std::string out;
    for (const dispatch::reached_target& it : from) {
        const auto units =
            (it.ago + reach_age_unit - duration(1)) / reach_age_unit;
        for (const int shift : {24, 16, 8, 0})
            out.push_back(static_cast<char>(it.mark >> shift));
        out.push_back(static_cast<char>(std::clamp<std::int64_t>(
            units, 0, std::numeric_limits<std::uint8_t>::max())));
    }
    return out;
}

std::vector<dispatch::reached_target> reached_from(const std::string& bytes,
                                                   std::size_t& invalid_parts)
{
    std::vector<dispatch::reached_target> out;
    const std::size_t rows = bytes.size() / reached_row_bytes;
    if (bytes.size() % reached_row_bytes != 0 || rows > max_heartbeat_rows) {
        ++invalid_parts;
        return out;
    }
    for (std::size_t i = 0; i < rows; ++i) {
        const auto byte = [&](std::size_t n) {
            return static_cast<std::uint8_t>(bytes[i * reached_row_bytes + n]);
        };
        dispatch::process_mark mark = 0;
        for (std::size_t n = 0; n < 4; ++n)
            mark = mark << 8 | byte(n);
        out.push_back({mark, reach_age_unit * byte(4)});
    }
    return out;
}

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

wire::Beacon to_wire(const node_heartbeat& from)
{
    wire::Beacon out;
    out.host = from.host.str();
    out.life = to_signed(from.incarnation.value());
    out.sequence = to_signed(from.sequence);
    out.state = static_cast<std::int8_t>(from.state);
    out.data_center = from.data_center.str();
    out.caller_address = from.caller_address;
    out.peer_address = from.peer_address;
    out.configuration = to_signed(from.configuration.value());
    out.targets_changed = to_signed(from.targets_changed.value());
    out.platform_reached = from.platform_reached;
    out.requests_per_second = from.requests_per_second;
    out.capacity = from.capacity;
    if (from.configuration_age)
        out.__set_configuration_age_ms(age_to_wire(*from.configuration_age));
    if (from.targets_age)
        out.__set_targets_age_ms(age_to_wire(*from.targets_age));
    if (from.evacuations)
        out.__set_evacuations(to_wire(*from.evacuations));
    if (from.evacuations_age)
        out.__set_evacuations_age_ms(age_to_wire(*from.evacuations_age));
    if (from.uptime)
        out.__set_up_ms(age_to_wire(*from.uptime));
    if (from.fleets_lost)
        out.__set_fleets_lost(*from.fleets_lost);
    if (from.target_update)
        out.__set_target_news(to_wire(*from.target_update));
    out.__set_is_brief(from.is_brief);
    out.__set_targets_as_of(to_signed(from.targets_as_of.value()));
    if (from.sent)
        out.__set_sent_ms(milliseconds_of(*from.sent));
    for (const auto& it : from.load) {
        wire::Load load;
        load.target = it.target.str();
        load.running = static_cast<std::int32_t>(it.running);
        load.reading = static_cast<std::int32_t>(it.reading);
        if (catalog::is_known(it.start))
            load.__set_start_ms(to_signed(it.start.value()));
        out.load.push_back(std::move(load));
    }
    out.__isset.load = !out.load.empty();
    for (const auto& it : from.stock) {
        wire::Stock stock;
        stock.team = it.team.str();
        stock.free = it.free.count();
        stock.spent_per_second = it.spent_per_second.count();
        out.stock.push_back(std::move(stock));
    }
    out.__isset.stock = !out.stock.empty();
    for (const auto& it : from.limits)
        out.limits.push_back(to_wire(it));
    out.__isset.limits = !out.limits.empty();
    for (const auto& it : from.leaving)
        out.leaving.push_back(to_wire(it));
    out.__isset.leaving = !out.leaving.empty();
    for (const auto& it : from.brittle)
        out.brittle.push_back(to_wire(it));
    out.__isset.brittle = !out.brittle.empty();
    if (!from.reached.empty())
        out.__set_reached(to_wire(from.reached));
    if (from.cut_off)
        out.__set_cut_off(true);
    for (const auto& it : from.poison)
        out.poison.push_back(to_wire(it));
    out.__isset.poison = !out.poison.empty();
    out.introduced = from.introduced;
    out.__isset.introduced = !out.introduced.empty();
    for (const recent_peer& it : from.heard) {
        wire::HeardNode heard;
        heard.life = to_signed(it.incarnation.value());
        heard.ago_ms = age_to_wire(it.ago);
        out.heard.push_back(heard);
    }
    out.__isset.heard = !out.heard.empty();
    return out;
}

/// Whether the heartbeat has a valid sender and valid versions. Negative
/// revisions and versions would turn into the largest possible ones, and every
/// node that accepted them would wait for an update that no node has.
bool is_valid_sender(const wire::Beacon& from)
{
    return is_id(from.host) && is_ip_and_port(from.peer_address) &&
           from.configuration >= 0 && from.targets_changed >= 0 &&
           from.sequence >= 0 && from.data_center.size() <= max_id_bytes;
}

/// Clamps a rate to the valid range; 0 for NaN and infinities, by which nodes
/// can't be ordered.
double clamped_rate(double value)
{
    return std::isfinite(value) ? std::clamp(value, 0.0, max_request_rate) : 0;
}

/// The first max_heartbeat_rows rows. Each row is looked up among all known
/// entries, so the time would grow with the square of a list that a peer makes
/// as long as a datagram holds.
template <class Row>
std::span<const Row> first_rows(const std::vector<Row>& all,
                                std::size_t& invalid_parts)
{
    const std::size_t n = std::min(all.size(), max_heartbeat_rows);
    invalid_parts += all.size() - n;
    return std::span(all).first(n);
}

std::vector<dispatch::target_load>
loads_from(const std::vector<wire::Load>& all, std::size_t& invalid_parts)
{
    std::vector<dispatch::target_load> out;
    for (const wire::Load& it : first_rows(all, invalid_parts)) {
        if (!is_id(it.target) || it.running < 0 || it.reading < 0) {
            ++invalid_parts;
            continue;
        }
        out.push_back(
            {target_id(it.target), static_cast<std::uint32_t>(it.running),
             static_cast<std::uint32_t>(it.reading), start_of(it.start_ms)});
    }
    return out;
}

/// Validates a limit; one with an invalid rate would throttle the target at all
/// nodes.
bool is_limit(const wire::Limit& from)
{
    const bool is_rate =
        !from.__isset.rate || (std::isfinite(from.rate) && from.rate >= 0);
    return is_id(from.target) && is_rate && from.ago_ms >= 0;
}

std::vector<dispatch::limit_signal>
limits_from(const std::vector<wire::Limit>& all, std::size_t& invalid_parts)
{
    std::vector<dispatch::limit_signal> out;
    for (const wire::Limit& it : first_rows(all, invalid_parts)) {
        if (!is_limit(it)) {
            ++invalid_parts;
            continue;
        }
        dispatch::limit_signal limit{target_id(it.target),
                                     start_of(it.start_ms), std::nullopt,
                                     milliseconds(it.ago_ms)};
        if (it.__isset.rate)
            limit.rate = it.rate;
        out.push_back(std::move(limit));
    }
    return out;
}

std::vector<catalog::target_process>
leaving_from(const std::vector<wire::LeavingTarget>& all,
             std::size_t& invalid_parts)
{
    std::vector<catalog::target_process> out;
    for (const wire::LeavingTarget& it : first_rows(all, invalid_parts)) {
        if (is_id(it.target))
            out.push_back({target_id(it.target), start_of(it.start_ms)});
        else
            ++invalid_parts;
    }
    return out;
}

bool is_amount(std::int64_t count)
{
    return count >= 0 && tokens(count) <= max_token_amount;
}

std::vector<token_stock> stock_from(const std::vector<wire::Stock>& all,
                                    std::size_t& invalid_parts)
{
    std::vector<token_stock> out;
    for (const wire::Stock& it : first_rows(all, invalid_parts)) {
        if (!is_id(it.team) || !is_amount(it.free) ||
            !is_amount(it.spent_per_second)) {
            ++invalid_parts;
            continue;
        }
        out.push_back(
            {team_id(it.team), tokens(it.free), tokens(it.spent_per_second)});
    }
    return out;
}

std::vector<dispatch::poison_record>
poison_from(const std::vector<wire::Poison>& all, std::size_t& invalid_parts)
{
    std::vector<dispatch::poison_record> out;
    for (const wire::Poison& it : first_rows(all, invalid_parts)) {
        if (it.deaths.empty() || !std::ranges::all_of(it.deaths, is_id)) {
            ++invalid_parts;
            continue;
        }
        dispatch::poison_record record = from_wire(it);
        invalid_parts += record.deaths.size() -
                         std::min(record.deaths.size(), max_heartbeat_rows);
        record.deaths.resize(
            std::min(record.deaths.size(), max_heartbeat_rows));
        out.push_back(std::move(record));
    }
    return out;
}

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

/// Precondition: is_valid_sender().
node_heartbeat from_wire(const wire::Beacon& from, std::size_t& invalid_parts)
{
    node_heartbeat out;
    out.host = host_id(from.host);
    out.incarnation = id_of<node_incarnation>(from.life);
    out.sequence = static_cast<std::uint64_t>(from.sequence);
    // An unknown state of a later release counts as one that accepts no
    // callers.
    const bool known =
        from.state >= 0 && from.state <= static_cast<int>(node_state::late);
    out.state =
        known ? static_cast<node_state>(from.state) : node_state::leaving;
    out.data_center = data_center_id(from.data_center);
    out.caller_address = from.caller_address;
    // Callers are redirected to this address, so an invalid one is dropped.
    if (!is_ip_and_port(out.caller_address))
        out.caller_address.clear();
    out.peer_address = from.peer_address;
    out.configuration =
        id_of<catalog::configuration_version>(from.configuration);
    out.targets_changed = id_of<catalog::revision>(from.targets_changed);
    out.platform_reached = from.platform_reached;
    out.requests_per_second = clamped_rate(from.requests_per_second);
    out.capacity = clamped_rate(from.capacity);
    out.configuration_age =
        age_of(from.__isset.configuration_age_ms, from.configuration_age_ms);
    out.targets_age = age_of(from.__isset.targets_age_ms, from.targets_age_ms);
    if (from.__isset.evacuations)
        out.evacuations = from_wire(from.evacuations, invalid_parts);
    out.evacuations_age =
        age_of(from.__isset.evacuations_age_ms, from.evacuations_age_ms);
    out.uptime = age_of(from.__isset.up_ms, from.up_ms);
    if (from.__isset.fleets_lost && from.fleets_lost >= 0)
        out.fleets_lost = std::min(from.fleets_lost, max_fleets_lost);
    if (from.__isset.target_news)
        out.target_update = from_wire(from.target_news, invalid_parts);
    out.is_brief = from.__isset.is_brief && from.is_brief;
    out.targets_as_of = id_of<catalog::revision>(
        from.__isset.targets_as_of ? from.targets_as_of : from.targets_changed);
    out.sent = instant_of(from.__isset.sent_ms, from.sent_ms);
    out.load = loads_from(from.load, invalid_parts);
    out.stock = stock_from(from.stock, invalid_parts);
    out.limits = limits_from(from.limits, invalid_parts);
    out.brittle = limits_from(from.brittle, invalid_parts);
    out.leaving = leaving_from(from.leaving, invalid_parts);
    out.reached = reached_from(from.reached, invalid_parts);
    out.cut_off = from.__isset.cut_off && from.cut_off;
    out.poison = poison_from(from.poison, invalid_parts);
    out.introduced = addresses_from(from.introduced, invalid_parts);
    for (const wire::HeardNode& it : first_rows(from.heard, invalid_parts))
        if (const auto ago = age_of(true, it.ago_ms))
            out.heard.push_back({id_of<node_incarnation>(it.life), *ago});
    return out;
}

/// Converts the fields that the four token messages share.
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

/// An unknown part of a later release is answered with both.
sync_part part_of(std::int8_t value)
{
    const bool known =
        value >= 0 && value <= static_cast<int>(sync_part::configuration);
    return known ? static_cast<sync_part>(value) : sync_part::both;
}

} // namespace

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
    for (const dispatch::aged_origin& it : message.origins)
        out.origins.push_back(to_wire(it));
    out.__isset.origins = !out.origins.empty();
    if (message.stream_question)
        out.__set_origin_ask(to_wire(*message.stream_question));
    if (message.stream_answer)
        out.__set_origin_reply(to_wire(*message.stream_answer));
    return to_bytes(out);
}

std::string encode(const sync_request& message)
{
    wire::SyncAsk out;
    out.configuration = to_signed(message.configuration.value());
    out.targets_as_of = to_signed(message.targets_as_of.value());
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

result<datagram> decode_datagram(std::string_view bytes)
{
    auto read = from_bytes<wire::Datagram>(bytes, max_list_elements);
    if (!read)
        return tl::unexpected(read.error());
    if (read->__isset.beacon && !is_valid_sender(read->beacon))
        return fail(error_code::corrupt,
                    "heartbeat with an invalid host id, peer address, data "
                    "centre, version, revision or sequence number");
    datagram out;
    if (read->__isset.beacon)
        out.heartbeat = from_wire(read->beacon, out.invalid_parts);
    if (read->__isset.ask)
        out.request = transfer_from_wire<token_request>(read->ask);
    if (read->__isset.give)
        out.grant = transfer_from_wire<token_grant>(read->give);
    if (read->__isset.gift)
        out.push = transfer_from_wire<token_push>(read->gift);
    if (read->__isset.gift_taken)
        out.push_ack = transfer_from_wire<token_push_ack>(read->gift_taken);
    out.origins = origins_from(read->origins, out.invalid_parts);
    if (read->__isset.origin_ask)
        out.stream_question = from_wire(read->origin_ask);
    if (read->__isset.origin_reply) {
        out.stream_answer = from_wire(read->origin_reply);
        out.invalid_parts += !out.stream_answer;
    }
    if (has_invalid_amount(out))
        return fail(error_code::corrupt,
                    "token message with an amount out of range");
    if (has_empty_team(out))
        return fail(error_code::corrupt,
                    "token message without a valid team id");
    return out;
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
    sync_request out{id_of<catalog::configuration_version>(read->configuration),
                     id_of<catalog::revision>(read->targets_as_of),
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
    out.targets_as_of = id_of<catalog::revision>(read->targets_as_of);
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
