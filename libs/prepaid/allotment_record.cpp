#include "fennelladder/prepaid/allotment_record.hpp"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <optional>

namespace fennelladder::prepaid {

namespace {

constexpr const char* teams_field = "teams";
constexpr const char* writers_field = "writers";

/// The field, or null unless it is an object.
const nlohmann::json* object_of(const nlohmann::json& from, const char* field)
{
    if (!from.is_object())
        return nullptr;
    const auto it = from.find(field);
    return it != from.end() && it->is_object() ? &*it : nullptr;
}

std::optional<tokens> amount_of(const nlohmann::json& from)
{
    if (!from.is_number_integer())
        return std::nullopt;
    const bool negative =
        !from.is_number_unsigned() && from.get<std::int64_t>() < 0;
    const auto count = from.get<std::uint64_t>();
    if (negative || count > static_cast<std::uint64_t>(max_allotted.count()))
        return std::nullopt;
    return tokens(static_cast<std::int64_t>(count));
}

} // namespace

tokens unallotted(const allotment_record& record, const token_amounts& prepaid,
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
                                const token_amounts& requested,
                                const host_id& writer, const write_id& id)
{
    allotment_draft out;
    out.record = record;
    for (const auto& [team, wanted] : requested) {
        const tokens given =
            std::min(wanted, unallotted(record, prepaid, team));
        if (given <= tokens(0))
            continue;
        out.record.allotted[team] += given;
        out.granted[team] = given;
    }
    out.record.last_write[writer] = id;
    return out;
}

bool contains_write(const allotment_record& record, const host_id& writer,
                    const write_id& id)
{
    const auto it = record.last_write.find(writer);
    return it != record.last_write.end() && it->second == id;
}

bool may_follow(const allotment_record& earlier, const allotment_record& later)
{
    return std::ranges::all_of(earlier.allotted, [&](const auto& it) {
        const auto now = later.allotted.find(it.first);
        return now != later.allotted.end() ? now->second >= it.second
                                           : it.second == tokens(0);
    });
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
    const nlohmann::json* teams = object_of(content, teams_field);
    const nlohmann::json* writers = object_of(content, writers_field);
    if (teams == nullptr || writers == nullptr)
        return fail(error_code::corrupt,
                    "allotment record: no object with teams and writers");
    allotment_record out;
    for (const auto& [team, it] : teams->items()) {
        const auto amount = amount_of(it);
        if (!amount)
            return fail(error_code::corrupt,
                        "allotment record: invalid amount of team " + team);
        out.allotted[team_id(team)] = *amount;
    }
    for (const auto& [host, mark] : writers->items()) {
        if (!mark.is_string())
            return fail(error_code::corrupt,
                        "allotment record: last write is not a string, host " +
                            host);
        out.last_write[host_id(host)] = mark.get<write_id>();
    }
    return out;
}

} // namespace fennelladder::prepaid
