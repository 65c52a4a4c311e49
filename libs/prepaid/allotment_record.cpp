#include "fennelladder/prepaid/allotment_record.hpp"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <optional>

namespace fennelladder::prepaid {

namespace {

constexpr const char* teams_field = "teams";
constexpr const char* writers_field = "writers";
constexpr const char* epoch_field = "epoch";
constexpr const char* earlier_field = "earlier";
constexpr const char* settled_field = "settled";
constexpr const char* sequence_field = "sequence";
constexpr const char* nonce_field = "nonce";
constexpr const char* era_field = "era";

/// The field, or null unless it is an object.
const nlohmann::json* object_of(const nlohmann::json& from, const char* field)
{
    if (!from.is_object())
        return nullptr;
    const auto it = from.find(field);
    return it != from.end() && it->is_object() ? &*it : nullptr;
}

std::optional<tokens> amount_from(const nlohmann::json& from)
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

result<token_amounts> amounts_from(const nlohmann::json& from)
{
    token_amounts out;
    for (const auto& [team, it] : from.items()) {
        const auto amount = amount_from(it);
        if (!amount)
            return fail(error_code::corrupt,
                        "allotment record: invalid amount of team " + team);
        out[team_id(team)] = *amount;
    }
    return out;
}

nlohmann::json amounts_json(const token_amounts& from)
{
    nlohmann::json out = nlohmann::json::object();
    for (const auto& [team, amount] : from)
        out[team.str()] = amount.count();
    return out;
}

nlohmann::json epoch_json(const allotment_epoch& from)
{
    return {{sequence_field, from.sequence},
            {nonce_field, from.nonce},
            {era_field, from.era.value()}};
}

result<allotment_epoch> epoch_from(const nlohmann::json& from)
{
    for (const char* field : {sequence_field, nonce_field, era_field}) {
        const auto it = from.is_object() ? from.find(field) : from.end();
        if (!from.is_object() || it == from.end() || !it->is_number_unsigned())
            return fail(error_code::corrupt, "allotment record: invalid epoch");
    }
    return allotment_epoch{
        from[sequence_field].get<std::uint64_t>(),
        from[nonce_field].get<std::uint64_t>(),
        catalog::store_era(from[era_field].get<std::uint64_t>())};
}

/// Drawn before the current epoch.
tokens drawn_before(const allotment_record& record, const team_id& team)
{
    tokens out = amount_of(record.settled, team);
    for (const auto& [epoch, amounts] : record.earlier)
        out += amount_of(amounts, team);
    return out;
}

/// Reads the epochs into `out`, whose totals were read before.
status read_epochs(const nlohmann::json& content, allotment_record& out)
{
    const auto current = content.find(epoch_field);
    if (current == content.end())
        return {};
    const nlohmann::json* settled = object_of(content, settled_field);
    const auto earlier = content.find(earlier_field);
    if (settled == nullptr || earlier == content.end() || !earlier->is_array())
        return fail(error_code::corrupt, "allotment record: invalid epochs");
    const auto epoch = epoch_from(*current);
    if (!epoch)
        return tl::unexpected(epoch.error());
    out.epoch = *epoch;
    auto sum = amounts_from(*settled);
    if (!sum)
        return tl::unexpected(sum.error());
    out.settled = std::move(*sum);
    for (const nlohmann::json& it : *earlier) {
        const auto read = epoch_from(it);
        const nlohmann::json* teams = object_of(it, teams_field);
        if (!read || teams == nullptr || *read == out.epoch)
            return fail(error_code::corrupt,
                        "allotment record: invalid earlier epoch");
        auto amounts = amounts_from(*teams);
        if (!amounts)
            return tl::unexpected(amounts.error());
        out.earlier[*read] = std::move(*amounts);
    }
    for (const auto& [team, amount] : out.allotted)
        if (drawn_before(out, team) > amount)
            return fail(error_code::corrupt,
                        "allotment record: earlier epochs exceed the total");
    return {};
}

} // namespace

allotment_ledger ledger_of(const allotment_record& record, instant now)
{
    allotment_ledger out(record.epoch, record.settled);
    for (const auto& [epoch, amounts] : record.earlier)
        for (const auto& [team, amount] : amounts)
            out.raise({epoch, team, amount}, now);
    for (const auto& [team, amount] : record.allotted)
        out.raise({record.epoch, team, drawn_in(record, record.epoch, team)},
                  now);
    return out;
}

allotment_record record_of(const allotment_ledger& ledger,
                           const allotment_epoch& epoch)
{
    allotment_ledger advanced(epoch, {});
    advanced.merge(ledger, instant());
    allotment_record out;
    out.epoch = epoch;
    out.allotted = advanced.totals();
    out.settled = advanced.settled();
    out.earlier = advanced.epochs();
    out.earlier.erase(epoch);
    return out;
}

tokens drawn_in(const allotment_record& record, const allotment_epoch& epoch,
                const team_id& team)
{
    if (epoch == record.epoch)
        return amount_of(record.allotted, team) - drawn_before(record, team);
    const auto it = record.earlier.find(epoch);
    return it == record.earlier.end() ? tokens(0) : amount_of(it->second, team);
}

tokens unallotted(const allotment_record& record, const token_amounts& prepaid,
                  const team_id& team)
{
    const auto total = prepaid.find(team);
    if (total == prepaid.end())
        return tokens(0);
    return std::max(total->second - amount_of(record.allotted, team),
                    tokens(0));
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
    nlohmann::json writers = nlohmann::json::object();
    for (const auto& [host, mark] : record.last_write)
        writers[host.str()] = mark;
    nlohmann::json out{{teams_field, amounts_json(record.allotted)},
                       {writers_field, writers}};
    if (record.epoch == allotment_epoch())
        return out;
    out[epoch_field] = epoch_json(record.epoch);
    out[settled_field] = amounts_json(record.settled);
    nlohmann::json& earlier = out[earlier_field] = nlohmann::json::array();
    for (const auto& [epoch, amounts] : record.earlier) {
        earlier.push_back(epoch_json(epoch));
        earlier.back()[teams_field] = amounts_json(amounts);
    }
    return out;
}

result<allotment_record> allotment_from_json(const nlohmann::json& content)
{
    const nlohmann::json* teams = object_of(content, teams_field);
    const nlohmann::json* writers = object_of(content, writers_field);
    if (teams == nullptr || writers == nullptr)
        return fail(error_code::corrupt,
                    "allotment record: no object with teams and writers");
    allotment_record out;
    auto allotted = amounts_from(*teams);
    if (!allotted)
        return tl::unexpected(allotted.error());
    out.allotted = std::move(*allotted);
    for (const auto& [host, mark] : writers->items()) {
        if (!mark.is_string())
            return fail(error_code::corrupt,
                        "allotment record: last write is not a string, host " +
                            host);
        out.last_write[host_id(host)] = mark.get<write_id>();
    }
    if (const auto read = read_epochs(content, out); !read)
        return tl::unexpected(read.error());
    return out;
}

} // namespace fennelladder::prepaid
