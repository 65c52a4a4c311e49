#include "draw_codec.hpp"

#include "wire_values.hpp"

#include <limits>

namespace fennelladder::mesh {

namespace {

/// Only draws of one epoch are common; each epoch is written once.
std::vector<wire::EpochDraws>
to_wire(const std::vector<prepaid::known_draw>& from)
{
    std::vector<wire::EpochDraws> out;
    const prepaid::allotment_epoch* last = nullptr;
    for (const prepaid::known_draw& it : from) {
        if (last == nullptr || *last != it.epoch) {
            last = &it.epoch;
            wire::EpochDraws& made = out.emplace_back();
            made.sequence = to_signed(it.epoch.sequence);
            made.nonce = to_signed(it.epoch.nonce);
            made.era = to_signed(it.epoch.era.value());
        }
        out.back().teams.push_back(it.team.str());
        out.back().amounts.push_back(it.amount.count());
    }
    return out;
}

std::optional<std::vector<prepaid::known_draw>>
draws_from(const std::vector<wire::EpochDraws>& from)
{
    std::vector<prepaid::known_draw> out;
    for (const wire::EpochDraws& it : from) {
        if (it.teams.size() != it.amounts.size() || it.era < 0 ||
            it.sequence < 0 ||
            out.size() + it.teams.size() > max_heartbeat_rows)
            return std::nullopt;
        const prepaid::allotment_epoch epoch{
            static_cast<std::uint64_t>(it.sequence),
            static_cast<std::uint64_t>(it.nonce),
            id_of<catalog::store_era>(it.era)};
        for (std::size_t i = 0; i < it.teams.size(); ++i) {
            if (!is_id(it.teams[i]) || !is_amount(it.amounts[i]))
                return std::nullopt;
            out.push_back({epoch, team_id(it.teams[i]), tokens(it.amounts[i])});
        }
    }
    return out;
}

catalog::store_era era_from(std::int64_t era)
{
    return era > 0 ? id_of<catalog::store_era>(era) : catalog::store_era();
}

/// The fields that reports and answers share.
template <class Message>
wire::DrawReport report_to_wire(const Message& from)
{
    wire::DrawReport out;
    out.life = to_signed(from.incarnation.value());
    out.number = to_signed(from.number);
    out.era = to_signed(from.era.value());
    out.draws = to_wire(from.draws);
    return out;
}

template <class Message>
std::optional<Message> report_from_wire(const wire::DrawReport& from)
{
    auto draws = draws_from(from.draws);
    if (!draws)
        return std::nullopt;
    Message out;
    out.incarnation = id_of<node_incarnation>(from.life);
    out.number = static_cast<std::uint64_t>(from.number);
    out.era = era_from(from.era);
    out.draws = std::move(*draws);
    return out;
}

} // namespace

wire::DrawReport to_wire(const draw_report& from)
{
    return report_to_wire(from);
}

wire::DrawReport to_wire(const draw_answer& from)
{
    wire::DrawReport out = report_to_wire(from);
    out.__set_reporter(to_signed(from.reporter.value()));
    out.__set_part(static_cast<std::int32_t>(from.part));
    out.__set_parts(static_cast<std::int32_t>(from.parts));
    return out;
}

wire::DrawAck to_wire(const draw_ack& from)
{
    wire::DrawAck out;
    out.life = to_signed(from.incarnation.value());
    out.number = to_signed(from.number);
    out.era = to_signed(from.era.value());
    out.witness = to_signed(from.witness.value());
    return out;
}

wire::DrawAsk to_wire(const draw_question& from)
{
    wire::DrawAsk out;
    out.life = to_signed(from.incarnation.value());
    out.number = to_signed(from.number);
    out.era = to_signed(from.era.value());
    return out;
}

std::optional<draw_report> report_from(const wire::DrawReport& from)
{
    return report_from_wire<draw_report>(from);
}

std::optional<draw_answer> answer_from(const wire::DrawReport& from)
{
    auto out = report_from_wire<draw_answer>(from);
    const bool is_whole = from.__isset.reporter && from.__isset.part &&
                          from.__isset.parts && from.part >= 0 &&
                          from.part < from.parts;
    if (!out || !is_whole)
        return std::nullopt;
    out->reporter = id_of<node_incarnation>(from.reporter);
    out->part = static_cast<std::uint32_t>(from.part);
    out->parts = static_cast<std::uint32_t>(from.parts);
    return out;
}

draw_ack from_wire(const wire::DrawAck& from)
{
    return {id_of<node_incarnation>(from.life),
            static_cast<std::uint64_t>(from.number), era_from(from.era),
            id_of<node_incarnation>(from.witness)};
}

draw_question from_wire(const wire::DrawAsk& from)
{
    return {id_of<node_incarnation>(from.life),
            static_cast<std::uint64_t>(from.number), era_from(from.era)};
}

} // namespace fennelladder::mesh
