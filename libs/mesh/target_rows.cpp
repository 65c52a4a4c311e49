#include "target_rows.hpp"

#include "wire_values.hpp"

namespace fennelladder::mesh {

namespace {

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

} // namespace

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
            has_revision
                ? catalog::revision(static_cast<std::uint64_t>(it.changed_at),
                                    as_of.era())
                : as_of;
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
    if (from.as_of.era() != catalog::store_era())
        out.__set_era(to_signed(from.as_of.era().value()));
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
    out.since = revision_from(from.since, from.__isset.era, from.era);
    out.as_of = revision_from(from.as_of, from.__isset.era, from.era);
    out.changes = changes_from(from.changes, out.as_of, invalid_parts);
    return out;
}

} // namespace fennelladder::mesh
