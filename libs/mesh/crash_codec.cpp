#include "crash_codec.hpp"

#include "wire_values.hpp"

#include "fennelladder/mesh/freshness.hpp"

namespace fennelladder::mesh {

namespace {

using dispatch::crash_mark;
using dispatch::crash_record;

/// Longest time for which a run or a lease is reported.
constexpr duration max_span = hours(24);

std::int32_t span_to_wire(duration span)
{
    const auto ms = std::chrono::ceil<milliseconds>(
        std::clamp(span, duration(0), duration(max_span)));
    return static_cast<std::int32_t>(ms.count());
}

duration span_from_wire(std::int32_t ms)
{
    return std::clamp<duration>(milliseconds(ms), duration(0), max_span);
}

std::int32_t place_to_wire(dispatch::run_place place)
{
    return static_cast<std::int32_t>(place.value());
}

std::optional<dispatch::run_place> place_from(std::int32_t place)
{
    if (place < 0)
        return std::nullopt;
    return id_of<dispatch::run_place>(place);
}

/// `starts_ms` is parallel to `deaths`, and unset if no start is known.
wire::Poison to_wire(const crash_record& from)
{
    wire::Poison out;
    out.mark = to_signed(from.mark.value);
    if (from.mark.is_part)
        out.__set_is_part(true);
    for (const auto& it : from.deaths) {
        out.deaths.push_back(it.target.id.str());
        out.starts_ms.push_back(to_signed(it.target.start.value()));
        out.__isset.starts_ms |= catalog::is_known(it.target.start);
        wire::CrashDeath detail;
        detail.place = place_to_wire(it.place);
        detail.age_ms = span_to_wire(it.at);
        detail.ran_ms = span_to_wire(it.ran);
        if (it.leased)
            detail.__set_leased(true);
        out.details.push_back(std::move(detail));
    }
    out.__isset.details = !out.details.empty();
    for (const auto& it : from.answers) {
        wire::CrashAnswer answer;
        answer.place = place_to_wire(it.place);
        answer.age_ms = span_to_wire(it.at);
        out.answers.push_back(std::move(answer));
    }
    out.__isset.answers = !out.answers.empty();
    return out;
}

/// A death from a node of an earlier release, which tells no times, counts as a
/// round of its own, as it does there.
dispatch::crash_death<duration> death_from(const wire::Poison& from,
                                           std::size_t i)
{
    dispatch::crash_death<duration> out;
    out.target.id = target_id(from.deaths[i]);
    if (i < from.starts_ms.size())
        out.target.start = start_of(from.starts_ms[i]);
    if (i >= from.details.size()) {
        out.leased = true;
        return out;
    }
    const wire::CrashDeath& detail = from.details[i];
    out.place = place_from(detail.place).value_or(dispatch::run_place());
    out.at = span_from_wire(detail.age_ms);
    out.ran = span_from_wire(detail.ran_ms);
    out.leased = detail.__isset.leased && detail.leased;
    return out;
}

} // namespace

std::vector<wire::Poison> to_wire(const std::vector<crash_record>& from)
{
    std::vector<wire::Poison> out;
    out.reserve(from.size());
    for (const crash_record& it : from)
        out.push_back(to_wire(it));
    return out;
}

std::vector<crash_record>
crash_records_from(const std::vector<wire::Poison>& all,
                   std::size_t& invalid_parts)
{
    std::vector<crash_record> out;
    for (const wire::Poison& it : first_rows(all, invalid_parts)) {
        if (it.deaths.empty() || !std::ranges::all_of(it.deaths, is_id)) {
            ++invalid_parts;
            continue;
        }
        crash_record record;
        record.mark = {static_cast<std::uint64_t>(it.mark),
                       it.__isset.is_part && it.is_part};
        const std::size_t n = first_rows(it.deaths, invalid_parts).size();
        for (std::size_t i = 0; i < n; ++i)
            record.deaths.push_back(death_from(it, i));
        for (const auto& answer : first_rows(it.answers, invalid_parts)) {
            const auto place = place_from(answer.place);
            // The answer may have come earlier by the time the message took.
            if (place && answer.age_ms >= 0)
                record.answers.push_back(
                    {*place, span_from_wire(answer.age_ms) + hop_allowance});
            else
                ++invalid_parts;
        }
        out.push_back(std::move(record));
    }
    return out;
}

wire::RunAsk to_wire(const run_question& from)
{
    wire::RunAsk out;
    out.life = to_signed(from.incarnation.value());
    out.number = to_signed(from.number);
    out.place = place_to_wire(from.place);
    for (const crash_mark& it : from.marks)
        (it.is_part ? out.parts : out.requests).push_back(to_signed(it.value));
    return out;
}

std::optional<run_question> from_wire(const wire::RunAsk& from)
{
    const auto place = place_from(from.place);
    if (!place || from.requests.size() > max_heartbeat_rows ||
        from.parts.size() > max_heartbeat_rows)
        return std::nullopt;
    run_question out{id_of<node_incarnation>(from.life),
                     static_cast<std::uint64_t>(from.number),
                     *place,
                     {}};
    for (const std::int64_t it : from.requests)
        out.marks.push_back({static_cast<std::uint64_t>(it), false});
    for (const std::int64_t it : from.parts)
        out.marks.push_back({static_cast<std::uint64_t>(it), true});
    return out;
}

wire::RunReply to_wire(const run_answer& from)
{
    wire::RunReply out;
    out.life = to_signed(from.incarnation.value());
    out.number = to_signed(from.number);
    out.granted = from.granted;
    out.retry_after_ms = span_to_wire(from.retry_after);
    out.records = to_wire(from.records);
    return out;
}

run_answer from_wire(const wire::RunReply& from, std::size_t& invalid_parts)
{
    return {id_of<node_incarnation>(from.life),
            static_cast<std::uint64_t>(from.number), from.granted,
            span_from_wire(from.retry_after_ms),
            crash_records_from(from.records, invalid_parts)};
}

wire::RunEnd to_wire(const run_end& from)
{
    wire::RunEnd out;
    out.life = to_signed(from.incarnation.value());
    out.number = to_signed(from.number);
    out.hold_ms = span_to_wire(from.hold);
    return out;
}

run_end from_wire(const wire::RunEnd& from)
{
    return {id_of<node_incarnation>(from.life),
            static_cast<std::uint64_t>(from.number),
            span_from_wire(from.hold_ms)};
}

} // namespace fennelladder::mesh
