#include "crash_codec.hpp"

#include "wire_values.hpp"

namespace fennelladder::mesh {

namespace {

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

} // namespace

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

} // namespace fennelladder::mesh
