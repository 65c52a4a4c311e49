#include "fennelladder/prepaid/allotment_record.hpp"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace fennelladder::prepaid {

namespace {

constexpr const char* teams_field = "teams";
constexpr const char* writers_field = "writers";

} // namespace

tokens left_of(const allotment_record& record, const token_amounts& prepaid,
               const team_id& team)
{
    const auto total = prepaid.find(team);
    if (total == prepaid.end())
        return tokens(0);
    const auto out = record.allotted.find(team);
    const tokens allotted =
        out == record.allotted.end() ? tokens(0) : out->second;
    return std::max(total->second - allotted, tokens(0));
}

allotment_draft draft_allotment(const allotment_record& record,
                                const token_amounts& prepaid,
                                const token_amounts& wishes,
                                const host_id& writer, const write_mark& mark)
{
    allotment_draft out;
    out.record = record;
    for (const auto& [team, wanted] : wishes) {
        const tokens given = std::min(wanted, left_of(record, prepaid, team));
        if (given <= tokens(0))
            continue;
        out.record.allotted[team] += given;
        out.granted[team] = given;
    }
    out.record.last_write[writer] = mark;
    return out;
}

bool written_by(const allotment_record& record, const host_id& writer,
                const write_mark& mark)
{
    const auto it = record.last_write.find(writer);
    return it != record.last_write.end() && it->second == mark;
}

nlohmann::json to_json(const allotment_record& record)
{
    nlohmann::json teams = nlohmann::json::object();
    for (const auto& [team, amount] : record.allotted)
        teams[team.str()] = amount.count();
    nlohmann::json writers = nlohmann::json::object();
    for (const auto& [host, mark] : record.last_write)
        writers[host.str()] = mark;
    return {{teams_field, teams}, {writers_field, writers}};
}

result<allotment_record> allotment_from_json(const nlohmann::json& content)
{
    try {
        allotment_record out;
        for (const auto& [team, amount] : content.at(teams_field).items())
            out.allotted[team_id(team)] = tokens(amount.get<std::int64_t>());
        for (const auto& [host, mark] : content.at(writers_field).items())
            out.last_write[host_id(host)] = mark.get<write_mark>();
        return out;
    } catch (const nlohmann::json::exception& failure) {
        return fail(error_code::corrupt, failure.what());
    }
}

} // namespace fennelladder::prepaid
