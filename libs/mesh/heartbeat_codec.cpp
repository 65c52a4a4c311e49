#include "heartbeat_codec.hpp"

#include "crash_codec.hpp"
#include "fennelladder/base/address.hpp"
#include "target_rows.hpp"
#include "wire_values.hpp"

#include <cmath>
#include <limits>

namespace fennelladder::mesh {

namespace {

wire::Evacuations to_wire(const catalog::evacuation_state& from)
{
    wire::Evacuations out;
    out.as_of = to_signed(from.as_of.value());
    if (from.as_of.era() != catalog::store_era())
        out.__set_era(to_signed(from.as_of.era().value()));
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
    out.as_of = revision_from(from.as_of, from.__isset.era, from.era);
    for (const std::string& it : from.data_centers)
        out.data_centers.emplace_back(it);
    return out;
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

/// Clamps a rate to the valid range; 0 for NaN and infinities, by which nodes
/// can't be ordered.
double clamped_rate(double value)
{
    return std::isfinite(value) ? std::clamp(value, 0.0, max_request_rate) : 0;
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

} // namespace

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
    if (from.targets_as_of.era() != catalog::store_era())
        out.__set_targets_era(to_signed(from.targets_as_of.era().value()));
    if (from.store_era)
        out.__set_store_era(to_signed(from.store_era->value()));
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
    out.poison = to_wire(from.crash_records);
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

bool is_valid_sender(const wire::Beacon& from)
{
    return is_id(from.host) && is_ip_and_port(from.peer_address) &&
           from.configuration >= 0 && from.targets_changed >= 0 &&
           from.sequence >= 0 && from.data_center.size() <= max_id_bytes;
}

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
    out.targets_changed = revision_from(
        from.targets_changed, from.__isset.targets_era, from.targets_era);
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
    out.targets_as_of = revision_from(
        from.__isset.targets_as_of ? from.targets_as_of : from.targets_changed,
        from.__isset.targets_era, from.targets_era);
    if (from.__isset.store_era && from.store_era > 0)
        out.store_era = id_of<catalog::store_era>(from.store_era);
    out.sent = instant_of(from.__isset.sent_ms, from.sent_ms);
    out.load = loads_from(from.load, invalid_parts);
    out.stock = stock_from(from.stock, invalid_parts);
    out.limits = limits_from(from.limits, invalid_parts);
    out.brittle = limits_from(from.brittle, invalid_parts);
    out.leaving = leaving_from(from.leaving, invalid_parts);
    out.reached = reached_from(from.reached, invalid_parts);
    out.cut_off = from.__isset.cut_off && from.cut_off;
    out.crash_records = crash_records_from(from.poison, invalid_parts);
    out.introduced = addresses_from(from.introduced, invalid_parts);
    for (const wire::HeardNode& it : first_rows(from.heard, invalid_parts))
        if (const auto ago = age_of(true, it.ago_ms))
            out.heard.push_back({id_of<node_incarnation>(it.life), *ago});
    return out;
}

} // namespace fennelladder::mesh
