// Keys: PREFIX/layout, PREFIX/shard/0007/slot/00042, .../root, .../chunk/...
// Numbers are padded, so that listings come in the order of numbers.

#include "fennelladder/journal/layout.hpp"

#include "codec.hpp"
#include "fennelladder/base/hash.hpp"
#include "fennelladder/telemetry/event_catalog.hpp"

#include <algorithm>

namespace fennelladder::journal {

namespace {

constexpr std::uint32_t max_shards = 4096;
constexpr std::uint32_t min_slots = 4;
constexpr std::uint32_t max_slots = 65'536;

std::string padded(std::uint64_t number, std::size_t digits)
{
    std::string text = std::to_string(number);
    return std::string(digits - std::min(digits, text.size()), '0') + text;
}

bool in_bounds(const journal_layout& layout)
{
    return layout.shards > 0 && layout.shards <= max_shards &&
           layout.slots >= min_slots && layout.slots <= max_slots;
}

std::string to_bytes(const journal_layout& layout)
{
    wire::layout stored;
    stored.version = stored_version;
    stored.shards = static_cast<std::int32_t>(layout.shards);
    stored.slots = static_cast<std::int32_t>(layout.slots);
    return pack(0, stored);
}

result<journal_layout> to_layout(std::string_view bytes,
                                 const std::string& source,
                                 const std::string& prefix)
{
    wire::layout stored;
    if (auto ok = unpack(bytes, stored); !ok)
        return fail(error_code::corrupt, source + ": " + ok.error().message);
    const journal_layout layout{prefix,
                                static_cast<std::uint32_t>(stored.shards),
                                static_cast<std::uint32_t>(stored.slots)};
    if (!in_bounds(layout))
        return fail(error_code::corrupt, source + ": counts out of bounds");
    return layout;
}

result<journal_layout> read_layout(platform::object_store& store,
                                   const platform::object_key& key,
                                   const std::string& prefix)
{
    auto got = store.get(key);
    if (!got)
        return tl::unexpected(got.error());
    return to_layout(got->value, key.str(), prefix);
}

void compare(const journal_layout& stored, const journal_layout& wanted,
             const std::string& source, findings& found)
{
    if (stored.shards != wanted.shards)
        found.add({source, "shards"}, telemetry::event::journal_layout_differs,
                  "the fleet has " + std::to_string(stored.shards) +
                      " shards for good, the setting says " +
                      std::to_string(wanted.shards));
    if (stored.slots != wanted.slots)
        found.add({source, "slots"}, telemetry::event::journal_layout_differs,
                  "the fleet has " + std::to_string(stored.slots) +
                      " slots a shard for good, the setting says " +
                      std::to_string(wanted.slots));
}

} // namespace

result<journal_layout> establish_layout(platform::object_store& store,
                                        const journal_layout& wanted,
                                        findings& found)
{
    if (!in_bounds(wanted))
        return fail(error_code::invalid, "shards or slots out of bounds");
    const platform::object_key key(wanted.prefix + "/layout");
    auto stored = read_layout(store, key, wanted.prefix);
    if (!stored && stored.error().code == error_code::not_found) {
        // Two nodes may do this at once, and the reply may be lost: what
        // holds is what is there afterwards, whoever wrote it.
        (void)store.put(key, to_bytes(wanted),
                        platform::write_condition::absent());
        stored = read_layout(store, key, wanted.prefix);
    }
    if (!stored) {
        if (stored.error().code == error_code::not_found)
            return fail(error_code::unavailable, "layout was not written");
        return stored;
    }
    compare(*stored, wanted, key.str(), found);
    return stored;
}

result<journal_layout> find_layout(platform::object_store& store,
                                   const std::string& prefix)
{
    return read_layout(store, platform::object_key(prefix + "/layout"), prefix);
}

// The prefix, a zero byte, and the layout as it is stored, checksum included.
std::string encode_layout(const journal_layout& layout)
{
    return layout.prefix + '\0' + to_bytes(layout);
}

result<journal_layout> adopt_layout(std::string_view bytes,
                                    const journal_layout& wanted,
                                    findings& found)
{
    const std::string source = "a peer's layout";
    const std::size_t end = bytes.find('\0');
    if (end == std::string_view::npos)
        return fail(error_code::corrupt, source + " has no prefix");
    auto read = to_layout(bytes.substr(end + 1), source, wanted.prefix);
    if (!read)
        return read;
    if (bytes.substr(0, end) != wanted.prefix)
        return fail(error_code::invalid, source + " has another prefix");
    compare(*read, wanted, source, found);
    return read;
}

shard_id shard_of(const team_id& team, std::uint32_t shards)
{
    return shard_id(hash64(team.str()) % shards);
}

std::vector<incarnation_id>
rank_owners(shard_id shard, const std::vector<incarnation_id>& members,
            std::size_t count)
{
    struct ranked
    {
        std::uint64_t weight;
        const incarnation_id* member;
    };
    std::vector<ranked> all;
    all.reserve(members.size());
    for (const incarnation_id& it : members)
        all.push_back({hash64(it.str(), shard.value()), &it});
    const auto before = [](const ranked& a, const ranked& b) {
        if (a.weight != b.weight)
            return a.weight > b.weight;
        return *a.member < *b.member;
    };
    count = std::min(count, all.size());
    const auto middle = all.begin() + static_cast<std::ptrdiff_t>(count);
    std::partial_sort(all.begin(), middle, all.end(), before);
    std::vector<incarnation_id> first;
    first.reserve(count);
    for (auto it = all.begin(); it != middle; ++it)
        first.push_back(*it->member);
    return first;
}

incarnation_id owner_of(shard_id shard,
                        const std::vector<incarnation_id>& members)
{
    const auto first = rank_owners(shard, members, 1);
    return first.empty() ? incarnation_id() : first.front();
}

shard_keys::shard_keys(const journal_layout& layout, shard_id shard)
    : base_(layout.prefix + "/shard/" + padded(shard.value(), 4) + "/"),
      slot_prefix_(base_ + "slot/"), chunk_prefix_(base_ + "chunk/")
{}

platform::object_key shard_keys::slot(std::uint32_t slot) const
{
    return platform::object_key(slot_prefix_ + padded(slot, 5));
}

platform::object_key shard_keys::root() const
{
    return platform::object_key(base_ + "root");
}

} // namespace fennelladder::journal
