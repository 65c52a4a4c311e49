// Bytes of parts, all canonical, so that equal content has an equal name:
//
//   base       the manifest as JSON without teams, targets and budgets
//   teams,     one JSON list a line, ["id",{...}], in order of their ids, so
//   targets    that a line is found without parsing the others
//   budgets    likewise ["id","team",[["topup",tokens],...]]: half the size of
//              objects, and a node keeps 350,000 of them
//   directory  JSON lists of names
//
// Splitting encodes each row once and sorts within buckets: O(n log n).

#include "fennelladder/manifest/parts.hpp"

#include "fennelladder/base/hash.hpp"
#include "fields.hpp"
#include "json_codec.hpp"

#include <algorithm>
#include <bit>
#include <cassert>
#include <functional>
#include <utility>

namespace fennelladder::manifest {

namespace {

constexpr std::size_t most_buckets = 65'536;

struct row
{
    std::string id;
    std::string line;
};

json encode_budget(const budget& it)
{
    json topups = json::array();
    for (const topup& paid : it.topups)
        topups.push_back(json::array({paid.id.str(), paid.amount.count()}));
    return json::array({it.id.str(), it.team.str(), std::move(topups)});
}

template <class T>
json encode_record_row(const T& it)
{
    return json::array({it.id.str(), codec<T>::write(it)});
}

template <class T>
std::vector<row> encode_rows(const std::vector<T>& list,
                             json (*encode_one)(const T&))
{
    std::vector<row> rows;
    rows.reserve(list.size());
    for (const T& it : list)
        rows.push_back({it.id.str(), encode_one(it).dump() + "\n"});
    std::ranges::sort(rows, {}, &row::id);
    return rows;
}

// The count is kept while it does, since another count moves every row and a
// change would then cost everything.
std::size_t choose_buckets(std::size_t bytes, std::size_t previous)
{
    if (previous != 0 && bytes <= 2 * previous * bucket_goal_bytes &&
        (previous == 1 || 4 * bytes >= previous * bucket_goal_bytes))
        return previous;
    const std::size_t wanted = bytes / bucket_goal_bytes + 1;
    return std::min(std::bit_ceil(wanted), most_buckets);
}

std::vector<std::string> fill_buckets(const std::vector<row>& rows,
                                      std::size_t count)
{
    std::vector<std::string> buckets(count);
    for (const row& it : rows)
        buckets[bucket_of(it.id, count)] += it.line;
    return buckets;
}

bool fits(const std::vector<std::string>& buckets)
{
    return std::ranges::all_of(buckets, [](const std::string& it) {
        return it.size() <= max_part_bytes;
    });
}

part_hash add_part(std::string bytes, split_manifest& pieces)
{
    part_hash name(digest128(bytes));
    pieces.parts.emplace(name, std::move(bytes));
    return name;
}

// Cuts rows into buckets that fit; doubling moves a crowded bucket's rows
// apart until only a single huge row could still be too large.
result<std::vector<part_hash>> add_table(const std::vector<row>& rows,
                                         std::size_t previous,
                                         split_manifest& pieces)
{
    std::size_t bytes = 0;
    for (const row& it : rows)
        bytes += it.line.size();
    std::size_t count = choose_buckets(bytes, previous);
    auto buckets = fill_buckets(rows, count);
    while (!fits(buckets)) {
        if (count == most_buckets)
            return fail(error_code::too_large,
                        "a single row exceeds the size of a part");
        count *= 2;
        buckets = fill_buckets(rows, count);
    }
    std::vector<part_hash> names;
    names.reserve(count);
    for (std::string& it : buckets)
        names.push_back(add_part(std::move(it), pieces));
    return names;
}

std::string encode_base(const document& manifest)
{
    document base;
    base.deployment = manifest.deployment;
    base.limits = manifest.limits;
    base.caller_kinds = manifest.caller_kinds;
    base.objectives = manifest.objectives;
    base.models = manifest.models;
    base.services = manifest.services;
    return encode(base);
}

tl::unexpected<error> corrupt(std::string_view what)
{
    return fail(error_code::corrupt, "unreadable " + std::string(what));
}

// Reads JSON with a reader that may throw the library's exceptions on
// anything but the expected shape.
template <class T>
result<T> read_json(std::string_view bytes, std::string_view what,
                    const std::function<T(const json&)>& reader)
{
    try {
        return reader(json::parse(bytes));
    } catch (const json::exception&) {
        return corrupt(what);
    }
}

template <class T>
result<T> decode_record(const json& tree, std::string_view what)
{
    findings found;
    finding_sink sink{found, std::string(what)};
    T record;
    codec<T>::read(cursor(tree, sink), record);
    if (!found.empty())
        return fail(error_code::corrupt, found.to_text());
    return record;
}

// Reads ["id",{...}].
template <class T>
result<T> decode_record_row(std::string_view line, std::string_view what)
{
    const json tree = json::parse(line, nullptr, false);
    if (!tree.is_array() || tree.size() != 2)
        return corrupt(what);
    auto record = decode_record<T>(tree[1], what);
    if (record && tree[0] != record->id.str())
        return corrupt(what);
    return record;
}

template <class T>
result<std::vector<T>> decode_lines(std::string_view bytes,
                                    result<T> (*decode)(std::string_view))
{
    std::vector<T> list;
    while (!bytes.empty()) {
        const auto end = bytes.find('\n');
        if (end == std::string_view::npos)
            return corrupt("last line");
        auto one = decode(bytes.substr(0, end));
        if (!one)
            return tl::unexpected(one.error());
        list.push_back(std::move(*one));
        bytes.remove_prefix(end + 1);
    }
    return list;
}

result<target> decode_target_row(std::string_view line)
{
    return decode_record_row<target>(line, "target");
}

json encode_names(const std::vector<part_hash>& names)
{
    json list = json::array();
    for (const part_hash& it : names)
        list.push_back(it.str());
    return list;
}

std::vector<part_hash> decode_names(const json& list)
{
    std::vector<part_hash> names;
    names.reserve(list.size());
    for (const json& it : list)
        names.emplace_back(it.get<std::string>());
    return names;
}

json encode_record(const apply_record& it)
{
    return {{"generation", it.number.value()},
            {"apply", it.apply.str()},
            {"who", it.who},
            {"at", to_nanoseconds(it.at)}};
}

apply_record decode_apply_record(const json& it)
{
    return {generation(it.at("generation").get<std::uint64_t>()),
            apply_id(it.at("apply").get<std::string>()),
            it.at("who").get<std::string>(),
            from_nanoseconds(it.at("at").get<std::int64_t>())};
}

json encode_without_checksum(const root& value)
{
    json history = json::array();
    for (const apply_record& it : value.history)
        history.push_back(encode_record(it));
    return {{"change", encode_record(value.change)},
            {"directory", value.directory.str()},
            {"history", std::move(history)},
            {"collections", value.collections}};
}

bool power_of_two(const std::vector<part_hash>& buckets)
{
    return std::has_single_bit(buckets.size());
}

} // namespace

std::vector<part_hash> directory::all() const
{
    std::vector<part_hash> names{base};
    for (const auto* it : {&teams, &targets, &budgets})
        names.insert(names.end(), it->begin(), it->end());
    return names;
}

configuration_hash root::hash() const
{
    return configuration_hash(digest128(std::to_string(change.number.value()) +
                                        " " + change.apply.str() + " " +
                                        directory.str()));
}

const apply_record* root::find(const apply_id& apply) const
{
    if (change.apply == apply)
        return &change;
    const auto it = std::ranges::find(history, apply, &apply_record::apply);
    return it == history.end() ? nullptr : &*it;
}

std::size_t bucket_of(std::string_view id, std::size_t buckets)
{
    assert(std::has_single_bit(buckets));
    return hash64(id) & (buckets - 1);
}

bool matches(const part_hash& name, std::string_view bytes)
{
    return name.str() == digest128(bytes);
}

result<split_manifest> split(const document& manifest,
                             const directory* previous)
{
    const directory none;
    const directory& before = previous != nullptr ? *previous : none;
    split_manifest pieces;
    std::string base = encode_base(manifest);
    if (base.size() > max_part_bytes)
        return fail(error_code::too_large,
                    "caller kinds, objectives, models and services together "
                    "exceed the size of a part");
    pieces.directory.base = add_part(std::move(base), pieces);
    auto teams =
        add_table(encode_rows(manifest.teams, &encode_record_row<team>),
                  before.teams.size(), pieces);
    auto targets =
        add_table(encode_rows(manifest.targets, &encode_record_row<target>),
                  before.targets.size(), pieces);
    auto budgets = add_table(encode_rows(manifest.budgets, &encode_budget),
                             before.budgets.size(), pieces);
    for (const auto* it : {&teams, &targets, &budgets}) {
        if (!*it)
            return tl::unexpected(it->error());
    }
    pieces.directory.teams = std::move(*teams);
    pieces.directory.targets = std::move(*targets);
    pieces.directory.budgets = std::move(*budgets);
    std::string names = encode(pieces.directory);
    if (names.size() > max_part_bytes)
        return fail(error_code::too_large, "directory");
    pieces.directory_hash = add_part(std::move(names), pieces);
    return pieces;
}

std::string encode(const directory& names)
{
    const json value = {{"base", names.base.str()},
                        {"teams", encode_names(names.teams)},
                        {"targets", encode_names(names.targets)},
                        {"budgets", encode_names(names.budgets)}};
    return value.dump();
}

std::string encode(const root& value)
{
    json object = encode_without_checksum(value);
    object["checksum"] = digest128(object.dump());
    return object.dump();
}

result<directory> decode_directory(std::string_view bytes)
{
    auto names = read_json<directory>(bytes, "directory", [](const json& it) {
        return directory{part_hash(it.at("base").get<std::string>()),
                         decode_names(it.at("teams")),
                         decode_names(it.at("targets")),
                         decode_names(it.at("budgets"))};
    });
    if (names && !(power_of_two(names->teams) && power_of_two(names->targets) &&
                   power_of_two(names->budgets)))
        return corrupt("directory");
    return names;
}

result<root> decode_root(std::string_view bytes)
{
    auto value = read_json<root>(bytes, "root", [](const json& it) {
        root made;
        made.change = decode_apply_record(it.at("change"));
        made.directory = part_hash(it.at("directory").get<std::string>());
        for (const json& earlier : it.at("history"))
            made.history.push_back(decode_apply_record(earlier));
        made.collections = it.at("collections").get<std::uint64_t>();
        return made;
    });
    // Canonical bytes make the comparison cover the checksum itself.
    if (value && encode(*value) != bytes)
        return corrupt("root: its checksum does not match");
    return value;
}

result<document> decode_base(std::string_view bytes)
{
    const json tree = json::parse(bytes, nullptr, false);
    if (tree.is_discarded())
        return corrupt("base");
    return decode_record<document>(tree, "base");
}

result<std::vector<team>> decode_teams(std::string_view bytes)
{
    return decode_lines<team>(bytes, &decode_team_row);
}

result<std::vector<target>> decode_targets(std::string_view bytes)
{
    return decode_lines<target>(bytes, &decode_target_row);
}

result<std::vector<budget>> decode_budgets(std::string_view bytes)
{
    return decode_lines<budget>(bytes, &decode_budget_row);
}

result<team> decode_team_row(std::string_view line)
{
    return decode_record_row<team>(line, "team");
}

result<budget> decode_budget_row(std::string_view line)
{
    return read_json<budget>(line, "budget", [](const json& it) {
        budget made{budget_id(it.at(0).get<std::string>()),
                    team_id(it.at(1).get<std::string>()),
                    {}};
        for (const json& paid : it.at(2))
            made.topups.push_back({topup_id(paid.at(0).get<std::string>()),
                                   tokens(paid.at(1).get<std::int64_t>())});
        return made;
    });
}

platform::object_key root_key()
{
    return platform::object_key("config/root");
}

std::string_view part_prefix()
{
    return "config/part/";
}

platform::object_key part_key(const part_hash& name)
{
    return platform::object_key(std::string(part_prefix()) + name.str());
}

} // namespace fennelladder::manifest
